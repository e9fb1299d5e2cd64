#include "hibiscusnotch/entry/request_router.hpp"

#include "attempt_planner.hpp"
#include "exchange.hpp"
#include "forward_planner.hpp"
#include "hibiscusnotch/core/rendezvous.hpp"
#include "hibiscusnotch/entry/uplink_guard.hpp"
#include "hibiscusnotch/routing/crash_attribution.hpp"

#include <algorithm>
#include <cmath>
#include <map>
#include <set>
#include <span>

namespace hibiscusnotch::entry {

namespace {

using core::EventNumber;
using core::Reason;
using core::UpstreamId;
using relay::CallOutcome;
using routing::ExecutionSemantics;

constexpr int kUnauthorized = 401;
constexpr int kNotFound = 404;
constexpr int kServerError = 500;
constexpr int kBadGateway = 502;
constexpr int kUnavailable = 503;
constexpr int kGatewayTimeout = 504;

// Responses are sent this long before the caller's or the route's timeout.
constexpr Duration kDeadlineMargin{ 40'000 };
// No upstream can answer in less time.
constexpr Duration kMinRemainingTime{ 30'000 };
// Interval at which a waiting request looks for an upstream.
constexpr Duration kWaitPollInterval{ 40'000 };
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
constexpr Duration kRetryAfterBusy{ 500'000 }; // about one request's duration
// A store outage takes seconds; callers with little time retry sooner.
constexpr Duration kRetryAfterStale{ 2'000'000 };
constexpr int kRetryAfterDivisor = 4; // of the caller's remaining time
constexpr Duration kRetryAfterElsewhere{ 50'000 }; // another one serves it
// Keeps requests that crash upstreams away for a while.
constexpr Duration kRetryAfterQuarantine{ 10'000'000 };
// A process that ends closes its connections a moment before its listener.
constexpr Duration kCrashProbeDelay{ 50'000 };
constexpr Duration kCrashProbeTimeout{ 250'000 }; // many round trips
// Sends beyond the route's attempts, as refused sends are not executions.
constexpr uint32_t kMaxExtraSends = 3;
// Responses that are not streams are buffered up to this size.
constexpr std::size_t kMaxBufferedBodyBytes = 4 * 1024 * 1024;
// The same for all of them together; the smallest machines have 88 MB.
constexpr std::size_t kMaxBufferedBytes = 16 * 1024 * 1024;
// Bytes of one response that may wait for a slow caller; above it, the
// upstream is paused.
constexpr std::size_t kMaxUnsentBytes = 256 * 1024;
// Of other instances' callers, so that this instance's own are not starved.
constexpr std::size_t kMaxForwardedRequests = 64;
// Instances that a request goes to before it is given up.
constexpr std::size_t kMaxForwards = 4;
constexpr Duration kForwardConnectTimeout{ 100'000 }; // many round trips
// Fraction of the retry budget that escalations may use.
constexpr double kEscalationBudgetShare = 0.85;
// Fraction that retries of slow attempts may use.
constexpr double kSlowAttemptBudgetShare = 0.6;
// No upstream usually responds in less time.
constexpr Duration kMinAttemptTimeout{ 200'000 };

std::string
FormatMilliseconds(Duration aDuration)
{
  return std::to_string(aDuration.count() / 1000);
}

/// What the request may have in common with others that crash upstreams. The
/// last part of a prompt belongs to the request alone.
std::vector<routing::RequestTrait>
TraitsOf(const net::HttpRequest& aRequest, const RequestMetadata& aMetadata)
{
  std::vector<routing::RequestTrait> traits;
  for (const PromptSegment& segment : aMetadata.promptSegments) {
    traits.push_back({ core::StableHash(segment.id),
                       static_cast<uint32_t>(traits.size() + 1) });
  }
  if (!traits.empty()) {
    traits.pop_back();
  }
  const uint64_t whole =
    core::MixHash(core::StableHash(aRequest.target),
                  core::MixHash(core::StableHash(aMetadata.apiKey),
                                core::StableHash(aRequest.body)));
  traits.push_back({ whole, routing::RequestTrait::kWholeRequest });
  return traits;
}

std::string
FormatPromptParts(std::span<const routing::RequestTrait> aTraits)
{
  std::string text;
  for (const routing::RequestTrait& trait : aTraits) {
    if (trait.specificity != routing::RequestTrait::kWholeRequest) {
      text += (text.empty() ? "" : ",") + FormatHash(trait.hash);
    }
  }
  return text;
}

/// Nothing if the prompt names no shared segments.
std::string
FormatCachedTokens(const Attempt& aAttempt)
{
  const auto& prompt = aAttempt.sentPrompt;
  return prompt && prompt->sharedTokens > 0
           ? " cached=" + std::to_string(std::lround(prompt->forecast.tokens))
           : "";
}

std::string_view
ReasonPhrase(int aStatus)
{
  switch (aStatus) {
    case kUnauthorized:
      return "Unauthorized";
    case kNotFound:
      return "Not Found";
    case kBadGateway:
      return "Bad Gateway";
    case kGatewayTimeout:
      return "Gateway Timeout";
    default:
      return "Service Unavailable";
  }
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
    , metrics_(aDependencies.metrics)
    , planner_(options_, fleet_, timers_)
    , guard_(timers_, client_, fleet_, log_)
    , forwards_(options_.instanceName, options_.zone, fleet_)
  {
  }

  void SetListener(RequestOrigin aOrigin, relay::Listener& aListener) override
  {
    listeners_[aOrigin] = &aListener;
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
    exchange.request = std::move(aRequest);
    exchange.metadata = headerCodec_.ReadRequest(exchange.request);
    exchange.arrivedAt = timers_.Now();
    exchange.traits = TraitsOf(exchange.request, exchange.metadata);
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

  void RefuseNewRequests() override { shuttingDown_ = true; }

  bool IsCutOff() const override { return guard_.IsCutOff(); }

  uint64_t ForwardCount() const override { return forwardCount_; }

  bool KeysAreFresh() const override
  {
    return !options_.enforceKeyRevocation ||
           timers_.Now() - fleet_.configurationConfirmedAt < options_.maxKeyAge;
  }

private:
  relay::Listener& ListenerOf(const ExchangeKey& aKey) const
  {
    return *listeners_.at(aKey.origin);
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
    aExchange.modelIndex = routing::FirstModel(aExchange.route.models.size());
    aExchange.deadlineTimer =
      timers_.At(aExchange.deadline, [this, key] { OnDeadline(key); });
    Dispatch(aExchange);
  }

  std::string Describe(const Exchange& aExchange) const
  {
    std::string text = "request=" + aExchange.metadata.requestId +
                       " route=" + aExchange.route.name + " age_ms=" +
                       FormatMilliseconds(timers_.Now() - aExchange.arrivedAt) +
                       " runs=" + std::to_string(aExchange.executions) +
                       " sends=" + std::to_string(aExchange.sends);
    if (aExchange.attempt) {
      text += " upstream=" + aExchange.attempt->upstreamName;
    }
    return text;
  }

  std::string ConfigurationAge() const
  {
    if (!fleet_.configuration) {
      return " config=none";
    }
    return " config=" + std::to_string(fleet_.configuration->version) +
           " config_age_ms=" +
           FormatMilliseconds(timers_.Now() - fleet_.configurationConfirmedAt);
  }

  /// Finds route and organisation in the latest configuration. Refuses the
  /// request and returns false if it may not be served.
  bool Admit(Exchange& aExchange)
  {
    const auto& configuration = fleet_.configuration;
    if (!configuration) {
      WaitForConfiguration(aExchange);
      return false;
    }
    const routing::Route* route = configuration->FindRoute(
      aExchange.metadata.host, aExchange.metadata.path);
    if (!route) {
      RefuseUnknown(aExchange, kNotFound, Reason::UnknownRoute);
      return false;
    }
    aExchange.route = *route;
    aExchange.priority = route->priority;
    if (!route->authExempt && !configuration->organisations.empty() &&
        !AdmitByKey(aExchange)) {
      return false;
    }
    aExchange.deadline =
      aExchange.arrivedAt +
      std::min(route->timeout,
               aExchange.metadata.timeLeft.value_or(route->timeout)) -
      kDeadlineMargin;
    if (aExchange.deadline - timers_.Now() < kMinRemainingTime) {
      Refuse(aExchange, kUnavailable, Reason::DeadlinePassed, kRetryAfterBusy);
      return false;
    }
    return true;
  }

  /// An instance that has just started gets its configuration shortly.
  void WaitForConfiguration(Exchange& aExchange)
  {
    if (timers_.Now() - aExchange.arrivedAt >= kMaxConfigurationWait) {
      Refuse(aExchange, kUnavailable, Reason::NoConfiguration, kRetryAfterBusy);
      return;
    }
    const ExchangeKey key = aExchange.key;
    aExchange.waitTimer = timers_.After(kWaitPollInterval, [this, key] {
      const auto found = exchanges_.find(key);
      if (found != exchanges_.end()) {
        found->second.waitTimer = 0;
        StartRequest(found->second);
      }
    });
  }

  bool AdmitByKey(Exchange& aExchange)
  {
    const routing::Organisation* organisation =
      fleet_.configuration->FindOrganisation(aExchange.metadata.apiKey);
    if (!KeysAreFresh()) {
      Refuse(aExchange,
             kUnavailable,
             Reason::KeysTooOld,
             StaleRetryAfter(aExchange));
      return false;
    }
    if (!organisation) {
      RefuseUnknown(aExchange, kUnauthorized, Reason::UnknownKey);
      return false;
    }
    aExchange.organisation = organisation->name;
    aExchange.priority = organisation->priority.value_or(aExchange.priority);
    return true;
  }

  /// Denies a request only if the configuration is confirmed to be current.
  void RefuseUnknown(Exchange& aExchange, int aStatus, Reason aReason)
  {
    if (KeysAreFresh()) {
      Refuse(aExchange, aStatus, aReason, Duration::zero());
    } else {
      Refuse(aExchange,
             kUnavailable,
             Reason::KeysTooOld,
             StaleRetryAfter(aExchange));
    }
  }

  static Duration StaleRetryAfter(const Exchange& aExchange)
  {
    return std::min(kRetryAfterStale,
                    aExchange.metadata.timeLeft.value_or(kRetryAfterStale) /
                      kRetryAfterDivisor);
  }

  /// Sends the request to an upstream or waits for one.
  void Dispatch(Exchange& aExchange)
  {
    if (aExchange.sends > 0 && !aExchange.responseStarted &&
        !Admit(aExchange)) {
      return;
    }
    if (IsQuarantined(aExchange)) {
      GiveUp(aExchange, Reason::Quarantined, kRetryAfterQuarantine);
      return;
    }
    if (guard_.IsCutOff()) {
      if (!Forward(aExchange, {})) {
        GiveUp(aExchange, Reason::NoReach);
      }
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

  /// True if a trait of the request is quarantined. Grants the trait's trial if
  /// one is due: then the request may be sent once.
  bool IsQuarantined(Exchange& aExchange)
  {
    routing::CrashEvidence& evidence = fleet_.crashEvidence;
    if (aExchange.isTrial && aExchange.sends == 0) {
      return false; // still waits for its only attempt
    }
    const auto quarantined =
      std::ranges::find_if(aExchange.traits, [&](const auto& aTrait) {
        return evidence.IsQuarantined(aTrait.hash);
      });
    if (quarantined == aExchange.traits.end()) {
      return false;
    }
    aExchange.isTrial =
      aExchange.sends == 0 &&
      OwnsTrials(fleet_, options_.instanceName, quarantined->hash) &&
      std::ranges::all_of(aExchange.traits, [&](const auto& aTrait) {
        return evidence.TryTrial(aTrait.hash, timers_.Now());
      });
    return !aExchange.isTrial;
  }

  void WaitForUpstream(Exchange& aExchange, Reason aReason)
  {
    const TimePoint now = timers_.Now();
    if (const auto opening =
          planner_.NextOpening(aExchange, aExchange.modelIndex)) {
      const auto turn = TurnAt(aExchange, *opening);
      if (!turn || *turn > aExchange.waitDeadline) {
        GiveUp(
          aExchange, opening->reason, turn ? *turn - now : kRetryAfterBusy);
        return;
      }
    }
    if (now >= aExchange.waitDeadline || aReason == Reason::ExposureLimit) {
      GiveUp(aExchange, aReason);
      return;
    }
    if (aReason == Reason::NoUpstream || aReason == Reason::RequestLimit) {
      aExchange.tried.clear(); // upstreams that refused may accept it later
    }
    const ExchangeKey key = aExchange.key;
    aExchange.waitTimer = timers_.After(kWaitPollInterval, [this, key] {
      const auto found = exchanges_.find(key);
      if (found != exchanges_.end()) {
        found->second.waitTimer = 0;
        Dispatch(found->second);
      }
    });
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
    Attempt attempt;
    attempt.peer = *peer;
    attempt.upstreamName = "via:" + *peer;
    attempt.service = planner_.ChooseService(aExchange);
    attempt.sentAt = now;
    attempt.resumed = aExchange.responseStarted;
    attempt.eventsBefore = aExchange.events.EventCount();
    ForwardMetadata metadata;
    // Without the margin, so that the other instance's final response is in
    // time.
    metadata.timeLeft = aExchange.deadline - now;
    metadata.executions = aExchange.executions;
    if (aExchange.responseStarted) {
      metadata.resumeAfter = aExchange.events.LastId();
    }
    relay::OutboundCall call;
    call.to = fleet_.instances.at(*peer).ForwardEndpoint();
    call.message =
      headerCodec_.WriteForwardedRequest(aExchange.request, metadata);
    call.bodyless = aExchange.request.method == "HEAD";
    call.connectTimeout = kForwardConnectTimeout;
    call.probeAfterSilence = SilenceLimit(aExchange);
    call.maxSilence = MaxSilence(aExchange);
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
    aAttempt.call = client_.Start(std::move(aCall), std::move(observer));
    aExchange.attempt = std::move(aAttempt);
  }

  /// When the request's turn comes after those that have waited longer for the
  /// same opening; nothing if this instance gets none.
  std::optional<TimePoint> TurnAt(const Exchange& aExchange,
                                  const routing::Opening& aOpening) const
  {
    if (aOpening.at == TimePoint::max()) {
      return std::nullopt;
    }
    const std::string service = planner_.ChooseService(aExchange);
    const auto ahead =
      std::ranges::count_if(exchanges_, [&](const auto& aEntry) {
        const Exchange& other = aEntry.second;
        return other.waitTimer != 0 && other.key != aExchange.key &&
               other.arrivedAt <= aExchange.arrivedAt &&
               planner_.ChooseService(other) == service;
      });
    return std::max(aOpening.at, timers_.Now()) +
           core::FromSeconds(static_cast<double>(ahead) / aOpening.perSecond);
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
      headerCodec_.WriteUpstreamRequest(aExchange.request, metadata);
    call.bodyless = aExchange.request.method == "HEAD";
    call.connectTimeout = ConnectTimeout(aExchange);
    call.probeAfterSilence = SilenceLimit(aExchange);
    call.maxSilence = MaxSilence(aExchange);
    if (aExchange.sends == 0) {
      retryBudgets_[attempt.service].RecordRequest(now);
    }
    ++aExchange.sends;
    aExchange.tried.push_back(aUpstream);
    log_.Write(EventNumber::AttemptSent,
               Describe(aExchange) + " to=" + attempt.upstreamName +
                 " software=" + attempt.softwareVersion + " session=" +
                 aExchange.metadata.session + " model=" + attempt.model +
                 " left_ms=" + FormatMilliseconds(metadata.timeLeft) +
                 " own_load=" + std::to_string(upstream.inFlight) + " load=" +
                 std::to_string(static_cast<int>(
                   routing::UpstreamTable::Load(upstream, now))) +
                 (upstream.requestLimit
                    ? " limit=" + FormatRate(*upstream.requestLimit) +
                        " own_rate=" + FormatRate(upstream.pacer.Rate())
                    : "") +
                 ConfigurationAge() + FormatCachedTokens(attempt));
    fleet_.upstreams.RecordSend(aUpstream, attempt.promptTokens, now);
    fleet_.rollouts.RecordSend(attempt.service, attempt.softwareVersion);
    planner_.RecordSessionVersion(aExchange, attempt);
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
    BlameUpstream(exchange, attempt);
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
    attempt.metadata = headerCodec_.ReadResponse(aHead);
    if (attempt.peer.empty()) {
      RecordUpstreamState(attempt);
    } else {
      attempt.metadata.notExecuted = IsRefusalOfPeer(attempt);
      attempt.metadata.wrongUpstream = false;
      if (attempt.metadata.sealed) {
        RecordBrittleness(attempt); // an instance without slots hears no other
      }
    }
    if (!attempt.metadata.notExecuted && !attempt.metadata.wrongUpstream) {
      fleet_.upstreams.RecordAcceptance(attempt.upstream);
      ++exchange.executions;
      exchange.mayHaveExecuted = true;
    }
    if (!IsValidSuccess(exchange, attempt)) {
      return; // handled once the response is complete
    }
    MarkPromptRead(attempt);
    if (exchange.route.executionSemantics == ExecutionSemantics::Stream) {
      RecordSuccess(exchange, attempt);
      if (attempt.sentPrompt) {
        fleet_.promptCache.RecordResponse(*attempt.sentPrompt,
                                          timers_.Now() - attempt.sentAt);
      }
      if (!exchange.responseStarted && attempt.peer.empty() &&
          Escalate(exchange)) {
        return;
      }
      exchange.lastModel = attempt.model;
      attempt.accepted = true;
    }
  }

  /// True if an instance answered itself that the request has not run.
  static bool IsRefusalOfPeer(const Attempt& aAttempt)
  {
    const int status = aAttempt.head->status;
    return !aAttempt.metadata.sealed && status / 100 != 2 &&
           status != kBadGateway && status != kGatewayTimeout;
  }

  void RecordUpstreamState(const Attempt& aAttempt)
  {
    const TimePoint now = timers_.Now();
    guard_.RecordReached(aAttempt.sentAt);
    fleet_.upstreams.RecordReachable(aAttempt.upstream, aAttempt.sentAt);
    RecordUpstreamSignals(aAttempt, now);
    if (aAttempt.metadata.load) {
      fleet_.upstreams.RecordReportedLoad(
        aAttempt.upstream, *aAttempt.metadata.load, now);
    }
  }

  /// Records that the upstream is leaving, or wants no requests for a while.
  void RecordUpstreamSignals(const Attempt& aAttempt, TimePoint aNow)
  {
    if (aAttempt.metadata.wrongUpstream) {
      return; // another upstream's response
    }
    const routing::Upstream* upstream =
      fleet_.upstreams.Find(aAttempt.upstream);
    if (aAttempt.metadata.leaving && upstream && !upstream->announcedLeaving) {
      fleet_.upstreams.RecordLeaving(aAttempt.upstream, aNow);
      log_.Write(EventNumber::UpstreamLeaving,
                 "upstream=" + aAttempt.upstreamName);
    }
    RecordRequestLimit(aAttempt, aNow);
    RecordBrittleness(aAttempt);
    if (aAttempt.metadata.backoff) {
      fleet_.upstreams.RecordBackoff(aAttempt.upstream,
                                     aNow + *aAttempt.metadata.backoff);
      log_.Write(EventNumber::UpstreamBackoff,
                 "upstream=" + aAttempt.upstreamName +
                   " for_ms=" + FormatMilliseconds(*aAttempt.metadata.backoff));
    }
  }

  /// Upstreams of a service are brittle together.
  void RecordBrittleness(const Attempt& aAttempt)
  {
    const auto& rejections = aAttempt.metadata.bearableRejections;
    if (!rejections && aAttempt.metadata.requestId.empty()) {
      return; // not known to be the upstream's own response
    }
    const bool changed =
      rejections ? fleet_.brittleServices.insert(aAttempt.service).second
                 : fleet_.brittleServices.erase(aAttempt.service) > 0;
    if (changed) {
      log_.Write(EventNumber::ServiceBrittle,
                 "service=" + aAttempt.service + " rejections=" +
                   (rejections ? FormatRate(*rejections) : "any") +
                   " upstream=" + aAttempt.upstreamName);
    }
  }

  void RecordRequestLimit(const Attempt& aAttempt, TimePoint aNow)
  {
    if (aAttempt.metadata.requestLimitUnreadable) {
      log_.Write(EventNumber::UpstreamLimitUnreadable,
                 "upstream=" + aAttempt.upstreamName);
      return;
    }
    const auto& limit = aAttempt.metadata.requestLimit;
    if (!limit && aAttempt.metadata.requestId.empty()) {
      return; // not known to be the upstream's own response
    }
    if (fleet_.upstreams.RecordRequestLimit(aAttempt.upstream, limit, aNow)) {
      LogLimit(*fleet_.upstreams.Find(aAttempt.upstream), "response", log_);
    }
  }

  /// True for a success that is proven to be the upstream's response to this
  /// request.
  bool IsValidSuccess(const Exchange& aExchange, const Attempt& aAttempt) const
  {
    const int status = aAttempt.head->status;
    return status / 100 == 2 && aAttempt.metadata.sealed &&
           aAttempt.metadata.requestId == aExchange.metadata.requestId &&
           net::FindHeader(aAttempt.head->headers, "Content-Encoding").empty();
  }

  void MarkPromptRead(Attempt& aAttempt)
  {
    if (aAttempt.promptUnread) {
      aAttempt.promptUnread = false;
      fleet_.upstreams.RecordFirstOutput(aAttempt.upstream,
                                         aAttempt.promptTokens);
    }
  }

  void RecordSuccess(const Exchange& aExchange, const Attempt& aAttempt)
  {
    if (aAttempt.peer.empty()) {
      fleet_.upstreams.RecordOutcome(aAttempt.upstream, true);
      RecordForRollout(ResultOf(aExchange, aAttempt), true);
    }
  }

  struct AttemptResult
  {
    std::string service;
    std::string softwareVersion;
    std::string route;
    std::string model;
    Duration took{ 0 };
  };

  AttemptResult ResultOf(const Exchange& aExchange,
                         const Attempt& aAttempt) const
  {
    return { aAttempt.service,
             aAttempt.softwareVersion,
             aExchange.route.name,
             aAttempt.model,
             timers_.Now() - aAttempt.sentAt };
  }

  void RecordForRollout(const AttemptResult& aResult, bool aGood)
  {
    fleet_.rollouts.RecordAnswer(aResult.service,
                                 aResult.softwareVersion,
                                 aResult.route,
                                 aResult.route + '/' + aResult.model,
                                 aGood,
                                 aResult.took,
                                 timers_.Now());
  }

  /// Counts a failure without a response against the upstream and its version,
  /// unless this instance's own links turn out to be the cause.
  void BlameUpstream(const Exchange& aExchange, const Attempt& aAttempt)
  {
    if (!aAttempt.peer.empty()) {
      return;
    }
    guard_.ExplainFailure(
      [this,
       upstream = aAttempt.upstream,
       result = ResultOf(aExchange, aAttempt)](bool aCutOff) {
        if (!aCutOff) {
          fleet_.upstreams.RecordOutcome(upstream, false);
          RecordForRollout(result, false);
        }
      });
  }

  /// Discards a low-confidence answer and runs a larger model.
  bool Escalate(Exchange& aExchange)
  {
    Attempt& attempt = *aExchange.attempt;
    const double load = planner_.ServiceLoad(attempt.service);
    const auto next = routing::NextModel(options_.modelCascade,
                                         aExchange.route.models.size(),
                                         aExchange.modelIndex,
                                         attempt.metadata.confidence,
                                         load);
    if (!next || !aExchange.route.RetrySafe() ||
        aExchange.executions >= aExchange.route.maxAttempts ||
        IsQuarantined(aExchange)) {
      return false;
    }
    const std::vector<UpstreamId> tried = std::exchange(aExchange.tried, {});
    Reason reason = Reason::NoUpstream;
    const auto chosen = planner_.ChooseUpstream(aExchange, *next, reason);
    if (!chosen || !AcquireRetry(aExchange, kEscalationBudgetShare)) {
      aExchange.tried = tried;
      return false;
    }
    log_.Write(
      EventNumber::AnswerEscalated,
      Describe(aExchange) + " from=" + attempt.model + " confidence=" +
        std::to_string(*attempt.metadata.confidence) + " keep_from=" +
        std::to_string(routing::MinConfidence(options_.modelCascade, load)) +
        " load_percent=" + std::to_string(std::lround(load * 100)));
    EndAttempt(aExchange);
    aExchange.modelIndex = *next;
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
      if (!events.empty()) {
        ForwardEvents(exchange, events);
      }
      if (tooLong) {
        BreakOff(aKey, "event too long");
      }
      return;
    }
    attempt.body.append(aBytes);
    bufferedBytes_ += aBytes.size();
    if (attempt.body.size() > kMaxBufferedBodyBytes) {
      BreakOff(aKey, "response body too large");
    } else if (bufferedBytes_ > kMaxBufferedBytes) {
      BreakOff(LargestBufferedBody(), "response bodies take too much memory");
    }
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

  ExchangeKey LargestBufferedBody() const
  {
    return std::ranges::max_element(exchanges_,
                                    {},
                                    [](const auto& aEntry) {
                                      const auto& attempt =
                                        aEntry.second.attempt;
                                      return attempt ? attempt->body.size() : 0;
                                    })
      ->first;
  }

  void ForwardEvents(Exchange& aExchange, const std::string& aEvents)
  {
    StartResponse(aExchange);
    ListenerOf(aExchange.key).Write(aExchange.key.id, aEvents);
    const auto still = exchanges_.find(aExchange.key);
    if (still != exchanges_.end() && still->second.attempt &&
        ListenerOf(still->first).UnsentBytes(still->first.id) >
          kMaxUnsentBytes) {
      still->second.paused = true;
      client_.SetPaused(still->second.attempt->call, true);
    }
  }

  void StartResponse(Exchange& aExchange)
  {
    if (aExchange.responseStarted) {
      return;
    }
    aExchange.responseStarted = true;
    const relay::ResponseHead& head = *aExchange.attempt->head;
    metrics_.Observe(observe::LatencyMetric::TimeToFirstToken,
                     LabelsOf(aExchange),
                     timers_.Now() - aExchange.arrivedAt);
    ListenerOf(aExchange.key)
      .Start(aExchange.key.id,
             head.status,
             head.reason,
             headerCodec_.ResponseHeaders(head),
             relay::Framing::Chunked);
  }

  static observe::MetricLabels LabelsOf(const Exchange& aExchange)
  {
    return { aExchange.organisation, aExchange.route.name };
  }

  /// Releases the attempt's load and closes its connection.
  void EndAttempt(Exchange& aExchange)
  {
    if (!aExchange.attempt) {
      return;
    }
    timers_.Cancel(std::exchange(aExchange.attemptTimer, 0));
    Attempt& attempt = *aExchange.attempt;
    bufferedBytes_ -= attempt.body.size();
    MarkPromptRead(attempt);
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
    log_.Write(
      EventNumber::AttemptEnded,
      Describe(exchange) + " end=" + OutcomeName(aOutcome) +
        " status=" + std::to_string(attempt.head ? attempt.head->status : 0) +
        " took_ms=" + FormatMilliseconds(timers_.Now() - attempt.sentAt) +
        (aWhy.empty() ? "" : " why=\"" + std::string(aWhy) + '"') +
        (aOutcome == CallOutcome::ConnectionLost
           ? " prompt_parts=" + FormatPromptParts(exchange.traits)
           : ""));
    EndAttempt(exchange);
    exchange.lastModel = attempt.model;
    exchange.lastVersion = attempt.softwareVersion;
    switch (aOutcome) {
      case CallOutcome::NotSent:
        OnNotSent(exchange, attempt);
        return;
      case CallOutcome::ConnectionLost:
        OnConnectionLost(exchange, attempt);
        return;
      case CallOutcome::Complete:
        OnComplete(exchange, attempt);
        return;
    }
  }

  static std::string OutcomeName(CallOutcome aOutcome)
  {
    switch (aOutcome) {
      case CallOutcome::Complete:
        return "complete";
      case CallOutcome::NotSent:
        return "not_sent";
      case CallOutcome::ConnectionLost:
        return "broken";
    }
    return "broken";
  }

  void MarkSuspect(const Attempt& aAttempt)
  {
    const routing::Service* service =
      fleet_.configuration ? fleet_.configuration->FindService(aAttempt.service)
                           : nullptr;
    fleet_.upstreams.RecordUnreachable(aAttempt.upstream,
                                       service ? service->coldStart
                                               : Duration::zero(),
                                       timers_.Now());
    log_.Write(EventNumber::UpstreamSuspected,
               "upstream=" + aAttempt.upstreamName);
  }

  void OnNotSent(Exchange& aExchange, const Attempt& aAttempt)
  {
    if (!aAttempt.peer.empty()) {
      forwards_.Avoid(aAttempt.peer, timers_.Now());
      Retry(aExchange, Reason::NoReach, false);
      return;
    }
    guard_.RecordFailure(aAttempt.upstream, aAttempt.sentAt);
    if (!guard_.IsCutOff()) {
      MarkSuspect(aAttempt);
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
      BlameUpstream(aExchange, aAttempt);
      RecordLostAttempt(aExchange, aAttempt);
    }
    aExchange.events.DropPartialEvent();
    Retry(aExchange, Reason::AttemptLost, true);
  }

  /// Finds out by a new connection whether the upstream has crashed.
  void RecordLostAttempt(Exchange& aExchange, const Attempt& aAttempt)
  {
    const UpstreamId id = aAttempt.upstream;
    const routing::Upstream* upstream = fleet_.upstreams.Find(id);
    if (!upstream || upstream->announcedLeaving || upstream->removed) {
      return; // it has ended as announced
    }
    const bool isRepeated = std::exchange(aExchange.hasLostUpstream, true);
    if (!crashAttribution_.RecordLostAttempt(
          id, aExchange.traits, isRepeated, timers_.Now())) {
      return; // the probe is under way
    }
    timers_.After(kCrashProbeDelay, [this, id, entry = upstream->entry] {
      client_.Probe(entry.endpoint,
                    kCrashProbeTimeout,
                    [this, id, entry](relay::Reachability aReachability) {
                      OnCrashProbe(id, entry, aReachability);
                    });
    });
  }

  void OnCrashProbe(UpstreamId aId,
                    const routing::UpstreamEntry& aEntry,
                    relay::Reachability aReachability)
  {
    const auto suspects = crashAttribution_.TakeSuspects(aId, timers_.Now());
    if (aReachability != relay::Reachability::Refuses || suspects.empty()) {
      return;
    }
    guard_.ExplainFailure([this, aEntry, suspects](bool aCutOff) {
      if (aCutOff) {
        return;
      }
      log_.Write(EventNumber::UpstreamCrashed,
                 "upstream=" + aEntry.name +
                   " suspects=" + std::to_string(suspects.size()));
      fleet_.crashEvidence.RecordCrash(
        IncarnationHash(aEntry), suspects, timers_.Now());
      LogQuarantineChanges(fleet_.crashEvidence, log_);
    });
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
    const bool good = valid || (status < kServerError && status / 100 != 2);
    fleet_.upstreams.RecordOutcome(aAttempt.upstream, good);
    RecordForRollout(ResultOf(aExchange, aAttempt), good);
    if (valid || (good && aAttempt.metadata.sealed)) {
      RecordCompletion(aExchange);
      SendResponse(aExchange, *aAttempt.head, aAttempt.body);
      return;
    }
    if (status / 100 != 2 && aAttempt.metadata.sealed) {
      aExchange.fallbackResponse =
        FallbackResponse{ *aAttempt.head, aAttempt.body };
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
    if (!aAttempt.metadata.sealed) {
      GiveUp(aExchange, Reason::UpstreamFailed);
      return;
    }
    if (IsValidSuccess(aExchange, aAttempt)) {
      RecordCompletion(aExchange);
    }
    SendResponse(aExchange, *aAttempt.head, aAttempt.body);
  }

  void RecordCompletion(const Exchange& aExchange)
  {
    fleet_.crashEvidence.RecordCompletion(aExchange.traits, timers_.Now());
    LogQuarantineChanges(fleet_.crashEvidence, log_);
  }

  /// True if the stream's end is that of its upstream: within an event, or with
  /// its connection before any event.
  static bool IsTruncated(const Exchange& aExchange, const Attempt& aAttempt)
  {
    return aExchange.events.HasPartialEvent() ||
           (!aAttempt.head->isSelfDelimited &&
            aExchange.events.EventCount() == aAttempt.eventsBefore);
  }

  void FinishStream(Exchange& aExchange, const Attempt& aAttempt)
  {
    if (IsTruncated(aExchange, aAttempt)) {
      OnConnectionLost(aExchange, aAttempt);
      return;
    }
    RecordCompletion(aExchange);
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
    const routing::Route& route = aExchange.route;
    const bool allowed =
      (!aExchange.mayHaveExecuted || route.RetrySafe()) &&
      aExchange.executions < route.maxAttempts &&
      aExchange.sends < route.maxAttempts + kMaxExtraSends &&
      aExchange.deadline - timers_.Now() >= kMinRemainingTime;
    if (!allowed) {
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
      guard_.ExplainFailure(
        [this, upstream = exchange.attempt->upstream](bool aCutOff) {
          if (!aCutOff) {
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

  void SendResponse(Exchange& aExchange,
                    const relay::ResponseHead& aHead,
                    const std::string& aBody)
  {
    net::Headers headers = headerCodec_.ResponseHeaders(aHead);
    headers.emplace_back("Content-Length", std::to_string(aBody.size()));
    const ExchangeKey key = aExchange.key;
    ListenerOf(key).Start(
      key.id, aHead.status, aHead.reason, headers, relay::Framing::Length);
    metrics_.Observe(observe::LatencyMetric::TimeToFirstToken,
                     LabelsOf(aExchange),
                     timers_.Now() - aExchange.arrivedAt);
    ListenerOf(key).Write(key.id, aBody);
    const auto still = exchanges_.find(key);
    if (still != exchanges_.end()) {
      FinishResponse(still->second);
    }
  }

  void FinishResponse(Exchange& aExchange)
  {
    const ExchangeKey key = aExchange.key;
    metrics_.Observe(observe::LatencyMetric::ResponseDuration,
                     LabelsOf(aExchange),
                     timers_.Now() - aExchange.arrivedAt);
    metrics_.CountAnswer(LabelsOf(aExchange), aExchange.lastVersion);
    log_.Write(EventNumber::RequestAnswered,
               Describe(aExchange) + " model=" + aExchange.lastModel +
                 " events=" + std::to_string(aExchange.events.EventCount()));
    Remove(aExchange);
    ListenerOf(key).Finish(key.id);
  }

  void Refuse(Exchange& aExchange,
              int aStatus,
              Reason aReason,
              Duration aRetryAfter)
  {
    const ExchangeKey key = aExchange.key;
    if (aExchange.mayHaveExecuted && aStatus != kGatewayTimeout) {
      aStatus = kBadGateway; // other codes promise that nothing was executed
    }
    const core::Verdict verdict =
      aStatus == kBadGateway || aStatus == kGatewayTimeout
        ? core::Verdict::MayHaveRun
        : core::Verdict::NotRun;
    metrics_.CountRefusal(LabelsOf(aExchange),
                          { verdict, aReason, aRetryAfter });
    log_.Write(EventNumber::RequestRefused,
               Describe(aExchange) + " status=" + std::to_string(aStatus) +
                 " reason=" + std::string(core::ToString(aReason)) +
                 " verdict=" + std::string(core::ToString(verdict)) +
                 ConfigurationAge());
    net::Headers headers =
      headerCodec_.LocalReplyHeaders(aExchange.metadata, aRetryAfter);
    const std::string body =
      "{\"error\":\"" + std::string(core::ToString(aReason)) +
      "\",\"execution\":\"" + std::string(core::ToString(verdict)) + "\"}";
    headers.emplace_back("Content-Type", "application/json");
    headers.emplace_back("Content-Length", std::to_string(body.size()));
    Remove(aExchange);
    ListenerOf(key).Start(
      key.id, aStatus, ReasonPhrase(aStatus), headers, relay::Framing::Length);
    ListenerOf(key).Write(key.id, body);
    ListenerOf(key).Finish(key.id);
  }

  /// Aborts a started response that cannot be completed.
  void AbortResponse(Exchange& aExchange, Reason aReason)
  {
    const ExchangeKey key = aExchange.key;
    log_.Write(EventNumber::AnswerBroken,
               Describe(aExchange) +
                 " reason=" + std::string(core::ToString(aReason)) +
                 " events=" + std::to_string(aExchange.events.EventCount()));
    metrics_.CountRefusal(LabelsOf(aExchange),
                          { core::Verdict::Ran, aReason, Duration::zero() });
    Remove(aExchange);
    ListenerOf(key).Abort(key.id);
  }

  void Remove(Exchange& aExchange)
  {
    EndAttempt(aExchange);
    timers_.Cancel(aExchange.deadlineTimer);
    timers_.Cancel(aExchange.waitTimer);
    exchanges_.erase(aExchange.key);
  }

  RouterOptions options_;
  relay::Timers& timers_;
  relay::OutboundClient& client_;
  const HeaderCodec& headerCodec_;
  FleetState& fleet_;
  EventLog& log_;
  observe::Metrics& metrics_;
  AttemptPlanner planner_;
  UplinkGuard guard_;
  ForwardPlanner forwards_;
  std::map<RequestOrigin, relay::Listener*> listeners_;
  std::map<ExchangeKey, Exchange> exchanges_;
  std::map<std::string, routing::RetryBudget> retryBudgets_;
  routing::CrashAttribution crashAttribution_;
  std::size_t bufferedBytes_ = 0; ///< Of response bodies.
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
