/// @file
/// @brief The requests that wait for an upstream, by service.
#pragma once

#include "attempt_planner.hpp"
#include "exchange.hpp"
#include "hibiscusnotch/entry/fleet_state.hpp"
#include "hibiscusnotch/observe/metrics.hpp"
#include "hibiscusnotch/routing/wait_queue.hpp"
#include "request_admission.hpp"

#include <functional>
#include <map>
#include <string>
#include <unordered_map>

namespace hibiscusnotch::entry {

/// @brief What the queue asks of the router.
struct RequestQueueObserver
{
  /// @brief It is the request's turn: send, refuse or leave it waiting.
  std::function<void(const ExchangeKey&)> onTurn;
  /// @brief The request is expected to start after its wait deadline.
  std::function<void(const ExchangeKey&, Duration aRetryAfter)> onTooLate;
};

/// @brief Gives waiting requests their turns when upstreams may have room.
///
/// It is woken by the table of upstreams and by one timer. While nobody waits
/// it has neither a timer nor an observer of the table.
class RequestQueue
{
public:
  RequestQueue(const RouterOptions& aOptions,
               const RouterDependencies& aDependencies,
               const AttemptPlanner& aPlanner,
               RequestQueueObserver aObserver);
  ~RequestQueue();
  RequestQueue(const RequestQueue&) = delete;
  RequestQueue& operator=(const RequestQueue&) = delete;

  bool IsEmpty() const { return size_ == 0; }
  std::size_t Size() const { return size_; }
  /// @brief How long the oldest request has been open.
  Duration OldestAge() const;
  /// @brief True if requests of the service wait and are about to get their
  /// turns, so that a new one must not go ahead of them.
  bool MustJoin(const std::string& aService) const;

  /// @brief Sets the exchange's ticket.
  void Join(Exchange& aExchange);
  /// @brief The request is sent: takes it out and counts its work.
  void Start(Exchange& aExchange);
  /// @brief Takes a request out that is not sent.
  void Leave(Exchange& aExchange);

  /// @brief Why and for how long the caller of a request that cannot be sent
  /// now is sent away; nothing if the request is worth waiting for.
  /// @param aReason Why it cannot be sent.
  std::optional<Refusal> WaitRefusal(const Exchange& aExchange,
                                     core::Reason aReason);
  /// @brief Its service, priority and place in the queue, and why it waits, for
  /// the log.
  std::string Describe(const Exchange& aExchange, core::Reason aReason) const;
  /// @brief Learns how long the route's upstreams take to respond, while
  /// anybody waits.
  void RecordResponseTime(const Exchange& aExchange, Duration aTime);

private:
  struct ServiceQueue
  {
    explicit ServiceQueue(const routing::WaitQueueOptions& aOptions)
      : order(aOptions)
    {
    }

    routing::WaitQueue order;
    std::unordered_map<routing::WaitTicket, ExchangeKey> keys;
    TimePoint checkedAt{}; ///< For requests that would start too late.
  };

  /// Tokens, or seconds for requests without tokens.
  double WorkOf(const Exchange& aExchange) const;
  Duration ResponseTimeOf(const Exchange& aExchange) const;
  void Removed(Exchange& aExchange);
  void Wake();
  void ArmBy(TimePoint aTime);
  void OnTimer();
  void Serve(ServiceQueue& aQueue);
  void RefuseLate(ServiceQueue& aQueue);

  const RouterOptions& options_;
  relay::Timers& timers_;
  FleetState& fleet_;
  observe::Metrics& metrics_;
  const AttemptPlanner& planner_;
  RequestQueueObserver observer_;
  std::map<std::string, ServiceQueue, std::less<>> queues_;
  /// Exponentially weighted, by route.
  std::map<std::string, Duration, std::less<>> responseTimes_;
  std::size_t size_ = 0;
  relay::TimerId timer_ = 0;
  TimePoint timerAt_{};
  bool wakePending_ = false;
};

} // namespace hibiscusnotch::entry
