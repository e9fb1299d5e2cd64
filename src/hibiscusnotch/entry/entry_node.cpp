#include "hibiscusnotch/entry/entry_node.hpp"

#include "hibiscusnotch/entry/mirror_role.hpp"
#include "hibiscusnotch/entry/rollout_writer.hpp"
#include "hibiscusnotch/store/loss_detecting_store.hpp"
#include "hibiscusnotch/store/mirrored_store.hpp"

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/system/system_error.hpp>
#include <sys/resource.h>
#include <utility>
#include <vector>

namespace hibiscusnotch::entry {

namespace {

using core::EventNumber;

// The load balancer checks once a second and moves callers away after two
// failed checks. Later requests could be cut off by the end of the process.
constexpr Duration kBalancerRemovalDelay{ 2'800'000 };
constexpr Duration kDrainPollInterval{ 100'000 };
// The readers of this instance's mirror leave it within this time. Until then
// its registration keeps its shares of upstreams' limits for it.
constexpr Duration kSendsAfterDeregistration{ 1'000'000 };
// New requests are refused after this part of the grace period at the latest,
// so that those which were accepted have time to end.
constexpr int kAcceptGraceDivisor = 2;
// Part of the grace period that is left for the exit itself.
constexpr Duration kExitMargin{ 700'000 };
// Longer than the interval between confirmations. The load balancer takes two
// more seconds to react.
constexpr Duration kMaxConfigurationAge{ 2'600'000 };
constexpr Duration kGaugeInterval{ 2'000'000 };
// While another process holds the port for metrics.
constexpr Duration kMetricsRetryInterval{ 2'000'000 };
// Seeds that start together with this instance need a moment to read the store.
constexpr std::size_t kMaxBootstrapSeedAttempts = 10;
constexpr std::size_t kMaxSeedAttempts = 2;

relay::ListenerOptions
ListenerOptionsFor(const core::Endpoint& aEndpoint)
{
  relay::ListenerOptions options;
  options.endpoint = aEndpoint;
  return options;
}

relay::ListenerOptions
ReadinessOptionsFor(const core::Endpoint& aEndpoint)
{
  relay::ListenerOptions options = ListenerOptionsFor(aEndpoint);
  options.usesReserve = true;
  return options;
}

EventLogOptions
EventLogOptionsFor(const std::string& aSource)
{
  EventLogOptions options;
  options.source = aSource;
  return options;
}

PeerExchangeOptions
PeerExchangeOptionsFor(const EntryNodeOptions& aOptions)
{
  PeerExchangeOptions options;
  options.instanceName = aOptions.instanceName;
  options.endpoint = aOptions.peerEndpoint;
  options.zone = aOptions.router.zone;
  return options;
}

store::MirroredStoreOptions
MirroredStoreOptionsFor(const StoreCodec& aCodec)
{
  store::MirroredStoreOptions options;
  options.probeKind = aCodec.Kinds().configuration;
  options.reduceObject = [&aCodec](const std::string& aKind,
                                   store::Object& aObject) {
    aCodec.ReduceObject(aKind, aObject);
  };
  return options;
}

class Node : public EntryNode
{
public:
  Node(boost::asio::io_context& aContext,
       EntryNodeOptions aOptions,
       const EntryNodeDependencies& aDependencies)
    : context_(aContext)
    , options_(std::move(aOptions))
    , timers_(relay::MakeTimers(aContext, relay::BootClock()))
    , log_(*timers_, EventLogOptionsFor(options_.instanceName))
    , reserve_(*timers_, DescriptorObserver())
    , client_(relay::MakeOutboundClient(aContext, *timers_, &reserve_))
    , storeClient_(aDependencies.makeStore(*client_, *timers_))
    , metrics_(observe::MakeMetrics())
    , store_(store::MakeLossDetectingStore(*storeClient_,
                                           *timers_,
                                           {},
                                           LossObserver()))
    , router_(MakeRequestRouter(options_.router,
                                { *timers_,
                                  *client_,
                                  aDependencies.headerCodec,
                                  fleet_,
                                  log_,
                                  *metrics_ }))
    , unsentBudget_(
        options_.unsentBudgetBytes,
        [this](const relay::EndedExchange& aEnded) {
          log_.Write(EventNumber::SlowReaderEnded,
                     "bytes=" + std::to_string(aEnded.bytes) + " unread_ms=" +
                       std::to_string(aEnded.unread.count() / 1000));
        })
    , bodyBudget_(options_.bodyBudgetBytes,
                  [this] {
                    log_.Write(EventNumber::BodiesWait,
                               "held=" +
                                 std::to_string(bodyBudget_.HeldBytes()));
                  })
    , callerListener_(
        relay::MakeListener(aContext,
                            *timers_,
                            ExchangeOptionsFor(options_.callerEndpoint),
                            RequestObserver(RequestOrigin::Caller),
                            &unsentBudget_,
                            &reserve_,
                            &bodyBudget_))
    , forwardListener_(relay::MakeListener(
        aContext,
        *timers_,
        ExchangeOptionsFor(
          InstanceInfo{ options_.peerEndpoint, {}, 0 }.ForwardEndpoint()),
        RequestObserver(RequestOrigin::Instance),
        &unsentBudget_,
        &reserve_,
        &bodyBudget_))
    , readinessListener_(
        relay::MakeListener(aContext,
                            *timers_,
                            ReadinessOptionsFor(options_.readinessEndpoint),
                            ReadinessObserver(),
                            nullptr,
                            &reserve_))
    , mirrors_(store::MakeMirrorServer(aContext,
                                       *timers_,
                                       options_.peerEndpoint,
                                       &unsentBudget_,
                                       &reserve_))
    , mirroredStore_(store::MakeMirroredStore(
        *store_,
        *client_,
        *timers_,
        MirroredStoreOptionsFor(aDependencies.storeCodec),
        StoreObserver()))
    , fleetSync_(MakeFleetSync(options_.sync,
                               { *store_,
                                 *mirroredStore_,
                                 *mirrors_,
                                 *timers_,
                                 aDependencies.storeCodec,
                                 fleet_,
                                 log_,
                                 [this] { ApplyLimits(); } }))
    , peerExchange_(MakePeerExchange(aContext,
                                     *timers_,
                                     PeerExchangeOptionsFor(options_),
                                     fleet_,
                                     log_))
    , rolloutWriter_(MakeRolloutWriter(
        options_.instanceName,
        { *store_, *timers_, aDependencies.storeCodec, fleet_, log_ }))
  {
    fleet_.rollouts = routing::Rollouts(options_.rollouts);
    router_->SetListener(RequestOrigin::Caller, *callerListener_);
    router_->SetListener(RequestOrigin::Instance, *forwardListener_);
    log_.Write(EventNumber::InstanceStarted,
               "zone=" + options_.router.zone +
                 " callers=" + options_.callerEndpoint.address + ':' +
                 std::to_string(options_.callerEndpoint.port));
    UpdateGauges();
    ListenForMetrics();
    reserve_.Refill();
  }

  void Drain(const std::function<void()>& aDone) override
  {
    if (drainStarted_) {
      return;
    }
    drainStarted_ = timers_->Now();
    log_.Write(EventNumber::DrainStarted,
               "open=" + std::to_string(router_->OpenRequestCount()));
    callerListener_->Drain();
    WaitUntilDrained(aDone);
  }

  bool IsReady() const override
  {
    if (drainStarted_ || !fleet_.configuration || !fleet_.upstreamsKnown) {
      return false;
    }
    // Moves callers away before their API keys can no longer be confirmed.
    return fleet_.configuration->organisations.empty() ||
           timers_->Now() - fleet_.configurationConfirmedAt <
             kMaxConfigurationAge;
  }

private:
  relay::ListenerObserver RequestObserver(RequestOrigin aOrigin)
  {
    return { [this, aOrigin](relay::ExchangeId aId, net::HttpRequest aRequest) {
              router_->OnRequest(aOrigin, aId, std::move(aRequest));
            },
             [this, aOrigin](relay::ExchangeId aId) {
               router_->OnClientDisconnected(aOrigin, aId);
             },
             [this, aOrigin](relay::ExchangeId aId) {
               router_->OnWritten(aOrigin, aId);
             } };
  }

  relay::ShortageObserver DescriptorObserver()
  {
    return { [this] {
              rlimit limit{};
              getrlimit(RLIMIT_NOFILE, &limit);
              log_.Write(EventNumber::DescriptorsUsedUp,
                         "limit=" + std::to_string(limit.rlim_cur));
            },
             [this](const relay::Shortage& aShortage) {
               log_.Write(
                 EventNumber::DescriptorsRegained,
                 "after_ms=" + std::to_string(aShortage.lasted.count() / 1000) +
                   " closed_idle=" + std::to_string(aShortage.closedIdle) +
                   " refused=" + std::to_string(aShortage.refused));
             } };
  }

  store::LossDetectionObserver LossObserver()
  {
    return { [this](const std::string& aKind,
                    store::WatchLoss aReason,
                    Duration aOpen) {
      log_.Write(EventNumber::WatchLost,
                 "kind=" + aKind + " why=" + store::WatchLossName(aReason) +
                   " open_ms=" + std::to_string(aOpen.count() / 1000));
    } };
  }

  /// For listeners of requests.
  relay::ListenerOptions ExchangeOptionsFor(
    const core::Endpoint& aEndpoint) const
  {
    relay::ListenerOptions options = ListenerOptionsFor(aEndpoint);
    options.smallSendBuffers = options_.router.memoryPressure;
    return options;
  }

  store::MirroredStoreObserver StoreObserver()
  {
    return { [this] { return SourcePeers(); },
             [this](const std::string& aPeer, uint32_t aFailureCount) {
               fleetSync_->OnPeerUnreachable(aPeer, aFailureCount);
             } };
  }

  /// The mirrors to read: those of the zone, or a seed's until the instances
  /// are known.
  std::vector<store::MirrorPeer> SourcePeers()
  {
    if (fleet_.instancesKnown) {
      return MirrorPeers(fleet_, options_.instanceName, options_.router.zone);
    }
    const auto seed = SeedPeer(options_.seeds,
                               options_.peerEndpoint,
                               options_.instanceName,
                               seedAttempts_++);
    const std::size_t maxAttempts =
      options_.sync.bootstrap ? kMaxBootstrapSeedAttempts : kMaxSeedAttempts;
    return seed && seedAttempts_ <= maxAttempts
             ? std::vector<store::MirrorPeer>{ *seed }
             : std::vector<store::MirrorPeer>{};
  }

  relay::ListenerObserver ReadinessObserver()
  {
    return { [this](relay::ExchangeId aId, const net::HttpRequest& aRequest) {
              const bool known = aRequest.target == options_.readinessPath;
              UpdateReadiness();
              SendResponse(*readinessListener_,
                           aId,
                           known ? (IsReady() ? 200 : 503) : 404,
                           "");
            },
             [](relay::ExchangeId) {},
             [](relay::ExchangeId) {} };
  }

  relay::ListenerObserver MetricsObserver()
  {
    return { [this](relay::ExchangeId aId, const net::HttpRequest&) {
              SendResponse(
                *metricsListener_, aId, 200, metrics_->PrometheusText());
            },
             [](relay::ExchangeId) {},
             [](relay::ExchangeId) {} };
  }

  /// Serves metrics once their port is free. An instance serves its callers
  /// also without them.
  void ListenForMetrics()
  {
    relay::ListenerOptions options =
      ListenerOptionsFor(options_.metricsEndpoint);
    options.bindTimeout = Duration::zero();
    try {
      metricsListener_ = relay::MakeListener(
        context_, *timers_, options, MetricsObserver(), nullptr, &reserve_);
    } catch (const boost::system::system_error& aError) {
      if (!std::exchange(metricsUnavailable_, true)) {
        log_.Write(EventNumber::MetricsUnavailable,
                   std::string("why=\"") + aError.what() + '"');
      }
      timers_->After(kMetricsRetryInterval, [this] { ListenForMetrics(); });
      return;
    }
    if (std::exchange(metricsUnavailable_, false)) {
      log_.Write(EventNumber::MetricsAvailable,
                 "port=" + std::to_string(metricsListener_->Port()));
    }
  }

  static void SendResponse(relay::Listener& aListener,
                           relay::ExchangeId aId,
                           int aStatus,
                           const std::string& aBody)
  {
    aListener.Start(aId,
                    aStatus,
                    aStatus == 200 ? "OK" : "Unavailable",
                    { { "Content-Type", "text/plain" },
                      { "Content-Length", std::to_string(aBody.size()) } },
                    relay::Framing::Length);
    aListener.Write(aId, aBody);
    aListener.Finish(aId);
  }

  void UpdateReadiness()
  {
    const bool ready = IsReady();
    // Also updated here, as the load balancer checks once a second.
    callerListener_->SetCloseAfterResponse(!ready);
    if (ready != lastReady_) {
      lastReady_ = ready;
      log_.Write(EventNumber::Readiness,
                 std::string("ready=") + (ready ? "yes" : "no") +
                   " draining=" + (drainStarted_ ? "yes" : "no") +
                   " keys_fresh=" + (router_->KeysAreFresh() ? "yes" : "no"));
    }
  }

  void ApplyLimits()
  {
    const routing::CallerLimits& limits = fleet_.configuration->limits;
    relay::ListenerOptions options;
    options.limits = { limits.maxHeaderBytes, limits.maxBodyBytes };
    options.headerTimeout = limits.headerTimeout;
    options.idleTimeout = limits.idleTimeout;
    callerListener_->SetOptions(options);
    forwardListener_->SetOptions(options);
  }

  void WaitUntilDrained(const std::function<void()>& aDone)
  {
    const Duration spent = timers_->Now() - *drainStarted_;
    const Duration acceptTime = std::min(
      kBalancerRemovalDelay, options_.shutdownGrace / kAcceptGraceDivisor);
    if (spent + kSendsAfterDeregistration >= acceptTime) {
      fleetSync_->Deregister();
    }
    if (spent >= acceptTime) {
      // A refusal makes late callers retry elsewhere at once; a closed port
      // would count as a failure.
      router_->RefuseNewRequests();
      fleetSync_->GiveUpShares();
    }
    const bool idle =
      router_->OpenRequestCount() == 0 && spent >= kBalancerRemovalDelay;
    if (idle || spent >= options_.shutdownGrace - kExitMargin) {
      log_.Write(EventNumber::DrainFinished,
                 std::string("complete=") + (idle ? "yes" : "no") +
                   " open=" + std::to_string(router_->OpenRequestCount()));
      router_->EndOpenRequests();
      // The responses leave within the next turns of the event loop.
      timers_->After(kDrainPollInterval, aDone);
      return;
    }
    timers_->After(kDrainPollInterval,
                   [this, aDone] { WaitUntilDrained(aDone); });
  }

  void UpdateGauges()
  {
    metrics_->Set(observe::Gauge::OpenRequests,
                  static_cast<double>(router_->OpenRequestCount()));
    metrics_->Set(observe::Gauge::BufferedResponseBytes,
                  static_cast<double>(router_->BufferedBytes()));
    metrics_->Set(observe::Gauge::RequestBodyBytes,
                  static_cast<double>(bodyBudget_.HeldBytes()));
    metrics_->Set(observe::Gauge::LiveInstances,
                  static_cast<double>(fleet_.InstanceCount()));
    if (fleet_.configuration) {
      metrics_->Set(observe::Gauge::ConfigurationRevision,
                    static_cast<double>(fleet_.configuration->version));
    }
    metrics_->Set(observe::Gauge::StoreEra,
                  static_cast<double>(fleet_.storeEra));
    std::size_t unreadable = 0;
    for (const auto& [kind, objects] : fleet_.unreadableObjects) {
      unreadable += objects.size();
    }
    metrics_->Set(observe::Gauge::UnreadableObjects,
                  static_cast<double>(unreadable));
    for (const auto& [kind, confirmedAt] : fleet_.listsConfirmedAt) {
      metrics_->SetListAge(kind, timers_->Now() - confirmedAt);
    }
    metrics_->Set(observe::Gauge::UplinksLost, router_->IsCutOff() ? 1 : 0);
    metrics_->Set(observe::Gauge::LimitedUpstreams,
                  static_cast<double>(std::ranges::count_if(
                    fleet_.upstreams.Rows(), [](const auto& aRow) {
                      return aRow.second.requestLimit.has_value();
                    })));
    metrics_->RaiseTo(observe::Counter::ForwardedRequests,
                      router_->ForwardCount());
    metrics_->Set(observe::Gauge::UnsentBytes,
                  static_cast<double>(unsentBudget_.HeldBytes()));
    metrics_->RaiseTo(observe::Counter::SlowReadersEnded,
                      unsentBudget_.EndedCount());
    metrics_->RaiseTo(observe::Counter::DescriptorShortages,
                      reserve_.ShortageCount());
    metrics_->RaiseTo(observe::Counter::PlatformCalls, store_->CallCount());
    metrics_->RaiseTo(
      observe::Counter::ExpectedCachedTokens,
      static_cast<uint64_t>(fleet_.promptCache.ExpectedTotal()));
    metrics_->RaiseTo(observe::Counter::MissedCachedTokens,
                      static_cast<uint64_t>(fleet_.promptCache.MissedTotal()));
    timers_->After(kGaugeInterval, [this] { UpdateGauges(); });
  }

  boost::asio::io_context& context_;
  EntryNodeOptions options_;
  FleetState fleet_;
  std::unique_ptr<relay::Timers> timers_;
  EventLog log_;
  relay::DescriptorReserve reserve_;
  std::unique_ptr<relay::OutboundClient> client_;
  std::unique_ptr<store::ObjectStore> storeClient_;
  std::unique_ptr<observe::Metrics> metrics_;
  std::unique_ptr<store::ObjectStore> store_;
  std::unique_ptr<RequestRouter> router_;
  relay::UnsentBudget unsentBudget_;
  relay::BodyBudget bodyBudget_;
  std::unique_ptr<relay::Listener> callerListener_;
  std::unique_ptr<relay::Listener> forwardListener_;
  std::unique_ptr<relay::Listener> readinessListener_;
  std::unique_ptr<relay::Listener> metricsListener_;
  std::unique_ptr<store::MirrorServer> mirrors_;
  std::unique_ptr<store::ObjectStore> mirroredStore_;
  std::unique_ptr<FleetSync> fleetSync_;
  std::unique_ptr<PeerExchange> peerExchange_;
  std::unique_ptr<RolloutWriter> rolloutWriter_;
  std::optional<TimePoint> drainStarted_;
  bool lastReady_ = false;
  bool metricsUnavailable_ = false;
  std::size_t seedAttempts_ = 0;
};

} // namespace

std::unique_ptr<EntryNode>
MakeEntryNode(boost::asio::io_context& aContext,
              EntryNodeOptions aOptions,
              const EntryNodeDependencies& aDependencies)
{
  return std::make_unique<Node>(aContext, std::move(aOptions), aDependencies);
}

} // namespace hibiscusnotch::entry
