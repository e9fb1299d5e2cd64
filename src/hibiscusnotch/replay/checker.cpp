#include "hibiscusnotch/replay/checker.hpp"

#include <algorithm>
#include <map>
#include <set>

namespace hibiscusnotch::replay {

namespace {

using namespace standin;
using core::Duration;

/// Time allowed for a configuration change to reach every instance.
constexpr Duration kConfigurationDeadline{ 5'000'000 };
/// Time allowed until a zone out or a leaving upstream gets no new work.
constexpr Duration kEvacuationDeadline{ 3'000'000 };
constexpr std::size_t kMaxDetails = 20;

/// A half-open time interval.
struct Interval
{
  TimePoint from;
  TimePoint to;
};

bool
InInterval(const std::vector<Interval>& aIntervals,
           TimePoint aAt,
           Duration aGrace)
{
  return std::any_of(
    aIntervals.begin(), aIntervals.end(), [&](const Interval& aInterval) {
      return aAt >= aInterval.from + aGrace && aAt < aInterval.to;
    });
}

class Checker
{
public:
  Checker(const core::Settings& aSettings,
          std::span<const Observation> aObservations)
    : settings_(aSettings)
  {
    for (const Observation& observed : aObservations) {
      std::visit([this](const auto& aObservation) { Add(aObservation); },
                 observed);
    }
    BuildIntervals();
  }

  Violations Check()
  {
    CheckExecutions();
    CheckSessions();
    CheckBills();
    CheckCallers();
    CheckSingleExecution();
    CheckRevisions();
    for (const CutByShutdown& cut : shutdowns_) {
      AddViolations(
        violations_.cutByShutdown, cut.open, "shutdown cut off open requests");
    }
    return std::move(violations_);
  }

private:
  void Add(const ExecutionStarted& aObservation)
  {
    executions_.push_back(&aObservation);
  }
  void Add(const SubmissionRecord& aObservation)
  {
    byRequest_[KeyOf(aObservation.organisation, aObservation.requestId)]
      .push_back(&aObservation);
  }
  void Add(const BillStored& aObservation) { bills_.push_back(&aObservation); }
  void Add(const ConfigurationStored& aObservation)
  {
    configurations_.push_back(&aObservation);
  }
  void Add(const RevisionObserved& aObservation)
  {
    revisions_.push_back(&aObservation);
  }
  void Add(const ZoneCut& aObservation) { partitions_.push_back(aObservation); }
  /// An outage of the platform excuses no violation.
  void Add(const PlatformOutage&) {}
  void Add(const CutByShutdown& aObservation)
  {
    shutdowns_.push_back(aObservation);
  }
  void Add(const UpstreamLeaveOrdered& aObservation)
  {
    leaving_[aObservation.upstream].push_back(
      Interval{ aObservation.at, TimePoint::max() });
  }

  std::string KeyOf(core::OrganisationId aOrganisation,
                    const std::string& aRequestId) const
  {
    return settings_.At(aOrganisation).name + "/" + aRequestId;
  }

  void AddViolations(uint64_t& aCounter,
                     uint64_t aCount,
                     const std::string& aDetail)
  {
    if (aCount == 0) {
      return;
    }
    aCounter += aCount;
    if (violations_.details.size() < kMaxDetails) {
      violations_.details.push_back(aDetail);
    }
  }

  /// Opens the interval of each id in the set and closes those of the others.
  template<class IdType>
  static void UpdateIntervals(
    std::map<IdType, std::vector<Interval>>& aIntervals,
    const std::set<IdType>& aPresent,
    TimePoint aAt)
  {
    for (const IdType id : aPresent) {
      auto& intervals = aIntervals[id];
      if (intervals.empty() || intervals.back().to != TimePoint::max()) {
        intervals.push_back(Interval{ aAt, TimePoint::max() });
      }
    }
    for (auto& [id, intervals] : aIntervals) {
      const bool open =
        !intervals.empty() && intervals.back().to == TimePoint::max();
      if (open && !aPresent.contains(id)) {
        intervals.back().to = aAt;
      }
    }
  }

