#include "hibiscusnotch/replay/simulation.hpp"

#include "event_queue.hpp"
#include "hibiscusnotch/standin/engine_simulator.hpp"
#include "hibiscusnotch/standin/platform_simulator.hpp"
#include "hibiscusnotch/standin/rater_simulator.hpp"

#include <algorithm>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <unordered_map>

namespace hibiscusnotch::replay {

namespace {

using namespace standin;
using core::Duration;

constexpr Duration kTickInterval{ 20'000 };
constexpr Duration kIntraZoneLatency{ 200 };
constexpr Duration kInterZoneLatency{ 700 };
constexpr Duration kCallerLatency{ 2'000 };
constexpr Duration kConnectTimeout{ 200'000 };
constexpr Duration kResubmissionDelay{ 50'000 };
constexpr Duration kRevisionPollInterval{ 250'000 };
constexpr Duration kInstanceRestartTime{ 1'000'000 };
constexpr Duration kUpstreamLeaveTime{ 20'000'000 };
constexpr Duration kMaxSettleTime{ 45'000'000 };
constexpr Duration kQuietPeriod{ 8'000'000 };
constexpr Duration kWarmUpstreamAge{ 3600'000'000 };
constexpr int kMaxResubmissions = 4;
/// The start time; later than zero, so that warm upstreams started before it.
constexpr Duration kEpoch{ 7200'000'000 };

/// One entry instance and its current incarnation.
struct InstanceState
{
  std::unique_ptr<core::Router> router;
  uint64_t incarnation = 0;
  bool alive = false;
  bool draining = false;
};

/// One submission in progress.
struct Submission
{
  TraceRequest request;
  SubmissionRecord record;
  uint64_t incarnation = 0;
  int resubmissions = 0;
};

/// The upstream that executes an attempt and the instance that started it.
struct AttemptLocation
{
  core::InstanceId instance;
  uint64_t incarnation = 0;
  core::UpstreamId upstream;
};

class Simulation
{
public:
  Simulation(const core::Settings& aSettings,
             const Trace& aTrace,
             const SimulationOptions& aOptions)
    : settings_(aSettings)
    , trace_(aTrace)
    , options_(aOptions)
    , random_(aOptions.seed)
    , now_(kEpoch)
    , behaviours_(DefaultBehaviours(aSettings))
    , platform_(aSettings, MakePlatformOptions(aOptions))
    , rater_({}, aOptions.seed + 7)
    , instances_(aSettings.instances.size())
    , badVersions_(aSettings.versions.size(), false)
    , engineWakeups_(aSettings.upstreams.size())
  {
    for (uint32_t i = 0; i < aSettings.upstreams.size(); ++i) {
      engines_.emplace_back(
        aSettings, core::UpstreamId{ i }, behaviours_, now_ - kWarmUpstreamAge);
    }
  }

  SimulationResult Run()
  {
    for (uint32_t i = 0; i < instances_.size(); ++i) {
      StartInstance(core::InstanceId{ i });
    }
    ScheduleTrace();
    PollPlatformWatches();
    PollRevisions();
    const TimePoint end = TimePoint(kEpoch) + trace_.duration + kMaxSettleTime;
    while (!queue_.Empty() && queue_.NextAt() <= end && !Settled()) {
      now_ = queue_.NextAt();
      queue_.Pop()();
    }
    return Finish();
  }

private:
  /// True once all requests have ended and bills had time to be stored.
  bool Settled()
  {
    const bool busy = now_ < TimePoint(kEpoch) + trace_.duration ||
                      !submissions_.empty() || pendingResubmissions_ > 0 ||
                      platform_.InOutage() || !partitionedZones_.empty();
    if (busy) {
      quietSince_ = now_;
    }
    return now_ - quietSince_ > kQuietPeriod;
  }

  static PlatformOptions MakePlatformOptions(const SimulationOptions& aOptions)
  {
    PlatformOptions options;
    options.seed = aOptions.seed + 5;
    options.lostResponseShare = aOptions.lostPlatformResponseShare;
    return options;
  }

  void ScheduleAt(TimePoint aWhen, std::function<void()> aCallback)
  {
    queue_.Push(std::max(aWhen, now_), std::move(aCallback));
  }
  void ScheduleAfter(Duration aDelay, std::function<void()> aCallback)
  {
    ScheduleAt(now_ + aDelay, std::move(aCallback));
  }

  double UniformDraw()
  {
    return std::uniform_real_distribution<double>(0, 1)(random_);
  }

  core::ZoneId ZoneOf(core::InstanceId aId) const
  {
    return settings_.At(aId).zone;
  }

  bool Reachable(core::ZoneId aLeft, core::ZoneId aRight) const
  {
    return aLeft == aRight || (!partitionedZones_.contains(aLeft) &&
                               !partitionedZones_.contains(aRight));
  }

  static Duration NetworkLatency(core::ZoneId aLeft, core::ZoneId aRight)
  {
    return aLeft == aRight ? kIntraZoneLatency : kInterZoneLatency;
  }

  void StartInstance(core::InstanceId aId)
  {
    InstanceState& state = instances_[aId.value];
    ++state.incarnation;
    core::RouterOptions options;
    options.self = aId;
    options.incarnation = state.incarnation;
    options.seed = options_.seed * 1000 + aId.value * 17 + state.incarnation;
    options.cascade = options_.cascade;
    options.balance = options_.balance;
    options.rollout = options_.rollout;
    state.router = core::MakeRouter(settings_, options);
    state.alive = true;
    state.draining = false;
    const Duration phase{ static_cast<int64_t>(aId.value) * 1'700 };
    ScheduleAfter(phase, [this, aId, incarnation = state.incarnation] {
      TickInstance(aId, incarnation);
    });
  }

  void TickInstance(core::InstanceId aId, uint64_t aIncarnation)
  {
    if (!IsRunning(aId, aIncarnation)) {
      return;
    }
    Deliver(aId, aIncarnation, core::Tick{});
    ScheduleAfter(kTickInterval, [this, aId, aIncarnation] {
      TickInstance(aId, aIncarnation);
    });
  }

  bool IsRunning(core::InstanceId aId, uint64_t aIncarnation) const
  {
    const InstanceState& state = instances_[aId.value];
    return state.alive && state.incarnation == aIncarnation;
  }

  void Deliver(core::InstanceId aId, uint64_t aIncarnation, core::Event aEvent)
  {
    if (!IsRunning(aId, aIncarnation)) {
      return;
    }
    core::Actions actions;
    instances_[aId.value].router->Handle(now_, std::move(aEvent), actions);
    for (core::Action& action : actions) {
      std::visit([&](auto& aAction) { Perform(aId, aIncarnation, aAction); },
                 action);
    }
  }

  void Perform(core::InstanceId aId,
               uint64_t aIncarnation,
               core::StartAttempt& aAction)
  {
    const Submission& submission = submissions_.at(aAction.request);
    const core::ZoneId zone = settings_.At(aAction.upstream).zone;
    ++result_.attempts;
    attempts_[aAction.attempt] =
      AttemptLocation{ aId, aIncarnation, aAction.upstream };
    if (!Reachable(ZoneOf(aId), zone) ||
        engines_[aAction.upstream.value].Down()) {
      ScheduleAttemptFailure(
        aAction.attempt, core::FailureKind::NotSent, kConnectTimeout);
      return;
    }
    const TraceRequest& request = submission.request;
    EngineRequest engineRequest;
    engineRequest.attempt = aAction.attempt;
    engineRequest.requestId = request.requestId;
    engineRequest.organisation = request.organisation;
    engineRequest.version = aAction.version;
    engineRequest.promptTokens = request.promptTokens;
    engineRequest.outputTokens = request.outputTokens;
    engineRequest.resumeOffset = aAction.resumeOffset;
    engineRequest.prefix = request.prefix;
    engineRequest.priority = settings_.At(request.requestClass).priority;
    engineRequest.difficulty = request.difficulty;
    engineRequest.crashes = request.crashes;
    const uint64_t upstreamIncarnation =
      ConnectionIncarnation(aId, aAction.upstream);
    ScheduleAfter(NetworkLatency(ZoneOf(aId), zone),
                  [this, engineRequest, upstreamIncarnation, aAction] {
                    SubmitToEngine(
                      aAction.upstream, upstreamIncarnation, engineRequest);
                  });
  }

  /// A request on a connection that a restart has reset is lost.
  void SubmitToEngine(core::UpstreamId aUpstream,
                      uint64_t aUpstreamIncarnation,
                      const EngineRequest& aRequest)
  {
    EngineSimulator& engine = engines_[aUpstream.value];
    if (engine.Incarnation() != aUpstreamIncarnation || engine.Down()) {
      ScheduleAttemptFailure(
        aRequest.attempt, core::FailureKind::Lost, kIntraZoneLatency);
      return;
    }
    const SubmitResult result =
      engine.Submit(now_, aRequest, result_.observations);
    if (result != SubmitResult::Accepted) {
      ScheduleAttemptFailure(aRequest.attempt,
                             core::FailureKind::Refused,
                             kIntraZoneLatency,
                             result == SubmitResult::Leaving);
      return;
    }
    if (engine.Incarnation() != aUpstreamIncarnation) {
      ScheduleConnectionResets(aUpstream);
    }
    WakeEngine(aUpstream);
  }

  void ScheduleAttemptFailure(core::AttemptId aAttempt,
                              core::FailureKind aKind,
                              Duration aDelay,
                              bool aLeaving = false)
  {
    ScheduleAfter(aDelay, [this, aAttempt, aKind, aLeaving] {
      const auto found = attempts_.find(aAttempt);
      if (found == attempts_.end()) {
        return;
      }
      const AttemptLocation location = found->second;
      attempts_.erase(found);
      Deliver(location.instance,
              location.incarnation,
              core::AttemptFailed{ aAttempt, aKind, aLeaving });
    });
  }

  void WakeEngine(core::UpstreamId aId)
  {
    const auto next = engines_[aId.value].NextOutputAt();
    auto& wakeup = engineWakeups_[aId.value];
    if (!next || (wakeup && *wakeup <= *next && *wakeup >= now_)) {
      return;
    }
    wakeup = std::max(*next, now_);
    ScheduleAt(*wakeup, [this, aId, at = *wakeup] {
      if (engineWakeups_[aId.value] == at) {
        engineWakeups_[aId.value].reset();
      }
      AdvanceEngine(aId);
    });
  }

  void AdvanceEngine(core::UpstreamId aId)
  {
    EngineSimulator& engine = engines_[aId.value];
    const uint64_t before = engine.Incarnation();
    for (EngineOutput& output : engine.Advance(now_)) {
      const auto found = attempts_.find(output.attempt);
      if (found == attempts_.end()) {
        continue;
      }
      const AttemptLocation location = found->second;
      const core::ZoneId zone = settings_.At(aId).zone;
      if (!Reachable(ZoneOf(location.instance), zone)) {
        continue;
      }
      if (output.lost) {
        ScheduleAttemptFailure(output.attempt,
                               core::FailureKind::Lost,
                               NetworkLatency(ZoneOf(location.instance), zone));
        continue;
      }
      ScheduleAfter(
        NetworkLatency(ZoneOf(location.instance), zone),
        [this, location, chunk = std::move(output.chunk)]() mutable {
          Deliver(location.instance, location.incarnation, std::move(chunk));
        });
    }
    if (engine.Incarnation() != before) {
      ScheduleConnectionResets(aId);
    }
    WakeEngine(aId);
  }

  /// Resets the connections to an upstream process that has ended.
  void ScheduleConnectionResets(core::UpstreamId aId)
  {
    const core::ZoneId zone = settings_.At(aId).zone;
    for (const auto& [instance, upstreamIncarnation] :
         connectionIncarnations_[aId.value]) {
      if (!Reachable(ZoneOf(instance), zone)) {
        continue;
      }
      ScheduleAfter(
        NetworkLatency(ZoneOf(instance), zone),
        [this, instance = instance, aId] { ResetConnection(instance, aId); });
    }
  }

  /// Tells the instance that its connections to the upstream were reset.
  void ResetConnection(core::InstanceId aInstance, core::UpstreamId aUpstream)
  {
    connectionIncarnations_[aUpstream.value].erase(aInstance);
    Deliver(aInstance,
            instances_[aInstance.value].incarnation,
            core::UpstreamConnectionLost{ aUpstream });
  }

  /// The upstream process that the instance is connected to. Until the reset
  /// arrives, it may be one that has ended.
  uint64_t ConnectionIncarnation(core::InstanceId aInstance,
                                 core::UpstreamId aUpstream)
  {
    const uint64_t current = engines_[aUpstream.value].Incarnation();
    return connectionIncarnations_[aUpstream.value]
      .try_emplace(aInstance, current)
      .first->second;
  }

  void Perform(core::InstanceId aId, uint64_t, core::CancelAttempt& aAction)
  {
    attempts_.erase(aAction.attempt);
    const core::ZoneId zone = settings_.At(aAction.upstream).zone;
    if (!Reachable(ZoneOf(aId), zone)) {
      return;
    }
    ScheduleAfter(
      NetworkLatency(ZoneOf(aId), zone),
      [this, attempt = aAction.attempt, upstream = aAction.upstream] {
        engines_[upstream.value].Cancel(now_, attempt);
        WakeEngine(upstream);
      });
  }

  void Perform(core::InstanceId, uint64_t, core::ForwardChunk& aAction)
  {
    const auto found = submissions_.find(aAction.request);
    if (found == submissions_.end()) {
      return;
    }
    Submission& submission = found->second;
    SubmissionRecord& record = submission.record;
    const std::string& version = settings_.At(aAction.version).name;
    const bool first = record.tokens == 0;
    if (first) {
      record.firstToken = now_ + kCallerLatency;
      record.version = aAction.version;
    }
    const std::string expected =
      AnswerText(record.requestId, version, record.tokens, aAction.tokens);
    record.contentCorrect =
      record.contentCorrect && aAction.offset == record.tokens &&
      record.version == aAction.version && aAction.payload == expected;
    record.tokens += aAction.tokens;
    record.pinBroken = record.pinBroken || aAction.pinBroken;
    if (aAction.final) {
      CompleteSubmission(aAction.request);
    }
  }

  void CompleteSubmission(core::RequestHandle aHandle)
  {
    Submission& submission = submissions_.at(aHandle);
    SubmissionRecord& record = submission.record;
    const TraceRequest& request = submission.request;
    record.ended = now_ + kCallerLatency;
    record.outcome = CallerOutcome::Answered;
    record.contentCorrect =
      record.contentCorrect && record.tokens == request.outputTokens;
    record.badVersion = badVersions_[record.version.value];
    record.good = IsGood(request, record.version);
    CloseSubmission(aHandle);
  }

  bool IsGood(const TraceRequest& aRequest, core::VersionId aVersion) const
  {
    return AnswerIsGood(aRequest.requestId,
                        settings_.At(aVersion).name,
                        behaviours_[aVersion.value],
                        aRequest.difficulty,
                        badVersions_[aVersion.value]);
  }

  void CloseSubmission(core::RequestHandle aHandle)
  {
    const auto found = submissions_.find(aHandle);
    result_.observations.push_back(found->second.record);
    submissions_.erase(found);
  }

  void Perform(core::InstanceId, uint64_t, core::Refuse& aAction)
  {
    const auto found = submissions_.find(aAction.request);
    if (found == submissions_.end()) {
      return;
    }
    SubmissionRecord& record = found->second.record;
    record.ended = now_ + kCallerLatency;
    record.reason = aAction.refusal.reason;
    record.outcome = aAction.refusal.verdict == core::Verdict::NotRun
                       ? CallerOutcome::NotRun
                       : CallerOutcome::MayHaveRun;
    CloseSubmission(aAction.request);
  }

  void Perform(core::InstanceId, uint64_t, core::ReplayOutcome& aAction)
  {
    const auto found = submissions_.find(aAction.request);
    if (found == submissions_.end()) {
      return;
    }
    Submission& submission = found->second;
    SubmissionRecord& record = submission.record;
    record.firstToken = now_ + kCallerLatency;
    record.version =
      settings_.At(submission.request.requestClass).versions.back();
    const std::string expected = AnswerText(record.requestId,
                                            settings_.At(record.version).name,
                                            0,
                                            submission.request.outputTokens);
    record.tokens = submission.request.outputTokens;
    record.contentCorrect = aAction.outcome == expected;
    CompleteSubmission(aAction.request);
  }

  void Perform(core::InstanceId aId, uint64_t, core::SendToPeer& aAction)
  {
    ++result_.peerMessages;
    if (!Reachable(ZoneOf(aId), ZoneOf(aAction.to)) ||
        UniformDraw() < options_.messageLossShare) {
      return;
    }
    const int copies = UniformDraw() < options_.messageDuplicateShare ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
      const Duration jitter = core::FromSeconds(
        UniformDraw() * core::Seconds(options_.maxMessageJitter));
      const uint64_t incarnation = instances_[aAction.to.value].incarnation;
      ScheduleAfter(
        NetworkLatency(ZoneOf(aId), ZoneOf(aAction.to)) + jitter,
        [this, aId, incarnation, to = aAction.to, message = aAction.message] {
          Deliver(to, incarnation, core::PeerMessageArrived{ aId, message });
        });
    }
  }

  void Perform(core::InstanceId aId,
               uint64_t aIncarnation,
               core::CallPlatform& aAction)
  {
    if (partitionedZones_.contains(ZoneOf(aId))) {
      const core::PlatformResponse lost{
        aAction.call, core::PlatformStatus::Lost, 0, {}
      };
      ScheduleAfter(Duration(1'000'000), [this, aId, aIncarnation, lost] {
        Deliver(aId, aIncarnation, lost);
      });
      return;
    }
    const uint64_t tag =
      (static_cast<uint64_t>(aId.value) << 32) | aIncarnation;
    const auto timed = platform_.Call(now_, tag, aAction, result_.observations);
    if (timed) {
      SchedulePlatformResponse(aId, aIncarnation, *timed);
    }
  }

  void SchedulePlatformResponse(core::InstanceId aId,
                                uint64_t aIncarnation,
                                const TimedResponse& aTimed)
  {
    ScheduleAt(aTimed.at,
               [this, aId, aIncarnation, response = aTimed.response]() mutable {
                 if (partitionedZones_.contains(ZoneOf(aId))) {
                   response = core::PlatformResponse{
                     response.call, core::PlatformStatus::Lost, 0, {}
                   };
                 }
                 Deliver(aId, aIncarnation, response);
               });
  }

  void PollPlatformWatches()
  {
    for (const auto& [tag, timed] : platform_.DueWatches(now_)) {
      SchedulePlatformResponse(
        core::InstanceId{ static_cast<uint32_t>(tag >> 32) },
        tag & 0xffffffff,
        timed);
    }
    ScheduleAfter(Duration(10'000), [this] { PollPlatformWatches(); });
  }

  void PollRevisions()
  {
    for (uint32_t i = 0; i < instances_.size(); ++i) {
      if (instances_[i].alive && !instances_[i].draining) {
        result_.observations.push_back(
          RevisionObserved{ now_,
                            core::InstanceId{ i },
                            instances_[i].incarnation,
                            instances_[i].router->Configuration().revision });
      }
    }
    ScheduleAfter(kRevisionPollInterval, [this] { PollRevisions(); });
  }

  void Perform(core::InstanceId aId,
               uint64_t aIncarnation,
               core::ProbeUpstream& aAction)
  {
    const core::UpstreamId upstream = aAction.upstream;
    const core::ZoneId zone = settings_.At(upstream).zone;
    const bool reachable = Reachable(ZoneOf(aId), zone);
    if (!reachable || engines_[upstream.value].Down()) {
      ScheduleAfter(kConnectTimeout, [this, aId, aIncarnation, upstream] {
        Deliver(aId, aIncarnation, core::UpstreamConnectionLost{ upstream });
      });
      return;
    }
    const uint64_t upstreamIncarnation = ConnectionIncarnation(aId, upstream);
    ScheduleAfter(NetworkLatency(ZoneOf(aId), zone) * 2,
                  [this, aId, aIncarnation, upstream, upstreamIncarnation] {
                    EngineSimulator& engine = engines_[upstream.value];
                    if (engine.Incarnation() == upstreamIncarnation) {
                      Deliver(aId, aIncarnation, engine.Report(now_));
                    }
                  });
  }

  void Perform(core::InstanceId aId,
               uint64_t aIncarnation,
               core::RequestRating& aAction)
  {
    const auto request = requestsById_.find(aAction.requestId);
    const auto delay = rater_.DrawDelay();
    if (request == requestsById_.end() || !delay) {
      return;
    }
    core::Rating rating = aAction.ratedAnswer;
    rating.good = IsGood(request->second, rating.version);
    ScheduleAfter(*delay, [this, aId, aIncarnation, rating] {
      Deliver(aId, aIncarnation, core::RatingArrived{ rating });
    });
  }

  void Perform(core::InstanceId, uint64_t, core::ReplyToAdmin& aAction)
  {
    const auto change = changes_.find(aAction.handle);
    if (change == changes_.end()) {
      return;
    }
    const core::ConfigurationChange retriedChange = change->second;
    changes_.erase(change);
    if (!aAction.accepted) {
      // The operator retries after a conflicting change.
      ScheduleAfter(Duration(200'000),
                    [this, retriedChange] { SubmitChange(retriedChange); });
    }
  }

  void Perform(core::InstanceId, uint64_t, core::Log& aAction)
  {
    ++result_.events[std::string(core::Describe(aAction.event.number).name)];
  }

  void Perform(core::InstanceId aId, uint64_t, core::Exit&)
  {
    InstanceState& state = instances_[aId.value];
    const uint64_t open = CountOpen(aId);
    result_.observations.push_back(CutByShutdown{ now_, aId, open });
    TerminateInstance(aId);
    if (state.draining) {
      ScheduleAfter(kInstanceRestartTime, [this, aId] { StartInstance(aId); });
    }
  }

  uint64_t CountOpen(core::InstanceId aId) const
  {
    uint64_t open = 0;
    for (const auto& [handle, submission] : submissions_) {
      open += submission.record.instance == aId ? 1 : 0;
    }
    return open;
  }

  /// Ends an instance's process; its callers lose their connections.
  void TerminateInstance(core::InstanceId aId)
  {
    InstanceState& state = instances_[aId.value];
    state.alive = false;
    AddCounters(*state.router);
    std::vector<core::RequestHandle> open;
    for (const auto& [handle, submission] : submissions_) {
      if (submission.record.instance == aId) {
        open.push_back(handle);
      }
    }
    std::sort(open.begin(), open.end());
    for (const core::RequestHandle handle : open) {
      LoseCallerConnection(handle);
    }
    std::erase_if(attempts_, [&](const auto& aAttempt) {
      const AttemptLocation& location = aAttempt.second;
      if (location.instance != aId) {
        return false;
      }
      engines_[location.upstream.value].Cancel(now_, aAttempt.first);
      return true;
    });
  }

  void LoseCallerConnection(core::RequestHandle aHandle)
  {
    Submission& submission = submissions_.at(aHandle);
    submission.record.ended = now_;
    submission.record.outcome = CallerOutcome::ConnectionLost;
    const TraceRequest request = submission.request;
    const int resubmissions = submission.resubmissions;
    CloseSubmission(aHandle);
    if (resubmissions < kMaxResubmissions) {
      ScheduleResubmission(request, resubmissions + 1);
    }
  }

  void ScheduleResubmission(const TraceRequest& aRequest, int aResubmissions)
  {
    ++pendingResubmissions_;
    ScheduleAfter(kResubmissionDelay, [this, aRequest, aResubmissions] {
      --pendingResubmissions_;
      SubmitRequest(aRequest, aResubmissions);
    });
  }

  void SubmitRequest(const TraceRequest& aRequest, int aResubmissions)
  {
    std::vector<core::InstanceId> accepting;
    for (uint32_t i = 0; i < instances_.size(); ++i) {
      const InstanceState& state = instances_[i];
      if (state.alive && !state.draining && state.router->Ready()) {
        accepting.push_back(core::InstanceId{ i });
      }
    }
    if (accepting.empty()) {
      ScheduleResubmission(aRequest, aResubmissions);
      return;
    }
    const core::InstanceId instance =
      accepting[std::uniform_int_distribution<std::size_t>(
        0, accepting.size() - 1)(random_)];
    const core::RequestHandle handle = ++lastHandle_;
    Submission submission{
      aRequest, {}, instances_[instance.value].incarnation, aResubmissions
    };
    submission.record.sent = now_;
    submission.record.requestId = aRequest.requestId;
    submission.record.organisation = aRequest.organisation;
    submission.record.requestClass = aRequest.requestClass;
    submission.record.session = aRequest.session;
    submission.record.instance = instance;
    submissions_.emplace(handle, submission);
    ScheduleAfter(kCallerLatency, [this, handle] { DeliverRequest(handle); });
  }

  void DeliverRequest(core::RequestHandle aHandle)
  {
    const auto found = submissions_.find(aHandle);
    if (found == submissions_.end()) {
      return;
    }
    const Submission& submission = found->second;
    const TraceRequest& request = submission.request;
    core::RequestArrived arrived;
    arrived.handle = aHandle;
    arrived.organisation = request.organisation;
    arrived.requestClass = request.requestClass;
    arrived.requestId = request.requestId;
    arrived.session = request.session;
    arrived.fingerprint = Fingerprint(request);
    arrived.prefix = request.prefix;
    arrived.promptTokens = request.promptTokens;
    Deliver(submission.record.instance, submission.incarnation, arrived);
  }

  /// All poison requests have the same fingerprint, so that quarantine applies.
  uint64_t Fingerprint(const TraceRequest& aRequest) const
  {
    if (aRequest.crashes) {
      return 0xdead;
    }
    return std::hash<std::string>{}(aRequest.requestId);
  }

  void SubmitChange(const core::ConfigurationChange& aChange)
  {
    for (uint32_t i = 0; i < instances_.size(); ++i) {
      const core::InstanceId id{ i };
      const InstanceState& state = instances_[i];
      if (state.alive && !state.draining &&
          !partitionedZones_.contains(ZoneOf(id))) {
        const core::AdminHandle handle = ++lastAdminHandle_;
        changes_[handle] = aChange;
        Deliver(id,
                state.incarnation,
                core::AdminChange{ handle, aChange, "trace-operator" });
        return;
      }
    }
  }

  void ScheduleTrace()
  {
    for (const TraceLine& line : trace_.lines) {
      if (const auto* request = std::get_if<TraceRequest>(&line)) {
        requestsById_.try_emplace(request->requestId, *request);
        ScheduleAt(TimePoint(kEpoch) + request->at,
                   [this, request] { SubmitRequest(*request, 0); });
      } else {
        const auto& event = std::get<TraceEvent>(line);
        ScheduleAt(TimePoint(kEpoch) + event.at,
                   [this, &event] { ApplyEvent(event); });
      }
    }
  }

  void ApplyEvent(const TraceEvent& aEvent)
  {
    switch (aEvent.kind) {
      case TraceEventKind::RollOut:
        SubmitChange(core::RollOutVersion{ aEvent.version, aEvent.exposure });
        return;
      case TraceEventKind::Withdraw:
        SubmitChange(core::WithdrawVersion{ aEvent.version });
        return;
      case TraceEventKind::ZoneOut:
        SubmitChange(core::TakeZoneOut{ aEvent.zone });
        return;
      case TraceEventKind::ZoneIn:
        SubmitChange(core::BringZoneBack{ aEvent.zone });
        return;
      case TraceEventKind::VersionBad:
      case TraceEventKind::VersionGood:
        badVersions_[aEvent.version.value] =
          aEvent.kind == TraceEventKind::VersionBad;
        return;
      case TraceEventKind::InstanceReplace:
        DrainInstance(aEvent.instance);
        return;
      case TraceEventKind::InstanceKill:
        KillInstance(aEvent.instance);
        return;
      case TraceEventKind::UpstreamRestart:
        engines_[aEvent.upstream.value].Restart(now_);
        AdvanceEngine(aEvent.upstream);
        ScheduleConnectionResets(aEvent.upstream);
        return;
      case TraceEventKind::UpstreamLeave:
        LeaveUpstream(aEvent.upstream);
        return;
      case TraceEventKind::Silence:
        engines_[aEvent.upstream.value].SilenceOpenConnections();
        return;
      case TraceEventKind::Crossed:
        engines_[aEvent.upstream.value].DuplicateNextChunk();
        return;
      case TraceEventKind::PlatformOut:
        platform_.SetOutage(true);
        result_.observations.push_back(
          PlatformOutage{ now_, now_ + aEvent.duration });
        ScheduleAfter(aEvent.duration, [this] { platform_.SetOutage(false); });
        return;
      case TraceEventKind::PlatformSlow:
        platform_.SetLatency(Duration(400'000));
        ScheduleAfter(aEvent.duration, [this] {
          platform_.SetLatency(PlatformOptions{}.latency);
        });
        return;
      case TraceEventKind::ZoneCut:
        PartitionZone(aEvent.zone, aEvent.duration);
        return;
    }
  }

  void DrainInstance(core::InstanceId aId)
  {
    InstanceState& state = instances_[aId.value];
    if (!state.alive || state.draining) {
      return;
    }
    state.draining = true;
    Deliver(aId, state.incarnation, core::Drain{});
  }

  void KillInstance(core::InstanceId aId)
  {
    if (!instances_[aId.value].alive) {
      return;
    }
    TerminateInstance(aId);
    ScheduleAfter(kInstanceRestartTime, [this, aId] { StartInstance(aId); });
  }

  void LeaveUpstream(core::UpstreamId aId)
  {
    EngineSimulator& engine = engines_[aId.value];
    engine.SetLeaving(true);
    result_.observations.push_back(UpstreamLeaveOrdered{ now_, aId });
    ScheduleAfter(kUpstreamLeaveTime, [this, aId] {
      engines_[aId.value].SetDown(true);
      engines_[aId.value].Restart(now_);
      AdvanceEngine(aId);
    });
  }

  void PartitionZone(core::ZoneId aZone, Duration aDuration)
  {
    partitionedZones_.insert(aZone);
    result_.observations.push_back(ZoneCut{ now_, now_ + aDuration, aZone });
    ScheduleAfter(aDuration, [this, aZone] { partitionedZones_.erase(aZone); });
  }

  void AddCounters(const core::Router& aRouter)
  {
    result_.retries += aRouter.Counters().retries;
    result_.escalations += aRouter.Counters().escalations;
  }

  SimulationResult Finish()
  {
    for (const InstanceState& state : instances_) {
      if (state.alive) {
        AddCounters(*state.router);
      }
    }
    std::vector<core::RequestHandle> open;
    for (const auto& [handle, submission] : submissions_) {
      open.push_back(handle);
    }
    std::sort(open.begin(), open.end());
    for (const core::RequestHandle handle : open) {
      submissions_.at(handle).record.ended = now_;
      CloseSubmission(handle);
    }
    for (const BillStored& bill : platform_.Bills()) {
      result_.observations.push_back(bill);
    }
    for (const EngineSimulator& engine : engines_) {
      result_.cost += engine.Cost();
    }
    result_.platformWrites = platform_.Writes();
    result_.platformReads = platform_.Reads();
    return std::move(result_);
  }

  const core::Settings& settings_;
  const Trace& trace_;
  SimulationOptions options_;
  std::mt19937_64 random_;
  TimePoint now_;
  EventQueue queue_;
  std::vector<VersionBehaviour> behaviours_;
  PlatformSimulator platform_;
  RaterSimulator rater_;
  std::vector<EngineSimulator> engines_;
  std::vector<InstanceState> instances_;
  std::vector<bool> badVersions_;
  std::vector<std::optional<TimePoint>> engineWakeups_;
  std::map<uint32_t, std::map<core::InstanceId, uint64_t>>
    connectionIncarnations_;
  std::unordered_map<core::AttemptId, AttemptLocation> attempts_;
  std::unordered_map<core::RequestHandle, Submission> submissions_;
  std::unordered_map<std::string, TraceRequest> requestsById_;
  std::map<core::AdminHandle, core::ConfigurationChange> changes_;
  std::set<core::ZoneId> partitionedZones_;
  TimePoint quietSince_;
  uint64_t pendingResubmissions_ = 0;
  core::RequestHandle lastHandle_ = 0;
  core::AdminHandle lastAdminHandle_ = 0;
  SimulationResult result_;
};

} // namespace

SimulationResult
RunSimulation(const core::Settings& aSettings,
              const Trace& aTrace,
              const SimulationOptions& aOptions)
{
  return Simulation(aSettings, aTrace, aOptions).Run();
}

} // namespace hibiscusnotch::replay
