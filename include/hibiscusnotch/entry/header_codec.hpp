/// @file
/// @brief What the relay needs to know of requests and answers, without names
/// of headers.
#pragma once

#include "hibiscusnotch/core/time.hpp"
#include "hibiscusnotch/net/http_types.hpp"
#include "hibiscusnotch/relay/http_reader.hpp"
#include "hibiscusnotch/routing/upstream_table.hpp"

#include <optional>
#include <string>
#include <vector>

namespace hibiscusnotch::entry {

using core::Duration;
using core::TimePoint;

/// @brief A stretch of a prompt that other requests may share.
struct PromptSegment
{
  std::string id;
  uint32_t tokens = 0;
};

/// @brief What a caller says of its request.
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
  std::vector<PromptSegment> promptSegments; ///< In the order of the prompt.
  std::string resumeAfter; ///< Id of the last event the caller has.
  std::string session;
};

/// @brief What one attempt tells the upstream beside the request itself.
struct AttemptMetadata
{
  Duration timeLeft{ 0 };
  std::string upstream; ///< Only this one may execute it.
  std::string organisation;
  std::string model;       ///< In place of the caller's; may be empty.
  std::string resumeAfter; ///< In place of the caller's; may be empty.
  int priority = 0;        ///< Zero is the most urgent.
};

/// @brief What an upstream says with its answer.
struct ResponseMetadata
{
  std::string requestId;
  bool sealed = false;        ///< It carries the upstream's proof of origin.
  bool notExecuted = false;   ///< It promises that nothing was executed.
  bool wrongUpstream = false; ///< The address belongs to another upstream.
  std::optional<routing::ReportedLoad> load;
  std::optional<int> confidence; ///< 0 to 100.
};

/// @brief Reads and writes the headers of one interface.
class HeaderCodec
{
public:
  virtual ~HeaderCodec() = default;

  virtual RequestMetadata ReadRequest(
    const net::HttpRequest& aRequest) const = 0;
  /// @brief The whole message for the upstream.
  virtual std::string WriteUpstreamRequest(
    const net::HttpRequest& aRequest,
    const AttemptMetadata& aMetadata) const = 0;
  virtual ResponseMetadata ReadResponse(
    const relay::ResponseHead& aHead) const = 0;
  /// @brief The headers that the caller gets of an upstream's answer.
  virtual net::Headers ResponseHeaders(
    const relay::ResponseHead& aHead) const = 0;
  /// @brief Headers of an answer of this instance.
  virtual net::Headers LocalReplyHeaders(const RequestMetadata& aMetadata,
                                         Duration aRetryAfter) const = 0;
};

} // namespace hibiscusnotch::entry
