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
  , cadence(CadenceOf(aSettings))
  , polled(PolledUpstreams(aSettings, aOptions.self))
  , upstreams(aSettings, aOptions.self)
  , members(aSettings, aOptions.self, aOptions.seed)
  , balancer(aOptions.self, aOptions.balance, aOptions.seed + 1)
  , cascade(aSettings, aOptions.cascade, aOptions.seed + 2)
  , guard(aSettings, aOptions.rollout)
  , retries(aSettings.limits.retryShare)
  , claims(aSettings)
  , bills(aSettings, aOptions.self, aOptions.incarnation)
  , queues(aSettings.versions.size())
  , startRate(aSettings.versions.size())
  , starts(aSettings.versions.size())
{
  // Attempt ids differ between instances and between their restarts.
  nextAttempt = (static_cast<uint64_t>(aOptions.self.value) << 52) |
                ((aOptions.incarnation & 0xfffff) << 32) | 1;
}

namespace {

constexpr Duration kWantedPollInterval{ 250'000 };
constexpr Duration kQuietUpstream{ 1'000'000 };
constexpr Duration kPause{ 1'000'000 }; ///< Ticks are far more frequent.
constexpr Duration kRateInterval{ 1'000'000 };
constexpr uint64_t kSpillShare = 16; ///< One of so many in other zones.
constexpr double kRateSmoothing = 0.5;
constexpr double kLeastServiceSeconds = 0.05;

/// True when requests wait that this upstream could serve.
bool
Wanted(const RouterState& aState, UpstreamId aId)
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
         MixHash(aId.value, self.value) % kSpillShare == 0;
}

void
PollUpstreams(RouterState& aState)
{
  for (uint32_t i = 0; i < aState.upstreams.Size(); ++i) {
    const UpstreamId id{ i };
    UpstreamRow& row = aState.upstreams.At(id);
    const bool quiet =
      row.running > 0 && aState.now - row.lastHeard > kQuietUpstream;
    const bool pressed = aState.cadence.large && (quiet || Wanted(aState, id));
    if (aState.now < row.nextPoll &&
        !(pressed && aState.now >= row.nextWanted)) {
      continue;
    }
    row.nextPoll = aState.now + aState.cadence.pollInterval;
    row.nextWanted = aState.now + kWantedPollInterval;
    if (aState.polled[i] || pressed) {
      aState.Emit(ProbeUpstream{ id, false });
    }
  }
}

/// What the version's upstreams can start in a second, this instance's part.
double
CapacityRate(const RouterState& aState, VersionId aVersion)
{
  double rate = 0;
  for (uint32_t zone = 0; zone < aState.settings.zones.size(); ++zone) {
    for (const UpstreamId id :
         aState.upstreams.Serving(aVersion, ZoneId{ zone })) {
      const UpstreamRow& row = aState.upstreams.At(id);
      rate += row.limit / std::max(kLeastServiceSeconds, row.serviceSeconds);
    }
  }
  return rate / static_cast<double>(aState.members.Live().size());
}

void
UpdateRates(RouterState& aState)
{
  if (aState.now < aState.nextRate) {
    return;
  }
  aState.nextRate = aState.now + kRateInterval;
  for (uint32_t i = 0; i < aState.startRate.size(); ++i) {
    const double started = aState.starts[i] / Seconds(kRateInterval);
    aState.starts[i] = 0;
    const double smoothed =
      aState.startRate[i] + kRateSmoothing * (started - aState.startRate[i]);
    const bool waiting = aState.queues[i].Size() > 0;
    aState.startRate[i] =
      waiting ? smoothed
              : std::max(smoothed, CapacityRate(aState, VersionId{ i }));
  }
}

void
TakeReport(RouterState& aState, const UpstreamLoadReport& aReport)
{
  UpstreamRow& row = aState.upstreams.At(aReport.upstream);
  const bool restarted = aState.upstreams.Hear(
    aState.now, aReport.upstream, aReport.incarnation, aReport.age);
  row.reported = aReport.running;
  row.reportedAt = aState.now;
  if (restarted) {
    aState.nextHeartbeat = aState.now;
    aState.Report(EventNumber::UpstreamColdStart,
                  "upstream=" + aState.settings.At(aReport.upstream).name);
  }
  if (aReport.leaving && !row.leaving) {
    row.leaving = true;
    aState.nextHeartbeat = aState.now;
    aState.Report(EventNumber::UpstreamLeaving,
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
  aState.Report(EventNumber::DrainStarted, "");
}

void
PumpDrain(RouterState& aState)
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
  aState.Report(EventNumber::DrainFinished,
                idle ? "complete=yes" : "complete=no");
  aState.Emit(Exit{});
}

struct EventVisitor
{
  RouterState& state;

  void operator()(RequestArrived& aEvent) { Arrive(state, std::move(aEvent)); }
  void operator()(CallerGone& aEvent) { Leave(state, aEvent.handle); }
  void operator()(AttemptChunk& aEvent) { TakeChunk(state, std::move(aEvent)); }
  void operator()(AttemptFailed& aEvent) { FailAttempt(state, aEvent); }
  void operator()(UpstreamLoadReport& aEvent) { TakeReport(state, aEvent); }
  void operator()(UpstreamConnectionLost& aEvent)
  {
    state.upstreams.DropToCold(aEvent.upstream);
  }
  void operator()(PeerMessageArrived& aEvent)
  {
    TakePeerMessage(state, aEvent.from, std::move(aEvent.message));
  }
  void operator()(PlatformResponse& aEvent)
  {
    if (!ConfigurationAnswered(state, aEvent)) {
      JournalAnswered(state, aEvent);
    }
  }
  void operator()(RatingArrived& aEvent)
  {
    TakeRating(state, aEvent.rating, true);
  }
  void operator()(AdminChange& aEvent)
  {
    RequestChange(state, std::move(aEvent));
    PumpConfiguration(state);
  }
  void operator()(Drain&) { StartDrain(state); }
  void operator()(Tick&)
  {
    PumpMembership(state);
    PumpConfiguration(state);
    PollUpstreams(state);
    UpdateRates(state);
    SweepRequests(state);
    SendBills(state);
    PumpDrain(state);
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
    if (state_.startedAt == TimePoint{}) {
      state_.startedAt = aNow;
    }
    state_.actions = &aActions;
    if (aNow - lastEvent_ > kPause && lastEvent_ != TimePoint{}) {
      NoteWakeUp(state_);
    }
    lastEvent_ = aNow;
    std::visit(EventVisitor{ state_ }, aEvent);
    if (!JustWoken(state_)) {
      PumpQueues(state_);
    }
    PumpJournals(state_);
  }

  const LiveConfiguration& Configuration() const override
  {
    return state_.configuration.live;
  }
  const RouterCounters& Counters() const override { return state_.counters; }
  bool Ready() const override
  {
    return ConfigurationSettled(state_) && !state_.draining;
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
