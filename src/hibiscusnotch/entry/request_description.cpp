#include "request_description.hpp"

namespace hibiscusnotch::entry {

std::string
FormatMilliseconds(Duration aDuration)
{
  return std::to_string(aDuration.count() / 1000);
}

std::string
DescribeExchange(const Exchange& aExchange, TimePoint aNow)
{
  std::string text = "request=" + aExchange.metadata.requestId +
                     " route=" + aExchange.route.name + " age_ms=" +
                     FormatMilliseconds(aNow - aExchange.arrivedAt) +
                     " runs=" + std::to_string(aExchange.executions) +
                     " sends=" + std::to_string(aExchange.sends);
  if (aExchange.attempt) {
    text += " upstream=" + aExchange.attempt->upstreamName;
  }
  return text;
}

std::string
DescribeConfiguration(const FleetState& aFleet, TimePoint aNow)
{
  if (!aFleet.configuration) {
    return " config=none";
  }
  return " config=" + std::to_string(aFleet.configuration->version) +
         " config_age_ms=" +
         FormatMilliseconds(aNow - aFleet.configurationConfirmedAt);
}

std::string_view
OutcomeName(relay::CallOutcome aOutcome)
{
  switch (aOutcome) {
    case relay::CallOutcome::Complete:
      return "complete";
    case relay::CallOutcome::NotSent:
      return "not_sent";
    case relay::CallOutcome::ConnectionLost:
      return "broken";
  }
  return "broken";
}

} // namespace hibiscusnotch::entry
