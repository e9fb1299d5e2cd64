#include "hibiscusnotch/replay/history.hpp"

#include <algorithm>
#include <array>
#include <random>

namespace hibiscusnotch::replay {

namespace {

using core::Duration;

constexpr uint32_t kMinInstances = 3;
constexpr uint32_t kMaxInstances = 12;
constexpr uint32_t kMaxZones = 3;
constexpr uint32_t kMinInstancesPerZone = 2;
constexpr double kTraceSeconds = 6;
constexpr uint32_t kRequests = 60;
constexpr uint32_t kFaultPairs = 2;
constexpr Duration kFaultPairInterval{ 3'500'000 };
constexpr uint32_t kOrganisations = 3;
constexpr uint32_t kSessions = 4;

/// Ids are indices into the generated settings.
constexpr core::VersionId kSmall{ 0 };
constexpr core::VersionId kSmallNew{ 1 };
constexpr core::VersionId kLarge{ 2 };
constexpr core::VersionId kShop{ 3 };
constexpr core::ServiceId kEngines{ 0 };
constexpr core::ServiceId kShops{ 1 };
constexpr core::ClassId kChat{ 0 };
constexpr core::ClassId kLookup{ 1 };
constexpr core::ClassId kBooking{ 2 };

constexpr std::array kFaultKinds{
  TraceEventKind::RollOut,         TraceEventKind::Withdraw,
  TraceEventKind::ZoneOut,         TraceEventKind::VersionBad,
  TraceEventKind::InstanceReplace, TraceEventKind::InstanceKill,
  TraceEventKind::UpstreamRestart, TraceEventKind::UpstreamLeave,
  TraceEventKind::Silence,         TraceEventKind::Crossed,
  TraceEventKind::PlatformOut,     TraceEventKind::PlatformSlow,
  TraceEventKind::ZoneCut,
};

class HistoryGenerator
{
public:
  explicit HistoryGenerator(uint64_t aSeed)
    : random_(aSeed)
  {
    history_.options.seed = aSeed;
  }

