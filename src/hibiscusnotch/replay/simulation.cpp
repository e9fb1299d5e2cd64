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

constexpr Duration kTick{ 20'000 };
constexpr Duration kInsideZone{ 200 };
constexpr Duration kBetweenZones{ 700 };
constexpr Duration kToCaller{ 2'000 };
constexpr Duration kConnectTimeout{ 200'000 };
constexpr Duration kResendAfter{ 50'000 };
constexpr Duration kRevisionPoll{ 250'000 };
constexpr Duration kReplaceTime{ 1'000'000 };
constexpr Duration kUpstreamGone{ 20'000'000 };
constexpr Duration kSettleTime{ 45'000'000 };
constexpr Duration kQuietTime{ 8'000'000 };
constexpr Duration kWarmStart{ 3600'000'000 };
constexpr int kMaxResends = 4;
/// Times start here, so that warm upstreams can have started before.
constexpr Duration kEpoch{ 7200'000'000 };

/// One entry instance and its present run.
struct Node
{
  std::unique_ptr<core::Router> router;
  uint64_t run = 0;
  bool alive = false;
  bool draining = false;
};

/// One submission on its way.
struct Submission
{
  TraceRequest request;
  SubmissionRecord record;
  uint64_t run = 0;
  int resends = 0;
};

/// Where an attempt runs and who waits for it.
struct AttemptPlace
{
  core::InstanceId instance;
  uint64_t run = 0;
  core::UpstreamId upstream;
};

class World
{
public:
  World(const core::Settings& aSettings,
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
    , nodes_(aSettings.instances.size())
    , badVersions_(aSettings.versions.size(), false)
    , wakes_(aSettings.upstreams.size())
  {
    for (uint32_t i = 0; i < aSettings.upstreams.size(); ++i) {
      engines_.emplace_back(
        aSettings, core::UpstreamId{ i }, behaviours_, now_ - kWarmStart);
    }
  }

  SimulationResult Play()
  {
    for (uint32_t i = 0; i < nodes_.size(); ++i) {
      StartNode(core::InstanceId{ i });
    }
    ScheduleTrace();
    SchedulePlatformWatch();
    ScheduleRevisionPoll();
    const TimePoint end = TimePoint(kEpoch) + trace_.length + kSettleTime;
    while (!queue_.Empty() && queue_.NextAt() <= end && !Settled()) {
      now_ = queue_.NextAt();
      queue_.Pop()();
    }
    return Finish();
  }

private:
  /// True once all is answered and bills had time to be stored.
  bool Settled()
  {
    const bool busy = now_ < TimePoint(kEpoch) + trace_.length ||
                      !submissions_.empty() || pendingResends_ > 0 ||
                      platform_.InOutage() || !cut_.empty();
    if (busy) {
      quietSince_ = now_;
    }
    return now_ - quietSince_ > kQuietTime;
  }

  static PlatformOptions MakePlatformOptions(const SimulationOptions& aOptions)
  {
    PlatformOptions options;
    options.seed = aOptions.seed + 5;
    options.lostResponseShare = aOptions.lostPlatformAnswers;
    return options;
  }

  void At(TimePoint aWhen, std::function<void()> aRun)
  {
    queue_.Push(std::max(aWhen, now_), std::move(aRun));
  }
  void After(Duration aDelay, std::function<void()> aRun)
  {
    At(now_ + aDelay, std::move(aRun));
  }

  double Unit()
  {
    return std::uniform_real_distribution<double>(0, 1)(random_);
  }

  core::ZoneId ZoneOf(core::InstanceId aId) const
  {
    return settings_.At(aId).zone;
  }

  bool Reachable(core::ZoneId aLeft, core::ZoneId aRight) const
  {
    return aLeft == aRight || (!cut_.contains(aLeft) && !cut_.contains(aRight));
  }

  static Duration Distance(core::ZoneId aLeft, core::ZoneId aRight)
  {
    return aLeft == aRight ? kInsideZone : kBetweenZones;
  }

  void StartNode(core::InstanceId aId)
  {
    Node& node = nodes_[aId.value];
    ++node.run;
    core::RouterOptions options;
    options.self = aId;
    options.incarnation = node.run;
    options.seed = options_.seed * 1000 + aId.value * 17 + node.run;
    options.cascade = options_.cascade;
    options.balance = options_.balance;
    options.rollout = options_.rollout;
    node.router = core::MakeRouter(settings_, options);
    node.alive = true;
    node.draining = false;
    const Duration phase{ static_cast<int64_t>(aId.value) * 1'700 };
    After(phase, [this, aId, run = node.run] { TickNode(aId, run); });
  }

  void TickNode(core::InstanceId aId, uint64_t aRun)
  {
    if (!Runs(aId, aRun)) {
      return;
    }
    Deliver(aId, aRun, core::Tick{});
    After(kTick, [this, aId, aRun] { TickNode(aId, aRun); });
  }

  bool Runs(core::InstanceId aId, uint64_t aRun) const
  {
    const Node& node = nodes_[aId.value];
    return node.alive && node.run == aRun;
  }

  void Deliver(core::InstanceId aId, uint64_t aRun, core::Event aEvent)
  {
    if (!Runs(aId, aRun)) {
      return;
    }
    core::Actions actions;
    nodes_[aId.value].router->Handle(now_, std::move(aEvent), actions);
    for (core::Action& action : actions) {
      std::visit([&](auto& aAction) { Perform(aId, aRun, aAction); }, action);
    }
  }

  void Perform(core::InstanceId aId, uint64_t aRun, core::StartAttempt& aAction)
  {
    const Submission& submission = submissions_.at(aAction.request);
    const core::ZoneId zone = settings_.At(aAction.upstream).zone;
    ++result_.attempts;
    attempts_[aAction.attempt] = AttemptPlace{ aId, aRun, aAction.upstream };
    if (!Reachable(ZoneOf(aId), zone) ||
        engines_[aAction.upstream.value].Down()) {
      FailLater(aAction.attempt, core::FailureKind::NotSent, kConnectTimeout);
      return;
    }
    const TraceRequest& request = submission.request;
    EngineRequest work;
    work.attempt = aAction.attempt;
    work.requestId = request.requestId;
    work.organisation = request.organisation;
    work.version = aAction.version;
    work.promptTokens = request.promptTokens;
    work.outputTokens = request.outputTokens;
    work.resumeOffset = aAction.resumeOffset;
    work.prefix = request.prefix;
    work.priority = settings_.At(request.requestClass).priority;
    work.difficulty = request.difficulty;
    work.crashes = request.crashes;
    const uint64_t incarnation = Connect(aId, aAction.upstream);
    After(Distance(ZoneOf(aId), zone), [this, work, incarnation, aAction] {
      Submit(aAction.upstream, incarnation, work);
    });
  }

  /// A request on a connection that the process's restart has reset is lost.
  void Submit(core::UpstreamId aUpstream,
              uint64_t aIncarnation,
              const EngineRequest& aWork)
  {
    EngineSimulator& engine = engines_[aUpstream.value];
    if (engine.Incarnation() != aIncarnation || engine.Down()) {
      FailLater(aWork.attempt, core::FailureKind::Lost, kInsideZone);
      return;
    }
    const SubmitResult result =
      engine.Submit(now_, aWork, result_.observations);
    if (result != SubmitResult::Accepted) {
      FailLater(aWork.attempt,
                core::FailureKind::Refused,
                kInsideZone,
                result == SubmitResult::Leaving);
      return;
    }
    if (engine.Incarnation() != aIncarnation) {
      TellRestart(aUpstream);
    }
    WakeEngine(aUpstream);
  }

  void FailLater(core::AttemptId aAttempt,
                 core::FailureKind aKind,
                 Duration aDelay,
                 bool aLeaving = false)
  {
    After(aDelay, [this, aAttempt, aKind, aLeaving] {
      const auto place = attempts_.find(aAttempt);
      if (place == attempts_.end()) {
        return;
      }
      const AttemptPlace at = place->second;
      attempts_.erase(place);
      Deliver(
        at.instance, at.run, core::AttemptFailed{ aAttempt, aKind, aLeaving });
    });
  }

  void WakeEngine(core::UpstreamId aId)
  {
    const auto next = engines_[aId.value].NextOutputAt();
    auto& wake = wakes_[aId.value];
    if (!next || (wake && *wake <= *next && *wake >= now_)) {
      return;
    }
    wake = std::max(*next, now_);
    At(*wake, [this, aId, at = *wake] {
      if (wakes_[aId.value] == at) {
        wakes_[aId.value].reset();
      }
      AdvanceEngine(aId);
    });
  }

  void AdvanceEngine(core::UpstreamId aId)
  {
    EngineSimulator& engine = engines_[aId.value];
    const uint64_t before = engine.Incarnation();
    for (EngineOutput& output : engine.Advance(now_)) {
      const auto place = attempts_.find(output.attempt);
      if (place == attempts_.end()) {
        continue;
      }
      const AttemptPlace at = place->second;
      const core::ZoneId zone = settings_.At(aId).zone;
      if (!Reachable(ZoneOf(at.instance), zone)) {
        continue;
      }
      if (output.lost) {
        FailLater(output.attempt,
                  core::FailureKind::Lost,
                  Distance(ZoneOf(at.instance), zone));
        continue;
      }
      After(Distance(ZoneOf(at.instance), zone),
            [this, at, chunk = std::move(output.chunk)]() mutable {
              Deliver(at.instance, at.run, std::move(chunk));
            });
    }
    if (engine.Incarnation() != before) {
      TellRestart(aId);
    }
    WakeEngine(aId);
  }

  /// Resets the idle connections of a process that ended.
  void TellRestart(core::UpstreamId aId)
  {
    const core::ZoneId zone = settings_.At(aId).zone;
    for (const auto& [instance, incarnation] : connected_[aId.value]) {
      if (!Reachable(ZoneOf(instance), zone)) {
        continue;
      }
      After(Distance(ZoneOf(instance), zone),
            [this, instance = instance, aId] { Reset(instance, aId); });
    }
  }

  /// The instance learns that its connections to the upstream have ended.
  void Reset(core::InstanceId aInstance, core::UpstreamId aUpstream)
  {
    connected_[aUpstream.value].erase(aInstance);
    Deliver(aInstance,
            nodes_[aInstance.value].run,
            core::UpstreamConnectionLost{ aUpstream });
  }

  /// The process that the instance's connections lead to: until their reset
  /// arrives, that may be one that has ended.
  uint64_t Connect(core::InstanceId aInstance, core::UpstreamId aUpstream)
  {
    const uint64_t current = engines_[aUpstream.value].Incarnation();
    return connected_[aUpstream.value]
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
    After(Distance(ZoneOf(aId), zone),
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
      record.firstToken = now_ + kToCaller;
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
      Answered(aAction.request);
    }
  }

  void Answered(core::RequestHandle aHandle)
  {
    Submission& submission = submissions_.at(aHandle);
    SubmissionRecord& record = submission.record;
    const TraceRequest& request = submission.request;
    record.ended = now_ + kToCaller;
    record.outcome = CallerOutcome::Answered;
    record.contentCorrect =
      record.contentCorrect && record.tokens == request.outputTokens;
    record.badVersion = badVersions_[record.version.value];
    record.good = Good(request, record.version);
    Close(aHandle);
  }

  bool Good(const TraceRequest& aRequest, core::VersionId aVersion) const
  {
    return AnswerIsGood(aRequest.requestId,
                        settings_.At(aVersion).name,
                        behaviours_[aVersion.value],
                        aRequest.difficulty,
                        badVersions_[aVersion.value]);
  }

  void Close(core::RequestHandle aHandle)
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
    record.ended = now_ + kToCaller;
    record.reason = aAction.refusal.reason;
    record.outcome = aAction.refusal.verdict == core::Verdict::NotRun
                       ? CallerOutcome::NotRun
                       : CallerOutcome::MayHaveRun;
    Close(aAction.request);
  }

  void Perform(core::InstanceId, uint64_t, core::ReplayOutcome& aAction)
  {
    const auto found = submissions_.find(aAction.request);
    if (found == submissions_.end()) {
      return;
    }
    Submission& submission = found->second;
    SubmissionRecord& record = submission.record;
    record.firstToken = now_ + kToCaller;
    record.version =
      settings_.At(submission.request.requestClass).versions.back();
    const std::string expected = AnswerText(record.requestId,
                                            settings_.At(record.version).name,
                                            0,
                                            submission.request.outputTokens);
    record.tokens = submission.request.outputTokens;
    record.contentCorrect = aAction.outcome == expected;
    Answered(aAction.request);
  }

  void Perform(core::InstanceId aId, uint64_t, core::SendToPeer& aAction)
  {
    ++result_.peerMessages;
    if (!Reachable(ZoneOf(aId), ZoneOf(aAction.to)) ||
        Unit() < options_.messageLoss) {
      return;
    }
    const int copies = Unit() < options_.messageDuplicate ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
      const Duration jitter =
        core::FromSeconds(Unit() * core::Seconds(options_.messageJitter));
      const uint64_t run = nodes_[aAction.to.value].run;
      After(Distance(ZoneOf(aId), ZoneOf(aAction.to)) + jitter,
            [this, aId, run, to = aAction.to, message = aAction.message] {
              Deliver(to, run, core::PeerMessageArrived{ aId, message });
            });
    }
  }

  void Perform(core::InstanceId aId, uint64_t aRun, core::CallPlatform& aAction)
  {
    if (cut_.contains(ZoneOf(aId))) {
      const core::PlatformResponse lost{
        aAction.call, core::PlatformStatus::Lost, 0, {}
      };
      After(Duration(1'000'000),
            [this, aId, aRun, lost] { Deliver(aId, aRun, lost); });
      return;
    }
    const uint64_t tag = (static_cast<uint64_t>(aId.value) << 32) | aRun;
    const auto timed = platform_.Call(now_, tag, aAction, result_.observations);
    if (timed) {
      Answer(aId, aRun, *timed);
    }
  }

  void Answer(core::InstanceId aId, uint64_t aRun, const TimedResponse& aTimed)
  {
    At(aTimed.at, [this, aId, aRun, answer = aTimed.response]() mutable {
      if (cut_.contains(ZoneOf(aId))) {
        answer = core::PlatformResponse{
          answer.call, core::PlatformStatus::Lost, 0, {}
        };
      }
      Deliver(aId, aRun, answer);
    });
  }

  void SchedulePlatformWatch()
  {
    for (const auto& [tag, timed] : platform_.DueWatches(now_)) {
      Answer(core::InstanceId{ static_cast<uint32_t>(tag >> 32) },
             tag & 0xffffffff,
             timed);
    }
    After(Duration(10'000), [this] { SchedulePlatformWatch(); });
  }

  void ScheduleRevisionPoll()
  {
    for (uint32_t i = 0; i < nodes_.size(); ++i) {
      if (nodes_[i].alive && !nodes_[i].draining) {
        result_.observations.push_back(
          RevisionObserved{ now_,
                            core::InstanceId{ i },
                            nodes_[i].run,
                            nodes_[i].router->Configuration().revision });
      }
    }
    After(kRevisionPoll, [this] { ScheduleRevisionPoll(); });
  }

  void Perform(core::InstanceId aId,
               uint64_t aRun,
               core::ProbeUpstream& aAction)
  {
    const core::UpstreamId upstream = aAction.upstream;
    const core::ZoneId zone = settings_.At(upstream).zone;
    const bool reachable = Reachable(ZoneOf(aId), zone);
    if (!reachable || engines_[upstream.value].Down()) {
      After(kConnectTimeout, [this, aId, aRun, upstream] {
        Deliver(aId, aRun, core::UpstreamConnectionLost{ upstream });
      });
      return;
    }
    const uint64_t incarnation = Connect(aId, upstream);
    After(Distance(ZoneOf(aId), zone) * 2,
          [this, aId, aRun, upstream, incarnation] {
            EngineSimulator& engine = engines_[upstream.value];
            if (engine.Incarnation() == incarnation) {
              Deliver(aId, aRun, engine.Report(now_));
            }
          });
  }

  void Perform(core::InstanceId aId,
               uint64_t aRun,
               core::RequestRating& aAction)
  {
    const auto request = truths_.find(aAction.requestId);
    const auto delay = rater_.DrawDelay();
    if (request == truths_.end() || !delay) {
      return;
    }
    core::Rating rating = aAction.ratedAnswer;
    rating.good = Good(request->second, rating.version);
    After(*delay, [this, aId, aRun, rating] {
      Deliver(aId, aRun, core::RatingArrived{ rating });
    });
  }

  void Perform(core::InstanceId, uint64_t, core::ReplyToAdmin& aAction)
  {
    const auto change = changes_.find(aAction.handle);
    if (change == changes_.end()) {
      return;
    }
    const core::ConfigurationChange again = change->second;
    changes_.erase(change);
    if (!aAction.accepted) {
      // The operator reads who won and tries again.
      After(Duration(200'000), [this, again] { Change(again); });
    }
  }

  void Perform(core::InstanceId, uint64_t, core::Log& aAction)
  {
    ++result_.events[std::string(core::Describe(aAction.event.number).name)];
  }

  void Perform(core::InstanceId aId, uint64_t, core::Exit&)
  {
    Node& node = nodes_[aId.value];
    const uint64_t open = CountOpen(aId);
    result_.observations.push_back(CutByShutdown{ now_, aId, open });
    EndNode(aId);
    if (node.draining) {
      After(kReplaceTime, [this, aId] { StartNode(aId); });
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

  /// Ends a process: its callers see their connections end.
  void EndNode(core::InstanceId aId)
  {
    Node& node = nodes_[aId.value];
    node.alive = false;
    Collect(*node.router);
    std::vector<core::RequestHandle> open;
    for (const auto& [handle, submission] : submissions_) {
      if (submission.record.instance == aId) {
        open.push_back(handle);
      }
    }
    std::sort(open.begin(), open.end());
    for (const core::RequestHandle handle : open) {
      LoseCaller(handle);
    }
    std::erase_if(attempts_, [&](const auto& aRow) {
      const AttemptPlace& place = aRow.second;
      if (place.instance != aId) {
        return false;
      }
      engines_[place.upstream.value].Cancel(now_, aRow.first);
      return true;
    });
  }

  void LoseCaller(core::RequestHandle aHandle)
  {
    Submission& submission = submissions_.at(aHandle);
    submission.record.ended = now_;
    submission.record.outcome = CallerOutcome::ConnectionLost;
    const TraceRequest request = submission.request;
    const int resends = submission.resends;
    Close(aHandle);
    if (resends < kMaxResends) {
      SendCallerLater(request, resends + 1);
    }
  }

  void SendCallerLater(const TraceRequest& aRequest, int aResends)
  {
    ++pendingResends_;
    After(kResendAfter, [this, aRequest, aResends] {
      --pendingResends_;
      SendCaller(aRequest, aResends);
    });
  }

  void SendCaller(const TraceRequest& aRequest, int aResends)
  {
    std::vector<core::InstanceId> accepting;
    for (uint32_t i = 0; i < nodes_.size(); ++i) {
      const Node& node = nodes_[i];
      if (node.alive && !node.draining && node.router->Ready()) {
        accepting.push_back(core::InstanceId{ i });
      }
    }
    if (accepting.empty()) {
      SendCallerLater(aRequest, aResends);
      return;
    }
    const core::InstanceId instance =
      accepting[std::uniform_int_distribution<std::size_t>(
        0, accepting.size() - 1)(random_)];
    const core::RequestHandle handle = ++lastHandle_;
    Submission submission{ aRequest, {}, nodes_[instance.value].run, aResends };
    submission.record.sent = now_;
    submission.record.requestId = aRequest.requestId;
    submission.record.organisation = aRequest.organisation;
    submission.record.requestClass = aRequest.requestClass;
    submission.record.session = aRequest.session;
    submission.record.instance = instance;
    submissions_.emplace(handle, submission);
    After(kToCaller, [this, handle] { ArriveAt(handle); });
  }

  void ArriveAt(core::RequestHandle aHandle)
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
    Deliver(submission.record.instance, submission.run, arrived);
  }

  /// Requests that crash upstreams share their content, whatever their id.
  uint64_t Fingerprint(const TraceRequest& aRequest) const
  {
    if (aRequest.crashes) {
      return 0xdead;
    }
    return std::hash<std::string>{}(aRequest.requestId);
  }

  void Change(const core::ConfigurationChange& aChange)
  {
    for (uint32_t i = 0; i < nodes_.size(); ++i) {
      const core::InstanceId id{ i };
      const Node& node = nodes_[i];
      if (node.alive && !node.draining && !cut_.contains(ZoneOf(id))) {
        const core::AdminHandle handle = ++lastAdmin_;
        changes_[handle] = aChange;
        Deliver(
          id, node.run, core::AdminChange{ handle, aChange, "trace-operator" });
        return;
      }
    }
  }

  void ScheduleTrace()
  {
    for (const TraceLine& line : trace_.lines) {
      if (const auto* request = std::get_if<TraceRequest>(&line)) {
        truths_.try_emplace(request->requestId, *request);
        At(TimePoint(kEpoch) + request->at,
           [this, request] { SendCaller(*request, 0); });
      } else {
        const auto& event = std::get<TraceEvent>(line);
        At(TimePoint(kEpoch) + event.at, [this, &event] { Happen(event); });
      }
    }
  }

  void Happen(const TraceEvent& aEvent)
  {
    switch (aEvent.kind) {
      case TraceEventKind::RollOut:
        Change(core::RollOutVersion{ aEvent.version, aEvent.exposure });
        return;
      case TraceEventKind::Withdraw:
        Change(core::WithdrawVersion{ aEvent.version });
        return;
      case TraceEventKind::ZoneOut:
        Change(core::TakeZoneOut{ aEvent.zone });
        return;
      case TraceEventKind::ZoneIn:
        Change(core::BringZoneBack{ aEvent.zone });
        return;
      case TraceEventKind::VersionBad:
      case TraceEventKind::VersionGood:
        badVersions_[aEvent.version.value] =
          aEvent.kind == TraceEventKind::VersionBad;
        return;
      case TraceEventKind::InstanceReplace:
        DrainNode(aEvent.instance);
        return;
      case TraceEventKind::InstanceKill:
        KillNode(aEvent.instance);
        return;
      case TraceEventKind::UpstreamRestart:
        engines_[aEvent.upstream.value].Restart(now_);
        AdvanceEngine(aEvent.upstream);
        TellRestart(aEvent.upstream);
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
          PlatformOutage{ now_, now_ + aEvent.length });
        After(aEvent.length, [this] { platform_.SetOutage(false); });
        return;
      case TraceEventKind::PlatformSlow:
        platform_.SetLatency(Duration(400'000));
        After(aEvent.length,
              [this] { platform_.SetLatency(PlatformOptions{}.latency); });
        return;
      case TraceEventKind::ZoneCut:
        CutZone(aEvent.zone, aEvent.length);
        return;
    }
  }

  void DrainNode(core::InstanceId aId)
  {
    Node& node = nodes_[aId.value];
    if (!node.alive || node.draining) {
      return;
    }
    node.draining = true;
    Deliver(aId, node.run, core::Drain{});
  }

  void KillNode(core::InstanceId aId)
  {
    if (!nodes_[aId.value].alive) {
      return;
    }
    EndNode(aId);
    After(kReplaceTime, [this, aId] { StartNode(aId); });
  }

  void LeaveUpstream(core::UpstreamId aId)
  {
    EngineSimulator& engine = engines_[aId.value];
    engine.SetLeaving(true);
    result_.observations.push_back(UpstreamLeaveOrdered{ now_, aId });
    After(kUpstreamGone, [this, aId] {
      engines_[aId.value].SetDown(true);
      engines_[aId.value].Restart(now_);
      AdvanceEngine(aId);
    });
  }

  void CutZone(core::ZoneId aZone, Duration aLength)
  {
    cut_.insert(aZone);
    result_.observations.push_back(ZoneCut{ now_, now_ + aLength, aZone });
    After(aLength, [this, aZone] { cut_.erase(aZone); });
  }

  void Collect(const core::Router& aRouter)
  {
    result_.retries += aRouter.Counters().retries;
    result_.escalations += aRouter.Counters().escalations;
  }

  SimulationResult Finish()
  {
    for (const Node& node : nodes_) {
      if (node.alive) {
        Collect(*node.router);
      }
    }
    std::vector<core::RequestHandle> open;
    for (const auto& [handle, submission] : submissions_) {
      open.push_back(handle);
    }
    std::sort(open.begin(), open.end());
    for (const core::RequestHandle handle : open) {
      submissions_.at(handle).record.ended = now_;
      Close(handle);
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
  std::vector<Node> nodes_;
  std::vector<bool> badVersions_;
  std::vector<std::optional<TimePoint>> wakes_;
  std::map<uint32_t, std::map<core::InstanceId, uint64_t>> connected_;
  std::unordered_map<core::AttemptId, AttemptPlace> attempts_;
  std::unordered_map<core::RequestHandle, Submission> submissions_;
  std::unordered_map<std::string, TraceRequest> truths_;
  std::map<core::AdminHandle, core::ConfigurationChange> changes_;
  std::set<core::ZoneId> cut_;
  TimePoint quietSince_;
  uint64_t pendingResends_ = 0;
  core::RequestHandle lastHandle_ = 0;
  core::AdminHandle lastAdmin_ = 0;
  SimulationResult result_;
};

} // namespace

SimulationResult
RunSimulation(const core::Settings& aSettings,
              const Trace& aTrace,
              const SimulationOptions& aOptions)
{
  return World(aSettings, aTrace, aOptions).Play();
}

} // namespace hibiscusnotch::replay
