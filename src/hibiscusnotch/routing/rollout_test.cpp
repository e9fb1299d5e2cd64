#include "hibiscusnotch/routing/rollout.hpp"

#include "hibiscusnotch/core/rendezvous.hpp"

#include <doctest/doctest.h>
#include <vector>

using namespace hibiscusnotch::routing;
using hibiscusnotch::core::StableHash;

namespace {

const TimePoint kStart{ Duration{ 100'000'000 } };
constexpr Duration kSecond{ 1'000'000 };

RolloutOrder
MakeOrder(RolloutState aState = RolloutState::Ordered)
{
  RolloutOrder order;
  order.service = "engine";
  order.target = "v2";
  order.duration = 24 * kSecond;
  order.revision = 5;
  order.creationRevision = 5;
  order.state = aState;
  return order;
}

/// As many good answers as a success needs.
void
RecordTargetAnswers(Rollouts& aRollouts, TimePoint aNow)
{
  for (int answer = 0; answer < 5; ++answer) {
    aRollouts.RecordAnswer("engine", "v2", "r", "r", true, kSecond / 10, aNow);
  }
}

/// Eight instances that exchange evidence on one new version.
struct Fleet
{
  std::vector<Rollouts> instances{ 8 };
  int requests = 0;
  int exposed = 0;
  int badAnswers = 0;
  std::optional<RolloutState> decided;

  Fleet()
  {
    for (Rollouts& rollouts : instances) {
      rollouts.Apply(MakeOrder(), kStart);
    }
  }

  /// Simulates traffic until an instance decides or the time is up.
  template<class FailsAt>
  void SimulateTraffic(Duration aUntil, int aRequestsPerSecond, FailsAt aFails)
  {
    const Duration step = kSecond / aRequestsPerSecond;
    Duration at{ 0 };
    for (int request = 0; at < aUntil && !Done(); ++request, at += step) {
      const TimePoint now = kStart + at;
      Rollouts& self = instances[static_cast<std::size_t>(request) % 8];
      const std::string route = request % 3 == 0 ? "brief" : "check";
      const VersionConstraint constraint = self.ConstraintFor(
        "engine", StableHash("session" + std::to_string(request)), now);
      const bool target = constraint.required == "v2";
      const bool bad = target && aFails(at, route, request);
      ++requests;
      exposed += target ? 1 : 0;
      badAnswers += bad ? 1 : 0;
      self.RecordAnswer(
        "engine", target ? "v2" : "v1", route, route, !bad, kSecond / 10, now);
      if (request % 10 == 0) {
        Exchange(now);
      }
    }
  }

  void Exchange(TimePoint aNow)
  {
    for (std::size_t from = 0; from < instances.size(); ++from) {
      for (const auto& [service, evidence] :
           instances[from].LocalEvidence(aNow)) {
        for (std::size_t to = 0; to < instances.size(); ++to) {
          if (from != to) {
            instances[to].SetPeerEvidence(
              service, "instance" + std::to_string(from), evidence, aNow);
          }
        }
      }
    }
    for (Rollouts& rollouts : instances) {
      const auto wanted = rollouts.NextState("engine", aNow);
      if (wanted && *wanted != RolloutState::Running) {
        decided = wanted;
      }
    }
  }

  bool Done() const { return decided.has_value(); }
};

} // namespace

TEST_CASE("a version that fails from the start is rolled back in time")
{
  Fleet fleet;
  fleet.SimulateTraffic(
    24 * kSecond, 36, [](Duration, const std::string&, int aNumber) {
      return aNumber % 2 == 0;
    });
  REQUIRE(fleet.decided == RolloutState::RolledBack);
  CHECK(fleet.badAnswers < 50);
  CHECK(fleet.exposed <= 0.12 * fleet.requests + 30);
}

TEST_CASE("a version that starts failing later is rolled back")
{
  Fleet fleet;
  fleet.SimulateTraffic(
    24 * kSecond, 36, [](Duration aAt, const std::string&, int aNumber) {
      return aAt > 8 * kSecond && aNumber % 2 == 0;
    });
  REQUIRE(fleet.decided == RolloutState::RolledBack);
  CHECK(fleet.badAnswers < 50);
}

TEST_CASE("a version that fails on one route only is rolled back")
{
  Fleet fleet;
  fleet.SimulateTraffic(
    24 * kSecond, 36, [](Duration, const std::string& aRoute, int aNumber) {
      return aRoute == "brief" && aNumber % 2 == 0;
    });
  REQUIRE(fleet.decided == RolloutState::RolledBack);
  // The exposure limit refers to the requests of the whole duration.
  CHECK(fleet.exposed <= 0.12 * 24 * 36 + 30);
}

