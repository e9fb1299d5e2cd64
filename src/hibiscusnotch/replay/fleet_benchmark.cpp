#include "hibiscusnotch/core/router.hpp"
#include "hibiscusnotch/mesh/message_codec.hpp"

#include "event_queue.hpp"

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <functional>
#include <malloc.h>
#include <memory>
#include <random>

using namespace hibiscusnotch;
using namespace hibiscusnotch::core;

namespace {

constexpr uint32_t kZones = 5;
constexpr Duration kTickInterval{ 20'000 };
constexpr Duration kMessageLatency{ 1'000 };
constexpr Duration kPlatformLatency{ 5'000 };
constexpr Duration kAnswerTime{ 2'000'000 };
constexpr Duration kWarmUpTime{ 20'000'000 };
constexpr Duration kMeasurementTime{ 20'000'000 };
constexpr TimePoint kStart{ Duration(10'000'000'000) };
constexpr uint32_t kChunks = 4;
constexpr double kBookingShare = 0.05;
constexpr std::size_t kPollBytes = 300; ///< One load poll and its response.

Settings
MakeSettings(uint32_t aInstances, uint32_t aUpstreams)
{
  Settings settings;
  for (uint32_t i = 0; i < kZones; ++i) {
    settings.zones.push_back({ "zone-" + std::to_string(i), "region" });
  }
  settings.services = { { "chat", ServiceKind::Engine },
                        { "shop", ServiceKind::Plain } };
  settings.versions = { { "model-1", "model", 1, 1 },
                        { "shop-1", "shop", 1, 1 } };
  RequestClass chat;
  chat.name = "chat";
  chat.service = ServiceId{ 0 };
  chat.deadline = Duration(30'000'000);
  chat.versions = { VersionId{ 0 } };
  RequestClass booking = chat;
  booking.name = "booking";
  booking.service = ServiceId{ 1 };
  booking.repeatable = false;
  booking.versions = { VersionId{ 1 } };
  settings.classes = { chat, booking };
  Organisation organisation;
  organisation.name = "organisation";
  organisation.versions = { VersionId{ 0 }, VersionId{ 1 } };
  settings.organisations = { organisation };
  for (uint32_t i = 0; i < aUpstreams; ++i) {
    const uint32_t service = i % 10 == 0 ? 1 : 0;
    Upstream upstream;
    upstream.name = "upstream-" + std::to_string(i);
    upstream.service = ServiceId{ service };
    upstream.versions = { VersionId{ service } };
    upstream.zone = ZoneId{ (i / 10) % kZones };
    upstream.capacity = 64;
    settings.upstreams.push_back(upstream);
  }
  for (uint32_t i = 0; i < aInstances; ++i) {
    settings.instances.push_back(
      { "instance-" + std::to_string(i), ZoneId{ i % kZones }, {}, {} });
  }
  settings.journal.claimBuckets = 16;
  settings.journal.claimWriteInterval =
    Duration(aInstances > 32 ? 100'000 : 20'000);
  return settings;
}

/// Control overhead of a fleet, per instance and second unless noted.
struct FleetCost
{
  double meshBytes = 0;
  double pollBytes = 0;
  double cpuShare = 0; ///< Of one core.
  double memoryMegabytes = 0;
  double platformWrites = 0; ///< Of the whole fleet.
  double platformReads = 0;  ///< Of the whole fleet.
  double propagationMilliseconds = 0;
};

/// Simulates routers with a platform and upstreams that never fail.
class Fleet
{
public:
  Fleet(const Settings& aSettings, double aRequestsPerSecond)
    : settings_(aSettings)
    , rate_(aRequestsPerSecond)
    , now_(kStart)
  {
    const std::size_t before = mallinfo2().uordblks;
    for (uint32_t i = 0; i < aSettings.instances.size(); ++i) {
      RouterOptions options;
      options.self = InstanceId{ i };
      options.seed = i + 1;
      routers_.push_back(MakeRouter(aSettings, options));
      ScheduleAt(kStart + Duration(i * 20'000 / aSettings.instances.size()),
                 [this, i] { TickInstance(InstanceId{ i }); });
      if (rate_ > 0) {
        ScheduleAt(kStart + Duration(1'000'000),
                   [this, i] { SubmitRequest(InstanceId{ i }); });
      }
    }
    baseMemory_ = before;
  }

  FleetCost Measure()
  {
    RunUntil(kStart + kWarmUpTime);
    meshBytes_ = polls_ = writes_ = reads_ = 0;
    const auto begin = std::chrono::steady_clock::now();
    RunUntil(kStart + kWarmUpTime + kMeasurementTime);
    const double wall =
      std::chrono::duration<double>(std::chrono::steady_clock::now() - begin)
        .count();
    const double seconds = Seconds(kMeasurementTime);
    const double count = static_cast<double>(routers_.size());
    FleetCost cost;
    cost.meshBytes = static_cast<double>(meshBytes_) / count / seconds;
    cost.pollBytes = static_cast<double>(polls_ * kPollBytes) / count / seconds;
    cost.cpuShare = wall / count / seconds;
    cost.memoryMegabytes =
      static_cast<double>(mallinfo2().uordblks - baseMemory_) / count / 1e6;
    cost.platformWrites = static_cast<double>(writes_) / seconds;
    cost.platformReads = static_cast<double>(reads_) / seconds;
    cost.propagationMilliseconds = MeasurePropagation();
    return cost;
  }

private:
  void ScheduleAt(TimePoint aWhen, std::function<void()> aCallback)
  {
    queue_.Push(aWhen, std::move(aCallback));
  }

  void RunUntil(TimePoint aEnd)
  {
    while (!queue_.Empty() && queue_.NextAt() <= aEnd) {
      now_ = queue_.NextAt();
      queue_.Pop()();
    }
    now_ = aEnd;
  }

  void Deliver(InstanceId aId, Event aEvent)
  {
    Actions actions;
    routers_[aId.value]->Handle(now_, std::move(aEvent), actions);
    for (Action& action : actions) {
      std::visit([this, aId](auto& aAction) { Perform(aId, aAction); }, action);
    }
  }

  void TickInstance(InstanceId aId)
  {
    Deliver(aId, Tick{});
    ScheduleAt(now_ + kTickInterval, [this, aId] { TickInstance(aId); });
  }

  void SubmitRequest(InstanceId aId)
  {
    RequestArrived request;
    request.handle = ++lastHandle_;
    request.organisation = OrganisationId{ 0 };
    const double draw = std::uniform_real_distribution<double>(0, 1)(random_);
    request.requestClass = ClassId{ draw < kBookingShare ? 1U : 0U };
    request.requestId = "request-" + std::to_string(lastHandle_);
    request.fingerprint = lastHandle_;
    Deliver(aId, request);
    const double interval =
      std::exponential_distribution<double>(rate_)(random_);
    ScheduleAt(now_ + FromSeconds(interval),
               [this, aId] { SubmitRequest(aId); });
  }

  void Perform(InstanceId aId, SendToPeer& aAction)
  {
    const auto bytes = mesh::EncodeMessage(aAction.message);
    meshBytes_ += bytes.size() + 4 + 9; // Length and frame header.
    std::string reason;
    auto message = mesh::DecodeMessage(bytes, reason);
    ScheduleAt(now_ + kMessageLatency,
               [this, aId, to = aAction.to, message = std::move(*message)] {
                 Deliver(to, PeerMessageArrived{ aId, message });
               });
  }

  void Perform(InstanceId aId, CallPlatform& aAction)
  {
    PlatformResponse response{ aAction.call, PlatformStatus::Ok, 0, {} };
    if (aAction.operation == PlatformOperation::Watch) {
      ++reads_;
      response.status = PlatformStatus::NotFound;
      ScheduleAt(now_ + Duration(5'000'000),
                 [this, aId, response] { Deliver(aId, response); });
      return;
    }
    auto& [version, body] = objects_[aAction.key];
    const bool read = aAction.operation == PlatformOperation::Read;
    reads_ += read ? 1 : 0;
    writes_ += read ? 0 : 1;
    if (read) {
      response.status =
        version == 0 ? PlatformStatus::NotFound : PlatformStatus::Ok;
      response.body = body;
    } else if (version == aAction.version) {
      body = aAction.body;
      ++version;
    } else {
      response.status = PlatformStatus::Conflict;
    }
    response.version = version;
    ScheduleAt(now_ + kPlatformLatency,
               [this, aId, response] { Deliver(aId, response); });
  }

  void Perform(InstanceId aId, ProbeUpstream& aAction)
  {
    ++polls_;
    ScheduleAt(
      now_ + kMessageLatency, [this, aId, upstream = aAction.upstream] {
        Deliver(
          aId,
          UpstreamLoadReport{ upstream, 1, Duration(3600'000'000), 0, false });
      });
  }

  /// Streams an answer in a few chunks.
  void Perform(InstanceId aId, StartAttempt& aAction)
  {
    for (uint32_t i = 0; i < kChunks; ++i) {
      const bool last = i + 1 == kChunks;
      ScheduleAt(
        now_ + kAnswerTime * (i + 1) / kChunks,
        [this, aId, i, last, attempt = aAction.attempt] {
          Deliver(
            aId,
            AttemptChunk{ attempt, i * 25, 25, "answer", last, 1, 0.9, false });
        });
    }
  }

  template<class Other>
  void Perform(InstanceId, Other&)
  {
  }

  /// The time in ms for a configuration change to reach all instances.
  double MeasurePropagation()
  {
    LiveConfiguration live;
    live.zonesOut.insert(ZoneId{ 0 });
    const TimePoint begin = now_;
    Deliver(
      InstanceId{ 0 },
      PeerMessageArrived{
        InstanceId{ 1 },
        ConfigurationUpdate{ 1000, EncodeConfiguration(settings_, live) } });
    while (now_ < begin + Duration(60'000'000)) {
      RunUntil(now_ + Duration(1'000));
      const bool all =
        std::all_of(routers_.begin(), routers_.end(), [](const auto& aRouter) {
          return aRouter->Configuration().revision == 1000;
        });
      if (all) {
        break;
      }
    }
    return Milliseconds(now_ - begin);
  }

  const Settings& settings_;
  double rate_;
  TimePoint now_;
  replay::EventQueue queue_;
  std::vector<std::unique_ptr<Router>> routers_;
  std::map<std::string, std::pair<uint64_t, std::string>> objects_;
  std::mt19937_64 random_{ 1 };
  RequestHandle lastHandle_ = 0;
  std::size_t baseMemory_ = 0;
  uint64_t meshBytes_ = 0;
  uint64_t polls_ = 0;
  uint64_t writes_ = 0;
  uint64_t reads_ = 0;
};

void
Print(uint32_t aInstances, uint32_t aUpstreams, double aRate)
{
  const Settings settings = MakeSettings(aInstances, aUpstreams);
  const FleetCost cost = Fleet(settings, aRate).Measure();
  std::printf("| %u | %u | %.0f | %.0f | %.0f | %.2f%% | %.2f | %.0f | %.0f | "
              "%.0f |\n",
              aInstances,
              aUpstreams,
              aRate * aInstances,
              cost.meshBytes,
              cost.pollBytes,
              cost.cpuShare * 100,
              cost.memoryMegabytes,
              cost.platformWrites,
              cost.platformReads,
              cost.propagationMilliseconds);
  std::fflush(stdout);
}

} // namespace

/// Prints the control overhead by fleet size, idle and under load.
int
main()
{
  std::puts("| instances | upstreams | requests/s | mesh B/s each | poll B/s "
            "each | core each | MB each | platform writes/s | platform "
            "reads/s | change spread ms |");
  std::puts("|---|---|---|---|---|---|---|---|---|---|");
  for (const uint32_t instances : { 8U, 16U, 32U, 64U, 128U }) {
    Print(instances, 100, 0);
  }
  for (const uint32_t upstreams : { 20U, 600U }) {
    Print(8, upstreams, 0);
    Print(64, upstreams, 0);
  }
  for (const uint32_t instances : { 8U, 64U, 128U, 370U }) {
    Print(instances, instances == 8 ? 20 : 600, 7);
  }
  return 0;
}
