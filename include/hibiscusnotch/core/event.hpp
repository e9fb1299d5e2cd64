/// @file
/// @brief The events that the decision core processes.
#pragma once

#include "hibiscusnotch/core/live_configuration.hpp"
#include "hibiscusnotch/core/peer_message.hpp"
#include "hibiscusnotch/core/verdict.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace hibiscusnotch::core {

struct RequestArrived
{
  RequestHandle handle = 0;
  OrganisationId organisation;
  ClassId requestClass;
  std::string requestId;
  std::string session;      ///< Empty: no session.
  VersionId pinnedVersion;  ///< From a signed session token, if any.
  uint64_t fingerprint = 0; ///< Hash of the content.
  uint64_t prefix = 0;      ///< Hash of the shared prompt prefix; 0: none.
  uint32_t promptTokens = 0;
  Duration deadline{ 0 }; ///< Zero: the class's deadline.
};

struct CallerGone
{
  RequestHandle handle = 0;
};

/// @brief A chunk of an upstream's answer.
struct AttemptChunk
{
  AttemptId attempt = 0;
  uint32_t offset = 0; ///< Tokens before this chunk.
  uint32_t tokens = 0;
  std::string payload;
  bool final = false;
  uint64_t incarnation = 0;
  std::optional<double> confidence; ///< Stated by the engine in the last chunk.
  bool leaving = false;
};

enum class FailureKind
{
  NotSent, ///< No byte of the request was sent.
  Refused, ///< The upstream states that it did not run it.
  Lost,    ///< The connection ended after the request was sent.
};

struct AttemptFailed
{
  AttemptId attempt = 0;
  FailureKind kind = FailureKind::Lost;
  bool leaving = false; ///< The upstream refused because it is draining.
};

/// @brief A lagged load report.
struct UpstreamLoadReport
{
  UpstreamId upstream;
  uint64_t incarnation = 0;
  Duration age{ 0 }; ///< At the time the report was made.
  uint32_t running = 0;
  bool leaving = false;
};

/// @brief An idle connection to the upstream ended, or a probe got no response.
struct UpstreamConnectionLost
{
  UpstreamId upstream;
};

struct PeerMessageArrived
{
  InstanceId from;
  PeerMessage message;
};

enum class PlatformStatus
{
  Ok,
  Conflict, ///< The condition did not hold; nothing changed.
  NotFound,
  Unavailable, ///< Refused without effect.
  Lost,        ///< No response; it may have taken effect.
};

struct PlatformResponse
{
  CallId call = 0;
  PlatformStatus status = PlatformStatus::Lost;
  uint64_t version = 0;
  std::string body;
};

struct RatingArrived
{
  Rating rating;
};

/// @brief An operator's change, to be written to the platform.
struct AdminChange
{
  AdminHandle handle = 0;
  ConfigurationChange change;
  std::string operatorName;
};

/// @brief Starts a graceful shutdown.
struct Drain
{};

struct Tick
{};

using Event = std::variant<RequestArrived,
                           CallerGone,
                           AttemptChunk,
                           AttemptFailed,
                           UpstreamLoadReport,
                           UpstreamConnectionLost,
                           PeerMessageArrived,
                           PlatformResponse,
                           RatingArrived,
                           AdminChange,
                           Drain,
                           Tick>;

} // namespace hibiscusnotch::core
