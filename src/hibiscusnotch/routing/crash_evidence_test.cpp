#include "hibiscusnotch/routing/crash_evidence.hpp"

#include <array>
#include <doctest/doctest.h>

using namespace hibiscusnotch::routing;

namespace {

constexpr Duration kSecond{ 1'000'000 };
const TimePoint kStart{ Duration{ 1'000'000'000 } };

constexpr uint64_t kFirst = 1;
constexpr uint64_t kFatal = 2;
constexpr uint64_t kRare = 3;

std::vector<RequestTrait>
Traits(std::initializer_list<uint64_t> aParts, uint64_t aWhole = 0)
{
  std::vector<RequestTrait> traits;
  for (const uint64_t part : aParts) {
    traits.push_back({ part, static_cast<uint32_t>(traits.size() + 1) });
  }
  if (aWhole != 0) {
    traits.push_back({ aWhole, RequestTrait::kWholeRequest });
  }
  return traits;
}

void
Crash(CrashEvidence& aEvidence,
      uint32_t aUpstream,
      std::span<const RequestTrait> aTraits,
      TimePoint aNow,
      bool aIsRepeated = false)
{
  std::vector<LostTrait> lost;
  for (const RequestTrait& trait : aTraits) {
    lost.push_back({ trait, aNow, aIsRepeated });
  }
  aEvidence.RecordCrash(aUpstream, lost, aNow);
}

/// Crashes of so many upstreams, a second apart.
void
CrashRepeatedly(CrashEvidence& aEvidence,
                std::span<const RequestTrait> aTraits,
                uint32_t aCount,
                TimePoint& aNow,
                uint32_t aFirstUpstream = 100)
{
  for (uint32_t crash = 0; crash < aCount; ++crash) {
    aNow += kSecond;
    Crash(aEvidence, aFirstUpstream + crash, aTraits, aNow);
  }
}

} // namespace

TEST_CASE("the part that all crashes share is quarantined, its neighbours not")
{
  // Guards against blaming the sound parts that a fatal one comes with.
  CrashEvidence evidence;
  TimePoint now = kStart;
  for (uint32_t crash = 0; crash < 5; ++crash) {
    now += kSecond / 2;
    evidence.RecordCompletion(Traits({ kFirst, 50 }), now);
    now += kSecond / 2;
    // Requests without a completed answer were under way there as well.
    Crash(evidence,
          crash,
          Traits({ kFirst, kFatal, 10 + crash }, 1000 + crash),
          now);
    Crash(
      evidence, crash, Traits({ kFirst, 20 + crash % 2 }, 2000 + crash), now);
    CHECK(evidence.IsQuarantined(kFatal) == (crash + 1 >= 3));
  }
  for (const uint64_t sound : { kFirst, 50UL, 20UL, 21UL, 10UL, 14UL }) {
    CHECK_FALSE(evidence.IsQuarantined(sound));
  }
}

TEST_CASE("upstreams that are killed at the same moment convict nobody")
{
  // Guards against a zone's loss that quarantines what ran there.
  CrashEvidence evidence;
  TimePoint now = kStart;
  for (uint32_t upstream = 0; upstream < 12; ++upstream) {
    now += Duration{ 20'000 };
    Crash(evidence, upstream, Traits({ kFirst, kRare }, 9), now);
  }
  CHECK_FALSE(evidence.AnyQuarantined());
}

TEST_CASE("crashes that one request causes in turn count, however fast")
{
  CrashEvidence evidence;
  TimePoint now = kStart;
  for (uint32_t upstream = 0; upstream < 3; ++upstream) {
    now += Duration{ 20'000 };
    Crash(evidence, upstream, Traits({ kFatal }), now, upstream > 0);
  }
  CHECK(evidence.IsQuarantined(kFatal));
}

TEST_CASE("a request that comes again and crashes upstreams is quarantined")
{
  CrashEvidence evidence;
  TimePoint now = kStart;
  evidence.RecordCompletion(Traits({ kFirst }), now);
  CrashRepeatedly(evidence, Traits({ kFirst }, 9), 3, now);
  CHECK(evidence.IsQuarantined(9));
  CHECK_FALSE(evidence.IsQuarantined(kFirst));
}

TEST_CASE("completed answers clear a part that is under way at every crash")
{
  // Guards against blaming a long shared part for crashes of other causes.
  CrashEvidence evidence;
  TimePoint now = kStart;
  for (uint32_t crash = 0; crash < 50; ++crash) {
    CrashRepeatedly(evidence, Traits({ kFirst }), 1, now, crash);
    evidence.RecordCompletion(Traits({ kFirst }), now + kSecond / 2);
    CHECK_FALSE(evidence.AnyQuarantined());
  }
  // Completed shortly before, but not since: it takes more crashes.
  CrashRepeatedly(evidence, Traits({ kFirst }), 5, now, 200);
  CHECK_FALSE(evidence.AnyQuarantined());
  CrashRepeatedly(evidence, Traits({ kFirst }), 1, now, 300);
  CHECK(evidence.IsQuarantined(kFirst));
}

TEST_CASE("a wrong conviction ends once another part explains the crashes")
{
  CrashEvidence evidence;
  TimePoint now = kStart;
  CrashRepeatedly(evidence, Traits({ kFatal, kRare }), 3, now);
  CHECK(evidence.IsQuarantined(kRare)); // a tie: fewer requests share it
  CrashRepeatedly(evidence, Traits({ kFatal, 77 }), 1, now, 200);
  CHECK(evidence.IsQuarantined(kFatal));
  CHECK_FALSE(evidence.IsQuarantined(kRare));
}

TEST_CASE("a quarantined part is tried by single requests, ever more rarely")
{
  CrashEvidence evidence;
  TimePoint now = kStart;
  CrashRepeatedly(evidence, Traits({ kFatal }), 5, now);
  // Five crashes: the first trial is due after four times the least interval.
  constexpr int kDay = 300;
  int trials = 0;
  for (int second = 0; second < kDay; ++second) {
    now += kSecond;
    if (evidence.TryTrial(kFatal, now)) {
      ++trials;
      Crash(
        evidence, static_cast<uint32_t>(500 + second), Traits({ kFatal }), now);
    }
  }
  CHECK(trials >= 1);
  CHECK(trials <= 3); // what the fleet may send after the fifth crash
  // One that is completed ends the quarantine.
  evidence.RecordCompletion(Traits({ kFatal }), now);
  CHECK_FALSE(evidence.IsQuarantined(kFatal));
}

TEST_CASE("crashes that several instances see one by one add up")
{
  // Guards against evidence that no instance has alone.
  std::array<CrashEvidence, 8> instances;
  TimePoint now = kStart;
  for (uint32_t crash = 0; crash < 3; ++crash) {
    now += kSecond;
    Crash(instances[crash], crash, Traits({ kFatal }), now);
  }
  for (const CrashEvidence& instance : instances) {
    CHECK_FALSE(instance.AnyQuarantined());
  }
  // In any order, late and repeatedly.
  for (int round = 0; round < 3; ++round) {
    for (CrashEvidence& sender : instances) {
      const auto report = sender.Report(now);
      now += kSecond / 20;
      for (CrashEvidence& receiver : instances) {
        receiver.Merge(report, now);
      }
    }
  }
  for (const CrashEvidence& instance : instances) {
    CHECK(instance.IsQuarantined(kFatal));
  }
}

TEST_CASE("what one instance saw completed clears the part at all")
{
  std::array<CrashEvidence, 2> instances;
  TimePoint now = kStart;
  CrashRepeatedly(instances[0], Traits({ kRare }), 3, now);
  instances[1].Merge(instances[0].Report(now), now);
  CHECK(instances[1].IsQuarantined(kRare));
  now += 2 * kSecond;
  instances[1].RecordCompletion(Traits({ kRare }), now);
  instances[0].Merge(instances[1].Report(now), now);
  CHECK_FALSE(instances[0].AnyQuarantined());
  // The former crashes do not come back with a late report.
  instances[1].Merge(instances[0].Report(now), now + kSecond / 10);
  CHECK_FALSE(instances[1].AnyQuarantined());
}

TEST_CASE("a completion does not become younger by being passed on")
{
  // Guards against a fatal part that stays cleared by an echo.
  std::array<CrashEvidence, 2> instances;
  TimePoint now = kStart;
  Crash(instances[0], 1, Traits({ kFirst }), now);
  now += kSecond;
  instances[0].RecordCompletion(Traits({ kFirst }), now);
  const TimePoint completedAt = now;
  for (int round = 0; round < 40; ++round) {
    const std::size_t from = static_cast<std::size_t>(round) % 2;
    const auto report = instances[from].Report(now);
    now += kSecond / 5;
    instances[1 - from].Merge(report, now);
  }
  for (const CrashEvidence& instance : instances) {
    for (const TraitReport& report : instance.Report(now)) {
      REQUIRE(report.sinceCompletion);
      CHECK(*report.sinceCompletion >= now - completedAt - kSecond);
    }
  }
}

// Guards against crashes that convict a part though it was completed since: a
// report arrives late, or comes round again.
TEST_CASE("a crash that is reported after a later completion does not count")
{
  CrashEvidence evidence;
  evidence.RecordCompletion(Traits({ kFatal }), kStart + 5 * kSecond);
  TraitReport report;
  report.trait = { kFatal, 1 };
  for (uint32_t crash = 0; crash < 10; ++crash) {
    report.crashes[crash] = { (6 + crash) * kSecond };
  }
  const TimePoint now = kStart + 10 * kSecond;
  for (int round = 0; round < 3; ++round) {
    evidence.Merge({ &report, 1 }, now);
  }
  CHECK_FALSE(evidence.IsQuarantined(kFatal));
  // The same crashes convict where the completion came before them.
  CrashEvidence other;
  other.RecordCompletion(Traits({ kFatal }), now - 20 * kSecond);
  other.Merge({ &report, 1 }, now);
  CHECK(other.IsQuarantined(kFatal));
}

TEST_CASE("many crashes of other parts push out no conviction")
{
  // Guards against a caller that sends thousands of new parts.
  CrashEvidence evidence;
  TimePoint now = kStart;
  CrashRepeatedly(evidence, Traits({ kFatal }), 4, now);
  for (uint32_t part = 0; part < 5000; ++part) {
    now += Duration{ 10'000 };
    Crash(evidence, 1000 + part, Traits({ 10'000UL + part }), now);
    evidence.RecordCompletion(Traits({ 50'000UL + part }), now);
  }
  CHECK(evidence.IsQuarantined(kFatal));
  CHECK(evidence.SuspectCount() <= CrashEvidence::kMaxSuspects);
  const auto report = evidence.Report(now);
  CHECK(report.size() <= CrashEvidence::kMaxReportedTraits);
  CHECK(report.front().trait.hash == kFatal);
}

TEST_CASE("old evidence is forgotten, that of a quarantined part later")
{
  CrashEvidence evidence;
  TimePoint now = kStart;
  CrashRepeatedly(evidence, Traits({ kRare }), 2, now);
  CrashRepeatedly(evidence, Traits({ kFatal }), 3, now, 200);
  now += CrashEvidence::kMemory;
  evidence.Sweep(now);
  CHECK(evidence.SuspectCount() == 1);
  CHECK(evidence.IsQuarantined(kFatal));
  now += CrashEvidence::kQuarantineMemory;
  evidence.Sweep(now);
  CHECK(evidence.SuspectCount() == 0);
}

TEST_CASE("each change of a quarantine is told once")
{
  CrashEvidence evidence;
  TimePoint now = kStart;
  CrashRepeatedly(evidence, Traits({ kFatal }), 5, now);
  const auto changes = evidence.TakeChanges();
  REQUIRE(changes.size() == 1);
  CHECK(changes[0].trait.hash == kFatal);
  CHECK(changes[0].quarantined);
  CHECK(changes[0].crashes == 3);
  CHECK(evidence.TakeChanges().empty());
}

namespace {

/// Instances in three zones that exchange reports over one aggregator a zone,
/// as datagrams do, on a manual clock.
class EvidenceFleet
{
public:
  static constexpr std::size_t kZones = 3;
  static constexpr Duration kPeriod{ 400'000 };

  explicit EvidenceFleet(std::size_t aInstances)
    : instances_(aInstances)
  {
  }

  std::size_t Size() const { return instances_.size(); }
  CrashEvidence& At(std::size_t aIndex) { return instances_[aIndex]; }
  void Restart(std::size_t aIndex) { instances_[aIndex] = {}; }
  void CutOff(std::optional<std::size_t> aIndex) { cutOff_ = aIndex; }

  /// Each instance reports once in a period, at its own time.
  void Exchange(TimePoint aNow, Duration aStep)
  {
    const auto steps = static_cast<std::size_t>(kPeriod / aStep);
    const auto turn = static_cast<std::size_t>(aNow.time_since_epoch() / aStep);
    for (std::size_t index = 0; index < instances_.size(); ++index) {
      if (index % steps != turn % steps) {
        continue;
      }
      const std::size_t aggregator = index % kZones;
      if (index == aggregator) {
        for (std::size_t zone = 0; zone < kZones; ++zone) {
          Tell(index, zone, aNow);
        }
      } else {
        Tell(index, aggregator, aNow);
        Tell(aggregator, index, aNow);
      }
    }
  }

private:
  void Tell(std::size_t aFrom, std::size_t aTo, TimePoint aNow)
  {
    if (aFrom != aTo && aFrom != cutOff_ && aTo != cutOff_) {
      instances_[aTo].Merge(instances_[aFrom].Report(aNow), aNow);
    }
  }

  std::vector<CrashEvidence> instances_;
  std::optional<std::size_t> cutOff_;
};

struct StormResult
{
  std::size_t sendsAfterFifth = 0; ///< Later than the reaction time.
  std::size_t soundRefused = 0;
};

/// Requests with a fatal part, no two alike, come ten times a second at any
/// instance; each is sent to three upstreams in turn. Sound ones share their
/// first part.
StormResult
RunStorm(std::size_t aInstances, bool aDisturbed)
{
  constexpr Duration kStep{ 50'000 };
  constexpr Duration kReactionTime{ 4'000'000 }; // of the grown deployments
  constexpr int kSteps = 1200;
  EvidenceFleet fleet(aInstances);
  TimePoint now = kStart;
  std::optional<TimePoint> fifthCrashAt;
  uint32_t upstream = 0;
  std::size_t crashes = 0;
  StormResult result;
  for (int step = 0; step < kSteps; ++step) {
    now += kStep;
    if (aDisturbed) {
      const std::size_t cutOff = aInstances - 1;
      fleet.CutOff(step < 100 ? std::optional(cutOff) : std::nullopt);
      if (step == 300) {
        fleet.Restart(aInstances - 2);
      }
    }
    fleet.Exchange(now, kStep);
    const std::size_t at = static_cast<std::size_t>(step) * 7919 % fleet.Size();
    CrashEvidence& instance = fleet.At(at);
    const uint64_t whole = 1'000'000 + static_cast<uint64_t>(step);
    if (step % 2 == 0) {
      for (int send = 0; send < 3; ++send) {
        if (instance.IsQuarantined(kFatal) || instance.IsQuarantined(whole)) {
          break;
        }
        const bool isCutOff = aDisturbed && step < 100 && at == aInstances - 1;
        result.sendsAfterFifth +=
          fifthCrashAt && now - *fifthCrashAt > kReactionTime && !isCutOff ? 1
                                                                           : 0;
        Crash(instance,
              ++upstream,
              Traits({ kFirst, kFatal }, whole),
              now,
              send > 0);
        // Two sound requests were under way there, one of a rare kind.
        Crash(instance, upstream, Traits({ kFirst }, whole + 5000), now);
        Crash(instance,
              upstream,
              Traits({ kFirst, 100UL + upstream % 40 }, whole + 6000),
              now);
        if (++crashes == 5) {
          fifthCrashAt = now;
        }
      }
    } else {
      const uint64_t rare = 100UL + static_cast<uint64_t>(step) % 40;
      if (instance.IsQuarantined(kFirst) || instance.IsQuarantined(rare)) {
        ++result.soundRefused;
      } else {
        instance.RecordCompletion(Traits({ kFirst, rare }), now);
      }
    }
  }
  return result;
}

} // namespace

TEST_CASE("ten fatal requests a second at any of 8, 65 or 295 instances")
{
  // Guards against a part that goes on crashing upstreams because each instance
  // sees a fragment, and against refusing what was under way beside it.
  for (const std::size_t instances : { 8UL, 65UL, 295UL }) {
    for (const bool disturbed : { false, true }) {
      CAPTURE(instances);
      CAPTURE(disturbed);
      const StormResult result = RunStorm(instances, disturbed);
      CHECK(result.sendsAfterFifth <= 3);
      CHECK(result.soundRefused == 0);
    }
  }
}
