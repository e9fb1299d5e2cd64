/// @file
/// @brief Instances before shared upstreams, on one paused clock and without a
/// network.
#pragma once

#include "hibiscusnotch/entry/request_router.hpp"
#include "hibiscusnotch/testing/fake_header_codec.hpp"
#include "hibiscusnotch/testing/fake_listener.hpp"
#include "hibiscusnotch/testing/fake_outbound_client.hpp"
#include "hibiscusnotch/testing/manual_timers.hpp"

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace hibiscusnotch::testing {

struct RouterFleetOptions
{
  std::size_t instances = 8;
  std::size_t upstreams = 12;
  std::size_t zones = 3;
  core::Duration serviceTime{ 200'000 };
  std::size_t slots = 64;
  /// @brief Requests that each upstream lets wait; more are rejected.
  std::size_t waitingRoom = 1000;
  /// @brief The last ones serve the service "rare" in place of "app".
  std::size_t rareUpstreams = 0;
};

/// @brief What an instance that is cut off from all upstreams sees.
enum class CutKind
{
  Hang,   ///< New connections time out.
  Refuse, ///< New connections are refused.
  Reset,  ///< Connections are reset once the request is on its way.
};

/// @brief Runs requests through all instances; upstreams answer each after the
/// service time.
class RouterFleet
{
public:
  static constexpr core::Duration kStep{ 10'000 };
  /// Also the interval of the callbacks that pass reports on.
  static constexpr core::Duration kReportPeriod{ 200'000 };

  struct Upstream
  {
    std::string name;
    std::string zone;
    std::string service;
    std::optional<double> limit; ///< Stated in its responses.
    struct Arrival
    {
      core::TimePoint at;
      std::size_t instance = 0;
      bool told = false; ///< The instance got the limit half a second before.
    };
    std::vector<Arrival> arrivals;
    std::map<std::size_t, core::TimePoint> toldAt; ///< By instance.
    /// Stated in its responses; with more rejections in a second it falls.
    std::optional<std::size_t> brittle;
    std::size_t running = 0;
    std::deque<std::size_t> waiting;        ///< Indexes into runs.
    std::deque<core::TimePoint> rejections; ///< Of the last second.
    core::TimePoint downUntil{};
    std::size_t falls = 0;
  };

  struct Instance
  {
    std::string name;
    std::string zone;
    FakeOutboundClient client;
    FakeListener listener;
    FakeListener forwardListener;
    std::unique_ptr<entry::FleetState> fleet;
    std::unique_ptr<entry::EventLog> log;
    std::unique_ptr<observe::Metrics> metrics;
    std::unique_ptr<entry::RequestRouter> router;
    std::size_t handled = 0; ///< Of the client's sends.
  };

  explicit RouterFleet(const RouterFleetOptions& aOptions)
    : instances(aOptions.instances)
    , options_(aOptions)
  {
    for (std::size_t index = 0; index < options_.upstreams; ++index) {
      Upstream upstream;
      upstream.name = "u" + std::to_string(index);
      upstream.zone = ZoneOf(index);
      upstream.service =
        index + options_.rareUpstreams < options_.upstreams ? "app" : "rare";
      upstreams.push_back(upstream);
    }
    for (std::size_t index = 0; index < instances.size(); ++index) {
      instances[index].name = "i" + std::to_string(index);
      instances[index].zone = ZoneOf(index);
    }
    for (std::size_t index = 0; index < instances.size(); ++index) {
      Start(index);
    }
  }

  /// @brief Starts the instance's process anew, without any memory.
  void Start(std::size_t aIndex)
  {
    Instance& instance = instances[aIndex];
    instance.router.reset();
    instance.fleet = std::make_unique<entry::FleetState>();
    instance.handled = instance.client.sent.size();
    for (const Instance& one : instances) {
      instance.fleet->instances[one.name] = { { one.name, 1 }, one.zone };
    }
    instance.fleet->instancesKnown = true;
    instance.fleet->membership = 1;
    routing::Configuration configuration;
    configuration.version = 1;
    for (const auto& [name, semantics] : {
           std::pair("safe", routing::ExecutionSemantics::Idempotent),
           std::pair("unsafe", routing::ExecutionSemantics::AtMostOnce),
           std::pair("stream", routing::ExecutionSemantics::Stream),
           std::pair("rare", routing::ExecutionSemantics::Idempotent),
         }) {
      routing::Route route;
      route.name = name;
      route.host = "h";
      route.pathPrefix = std::string("/") + name + "/";
      route.executionSemantics = semantics;
      route.resumable = semantics == routing::ExecutionSemantics::Stream;
      route.timeout = core::Duration{ 10'000'000 };
      route.latencyTarget = core::Duration{ 4'000'000 };
      route.maxAttempts = 3;
      route.services = { { route.name == "rare" ? "rare" : "app", 1 } };
      configuration.routes.push_back(route);
    }
    configuration.BuildRouteIndex();
    instance.fleet->configuration =
      std::make_shared<routing::Configuration>(configuration);
    instance.fleet->configurationConfirmedAt = timers.Now();
    for (const Upstream& upstream : upstreams) {
      routing::UpstreamEntry entry;
      entry.name = upstream.name;
      entry.endpoint = { upstream.name, 1 };
      entry.service = upstream.service;
      entry.zone = upstream.zone;
      entry.slots = static_cast<uint32_t>(options_.slots);
      instance.fleet->upstreams.Apply(entry, timers.Now());
    }
    instance.client.probeResult = [this, aIndex](const core::Endpoint& aTo) {
      return CutTo(aIndex, aTo.address) ? relay::Reachability::Unreachable
                                        : relay::Reachability::Accepts;
    };
    instance.log = std::make_unique<entry::EventLog>(
      timers, entry::EventLogOptions{ instance.name, 0, 0 });
    instance.metrics = observe::MakeMetrics();
    entry::RouterOptions routerOptions;
    routerOptions.instanceName = instance.name;
    routerOptions.zone = instance.zone;
    routerOptions.retryBudget.minRetries = 56;
    routerOptions.enforceKeyRevocation = false;
    instance.router = entry::MakeRequestRouter(routerOptions,
                                               { timers,
                                                 instance.client,
                                                 headerCodec_,
                                                 *instance.fleet,
                                                 *instance.log,
                                                 *instance.metrics });
    instance.router->SetListener(entry::RequestOrigin::Caller,
                                 instance.listener);
    instance.router->SetListener(entry::RequestOrigin::Instance,
                                 instance.forwardListener);
    for (Upstream& upstream : upstreams) {
      upstream.toldAt.erase(aIndex);
    }
  }

  /// @brief Takes the instance out of all instances' lists, or back in.
  void SetMember(std::size_t aIndex, bool aPresent)
  {
    for (Instance& instance : instances) {
      if (aPresent) {
        instance.fleet->instances[instances[aIndex].name] = {
          { instances[aIndex].name, 1 }, instances[aIndex].zone
        };
      } else {
        instance.fleet->instances.erase(instances[aIndex].name);
      }
      ++instance.fleet->membership;
    }
  }

  relay::ExchangeId Request(std::size_t aInstance, const std::string& aRoute)
  {
    const relay::ExchangeId id = ++lastId_;
    net::HttpRequest request;
    request.method = "POST";
    request.target = "/" + aRoute + "/x";
    request.headers = { { "id", "r" + std::to_string(id) },
                        { "host", "h" },
                        { "left", "8000" } };
    request.body = "b";
    instances[aInstance].router->OnRequest(
      entry::RequestOrigin::Caller, id, request);
    return id;
  }

  /// @brief Advances the clock by one step and serves what was sent.
  void Step()
  {
    for (std::size_t index = 0; index < instances.size(); ++index) {
      Instance& instance = instances[index];
      for (; instance.handled < instance.client.sent.size();
           ++instance.handled) {
        Serve(index, instance.handled);
      }
    }
    PassForwardedResponses();
    timers.Advance(kStep);
    if (onReportPeriod && timers.Now() >= nextReport_) {
      nextReport_ = timers.Now() + kReportPeriod;
      onReportPeriod();
    }
  }

  /// @brief The most requests that the upstream got within the window from
  /// instances that knew its limit, after the time.
  std::size_t MostFromToldWithin(const Upstream& aUpstream,
                                 core::Duration aWindow,
                                 core::TimePoint aAfter) const
  {
    std::deque<core::TimePoint> window;
    std::size_t most = 0;
    for (const Upstream::Arrival& arrival : aUpstream.arrivals) {
      if (!arrival.told || arrival.at < aAfter) {
        continue;
      }
      window.push_back(arrival.at);
      while (arrival.at - window.front() > aWindow) {
        window.pop_front();
      }
      most = std::max(most, window.size());
    }
    return most;
  }

  ManualTimers timers;
  std::map<std::size_t, CutKind> cutOff;   ///< From all upstreams, by instance.
  std::set<std::string> reachedByAll;      ///< Upstreams that `cutOff` spares.
  std::map<std::string, CutKind> cutZones; ///< From all other zones, both ways.
  std::function<void()> onReportPeriod;
  std::vector<Upstream> upstreams;
  std::vector<Instance> instances;

private:
  std::string ZoneOf(std::size_t aIndex) const
  {
    return "z" + std::to_string(aIndex % options_.zones);
  }

  /// What separates two zones; nothing if they reach each other.
  std::optional<CutKind> CutZone(const std::string& aFrom,
                                 const std::string& aTo) const
  {
    if (aFrom == aTo) {
      return std::nullopt;
    }
    const auto from = cutZones.find(aFrom);
    const auto cut = from != cutZones.end() ? from : cutZones.find(aTo);
    return cut == cutZones.end() ? std::nullopt : std::optional(cut->second);
  }

  /// What separates the instance from the upstream.
  std::optional<CutKind> CutTo(std::size_t aInstance,
                               const std::string& aUpstream) const
  {
    if (const auto cut = cutOff.find(aInstance);
        cut != cutOff.end() && !reachedByAll.contains(aUpstream)) {
      return cut->second;
    }
    return CutZone(instances[aInstance].zone,
                   upstreams.at(std::stoul(aUpstream.substr(1))).zone);
  }

  void Serve(std::size_t aInstance, std::size_t aSend)
  {
    constexpr core::Duration kToldDelay{ 500'000 };
    Instance& instance = instances[aInstance];
    const std::string& to = instance.client.sent[aSend].call.to.address;
    if (to.front() == 'i') {
      const std::size_t receiver = std::stoul(to.substr(1));
      if (const auto cut = CutZone(instance.zone, instances[receiver].zone)) {
        ServeBehindCut(aInstance, aSend, *cut);
      } else {
        TakeForwarded(aInstance, aSend, receiver);
      }
      return;
    }
    if (const auto cut = CutTo(aInstance, to)) {
      ServeBehindCut(aInstance, aSend, *cut);
      return;
    }
    const std::size_t index = std::stoul(to.substr(1));
    Upstream& upstream = upstreams.at(index);
    const auto told = upstream.toldAt.find(aInstance);
    upstream.arrivals.push_back(
      { timers.Now(),
        aInstance,
        told != upstream.toldAt.end() &&
          timers.Now() - told->second >= kToldDelay });
    if (timers.Now() < upstream.downUntil) {
      timers.After(kRefusalDelay, [this, aInstance, aSend] {
        instances[aInstance].client.End(aSend, relay::CallOutcome::NotSent);
      });
    } else if (upstream.running < options_.slots) {
      Run(upstream, aInstance, aSend);
    } else if (upstream.waiting.size() < options_.waitingRoom) {
      upstream.waiting.push_back(runs_.size());
      runs_.push_back({ aInstance, aSend });
    } else {
      Reject(upstream, aInstance, aSend);
    }
  }

  void Run(Upstream& aUpstream, std::size_t aInstance, std::size_t aSend)
  {
    ++aUpstream.running;
    timers.After(
      options_.serviceTime, [this, aInstance, aSend, name = aUpstream.name] {
        FinishRun(upstreams.at(std::stoul(name.substr(1))), aInstance, aSend);
      });
  }

  void FinishRun(Upstream& aUpstream, std::size_t aInstance, std::size_t aSend)
  {
    --aUpstream.running;
    FakeOutboundClient& client = instances[aInstance].client;
    if (client.IsOpen(aSend)) {
      if (timers.Now() < aUpstream.downUntil) {
        client.End(aSend, relay::CallOutcome::ConnectionLost);
      } else {
        client.Head(aSend, HeadOf(aUpstream, aInstance, aSend, 200));
        client.Body(aSend, "id: 1\ndata: x\n\n");
        client.End(aSend, relay::CallOutcome::Complete);
      }
    }
    while (!aUpstream.waiting.empty() && aUpstream.running < options_.slots) {
      const Waiting next = runs_[aUpstream.waiting.front()];
      aUpstream.waiting.pop_front();
      if (instances[next.instance].client.IsOpen(next.send)) {
        Run(aUpstream, next.instance, next.send);
      }
    }
  }

  void Reject(Upstream& aUpstream, std::size_t aInstance, std::size_t aSend)
  {
    constexpr core::Duration kSecond{ 1'000'000 };
    constexpr core::Duration kDownTime{ 3'000'000 };
    const core::TimePoint now = timers.Now();
    aUpstream.rejections.push_back(now);
    while (now - aUpstream.rejections.front() >= kSecond) {
      aUpstream.rejections.pop_front();
    }
    if (aUpstream.brittle && aUpstream.rejections.size() > *aUpstream.brittle) {
      ++aUpstream.falls;
      aUpstream.downUntil = now + kDownTime;
      aUpstream.rejections.clear();
      aUpstream.waiting.clear();
    }
    timers.After(kRefusalDelay, [this, &aUpstream, aInstance, aSend] {
      FakeOutboundClient& client = instances[aInstance].client;
      if (client.IsOpen(aSend)) {
        relay::ResponseHead head = HeadOf(aUpstream, aInstance, aSend, 503);
        head.headers.emplace_back("not-run", "1");
        client.Head(aSend, head);
        client.End(aSend, relay::CallOutcome::Complete);
      }
    });
  }

  relay::ResponseHead HeadOf(Upstream& aUpstream,
                             std::size_t aInstance,
                             std::size_t aSend,
                             int aStatus)
  {
    const std::string& message =
      instances[aInstance].client.sent[aSend].call.message;
    relay::ResponseHead head;
    head.status = aStatus;
    head.headers = { { "id", message.substr(message.find("id=") + 3) },
                     { "seal", "s" },
                     { "load",
                       std::to_string(aUpstream.running) + ' ' +
                         std::to_string(aUpstream.waiting.size()) + ' ' +
                         std::to_string(options_.slots) } };
    head.isSelfDelimited = true;
    if (aUpstream.limit) {
      head.headers.emplace_back("limit", std::to_string(*aUpstream.limit));
      aUpstream.toldAt.try_emplace(aInstance, timers.Now());
    }
    if (aUpstream.brittle) {
      head.headers.emplace_back("brittle", std::to_string(*aUpstream.brittle));
    }
    return head;
  }

  void ServeBehindCut(std::size_t aInstance, std::size_t aSend, CutKind aKind)
  {
    const bool hangs = aKind == CutKind::Hang;
    const auto end = aKind == CutKind::Reset
                       ? relay::CallOutcome::ConnectionLost
                       : relay::CallOutcome::NotSent;
    const core::Duration delay =
      hangs ? instances[aInstance].client.sent[aSend].call.connectTimeout
            : core::Duration{ 1'000 };
    timers.After(delay, [this, aInstance, aSend, end] {
      instances[aInstance].client.End(aSend, end);
    });
  }

  /// Hands a request that an instance forwarded to the other one.
  void TakeForwarded(std::size_t aInstance,
                     std::size_t aSend,
                     std::size_t aReceiver)
  {
    const relay::ExchangeId id = ++lastId_;
    forwarded_.push_back({ aInstance, aSend, aReceiver, id });
    instances[aReceiver].router->OnRequest(
      entry::RequestOrigin::Instance,
      id,
      FakeHeaderCodec::ParseForwarded(
        instances[aInstance].client.sent[aSend].call.message));
  }

  void PassForwardedResponses()
  {
    const auto pending = std::exchange(forwarded_, {});
    for (const ForwardedRequest& one : pending) {
      FakeOutboundClient& client = instances[one.sender].client;
      const auto& answers = instances[one.receiver].forwardListener.answers;
      const auto found = answers.find(one.id);
      if (!client.IsOpen(one.send)) {
        instances[one.receiver].router->OnClientDisconnected(
          entry::RequestOrigin::Instance, one.id);
      } else if (found == answers.end() ||
                 !(found->second.finished || found->second.aborted)) {
        forwarded_.push_back(one);
      } else {
        const RecordedResponse response = found->second;
        relay::ResponseHead head;
        head.status = response.status;
        head.headers = response.headers;
        head.isSelfDelimited = true;
        client.Head(one.send, head);
        client.Body(one.send, response.body);
        client.End(one.send,
                   response.aborted ? relay::CallOutcome::ConnectionLost
                                    : relay::CallOutcome::Complete);
      }
    }
  }

  struct ForwardedRequest
  {
    std::size_t sender = 0;
    std::size_t send = 0; ///< Index of the sender's call.
    std::size_t receiver = 0;
    relay::ExchangeId id = 0;
  };

  struct Waiting
  {
    std::size_t instance = 0;
    std::size_t send = 0;
  };

  static constexpr core::Duration kRefusalDelay{ 1'000 };

  std::vector<ForwardedRequest> forwarded_;
  std::vector<Waiting> runs_;
  RouterFleetOptions options_;
  FakeHeaderCodec headerCodec_;
  core::TimePoint nextReport_{};
  relay::ExchangeId lastId_ = 0;
};

struct SentRequest
{
  std::size_t instance = 0;
  relay::ExchangeId id = 0;
  core::TimePoint at{};
};

/// @brief Sends streams, idempotent and at-most-once requests in turn.
/// @param aAt Indexes of the instances that get them in turn; all if empty.
inline std::vector<SentRequest>
RunLoad(RouterFleet& aFleet,
        double aRequestsPerSecond,
        core::Duration aTime,
        const std::vector<std::size_t>& aAt = {})
{
  const char* const routes[] = { "stream", "safe", "unsafe" };
  std::vector<SentRequest> sent;
  const core::TimePoint start = aFleet.timers.Now();
  while (aFleet.timers.Now() - start < aTime) {
    const double due =
      core::Seconds(aFleet.timers.Now() - start) * aRequestsPerSecond;
    while (static_cast<double>(sent.size()) < due) {
      const std::size_t turn = sent.size();
      const std::size_t instance =
        aAt.empty() ? turn % aFleet.instances.size() : aAt[turn % aAt.size()];
      sent.push_back({ instance,
                       aFleet.Request(instance, routes[turn % 3]),
                       aFleet.timers.Now() });
    }
    aFleet.Step();
  }
  return sent;
}

/// @brief Advances the clock while no requests come.
inline void
Idle(RouterFleet& aFleet, core::Duration aTime)
{
  RunLoad(aFleet, 0, aTime);
}

inline bool
IsServed(const RouterFleet& aFleet, const SentRequest& aRequest)
{
  const auto& answers = aFleet.instances[aRequest.instance].listener.answers;
  const auto answer = answers.find(aRequest.id);
  return answer != answers.end() && answer->second.finished &&
         answer->second.status == 200;
}

} // namespace hibiscusnotch::testing