namespace {

/// Eight instances whose requests are refused during an outage, as keys cannot
/// be confirmed then. The target is slow, which shows only under load.
struct InterruptedFleet
{
  std::vector<Rollouts> instances{ 8 };
  Duration outageStart{ 0 };
  Duration outageEnd{ 0 };
  bool isSlow = false;
  int requests = 0;
  int exposed = 0;
  std::optional<RolloutState> decided;
  Duration decidedAt{ 0 };

  /// Plays the order's whole duration unless an instance decides before.
  void Play(int aRequestsPerSecond)
  {
    for (Rollouts& rollouts : instances) {
      rollouts.Apply(MakeOrder(), kStart);
    }
    const Duration step = kSecond / aRequestsPerSecond;
    Duration exchangeAt{ 0 };
    for (Duration at{ 0 }; at < 24 * kSecond && !decided; at += step) {
      Request(at);
      if (at >= exchangeAt) {
        exchangeAt = at + kSecond / 5;
        Exchange(at);
      }
    }
  }

  void Request(Duration aAt)
  {
    const int number = requests++;
    const TimePoint now = kStart + aAt;
    Rollouts& self = instances[static_cast<std::size_t>(number) % 8];
    self.RecordArrival("engine", now);
    if (aAt >= outageStart && aAt < outageEnd) {
      return;
    }
    const VersionConstraint constraint = self.ConstraintFor(
      "engine", StableHash("session" + std::to_string(number)), now);
    const bool target = constraint.required == "v2";
    exposed += target ? 1 : 0;
    load_ = target ? std::min(1.0, load_ + 0.05) : std::max(0.0, load_ - 0.01);
    const Duration latency =
      target && isSlow && load_ > 0.3 ? kSecond : kSecond / 10;
    const char* version = target ? "v2" : "v1";
    self.RecordSend("engine", version);
    self.RecordAnswer("engine", version, "r", "r", true, latency, now);
  }

  void Exchange(Duration aAt)
  {
    const TimePoint now = kStart + aAt;
    for (std::size_t from = 0; from < instances.size(); ++from) {
      const RolloutEvidence evidence =
        instances[from].LocalEvidence(now).at("engine");
      for (std::size_t to = 0; to < instances.size(); ++to) {
        if (from != to) {
          instances[to].SetPeerEvidence(
            "engine", "instance" + std::to_string(from), evidence, now);
        }
      }
    }
    for (Rollouts& rollouts : instances) {
      const auto next = rollouts.NextState("engine", now);
      if (next && *next != RolloutState::Running) {
        decided = next;
        decidedAt = aAt;
      }
    }
  }

private:
  double load_ = 0; ///< Of the target.
};

} // namespace

TEST_CASE("a version that is slow under load is not promoted by an outage")
{
  // Guards against a verdict by the clock: the ramp, which shows that a version
  // is slow, fell into an outage of the store.
  for (const int start : { 1, 4, 8, 10, 12 }) {
    for (const int length : { 4, 8, 12 }) {
      CAPTURE(start);
      CAPTURE(length);
      InterruptedFleet fleet;
      fleet.isSlow = true;
      fleet.outageStart = start * kSecond;
      fleet.outageEnd = (start + length) * kSecond;
      fleet.Play(40);
      CHECK(fleet.decided != RolloutState::Succeeded);
      CHECK(fleet.exposed <= 0.15 * fleet.requests + 30);
    }
  }
}

TEST_CASE("a sound version succeeds in time after half of it was an outage")
{
  for (const int start : { 0, 1, 2, 4, 6 }) {
    CAPTURE(start);
    InterruptedFleet fleet;
    fleet.outageStart = start * kSecond;
    fleet.outageEnd = (start + 12) * kSecond;
    fleet.Play(40);
    CHECK(fleet.decided == RolloutState::Succeeded);
    CHECK(fleet.decidedAt < MakeOrder().duration);
  }
}

TEST_CASE("a version that nobody has seen does not succeed")
{
  Rollouts rollouts;
  rollouts.Apply(MakeOrder(RolloutState::Running), kStart);
  for (int second = 1; second < 60; ++second) {
    const TimePoint now = kStart + second * kSecond;
    CHECK_FALSE(rollouts.NextState("engine", now));
  }
}

