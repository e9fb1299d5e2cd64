#include "hibiscusnotch/replay/trace.hpp"

#include "hibiscusnotch/core/rendezvous.hpp"

#include <algorithm>
#include <array>
#include <istream>
#include <nlohmann/json.hpp>

namespace hibiscusnotch::replay {

namespace {

using Json = nlohmann::json;

struct EventName
{
  TraceEventKind kind;
  std::string_view name;
};

constexpr std::array kEventNames{
  EventName{ TraceEventKind::RollOut, "rollout" },
  EventName{ TraceEventKind::Withdraw, "withdraw" },
  EventName{ TraceEventKind::ZoneOut, "zone_out" },
  EventName{ TraceEventKind::ZoneIn, "zone_in" },
  EventName{ TraceEventKind::VersionBad, "version_bad" },
  EventName{ TraceEventKind::VersionGood, "version_good" },
  EventName{ TraceEventKind::InstanceReplace, "instance_replace" },
  EventName{ TraceEventKind::InstanceKill, "instance_kill" },
  EventName{ TraceEventKind::UpstreamRestart, "upstream_restart" },
  EventName{ TraceEventKind::UpstreamLeave, "upstream_leave" },
  EventName{ TraceEventKind::Silence, "silence" },
  EventName{ TraceEventKind::Crossed, "crossed" },
  EventName{ TraceEventKind::PlatformOut, "platform_out" },
  EventName{ TraceEventKind::PlatformSlow, "platform_slow" },
  EventName{ TraceEventKind::ZoneCut, "zone_cut" },
};

/// An invalid key or value in a line of the trace.
struct LineError
{
  std::string key;
  std::string value;
  std::string expected;
};

class LineReader
{
public:
  LineReader(const core::Settings& aSettings, const Json& aLine)
    : settings_(aSettings)
    , line_(aLine)
  {
  }

  TraceLine Read()
  {
    if (!line_.is_object()) {
      throw LineError{ "line", line_.dump(), "a JSON object" };
    }
    if (line_.contains("event")) {
      return ReadEvent();
    }
    return ReadRequest();
  }

private:
  TraceRequest ReadRequest()
  {
    TraceRequest request;
    request.at = Time("at_ms");
    request.organisation = ResolveName<core::OrganisationId>(
      "organisation", settings_.organisations);
    request.requestClass =
      ResolveName<core::ClassId>("class", settings_.classes);
    request.requestId = Text("request_id");
    request.session = line_.contains("session") ? Text("session") : "";
    request.promptTokens = Count("prompt_tokens", 0);
    request.outputTokens = std::max<uint32_t>(1, Count("output_tokens", 1));
    if (line_.contains("prefix")) {
      const Json& prefix = line_.at("prefix");
      const std::string text =
        prefix.is_string() ? prefix.get<std::string>() : prefix.dump();
      request.prefix = core::StableHash(text);
    }
    request.difficulty = Number("difficulty", 0);
    request.crashes = line_.value("crashes", false);
    return request;
  }

  TraceEvent ReadEvent()
  {
    TraceEvent event;
    event.at = Time("at_ms");
    const std::string name = Text("event");
    const auto known = std::find_if(
      kEventNames.begin(), kEventNames.end(), [&name](const EventName& aEvent) {
        return aEvent.name == name;
      });
    if (known == kEventNames.end()) {
      throw LineError{ "event", name, "an event listed in docs/TRACES.md" };
    }
    event.kind = known->kind;
    ReadEventFields(event);
    return event;
  }

  void ReadEventFields(TraceEvent& aEvent)
  {
    switch (aEvent.kind) {
      case TraceEventKind::RollOut:
        aEvent.exposure = Number("exposure", 1);
        [[fallthrough]];
      case TraceEventKind::Withdraw:
      case TraceEventKind::VersionBad:
      case TraceEventKind::VersionGood:
        aEvent.version =
          ResolveName<core::VersionId>("version", settings_.versions);
        return;
      case TraceEventKind::ZoneCut:
        aEvent.duration = Time("duration_ms");
        [[fallthrough]];
      case TraceEventKind::ZoneOut:
      case TraceEventKind::ZoneIn:
        aEvent.zone = ResolveName<core::ZoneId>("zone", settings_.zones);
        return;
      case TraceEventKind::InstanceReplace:
      case TraceEventKind::InstanceKill:
        aEvent.instance =
          ResolveName<core::InstanceId>("instance", settings_.instances);
        return;
      case TraceEventKind::UpstreamRestart:
      case TraceEventKind::UpstreamLeave:
      case TraceEventKind::Silence:
      case TraceEventKind::Crossed:
        aEvent.upstream =
          ResolveName<core::UpstreamId>("upstream", settings_.upstreams);
        return;
      case TraceEventKind::PlatformOut:
      case TraceEventKind::PlatformSlow:
        aEvent.duration = Time("duration_ms");
        return;
    }
  }

