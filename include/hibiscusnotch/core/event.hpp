/// @file
/// @brief Everything that the decision core can be told.
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
  Duration deadline{ 0 }; ///< Zero: the class's own.
};

struct CallerGone
{
  RequestHandle handle = 0;
};

/// @brief A part of an upstream's answer.
struct AttemptChunk
{
  AttemptId attempt = 0;
  uint32_t offset = 0; ///< Tokens before this chunk.
  uint32_t tokens = 0;
  std::string payload;
  bool final = false;
  uint64_t incarnation = 0;
  std::optional<double> confidence; ///< The engine's own, with the last chunk.
  bool leaving = false;
};

enum class FailureKind
{
  NotSent, ///< No byte of the request left.
  Refused, ///< The upstream says that it did not run.
  Lost,    ///< The connection ended after the request was sent.
};

struct AttemptFailed
{
  AttemptId attempt = 0;
  FailureKind kind = FailureKind::Lost;
  bool leaving = false; ///< The upstream refused because it leaves.
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

/// @brief An idle connection to the upstream ended, or a probe went unanswered.
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
  Unavailable, ///< Refused before any effect.
  Lost,        ///< No answer; it may have taken effect.
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

/// @brief An operator's change, to be accepted by the platform.
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