  void BuildIntervals()
  {
    for (const ConfigurationStored* configuration : configurations_) {
      UpdateIntervals(
        withdrawn_, configuration->state.withdrawn, configuration->at);
      UpdateIntervals(
        zonesOut_, configuration->state.zonesOut, configuration->at);
      UpdateIntervals(leavingByOperator_,
                      configuration->state.upstreamsLeaving,
                      configuration->at);
    }
  }

  /// True while configuration changes cannot reach the zone.
  bool IsPartitioned(core::ZoneId aZone, TimePoint aAt) const
  {
    return std::any_of(
      partitions_.begin(), partitions_.end(), [&](const ZoneCut& aCut) {
        return aCut.zone == aZone && aAt >= aCut.from &&
               aAt < aCut.to + kConfigurationDeadline;
      });
  }

  template<class IdType>
  static bool IsActiveAt(
    const std::map<IdType, std::vector<Interval>>& aIntervals,
    IdType aId,
    TimePoint aAt,
    Duration aGrace)
  {
    const auto found = aIntervals.find(aId);
    return found != aIntervals.end() && InInterval(found->second, aAt, aGrace);
  }

  void CheckExecutions()
  {
    for (const ExecutionStarted* execution : executions_) {
      const core::Upstream& upstream = settings_.At(execution->upstream);
      const std::string detail =
        " request " + execution->requestId + " on " + upstream.name + " " +
        settings_.At(execution->version).name + " at " +
        std::to_string(core::Milliseconds(execution->at.time_since_epoch())) +
        " ms";
      const auto& allowed = settings_.At(execution->organisation).versions;
      AddViolations(violations_.forbiddenVersion,
                    core::Contains(std::span(allowed), execution->version) ? 0
                                                                           : 1,
                    "forbidden version:" + detail);
      AddViolations(violations_.coldStartOverrun,
                    execution->cold &&
                        execution->running > execution->effectiveCapacity
                      ? 1
                      : 0,
                    "cold start overrun:" + detail);
      if (IsPartitioned(upstream.zone, execution->at)) {
        continue;
      }
      const bool withdrawn = IsActiveAt(
        withdrawn_, execution->version, execution->at, kConfigurationDeadline);
      AddViolations(violations_.withdrawnNewWork,
                    withdrawn ? 1 : 0,
                    "withdrawn version:" + detail);
      const bool out = IsActiveAt(
        zonesOut_, upstream.zone, execution->at, kEvacuationDeadline);
      AddViolations(
        violations_.zoneOutNewWork, out ? 1 : 0, "zone out:" + detail);
      const bool leaving =
        IsActiveAt(
          leaving_, execution->upstream, execution->at, kEvacuationDeadline) ||
        IsActiveAt(leavingByOperator_,
                   execution->upstream,
                   execution->at,
                   kEvacuationDeadline);
      AddViolations(
        violations_.leavingNewWork, leaving ? 1 : 0, "leaving:" + detail);
    }
  }

  bool WithdrawnBefore(core::VersionId aVersion, TimePoint aBefore) const
  {
    const auto found = withdrawn_.find(aVersion);
    return found != withdrawn_.end() &&
           std::any_of(found->second.begin(),
                       found->second.end(),
                       [&](const Interval& aInterval) {
                         return aInterval.from <= aBefore;
                       });
  }