TEST_CASE("a service with little traffic follows the clock until seen")
{
  // One request a second is too little to tell an outage.
  InterruptedFleet fleet;
  fleet.Play(1);
  CHECK(fleet.decided == RolloutState::Succeeded);
}

TEST_CASE("an order's schedule comes from an older build by its age")
{
  Rollouts rollouts;
  rollouts.Apply(MakeOrder(RolloutState::Running), kStart);
  RolloutEvidence evidence;
  evidence.creationRevision = 5;
  evidence.orderedVersion = "v2";
  evidence.age = 16 * kSecond;
  rollouts.SetPeerEvidence("engine", "peer", evidence, kStart);
  const uint64_t session = ~uint64_t{ 0 } / 2;
  CHECK(rollouts.ConstraintFor("engine", session, kStart).required == "v2");
  // An interrupted schedule is behind the age.
  Rollouts interrupted;
  interrupted.Apply(MakeOrder(RolloutState::Running), kStart);
  evidence.progress = 6 * kSecond;
  interrupted.SetPeerEvidence("engine", "peer", evidence, kStart);
  CHECK(interrupted.ConstraintFor("engine", session, kStart).excluded == "v2");
}

TEST_CASE("a good version succeeds well before its duration ends")
{
  Fleet fleet;
  fleet.SimulateTraffic(
    24 * kSecond, 36, [](Duration, const std::string&, int) { return false; });
  CHECK(fleet.decided == RolloutState::Succeeded);
}

TEST_CASE("failures at the baseline's rate do not cause a rollback")
{
  Rollouts rollouts;
  rollouts.Apply(MakeOrder(), kStart);
  for (int answer = 0; answer < 200; ++answer) {
    rollouts.RecordAnswer(
      "engine", "v1", "r", "r", answer % 7 != 0, kSecond / 10, kStart);
  }
  for (int answer = 0; answer < 40; ++answer) {
    rollouts.RecordAnswer(
      "engine", "v2", "r", "r", answer % 7 != 0, kSecond / 10, kStart);
  }
  CHECK(rollouts.NextState("engine", kStart) == RolloutState::Running);
}

TEST_CASE("a version that is several times slower is rolled back")
{
  Rollouts rollouts;
  rollouts.Apply(MakeOrder(), kStart);
  for (int answer = 0; answer < 20; ++answer) {
    rollouts.RecordAnswer("engine", "v1", "r", "r", true, kSecond / 5, kStart);
  }
  for (int answer = 0; answer < 8; ++answer) {
    rollouts.RecordAnswer("engine", "v2", "r", "r", true, kSecond, kStart);
  }
  CHECK(rollouts.NextState("engine", kStart) == RolloutState::RolledBack);
  CHECK(rollouts.ConstraintFor("engine", 0, kStart).excluded == "v2");
}

TEST_CASE("a session keeps its version through the canary phase")
{
  // Guards against sessions that change version: they are active when the order
  // arrives, and each request reaches another instance.
  std::vector<Rollouts> instances(3);
  const auto follow =
    [&instances](uint64_t aKey, int aRequest, TimePoint aNow) {
      Rollouts& self = instances[static_cast<std::size_t>(aRequest) % 3];
      const VersionConstraint constraint =
        self.ConstraintFor("engine", aKey, aNow);
      std::string version = constraint.required == "v2" ? "v2" : "v1";
      self.RecordSessionVersion("engine", aKey, version, aNow);
      return version;
    };
  const auto exchange = [&instances](TimePoint aNow) {
    for (Rollouts& receiver : instances) {
      SessionHashes others;
      for (Rollouts& sender : instances) {
        if (&sender != &receiver) {
          others.merge(sender.PinnedSessions(aNow));
        }
      }
      receiver.SetPeerPinnedSessions(std::move(others));
    }
  };
  int moved = 0;
  for (int session = 0; session < 500; ++session) {
    const uint64_t key = StableHash("s" + std::to_string(session));
    for (Rollouts& rollouts : instances) {
      rollouts = Rollouts{};
    }
    // A third of the sessions start before the order, a third around the start
    // of the canary phase, and a third later.
    const int begin = -3 + session % 3 * 4;
    std::string first;
    for (int second = begin; second <= 12; ++second) {
      const TimePoint now = kStart + second * kSecond;
      if (second >= 0) {
        for (Rollouts& rollouts : instances) {
          rollouts.Apply(MakeOrder(), kStart);
        }
      }
      exchange(now);
      const std::string version = follow(key, second - begin, now);
      first = first.empty() ? version : first;
      CHECK(version == first);
    }
    moved += first == "v2" ? 1 : 0;
    // Sessions on the new version stay there while it is good.
    if (first == "v2") {
      CHECK(follow(key, 0, kStart + 20 * kSecond) == "v2");
    }
  }
  CHECK(moved > 0); // some sessions start on the target
}

