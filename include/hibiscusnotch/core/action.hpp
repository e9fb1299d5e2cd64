/// @file
/// @brief The actions that the decision core requests.
#pragma once

#include "hibiscusnotch/core/ids.hpp"
#include "hibiscusnotch/core/log_event.hpp"
#include "hibiscusnotch/core/peer_message.hpp"
#include "hibiscusnotch/core/verdict.hpp"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace hibiscusnotch::core {

struct StartAttempt
{
  AttemptId attempt = 0;
  RequestHandle request = 0;
  UpstreamId upstream;
  VersionId version;
  uint32_t resumeOffset = 0; ///< Tokens already sent to the caller.
};

struct CancelAttempt
{
  AttemptId attempt = 0;
  UpstreamId upstream;
};

/// @brief Sends a chunk of the answer to the caller.
struct ForwardChunk
{
  RequestHandle request = 0;
  VersionId version;
  uint32_t offset = 0;
  uint32_t tokens = 0;
  std::string payload;
  bool final = false;
  bool pinBroken = false; ///< The session's version was withdrawn.
};

struct Refuse
{
  RequestHandle request = 0;
  Refusal refusal;
};

/// @brief Sends the stored outcome to a caller that repeats a request.
struct ReplayOutcome
{
  RequestHandle request = 0;
  std::string outcome;
};

struct SendToPeer
{
  InstanceId to;
  PeerMessage message;
};

enum class PlatformOperation
{
  Read,
  Create, ///< Only if absent.
  Update, ///< Only if the object still has `version`.
  Watch,  ///< Long poll for a version above `version`, until a timeout.
};

struct CallPlatform
{
  CallId call = 0;
  PlatformOperation operation = PlatformOperation::Read;
  std::string key;
  uint64_t version = 0;
  std::string body;
};

/// @brief Asks the upstream for a load report.
struct ProbeUpstream
{
  UpstreamId upstream;
  bool newConnection = false; ///< Because an open one went silent.
};

/// @brief Asks the rating service to rate a finished answer.
struct RequestRating
{
  RequestHandle request = 0;
  std::string requestId;
  Rating ratedAnswer; ///< `good` is filled in from the rating.
};

struct ReplyToAdmin
{
  AdminHandle handle = 0;
  bool accepted = false;
  uint64_t revision = 0;
  std::string detail; ///< Revision, winner of a conflict, or error.
};

struct Log
{
  LogEvent event;
};

/// @brief The drain is finished; the process may exit.
struct Exit
{};

using Action = std::variant<StartAttempt,
                            CancelAttempt,
                            ForwardChunk,
                            Refuse,
                            ReplayOutcome,
                            SendToPeer,
                            CallPlatform,
                            ProbeUpstream,
                            RequestRating,
                            ReplyToAdmin,
                            Log,
                            Exit>;

using Actions = std::vector<Action>;

} // namespace hibiscusnotch::core
