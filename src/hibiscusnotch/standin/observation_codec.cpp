#include "hibiscusnotch/standin/observation_codec.hpp"

#include <nlohmann/json.hpp>
#include <sstream>

namespace hibiscusnotch::standin {

namespace {

using Json = nlohmann::json;

int64_t
Micros(TimePoint aAt)
{
  return aAt.time_since_epoch().count();
}

TimePoint
FromMicros(const Json& aJson)
{
  return TimePoint(core::Duration(aJson.get<int64_t>()));
}

/// Writes what stand-ins observe; other observations are the caller's own.
struct EncodeVisitor
{
  const core::Settings& settings;

  Json operator()(const ExecutionStarted& aRow) const
  {
    return { { "saw", "start" },
             { "at", Micros(aRow.at) },
             { "upstream", settings.At(aRow.upstream).name },
             { "version", settings.At(aRow.version).name },
             { "organisation", settings.At(aRow.organisation).name },
             { "request_id", aRow.requestId },
             { "running", aRow.running },
             { "bears", aRow.bears },
             { "cold", aRow.cold } };
  }
  Json operator()(const BillStored& aRow) const
  {
    return { { "saw", "bill" },
             { "key", aRow.key },
             { "units", aRow.microUnits } };
  }
  Json operator()(const ConfigurationStored& aRow) const
  {
    return { { "saw", "configuration" },
             { "at", Micros(aRow.at) },
             { "revision", aRow.state.revision },
             { "body", core::EncodeConfiguration(settings, aRow.state) } };
  }
  Json operator()(const UpstreamLeaveOrdered& aRow) const
  {
    return { { "saw", "left" },
             { "at", Micros(aRow.at) },
             { "upstream", settings.At(aRow.upstream).name } };
  }
  template<class Other>
  Json operator()(const Other&) const
  {
    return nullptr;
  }
};

template<class IdType, class Row>
IdType
Find(const std::vector<Row>& aRows, const Json& aName)
{
  return core::FindByName<IdType>(std::span<const Row>(aRows),
                                  aName.get<std::string>())
    .value();
}

void
DecodeLine(const core::Settings& aSettings,
           const Json& aLine,
           Observations& aSeen)
{
  const std::string kind = aLine.at("saw").get<std::string>();
  if (kind == "start") {
    ExecutionStarted row;
    row.at = FromMicros(aLine.at("at"));
    row.upstream =
      Find<core::UpstreamId>(aSettings.upstreams, aLine.at("upstream"));
    row.version =
      Find<core::VersionId>(aSettings.versions, aLine.at("version"));
    row.organisation = Find<core::OrganisationId>(aSettings.organisations,
                                                  aLine.at("organisation"));
    row.requestId = aLine.at("request_id").get<std::string>();
    row.running = aLine.at("running").get<uint32_t>();
    row.bears = aLine.at("bears").get<uint32_t>();
    row.cold = aLine.at("cold").get<bool>();
    aSeen.push_back(std::move(row));
  } else if (kind == "bill") {
    aSeen.push_back(BillStored{ aLine.at("key").get<std::string>(),
                                aLine.at("units").get<uint64_t>() });
  } else if (kind == "configuration") {
    std::string reason;
    const auto state =
      core::DecodeConfiguration(aSettings,
                                aLine.at("body").get<std::string>(),
                                aLine.at("revision").get<uint64_t>(),
                                reason);
    if (state) {
      aSeen.push_back(
        ConfigurationStored{ FromMicros(aLine.at("at")), *state });
    }
  } else if (kind == "left") {
    aSeen.push_back(UpstreamLeaveOrdered{
      FromMicros(aLine.at("at")),
      Find<core::UpstreamId>(aSettings.upstreams, aLine.at("upstream")) });
  }
}

} // namespace

std::string
EncodeObservations(const core::Settings& aSettings, const Observations& aSeen)
{
  std::string text;
  for (const Observation& seen : aSeen) {
    const Json line = std::visit(EncodeVisitor{ aSettings }, seen);
    if (!line.is_null()) {
      text += line.dump() + "\n";
    }
  }
  return text;
}

Observations
DecodeObservations(const core::Settings& aSettings, std::string_view aText)
{
  Observations seen;
  std::istringstream stream{ std::string(aText) };
  std::string line;
  while (std::getline(stream, line)) {
    try {
      DecodeLine(aSettings, Json::parse(line), seen);
    } catch (const std::exception&) {
      continue;
    }
  }
  return seen;
}

} // namespace hibiscusnotch::standin