TEST_CASE("a retry stays on the version of the first run")
{
  // Guards against a version change between a small model's run and its
  // escalation when the canary phase starts in between.
  Rollouts rollouts;
  rollouts.Apply(MakeOrder(), kStart);
  constexpr uint64_t kCanarySession = 1; // a low hash is in any canary share
  const TimePoint rollout = kStart + 2 * kSecond;
  CHECK(rollouts.ConstraintFor("engine", kCanarySession, rollout).required ==
        "v2");
  rollouts.RecordSessionVersion("engine", kCanarySession, "v1", rollout);
  CHECK(rollouts.ConstraintFor("engine", kCanarySession, rollout).excluded ==
        "v2");
  // The session has timed out, so its key counts as a new session.
  CHECK(rollouts.ConstraintFor("engine", kCanarySession, rollout + 6 * kSecond)
          .required == "v2");
}

TEST_CASE("only pinned sessions in the canary share are exchanged")
{
  Rollouts rollouts;
  for (int session = 0; session < 1000; ++session) {
    rollouts.RecordSessionVersion(
      "engine", StableHash("s" + std::to_string(session)), "v1", kStart);
  }
  CHECK(rollouts.PinnedSessions(kStart).empty()); // there is no order
  rollouts.Apply(MakeOrder(), kStart);
  const std::size_t pinned = rollouts.PinnedSessions(kStart).size();
  CHECK(pinned > 20);
  CHECK(pinned < 120);
  CHECK(rollouts.PinnedSessions(kStart + 7 * kSecond).empty());
}

TEST_CASE("a newer revision is applied, an older one is ignored")
{
  Rollouts rollouts;
  RolloutOrder order = MakeOrder(RolloutState::RolledBack);
  order.revision = 9;
  rollouts.Apply(order, kStart);
  RolloutOrder former = MakeOrder(RolloutState::Running);
  former.revision = 7;
  rollouts.Apply(former, kStart);
  CHECK(rollouts.ConstraintFor("engine", 0, kStart).excluded == "v2");
  CHECK_FALSE(rollouts.NextState("engine", kStart));
  CHECK_FALSE(rollouts.AnyUnfinished());
}

TEST_CASE("evidence on an earlier order does not count for a new one")
{
  Rollouts rollouts;
  rollouts.Apply(MakeOrder(), kStart);
  RolloutEvidence evidence;
  evidence.creationRevision = 4;
  evidence.orderedVersion = "v2";
  evidence.target["r"] = { 0, 100 };
  rollouts.SetPeerEvidence("engine", "peer", evidence, kStart);
  CHECK(rollouts.NextState("engine", kStart) == RolloutState::Running);
  evidence.creationRevision = 5;
  evidence.orderedVersion = "v1"; // replaced in place
  rollouts.SetPeerEvidence("engine", "peer", evidence, kStart);
  CHECK(rollouts.NextState("engine", kStart) == RolloutState::Running);
  evidence.orderedVersion = "v2";
  rollouts.SetPeerEvidence("engine", "peer", evidence, kStart);
  CHECK(rollouts.NextState("engine", kStart) == RolloutState::RolledBack);
}

TEST_CASE("an instance that restarts adopts the roll-out's schedule")
{
  // Guards against sessions that fall back to the old version at an instance
  // that was killed and restarted during the roll-out.
  Rollouts running;
  running.Apply(MakeOrder(RolloutState::Running), kStart);
  RecordTargetAnswers(running, kStart + 12 * kSecond);
  const TimePoint late = kStart + 16 * kSecond; // all traffic is on the target
  const uint64_t session = ~uint64_t{ 0 } / 2;
  REQUIRE(running.ConstraintFor("engine", session, late).required == "v2");
  Rollouts restarted;
  restarted.Apply(MakeOrder(RolloutState::Running), late);
  CHECK(restarted.ConstraintFor("engine", session, late).excluded == "v2");
  restarted.SetPeerEvidence(
    "engine", "peer", running.LocalEvidence(late).at("engine"), late);
  CHECK(restarted.ConstraintFor("engine", session, late).required == "v2");
}

