#include "hibiscusnotch/replay/checker.hpp"

#include <algorithm>
#include <map>
#include <set>

namespace hibiscusnotch::replay {

namespace {

using namespace standin;
using core::Duration;

constexpr Duration kInForceWithin{ 5'000'000 };
constexpr Duration kFewSeconds{ 3'000'000 };
constexpr std::size_t kMaxDetails = 20;

/// When something was true, as half-open intervals.
struct Interval
{
  TimePoint from;
  TimePoint to;
};

bool
Within(const std::vector<Interval>& aIntervals, TimePoint aAt, Duration aAfter)
{
  return std::any_of(
    aIntervals.begin(), aIntervals.end(), [&](const Interval& aInterval) {
      return aAt >= aInterval.from + aAfter && aAt < aInterval.to;
    });
}

class Checker
{
public:
  Checker(const core::Settings& aSettings, std::span<const Observation> aSeen)
    : settings_(aSettings)
  {
    for (const Observation& seen : aSeen) {
      std::visit([this](const auto& aRow) { Sort(aRow); }, seen);
    }
    BuildIntervals();
  }

  Violations Check()
  {
    CheckStarts();
    CheckSessions();
    CheckBills();
    CheckCallers();
    CheckRunsOnce();
    CheckRevisions();
    for (const CutByShutdown& cut : shutdowns_) {
      Count(violations_.cutByShutdown, cut.open, "shutdown cut requests");
    }
    return std::move(violations_);
  }

private:
  void Sort(const ExecutionStarted& aRow) { starts_.push_back(&aRow); }
  void Sort(const SubmissionRecord& aRow)
  {
    byRequest_[KeyOf(aRow.organisation, aRow.requestId)].push_back(&aRow);
  }
  void Sort(const BillStored& aRow) { bills_.push_back(&aRow); }
  void Sort(const ConfigurationStored& aRow) { stored_.push_back(&aRow); }
  void Sort(const RevisionObserved& aRow) { revisions_.push_back(&aRow); }
  void Sort(const ZoneCut& aRow) { cuts_.push_back(aRow); }
  /// No promise is excused by an outage.
  void Sort(const PlatformOutage&) {}
  void Sort(const CutByShutdown& aRow) { shutdowns_.push_back(aRow); }
  void Sort(const UpstreamLeaveOrdered& aRow)
  {
    leaving_[aRow.upstream].push_back(Interval{ aRow.at, TimePoint::max() });
  }

  std::string KeyOf(core::OrganisationId aOrganisation,
                    const std::string& aRequestId) const
  {
    return settings_.At(aOrganisation).name + "/" + aRequestId;
  }

  void Count(uint64_t& aCount, uint64_t aNumber, const std::string& aDetail)
  {
    if (aNumber == 0) {
      return;
    }
    aCount += aNumber;
    if (violations_.details.size() < kMaxDetails) {
      violations_.details.push_back(aDetail);
    }
  }

  /// Opens and closes one id's interval from its presence in a set.
  template<class IdType>
  static void Track(std::map<IdType, std::vector<Interval>>& aIntervals,
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
    for (const ConfigurationStored* row : stored_) {
      Track(withdrawn_, row->state.withdrawn, row->at);
      Track(zonesOut_, row->state.zonesOut, row->at);
      Track(leavingByOperator_, row->state.upstreamsLeaving, row->at);
    }
  }

  /// True while news cannot reach the zone because it is cut off.
  bool CutOff(core::ZoneId aZone, TimePoint aAt) const
  {
    return std::any_of(cuts_.begin(), cuts_.end(), [&](const ZoneCut& aCut) {
      return aCut.zone == aZone && aAt >= aCut.from &&
             aAt < aCut.to + kInForceWithin;
    });
  }

  template<class IdType>
  static bool Holds(const std::map<IdType, std::vector<Interval>>& aIntervals,
                    IdType aId,
                    TimePoint aAt,
                    Duration aAfter)
  {
    const auto found = aIntervals.find(aId);
    return found != aIntervals.end() && Within(found->second, aAt, aAfter);
  }

  void CheckStarts()
  {
    for (const ExecutionStarted* start : starts_) {
      const core::Upstream& upstream = settings_.At(start->upstream);
      const std::string detail =
        " request " + start->requestId + " on " + upstream.name + " " +
        settings_.At(start->version).name + " at " +
        std::to_string(core::Milliseconds(start->at.time_since_epoch())) +
        " ms";
      const auto& allowed = settings_.At(start->organisation).versions;
      Count(violations_.forbiddenVersion,
            core::Contains(std::span(allowed), start->version) ? 0 : 1,
            "forbidden version:" + detail);
      Count(violations_.coldStartOverrun,
            start->cold && start->running > start->effectiveCapacity ? 1 : 0,
            "cold start overrun:" + detail);
      if (CutOff(upstream.zone, start->at)) {
        continue;
      }
      const bool withdrawn =
        Holds(withdrawn_, start->version, start->at, kInForceWithin);
      Count(violations_.withdrawnNewWork,
            withdrawn ? 1 : 0,
            "withdrawn version:" + detail);
      const bool out = Holds(zonesOut_, upstream.zone, start->at, kFewSeconds);
      Count(violations_.zoneOutNewWork, out ? 1 : 0, "zone out:" + detail);
      const bool leaving =
        Holds(leaving_, start->upstream, start->at, kFewSeconds) ||
        Holds(leavingByOperator_, start->upstream, start->at, kFewSeconds);
      Count(violations_.leavingNewWork, leaving ? 1 : 0, "leaving:" + detail);
    }
  }

