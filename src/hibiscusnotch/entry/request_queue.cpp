#include "request_queue.hpp"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

namespace hibiscusnotch::entry {

namespace {

// Requests that may be tried in vain in one pass: those ahead may need a
// version or room that others do not need.
constexpr std::size_t kMaxBlocked = 8;
// Interval at which the pace is measured anew and changes without a signal of
// their own (evacuations, roll-outs, cuts) are noticed.
constexpr Duration kCheckInterval{ 50'000 };
// Keeps a timer that is already due from taking the whole core.
constexpr Duration kMinTimerDelay{ 1'000 };
// A stream under way was started before all that wait, and its caller
// disconnects soon.
constexpr int kResumedRank = std::numeric_limits<int>::min();
constexpr int kUnavailable = 503;
constexpr int kResponseTimeWeight = 8; // averages about as many responses

} // namespace

RequestQueue::RequestQueue(const RouterOptions& aOptions,
                           const RouterDependencies& aDependencies,
                           const AttemptPlanner& aPlanner,
                           RequestQueueObserver aObserver)
  : options_(aOptions)
  , timers_(aDependencies.timers)
  , fleet_(aDependencies.fleet)
  , metrics_(aDependencies.metrics)
  , planner_(aPlanner)
  , observer_(std::move(aObserver))
{
}

RequestQueue::~RequestQueue()
{
  if (!IsEmpty()) {
    fleet_.upstreams.SetCapacityObserver({});
  }
  timers_.Cancel(timer_);
}

Duration
RequestQueue::OldestAge() const
{
  Duration oldest{ 0 };
  for (const auto& [service, queue] : queues_) {
    if (const auto arrival = queue.order.OldestArrival()) {
      oldest = std::max(oldest, timers_.Now() - *arrival);
    }
  }
  return oldest;
}

bool
RequestQueue::MustJoin(const std::string& aService) const
{
  const auto found = queues_.find(aService);
  return wakePending_ && found != queues_.end() &&
         found->second.order.Size() > 0;
}

Duration
RequestQueue::ResponseTimeOf(const Exchange& aExchange) const
{
  const auto found = responseTimes_.find(aExchange.route.name);
  return found == responseTimes_.end() ? Duration::zero() : found->second;
}

double
RequestQueue::WorkOf(const Exchange& aExchange) const
{
  const RequestMetadata& metadata = aExchange.metadata;
  uint32_t output =
    metadata.outputTokensHint.value_or(metadata.maxOutputTokens);
  if (metadata.maxOutputTokens > 0) {
    output = std::min(output, metadata.maxOutputTokens);
  }
  const double tokens = static_cast<double>(metadata.promptTokens) + output;
  if (tokens > 0) {
    return tokens;
  }
  const Duration known = ResponseTimeOf(aExchange);
  // A route's target is about as long as its responses take.
  return std::max(1e-6,
                  core::Seconds(known > Duration::zero()
                                  ? known
                                  : aExchange.route.latencyTarget));
}

void
RequestQueue::Join(Exchange& aExchange)
{
  const TimePoint now = timers_.Now();
  aExchange.waitService = planner_.ChooseService(aExchange);
  ServiceQueue& queue =
    queues_.try_emplace(aExchange.waitService, options_.waiting).first->second;
  aExchange.waitTicket = queue.order.Add(
    { aExchange.responseStarted ? kResumedRank : aExchange.priority,
      aExchange.organisation,
      WorkOf(aExchange),
      aExchange.arrivedAt,
      aExchange.arrivedAt + aExchange.route.latencyTarget -
        ResponseTimeOf(aExchange),
      aExchange.waitDeadline },
    now);
  queue.keys.emplace(aExchange.waitTicket, aExchange.key);
  if (size_++ == 0) {
    fleet_.upstreams.SetCapacityObserver([this] { Wake(); });
  }
  ArmBy(std::min({ aExchange.waitDeadline,
                   now + kCheckInterval,
                   planner_.NextKnownOpening(aExchange.waitService)
                     .value_or(TimePoint::max()) }));
}

void
RequestQueue::Start(Exchange& aExchange)
{
  const TimePoint now = timers_.Now();
  queues_.at(aExchange.waitService).order.Start(aExchange.waitTicket, now);
  metrics_.Observe(observe::LatencyMetric::QueueWait,
                   { aExchange.organisation, aExchange.route.name },
                   now - aExchange.arrivedAt);
  Removed(aExchange);
}

void
RequestQueue::Leave(Exchange& aExchange)
{
  queues_.at(aExchange.waitService).order.Remove(aExchange.waitTicket);
  Removed(aExchange);
}

void
RequestQueue::Removed(Exchange& aExchange)
{
  queues_.at(aExchange.waitService).keys.erase(aExchange.waitTicket);
  aExchange.waitTicket = 0;
  if (--size_ == 0) {
    fleet_.upstreams.SetCapacityObserver({});
    timers_.Cancel(std::exchange(timer_, 0));
    wakePending_ = false;
  }
}

std::optional<Refusal>
RequestQueue::WaitRefusal(const Exchange& aExchange, core::Reason aReason)
{
  const TimePoint now = timers_.Now();
  routing::WaitQueue& order = queues_.at(aExchange.waitService).order;
  const auto refuse = [&](core::Reason aWhy, TimePoint aAt, double aPerSecond) {
    return Refusal{ kUnavailable,
                    aWhy,
                    order.RetryAfter(aAt, aPerSecond, now) };
  };
  const auto opening = planner_.NextOpening(aExchange, aExchange.modelIndex);
  if (opening) {
    if (opening->at == TimePoint::max()) {
      return Refusal{ kUnavailable, opening->reason, kRetryAfterBusy };
    }
    const TimePoint start = order.ExpectedStartOf(
      aExchange.waitTicket, { opening->at, opening->perSecond }, now);
    if (start > aExchange.waitDeadline) {
      return refuse(opening->reason, start, opening->perSecond);
    }
  }
  const bool ended =
    now >= aExchange.waitDeadline || aReason == core::Reason::ExposureLimit;
  const auto pace = order.MeasuredPace(now);
  if (!pace) {
    return ended
             ? std::optional(Refusal{ kUnavailable, aReason, kRetryAfterBusy })
             : std::nullopt;
  }
  const TimePoint start =
    order.ExpectedStartOf(aExchange.waitTicket, *pace, now);
  if (ended) {
    return refuse(aReason, start, pace->perSecond);
  }
  // Upstreams' known openings say more than the former pace. Streams under way
  // have a limit of their own.
  if (!opening && !aExchange.responseStarted &&
      start > aExchange.waitDeadline) {
    return refuse(core::Reason::QueueFull, start, pace->perSecond);
  }
  return std::nullopt;
}

std::string
RequestQueue::Describe(const Exchange& aExchange, core::Reason aReason) const
{
  const routing::WaitQueue& order = queues_.at(aExchange.waitService).order;
  return " service=" + aExchange.waitService +
         " priority=" + std::to_string(aExchange.priority) + " place=" +
         std::to_string(std::lround(order.Place(aExchange.waitTicket))) +
         " reason=" + std::string(core::ToString(aReason));
}

void
RequestQueue::RecordResponseTime(const Exchange& aExchange, Duration aTime)
{
  if (IsEmpty()) {
    return;
  }
  const auto [known, isNew] =
    responseTimes_.try_emplace(aExchange.route.name, aTime);
  if (!isNew) {
    known->second += (aTime - known->second) / kResponseTimeWeight;
  }
}

void
RequestQueue::Wake()
{
  // Not at once: the caller may be about to send or to end something.
  wakePending_ = true;
  ArmBy(timers_.Now());
}

void
RequestQueue::ArmBy(TimePoint aTime)
{
  if (timer_ != 0 && timerAt_ <= aTime) {
    return;
  }
  timers_.Cancel(timer_);
  timerAt_ = aTime;
  timer_ = timers_.At(aTime, [this] { OnTimer(); });
}

void
RequestQueue::OnTimer()
{
  timer_ = 0;
  wakePending_ = false;
  for (auto& [service, queue] : queues_) {
    if (queue.order.Size() > 0) {
      Serve(queue);
      RefuseLate(queue);
    }
  }
  const TimePoint now = timers_.Now();
  for (auto& [service, queue] : queues_) {
    if (queue.order.Size() > 0) {
      const TimePoint next = std::min(
        { queue.order.NextDeadline().value_or(TimePoint::max()),
          planner_.NextKnownOpening(service).value_or(TimePoint::max()),
          now + kCheckInterval });
      ArmBy(std::max(next, now + kMinTimerDelay));
    }
  }
}

void
RequestQueue::Serve(ServiceQueue& aQueue)
{
  std::size_t blocked = 0;
  while (blocked < kMaxBlocked) {
    const auto ticket = aQueue.order.Next(timers_.Now());
    if (!ticket) {
      break;
    }
    observer_.onTurn(ExchangeKey(aQueue.keys.at(*ticket)));
    if (aQueue.keys.contains(*ticket)) {
      aQueue.order.SetAside(*ticket);
      ++blocked;
    }
  }
  aQueue.order.RestoreAside();
}

void
RequestQueue::RefuseLate(ServiceQueue& aQueue)
{
  const TimePoint now = timers_.Now();
  const auto giveTurn = [&](routing::WaitTicket aTicket) {
    const auto found = aQueue.keys.find(aTicket);
    if (found != aQueue.keys.end()) {
      observer_.onTurn(ExchangeKey(found->second));
    }
  };
  for (const routing::WaitTicket ticket : aQueue.order.Expired(now)) {
    giveTurn(ticket);
  }
  if (now - aQueue.checkedAt < kCheckInterval) {
    return;
  }
  aQueue.checkedAt = now;
  const auto pace = aQueue.order.MeasuredPace(now);
  if (!pace) {
    return;
  }
  for (const auto& [ticket, at] : aQueue.order.StartingTooLate(*pace, now)) {
    giveTurn(ticket); // there may be room that only this one can use
    const auto found = aQueue.keys.find(ticket);
    if (found != aQueue.keys.end()) {
      observer_.onTooLate(ExchangeKey(found->second),
                          aQueue.order.RetryAfter(at, pace->perSecond, now));
    }
  }
}

} // namespace hibiscusnotch::entry