TEST_CASE("a large fleet uses a smaller canary share, the same everywhere")
{
  Rollouts small;
  Rollouts large;
  small.Apply(MakeOrder(), kStart, { 8, 0 });
  large.Apply(MakeOrder(), kStart, { 370, 0 });
  const TimePoint rollout = kStart + 2 * kSecond;
  const auto moved = [&rollout](const Rollouts& aRollouts) {
    int count = 0;
    for (int session = 0; session < 20000; ++session) {
      const uint64_t key = StableHash("s" + std::to_string(session));
      count += aRollouts.ConstraintFor("engine", key, rollout).required == "v2"
                 ? 1
                 : 0;
    }
    return count;
  };
  CHECK(moved(small) > 1000);
  CHECK(moved(large) > 20);
  CHECK(moved(large) < 160);
  // An instance that counts fewer instances adopts the lower share.
  small.SetPeerEvidence(
    "engine", "others", large.LocalEvidence(rollout).at("engine"), rollout);
  CHECK(moved(small) == moved(large));
}

TEST_CASE("the target of a replaced order stays excluded")
{
  // Guards against requests to an unproven version after the operator ordered
  // the next one before the first was decided.
  Rollouts rollouts;
  rollouts.Apply(MakeOrder(RolloutState::Running), kStart);
  RolloutOrder next = MakeOrder();
  next.target = "v3";
  next.creationRevision = 9;
  next.revision = 9;
  rollouts.Apply(next, kStart + kSecond);
  const VersionConstraint constraint =
    rollouts.ConstraintFor("engine", ~uint64_t{ 0 }, kStart + 2 * kSecond);
  CHECK(constraint.excluded == "v3");
  CHECK(constraint.unproven == std::vector<std::string>{ "v2" });
  // If it is ordered again, it is the target and gets canary traffic.
  RolloutOrder again = MakeOrder();
  again.creationRevision = 12;
  again.revision = 12;
  rollouts.Apply(again, kStart + 3 * kSecond);
  CHECK(rollouts.ConstraintFor("engine", 0, kStart + 5 * kSecond).required ==
        "v2");
  CHECK(rollouts.ConstraintFor("engine", 0, kStart + 5 * kSecond).unproven ==
        std::vector<std::string>{ "v3" });
}

TEST_CASE("the slow target of a second order is found by the first one's times")
{
  // Guards against a baseline that is forgotten with each new order: the
  // upstreams of the former versions leave before the new target is tried.
  Rollouts rollouts;
  rollouts.Apply(MakeOrder(RolloutState::Running), kStart);
  for (int answer = 0; answer < 8; ++answer) {
    rollouts.RecordAnswer("engine", "v1", "r", "r", true, kSecond / 10, kStart);
  }
  RolloutOrder next = MakeOrder();
  next.target = "v3";
  next.creationRevision = 9;
  rollouts.Apply(next, kStart + kSecond);
  const TimePoint now = kStart + 3 * kSecond;
  for (int answer = 0; answer < 8; ++answer) {
    rollouts.RecordAnswer("engine", "v3", "r", "r", true, kSecond, now);
  }
  CHECK(rollouts.NextState("engine", now) == RolloutState::RolledBack);
}

TEST_CASE("an order that replaces a decided one in place starts anew")
{
  // Guards against a target that succeeds at once, since the order before it
  // had succeeded: operators replace the stored object, whose creation revision
  // stays.
  for (const RolloutState state :
       { RolloutState::Running, RolloutState::Succeeded }) {
    Rollouts rollouts;
    rollouts.Apply(MakeOrder(state), kStart);
    RolloutOrder next = MakeOrder();
    next.target = "v3";
    next.revision = 9;
    const TimePoint now = kStart + 20 * kSecond;
    rollouts.Apply(next, now);
    CHECK(rollouts.NextState("engine", now) == RolloutState::Running);
    CHECK(rollouts.ConstraintFor("engine", 0, now).excluded == "v3");
    CHECK(rollouts.LocalEvidence(now).at("engine").age == Duration::zero());
    CHECK(rollouts.ConstraintFor("engine", 0, now).unproven.size() ==
          (state == RolloutState::Running ? 1 : 0));
  }
}

