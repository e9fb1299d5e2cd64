#include "hibiscusnotch/entry/rollout_writer.hpp"

#include "hibiscusnotch/core/rendezvous.hpp"

#include <algorithm>
#include <cmath>
#include <map>
#include <vector>

namespace hibiscusnotch::entry {

namespace {

using core::EventNumber;
using routing::RolloutOrder;
using routing::RolloutState;
using store::Object;
using store::StoreError;

constexpr Duration kTickInterval{ 200'000 };
// Each rank waits this much longer for a higher-ranked instance to write. Ranks
// above the maximum write at the same time, and one of the writes succeeds.
constexpr Duration kDelayPerRank{ 300'000 };
constexpr std::size_t kMaxDelayedRanks = 10;
// Backoff after a failed call, doubled with each further failure; meanwhile an
// instance that the store still serves may write.
constexpr Duration kInitialBackoff{ 300'000 };
constexpr Duration kMaxBackoff{ 2'400'000 };

std::string
StateName(RolloutState aState)
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

std::string
FormatCounts(std::string_view aName, const routing::AnswerCounts& aCounts)
{
  const std::string name(aName);
  return ' ' + name + "_good=" + std::to_string(std::lround(aCounts.good)) +
         ' ' + name + "_bad=" + std::to_string(std::lround(aCounts.bad));
}

std::string
DescribeObservation(const routing::RolloutObservation& aObservation)
{
  return " age_ms=" + std::to_string(aObservation.age.count() / 1000) +
         " progress_ms=" +
         std::to_string(aObservation.progress.count() / 1000) +
         FormatCounts("target", aObservation.target) +
         FormatCounts("baseline", aObservation.baseline);
}

class StoreRolloutWriter : public RolloutWriter
{
public:
  StoreRolloutWriter(std::string aInstanceName,
                     RolloutWriterDependencies aDependencies)
    : instanceName_(std::move(aInstanceName))
    , dependencies_(aDependencies)
  {
    Tick();
  }

  std::size_t WriteCount() const override { return writeCount_; }

private:
  struct PendingWrite
  {
    RolloutState state = RolloutState::Ordered;
    TimePoint since{};
    bool inFlight = false;
    Duration backoff{ 0 }; ///< After the last failed call.
    TimePoint notBefore{};
  };

  void Tick()
  {
    const TimePoint now = dependencies_.timers.Now();
    std::vector<std::string> services;
    for (const auto& [service, rollout] : dependencies_.fleet.rollouts.All()) {
      services.push_back(service);
    }
    for (const std::string& service : services) {
      Evaluate(service, now);
    }
    dependencies_.timers.After(kTickInterval, [this] { Tick(); });
  }

  void Evaluate(const std::string& aService, TimePoint aNow)
  {
    const auto next = dependencies_.fleet.rollouts.NextState(aService, aNow);
    PendingWrite& pending = pendingWrites_[aService];
    if (!next) {
      pending = PendingWrite{};
      return;
    }
    if (pending.state != *next) {
      pending.state = *next;
      pending.since = aNow;
      pending.backoff = Duration::zero();
      pending.notBefore = aNow;
    }
    const RolloutOrder& order = *dependencies_.fleet.rollouts.Find(aService);
    const auto delay =
      static_cast<int64_t>(std::min(kMaxDelayedRanks, Rank(order))) *
      kDelayPerRank;
    if (!pending.inFlight && aNow - pending.since >= delay &&
        aNow >= pending.notBefore) {
      Write(aService, order, *next);
    }
  }

  /// This instance's rank for the order, computed alike by all instances.
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
      [&](const auto& aInstance) { return weight(aInstance.first) > own; }));
  }

  void Write(const std::string& aService,
             const RolloutOrder& aOrder,
             RolloutState aState)
  {
    if (aOrder.era < dependencies_.store.Era()) {
      return; // its revision may name another object in the restored store
    }
    pendingWrites_[aService].inFlight = true;
    Object object;
    object.name = aService;
    object.revision = aOrder.revision;
    object.status = store::EncodedValue::FromJson(
      dependencies_.storeCodec.WriteRolloutStatus(aOrder, aState));
    dependencies_.log.Write(
      EventNumber::RolloutDecided,
      "service=" + aService + " target=" + aOrder.target + " state=" +
        StateName(aState) + " revision=" + std::to_string(aOrder.revision) +
        DescribeObservation(dependencies_.fleet.rollouts.Observation(
          aService, dependencies_.timers.Now())));
    dependencies_.store.PutStatus(
      dependencies_.storeCodec.Kinds().rollouts,
      object,
      [this, aService](std::optional<Object> aObject, StoreError aFault) {
        pendingWrites_[aService].inFlight = false;
        if (aObject) {
          ++writeCount_;
          ApplyObject(*aObject);
          return;
        }
        dependencies_.log.Write(EventNumber::RolloutWriteFailed,
                                "service=" + aService + " fault=" +
                                  std::to_string(static_cast<int>(aFault)));
        if (aFault == StoreError::Refused) {
          BackOff(aService); // nothing was written, so no read-back
        } else {
          ReadBack(aService);
        }
      });
  }

  /// After a lost response or a conflict, adopts what the store holds.
  void ReadBack(const std::string& aService)
  {
    pendingWrites_[aService].inFlight = true;
    dependencies_.store.Get(
      dependencies_.storeCodec.Kinds().rollouts,
      aService,
      [this, aService](std::optional<Object> aObject, StoreError aFault) {
        pendingWrites_[aService].inFlight = false;
        if (aObject) {
          ApplyObject(*aObject);
        } else if (aFault == StoreError::NotFound) {
          dependencies_.fleet.rollouts.Remove(aService);
        } else {
          BackOff(aService);
        }
      });
  }

  void BackOff(const std::string& aService)
  {
    PendingWrite& pending = pendingWrites_[aService];
    pending.backoff =
      std::clamp(pending.backoff * 2, kInitialBackoff, kMaxBackoff);
    pending.notBefore = dependencies_.timers.Now() + pending.backoff;
  }

  void ApplyObject(const Object& aObject)
  {
    std::string reason;
    if (const auto order =
          dependencies_.storeCodec.ReadRollout(aObject, reason)) {
      ApplyRolloutOrder(
        *order, instanceName_, dependencies_.fleet, dependencies_.timers.Now());
    }
  }

  std::string instanceName_;
  RolloutWriterDependencies dependencies_;
  std::map<std::string, PendingWrite> pendingWrites_;
  std::size_t writeCount_ = 0;
};

} // namespace

std::unique_ptr<RolloutWriter>
MakeRolloutWriter(std::string aInstanceName,
                  RolloutWriterDependencies aDependencies)
{
  return std::make_unique<StoreRolloutWriter>(std::move(aInstanceName),
                                              aDependencies);
}

} // namespace hibiscusnotch::entry