  const Json& Field(const std::string& aKey, const std::string& aExpected)
  {
    if (!line_.contains(aKey)) {
      throw LineError{ aKey, "", aExpected };
    }
    return line_.at(aKey);
  }

  std::string Text(const std::string& aKey)
  {
    const Json& value = Field(aKey, "a non-empty string");
    if (!value.is_string() || value.get<std::string>().empty()) {
      throw LineError{ aKey, value.dump(), "a non-empty string" };
    }
    return value.get<std::string>();
  }

  double Number(const std::string& aKey, double aDefault)
  {
    if (!line_.contains(aKey)) {
      return aDefault;
    }
    const Json& value = line_.at(aKey);
    if (!value.is_number() || value.get<double>() < 0) {
      throw LineError{ aKey, value.dump(), "a number of at least 0" };
    }
    return value.get<double>();
  }

  uint32_t Count(const std::string& aKey, uint32_t aDefault)
  {
    const double number = Number(aKey, aDefault);
    if (number > 1e7) {
      throw LineError{ aKey, line_.at(aKey).dump(), "at most 10000000" };
    }
    return static_cast<uint32_t>(number);
  }

  core::Duration Time(const std::string& aKey)
  {
    Field(aKey, "a number of milliseconds");
    const double milliseconds = Number(aKey, 0);
    if (milliseconds > 1e9) {
      throw LineError{ aKey, line_.at(aKey).dump(), "at most 1000000000" };
    }
    return core::FromSeconds(milliseconds / 1000);
  }

  template<class IdType, class Row>
  IdType ResolveName(const std::string& aKey, const std::vector<Row>& aRows)
  {
    const std::string name = Text(aKey);
    const auto found =
      core::FindByName<IdType>(std::span<const Row>(aRows), name);
    if (!found) {
      throw LineError{ aKey, name, "a name declared in the settings" };
    }
    return *found;
  }

  const core::Settings& settings_;
  const Json& line_;
};

core::Duration
TimeOf(const TraceLine& aLine)
{
  return std::visit([](const auto& aEntry) { return aEntry.at; }, aLine);
}

} // namespace

std::string
ToString(TraceEventKind aKind)
{
  for (const EventName& event : kEventNames) {
    if (event.kind == aKind) {
      return std::string(event.name);
    }
  }
  return "unknown";
}

std::optional<Trace>
ReadTrace(const core::Settings& aSettings,
          std::istream& aStream,
          const std::string& aFile,
          std::string& aErrorMessage)
{
  Trace trace;
  std::string text;
  int number = 0;
  while (std::getline(aStream, text)) {
    ++number;
    if (text.find_first_not_of(" \t\r") == std::string::npos) {
      continue;
    }
    const std::string location = aFile + ":" + std::to_string(number) + ": ";
    try {
      const Json line = Json::parse(text);
      trace.lines.push_back(LineReader(aSettings, line).Read());
    } catch (const LineError& aError) {
      aErrorMessage = location + aError.key + ": got \"" + aError.value +
                      "\", expected " + aError.expected;
      return std::nullopt;
    } catch (const Json::exception& aError) {
      aErrorMessage = location + aError.what();
      return std::nullopt;
    }
  }
  std::stable_sort(trace.lines.begin(),
                   trace.lines.end(),
                   [](const TraceLine& aLeft, const TraceLine& aRight) {
                     return TimeOf(aLeft) < TimeOf(aRight);
                   });
  if (!trace.lines.empty()) {
    trace.duration = TimeOf(trace.lines.back());
  }
  return trace;
}

} // namespace hibiscusnotch::replay