  void CheckSessions()
  {
    std::map<std::string, std::vector<const SubmissionRecord*>> sessions;
    for (const auto& [key, submissions] : byRequest_) {
      for (const SubmissionRecord* record : submissions) {
        if (record->session.empty() ||
            record->outcome != CallerOutcome::Answered) {
          continue;
        }
        const auto service = settings_.At(record->requestClass).service;
        sessions[settings_.At(record->organisation).name + "/" +
                 record->session + "/" + std::to_string(service.value)]
          .push_back(record);
      }
    }
    for (auto& [session, answers] : sessions) {
      std::stable_sort(
        answers.begin(),
        answers.end(),
        [](const SubmissionRecord* aLeft, const SubmissionRecord* aRight) {
          return aLeft->firstToken < aRight->firstToken;
        });
      for (std::size_t i = 1; i < answers.size(); ++i) {
        const core::VersionId previous = answers[i - 1]->version;
        const bool changed = previous != answers[i]->version;
        const bool allowed = WithdrawnBefore(previous, answers[i]->ended);
        AddViolations(violations_.sessionVersionChanged,
                      changed && !allowed ? 1 : 0,
                      "session " + session + " changed from " +
                        settings_.At(previous).name + " to " +
                        settings_.At(answers[i]->version).name + " at " +
                        answers[i]->requestId);
      }
    }
  }

  void CheckBills()
  {
    std::map<std::string, uint64_t> counts;
    for (const BillStored* bill : bills_) {
      ++counts[bill->key];
    }
    for (const auto& [key, submissions] : byRequest_) {
      const bool answered = AnyOutcome(submissions, CallerOutcome::Answered);
      const bool uncertain =
        AnyOutcome(submissions, CallerOutcome::MayHaveRun) ||
        AnyOutcome(submissions, CallerOutcome::ConnectionLost);
      const auto found = counts.find(key);
      const uint64_t billed = found == counts.end() ? 0 : found->second;
      const bool wrong = answered    ? billed != 1
                         : uncertain ? billed > 1
                                     : billed != 0;
      AddViolations(violations_.billedNotOnce,
                    wrong ? 1 : 0,
                    "request " + key + " billed " + std::to_string(billed) +
                      " times");
      counts.erase(key);
    }
    AddViolations(
      violations_.billedNotOnce, counts.size(), "bills for unknown requests");
  }

  static bool AnyOutcome(
    const std::vector<const SubmissionRecord*>& aSubmissions,
    CallerOutcome aOutcome)
  {
    return std::any_of(aSubmissions.begin(),
                       aSubmissions.end(),
                       [aOutcome](const SubmissionRecord* aRecord) {
                         return aRecord->outcome == aOutcome;
                       });
  }

  /// Upstreams cannot tell overlapping submissions of one request id apart.
  static bool Overlaps(const std::vector<const SubmissionRecord*>& aSubmissions,
                       const SubmissionRecord& aSubmission)
  {
    return std::any_of(aSubmissions.begin(),
                       aSubmissions.end(),
                       [&aSubmission](const SubmissionRecord* aOther) {
                         return aOther != &aSubmission &&
                                aOther->sent <= aSubmission.ended &&
                                aOther->ended >= aSubmission.sent;
                       });
  }

  void CheckCallers()
  {
    std::map<std::string, std::vector<TimePoint>> executionsByKey;
    for (const ExecutionStarted* execution : executions_) {
      executionsByKey[KeyOf(execution->organisation, execution->requestId)]
        .push_back(execution->at);
    }
    for (const auto& [key, submissions] : byRequest_) {
      for (const SubmissionRecord* record : submissions) {
        AddViolations(violations_.answerMismatch,
                      record->contentCorrect ? 0 : 1,
                      "request " + key + " got a wrong or incomplete answer");
        if (record->outcome != CallerOutcome::NotRun ||
            Overlaps(submissions, *record)) {
          continue;
        }
        const auto& executions = executionsByKey[key];
        const bool ran =
          std::any_of(executions.begin(), executions.end(), [&](TimePoint aAt) {
            return aAt >= record->sent && aAt <= record->ended;
          });
        AddViolations(violations_.falseNotRun,
                      ran ? 1 : 0,
                      "request " + key + " was refused as not run, but ran");
      }
    }
  }

  bool Repeatable(const std::string& aKey) const
  {
    const auto found = byRequest_.find(aKey);
    return found == byRequest_.end() ||
           settings_.At(found->second.front()->requestClass).repeatable;
  }

