#include "hibiscusnotch/core/router.hpp"

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <vector>

using namespace hibiscusnotch::core;

namespace {

constexpr uint32_t kVersions = 25;
constexpr uint32_t kZones = 5;
constexpr uint32_t kOrganisations = 10;
constexpr uint64_t kRequests = 200'000;

Settings
MakeSettings(uint32_t aUpstreams)
{
  Settings settings;
  for (uint32_t i = 0; i < kZones; ++i) {
    settings.zones.push_back({ "zone-" + std::to_string(i), "region" });
  }
  settings.services = { { "chat", ServiceKind::Engine } };
  RequestClass chat;
  chat.name = "chat";
  chat.service = ServiceId{ 0 };
  chat.qualityTarget = 0.9;
  chat.deadline = Duration(30'000'000);
  for (uint32_t i = 0; i < kVersions; ++i) {
    settings.versions.push_back({ "version-" + std::to_string(i),
                                  "model-" + std::to_string(i),
                                  0.1 * (i + 1),
                                  1 });
    chat.versions.push_back(VersionId{ i });
  }
  settings.classes = { chat };
  for (uint32_t i = 0; i < kOrganisations; ++i) {
    Organisation organisation;
    organisation.name = "organisation-" + std::to_string(i);
    organisation.versions = chat.versions;
    settings.organisations.push_back(organisation);
  }
  for (uint32_t i = 0; i < aUpstreams; ++i) {
    Upstream upstream;
    upstream.name = "upstream-" + std::to_string(i);
    upstream.service = ServiceId{ 0 };
    upstream.zone = ZoneId{ i % kZones };
    upstream.versions = chat.versions;
    upstream.capacity = 64;
    settings.upstreams.push_back(upstream);
  }
  settings.instances = { { "self", ZoneId{ 0 }, {}, {} } };
  settings.journal.maxQueuedBills = 10'000'000;
  return settings;
}

/// Responds to each platform call among the actions as successful.
void
AnswerCalls(Router& aRouter, TimePoint aNow, const Actions& aActions)
{
  Actions ignored;
  for (const Action& action : aActions) {
    if (const auto* call = std::get_if<CallPlatform>(&action)) {
      aRouter.Handle(
        aNow,
        PlatformResponse{ call->call, PlatformStatus::Ok, call->call, {} },
        ignored);
    }
  }
}

/// Runs requests from arrival to the last chunk and returns decisions per
/// second; each request takes two, its start and its end.
double
DecisionsPerSecond(uint32_t aUpstreams)
{
  const Settings settings = MakeSettings(aUpstreams);
  const auto router = MakeRouter(settings, RouterOptions{ InstanceId{ 0 } });
  TimePoint now{ Duration(1'000'000'000) };
  Actions actions;
  router->Handle(now, Tick{}, actions);
  now += Duration(4'000'000);
  for (uint32_t i = 0; i < aUpstreams; ++i) {
    router->Handle(
      now,
      UpstreamLoadReport{ UpstreamId{ i }, 1, Duration(60'000'000), 0, false },
      actions);
  }
  const auto begin = std::chrono::steady_clock::now();
  std::vector<StartAttempt> started;
  for (uint64_t i = 1; i <= kRequests; ++i) {
    now += Duration(5);
    RequestArrived request;
    request.handle = i;
    request.organisation =
      OrganisationId{ static_cast<uint32_t>(i % kOrganisations) };
    request.requestClass = ClassId{ 0 };
    request.requestId = "r" + std::to_string(i);
    request.fingerprint = i;
    request.promptTokens = 100;
    actions.clear();
    router->Handle(now, request, actions);
    AnswerCalls(*router, now, actions);
    for (const Action& action : actions) {
      if (const auto* start = std::get_if<StartAttempt>(&action)) {
        started.push_back(*start);
      }
    }
    if (started.size() < aUpstreams) {
      continue;
    }
    for (const StartAttempt& start : started) {
      actions.clear();
      router->Handle(
        now,
        AttemptChunk{ start.attempt, 0, 10, "text", true, 1, 0.9, false },
        actions);
    }
    started.clear();
  }
  const double seconds =
    std::chrono::duration<double>(std::chrono::steady_clock::now() - begin)
      .count();
  return 2.0 * static_cast<double>(kRequests) / seconds;
}

} // namespace

/// Prints decisions per second on one core, by the number of upstreams.
int
main()
{
  std::puts("| upstreams | versions | decisions/s | against 6 upstreams |");
  std::puts("|---|---|---|---|");
  double first = 0;
  for (const uint32_t upstreams : { 6U, 20U, 100U, 600U }) {
    const double rate = DecisionsPerSecond(upstreams);
    first = first == 0 ? rate : first;
    std::printf(
      "| %u | %u | %.0f | %.2f |\n", upstreams, kVersions, rate, rate / first);
  }
  return 0;
}
