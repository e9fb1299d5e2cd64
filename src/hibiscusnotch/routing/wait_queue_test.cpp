#include "hibiscusnotch/routing/wait_queue.hpp"

#include <algorithm>
#include <doctest/doctest.h>
#include <functional>
#include <map>
#include <queue>
#include <random>
#include <string>
#include <vector>

using namespace hibiscusnotch::routing;
namespace core = hibiscusnotch::core;

namespace {

constexpr Duration kSecond{ 1'000'000 };
constexpr TimePoint kStart{ Duration{ 1'000'000'000 } };

WaitingRequest
RequestOf(int aRank,
          std::string_view aOrganisation,
          double aWork = 1,
          TimePoint aArrivedAt = kStart)
{
  return { aRank,
           aOrganisation,
           aWork,
           aArrivedAt,
           aArrivedAt + 4 * kSecond,
           aArrivedAt + kSecond };
}

/// Starts the next request and returns its ticket; zero if nobody waits.
WaitTicket
StartNext(WaitQueue& aQueue, TimePoint aNow = kStart)
{
  const auto next = aQueue.Next(aNow);
  if (next) {
    aQueue.Start(*next, aNow);
  }
  return next.value_or(0);
}

} // namespace

// Guards against urgent requests that wait behind others.
TEST_CASE("waiting requests start by rank, then by arrival")
{
  WaitQueue queue({ 0, 0 });
  const auto low = queue.Add(RequestOf(2, "a"), kStart);
  const auto second =
    queue.Add(RequestOf(1, "a", 1, kStart + kSecond / 10), kStart);
  const auto first = queue.Add(RequestOf(1, "a"), kStart);
  CHECK(StartNext(queue) == first);
  CHECK(StartNext(queue) == second);
  CHECK(StartNext(queue) == low);
  CHECK(StartNext(queue) == 0);
}

// Guards against an organisation that gains by long prompts: shares are of
// work, not of requests.
TEST_CASE("organisations of a rank share the work that is started")
{
  WaitQueue queue({ 0, 0 });
  std::map<WaitTicket, double> workOfLong;
  for (int request = 0; request < 400; ++request) {
    workOfLong[queue.Add(RequestOf(1, "long", 10), kStart)] = 10;
    queue.Add(RequestOf(1, "short", 1), kStart);
  }
  double longWork = 0;
  double shortWork = 0;
  for (int start = 0; start < 220; ++start) {
    const WaitTicket ticket = StartNext(queue);
    (workOfLong.contains(ticket) ? longWork : shortWork) +=
      workOfLong.contains(ticket) ? 10 : 1;
  }
  CHECK(longWork == doctest::Approx(shortWork).epsilon(0.1));
}

// Guards against shares that are saved up while an organisation sends nothing.
TEST_CASE("an organisation that begins to wait gets no share of the past")
{
  WaitQueue queue({ 0, 0 });
  for (int request = 0; request < 200; ++request) {
    queue.Add(RequestOf(1, "old"), kStart);
  }
  for (int start = 0; start < 100; ++start) {
    StartNext(queue);
  }
  std::vector<WaitTicket> tickets(50);
  for (WaitTicket& ticket : tickets) {
    ticket = queue.Add(RequestOf(1, "new"), kStart);
  }
  int startsOfNew = 0;
  for (int start = 0; start < 40; ++start) {
    startsOfNew += std::ranges::count(tickets, StartNext(queue)) > 0 ? 1 : 0;
  }
  CHECK(startsOfNew >= 19);
  CHECK(startsOfNew <= 21);
}

// Guards against capacity for answers that come too late anyway.
TEST_CASE("requests that can still meet their target go first")
{
  WaitQueue queue;
  WaitingRequest missed = RequestOf(1, "a");
  missed.latestStart = kStart + kSecond / 2;
  const auto late = queue.Add(missed, kStart);
  const auto inTime =
    queue.Add(RequestOf(1, "a", 1, kStart + kSecond / 10), kStart);
  CHECK(queue.Next(kStart) == late); // it still can
  CHECK(queue.Next(kStart + kSecond) == inTime);
  queue.Start(inTime, kStart + kSecond);
  CHECK(queue.Next(kStart + kSecond) == late);
}

// Guards against ranks and organisations that get nothing for as long as more
// urgent requests use up the capacity.
TEST_CASE("the lowest rank and the smallest organisation keep a minimum")
{
  for (const double floor : { 0.0, 0.05, 0.2 }) {
    CAPTURE(floor);
    WaitQueue queue({ floor, 0 });
    std::map<WaitTicket, int> ranks;
    for (int request = 0; request < 2000; ++request) {
      for (int rank = 0; rank < 3; ++rank) {
        ranks[queue.Add(RequestOf(rank, "o" + std::to_string(rank)), kStart)] =
          rank;
      }
    }
    std::array<int, 3> starts{};
    for (int start = 0; start < 1000; ++start) {
      ++starts.at(static_cast<std::size_t>(ranks[StartNext(queue)]));
    }
    CHECK(starts[2] == doctest::Approx(1000 * floor).epsilon(0.03));
  }
  WaitQueue queue({ 0, 0.05 });
  std::vector<WaitTicket> small;
  for (int request = 0; request < 2000; ++request) {
    queue.Add(RequestOf(0, "large"), kStart);
    small.push_back(queue.Add(RequestOf(1, "small"), kStart));
  }
  int startsOfSmall = 0;
  for (int start = 0; start < 1000; ++start) {
    startsOfSmall +=
      std::ranges::binary_search(small, StartNext(queue)) ? 1 : 0;
  }
  CHECK(startsOfSmall == doctest::Approx(50).epsilon(0.03));
}

// Guards against one request that cannot be sent and holds up all others.
TEST_CASE("requests that are set aside keep their place")
{
  WaitQueue queue;
  const auto first = queue.Add(RequestOf(1, "a"), kStart);
  const auto second = queue.Add(RequestOf(1, "a"), kStart);
  queue.SetAside(first);
  CHECK(queue.Size() == 2);
  CHECK(queue.Next(kStart) == second);
  queue.Start(second, kStart);
  CHECK_FALSE(queue.Next(kStart));
  queue.RestoreAside();
  CHECK(queue.Next(kStart) == first);
  queue.SetAside(first);
  queue.Remove(first);
  queue.RestoreAside();
  CHECK(queue.Size() == 0);
}

// Guards against requests that wait although they cannot start in time, and
// against refusals before the pace is known.
TEST_CASE("requests that would start after their deadlines are found")
{
  WaitQueue queue;
  CHECK_FALSE(queue.MeasuredPace(kStart));
  std::vector<WaitTicket> tickets(100);
  for (WaitTicket& ticket : tickets) {
    ticket = queue.Add(RequestOf(1, "a"), kStart);
  }
  CHECK_FALSE(queue.MeasuredPace(kStart));
  TimePoint now = kStart;
  for (int start = 0; start < 20; ++start) {
    now += kSecond / 50;
    StartNext(queue, now);
  }
  const auto pace = queue.MeasuredPace(now);
  REQUIRE(pace);
  CHECK(pace->perSecond == doctest::Approx(50).epsilon(0.05));
  // 0.6 s are left for 80 requests at 50 a second.
  const auto tooLate = queue.StartingTooLate(*pace, now);
  CHECK(static_cast<double>(tooLate.size()) ==
        doctest::Approx(50).epsilon(0.1));
  for (const ExpectedStart& expected : tooLate) {
    CHECK(expected.ticket > tickets[48]); // the last ones
  }
  CHECK(queue.ExpectedStartOf(tickets[20], *pace, now) == now);
  CHECK(queue.ExpectedStartOf(tickets[99], *pace, now) > now + kSecond);
  // Once nothing starts, the pace is unknown again.
  CHECK_FALSE(queue.MeasuredPace(now + 2 * kSecond));
  CHECK(queue.Expired(kStart + kSecond).size() == 80);
  CHECK(queue.Expired(kStart).empty());
}

// Guards against an estimate that counts the queue of a large organisation
// against all others, which then would be refused without need.
TEST_CASE("the place depends on the organisation and the rank")
{
  WaitQueue queue;
  for (int request = 0; request < 1000; ++request) {
    queue.Add(RequestOf(1, "large"), kStart);
  }
  const auto large = queue.Add(RequestOf(1, "large"), kStart);
  const auto small = queue.Add(RequestOf(1, "small"), kStart);
  const auto urgent = queue.Add(RequestOf(0, "large"), kStart);
  const auto low = queue.Add(RequestOf(2, "small"), kStart);
  CHECK(queue.Place(large) >= 1000);
  CHECK(queue.Place(small) <= 2);
  CHECK(queue.Place(urgent) == 0);
  CHECK(queue.Place(low) <= 1 / 0.05); // by the rank's floor
}

// Guards against callers that all return at once.
TEST_CASE("refused callers return in order at the queue's pace")
{
  WaitQueue queue;
  Duration last{ 0 };
  for (int refusal = 0; refusal < 10; ++refusal) {
    const Duration after = queue.RetryAfter(kStart + kSecond, 10, kStart);
    CHECK(after >= kSecond);
    if (refusal > 0) {
      CHECK(after - last == kSecond / 10);
    }
    last = after;
  }
  Duration longest{ 0 };
  for (int refusal = 0; refusal < 1000; ++refusal) {
    longest = std::max(longest, queue.RetryAfter(kStart + kSecond, 10, kStart));
  }
  CHECK(longest <= 6 * kSecond); // bounded under lasting overload
}

namespace {

/// Requests of some organisations that arrive at random times.
struct Demand
{
  std::size_t organisations = 1;
  std::string prefix = "o";
  int rank = 1;
  double perSecond = 0; ///< Of all its organisations.
  Duration runTime{ 0 };
  bool isCounted = true; ///< Its own demand fits the capacity.
  std::function<double(Duration)> factor = [](Duration) { return 1.0; };
};

struct LoadResult
{
  double kept = 0; ///< Fraction of the counted requests within the target.
  double idle = 0; ///< Slot seconds that were free while requests waited.
  double used = 0; ///< Fraction of the slots' time.
};

/// Instances with a queue each before shared slots; a slot that becomes free
/// wakes the queues in turn.
class LoadSimulation
{
public:
  LoadSimulation(std::size_t aInstances, std::size_t aSlots)
    : queues_(aInstances)
    , slots_(aSlots)
  {
  }

  LoadResult Run(const std::vector<Demand>& aDemands,
                 Duration aTime,
                 const std::function<double(Duration)>& aCapacity)
  {
    constexpr Duration kStep{ 5'000 };
    for (Duration passed{ 0 }; passed < aTime; passed += kStep) {
      now_ = kStart + passed;
      limit_ = static_cast<std::size_t>(static_cast<double>(slots_) *
                                        aCapacity(passed));
      Finish();
      for (const Demand& demand : aDemands) {
        std::poisson_distribution<int> count(
          demand.perSecond * demand.factor(passed) * core::Seconds(kStep));
        for (int request = count(random_); request > 0; --request) {
          Arrive(demand);
        }
      }
      Serve();
      Refuse(passed % (20 * kStep) == Duration::zero());
      usedTime_ += static_cast<double>(ends_.size());
      limitTime_ += static_cast<double>(limit_);
      if (ends_.size() < limit_ && WaitingCount() > 0) {
        idleTime_ += static_cast<double>(limit_ - ends_.size());
      }
    }
    return { kept_ / std::max(counted_, 1.0),
             idleTime_ * core::Seconds(kStep),
             usedTime_ / limitTime_ };
  }

private:
  struct Waiting
  {
    TimePoint arrivedAt{};
    Duration runTime{ 0 };
    bool isCounted = false;
  };

  struct InstanceQueue
  {
    WaitQueue queue;
    std::map<WaitTicket, Waiting> waiting;
  };

  static constexpr Duration kTarget = 4 * kSecond;
  static constexpr Duration kMaxWait{ 800'000 };

  void Finish()
  {
    while (!ends_.empty() && ends_.top() <= now_) {
      ends_.pop();
    }
  }

  std::size_t WaitingCount() const
  {
    std::size_t count = 0;
    for (const InstanceQueue& instance : queues_) {
      count += instance.waiting.size();
    }
    return count;
  }

  void Run(const Waiting& aRequest)
  {
    ends_.push(now_ + aRequest.runTime);
    if (aRequest.isCounted &&
        now_ + aRequest.runTime <= aRequest.arrivedAt + kTarget) {
      kept_ += 1;
    }
  }

  void Arrive(const Demand& aDemand)
  {
    InstanceQueue& instance = queues_[random_() % queues_.size()];
    const std::string organisation =
      aDemand.prefix + std::to_string(random_() % aDemand.organisations);
    const Waiting request{ now_, aDemand.runTime, aDemand.isCounted };
    counted_ += aDemand.isCounted ? 1 : 0;
    if (instance.waiting.empty() && ends_.size() < limit_) {
      Run(request);
      return;
    }
    const WaitTicket ticket =
      instance.queue.Add({ aDemand.rank,
                           organisation,
                           core::Seconds(aDemand.runTime),
                           now_,
                           now_ + kTarget - aDemand.runTime,
                           now_ + kMaxWait },
                         now_);
    instance.waiting[ticket] = request;
    const auto pace = instance.queue.MeasuredPace(now_);
    if (pace && ends_.size() >= limit_ &&
        instance.queue.ExpectedStartOf(ticket, *pace, now_) > now_ + kMaxWait) {
      Drop(instance, ticket);
    }
  }

  static void Drop(InstanceQueue& aInstance, WaitTicket aTicket)
  {
    aInstance.queue.Remove(aTicket);
    aInstance.waiting.erase(aTicket);
  }

  void Serve()
  {
    std::size_t empty = 0;
    while (ends_.size() < limit_ && empty < queues_.size()) {
      InstanceQueue& instance = queues_[turn_++ % queues_.size()];
      const auto next = instance.queue.Next(now_);
      if (!next) {
        ++empty;
        continue;
      }
      empty = 0;
      Run(instance.waiting.at(*next));
      instance.queue.Start(*next, now_);
      instance.waiting.erase(*next);
    }
  }

  void Refuse(bool aMeasured)
  {
    for (InstanceQueue& instance : queues_) {
      for (const WaitTicket ticket : instance.queue.Expired(now_)) {
        Drop(instance, ticket);
      }
      const auto pace = instance.queue.MeasuredPace(now_);
      if (aMeasured && pace) {
        for (const auto& [ticket, at] :
             instance.queue.StartingTooLate(*pace, now_)) {
          Drop(instance, ticket);
        }
      }
    }
  }

  std::vector<InstanceQueue> queues_;
  std::size_t slots_;
  std::size_t limit_ = 0;
  std::size_t turn_ = 0;
  TimePoint now_{};
  std::priority_queue<TimePoint, std::vector<TimePoint>, std::greater<>> ends_;
  std::mt19937 random_{ 41 };
  double counted_ = 0;
  double kept_ = 0;
  double idleTime_ = 0;
  double usedTime_ = 0;
  double limitTime_ = 0;
};

constexpr std::array<std::size_t, 3> kFleetSizes{ 8, 79, 295 };
constexpr double kMinKept = 0.9;
constexpr Duration kLong{ 800'000 };
constexpr Duration kShort{ 200'000 };

/// As many slots as make the load, in slot seconds a second, the fraction.
std::size_t
SlotsFor(const std::vector<Demand>& aDemands, double aFraction)
{
  double load = 0;
  for (const Demand& demand : aDemands) {
    load += demand.perSecond * core::Seconds(demand.runTime);
  }
  return static_cast<std::size_t>(load / aFraction);
}

/// Usual load of an instance count: 24 organisations with long and short
/// requests.
std::vector<Demand>
UsualDemand(std::size_t aInstances)
{
  const double perSecond = 7.0 * static_cast<double>(aInstances);
  return { { 24, "o", 1, 0.3 * perSecond, kLong, true },
           { 24, "o", 1, 0.7 * perSecond, kShort, true } };
}

double
Always(Duration /*aPassed*/)
{
  return 1;
}

/// The factor for a time after the first two seconds.
std::function<double(Duration)>
Burst(double aFactor, Duration aTime)
{
  return [aFactor, aTime](Duration aPassed) {
    return aPassed >= 2 * kSecond && aPassed < 2 * kSecond + aTime ? aFactor
                                                                   : 1.0;
  };
}

/// The others' requests must be kept, which alone need that part of the
/// capacity.
void
CheckOneKey(double aUsualLoad)
{
  for (const std::size_t instances : kFleetSizes) {
    CAPTURE(instances);
    std::vector<Demand> demands = UsualDemand(instances);
    const std::size_t slots = SlotsFor(demands, aUsualLoad);
    demands.push_back({ 1,
                        "one",
                        1,
                        (demands[0].perSecond + demands[1].perSecond) / 2,
                        kLong,
                        false });
    LoadSimulation simulation(instances, slots);
    const LoadResult result = simulation.Run(demands, 10 * kSecond, Always);
    CHECK(result.kept >= kMinKept);
    CHECK(result.idle == 0);
  }
}

} // namespace

TEST_CASE("load: one organisation at 7.5 times its usual load")
{
  for (const std::size_t instances : kFleetSizes) {
    CAPTURE(instances);
    std::vector<Demand> demands = UsualDemand(instances);
    Demand one{ 1, "one", 1, demands[1].perSecond / 8, kLong, false };
    demands.push_back(one);
    LoadSimulation simulation(instances, SlotsFor(demands, 0.65));
    demands.back().perSecond *= 7.5;
    const LoadResult result = simulation.Run(demands, 10 * kSecond, Always);
    CHECK(result.kept >= kMinKept);
    CHECK(result.idle == 0);
  }
}

TEST_CASE("load: one key with a third of the traffic at 0.65 of the capacity")
{
  CheckOneKey(0.65);
}

TEST_CASE("load: one key with a third of the traffic")
{
  // Instances exchange no shares and take the same turns, so an instance where
  // the key waits keeps as many slots as one where others do.
  CheckOneKey(0.85);
}

TEST_CASE("load: a burst of one class")
{
  for (const std::size_t instances : kFleetSizes) {
    CAPTURE(instances);
    std::vector<Demand> demands = UsualDemand(instances);
    const std::size_t slots = SlotsFor(demands, 0.7);
    // The class that bursts is a less urgent one of the same organisations.
    demands[0].rank = 2;
    demands[0].isCounted = false;
    demands[0].factor = Burst(2.6, 5 * kSecond);
    LoadSimulation simulation(instances, slots);
    const LoadResult result = simulation.Run(demands, 10 * kSecond, Always);
    CHECK(result.kept >= kMinKept);
    CHECK(result.idle == 0);
  }
}

TEST_CASE("load: a third of the callers send everything three times")
{
  for (const std::size_t instances : kFleetSizes) {
    CAPTURE(instances);
    std::vector<Demand> demands = UsualDemand(instances);
    const std::size_t slots = SlotsFor(demands, 0.75);
    for (std::size_t index = 0; index < 2; ++index) {
      Demand storm = demands[index];
      storm.organisations = 8;
      storm.prefix = "storm";
      storm.isCounted = false;
      storm.perSecond /= 3;
      storm.factor = Burst(3, 5 * kSecond);
      demands[index].organisations = 16;
      demands[index].perSecond *= 2.0 / 3;
      demands.push_back(storm);
    }
    LoadSimulation simulation(instances, slots);
    const LoadResult result = simulation.Run(demands, 10 * kSecond, Always);
    CHECK(result.kept >= kMinKept);
    CHECK(result.idle == 0);
  }
}

TEST_CASE("load: capacity halved for five seconds")
{
  for (const std::size_t instances : kFleetSizes) {
    CAPTURE(instances);
    std::vector<Demand> demands = UsualDemand(instances);
    const std::size_t slots = SlotsFor(demands, 0.7);
    // What is urgent fits the half; the rest does not.
    demands[0].rank = 2;
    demands[0].isCounted = false;
    LoadSimulation simulation(instances, slots);
    const LoadResult result =
      simulation.Run(demands, 9 * kSecond, [](Duration aPassed) {
        return Burst(0.5, 5 * kSecond)(aPassed);
      });
    CHECK(result.kept >= kMinKept);
    CHECK(result.idle == 0);
  }
}

TEST_CASE("load: everything at 1.7 times for three seconds")
{
  for (const std::size_t instances : kFleetSizes) {
    CAPTURE(instances);
    std::vector<Demand> demands = UsualDemand(instances);
    const std::size_t slots = SlotsFor(demands, 0.7);
    demands[0].rank = 2;
    demands[0].isCounted = false;
    for (Demand& demand : demands) {
      demand.factor = Burst(1.7, 3 * kSecond);
    }
    LoadSimulation simulation(instances, slots);
    const LoadResult result = simulation.Run(demands, 8 * kSecond, Always);
    CHECK(result.kept >= kMinKept);
    CHECK(result.idle == 0);
  }
}
