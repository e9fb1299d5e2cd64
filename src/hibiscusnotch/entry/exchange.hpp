/// @file
/// @brief The state of one caller's request.
#pragma once

#include "hibiscusnotch/entry/header_codec.hpp"
#include "hibiscusnotch/relay/event_splitter.hpp"
#include "hibiscusnotch/relay/listener.hpp"
#include "hibiscusnotch/relay/outbound_client.hpp"
#include "hibiscusnotch/routing/configuration.hpp"

#include <optional>
#include <string>
#include <vector>

namespace hibiscusnotch::entry {

/// @brief One send to one upstream.
struct Attempt
{
  relay::CallId call = 0;
  core::UpstreamId upstream;
  std::string upstreamName;
  std::string service;
  std::string softwareVersion;
  std::string model;
  TimePoint sentAt{};
  double promptTokens = 0;
  bool promptUnread = true; ///< The prompt counts as not read yet.
  bool resumed = false;
  bool accepted = false; ///< Its answer is the caller's.
  std::optional<relay::ResponseHead> head;
  ResponseMetadata metadata;
  std::string body; ///< Held back until it is whole.
};

/// @brief An upstream's failure that the caller gets if nothing better comes.
struct FallbackResponse
{
  relay::ResponseHead head;
  std::string body;
};

struct Exchange
{
  relay::ExchangeId id = 0;
  net::HttpRequest request;
  RequestMetadata metadata;
  routing::Route route; ///< As of the last match.
  std::string organisation;
  int priority = 0;
  TimePoint arrivedAt{};
  TimePoint deadline{};
  TimePoint waitDeadline{}; ///< Refused if no upstream is free by then.
  relay::TimerId deadlineTimer = 0;
  relay::TimerId waitTimer = 0;
  relay::TimerId attemptTimer = 0; ///< Of an idempotent request's send.
  uint32_t executions = 0;         ///< Executions that began, or may have.
  uint32_t sends = 0;              ///< All sends, refused ones included.
  bool mayHaveExecuted = false;
  bool responseStarted = false; ///< The caller has part of an answer.
  bool paused = false;
  std::size_t modelIndex = 0; ///< Row of the route's models.
  std::vector<core::UpstreamId> tried;
  std::optional<Attempt> attempt;
  std::optional<FallbackResponse> fallbackResponse;
  relay::EventSplitter events;
  uint64_t fingerprint = 0;
  std::string lastModel;
  std::string lastVersion;
};

} // namespace hibiscusnotch::entry
