/// @file
/// @brief The state of one caller's request.
#pragma once

#include "hibiscusnotch/entry/header_codec.hpp"
#include "hibiscusnotch/entry/request_router.hpp"
#include "hibiscusnotch/relay/event_splitter.hpp"
#include "hibiscusnotch/relay/listener.hpp"
#include "hibiscusnotch/relay/outbound_client.hpp"
#include "hibiscusnotch/routing/configuration.hpp"
#include "hibiscusnotch/routing/crash_evidence.hpp"
#include "hibiscusnotch/routing/head_waits.hpp"
#include "hibiscusnotch/routing/prompt_cache.hpp"
#include "hibiscusnotch/routing/service_timing.hpp"
#include "hibiscusnotch/routing/wait_queue.hpp"

#include <compare>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace hibiscusnotch::entry {

/// @brief A request of either listener; their ids overlap.
struct ExchangeKey
{
  RequestOrigin origin = RequestOrigin::Caller;
  relay::ExchangeId id = 0;

  auto operator<=>(const ExchangeKey&) const = default;
};

/// @brief One attempt at one upstream, or through another instance.
struct Attempt
{
  relay::CallId call = 0;
  core::UpstreamId upstream; ///< Invalid if another instance chooses it.
  std::string upstreamName;
  std::string peer; ///< The instance that it goes through; empty if none.
  std::string service;
  std::string softwareVersion;
  std::string model;
  TimePoint sentAt{};
  routing::HeadWaitId headWait = 0; ///< Zero if no model runs.
  double promptTokens = 0;
  /// What it found at its upstream; nothing if times are not learnt.
  std::optional<routing::SendObservation> sent;
  std::optional<TimePoint> headAt;
  /// @brief Nothing if the prompt cache is not weighed.
  std::optional<routing::SentPrompt> sentPrompt;
  bool promptUnread = true; ///< The upstream has not read the prompt yet.
  bool resumed = false;
  std::size_t eventsBefore = 0; ///< Events of the stream's former attempts.
  bool accepted = false;        ///< Its response is forwarded to the caller.
  std::optional<relay::ResponseHead> head;
  ResponseMetadata metadata; ///< Empty for a response to another request.
  bool isForeign = false;    ///< The response is to another request.
  std::string body;          ///< Buffered until complete.

  std::size_t HeldBytes() const
  {
    return body.size() + (head ? head->HeldBytes() : 0);
  }
};

/// @brief An upstream's error response, for the caller if all attempts fail.
struct FallbackResponse
{
  relay::ResponseHead head;
  std::string body;

  std::size_t HeldBytes() const { return body.size() + head.HeldBytes(); }
};

struct Exchange
{
  ExchangeKey key;
  std::shared_ptr<const net::HttpRequest> request; ///< Its sends share it.
  RequestMetadata metadata;
  routing::Route route; ///< Copied when last matched.
  std::string organisation;
  int priority = 0;
  TimePoint arrivedAt{};
  TimePoint deadline{};
  TimePoint waitDeadline{}; ///< Refused if no upstream is found by then.
  relay::TimerId deadlineTimer = 0;
  relay::TimerId waitTimer = 0;
  routing::WaitTicket waitTicket = 0; ///< Not zero while it is in the queue.
  std::string waitService;            ///< In whose queue it is.
  relay::TimerId attemptTimer = 0;    ///< Only for idempotent requests.
  uint32_t executions = 0;            ///< Started, or possibly started.
  uint32_t sends = 0;                 ///< Including refused ones.
  bool mayHaveExecuted = false;
  bool responseStarted = false; ///< The caller has part of a response.
  TimePoint startedAt{};        ///< When it got the first part.
  bool paused = false;
  std::size_t modelIndex = 0; ///< Index into the route's models.
  bool isEscalated = false;   ///< A smaller model's answer was discarded.
  /// Another instance has passed on part of this model's answer.
  bool isModelSettled = false;
  /// Of the answer that is forwarded; empty if another instance chose it.
  std::string answeringModel;
  std::vector<core::UpstreamId> tried;
  std::vector<std::string> triedPeers; ///< Instances that it went through.
  std::optional<Attempt> attempt;
  std::optional<FallbackResponse> fallbackResponse;
  relay::EventSplitter events;
  std::vector<routing::RequestTrait> traits; ///< The whole request's is last.
  bool hasLostUpstream = false;              ///< An attempt was broken off.
  bool isTrial = false; ///< Sent although a trait is quarantined.
  std::string lastModel;
  std::optional<int> lastConfidence; ///< Of the forwarded answer.
  std::string lastVersion;
  std::size_t countedBytes = 0; ///< Of its responses, in the router's bound.
};

} // namespace hibiscusnotch::entry
