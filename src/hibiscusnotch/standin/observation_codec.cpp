#include "hibiscusnotch/standin/observation_codec.hpp"

#include <nlohmann/json.hpp>
#include <sstream>

namespace hibiscusnotch::standin {

namespace {

using Json = nlohmann::json;

int64_t
ToMicroseconds(TimePoint aAt)
{
  return aAt.time_since_epoch().count();
}

TimePoint
FromMicroseconds(const Json& aJson)
{
  return TimePoint(core::Duration(aJson.get<int64_t>()));
}

/// Serializes what stand-ins observe; observations of callers become null.
struct ObservationEncoder
{
  const core::Settings& settings;

  Json operator()(const ExecutionStarted& aObservation) const
  {
    return { { "saw", "start" },
             { "at", ToMicroseconds(aObservation.at) },
             { "upstream", settings.At(aObservation.upstream).name },
             { "version", settings.At(aObservation.version).name },
             { "organisation", settings.At(aObservation.organisation).name },
             { "request_id", aObservation.requestId },
             { "running", aObservation.running },
             { "bears", aObservation.effectiveCapacity },
             { "cold", aObservation.cold } };
  }
  Json operator()(const BillStored& aObservation) const
  {
    return { { "saw", "bill" },
             { "key", aObservation.key },
             { "units", aObservation.microUnits } };
  }
  Json operator()(const ConfigurationStored& aObservation) const
  {
    return { { "saw", "configuration" },
             { "at", ToMicroseconds(aObservation.at) },
             { "revision", aObservation.state.revision },
             { "body",
               core::EncodeConfiguration(settings, aObservation.state) } };
  }
  Json operator()(const UpstreamLeaveOrdered& aObservation) const
  {
    return { { "saw", "left" },
             { "at", ToMicroseconds(aObservation.at) },
             { "upstream", settings.At(aObservation.upstream).name } };
  }
  template<class Other>
  Json operator()(const Other&) const
  {
    return nullptr;
  }
};

template<class IdType, class Entity>
IdType
FindId(const std::vector<Entity>& aEntities, const Json& aName)
{
  return core::FindByName<IdType>(std::span<const Entity>(aEntities),
                                  aName.get<std::string>())
    .value();
}

void
DecodeLine(const core::Settings& aSettings,
           const Json& aLine,
           Observations& aObservations)
{
  const std::string kind = aLine.at("saw").get<std::string>();
  if (kind == "start") {
    ExecutionStarted execution;
    execution.at = FromMicroseconds(aLine.at("at"));
    execution.upstream =
      FindId<core::UpstreamId>(aSettings.upstreams, aLine.at("upstream"));
    execution.version =
      FindId<core::VersionId>(aSettings.versions, aLine.at("version"));
    execution.organisation = FindId<core::OrganisationId>(
      aSettings.organisations, aLine.at("organisation"));
    execution.requestId = aLine.at("request_id").get<std::string>();
    execution.running = aLine.at("running").get<uint32_t>();
    execution.effectiveCapacity = aLine.at("bears").get<uint32_t>();
    execution.cold = aLine.at("cold").get<bool>();
    aObservations.push_back(std::move(execution));
  } else if (kind == "bill") {
    aObservations.push_back(BillStored{ aLine.at("key").get<std::string>(),
                                        aLine.at("units").get<uint64_t>() });
  } else if (kind == "configuration") {
    std::string reason;
    const auto state =
      core::DecodeConfiguration(aSettings,
                                aLine.at("body").get<std::string>(),
                                aLine.at("revision").get<uint64_t>(),
                                reason);
    if (state) {
      aObservations.push_back(
        ConfigurationStored{ FromMicroseconds(aLine.at("at")), *state });
    }
  } else if (kind == "left") {
    aObservations.push_back(UpstreamLeaveOrdered{
      FromMicroseconds(aLine.at("at")),
      FindId<core::UpstreamId>(aSettings.upstreams, aLine.at("upstream")) });
  }
}

} // namespace

std::string
EncodeObservations(const core::Settings& aSettings,
                   const Observations& aObservations)
{
  std::string text;
  for (const Observation& observation : aObservations) {
    const Json line = std::visit(ObservationEncoder{ aSettings }, observation);
    if (!line.is_null()) {
      text += line.dump() + "\n";
    }
  }
  return text;
}

Observations
DecodeObservations(const core::Settings& aSettings, std::string_view aText)
{
  Observations observations;
  std::istringstream stream{ std::string(aText) };
  std::string line;
  while (std::getline(stream, line)) {
    try {
      DecodeLine(aSettings, Json::parse(line), observations);
    } catch (const std::exception&) {
      continue;
    }
  }
  return observations;
}

} // namespace hibiscusnotch::standin
