/// @file
/// @brief A trace of requests, faults and operator actions; see docs/TRACES.md.
#pragma once

#include "hibiscusnotch/core/settings.hpp"

#include <cstdint>
#include <iosfwd>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace hibiscusnotch::replay {

/// @brief One submission of a request by a caller.
struct TraceRequest
{
  core::Duration at{ 0 };
  core::OrganisationId organisation;
  core::ClassId requestClass;
  std::string requestId;
  std::string session;
  uint32_t promptTokens = 0;
  uint32_t outputTokens = 1;
  uint64_t prefix = 0;
  double difficulty = 0;
  bool crashes = false;
};

enum class TraceEventKind
{
  RollOut,
  Withdraw,
  ZoneOut,
  ZoneIn,
  VersionBad,
  VersionGood,
  InstanceReplace,
  InstanceKill,
  UpstreamRestart,
  UpstreamLeave,
  Silence, ///< Open connections to an upstream stop sending.
  Crossed, ///< An upstream delivers one chunk twice.
  PlatformOut,
  PlatformSlow,
  ZoneCut, ///< A network partition isolates a zone.
};

/// @brief A fault or an operator action.
struct TraceEvent
{
  core::Duration at{ 0 };
  TraceEventKind kind = TraceEventKind::RollOut;
  core::VersionId version;
  core::ZoneId zone;
  core::InstanceId instance;
  core::UpstreamId upstream;
  double exposure = 0;
  core::Duration duration{ 0 };
};

using TraceLine = std::variant<TraceRequest, TraceEvent>;

struct Trace
{
  std::vector<TraceLine> lines; ///< Sorted by time.
  core::Duration duration{ 0 };
};

/// @brief Reads a trace; the error message names file, line, key and value.
std::optional<Trace>
ReadTrace(const core::Settings& aSettings,
          std::istream& aStream,
          const std::string& aFile,
          std::string& aErrorMessage);

/// @brief The name of an event in a trace, e.g. "zone_out".
std::string
ToString(TraceEventKind aKind);

} // namespace hibiscusnotch::replay