  bool EverWithdrawn(core::VersionId aVersion, TimePoint aBefore) const
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
        const core::VersionId before = answers[i - 1]->version;
        const bool changed = before != answers[i]->version;
        const bool allowed = EverWithdrawn(before, answers[i]->ended);
        Count(violations_.sessionVersionChanged,
              changed && !allowed ? 1 : 0,
              "session " + session + " changed from " +
                settings_.At(before).name + " to " +
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
      const bool answered = Any(submissions, CallerOutcome::Answered);
      const bool maybe = Any(submissions, CallerOutcome::MayHaveRun) ||
                         Any(submissions, CallerOutcome::ConnectionLost);
      const auto found = counts.find(key);
      const uint64_t billed = found == counts.end() ? 0 : found->second;
      const bool wrong = answered ? billed != 1
                         : maybe  ? billed > 1
                                  : billed != 0;
      Count(violations_.billedNotOnce,
            wrong ? 1 : 0,
            "request " + key + " billed " + std::to_string(billed) + " times");
      counts.erase(key);
    }
    Count(violations_.billedNotOnce, counts.size(), "bills without request");
  }

  static bool Any(const std::vector<const SubmissionRecord*>& aSubmissions,
                  CallerOutcome aOutcome)
  {
    return std::any_of(aSubmissions.begin(),
                       aSubmissions.end(),
                       [aOutcome](const SubmissionRecord* aRecord) {
                         return aRecord->outcome == aOutcome;
                       });
  }

  /// Submissions of one id that overlap cannot be told apart at upstreams.
  static bool Overlaps(const std::vector<const SubmissionRecord*>& aSubmissions,
                       const SubmissionRecord& aOne)
  {
    return std::any_of(aSubmissions.begin(),
                       aSubmissions.end(),
                       [&aOne](const SubmissionRecord* aOther) {
                         return aOther != &aOne && aOther->sent <= aOne.ended &&
                                aOther->ended >= aOne.sent;
                       });
  }

  void CheckCallers()
  {
    std::map<std::string, std::vector<TimePoint>> startsById;
    for (const ExecutionStarted* start : starts_) {
      startsById[KeyOf(start->organisation, start->requestId)].push_back(
        start->at);
    }
    for (const auto& [key, submissions] : byRequest_) {
      for (const SubmissionRecord* record : submissions) {
        Count(violations_.answerMismatch,
              record->contentCorrect ? 0 : 1,
              "request " + key + " got a wrong or partial answer");
        if (record->outcome != CallerOutcome::NotRun ||
            Overlaps(submissions, *record)) {
          continue;
        }
        const auto& starts = startsById[key];
        const bool ran =
          std::any_of(starts.begin(), starts.end(), [&](TimePoint aAt) {
            return aAt >= record->sent && aAt <= record->ended;
          });
        Count(violations_.falseNotRun,
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

  void CheckRunsOnce()
  {
    std::map<std::string, uint64_t> runs;
    for (const ExecutionStarted* start : starts_) {
      ++runs[KeyOf(start->organisation, start->requestId)];
    }
    for (const auto& [key, count] : runs) {
      const bool twice = count > 1 && !Repeatable(key);
      Count(violations_.ranTwice,
            twice ? 1 : 0,
            "request " + key + " ran " + std::to_string(count) + " times");
    }
  }

  void CheckRevisions()
  {
    std::map<std::pair<core::InstanceId, uint64_t>, uint64_t> highest;
    std::map<std::pair<core::InstanceId, uint64_t>, TimePoint> firstSeen;
    for (const RevisionObserved* seen : revisions_) {
      const auto run = std::pair(seen->instance, seen->incarnation);
      firstSeen.try_emplace(run, seen->at);
      uint64_t& before = highest[run];
      Count(violations_.configLateOrReverted,
            seen->revision < before ? 1 : 0,
            "configuration reverted at " + settings_.At(seen->instance).name);
      before = std::max(before, seen->revision);
      Count(violations_.configLateOrReverted,
            Late(*seen, firstSeen.at(run)) ? 1 : 0,
            "configuration late at " + settings_.At(seen->instance).name);
    }
  }

  bool Late(const RevisionObserved& aSeen, TimePoint aRunning) const
  {
    if (CutOff(settings_.At(aSeen.instance).zone, aSeen.at)) {
      return false;
    }
    return std::any_of(
      stored_.begin(), stored_.end(), [&](const ConfigurationStored* aRow) {
        const TimePoint due = std::max(aRow->at, aRunning) + kInForceWithin;
        return aSeen.at >= due && aSeen.revision < aRow->state.revision;
      });
  }

  const core::Settings& settings_;
  Violations violations_;
  std::vector<const ExecutionStarted*> starts_;
  std::map<std::string, std::vector<const SubmissionRecord*>> byRequest_;
  std::vector<const BillStored*> bills_;
  std::vector<const ConfigurationStored*> stored_;
  std::vector<const RevisionObserved*> revisions_;
  std::vector<ZoneCut> cuts_;
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
                std::span<const Observation> aSeen)
{
  return Checker(aSettings, aSeen).Check();
}

} // namespace hibiscusnotch::replay
