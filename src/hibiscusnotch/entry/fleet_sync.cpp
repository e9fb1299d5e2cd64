#include "hibiscusnotch/entry/fleet_sync.hpp"

#include "hibiscusnotch/entry/mirror_role.hpp"
#include "hibiscusnotch/store/watcher.hpp"

#include <algorithm>
#include <cstdint>
#include <limits>
#include <optional>
#include <random>
#include <set>
#include <utility>
#include <vector>

namespace hibiscusnotch::entry {

namespace {

using core::EventNumber;
using store::Change;
using store::Object;
using store::StoreError;
using store::StoreVersion;

constexpr Duration kSweepInterval{ 250'000 };
constexpr Duration kBootstrapListDelay{ 350'000 };     // all start within 0.3 s
constexpr Duration kConfigurationBatchDelay{ 50'000 }; // for bursts
constexpr Duration kFallbackConfigurationBatchDelay{ 300'000 };
// A watch that returns a change confirms the keys only as of the watch's start,
// so the next one is short to confirm them well before they expire.
constexpr Duration kWatchTimeoutAfterChange{ 500'000 };
constexpr uint32_t kFailuresBeforeDelete = 4; // about ten seconds
constexpr Duration kRegisterRetryDelay{ 1'000'000 };
// All instances that a restored store has forgotten register again within it.
constexpr double kReregisterSpreadSeconds = 1;
// Objects that a restored store lacks count for this time: operators and other
// instances write them again.
constexpr Duration kRestoredObjectHold{ 5'000'000 };
// Of a name or reason in a log line.
constexpr std::size_t kMaxLoggedText = 120;
// More changes of upstreams at once are logged as counts.
constexpr std::size_t kMaxUpstreamLines = 4;

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
    case StoreError::WatchLost:
      return "watch_lost";
    case StoreError::WatchOutdated:
      return "watch_outdated";
  }
  return "no_answer";
}

/// Zero if the value is no whole number above it.
uint64_t
ReadCount(const nlohmann::json& aValue)
{
  const bool positive =
    aValue.is_number_unsigned() ||
    (aValue.is_number_integer() && aValue.get<int64_t>() > 0);
  return positive ? aValue.get<uint64_t>() : 0;
}

/// @param aLastReason Set if the object cannot be read.
std::optional<InstanceInfo>
ReadInstance(const Object& aObject, std::string& aLastReason)
{
  InstanceInfo instance;
  try {
    const store::ValueView spec = aObject.spec.View();
    instance.endpoint.address = spec.At("ip").Scalar().get<std::string>();
    const auto port = ReadCount(spec.At("port").Scalar());
    // The next port is that of forwarded requests.
    if (port == 0 || port >= std::numeric_limits<uint16_t>::max()) {
      aLastReason = "port out of range";
      return std::nullopt;
    }
    instance.endpoint.port = static_cast<uint16_t>(port);
    instance.zone = spec.At("zone").Scalar().get<std::string>();
    if (const auto capacity = spec.Find("capacity")) {
      instance.capacity = static_cast<uint32_t>(std::min<uint64_t>(
        ReadCount(capacity->Scalar()), std::numeric_limits<uint32_t>::max()));
    }
  } catch (const std::exception& aError) {
    aLastReason = aError.what();
    return std::nullopt;
  }
  return instance;
}

/// Text of other writers as part of a log line.
std::string
Printable(std::string_view aText)
{
  std::string text(aText.substr(0, kMaxLoggedText));
  std::ranges::replace_if(
    text,
    [](char aCharacter) {
      return aCharacter <= ' ' || aCharacter > '~' || aCharacter == '"';
    },
    '_');
  return text;
}

class StoreFleetSync : public FleetSync
{
public:
  StoreFleetSync(FleetSyncOptions aOptions, FleetSyncDependencies aDependencies)
    : options_(std::move(aOptions))
    , dependencies_(std::move(aDependencies))
  {
    AddInstance(dependencies_.fleet,
                options_.instanceName,
                { options_.peerEndpoint, options_.zone, options_.capacity });
    dependencies_.fleet.sharesFrom = TimePoint::max();
    Register();
    // Instances that start together find each other in the first list.
    dependencies_.timers.After(options_.bootstrap ? kBootstrapListDelay
                                                  : Duration::zero(),
                               [this] { WatchInstances(); });
    Sweep();
  }

  void Deregister() override
  {
    if (std::exchange(leaving_, true)) {
      return;
    }
    dependencies_.directStore.Delete(
      dependencies_.storeCodec.Kinds().instances,
      options_.instanceName,
      [](const std::optional<Object>&, StoreError) {
        // A stale registration only makes the others count one instance too
        // many.
      });
  }

  void GiveUpShares() override
  {
    if (dependencies_.fleet.sharesFrom != TimePoint::max()) {
      dependencies_.fleet.sharesFrom = TimePoint::max();
      ++dependencies_.fleet.membership;
    }
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
  /// What to do with the objects of one kind.
  struct KindHandlers
  {
    std::function<void(const Object&)> onObject;
    std::function<void(const std::string&)> onRemoved;
    std::function<void(TimePoint)> onConfirmed = [](TimePoint) {};
    /// Objects that a restored store lacks are removed after this time, unless
    /// they are written again.
    Duration restoredHold{ 0 };
    /// A restored store was listed; these names were known and are missing.
    std::function<void(const std::set<std::string>&)> onRestored =
      [](const std::set<std::string>&) {};
  };

  /// Changes that arrived together.
  struct UpstreamChanges
  {
    std::size_t seen = 0;
    std::size_t leaving = 0;
    std::size_t gone = 0;
    std::vector<core::LogEvent> lines; ///< Of the first ones.
  };

  struct WatchedKind
  {
    std::string kind;
    KindHandlers handlers;
    std::optional<uint64_t> era;
    std::set<std::string> known;
    std::set<std::string> held; ///< Missing in a restored store.
  };

  void Watch(const std::string& aKind,
             Duration aWatchTimeout,
             KindHandlers aHandlers)
  {
    auto watched = std::make_shared<WatchedKind>();
    watched->kind = aKind;
    watched->handlers = std::move(aHandlers);
    store::WatcherObserver observer;
    observer.onList = [this, watched](const std::vector<Object>& aObjects,
                                      StoreVersion aAsOf) {
      dependencies_.mirrors.MirrorOf(watched->kind).ApplyList(aObjects, aAsOf);
      SchedulePublish(watched->kind);
      OnList(*watched, aObjects, aAsOf.era);
      if (!watched->held.empty()) {
        dependencies_.timers.After(watched->handlers.restoredHold,
                                   [watched] { RemoveHeld(*watched); });
      }
    };
    observer.onChange = [this, watched](const Change& aChange,
                                        StoreVersion aAsOf) {
      dependencies_.mirrors.MirrorOf(watched->kind).Apply(aChange, aAsOf);
      SchedulePublish(watched->kind);
      const std::string& name = aChange.object.name;
      watched->held.erase(name);
      if (aChange.removed) {
        ForgetUnreadable(watched->kind, name);
        watched->known.erase(name);
        watched->handlers.onRemoved(name);
      } else {
        watched->known.insert(name);
        watched->handlers.onObject(aChange.object);
      }
    };
    observer.onConfirmed = [this, watched](TimePoint aTime) {
      TimePoint& confirmedAt =
        dependencies_.fleet.listsConfirmedAt[watched->kind];
      confirmedAt = std::max(confirmedAt, aTime);
      watched->handlers.onConfirmed(aTime);
      dependencies_.mirrors.SetRestoreEnd(RestoreEnd());
      dependencies_.mirrors.ConfirmUpTo(watched->kind, aTime);
    };
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

  /// Applies a list and removes the objects that it no longer contains.
  void OnList(WatchedKind& aWatched,
              const std::vector<Object>& aObjects,
              uint64_t aEra)
  {
    const bool restored = aWatched.era && aEra > *aWatched.era;
    if (restored) {
      OnStoreRestored(aEra);
    }
    if (dependencies_.fleet.storeEra == 0) {
      dependencies_.fleet.storeEra = aEra;
    }
    aWatched.era = aEra;
    std::set<std::string> missing = std::move(aWatched.known);
    aWatched.known.clear();
    for (const Object& object : aObjects) {
      aWatched.known.insert(object.name);
      missing.erase(object.name);
      aWatched.held.erase(object.name);
      aWatched.handlers.onObject(object);
    }
    if (restored) {
      aWatched.handlers.onRestored(missing);
      if (aWatched.handlers.restoredHold > Duration::zero()) {
        aWatched.held.merge(missing);
        return;
      }
    }
    for (const std::string& name : missing) {
      ForgetUnreadable(aWatched.kind, name);
      aWatched.handlers.onRemoved(name);
    }
  }

  static void RemoveHeld(WatchedKind& aWatched)
  {
    const std::set<std::string> held = std::exchange(aWatched.held, {});
    for (const std::string& name : held) {
      aWatched.handlers.onRemoved(name);
    }
  }

  void OnStoreRestored(uint64_t aEra)
  {
    if (aEra <= dependencies_.fleet.storeEra) {
      return; // another kind was listed first
    }
    dependencies_.log.Write(EventNumber::StoreRestored,
                            "era=" + std::to_string(aEra) + " former=" +
                              std::to_string(dependencies_.fleet.storeEra));
    dependencies_.fleet.storeEra = aEra;
    dependencies_.fleet.upstreams.OnStoreRestored(dependencies_.timers.Now());
  }

  store::WatcherOptions OptionsFor(const std::string& aKind,
                                   Duration aWatchTimeout) const
  {
    store::WatcherOptions options;
    options.kind = aKind;
    options.watchTimeout = aWatchTimeout;
    options.fallbackWatchTimeout = aWatchTimeout;
    if (aKind == dependencies_.storeCodec.Kinds().configuration) {
      options.batchDelay = kConfigurationBatchDelay;
      options.fallbackBatchDelay = kFallbackConfigurationBatchDelay;
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
        FlushUpstreamLines();
        dependencies_.mirrors.Publish(aKind);
      });
    }
  }

  /// An outage of the store concerns all kinds, whichever watch noticed it.
  TimePoint RestoreEnd() const
  {
    TimePoint end{};
    for (const auto& watcher : watchers_) {
      end = std::max(end, watcher->RestoreEnd());
    }
    return end;
  }

  void WatchInstances()
  {
    KindHandlers handlers;
    handlers.onObject = [this](const Object& aObject) { OnInstance(aObject); };
    handlers.onRemoved = [this](const std::string& aName) {
      if (aName == options_.instanceName) {
        OnOwnRegistrationGone();
      } else {
        RemoveInstance(dependencies_.fleet, aName, dependencies_.timers.Now());
      }
    };
    handlers.onConfirmed = [this](TimePoint) { WatchOtherKinds(); };
    handlers.restoredHold = kRestoredObjectHold;
    handlers.onRestored = [this](const std::set<std::string>& aMissing) {
      if (aMissing.contains(options_.instanceName)) {
        std::uniform_real_distribution<double> spread(0,
                                                      kReregisterSpreadSeconds);
        dependencies_.timers.After(core::FromSeconds(spread(random_)),
                                   [this] { Register(); });
      }
    };
    Watch(dependencies_.storeCodec.Kinds().instances,
          options_.watchTimeout,
          std::move(handlers));
  }

  /// Watches the other kinds once it is known which peers have mirrors.
  void WatchOtherKinds()
  {
    if (watchers_.size() > 1) {
      return;
    }
    dependencies_.fleet.instancesKnown = true;
    WatchConfiguration();
    WatchUpstreams();
    WatchRollouts();
    WatchEvacuations();
  }

  void WatchConfiguration()
  {
    const std::string kind = dependencies_.storeCodec.Kinds().configuration;
    configurationWatcher_ = watchers_.size();
    KindHandlers handlers;
    handlers.onObject = [this](const Object& aObject) {
      OnConfiguration(aObject);
    };
    handlers.onRemoved = [](const std::string&) {}; // the last one stays
    handlers.onConfirmed = [this](TimePoint aTime) {
      TimePoint& confirmedAt = dependencies_.fleet.configurationConfirmedAt;
      confirmedAt = std::max(confirmedAt, aTime);
      // Peers poll often until they see this.
      dependencies_.mirrors.SetConnected(true);
    };
    Watch(kind, options_.configurationWatchTimeout, std::move(handlers));
  }

  void WatchRollouts()
  {
    KindHandlers handlers;
    handlers.onObject = [this](const Object& aObject) { OnRollout(aObject); };
    handlers.onRemoved = [this](const std::string& aName) {
      dependencies_.fleet.rollouts.Remove(aName);
    };
    handlers.restoredHold = kRestoredObjectHold;
    Watch(dependencies_.storeCodec.Kinds().rollouts,
          options_.watchTimeout,
          std::move(handlers));
  }

  void WatchEvacuations()
  {
    KindHandlers handlers;
    handlers.onObject = [this](const Object& aObject) {
      SetZoneEvacuated(aObject.name, true);
    };
    handlers.onRemoved = [this](const std::string& aName) {
      SetZoneEvacuated(aName, false);
    };
    handlers.restoredHold = kRestoredObjectHold;
    Watch(dependencies_.storeCodec.Kinds().evacuations,
          options_.watchTimeout,
          std::move(handlers));
  }

  void WatchUpstreams()
  {
    KindHandlers handlers;
    handlers.onObject = [this](const Object& aObject) {
      dependencies_.fleet.upstreamsKnown = true;
      OnUpstream(aObject);
    };
    handlers.onRemoved = [this](const std::string& aName) {
      const TimePoint now = dependencies_.timers.Now();
      routing::UpstreamTable& upstreams = dependencies_.fleet.upstreams;
      const TimePoint mayReturnUntil =
        std::max(RestoreEnd(), upstreams.RestoreEnd());
      const bool mayReturn = now < mayReturnUntil;
      ++upstreamChanges_.gone;
      LogUpstream(EventNumber::UpstreamGone, [&] {
        return "upstream=" + aName + " may_return=" +
               (mayReturn
                  ? "yes within_ms=" +
                      std::to_string((mayReturnUntil - now).count() / 1000)
                  : "no");
      });
      if (mayReturn) {
        upstreams.Lapse(aName, mayReturnUntil);
      } else {
        upstreams.Remove(aName, now);
      }
    };
    handlers.onConfirmed = [this](TimePoint) {
      dependencies_.fleet.upstreamsKnown = true;
    };
    Watch(dependencies_.storeCodec.Kinds().upstreams,
          options_.watchTimeout,
          std::move(handlers));
  }

  /// Keeps the line until all changes that arrived together are applied.
  template<class Detail>
  void LogUpstream(EventNumber aNumber, const Detail& aDetail)
  {
    if (upstreamChanges_.lines.size() < kMaxUpstreamLines) {
      upstreamChanges_.lines.push_back({ aNumber, aDetail() });
    }
  }

  void FlushUpstreamLines()
  {
    const UpstreamChanges changes = std::exchange(upstreamChanges_, {});
    if (changes.seen + changes.gone > kMaxUpstreamLines) {
      dependencies_.log.Write(
        EventNumber::UpstreamsChanged,
        "seen=" + std::to_string(changes.seen) +
          " leaving=" + std::to_string(changes.leaving) +
          " gone=" + std::to_string(changes.gone) + " total=" +
          std::to_string(dependencies_.fleet.upstreams.Rows().size()));
      return;
    }
    for (const core::LogEvent& line : changes.lines) {
      dependencies_.log.Write(line.number, line.detail);
    }
  }

  void LogUnreadable(const std::string& aKind,
                     const Object& aObject,
                     const std::string& aReason)
  {
    uint64_t& logged = dependencies_.fleet.unreadableObjects[aKind]
                         .emplace(aObject.name, 0)
                         .first->second;
    if (logged == aObject.revision && aObject.revision != 0) {
      return; // the same version, listed again
    }
    logged = aObject.revision;
    dependencies_.log.Write(EventNumber::ObjectUnreadable,
                            "kind=" + aKind +
                              " name=" + Printable(aObject.name) +
                              " revision=" + std::to_string(aObject.revision) +
                              " why=\"" + Printable(aReason) + '"');
  }

  /// The object can be read again or is gone.
  void ForgetUnreadable(const std::string& aKind, const std::string& aName)
  {
    dependencies_.fleet.unreadableObjects[aKind].erase(aName);
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
    ForgetUnreadable(dependencies_.storeCodec.Kinds().configuration,
                     aObject.name);
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
      dependencies_.fleet.upstreams.Remove(aObject.name, now);
      return;
    }
    ForgetUnreadable(dependencies_.storeCodec.Kinds().upstreams, aObject.name);
    ++upstreamChanges_.seen;
    upstreamChanges_.leaving += entry->leaving ? 1 : 0;
    LogUpstream(EventNumber::UpstreamSeen, [&] {
      return "upstream=" + entry->name + " service=" + entry->service +
             " zone=" + entry->zone + " software=" + entry->softwareVersion +
             " leaving=" + (entry->leaving ? "yes" : "no") +
             " cold_ms=" + std::to_string(entry->coldRemaining.count() / 1000) +
             " revision=" + std::to_string(aObject.revision);
    });
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
    ForgetUnreadable(dependencies_.storeCodec.Kinds().rollouts, aObject.name);
    dependencies_.log.Write(
      EventNumber::RolloutOrdered,
      "service=" + order->service + " target=" + order->target +
        " state=" + std::to_string(static_cast<int>(order->state)) +
        " revision=" + std::to_string(order->revision));
    ApplyRolloutOrder(*order,
                      options_.instanceName,
                      dependencies_.fleet,
                      dependencies_.timers.Now());
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
    const std::string& kind = dependencies_.storeCodec.Kinds().instances;
    std::string reason = aObject.unreadable;
    const auto instance =
      reason.empty() ? ReadInstance(aObject, reason) : std::nullopt;
    if (!instance) {
      LogUnreadable(kind, aObject, reason);
      return;
    }
    ForgetUnreadable(kind, aObject.name);
    AddInstance(dependencies_.fleet, aObject.name, *instance);
    if (aObject.name == options_.instanceName &&
        !std::exchange(registered_, true) && !leaving_) {
      dependencies_.fleet.sharesFrom =
        dependencies_.timers.Now() + kShareHandover;
    }
  }

  void OnOwnRegistrationGone()
  {
    registered_ = false;
    if (!leaving_) {
      // A peer deleted it as unreachable; the others divide its shares soon.
      GiveUpShares();
      Register();
    }
  }

  void Register()
  {
    if (leaving_) {
      return;
    }
    Object row;
    row.name = options_.instanceName;
    row.spec =
      store::EncodedValue::FromJson({ { "ip", options_.peerEndpoint.address },
                                      { "port", options_.peerEndpoint.port },
                                      { "zone", options_.zone },
                                      { "capacity", options_.capacity } });
    dependencies_.directStore.Create(
      dependencies_.storeCodec.Kinds().instances,
      row,
      [this](const std::optional<Object>& aObject, StoreError aFault) {
        const bool registered = aObject || aFault == StoreError::Conflict;
        if (!registered) {
          dependencies_.timers.After(kRegisterRetryDelay,
                                     [this] { Register(); });
        }
      });
  }

  void Sweep()
  {
    UpdateShares(dependencies_.fleet, dependencies_.timers.Now());
    dependencies_.fleet.upstreams.Sweep(dependencies_.timers.Now());
    dependencies_.fleet.crashEvidence.Sweep(dependencies_.timers.Now());
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
  UpstreamChanges upstreamChanges_;
  std::minstd_rand random_{ std::random_device{}() };
  bool leaving_ = false;
  bool registered_ = false; ///< As this instance has read it.
};

} // namespace

std::unique_ptr<FleetSync>
MakeFleetSync(FleetSyncOptions aOptions, FleetSyncDependencies aDependencies)
{
  return std::make_unique<StoreFleetSync>(std::move(aOptions),
                                          std::move(aDependencies));
}

} // namespace hibiscusnotch::entry
