#include "hibiscusnotch/entry/fleet_state.hpp"

#include "hibiscusnotch/routing/cold_start_share.hpp"
#include "hibiscusnotch/routing/request_limit.hpp"
#include "hibiscusnotch/routing/slot_share.hpp"

#include <algorithm>
#include <deque>
#include <doctest/doctest.h>
#include <random>
#include <string>
#include <vector>

using namespace hibiscusnotch::entry;
using namespace hibiscusnotch::routing;

namespace {

constexpr Duration kSecond{ 1'000'000 };
constexpr std::size_t kStepsPerSecond = 10;
constexpr Duration kStep = kSecond / kStepsPerSecond;
const TimePoint kStart{ 100 * kSecond };
constexpr double kRate = 17;
constexpr uint32_t kSlots = 40;

/// A change of the registrations.
struct Change
{
  TimePoint heardAt{};
  std::string name;
  bool added = false;
};

/// Upper bounds of what an instance may have sent in a second.
struct Shares
{
  double coldRate = 0;
  double limit = 0;
  uint32_t slots = 0;
};

struct Instance
{
  enum class Stage
  {
    Serving,
    Stopping, ///< Still registered.
    Leaving,  ///< Its registration is gone, and it sends with its shares.
    Down,
  };

  std::string name;
  Stage stage = Stage::Serving;
  TimePoint stoppedAt{};
  std::vector<Change> unheard;
  FleetState view;
  Shares shares; ///< By the view, as of its membership.
  uint64_t sharesMembership = 0;
  std::deque<Shares> lastSecond;
};

std::string
ZoneOf(std::size_t aIndex)
{
  return "zone-" + std::to_string(aIndex % 3);
}

/// Instances that stop and start again one after the other. Each hears of a
/// change of the registrations after a time of its own, of up to 1.5 s.
class RollingFleet
{
public:
  explicit RollingFleet(std::size_t aSize)
    : instances_(aSize)
  {
    for (std::size_t index = 0; index < aSize; ++index) {
      instances_[index].name = "instance-" + std::to_string(index);
    }
    for (Instance& instance : instances_) {
      AddAllServing(instance);
    }
  }

  /// Stops an instance every interval; it starts again after the given time.
  void Roll(Duration aInterval, Duration aDownTime)
  {
    downTime_ = aDownTime;
    TimePoint nextStop = now_ + kSecond;
    std::size_t next = 0;
    while (now_ < kStart + 40 * kSecond) {
      now_ += kStep;
      if (now_ >= nextStop && next < instances_.size()) {
        instances_[next].stage = Instance::Stage::Stopping;
        instances_[next++].stoppedAt = now_;
        nextStop += aInterval;
      }
      for (Instance& instance : instances_) {
        UpdateStage(instance);
        Hear(instance);
        RecordShares(instance);
      }
      CheckSums();
    }
  }

  const Shares& Largest() const { return largest_; }

private:
  std::size_t IndexOf(const Instance& aInstance) const
  {
    return static_cast<std::size_t>(&aInstance - instances_.data());
  }

  InstanceInfo InfoOf(const Instance& aInstance) const
  {
    return { {}, ZoneOf(IndexOf(aInstance)), 0 };
  }

  void AddAllServing(Instance& aSelf)
  {
    for (const Instance& other : instances_) {
      if (other.stage == Instance::Stage::Serving ||
          other.stage == Instance::Stage::Stopping) {
        AddInstance(aSelf.view, other.name, InfoOf(other));
      }
    }
  }

  void Announce(const std::string& aName, bool aAdded)
  {
    std::uniform_int_distribution<int64_t> delay(0, 1'500'000);
    for (Instance& instance : instances_) {
      // In the order in which the changes were made.
      const TimePoint earliest =
        instance.unheard.empty() ? now_ : instance.unheard.back().heardAt;
      instance.unheard.push_back(
        { std::max(earliest, now_ + Duration{ delay(random_) }),
          aName,
          aAdded });
    }
  }

  void UpdateStage(Instance& aSelf)
  {
    using Stage = Instance::Stage;
    const Duration stopped = now_ - aSelf.stoppedAt;
    if (aSelf.stage == Stage::Stopping && stopped >= 18 * kSecond / 10) {
      aSelf.stage = Stage::Leaving;
      Announce(aSelf.name, false);
    } else if (aSelf.stage == Stage::Leaving && stopped >= 28 * kSecond / 10) {
      aSelf.stage = Stage::Down;
    } else if (aSelf.stage == Stage::Down && stopped >= downTime_) {
      aSelf.stage = Stage::Serving;
      aSelf.view.instances.clear();
      aSelf.view.departed.clear();
      aSelf.unheard.clear();
      Announce(aSelf.name, true);
      AddAllServing(aSelf);
      aSelf.view.sharesFrom = now_ + kShareHandover;
    }
  }

