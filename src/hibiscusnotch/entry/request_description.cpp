#include "request_description.hpp"

#include "request_traits.hpp"

#include <cmath>

namespace hibiscusnotch::entry {

namespace {

std::string_view
OutcomeName(relay::CallOutcome aOutcome)
{
  switch (aOutcome) {
    case relay::CallOutcome::Complete:
      return "complete";
    case relay::CallOutcome::NotSent:
      return "not_sent";
    case relay::CallOutcome::NotStarted:
      return "not_started";
    case relay::CallOutcome::ConnectionLost:
      return "broken";
  }
  return "broken";
}

/// The events that the attempt has brought; empty unless it is a stream's.
std::string
DescribeEvents(const Exchange& aExchange)
{
  const Attempt& attempt = *aExchange.attempt;
  const relay::EventSplitter& events = aExchange.events;
  const std::size_t count = events.EventCount() - attempt.eventsBefore;
  if (!attempt.accepted) {
    return "";
  }
  return " events=" + std::to_string(count) +
         (count > 0 && !events.FirstId().empty()
            ? " first_event=" + events.FirstId() +
                " last_event=" + events.LastId()
            : "");
}

} // namespace

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

std::string
DescribeAttemptEnd(const Exchange& aExchange,
                   relay::CallOutcome aOutcome,
                   std::string_view aWhy,
                   TimePoint aNow)
{
  const Attempt& attempt = *aExchange.attempt;
  return DescribeExchange(aExchange, aNow) +
         " end=" + std::string(OutcomeName(aOutcome)) +
         " status=" + std::to_string(attempt.head ? attempt.head->status : 0) +
         " took_ms=" + FormatMilliseconds(aNow - attempt.sentAt) +
         DescribeEvents(aExchange) +
         (aWhy.empty() ? "" : " why=\"" + std::string(aWhy) + '"') +
         (aOutcome == relay::CallOutcome::ConnectionLost
            ? " prompt_parts=" + FormatPromptParts(aExchange.traits)
            : "");
}

std::string
DescribeKeptAnswer(const Attempt& aAttempt,
                   const ModelChooser::Judgement& aJudgement,
                   double aRetryBudgetUsed,
                   std::string_view aCause)
{
  const auto percent = [](double aFraction) {
    return std::to_string(std::lround(aFraction * 100));
  };
  return " model=" + aAttempt.model +
         " confidence=" + std::to_string(*aAttempt.metadata.confidence) +
         " keep_from=" + std::to_string(aJudgement.minConfidence) +
         " cause=" + std::string(aCause) +
         " load_percent=" + percent(aJudgement.crowding) +
         " budget_percent=" + percent(aRetryBudgetUsed);
}

} // namespace hibiscusnotch::entry
