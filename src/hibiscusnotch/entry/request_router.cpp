#include "hibiscusnotch/entry/request_router.hpp"

#include "attempt_planner.hpp"
#include "attempt_recorder.hpp"
#include "exchange.hpp"
#include "forward_call.hpp"
#include "forward_planner.hpp"
#include "hibiscusnotch/entry/uplink_guard.hpp"
#include "model_chooser.hpp"
#include "quarantine_check.hpp"
#include "request_admission.hpp"
#include "request_description.hpp"
#include "request_queue.hpp"
#include "request_traits.hpp"
#include "response_check.hpp"
#include "response_writer.hpp"

#include <algorithm>
#include <cmath>
#include <map>
#include <set>

namespace hibiscusnotch::entry {

namespace {

using core::EventNumber;
using core::Reason;
using core::UpstreamId;
using relay::CallOutcome;
using routing::ExecutionSemantics;

constexpr int kServerError = 500;
constexpr int kBadGateway = 502;
constexpr int kUnavailable = 503;
constexpr int kGatewayTimeout = 504;

// Interval at which a request looks for the first configuration.
constexpr Duration kConfigurationPollInterval{ 40'000 };
// Before a request asks upstreams that refused it once more.
constexpr Duration kRefusalPause{ 40'000 };
// How long a request waits for the first configuration; a start takes less.
constexpr Duration kMaxConfigurationWait{ 900'000 };
// A request waits for an upstream for at most this fraction of its route's
// latency target, limited by kMaxWait: most temporary shortages (a restart, a
// cold start) end within it.
constexpr int kWaitDivisor = 4;
constexpr Duration kMaxWait{ 800'000 };
// How long a broken stream waits for another upstream: callers disconnect after
// a gap of two seconds.
constexpr Duration kMaxResumeWait{ 1'500'000 };
constexpr Duration kRetryAfterElsewhere{ 50'000 }; // another one serves it
// Keeps requests that crash upstreams away for a while.
constexpr Duration kRetryAfterQuarantine{ 10'000'000 };
// Responses that are not streams are buffered up to this size.
constexpr std::size_t kMaxBufferedBodyBytes = 4 * 1024 * 1024;
// The same for all of them together; the smallest machines have 88 MB.
constexpr std::size_t kMaxBufferedBytes = 16 * 1024 * 1024;
// Of other instances' callers, so that this instance's own are not starved.
constexpr std::size_t kMaxForwardedRequests = 64;
// Instances that a request goes to before it is given up.
constexpr std::size_t kMaxForwards = 4;
// Fraction of the retry budget that escalations may use.
constexpr double kEscalationBudgetShare = 0.85;
// Fraction that retries of slow attempts may use.
constexpr double kSlowAttemptBudgetShare = 0.6;
// No upstream usually responds in less time.
constexpr Duration kMinAttemptTimeout{ 200'000 };

/// Nothing if the prompt names no shared segments.
std::string
FormatCachedTokens(const Attempt& aAttempt)
{
  const auto& prompt = aAttempt.sentPrompt;
  return prompt && prompt->sharedTokens > 0
           ? " cached=" + std::to_string(std::lround(prompt->forecast.tokens))
           : "";
}

class Router : public RequestRouter
{
public:
  Router(RouterOptions aOptions, RouterDependencies aDependencies)
    : options_(std::move(aOptions))
    , timers_(aDependencies.timers)
    , client_(aDependencies.client)
    , headerCodec_(aDependencies.headerCodec)
    , fleet_(aDependencies.fleet)
    , log_(aDependencies.log)
    , planner_(options_, fleet_, timers_)
    , models_(options_, fleet_, planner_, timers_)
    , guard_(timers_, client_, fleet_, log_)
    , recorder_(timers_, client_, guard_, fleet_, log_)
    , responses_(aDependencies)
    , queue_(options_,
             aDependencies,
             planner_,
             { [this](const ExchangeKey& aKey) { OnTurn(aKey); },
               [this](const ExchangeKey& aKey, Duration aRetryAfter) {
                 OnTooLate(aKey, aRetryAfter);
               } })
    , forwards_(options_.instanceName, options_.zone, fleet_)
  {
  }

  void SetListener(RequestOrigin aOrigin, relay::Listener& aListener) override
  {
    responses_.SetListener(aOrigin, aListener);
  }

  void OnRequest(RequestOrigin aOrigin,
                 relay::ExchangeId aId,
                 net::HttpRequest aRequest) override
  {
    const ExchangeKey key{ aOrigin, aId };
    const bool isFull = aOrigin == RequestOrigin::Instance &&
                        ForwardedCount() >= kMaxForwardedRequests;
    Exchange& exchange = exchanges_[key];
    exchange.key = key;
    exchange.request =
      std::make_shared<const net::HttpRequest>(std::move(aRequest));
    exchange.metadata = headerCodec_.ReadRequest(*exchange.request);
    exchange.arrivedAt = timers_.Now();
    exchange.traits = TraitsOf(*exchange.request, exchange.metadata);
    if (aOrigin == RequestOrigin::Instance) {
      exchange.executions = exchange.metadata.forwardedExecutions;
    }
    if (shuttingDown_ || isFull) {
      Refuse(exchange,
             kUnavailable,
             isFull ? Reason::CapacityLimit : Reason::ShuttingDown,
             kRetryAfterElsewhere);
      return;
    }
    StartRequest(exchange);
  }

  void OnClientDisconnected(RequestOrigin aOrigin,
                            relay::ExchangeId aId) override
  {
    const auto found = exchanges_.find({ aOrigin, aId });
    if (found == exchanges_.end()) {
      return;
    }
    log_.Write(EventNumber::CallerLeft, Describe(found->second));
    Remove(found->second);
  }

  void OnWritten(RequestOrigin aOrigin, relay::ExchangeId aId) override
  {
    const auto found = exchanges_.find({ aOrigin, aId });
    if (found != exchanges_.end() && found->second.paused &&
        found->second.attempt) {
      found->second.paused = false;
      client_.SetPaused(found->second.attempt->call, false);
    }
  }

  std::size_t OpenRequestCount() const override { return exchanges_.size(); }

  std::size_t BufferedBytes() const override { return bufferedBytes_; }

  std::size_t QueuedRequestCount() const override { return queue_.Size(); }

  Duration OldestQueuedAge() const override { return queue_.OldestAge(); }

  void RefuseNewRequests() override { shuttingDown_ = true; }

  void EndOpenRequests() override
  {
    shuttingDown_ = true;
    while (!exchanges_.empty()) {
      EndAtShutdown(exchanges_.begin()->second);
    }
  }

  bool IsCutOff() const override { return guard_.IsCutOff(); }

  uint64_t ForwardCount() const override { return forwardCount_; }

  bool KeysAreFresh() const override
  {
    return entry::KeysAreFresh(options_, fleet_, timers_.Now());
  }

private:
  std::string Describe(const Exchange& aExchange) const
  {
    return DescribeExchange(aExchange, timers_.Now());
  }

  /// Admits and dispatches a new request.
  void StartRequest(Exchange& aExchange)
  {
    if (!Admit(aExchange)) {
      return;
    }
    const ExchangeKey key = aExchange.key;
    const Duration latencyTarget = aExchange.route.latencyTarget;
    aExchange.waitDeadline =
      timers_.Now() + std::min(latencyTarget / kWaitDivisor, kMaxWait);
    SetFirstModel(aExchange);
    if (aExchange.route.executionSemantics == ExecutionSemantics::Stream &&
        aExchange.route.resumable) {
      aExchange.events.ResumeAfter(aExchange.metadata.resumeAfter);
    }
    aExchange.deadlineTimer =
      timers_.At(aExchange.deadline, [this, key] { OnDeadline(key); });
    Dispatch(aExchange);
  }

  void SetFirstModel(Exchange& aExchange)
  {
    const auto& models = aExchange.route.models;
    const auto settled =
      aExchange.key.origin == RequestOrigin::Instance
        ? std::ranges::find(models, aExchange.metadata.forwardedModel)
        : models.end();
    aExchange.isModelSettled = settled != models.end();
    aExchange.modelIndex =
      aExchange.isModelSettled
        ? static_cast<std::size_t>(std::distance(models.begin(), settled))
        : models_.FirstModel(aExchange);
  }

  /// Refuses the request and returns false if it may not be served.
  bool Admit(Exchange& aExchange)
  {
    if (!fleet_.configuration) {
      WaitForConfiguration(aExchange);
      return false;
    }
    const auto refusal =
      AdmitExchange(aExchange, options_, fleet_, timers_.Now());
    if (aExchange.sends == 0 && aExchange.key.origin == RequestOrigin::Caller) {
      fleet_.rollouts.RecordArrival(planner_.ChooseService(aExchange),
                                    timers_.Now());
    }
    if (refusal) {
      Refuse(aExchange, refusal->status, refusal->reason, refusal->retryAfter);
    }
    return !refusal;
  }

  /// An instance that has just started gets its configuration shortly.
  void WaitForConfiguration(Exchange& aExchange)
  {
    if (timers_.Now() - aExchange.arrivedAt >= kMaxConfigurationWait) {
      Refuse(aExchange, kUnavailable, Reason::NoConfiguration, kRetryAfterBusy);
      return;
    }
    CallLater(aExchange, kConfigurationPollInterval, &Router::StartRequest);
  }

  void CallLater(Exchange& aExchange,
                 Duration aDelay,
                 void (Router::*aCall)(Exchange&))
  {
    const ExchangeKey key = aExchange.key;
    aExchange.waitTimer = timers_.After(aDelay, [this, key, aCall] {
      const auto found = exchanges_.find(key);
      if (found != exchanges_.end()) {
        found->second.waitTimer = 0;
        (this->*aCall)(found->second);
      }
    });
  }

  /// Sends the request to an upstream or waits for one.
  void Dispatch(Exchange& aExchange)
  {
    if (aExchange.sends > 0 && !aExchange.responseStarted &&
        !Admit(aExchange)) {
      return;
    }
    if (IsQuarantined(aExchange, options_, fleet_, timers_.Now())) {
      GiveUp(aExchange, Reason::Quarantined, kRetryAfterQuarantine);
      return;
    }
    if (guard_.IsCutOff() || planner_.IsBeyondReach(aExchange)) {
      if (!Forward(aExchange, {})) {
        GiveUp(aExchange, Reason::NoReach);
      }
      return;
    }
    if (!queue_.IsEmpty() && aExchange.waitTicket == 0 &&
        !aExchange.responseStarted &&
        queue_.MustJoin(planner_.ChooseService(aExchange))) {
      queue_.Join(aExchange); // those ahead of it come first
      LogQueued(aExchange, Reason::None);
      return;
    }
    Reason reason = Reason::NoUpstream;
    const auto chosen =
      planner_.ChooseUpstream(aExchange, aExchange.modelIndex, reason);
    if (chosen) {
      Send(aExchange, *chosen);
      return;
    }
    const auto holders = planner_.ShareHolders(aExchange, aExchange.modelIndex);
    if (holders.empty() || !Forward(aExchange, holders)) {
      WaitForUpstream(aExchange, reason);
    }
  }

  void WaitForUpstream(Exchange& aExchange, Reason aReason)
  {
    const bool isNew = aExchange.waitTicket == 0;
    if (isNew) {
      queue_.Join(aExchange);
    }
    if (const auto refusal = queue_.WaitRefusal(aExchange, aReason)) {
      GiveUp(aExchange, refusal->reason, refusal->retryAfter);
      return;
    }
    if ((aReason == Reason::NoUpstream || aReason == Reason::RequestLimit) &&
        !std::exchange(aExchange.tried, {}).empty()) {
      // Upstreams that refused it may accept it a little later.
      queue_.Leave(aExchange);
      CallLater(aExchange, kRefusalPause, &Router::Dispatch);
      return;
    }
    if (isNew) {
      LogQueued(aExchange, aReason);
    }
  }

  void LogQueued(const Exchange& aExchange, Reason aReason)
  {
    log_.Write(EventNumber::RequestQueued,
               Describe(aExchange) + queue_.Describe(aExchange, aReason));
  }

  void OnTurn(const ExchangeKey& aKey)
  {
    const auto found = exchanges_.find(aKey);
    if (found != exchanges_.end()) {
      Dispatch(found->second);
    }
  }

  void OnTooLate(const ExchangeKey& aKey, Duration aRetryAfter)
  {
    const auto found = exchanges_.find(aKey);
    if (found != exchanges_.end() && !found->second.responseStarted) {
      GiveUp(found->second, Reason::QueueFull, aRetryAfter);
    }
  }

  std::size_t ForwardedCount() const
  {
    return static_cast<std::size_t>(
      std::distance(exchanges_.lower_bound({ RequestOrigin::Instance, 0 }),
                    exchanges_.end()));
  }

  /// Sends the request through another instance, which is one of the given ones
  /// if there are any. Returns false if none can be asked.
  bool Forward(Exchange& aExchange, const std::set<std::string>& aAmong)
  {
    const TimePoint now = timers_.Now();
    if (aExchange.key.origin == RequestOrigin::Instance ||
        aExchange.triedPeers.size() >= kMaxForwards ||
        aExchange.deadline - now < kMinRemainingTime) {
      return false;
    }
    const auto peer = forwards_.ChoosePeer(aAmong, aExchange.triedPeers, now);
    if (!peer) {
      return false;
    }
    aExchange.triedPeers.push_back(*peer);
    ++forwardCount_;
    Attempt attempt = MakeForwardAttempt(aExchange, *peer, now);
    attempt.service = planner_.ChooseService(aExchange);
    relay::OutboundCall call =
      MakeForwardCall(aExchange, headerCodec_, fleet_.instances.at(*peer), now);
    log_.Write(EventNumber::RequestForwarded,
               Describe(aExchange) + " to=" + *peer +
                 " forwards=" + std::to_string(aExchange.triedPeers.size()));
    StartCall(aExchange, std::move(attempt), std::move(call));
    return true;
  }

  void StartCall(Exchange& aExchange,
                 Attempt aAttempt,
                 relay::OutboundCall aCall)
  {
    const ExchangeKey key = aExchange.key;
    if (aExchange.waitTicket != 0) {
      queue_.Start(aExchange);
    }
    relay::CallObserver observer;
    observer.onHead = [this, key](const relay::ResponseHead& aHead) {
      OnHead(key, aHead);
    };
    observer.onBody = [this, key](std::string_view aBytes) {
      OnBody(key, aBytes);
    };
    observer.onEnd = [this, key](CallOutcome aOutcome, std::string_view aWhy) {
      OnAttemptEnd(key, aOutcome, aWhy);
    };
    aExchange.events.BeginSource();
    aAttempt.call = client_.Start(std::move(aCall), std::move(observer));
    aExchange.attempt = std::move(aAttempt);
  }

  void Send(Exchange& aExchange, UpstreamId aUpstream)
  {
    const TimePoint now = timers_.Now();
    const routing::Upstream& upstream = *fleet_.upstreams.Find(aUpstream);
    Attempt attempt;
    attempt.upstream = aUpstream;
    attempt.upstreamName = upstream.entry.name;
    attempt.service = upstream.entry.service;
    attempt.softwareVersion = upstream.entry.softwareVersion;
    attempt.model = ModelName(aExchange, aExchange.modelIndex);
    attempt.sentAt = now;
    attempt.promptTokens = aExchange.metadata.promptTokens;
    attempt.sentPrompt =
      planner_.RecordPrompt(aExchange, aExchange.modelIndex, aUpstream);
    attempt.resumed = aExchange.responseStarted;
    attempt.eventsBefore = aExchange.events.EventCount();
    AttemptMetadata metadata;
    metadata.timeLeft = aExchange.deadline + kDeadlineMargin - now;
    metadata.upstream = upstream.entry.name;
    metadata.organisation = aExchange.organisation;
    metadata.model = aExchange.route.models.empty() ? "" : attempt.model;
    metadata.priority = aExchange.priority;
    if (aExchange.responseStarted && !aExchange.events.LastId().empty()) {
      metadata.resumeAfter = aExchange.events.LastId();
    }
    relay::OutboundCall call;
    call.to = upstream.entry.endpoint;
    call.message =
      headerCodec_.WriteUpstreamRequest(*aExchange.request, metadata);
    call.body = { aExchange.request, &aExchange.request->body };
    call.bodyless = aExchange.request->method == "HEAD";
    call.connectTimeout = ConnectTimeout(aExchange);
    call.probeAfterSilence = SilenceLimit(aExchange);
    call.maxSilence = MaxSilence(aExchange);
    if (aExchange.sends == 0) {
      retryBudgets_[attempt.service].RecordRequest(now);
    }
    ++aExchange.sends;
    aExchange.tried.push_back(aUpstream);
    log_.Write(
      EventNumber::AttemptSent,
      Describe(aExchange) + " to=" + attempt.upstreamName +
        " software=" + attempt.softwareVersion +
        " session=" + aExchange.metadata.session + " model=" + attempt.model +
        " prompt_tokens=" + std::to_string(aExchange.metadata.promptTokens) +
        " left_ms=" + FormatMilliseconds(metadata.timeLeft) +
        " own_load=" + std::to_string(upstream.inFlight) + " load=" +
        std::to_string(
          static_cast<int>(routing::UpstreamTable::Load(upstream, now))) +
        (upstream.requestLimit
           ? " limit=" + FormatRate(*upstream.requestLimit) +
               " own_rate=" + FormatRate(upstream.pacer.Rate())
           : "") +
        DescribeConfiguration(fleet_, now) + FormatCachedTokens(attempt));
    planner_.RecordSend(aExchange, attempt);
    fleet_.upstreams.RecordSend(aUpstream, attempt.promptTokens, now);
    fleet_.rollouts.RecordSend(attempt.service, attempt.softwareVersion);
    planner_.RecordSessionVersion(aExchange, attempt);
    models_.RecordSend(aExchange, attempt);
    StartCall(aExchange, std::move(attempt), std::move(call));
    if (aExchange.route.executionSemantics == ExecutionSemantics::Idempotent) {
      aExchange.attemptTimer = timers_.After(
        std::max(aExchange.route.latencyTarget, kMinAttemptTimeout),
        [this, key = aExchange.key] { OnSlowAttempt(key); });
    }
  }

  /// Retries a slow idempotent request at another upstream.
  void OnSlowAttempt(ExchangeKey aKey)
  {
    const auto found = exchanges_.find(aKey);
    if (found == exchanges_.end() || !found->second.attempt ||
        found->second.attempt->head) {
      return;
    }
    Exchange& exchange = found->second;
    exchange.attemptTimer = 0;
    const Attempt attempt = *exchange.attempt;
    recorder_.BlameUpstream(exchange, attempt);
    Reason reason = Reason::NoUpstream;
    if (exchange.executions + 1 >= exchange.route.maxAttempts ||
        !planner_.ChooseUpstream(exchange, exchange.modelIndex, reason) ||
        !AcquireRetry(exchange, kSlowAttemptBudgetShare)) {
      return; // the response may still arrive
    }
    log_.Write(EventNumber::AttemptEnded,
               Describe(exchange) + " end=abandoned took_ms=" +
                 FormatMilliseconds(timers_.Now() - attempt.sentAt));
    ++exchange.executions;
    exchange.mayHaveExecuted = true;
    EndAttempt(exchange);
    Dispatch(exchange);
  }

  void OnHead(ExchangeKey aKey, const relay::ResponseHead& aHead)
  {
    const auto found = exchanges_.find(aKey);
    if (found == exchanges_.end() || !found->second.attempt) {
      return;
    }
    Exchange& exchange = found->second;
    Attempt& attempt = *exchange.attempt;
    attempt.head = aHead;
    if (!CountResponse(exchange)) {
      return;
    }
    attempt.metadata = headerCodec_.ReadResponse(aHead);
    if (IsForAnotherRequest(exchange, attempt)) {
      // Nothing that it states, above all "not run", is about this request.
      attempt.metadata = {};
      attempt.isForeign = true;
    } else if (attempt.peer.empty()) {
      recorder_.RecordUpstreamState(attempt);
    } else {
      attempt.metadata.notExecuted = IsRefusalOfPeer(attempt);
      attempt.metadata.wrongUpstream = false;
      if (attempt.metadata.sealed) {
        // An instance without slots hears of it in no other way.
        recorder_.RecordBrittleness(attempt);
      }
    }
    if (!attempt.metadata.notExecuted && !attempt.metadata.wrongUpstream) {
      if (!aHead.isSelfDelimited && attempt.peer.empty()) {
        SetLivenessCheck(attempt);
      }
      fleet_.upstreams.RecordAcceptance(attempt.upstream);
      ++exchange.executions;
      exchange.mayHaveExecuted = true;
    }
    if (!IsValidSuccess(exchange, attempt)) {
      return; // handled once the response is complete
    }
    queue_.RecordResponseTime(exchange, timers_.Now() - attempt.sentAt);
    planner_.RecordHead(attempt);
    recorder_.MarkPromptRead(attempt);
    if (exchange.route.executionSemantics == ExecutionSemantics::Stream) {
      recorder_.RecordSuccess(exchange, attempt);
      models_.RecordHead(exchange);
      if (attempt.sentPrompt) {
        fleet_.promptCache.RecordResponse(
          *attempt.sentPrompt,
          planner_.AtUsualSpeed(attempt, timers_.Now() - attempt.sentAt));
      }
      if (!exchange.responseStarted && attempt.peer.empty() &&
          !exchange.isModelSettled && Escalate(exchange)) {
        return;
      }
      if (!exchange.responseStarted) {
        exchange.answeringModel = attempt.model;
      }
      exchange.lastModel = attempt.model;
      exchange.lastConfidence = attempt.metadata.confidence;
      attempt.accepted = true;
    }
  }

  /// For a response whose end alone does not tell whether it is whole.
  void SetLivenessCheck(const Attempt& aAttempt)
  {
    const routing::Upstream* upstream =
      fleet_.upstreams.Find(aAttempt.upstream);
    if (!upstream) {
      return;
    }
    const auto& entry = upstream->entry;
    const routing::Service* service =
      fleet_.configuration ? fleet_.configuration->FindService(entry.service)
                           : nullptr;
    std::string message = headerCodec_.WriteLivenessRequest(entry, service);
    if (!message.empty()) {
      client_.SetLivenessCheck(aAttempt.call,
                               { std::move(message),
                                 [this, entry](const relay::ResponseHead& aHead,
                                               std::string_view aBody) {
                                   return headerCodec_.SenderOf(
                                     entry, aHead, aBody);
                                 } });
    }
  }

  /// Discards a low-confidence answer and runs a larger model.
  bool Escalate(Exchange& aExchange)
  {
    const Attempt& attempt = *aExchange.attempt;
    const double budgetUsed = retryBudgets_[attempt.service].Used(
      options_.retryBudget, fleet_.InstanceCount(), timers_.Now());
    const auto judged = models_.Judge(aExchange, budgetUsed);
    const auto keep = [&](std::string_view aCause) {
      if (judged && judged->isPoor) {
        log_.Write(EventNumber::AnswerKept,
                   Describe(aExchange) +
                     DescribeKeptAnswer(attempt, *judged, budgetUsed, aCause));
      }
      models_.RecordDecision(aExchange, false);
      return false;
    };
    if (!judged || !judged->next) {
      return keep(judged ? routing::ToString(judged->cause) : "");
    }
    if (!aExchange.route.RetrySafe() ||
        aExchange.executions >= aExchange.route.maxAttempts) {
      return keep(core::ToString(Reason::AttemptsUsedUp));
    }
    if (IsQuarantined(aExchange, options_, fleet_, timers_.Now())) {
      return keep(core::ToString(Reason::Quarantined));
    }
    const std::vector<UpstreamId> tried = std::exchange(aExchange.tried, {});
    Reason reason = Reason::NoUpstream;
    const auto chosen =
      planner_.ChooseUpstream(aExchange, *judged->next, reason);
    if (!chosen || !AcquireRetry(aExchange, kEscalationBudgetShare)) {
      aExchange.tried = tried;
      return keep(core::ToString(chosen ? Reason::RetryBudget : reason));
    }
    log_.Write(
      EventNumber::AnswerEscalated,
      Describe(aExchange) + " from=" + attempt.model +
        " confidence=" + std::to_string(*attempt.metadata.confidence) +
        " keep_from=" + std::to_string(judged->minConfidence) +
        " load_percent=" + std::to_string(std::lround(judged->crowding * 100)));
    models_.RecordDecision(aExchange, true);
    EndAttempt(aExchange);
    aExchange.modelIndex = *judged->next;
    aExchange.isEscalated = true;
    Send(aExchange, *chosen);
    return true;
  }

  bool AcquireRetry(const Exchange& aExchange, double aShare)
  {
    return retryBudgets_[planner_.ChooseService(aExchange)].TryAcquire(
      options_.retryBudget, fleet_.InstanceCount(), aShare, timers_.Now());
  }

  void OnBody(ExchangeKey aKey, std::string_view aBytes)
  {
    const auto found = exchanges_.find(aKey);
    if (found == exchanges_.end() || !found->second.attempt) {
      return;
    }
    Exchange& exchange = found->second;
    Attempt& attempt = *exchange.attempt;
    if (attempt.accepted) {
      fleet_.upstreams.RecordReachable(attempt.upstream, attempt.sentAt);
      const std::string events = exchange.events.Feed(aBytes);
      const bool tooLong = exchange.events.IsEventTooLong();
      const bool outOfOrder = exchange.events.IsOutOfOrder();
      if (!events.empty()) {
        ForwardEvents(exchange, events);
      }
      if (tooLong) {
        BreakOff(aKey, "event too long");
      } else if (outOfOrder) {
        BreakOff(aKey, "event id did not rise");
      } else if (exchanges_.contains(aKey)) {
        CountResponse(exchange);
      }
      return;
    }
    attempt.body.append(aBytes);
    if (attempt.body.size() > kMaxBufferedBodyBytes) {
      BreakOff(aKey, "response body too large");
    } else {
      CountResponse(exchange);
    }
  }

  /// Counts what is held of the exchange's responses.
  void UpdateCount(Exchange& aExchange)
  {
    const std::size_t held =
      aExchange.events.HeldBytes() +
      (aExchange.attempt ? aExchange.attempt->HeldBytes() : 0) +
      (aExchange.fallbackResponse ? aExchange.fallbackResponse->HeldBytes()
                                  : 0);
    bufferedBytes_ += held - aExchange.countedBytes;
    aExchange.countedBytes = held;
  }

  /// Counts what is held of the exchange's responses and keeps the sum of all
  /// within its bound; false if the exchange's attempt was broken off for it.
  bool CountResponse(Exchange& aExchange)
  {
    const ExchangeKey key = aExchange.key;
    const relay::CallId call = aExchange.attempt ? aExchange.attempt->call : 0;
    UpdateCount(aExchange);
    while (bufferedBytes_ > kMaxBufferedBytes && DropLargestResponse()) {
    }
    const auto still = exchanges_.find(key);
    return still != exchanges_.end() && still->second.attempt &&
           still->second.attempt->call == call;
  }

  /// Drops an upstream's error that is kept for its caller, or else ends the
  /// attempt that holds most; false if there is nothing to drop.
  bool DropLargestResponse()
  {
    const auto largest =
      std::ranges::max_element(exchanges_, {}, [](const auto& aEntry) {
        return aEntry.second.countedBytes;
      });
    if (largest == exchanges_.end() || largest->second.countedBytes == 0) {
      return false;
    }
    Exchange& exchange = largest->second;
    if (exchange.fallbackResponse) {
      exchange.fallbackResponse.reset();
      UpdateCount(exchange);
      return true;
    }
    if (!exchange.attempt) {
      return false;
    }
    BreakOff(exchange.key, "response bodies take too much memory");
    return true;
  }

  /// Ends an attempt whose response does not end.
  void BreakOff(ExchangeKey aKey, std::string_view aWhy)
  {
    const auto found = exchanges_.find(aKey);
    if (found != exchanges_.end() && found->second.attempt) {
      client_.Cancel(found->second.attempt->call);
      OnAttemptEnd(aKey, CallOutcome::ConnectionLost, aWhy);
    }
  }

  void ForwardEvents(Exchange& aExchange, const std::string& aEvents)
  {
    const ExchangeKey key = aExchange.key;
    StartResponse(aExchange);
    responses_.ListenerOf(key).Write(key.id,
                                     aEvents); // may remove the exchange
    const auto still = exchanges_.find(key);
    if (still != exchanges_.end() && still->second.attempt &&
        responses_.ListenerOf(key).UnsentBytes(key.id) >
          options_.maxUnsentBytes) {
      still->second.paused = true;
      client_.SetPaused(still->second.attempt->call, true);
    }
  }

  /// Releases the attempt's load and closes its connection.
  void EndAttempt(Exchange& aExchange)
  {
    if (!aExchange.attempt) {
      return;
    }
    timers_.Cancel(std::exchange(aExchange.attemptTimer, 0));
    Attempt& attempt = *aExchange.attempt;
    models_.RecordEnd(attempt);
    recorder_.MarkPromptRead(attempt);
    if (attempt.peer.empty()) {
      planner_.RecordSessionVersion(aExchange, attempt);
    }
    fleet_.upstreams.RecordEnd(attempt.upstream);
    if (attempt.sentPrompt) {
      fleet_.promptCache.RecordEnd(*attempt.sentPrompt,
                                   timers_.Now() - attempt.sentAt);
    }
    client_.Cancel(attempt.call);
    aExchange.attempt.reset();
    UpdateCount(aExchange);
  }

  void OnAttemptEnd(ExchangeKey aKey,
                    CallOutcome aOutcome,
                    std::string_view aWhy)
  {
    const auto found = exchanges_.find(aKey);
    if (found == exchanges_.end() || !found->second.attempt) {
      return;
    }
    Exchange& exchange = found->second;
    const Attempt attempt = *exchange.attempt;
    log_.Write(EventNumber::AttemptEnded,
               DescribeAttemptEnd(exchange, aOutcome, aWhy, timers_.Now()));
    EndAttempt(exchange);
    exchange.lastModel = attempt.model;
    exchange.lastVersion = attempt.softwareVersion;
    switch (aOutcome) {
      case CallOutcome::NotSent:
        OnNotSent(exchange, attempt);
        return;
      case CallOutcome::NotStarted:
        // Says nothing about the upstream or the way to it.
        Retry(exchange, Reason::CapacityLimit, false);
        return;
      case CallOutcome::ConnectionLost:
        OnConnectionLost(exchange, attempt);
        return;
      case CallOutcome::Complete:
        planner_.RecordComplete(attempt);
        OnComplete(exchange, attempt);
        return;
    }
  }

  void OnNotSent(Exchange& aExchange, const Attempt& aAttempt)
  {
    if (!aAttempt.peer.empty()) {
      forwards_.Avoid(aAttempt.peer, timers_.Now());
      Retry(aExchange, Reason::NoReach, false);
      return;
    }
    guard_.RecordFailure(aAttempt.upstream, aAttempt.sentAt);
    if (!guard_.IsUnreachable(aAttempt.upstream)) {
      recorder_.MarkSuspect(aAttempt);
    }
    Retry(aExchange, Reason::UpstreamSuspect, false);
  }

  void OnConnectionLost(Exchange& aExchange, const Attempt& aAttempt)
  {
    if (!aAttempt.head) {
      // The request was sent and may have been executed.
      ++aExchange.executions;
      aExchange.mayHaveExecuted = true;
    }
    if (!aAttempt.peer.empty()) {
      forwards_.Avoid(aAttempt.peer, timers_.Now());
    } else {
      guard_.RecordFailure(aAttempt.upstream, timers_.Now());
      recorder_.BlameUpstream(aExchange, aAttempt);
      recorder_.RecordLostAttempt(aExchange, aAttempt);
    }
    aExchange.events.DropPartialEvent();
    UpdateCount(aExchange);
    Retry(aExchange, Reason::AttemptLost, true);
  }

  void OnComplete(Exchange& aExchange, const Attempt& aAttempt)
  {
    if (aAttempt.accepted) {
      FinishStream(aExchange, aAttempt);
      return;
    }
    if (!aAttempt.peer.empty()) {
      OnPeerResponse(aExchange, aAttempt);
      return;
    }
    const int status = aAttempt.head->status;
    if (aAttempt.metadata.wrongUpstream) {
      fleet_.upstreams.RecordUnreachable(
        aAttempt.upstream, Duration::zero(), timers_.Now());
      Retry(aExchange, Reason::UpstreamLeaving, false);
      return;
    }
    if (aAttempt.metadata.notExecuted) {
      if (status == kUnavailable) {
        fleet_.upstreams.RecordRejection(aAttempt.upstream, timers_.Now());
      }
      Retry(aExchange, Reason::CapacityLimit, false);
      return;
    }
    const bool valid = IsValidSuccess(aExchange, aAttempt);
    const bool good = valid || (status < kServerError && status / 100 != 2 &&
                                !aAttempt.isForeign);
    recorder_.RecordResult(aExchange, aAttempt, good);
    if (aExchange.responseStarted) {
      // A whole response cannot follow the events that the caller has.
      Retry(aExchange, Reason::UpstreamFailed, true);
      return;
    }
    if (valid || (good && aAttempt.metadata.sealed)) {
      recorder_.RecordCompletion(aExchange);
      SendResponse(aExchange, *aAttempt.head, aAttempt.body);
      return;
    }
    if (status / 100 != 2 && aAttempt.metadata.sealed) {
      aExchange.fallbackResponse =
        FallbackResponse{ *aAttempt.head, aAttempt.body };
      CountResponse(aExchange);
    }
    Retry(aExchange, Reason::UpstreamFailed, true);
  }

  /// Handles a response that came through another instance, which has used the
  /// request's attempts.
  void OnPeerResponse(Exchange& aExchange, const Attempt& aAttempt)
  {
    if (aAttempt.metadata.notExecuted) {
      forwards_.Avoid(aAttempt.peer, timers_.Now());
      Retry(aExchange, Reason::NoReach, false);
      return;
    }
    if (!aAttempt.metadata.sealed || aExchange.responseStarted) {
      GiveUp(aExchange, Reason::UpstreamFailed);
      return;
    }
    if (IsValidSuccess(aExchange, aAttempt)) {
      recorder_.RecordCompletion(aExchange);
    }
    SendResponse(aExchange, *aAttempt.head, aAttempt.body);
  }

  void FinishStream(Exchange& aExchange, const Attempt& aAttempt)
  {
    if (IsTruncated(aExchange, aAttempt)) {
      OnConnectionLost(aExchange, aAttempt);
      return;
    }
    recorder_.RecordCompletion(aExchange);
    if (!aExchange.responseStarted) {
      aExchange.attempt = aAttempt;
      StartResponse(aExchange);
      aExchange.attempt.reset();
    }
    FinishResponse(aExchange);
  }

  /// Retries if allowed, otherwise sends the final response.
  /// @param aMayHaveExecuted True if the last attempt may have been executed.
  void Retry(Exchange& aExchange, Reason aReason, bool aMayHaveExecuted)
  {
    if (!MayRetry(aExchange, timers_.Now())) {
      GiveUp(aExchange, aReason);
      return;
    }
    if (aMayHaveExecuted || aReason == Reason::CapacityLimit) {
      if (!AcquireRetry(aExchange, 1)) {
        GiveUp(aExchange, Reason::RetryBudget);
        return;
      }
    }
    if (aExchange.responseStarted) {
      log_.Write(EventNumber::StreamResumed,
                 Describe(aExchange) + " after=" + aExchange.events.LastId());
      aExchange.waitDeadline = timers_.Now() + kMaxResumeWait;
    }
    Dispatch(aExchange);
  }

  /// Sends the final response when no further attempt is possible.
  /// @param aRetryAfter For the caller of a request that was not executed.
  void GiveUp(Exchange& aExchange,
              Reason aReason,
              Duration aRetryAfter = kRetryAfterBusy)
  {
    if (aExchange.responseStarted) {
      AbortResponse(aExchange, aReason);
    } else if (aExchange.fallbackResponse) {
      const FallbackResponse fallback = std::move(*aExchange.fallbackResponse);
      SendResponse(aExchange, fallback.head, fallback.body);
    } else if (aExchange.mayHaveExecuted) {
      Refuse(aExchange, kBadGateway, aReason, Duration::zero());
    } else {
      Refuse(aExchange, kUnavailable, aReason, aRetryAfter);
    }
  }

  void OnDeadline(ExchangeKey aKey)
  {
    const auto found = exchanges_.find(aKey);
    if (found == exchanges_.end()) {
      return;
    }
    Exchange& exchange = found->second;
    exchange.deadlineTimer = 0;
    if (exchange.responseStarted) {
      AbortResponse(exchange, Reason::DeadlinePassed);
      return;
    }
    if (exchange.attempt && !exchange.attempt->head) {
      const UpstreamId upstream = exchange.attempt->upstream;
      guard_.ExplainFailure(upstream, [this, upstream](bool aUnreachable) {
        if (!aUnreachable) {
          fleet_.upstreams.RecordOutcome(upstream, false);
        }
      });
    }
    const bool sent = exchange.attempt.has_value() || exchange.mayHaveExecuted;
    Refuse(exchange,
           sent ? kGatewayTimeout : kUnavailable,
           Reason::DeadlinePassed,
           sent ? Duration::zero() : kRetryAfterBusy);
  }

  void EndAtShutdown(Exchange& aExchange)
  {
    // An attempt without a response may have been executed.
    aExchange.mayHaveExecuted =
      aExchange.mayHaveExecuted || aExchange.attempt.has_value();
    GiveUp(aExchange, Reason::ShuttingDown, kRetryAfterElsewhere);
  }

  void StartResponse(Exchange& aExchange)
  {
    if (!std::exchange(aExchange.responseStarted, true)) {
      aExchange.startedAt = timers_.Now();
      responses_.StartStream(aExchange);
    }
  }

  void SendResponse(Exchange& aExchange,
                    const relay::ResponseHead& aHead,
                    const std::string& aBody)
  {
    const ExchangeKey key = aExchange.key;
    responses_.WriteWhole(aExchange, aHead, aBody);
    const auto still = exchanges_.find(key);
    if (still != exchanges_.end()) {
      FinishResponse(still->second);
    }
  }

  void FinishResponse(Exchange& aExchange)
  {
    const ExchangeKey key = aExchange.key;
    responses_.RecordAnswer(aExchange);
    Remove(aExchange);
    responses_.ListenerOf(key).Finish(key.id);
  }

  void Refuse(Exchange& aExchange,
              int aStatus,
              Reason aReason,
              Duration aRetryAfter)
  {
    const auto reply =
      responses_.MakeRefusal(aExchange, { aStatus, aReason, aRetryAfter });
    Remove(aExchange);
    responses_.Write(reply);
  }

  /// Aborts a started response that cannot be completed.
  void AbortResponse(Exchange& aExchange, Reason aReason)
  {
    const ExchangeKey key = aExchange.key;
    responses_.RecordAbort(aExchange, aReason);
    Remove(aExchange);
    responses_.ListenerOf(key).Abort(key.id);
  }

  void Remove(Exchange& aExchange)
  {
    EndAttempt(aExchange);
    timers_.Cancel(aExchange.deadlineTimer);
    timers_.Cancel(aExchange.waitTimer);
    if (aExchange.waitTicket != 0) {
      queue_.Leave(aExchange);
    }
    bufferedBytes_ -= aExchange.countedBytes;
    exchanges_.erase(aExchange.key);
  }

  RouterOptions options_;
  relay::Timers& timers_;
  relay::OutboundClient& client_;
  const HeaderCodec& headerCodec_;
  FleetState& fleet_;
  EventLog& log_;
  AttemptPlanner planner_;
  ModelChooser models_;
  UplinkGuard guard_;
  AttemptRecorder recorder_;
  ResponseWriter responses_;
  RequestQueue queue_;
  ForwardPlanner forwards_;
  std::map<ExchangeKey, Exchange> exchanges_;
  std::map<std::string, routing::RetryBudget> retryBudgets_;
  std::size_t bufferedBytes_ = 0; ///< Held of all responses.
  uint64_t forwardCount_ = 0;
  bool shuttingDown_ = false;
};

} // namespace

std::unique_ptr<RequestRouter>
MakeRequestRouter(RouterOptions aOptions, RouterDependencies aDependencies)
{
  return std::make_unique<Router>(std::move(aOptions), aDependencies);
}

} // namespace hibiscusnotch::entry
