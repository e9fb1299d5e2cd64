#include "hibiscusnotch/core/router.hpp"

#include "answer_system.hpp"
#include "configuration_system.hpp"
#include "failure_system.hpp"
#include "hibiscusnotch/core/rendezvous.hpp"
#include "journal_system.hpp"
#include "peer_system.hpp"
#include "request_system.hpp"
#include "router_state.hpp"

#include <algorithm>

namespace hibiscusnotch::core {

RouterState::RouterState(const Settings& aSettings,
                         const RouterOptions& aOptions)
  : settings(aSettings)
  , options(aOptions)
  , gossip(GossipParametersFor(aSettings))
  , polledPeriodically(PolledUpstreams(aSettings, aOptions.self))
  , upstreams(aSettings, aOptions.self)
  , members(aSettings, aOptions.self, aOptions.seed)
  , balancer(aOptions.self, aOptions.balance, aOptions.seed + 1)
  , cascade(aSettings, aOptions.cascade, aOptions.seed + 2)
  , rolloutGuard(aSettings, aOptions.rollout)
  , retryBudget(aSettings.limits.retryShare)
  , claims(aSettings)
  , bills(aSettings, aOptions.self, aOptions.incarnation)
  , queues(aSettings.versions.size())
  , dispatchRate(aSettings.versions.size())
  , dispatchCounts(aSettings.versions.size())
{
  // Makes attempt ids unique across instances and their restarts.
  nextAttempt = (static_cast<uint64_t>(aOptions.self.value) << 52) |
                ((aOptions.incarnation & 0xfffff) << 32) | 1;
}

namespace {

constexpr Duration kDemandPollInterval{ 250'000 };
constexpr Duration kSilenceBeforeProbe{ 1'000'000 };
/// Ticks are far more frequent, so a longer gap means a suspended process.
constexpr Duration kPauseThreshold{ 1'000'000 };
constexpr Duration kRateUpdateInterval{ 1'000'000 };
/// One in this many upstreams of other zones is polled on demand.
constexpr uint64_t kCrossZonePollDivisor = 16;
constexpr double kRateSmoothingFactor = 0.5;
constexpr double kMinServiceSeconds = 0.05;

/// True when queued requests could use this upstream; of upstreams in other
/// zones only a fixed sample counts, to bound the polling.
bool
HasQueuedDemand(const RouterState& aState, UpstreamId aId)
{
  const Upstream& upstream = aState.settings.At(aId);
  const bool waiting =
    std::any_of(upstream.versions.begin(),
                upstream.versions.end(),
                [&](VersionId aVersion) {
                  return aState.queues[aVersion.value].Size() > 0;
                });
  if (!waiting) {
    return false;
  }
  const InstanceId self = aState.options.self;
  return upstream.zone == aState.settings.At(self).zone ||
         MixHash(aId.value, self.value) % kCrossZonePollDivisor == 0;
}

void
PollUpstreams(RouterState& aState)
{
  for (uint32_t i = 0; i < aState.upstreams.Size(); ++i) {
    const UpstreamId id{ i };
    UpstreamState& upstreamState = aState.upstreams.At(id);
    const bool silent =
      upstreamState.running > 0 &&
      aState.now - upstreamState.lastContact > kSilenceBeforeProbe;
    const bool demanded =
      aState.gossip.largeFleet && (silent || HasQueuedDemand(aState, id));
    if (aState.now < upstreamState.nextPoll &&
        !(demanded && aState.now >= upstreamState.nextDemandPoll)) {
      continue;
    }
    upstreamState.nextPoll = aState.now + aState.gossip.pollInterval;
    upstreamState.nextDemandPoll = aState.now + kDemandPollInterval;
    if (aState.polledPeriodically[i] || demanded) {
      aState.Emit(ProbeUpstream{ id, false });
    }
  }
}

/// Requests per second that the version's upstreams can start, divided by the
/// number of live instances.
double
LocalCapacityRate(const RouterState& aState, VersionId aVersion)
{
  double rate = 0;
  for (uint32_t zone = 0; zone < aState.settings.zones.size(); ++zone) {
    for (const UpstreamId id :
         aState.upstreams.UpstreamsServing(aVersion, ZoneId{ zone })) {
      const UpstreamState& upstreamState = aState.upstreams.At(id);
      rate += upstreamState.limit /
              std::max(kMinServiceSeconds, upstreamState.serviceSeconds);
    }
  }
  return rate / static_cast<double>(aState.members.Live().size());
}

void
UpdateRates(RouterState& aState)
{
  if (aState.now < aState.nextRateUpdate) {
    return;
  }
  aState.nextRateUpdate = aState.now + kRateUpdateInterval;
  for (uint32_t i = 0; i < aState.dispatchRate.size(); ++i) {
    const double started =
      aState.dispatchCounts[i] / Seconds(kRateUpdateInterval);
    aState.dispatchCounts[i] = 0;
    const double smoothed =
      aState.dispatchRate[i] +
      kRateSmoothingFactor * (started - aState.dispatchRate[i]);
    const bool waiting = aState.queues[i].Size() > 0;
    aState.dispatchRate[i] =
      waiting ? smoothed
              : std::max(smoothed, LocalCapacityRate(aState, VersionId{ i }));
  }
}

void
HandleLoadReport(RouterState& aState, const UpstreamLoadReport& aReport)
{
  UpstreamState& upstreamState = aState.upstreams.At(aReport.upstream);
  const bool restarted = aState.upstreams.RecordContact(
    aState.now, aReport.upstream, aReport.incarnation, aReport.age);
  upstreamState.reportedRunning = aReport.running;
  upstreamState.reportedAt = aState.now;
  if (restarted) {
    aState.nextHeartbeat = aState.now;
    aState.EmitLog(EventNumber::UpstreamColdStart,
                   "upstream=" + aState.settings.At(aReport.upstream).name);
  }
  if (aReport.leaving && !upstreamState.leaving) {
    upstreamState.leaving = true;
    aState.nextHeartbeat = aState.now;
    aState.EmitLog(EventNumber::UpstreamLeaving,
                   "upstream=" + aState.settings.At(aReport.upstream).name);
  }
  ProbeSucceeded(aState, aReport.upstream);
}

void
StartDrain(RouterState& aState)
{
  if (aState.draining) {
    return;
  }
  aState.draining = true;
  aState.acceptUntil = aState.now + aState.settings.limits.drainGrace;
  aState.drainDeadline = aState.now + aState.settings.limits.drainLimit;
  aState.nextHeartbeat = aState.now;
  aState.EmitLog(EventNumber::DrainStarted, "");
}

void
AdvanceDrain(RouterState& aState)
{
  if (!aState.draining || aState.exited || aState.now < aState.acceptUntil) {
    return;
  }
  const bool idle =
    aState.requests.empty() && aState.claims.Idle() && aState.bills.Idle();
  if (!idle && aState.now < aState.drainDeadline) {
    return;
  }
  aState.exited = true;
  aState.EmitLog(EventNumber::DrainFinished,
                 idle ? "complete=yes" : "complete=no");
  aState.Emit(Exit{});
}

struct EventVisitor
{
  RouterState& state;

  void operator()(RequestArrived& aEvent)
  {
    HandleRequest(state, std::move(aEvent));
  }
  void operator()(CallerGone& aEvent)
  {
    HandleCallerGone(state, aEvent.handle);
  }
  void operator()(AttemptChunk& aEvent)
  {
    HandleChunk(state, std::move(aEvent));
  }
  void operator()(AttemptFailed& aEvent) { HandleAttemptFailed(state, aEvent); }
  void operator()(UpstreamLoadReport& aEvent)
  {
    HandleLoadReport(state, aEvent);
  }
  void operator()(UpstreamConnectionLost& aEvent)
  {
    state.upstreams.ResetToCold(aEvent.upstream);
  }
  void operator()(PeerMessageArrived& aEvent)
  {
    HandlePeerMessage(state, aEvent.from, std::move(aEvent.message));
  }
  void operator()(PlatformResponse& aEvent)
  {
    if (!HandleConfigurationResponse(state, aEvent)) {
      HandleJournalResponse(state, aEvent);
    }
  }
  void operator()(RatingArrived& aEvent)
  {
    HandleRating(state, aEvent.rating, true);
  }
  void operator()(AdminChange& aEvent)
  {
    QueueChange(state, std::move(aEvent));
    AdvanceConfiguration(state);
  }
  void operator()(Drain&) { StartDrain(state); }
  void operator()(Tick&)
  {
    AdvanceMembership(state);
    AdvanceConfiguration(state);
    PollUpstreams(state);
    UpdateRates(state);
    CheckTimeouts(state);
    SendDueBills(state);
    AdvanceDrain(state);
  }
};

class RouterImplementation : public Router
{
public:
  RouterImplementation(const Settings& aSettings, const RouterOptions& aOptions)
    : state_(aSettings, aOptions)
  {
  }

  void Handle(TimePoint aNow, Event aEvent, Actions& aActions) override
  {
    state_.now = aNow;
    if (state_.firstEventAt == TimePoint{}) {
      state_.firstEventAt = aNow;
    }
    state_.actions = &aActions;
    if (aNow - lastEvent_ > kPauseThreshold && lastEvent_ != TimePoint{}) {
      StartResync(state_);
    }
    lastEvent_ = aNow;
    std::visit(EventVisitor{ state_ }, aEvent);
    if (!IsResyncing(state_)) {
      DispatchQueuedRequests(state_);
    }
    StartJournalCalls(state_);
  }

  const LiveConfiguration& Configuration() const override
  {
    return state_.configuration.live;
  }
  const RouterCounters& Counters() const override { return state_.counters; }
  bool Ready() const override
  {
    return ConfigurationReady(state_) && !state_.draining;
  }
  std::size_t QueuedRequestCount() const override
  {
    std::size_t queued = 0;
    for (const FairQueue& queue : state_.queues) {
      queued += queue.Size();
    }
    return queued;
  }
  std::size_t OpenRequestCount() const override
  {
    return state_.requests.size();
  }
  std::size_t LiveInstanceCount() const override
  {
    return state_.members.Live().size();
  }

private:
  RouterState state_;
  TimePoint lastEvent_;
};

} // namespace

std::unique_ptr<Router>
MakeRouter(const Settings& aSettings, const RouterOptions& aOptions)
{
  return std::make_unique<RouterImplementation>(aSettings, aOptions);
}

} // namespace hibiscusnotch::core