TEST_CASE("an unproven target uses up its exposure, by order")
{
  constexpr uint64_t kCanarySession = 1; // a low hash is in any canary share
  const TimePoint now = kStart + 3 * kSecond;
  struct Case
  {
    std::vector<std::string> targets; ///< Of successive orders.
    RolloutState first = RolloutState::Ordered;
    bool limited = false;
  };
  const std::vector<Case> cases{
    { { "v2" }, RolloutState::Ordered, true },
    { { "v2", "v3" }, RolloutState::Succeeded, true },     // good, then bad
    { { "v2", "v3" }, RolloutState::RolledBack, true },    // bad, then good
    { { "v2", "v1" }, RolloutState::Running, true },       // back to the first
    { { "v2", "v3", "v4" }, RolloutState::Running, true }, // three in a row
    { { "v2" }, RolloutState::Succeeded, false },          // decided
  };
  for (const Case& one : cases) {
    Rollouts rollouts;
    uint64_t revision = 5;
    for (const std::string& target : one.targets) {
      RolloutOrder order =
        MakeOrder(revision == 5 ? one.first : RolloutState::Running);
      order.target = target;
      order.creationRevision = order.revision = revision++;
      rollouts.Apply(order, kStart, { 1, 2 });
    }
    const std::string& last = one.targets.back();
    int sent = 0;
    // No other version serves: only the slack is left.
    for (int request = 0; request < 20; ++request) {
      const VersionConstraint constraint =
        rollouts.ConstraintFor("engine", kCanarySession, now);
      CHECK(constraint.required == last);
      if (!constraint.exposureUsedUp) {
        rollouts.RecordSend("engine", last);
        ++sent;
      }
    }
    CHECK(sent == (one.limited ? 2 : 20));
    // Requests that other versions serve make room for more.
    for (int request = 0; request < 30; ++request) {
      rollouts.RecordSend("engine", "v0");
    }
    CHECK_FALSE(
      rollouts.ConstraintFor("engine", kCanarySession, now).exposureUsedUp);
  }
}

TEST_CASE("an order that a restored store holds again goes on")
{
  RolloutOrder order = MakeOrder(RolloutState::Running);
  order.era = 1;
  Rollouts rollouts;
  rollouts.Apply(order, kStart);
  const TimePoint now = kStart + 20 * kSecond;
  RecordTargetAnswers(rollouts, now);
  // Written again by the operator, with numbers that were given out before.
  RolloutOrder again = MakeOrder(RolloutState::Ordered);
  again.era = 2;
  again.revision = 3;
  again.creationRevision = 3;
  rollouts.Apply(again, now);
  CHECK(rollouts.LocalEvidence(now).at("engine").age == 20 * kSecond);
  CHECK(rollouts.NextState("engine", now) == RolloutState::Succeeded);
  // What was read before the restore no longer counts.
  rollouts.Apply(order, now);
  CHECK(rollouts.Find("engine")->era == 2);
}

TEST_CASE("a verdict that a restored store has forgotten is written again")
{
  for (const RolloutState state :
       { RolloutState::Succeeded, RolloutState::RolledBack }) {
    RolloutOrder order = MakeOrder(state);
    order.era = 1;
    Rollouts rollouts;
    rollouts.Apply(order, kStart);
    RolloutOrder older = MakeOrder(RolloutState::Running);
    older.era = 2;
    older.revision = 2;
    rollouts.Apply(older, kStart + kSecond);
    CHECK(rollouts.NextState("engine", kStart + kSecond) == state);
    const VersionConstraint constraint =
      rollouts.ConstraintFor("engine", 0, kStart + 3 * kSecond);
    CHECK((state == RolloutState::Succeeded ? constraint.required
                                            : constraint.excluded) == "v2");
  }
}

TEST_CASE("a target that was rolled back stays so while orders are rewritten")
{
  // The copy holds the order before: it comes first, then the operator writes
  // the last one again.
  Rollouts rollouts;
  RolloutOrder order = MakeOrder(RolloutState::RolledBack);
  order.era = 1;
  rollouts.Apply(order, kStart);
  RolloutOrder former = MakeOrder(RolloutState::Running);
  former.target = "v1";
  former.era = 2;
  former.creationRevision = 2;
  rollouts.Apply(former, kStart + kSecond);
  RolloutOrder again = MakeOrder();
  again.era = 2;
  again.creationRevision = 4;
  rollouts.Apply(again, kStart + 2 * kSecond);
  CHECK(rollouts.NextState("engine", kStart + 2 * kSecond) ==
        RolloutState::RolledBack);
  // Ordered anew much later, it gets another trial.
  RolloutOrder later = MakeOrder();
  later.era = 2;
  later.creationRevision = 9;
  rollouts.Apply(later, kStart + 30 * kSecond);
  CHECK(rollouts.NextState("engine", kStart + 30 * kSecond) ==
        RolloutState::Running);
}