  void CheckSingleExecution()
  {
    std::map<std::string, uint64_t> runs;
    for (const ExecutionStarted* execution : executions_) {
      ++runs[KeyOf(execution->organisation, execution->requestId)];
    }
    for (const auto& [key, count] : runs) {
      const bool twice = count > 1 && !Repeatable(key);
      AddViolations(violations_.ranTwice,
                    twice ? 1 : 0,
                    "request " + key + " ran " + std::to_string(count) +
                      " times");
    }
  }

  void CheckRevisions()
  {
    std::map<std::pair<core::InstanceId, uint64_t>, uint64_t> highestRevisions;
    std::map<std::pair<core::InstanceId, uint64_t>, TimePoint> firstObservedAt;
    for (const RevisionObserved* observed : revisions_) {
      const auto process = std::pair(observed->instance, observed->incarnation);
      firstObservedAt.try_emplace(process, observed->at);
      uint64_t& previous = highestRevisions[process];
      AddViolations(violations_.configLateOrReverted,
                    observed->revision < previous ? 1 : 0,
                    "configuration reverted at " +
                      settings_.At(observed->instance).name);
      previous = std::max(previous, observed->revision);
      AddViolations(violations_.configLateOrReverted,
                    IsLate(*observed, firstObservedAt.at(process)) ? 1 : 0,
                    "configuration late at " +
                      settings_.At(observed->instance).name);
    }
  }

  bool IsLate(const RevisionObserved& aObserved, TimePoint aRunningSince) const
  {
    if (IsPartitioned(settings_.At(aObserved.instance).zone, aObserved.at)) {
      return false;
    }
    return std::any_of(
      configurations_.begin(),
      configurations_.end(),
      [&](const ConfigurationStored* aObservation) {
        const TimePoint due =
          std::max(aObservation->at, aRunningSince) + kConfigurationDeadline;
        return aObserved.at >= due &&
               aObserved.revision < aObservation->state.revision;
      });
  }

  const core::Settings& settings_;
  Violations violations_;
  std::vector<const ExecutionStarted*> executions_;
  std::map<std::string, std::vector<const SubmissionRecord*>> byRequest_;
  std::vector<const BillStored*> bills_;
  std::vector<const ConfigurationStored*> configurations_;
  std::vector<const RevisionObserved*> revisions_;
  std::vector<ZoneCut> partitions_;
  std::vector<CutByShutdown> shutdowns_;
  std::map<core::UpstreamId, std::vector<Interval>> leaving_;
  std::map<core::UpstreamId, std::vector<Interval>> leavingByOperator_;
  std::map<core::VersionId, std::vector<Interval>> withdrawn_;
  std::map<core::ZoneId, std::vector<Interval>> zonesOut_;
};

} // namespace

uint64_t
Violations::Total() const
{
  uint64_t total = 0;
  for (const auto& [name, count] : ViolationCounts(*this)) {
    total += count;
  }
  return total;
}

std::vector<std::pair<std::string, uint64_t>>
ViolationCounts(const Violations& aViolations)
{
  return {
    { "forbidden_version", aViolations.forbiddenVersion },
    { "withdrawn_new_work", aViolations.withdrawnNewWork },
    { "session_version_changed", aViolations.sessionVersionChanged },
    { "billed_not_once", aViolations.billedNotOnce },
    { "cold_start_overrun", aViolations.coldStartOverrun },
    { "zone_out_new_work", aViolations.zoneOutNewWork },
    { "answer_mismatch", aViolations.answerMismatch },
    { "false_not_run", aViolations.falseNotRun },
    { "ran_twice", aViolations.ranTwice },
    { "leaving_new_work", aViolations.leavingNewWork },
    { "cut_by_shutdown", aViolations.cutByShutdown },
    { "config_late_or_reverted", aViolations.configLateOrReverted },
  };
}

Violations
CheckGuarantees(const core::Settings& aSettings,
                std::span<const Observation> aObservations)
{
  return Checker(aSettings, aObservations).Check();
}

} // namespace hibiscusnotch::replay
