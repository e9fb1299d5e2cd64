#include "hibiscusnotch/entry/rollout_duty.hpp"

#include "hibiscusnotch/core/rendezvous.hpp"

#include <algorithm>
#include <map>
#include <vector>

namespace hibiscusnotch::entry {

namespace {

using core::EventNumber;
using routing::RolloutOrder;
using routing::RolloutState;
using store::Object;
using store::StoreFault;

constexpr Duration kStep{ 200'000 };
// Instances of lower rank leave the write to those before them for this long.
constexpr Duration kRankDelay{ 300'000 };
constexpr std::size_t kMostRanks = 10; // later ones act together; one wins
// After a call that failed, doubled with each further one. Others, whom the
// store may still serve, write meanwhile.
constexpr Duration kRetryPause{ 300'000 };
constexpr Duration kLongestRetryPause{ 2'400'000 };

std::string
Name(RolloutState aState)
{
  switch (aState) {
    case RolloutState::Ordered:
      return "ordered";
    case RolloutState::Running:
      return "running";
    case RolloutState::Succeeded:
      return "succeeded";
    case RolloutState::RolledBack:
      return "rolled_back";
  }
  return "ordered";
}

class StoreDuty : public RolloutDuty
{
public:
  StoreDuty(std::string aInstanceName, RolloutDutyDependencies aDependencies)
    : instanceName_(std::move(aInstanceName))
    , dependencies_(aDependencies)
  {
    Step();
  }

  std::size_t Written() const override { return written_; }

private:
  struct Intent
  {
    RolloutState state = RolloutState::Ordered;
    TimePoint since{};
    bool inFlight = false;
    Duration pause{ 0 }; ///< After the last call that failed.
    TimePoint notBefore{};
  };

  void Step()
  {
    const TimePoint now = dependencies_.timers.Now();
    std::vector<std::string> services;
    for (const auto& [service, trial] : dependencies_.fleet.rollouts.All()) {
      services.push_back(service);
    }
    for (const std::string& service : services) {
      Consider(service, now);
    }
    dependencies_.timers.After(kStep, [this] { Step(); });
  }

  void Consider(const std::string& aService, TimePoint aNow)
  {
    const auto wanted = dependencies_.fleet.rollouts.NextState(aService, aNow);
    Intent& intent = intents_[aService];
    if (!wanted) {
      intent = Intent{};
      return;
    }
    if (intent.state != *wanted) {
      intent.state = *wanted;
      intent.since = aNow;
      intent.pause = Duration::zero();
      intent.notBefore = aNow;
    }
    const RolloutOrder& order = *dependencies_.fleet.rollouts.Find(aService);
    const auto delay =
      static_cast<int64_t>(std::min(kMostRanks, Rank(order))) * kRankDelay;
    if (!intent.inFlight && aNow - intent.since >= delay &&
        aNow >= intent.notBefore) {
      Write(aService, order, *wanted);
    }
  }

  /// This instance's place in an order that all instances agree on.
  std::size_t Rank(const RolloutOrder& aOrder) const
  {
    const uint64_t key =
      core::MixHash(core::StableHash(aOrder.service), aOrder.creationRevision);
    const auto weight = [key](const std::string& aName) {
      return core::MixHash(key, core::StableHash(aName));
    };
    const uint64_t own = weight(instanceName_);
    return static_cast<std::size_t>(std::ranges::count_if(
      dependencies_.fleet.instances,
      [&](const auto& aRow) { return weight(aRow.first) > own; }));
  }

  void Write(const std::string& aService,
             const RolloutOrder& aOrder,
             RolloutState aState)
  {
    intents_[aService].inFlight = true;
    Object object;
    object.name = aService;
    object.revision = aOrder.revision;
    object.status = dependencies_.codec.WriteRolloutStatus(aOrder, aState);
    dependencies_.log.Write(EventNumber::RolloutDecided,
                            "service=" + aService + " target=" + aOrder.target +
                              " state=" + Name(aState) +
                              " revision=" + std::to_string(aOrder.revision));
    dependencies_.store.PutStatus(
      dependencies_.codec.Kinds().rollouts,
      object,
      [this, aService](std::optional<Object> aObject, StoreFault aFault) {
        intents_[aService].inFlight = false;
        if (aObject) {
          ++written_;
          Take(*aObject);
          return;
        }
        dependencies_.log.Write(EventNumber::RolloutWriteFailed,
                                "service=" + aService + " fault=" +
                                  std::to_string(static_cast<int>(aFault)));
        if (aFault == StoreFault::Refused) {
          PauseAfterFailure(aService); // nothing was done: nothing to read back
        } else {
          ReadBack(aService);
        }
      });
  }

  /// A lost answer or a race: what the store holds decides.
  void ReadBack(const std::string& aService)
  {
    intents_[aService].inFlight = true;
    dependencies_.store.Get(
      dependencies_.codec.Kinds().rollouts,
      aService,
      [this, aService](std::optional<Object> aObject, StoreFault aFault) {
        intents_[aService].inFlight = false;
        if (aObject) {
          Take(*aObject);
        } else if (aFault == StoreFault::Missing) {
          dependencies_.fleet.rollouts.Remove(aService);
        } else {
          PauseAfterFailure(aService);
        }
      });
  }

  void PauseAfterFailure(const std::string& aService)
  {
    Intent& intent = intents_[aService];
    intent.pause =
      std::clamp(intent.pause * 2, kRetryPause, kLongestRetryPause);
    intent.notBefore = dependencies_.timers.Now() + intent.pause;
  }

  void Take(const Object& aObject)
  {
    std::string reason;
    if (const auto order = dependencies_.codec.ReadRollout(aObject, reason)) {
      dependencies_.fleet.rollouts.Apply(*order,
                                         dependencies_.timers.Now(),
                                         dependencies_.fleet.InstanceCount());
    }
  }

  std::string instanceName_;
  RolloutDutyDependencies dependencies_;
  std::map<std::string, Intent> intents_;
  std::size_t written_ = 0;
};

} // namespace

std::unique_ptr<RolloutDuty>
MakeRolloutDuty(std::string aInstanceName,
                RolloutDutyDependencies aDependencies)
{
  return std::make_unique<StoreDuty>(std::move(aInstanceName), aDependencies);
}

} // namespace hibiscusnotch::entry