  History Generate()
  {
    MakeSettings();
    MakeRequests();
    for (uint32_t i = 0; i < kFaultPairs; ++i) {
      // Two faults start close together; the pairs start well apart.
      const Duration at =
        Duration(300'000 + UniformBelow(900'000)) + i * kFaultPairInterval;
      AddFault(at);
      AddFault(at + Duration(UniformBelow(300'000)));
    }
    MakeOptions();
    SortTrace();
    return std::move(history_);
  }

private:
  uint32_t UniformBelow(uint32_t aBound)
  {
    return std::uniform_int_distribution<uint32_t>(0, aBound - 1)(random_);
  }

  bool Chance(double aShare)
  {
    return std::uniform_real_distribution<double>(0, 1)(random_) < aShare;
  }

  void MakeSettings()
  {
    core::Settings& settings = history_.settings;
    settings.deployment = "history";
    const uint32_t zones = 1 + UniformBelow(kMaxZones);
    for (uint32_t i = 0; i < zones; ++i) {
      settings.zones.push_back({ "zone-" + std::to_string(i), "region" });
    }
    settings.services = { { "chat", core::ServiceKind::Engine },
                          { "shop", core::ServiceKind::Plain } };
    settings.versions = { { "small-1", "small", 0.2, 1 },
                          { "small-2", "small", 0.2, 0 },
                          { "large-1", "large", 2, 1 },
                          { "shop-1", "shop", 1, 1 } };
    MakeClasses();
    for (uint32_t i = 0; i < kOrganisations; ++i) {
      core::Organisation organisation;
      organisation.name = "organisation-" + std::to_string(i);
      organisation.weight = i + 1;
      organisation.versions = { kSmall, kLarge, kShop };
      if (i > 0) {
        organisation.versions.push_back(kSmallNew);
      }
      settings.organisations.push_back(std::move(organisation));
    }
    MakeUpstreams(zones);
    const uint32_t minInstances =
      std::max(kMinInstances, zones * kMinInstancesPerZone);
    const uint32_t instances =
      minInstances + UniformBelow(kMaxInstances - minInstances + 1);
    for (uint32_t i = 0; i < instances; ++i) {
      settings.instances.push_back(
        { "entry-" + std::to_string(i), core::ZoneId{ i % zones }, {}, {} });
    }
    settings.journal.claimBuckets = 1 + UniformBelow(8);
    settings.limits.progressDeadline = Duration(1'000'000);
  }

  void MakeClasses()
  {
    core::RequestClass chat;
    chat.name = "chat";
    chat.service = kEngines;
    chat.qualityTarget = 0.9;
    chat.deadline = Duration(15'000'000);
    chat.versions = { kSmall, kSmallNew, kLarge };
    core::RequestClass lookup;
    lookup.name = "lookup";
    lookup.service = kShops;
    lookup.deadline = Duration(5'000'000);
    lookup.versions = { kShop };
    core::RequestClass booking = lookup;
    booking.name = "booking";
    booking.deadline = Duration(8'000'000);
    booking.repeatable = false;
    history_.settings.classes = { chat, lookup, booking };
  }

  void MakeUpstreams(uint32_t aZones)
  {
    const uint32_t perZone = 2 + UniformBelow(2);
    for (uint32_t zone = 0; zone < aZones; ++zone) {
      for (uint32_t i = 0; i <= perZone; ++i) {
        const bool plain = i == perZone;
        core::Upstream upstream;
        upstream.name = (plain ? "shop-" : "chat-") + std::to_string(zone) +
                        "-" + std::to_string(i);
        upstream.service = plain ? kShops : kEngines;
        upstream.zone = core::ZoneId{ zone };
        upstream.capacity = 4 + UniformBelow(5);
        upstream.coldFloor = 1 + UniformBelow(2);
        upstream.coldRamp = Duration(1'000'000 + UniformBelow(2'000'000));
        upstream.versions = plain ? std::vector{ kShop }
                                  : std::vector{ kSmall, kSmallNew, kLarge };
        history_.settings.upstreams.push_back(std::move(upstream));
      }
    }
  }

  void MakeRequests()
  {
    for (uint32_t i = 0; i < kRequests; ++i) {
      TraceRequest request;
      request.at = core::FromSeconds(
        std::uniform_real_distribution<double>(0, kTraceSeconds)(random_));
      request.organisation =
        core::OrganisationId{ UniformBelow(kOrganisations) };
      const uint32_t kind = UniformBelow(10);
      request.requestClass = kind < 5 ? kChat : kind < 7 ? kLookup : kBooking;
      request.requestId = "r" + std::to_string(i);
      if (request.requestClass == kChat) {
        request.promptTokens = 50 + UniformBelow(200);
        request.outputTokens = 8 + UniformBelow(60);
        request.difficulty = UniformBelow(1000) / 1000.0;
        request.crashes = Chance(0.01);
        request.session =
          Chance(0.4) ? "s" + std::to_string(UniformBelow(kSessions)) : "";
      }
      history_.trace.lines.push_back(request);
      if (Chance(0.25)) {
        request.at += Duration(UniformBelow(2'500'000));
        history_.trace.lines.push_back(request);
      }
    }
  }

  void AddFault(Duration aAt)
  {
    const core::Settings& settings = history_.settings;
    TraceEvent event;
    event.at = aAt;
    event.kind = kFaultKinds[UniformBelow(kFaultKinds.size())];
    event.version = Chance(0.5) ? kSmall : kSmallNew;
    event.zone = core::ZoneId{ UniformBelow(
      static_cast<uint32_t>(settings.zones.size())) };
    event.instance = core::InstanceId{ UniformBelow(
      static_cast<uint32_t>(settings.instances.size())) };
    event.upstream = core::UpstreamId{ UniformBelow(
      static_cast<uint32_t>(settings.upstreams.size())) };
    event.exposure = (1 + UniformBelow(10)) / 10.0;
    event.duration = Duration(300'000 + UniformBelow(2'500'000));
    if (event.kind == TraceEventKind::RollOut) {
      event.version = kSmallNew;
    }
    history_.trace.lines.push_back(event);
    if (event.kind == TraceEventKind::ZoneOut) {
      event.kind = TraceEventKind::ZoneIn;
      event.at += event.duration;
      history_.trace.lines.push_back(event);
    }
  }

  void MakeOptions()
  {
    SimulationOptions& options = history_.options;
    options.messageLossShare = Chance(0.5) ? 0.05 : 0;
    options.messageDuplicateShare = Chance(0.5) ? 0.05 : 0;
    options.maxMessageJitter = Duration(Chance(0.5) ? 30'000 : 0);
    options.lostPlatformResponseShare = Chance(0.5) ? 0.1 : 0.01;
  }

  void SortTrace()
  {
    auto& lines = history_.trace.lines;
    const auto at = [](const TraceLine& aLine) {
      return std::visit([](const auto& aEntry) { return aEntry.at; }, aLine);
    };
    std::stable_sort(
      lines.begin(), lines.end(), [&](const auto& aLeft, const auto& aRight) {
        return at(aLeft) < at(aRight);
      });
    history_.trace.duration = at(lines.back());
  }

  std::mt19937_64 random_;
  History history_;
};

} // namespace

History
MakeHistory(uint64_t aSeed)
{
  return HistoryGenerator(aSeed).Generate();
}

RunStatistics
SimulateHistory(const History& aHistory)
{
  const SimulationResult result =
    RunSimulation(aHistory.settings, aHistory.trace, aHistory.options);
  return ComputeStatistics(aHistory.settings, result.observations, result.cost);
}

} // namespace hibiscusnotch::replay