  void Hear(Instance& aSelf)
  {
    while (!aSelf.unheard.empty() && aSelf.unheard.front().heardAt <= now_) {
      const Change change = aSelf.unheard.front();
      aSelf.unheard.erase(aSelf.unheard.begin());
      const auto other =
        std::ranges::find(instances_, change.name, &Instance::name);
      if (change.added) {
        AddInstance(aSelf.view, change.name, InfoOf(*other));
      } else if (change.name != aSelf.name) {
        RemoveInstance(aSelf.view, change.name, change.heardAt);
      }
    }
    UpdateShares(aSelf.view, now_);
  }

  void RecordShares(Instance& aSelf) const
  {
    if (aSelf.sharesMembership != aSelf.view.membership) {
      aSelf.sharesMembership = aSelf.view.membership;
      const auto senders = SendersTo(aSelf.view, ZoneOf(0));
      aSelf.shares = {
        ColdStartShare(kRate, "upstream", aSelf.name, senders),
        RequestLimitShare(kRate, "upstream", aSelf.name, senders),
        SlotShare(kSlots, "upstream", aSelf.name, senders),
      };
    }
    const bool mayUse =
      aSelf.stage != Instance::Stage::Down && now_ >= aSelf.view.sharesFrom;
    aSelf.lastSecond.push_back(mayUse ? aSelf.shares : Shares{});
    if (aSelf.lastSecond.size() > kStepsPerSecond) {
      aSelf.lastSecond.pop_front();
    }
  }

  void CheckSums()
  {
    Shares sum;
    for (const Instance& instance : instances_) {
      Shares most;
      for (const Shares& shares : instance.lastSecond) {
        most.coldRate = std::max(most.coldRate, shares.coldRate);
        most.limit = std::max(most.limit, shares.limit);
        most.slots = std::max(most.slots, shares.slots);
      }
      sum.coldRate += most.coldRate;
      sum.limit += most.limit;
      sum.slots += most.slots;
    }
    largest_.coldRate = std::max(largest_.coldRate, sum.coldRate);
    largest_.limit = std::max(largest_.limit, sum.limit);
    largest_.slots = std::max(largest_.slots, sum.slots);
  }

  TimePoint now_ = kStart;
  Duration downTime_{ 0 };
  std::vector<Instance> instances_;
  std::minstd_rand random_{ 7 };
  Shares largest_;
};

} // namespace

TEST_CASE("shares of a limit never exceed it while instances are replaced")
{
  // Guards against cold upstreams that get too much: the others divided the
  // share of an instance that went on sending with it.
  for (const std::size_t size : { 3, 8, 70, 295 }) {
    for (const Duration interval : { kSecond / 2, kSecond, 3 * kSecond }) {
      for (const Duration downTime : { 7 * kSecond / 2, 9 * kSecond }) {
        RollingFleet fleet(size);
        fleet.Roll(interval, downTime);
        CAPTURE(size);
        CAPTURE(interval.count());
        CAPTURE(downTime.count());
        CHECK(fleet.Largest().coldRate <= kRate);
        CHECK(fleet.Largest().limit <= kRate + 1e-9);
        CHECK(fleet.Largest().slots <= kSlots);
        // All of it is handed out while no instance stops.
        CHECK(fleet.Largest().coldRate > kRate - 1);
      }
    }
  }
}

TEST_CASE("a share is free again once its holder cannot use it any more")
{
  FleetState fleet;
  AddInstance(fleet, "a", { {}, "east", 0 });
  AddInstance(fleet, "b", { {}, "east", 0 });
  RemoveInstance(fleet, "b", kStart);
  CHECK(SendersTo(fleet, "east").size() == 2);
  UpdateShares(fleet, kStart + 2 * kSecond);
  CHECK(SendersTo(fleet, "east").size() == 2);
  const uint64_t membership = fleet.membership;
  UpdateShares(fleet, kStart + 3 * kSecond);
  CHECK(SendersTo(fleet, "east").size() == 1);
  CHECK(fleet.membership > membership);
  // One that comes back under its name takes its own share.
  RemoveInstance(fleet, "a", kStart + 4 * kSecond);
  AddInstance(fleet, "a", { {}, "east", 0 });
  CHECK(SendersTo(fleet, "east").size() == 1);
}
