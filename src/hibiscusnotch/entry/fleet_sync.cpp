#include "hibiscusnotch/entry/fleet_sync.hpp"

#include "hibiscusnotch/entry/mirror_role.hpp"
#include "hibiscusnotch/store/watcher.hpp"

#include <algorithm>
#include <cstdint>
#include <set>
#include <vector>

namespace hibiscusnotch::entry {

namespace {

using core::EventNumber;
using store::Change;
using store::Object;
using store::StoreError;

constexpr Duration kSweepInterval{ 250'000 };
constexpr Duration kBootstrapListDelay{ 350'000 };     // all start within 0.3 s
constexpr Duration kConfigurationBatchDelay{ 50'000 }; // for bursts
// A watch that returns a change confirms the keys only as of the watch's start,
// so the next one is short to confirm them well before they expire.
constexpr Duration kWatchTimeoutAfterChange{ 500'000 };
constexpr uint32_t kFailuresBeforeDelete = 4; // about ten seconds
constexpr Duration kRegisterRetryDelay{ 1'000'000 };

std::string
ErrorName(StoreError aFault)
{
  switch (aFault) {
    case StoreError::None:
      return "none";
    case StoreError::HistoryGone:
      return "history_gone";
    case StoreError::Conflict:
      return "conflict";
    case StoreError::NotFound:
      return "missing";
    case StoreError::Refused:
      return "refused";
    case StoreError::NoResponse:
      return "no_answer";
    case StoreError::MirrorFailed:
      return "source_lost";
  }
  return "no_answer";
}

class StoreFleetSync : public FleetSync
{
public:
  StoreFleetSync(FleetSyncOptions aOptions, FleetSyncDependencies aDependencies)
    : options_(std::move(aOptions))
    , dependencies_(std::move(aDependencies))
  {
    dependencies_.fleet.instances[options_.instanceName] = {
      options_.peerEndpoint, options_.zone
    };
    Register();
    // Instances that start together find each other in the first list.
    dependencies_.timers.After(options_.bootstrap ? kBootstrapListDelay
                                                  : Duration::zero(),
                               [this] { WatchInstances(); });
    Sweep();
  }

  void Deregister() override
  {
    leaving_ = true;
    dependencies_.directStore.Delete(
      dependencies_.storeCodec.Kinds().instances,
      options_.instanceName,
      [](const std::optional<Object>&, StoreError) {
        // A stale registration only makes the others count one instance too
        // many.
      });
  }

  void OnPeerUnreachable(const std::string& aPeer,
                         uint32_t aFailureCount) override
  {
    dependencies_.log.Write(EventNumber::PeerSuspected,
                            "peer=" + aPeer +
                              " unreachable=" + std::to_string(aFailureCount));
    if (aFailureCount < kFailuresBeforeDelete) {
      return;
    }
    dependencies_.log.Write(EventNumber::PeerDead, "peer=" + aPeer);
    dependencies_.directStore.Delete(
      dependencies_.storeCodec.Kinds().instances,
      aPeer,
      [](const std::optional<Object>&, StoreError) {
        // Retried when the peer is next found unreachable.
      });
  }

private:
  using ObjectHandler = std::function<void(const Object&)>;
  using RemovalHandler = std::function<void(const std::string&)>;
  using ConfirmHandler = std::function<void(TimePoint)>;

  /// Watches a kind; a list also removes the objects that it no longer
  /// contains.
  void Watch(
    const std::string& aKind,
    Duration aWatchTimeout,
    const ObjectHandler& aOnObject,
    const RemovalHandler& aOnRemoved,
    ConfirmHandler aOnConfirmed = [](TimePoint) {})
  {
    auto known = std::make_shared<std::set<std::string>>();
    store::WatcherObserver observer;
    observer.onList = [this, aKind, known, aOnObject, aOnRemoved](
                        const std::vector<Object>& aObjects, uint64_t aAsOf) {
      dependencies_.mirrors.MirrorOf(aKind).ApplyList(aObjects, aAsOf);
      SchedulePublish(aKind);
      std::set<std::string> names;
      for (const Object& object : aObjects) {
        names.insert(object.name);
        aOnObject(object);
      }
      for (const std::string& name : *known) {
        if (!names.contains(name)) {
          aOnRemoved(name);
        }
      }
      *known = std::move(names);
    };
    observer.onChange = [this, aKind, known, aOnObject, aOnRemoved](
                          const Change& aChange, uint64_t aAsOf) {
      dependencies_.mirrors.MirrorOf(aKind).Apply(aChange, aAsOf);
      SchedulePublish(aKind);
      if (aChange.removed) {
        known->erase(aChange.object.name);
        aOnRemoved(aChange.object.name);
      } else {
        known->insert(aChange.object.name);
        aOnObject(aChange.object);
      }
    };
    observer.onConfirmed = std::move(aOnConfirmed);
    observer.onDisconnected = [this, aKind](StoreError aFault) {
      dependencies_.log.Write(EventNumber::StoreLost,
                              "kind=" + aKind + " why=" + ErrorName(aFault));
    };
    observer.onReconnected = [this, aKind] {
      dependencies_.log.Write(EventNumber::StoreRegained, "kind=" + aKind);
    };
    watchers_.push_back(store::MakeWatcher(dependencies_.mirroredStore,
                                           dependencies_.timers,
                                           OptionsFor(aKind, aWatchTimeout),
                                           std::move(observer)));
  }

  store::WatcherOptions OptionsFor(const std::string& aKind,
                                   Duration aWatchTimeout) const
  {
    store::WatcherOptions options;
    options.kind = aKind;
    options.watchTimeout = aWatchTimeout;
    if (aKind == dependencies_.storeCodec.Kinds().configuration) {
      options.batchDelay = kConfigurationBatchDelay;
      options.watchTimeoutAfterChange = kWatchTimeoutAfterChange;
    }
    return options;
  }

  /// Answers the peers' long polls once a whole batch of changes is applied.
  void SchedulePublish(const std::string& aKind)
  {
    if (scheduledPublishes_.insert(aKind).second) {
      dependencies_.timers.After(Duration::zero(), [this, aKind] {
        scheduledPublishes_.erase(aKind);
        dependencies_.mirrors.SetRecentOutage(AnyRecentOutage());
        dependencies_.mirrors.Publish(aKind);
      });
    }
  }

  bool AnyRecentOutage() const
  {
    const TimePoint now = dependencies_.timers.Now();
    return std::ranges::any_of(watchers_, [now](const auto& aWatcher) {
      return aWatcher->HadRecentOutage(now);
    });
  }

  void WatchInstances()
  {
    Watch(
      dependencies_.storeCodec.Kinds().instances,
      options_.watchTimeout,
      [this](const Object& aObject) { OnInstance(aObject); },
      [this](const std::string& aName) {
        if (aName == options_.instanceName) {
          Register(); // a peer deleted it as unreachable
        } else {
          dependencies_.fleet.instances.erase(aName);
        }
      },
      [this](TimePoint) { WatchOtherKinds(); });
  }

  /// Watches the other kinds once it is known which peers have mirrors.
  void WatchOtherKinds()
  {
    if (watchers_.size() > 1) {
      return;
    }
    const StoreKinds& kinds = dependencies_.storeCodec.Kinds();
    configurationWatcher_ = watchers_.size();
    Watch(
      kinds.configuration,
      options_.configurationWatchTimeout,
      [this](const Object& aObject) { OnConfiguration(aObject); },
      [](const std::string&) {},
      [this](TimePoint aTime) {
        dependencies_.fleet.configurationConfirmedAt =
          std::max(dependencies_.fleet.configurationConfirmedAt, aTime);
        dependencies_.mirrors.ConfirmUpTo(aTime);
        // Peers poll often until they see this.
        dependencies_.mirrors.SetConnected(true);
      });
    WatchUpstreams();
    Watch(
      kinds.rollouts,
      options_.watchTimeout,
      [this](const Object& aObject) { OnRollout(aObject); },
      [this](const std::string& aName) {
        dependencies_.fleet.rollouts.Remove(aName);
      });
    Watch(
      kinds.evacuations,
      options_.watchTimeout,
      [this](const Object& aObject) { SetZoneEvacuated(aObject.name, true); },
      [this](const std::string& aName) { SetZoneEvacuated(aName, false); });
  }

  void WatchUpstreams()
  {
    const std::size_t row = watchers_.size();
    Watch(
      dependencies_.storeCodec.Kinds().upstreams,
      options_.watchTimeout,
      [this](const Object& aObject) {
        dependencies_.fleet.upstreamsKnown = true;
        OnUpstream(aObject);
      },
      [this, row](const std::string& aName) {
        const TimePoint now = dependencies_.timers.Now();
        const bool mayReturn = watchers_[row]->HadRecentOutage(now);
        dependencies_.log.Write(EventNumber::UpstreamGone,
                                "upstream=" + aName +
                                  " may_return=" + (mayReturn ? "yes" : "no"));
        dependencies_.fleet.upstreams.Remove(aName, mayReturn, now);
      },
      [this](TimePoint) { dependencies_.fleet.upstreamsKnown = true; });
  }

  void LogUnreadable(const std::string& aKind,
                     const Object& aObject,
                     const std::string& aReason)
  {
    dependencies_.log.Write(EventNumber::ObjectUnreadable,
                            "kind=" + aKind + " name=" + aObject.name +
                              " revision=" + std::to_string(aObject.revision) +
                              " why=\"" + aReason + '"');
  }

  void OnConfiguration(const Object& aObject)
  {
    std::string reason;
    auto configuration =
      dependencies_.storeCodec.ReadConfiguration(aObject, reason);
    if (!configuration) {
      LogUnreadable(
        dependencies_.storeCodec.Kinds().configuration, aObject, reason);
      return;
    }
    const auto& current = dependencies_.fleet.configuration;
    if (current && configuration->version <= current->version) {
      return;
    }
    dependencies_.log.Write(
      EventNumber::ConfigurationApplied,
      "version=" + std::to_string(configuration->version) +
        " routes=" + std::to_string(configuration->routes.size()));
    dependencies_.fleet.configuration =
      std::make_shared<const routing::Configuration>(std::move(*configuration));
    dependencies_.onConfigurationApplied();
  }

  void OnUpstream(const Object& aObject)
  {
    std::string reason;
    const auto entry = dependencies_.storeCodec.ReadUpstream(aObject, reason);
    const TimePoint now = dependencies_.timers.Now();
    if (!entry) {
      LogUnreadable(
        dependencies_.storeCodec.Kinds().upstreams, aObject, reason);
      dependencies_.fleet.upstreams.Remove(aObject.name, false, now);
      return;
    }
    dependencies_.log.Write(
      EventNumber::UpstreamSeen,
      "upstream=" + entry->name + " service=" + entry->service +
        " zone=" + entry->zone + " software=" + entry->softwareVersion +
        " leaving=" + (entry->leaving ? "yes" : "no") +
        " cold_ms=" + std::to_string(entry->coldRemaining.count() / 1000) +
        " revision=" + std::to_string(aObject.revision));
    dependencies_.fleet.upstreams.Apply(*entry, now);
  }

  void OnRollout(const Object& aObject)
  {
    std::string reason;
    const auto order = dependencies_.storeCodec.ReadRollout(aObject, reason);
    if (!order) {
      LogUnreadable(dependencies_.storeCodec.Kinds().rollouts, aObject, reason);
      return;
    }
    dependencies_.log.Write(
      EventNumber::RolloutOrdered,
      "service=" + order->service + " target=" + order->target +
        " state=" + std::to_string(static_cast<int>(order->state)) +
        " revision=" + std::to_string(order->revision));
    dependencies_.fleet.rollouts.Apply(
      *order, dependencies_.timers.Now(), dependencies_.fleet.InstanceCount());
  }

  void SetZoneEvacuated(const std::string& aZone, bool aEvacuated)
  {
    dependencies_.log.Write(aEvacuated ? EventNumber::ZoneTakenOut
                                       : EventNumber::ZoneTakenBack,
                            "zone=" + aZone);
    if (aEvacuated) {
      dependencies_.fleet.evacuatedZones.insert(aZone);
    } else {
      dependencies_.fleet.evacuatedZones.erase(aZone);
    }
  }

  void OnInstance(const Object& aObject)
  {
    InstanceInfo row;
    try {
      row.endpoint.address = aObject.spec.at("ip").get<std::string>();
      row.endpoint.port = aObject.spec.at("port").get<uint16_t>();
      row.zone = aObject.spec.at("zone").get<std::string>();
    } catch (const nlohmann::json::exception& aError) {
      LogUnreadable(
        dependencies_.storeCodec.Kinds().instances, aObject, aError.what());
    }
    dependencies_.fleet.instances[aObject.name] = std::move(row);
  }

  void Register()
  {
    Object row;
    row.name = options_.instanceName;
    row.spec = { { "ip", options_.peerEndpoint.address },
                 { "port", options_.peerEndpoint.port },
                 { "zone", options_.zone } };
    dependencies_.directStore.Create(
      dependencies_.storeCodec.Kinds().instances,
      row,
      [this](const std::optional<Object>& aObject, StoreError aFault) {
        const bool registered = aObject || aFault == StoreError::Conflict;
        if (!registered && !leaving_) {
          dependencies_.timers.After(kRegisterRetryDelay,
                                     [this] { Register(); });
        }
      });
  }

  void Sweep()
  {
    dependencies_.fleet.upstreams.Sweep(dependencies_.timers.Now());
    if (configurationWatcher_ < watchers_.size()) {
      store::Watcher& watcher = *watchers_[configurationWatcher_];
      dependencies_.mirrors.SetConnected(!watcher.Disconnected());
      watcher.SetWatchTimeout(
        ZoneUsesMirrors(dependencies_.fleet, options_.zone)
          ? options_.mirroredConfigurationWatchTimeout
          : options_.configurationWatchTimeout);
    }
    dependencies_.timers.After(kSweepInterval, [this] { Sweep(); });
  }

  FleetSyncOptions options_;
  FleetSyncDependencies dependencies_;
  std::vector<std::unique_ptr<store::Watcher>> watchers_;
  std::size_t configurationWatcher_ = SIZE_MAX;
  std::set<std::string> scheduledPublishes_;
  bool leaving_ = false;
};

} // namespace

std::unique_ptr<FleetSync>
MakeFleetSync(FleetSyncOptions aOptions, FleetSyncDependencies aDependencies)
{
  return std::make_unique<StoreFleetSync>(std::move(aOptions),
                                          std::move(aDependencies));
}

} // namespace hibiscusnotch::entry
