#include "hibiscusnotch/routing/crash_evidence.hpp"

#include <algorithm>
#include <functional>
#include <set>
#include <tuple>
#include <utility>

namespace hibiscusnotch::routing {

namespace {

// How long peers are told of a crash or a completion: many report periods.
constexpr Duration kReportedFor{ 10'000'000 };
// A peer's completion counts as a later one only from this difference on, as
// messages take time and return to their sender.
constexpr Duration kMergeTolerance{ 1'000'000 };
// The newest ones; enough to explain the crashes that peers saw.
constexpr std::size_t kMaxReportedCrashes = 16;
// The newest ones are kept; more change no decision.
constexpr std::size_t kMaxCrashesPerTrait = 32;
constexpr std::size_t kMaxTrialDoublings = 5;

} // namespace

std::size_t
CrashEvidence::Count(const Crashes& aCrashes,
                     const std::set<uint32_t>& aExplained)
{
  std::vector<TimePoint> times;
  std::size_t count = 0;
  for (const auto& [incarnation, crash] : aCrashes) {
    if (aExplained.contains(incarnation)) {
      continue;
    }
    if (crash.isRepeated) {
      ++count;
    } else {
      times.push_back(crash.at);
    }
  }
  std::ranges::sort(times);
  std::optional<TimePoint> counted;
  for (const TimePoint time : times) {
    if (!counted || time - *counted > kSimultaneous) {
      counted = time;
      ++count;
    }
  }
  return count;
}

TimePoint
CrashEvidence::LastCrash(const Crashes& aCrashes)
{
  TimePoint last{};
  for (const auto& [incarnation, crash] : aCrashes) {
    last = std::max(last, crash.at);
  }
  return last;
}

void
CrashEvidence::RecordCrash(uint32_t aIncarnation,
                           std::span<const LostTrait> aTraits,
                           TimePoint aNow)
{
  for (const LostTrait& lost : aTraits) {
    if (Suspect* suspect = FindOrAdd(lost.trait, aNow)) {
      AddCrash(*suspect, aIncarnation, { lost.lostAt, lost.isRepeated });
    }
  }
  Decide(aNow);
}

bool
CrashEvidence::AddCrash(Suspect& aSuspect,
                        uint32_t aIncarnation,
                        const Crash& aCrash)
{
  if (aSuspect.completedAt && aCrash.at <= *aSuspect.completedAt) {
    return false;
  }
  const auto [known, isNew] =
    aSuspect.crashes.try_emplace(aIncarnation, aCrash);
  Crash& crash = known->second;
  const bool changed = isNew || crash.isRepeated < aCrash.isRepeated;
  crash.at = std::min(crash.at, aCrash.at);
  crash.isRepeated = crash.isRepeated || aCrash.isRepeated;
  if (aSuspect.crashes.size() > kMaxCrashesPerTrait) {
    aSuspect.crashes.erase(std::ranges::min_element(
      aSuspect.crashes, {}, [](const Crashes::value_type& aEntry) {
        return aEntry.second.at;
      }));
  }
  return changed;
}

void
CrashEvidence::RecordCompletion(std::span<const RequestTrait> aTraits,
                                TimePoint aNow)
{
  bool changed = false;
  for (const RequestTrait& trait : aTraits) {
    // Whole requests rarely come again; only suspect ones are worth the room.
    const bool known = completions_.contains(trait.hash);
    if (trait.specificity != RequestTrait::kWholeRequest &&
        (known || completions_.size() < kMaxCompletions)) {
      completions_[trait.hash] = aNow;
    }
    const auto suspect = suspects_.find(trait.hash);
    if (suspect != suspects_.end()) {
      changed = changed || !suspect->second.crashes.empty();
      ApplyCompletion(suspect->second, aNow);
    }
  }
  if (changed) {
    Decide(aNow);
  }
}

void
CrashEvidence::ApplyCompletion(Suspect& aSuspect, TimePoint aCompletedAt)
{
  aSuspect.completedAt =
    std::max(aSuspect.completedAt.value_or(aCompletedAt), aCompletedAt);
  std::erase_if(aSuspect.crashes, [&aSuspect](const auto& aCrash) {
    return aCrash.second.at <= *aSuspect.completedAt;
  });
}

CrashEvidence::Suspect*
CrashEvidence::FindOrAdd(const RequestTrait& aTrait, TimePoint aNow)
{
  const auto known = suspects_.find(aTrait.hash);
  if (known != suspects_.end()) {
    return &known->second;
  }
  if (suspects_.size() >= kMaxSuspects) {
    Sweep(aNow);
    const auto weakest = std::ranges::min_element(
      suspects_, {}, [](const Suspects::value_type& aSuspect) {
        return std::tuple(aSuspect.second.quarantined,
                          aSuspect.second.crashes.size(),
                          LastCrash(aSuspect.second.crashes));
      });
    if (weakest != suspects_.end() && suspects_.size() >= kMaxSuspects) {
      if (weakest->second.quarantined) {
        return nullptr;
      }
      suspects_.erase(weakest);
    }
  }
  Suspect& suspect = suspects_[aTrait.hash];
  suspect.specificity = aTrait.specificity;
  const auto completion = completions_.find(aTrait.hash);
  if (completion != completions_.end()) {
    suspect.completedAt = completion->second;
  }
  return &suspect;
}

void
CrashEvidence::Decide(TimePoint aNow)
{
  std::set<uint32_t> explained;
  std::set<uint32_t> explainedByPart;
  std::set<uint64_t> quarantined;
  while (quarantined.size() < kMaxQuarantined) {
    // The trait with the most crashes that no other one explains. Of several,
    // the one that fewest requests share.
    const Suspects::value_type* best = nullptr;
    std::pair<std::size_t, uint32_t> bestRank;
    for (const auto& suspect : suspects_) {
      const Suspect& state = suspect.second;
      const std::size_t crashes = Count(state.crashes, explained);
      const bool completed =
        state.completedAt && aNow - *state.completedAt < kMemory;
      const std::size_t limit =
        completed ? kMaxCrashesAfterCompletion : kMaxCrashes;
      const std::pair rank(crashes, state.specificity);
      if (crashes >= limit && !quarantined.contains(suspect.first) &&
          (!best || rank > bestRank)) {
        best = &suspect;
        bestRank = rank;
      }
    }
    if (!best) {
      break;
    }
    quarantined.insert(best->first);
    for (const auto& [incarnation, crash] : best->second.crashes) {
      explained.insert(incarnation);
      if (best->second.specificity != RequestTrait::kWholeRequest) {
        explainedByPart.insert(incarnation);
      }
    }
  }
  for (auto& [hash, suspect] : suspects_) {
    const bool is = quarantined.contains(hash);
    if (is != suspect.quarantined) {
      changes_.push_back(
        { { hash, suspect.specificity }, is, Count(suspect.crashes, {}) });
    }
    suspect.released = suspect.released || (suspect.quarantined && !is);
    suspect.quarantined = is;
    // One request's own crashes may be all that this instance sees of a part.
    suspect.explained = !is && Count(suspect.crashes, explainedByPart) == 0;
  }
}

bool
CrashEvidence::IsQuarantined(uint64_t aTrait) const
{
  const auto suspect = suspects_.find(aTrait);
  return suspect != suspects_.end() && suspect->second.quarantined;
}

bool
CrashEvidence::AnyQuarantined() const
{
  return std::ranges::any_of(suspects_, [](const auto& aSuspect) {
    return aSuspect.second.quarantined;
  });
}

bool
CrashEvidence::TryTrial(uint64_t aTrait, TimePoint aNow)
{
  const auto found = suspects_.find(aTrait);
  if (found == suspects_.end() || !found->second.quarantined) {
    return true;
  }
  Suspect& suspect = found->second;
  const std::size_t crashes = Count(suspect.crashes, {});
  const std::size_t doublings =
    std::min(crashes - std::min(crashes, kMaxCrashes), kMaxTrialDoublings);
  const Duration interval = kMinTrialInterval * (1U << doublings);
  if (aNow - LastCrash(suspect.crashes) < interval ||
      (suspect.trialAt && aNow - *suspect.trialAt < interval)) {
    return false;
  }
  suspect.trialAt = aNow;
  return true;
}

std::vector<TraitReport>
CrashEvidence::Report(TimePoint aNow) const
{
  struct Row
  {
    std::tuple<bool, std::size_t, TimePoint> rank;
    const Suspects::value_type* suspect;
  };
  std::vector<Row> rows;
  for (const auto& suspect : suspects_) {
    const Suspect& state = suspect.second;
    const TimePoint changedAt = std::max(
      LastCrash(state.crashes), state.completedAt.value_or(TimePoint{}));
    const bool recent = aNow - changedAt < kReportedFor;
    if (state.quarantined || (recent && state.released) ||
        (recent && !state.explained)) {
      rows.push_back({ { state.quarantined || state.released,
                         state.crashes.size(),
                         changedAt },
                       &suspect });
    }
  }
  std::ranges::sort(rows, std::greater{}, &Row::rank);
  rows.resize(std::min(rows.size(), kMaxReportedTraits));
  std::vector<TraitReport> reports;
  reports.reserve(rows.size());
  for (const Row& row : rows) {
    const auto& [hash, suspect] = *row.suspect;
    TraitReport& report = reports.emplace_back();
    report.trait = { hash, suspect.specificity };
    if (suspect.completedAt) {
      report.sinceCompletion = aNow - *suspect.completedAt;
    }
    std::vector<std::pair<TimePoint, uint32_t>> newest;
    newest.reserve(suspect.crashes.size());
    for (const auto& [incarnation, crash] : suspect.crashes) {
      newest.emplace_back(crash.at, incarnation);
    }
    std::ranges::sort(newest, std::greater{});
    newest.resize(std::min(newest.size(), kMaxReportedCrashes));
    for (const auto& [at, incarnation] : newest) {
      report.crashes[incarnation] = {
        aNow - at, suspect.crashes.at(incarnation).isRepeated
      };
    }
  }
  return reports;
}

void
CrashEvidence::Merge(std::span<const TraitReport> aReports, TimePoint aNow)
{
  bool changed = false;
  for (const TraitReport& report : aReports) {
    Suspect* suspect = FindOrAdd(report.trait, aNow);
    if (!suspect) {
      continue;
    }
    if (report.sinceCompletion) {
      const TimePoint completedAt = aNow - *report.sinceCompletion;
      if (!suspect->completedAt ||
          completedAt - *suspect->completedAt > kMergeTolerance) {
        ApplyCompletion(*suspect, completedAt);
        changed = true;
      }
    }
    for (const auto& [incarnation, reported] : report.crashes) {
      if (reported.age < kQuarantineMemory &&
          AddCrash(*suspect,
                   incarnation,
                   { aNow - reported.age, reported.isRepeated })) {
        changed = true;
      }
    }
  }
  if (changed) {
    Decide(aNow);
  }
}

void
CrashEvidence::Sweep(TimePoint aNow)
{
  std::erase_if(completions_, [aNow](const auto& aCompletion) {
    return aNow - aCompletion.second >= kMemory;
  });
  std::erase_if(suspects_, [&](const Suspects::value_type& aSuspect) {
    const auto& [hash, state] = aSuspect;
    const TimePoint changedAt = std::max(
      LastCrash(state.crashes), state.completedAt.value_or(TimePoint{}));
    const bool old =
      aNow - changedAt >= (state.quarantined ? kQuarantineMemory : kMemory);
    if (old && state.quarantined) {
      changes_.push_back({ { hash, state.specificity }, false, 0 });
    }
    return old;
  });
}

std::vector<QuarantineChange>
CrashEvidence::TakeChanges()
{
  return std::exchange(changes_, {});
}

} // namespace hibiscusnotch::routing
