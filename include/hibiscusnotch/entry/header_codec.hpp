/// @file
/// @brief Request and response metadata, independent of header names.
#pragma once

#include "hibiscusnotch/core/time.hpp"
#include "hibiscusnotch/net/http_types.hpp"
#include "hibiscusnotch/relay/outbound_client.hpp"
#include "hibiscusnotch/routing/configuration.hpp"
#include "hibiscusnotch/routing/upstream_table.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace hibiscusnotch::entry {

using core::Duration;
using core::TimePoint;

/// @brief A segment of a prompt that other requests may share.
struct PromptSegment
{
  std::string id;
  uint32_t tokens = 0;
};

/// @brief Metadata of a caller's request.
struct RequestMetadata
{
  std::string requestId;
  std::string host;
  std::string path; ///< Without the query.
  std::optional<Duration> timeLeft;
  std::string apiKey;
  std::string model;
  uint32_t promptTokens = 0;
  uint32_t maxOutputTokens = 0;
  std::optional<uint32_t> outputTokensHint;  ///< The caller's estimate.
  std::vector<PromptSegment> promptSegments; ///< In prompt order.
  std::string resumeAfter; ///< Id of the last event that the caller received.
  std::string session;
  /// @brief Executions at upstreams before another instance forwarded it.
  uint32_t forwardedExecutions = 0;
  /// @brief The model that another instance has settled on; empty if none.
  std::string forwardedModel;
};

/// @brief Metadata that an attempt adds for the upstream.
struct AttemptMetadata
{
  Duration timeLeft{ 0 };
  std::string upstream; ///< The only upstream that may execute it.
  std::string organisation;
  std::string model;       ///< In place of the caller's; may be empty.
  std::string resumeAfter; ///< In place of the caller's; may be empty.
  int priority = 0;        ///< Zero is the most urgent.
};

/// @brief Metadata that an instance adds to a request that it forwards.
struct ForwardMetadata
{
  Duration timeLeft{ 0 };
  std::string resumeAfter; ///< In place of the caller's; may be empty.
  uint32_t executions = 0; ///< So far; they count among the route's attempts.
  std::string model;       ///< Of the answer to go on with; may be empty.
};

/// @brief Metadata of an upstream's response.
struct ResponseMetadata
{
  std::string requestId;
  bool sealed = false;      ///< Carries the upstream's proof of origin.
  bool notExecuted = false; ///< The upstream states that nothing was executed.
  bool wrongUpstream = false; ///< The address belongs to another upstream.
  bool leaving = false;       ///< The upstream announces that it is leaving.
  /// @brief How long the upstream wants no requests from this instance.
  std::optional<Duration> backoff;
  /// @brief Requests per second that the upstream takes from all instances.
  std::optional<double> requestLimit;
  bool requestLimitUnreadable = false; ///< Stated, but not as a number.
  /// @brief Rejections in a second that a brittle upstream bears; zero if they
  /// are stated in a form that cannot be read.
  std::optional<double> bearableRejections;
  std::optional<routing::ReportedLoad> load;
  /// @brief How long work takes there at present, in units of the usual time.
  std::optional<double> slowdown;
  bool loadUnreadable = false; ///< Some figure of the stated load is malformed.
  std::optional<int> confidence; ///< 0 to 100.
};

/// @brief Maps the headers of a deployment to metadata and back.
class HeaderCodec
{
public:
  virtual ~HeaderCodec() = default;

  virtual RequestMetadata ReadRequest(
    const net::HttpRequest& aRequest) const = 0;
  /// @brief The message for the upstream, up to the request's body.
  virtual std::string WriteUpstreamRequest(
    const net::HttpRequest& aRequest,
    const AttemptMetadata& aMetadata) const = 0;
  /// @brief The message, up to the request's body, for an instance that sends
  /// the request to an upstream in this one's place.
  virtual std::string WriteForwardedRequest(
    const net::HttpRequest& aRequest,
    const ForwardMetadata& aMetadata) const = 0;
  /// @brief The complete message that asks whether the upstream's process
  /// runs, without an execution; empty if nothing of the kind can be asked.
  /// @param aService As configured; null if it is not.
  virtual std::string WriteLivenessRequest(
    const routing::UpstreamEntry& aUpstream,
    const routing::Service* aService) const = 0;
  /// @brief Who sent the response to that message.
  virtual relay::Sender SenderOf(const routing::UpstreamEntry& aUpstream,
                                 const relay::ResponseHead& aHead,
                                 std::string_view aBody) const = 0;
  virtual ResponseMetadata ReadResponse(
    const relay::ResponseHead& aHead) const = 0;
  /// @brief The headers of an upstream's response that go to the caller.
  virtual net::Headers ResponseHeaders(
    const relay::ResponseHead& aHead) const = 0;
  /// @brief The headers of a response that this instance generates.
  virtual net::Headers LocalReplyHeaders(const RequestMetadata& aMetadata,
                                         Duration aRetryAfter) const = 0;
};

} // namespace hibiscusnotch::entry
