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
struct PromptPart
{
  std::string id;
  uint32_t tokens = 0;
};

/// @brief What a caller says of its request.
struct RequestFacts
{
  std::string requestId;
  std::string host;
  std::string path; ///< Without the query.
  std::optional<Duration> timeLeft;
  std::string key;
  std::string model;
  uint32_t promptTokens = 0;
  uint32_t maxOutputTokens = 0;
  std::vector<PromptPart> parts; ///< In the order of the prompt.
  std::string resumeAfter;       ///< Id of the last event the caller has.
  std::string session;
};

/// @brief What one attempt tells the upstream beside the request itself.
struct AttemptFacts
{
  Duration timeLeft{ 0 };
  std::string upstream; ///< Only this one may execute it.
  std::string organisation;
  std::string model;       ///< In place of the caller's; may be empty.
  std::string resumeAfter; ///< In place of the caller's; may be empty.
  int priority = 0;        ///< Zero is the most urgent.
};

/// @brief What an upstream says with its answer.
struct AnswerFacts
{
  std::string requestId;
  bool sealed = false;        ///< It carries the upstream's proof of origin.
  bool notRun = false;        ///< It promises that nothing was executed.
  bool otherInstance = false; ///< The address belongs to another upstream.
  std::optional<routing::ReportedLoad> load;
  std::optional<int> confidence; ///< 0 to 100.
};

/// @brief Reads and writes the headers of one interface.
class Dialect
{
public:
  virtual ~Dialect() = default;

  virtual RequestFacts ReadRequest(const net::HttpRequest& aRequest) const = 0;
  /// @brief The whole message for the upstream.
  virtual std::string WriteAttempt(const net::HttpRequest& aRequest,
                                   const AttemptFacts& aFacts) const = 0;
  virtual AnswerFacts ReadAnswer(const relay::ResponseHead& aHead) const = 0;
  /// @brief The headers that the caller gets of an upstream's answer.
  virtual net::Headers AnswerHeaders(
    const relay::ResponseHead& aHead) const = 0;
  /// @brief Headers of an answer of this instance.
  virtual net::Headers OwnHeaders(const RequestFacts& aFacts,
                                  Duration aRetryAfter) const = 0;
};

} // namespace hibiscusnotch::entry
