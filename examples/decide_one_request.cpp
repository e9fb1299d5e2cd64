// Feeds events to the decision core: a request arrives, an attempt starts.

#include "hibiscusnotch/core/router.hpp"

#include <iostream>

using namespace hibiscusnotch::core;

namespace {

Settings
MakeSettings()
{
  Settings settings;
  settings.zones = { { "zone", "region" } };
  settings.services = { { "chat", ServiceKind::Engine } };
  settings.versions = { { "model-1", "model", 1.0, 1.0 } };
  RequestClass chat;
  chat.name = "chat";
  chat.service = ServiceId{ 0 };
  chat.deadline = Duration(10'000'000);
  chat.versions = { VersionId{ 0 } };
  settings.classes = { chat };
  Organisation organisation;
  organisation.name = "organisation";
  organisation.versions = chat.versions;
  settings.organisations = { organisation };
  Upstream upstream;
  upstream.name = "engine";
  upstream.service = ServiceId{ 0 };
  upstream.zone = ZoneId{ 0 };
  upstream.versions = chat.versions;
  settings.upstreams = { upstream };
  settings.instances = { { "self", ZoneId{ 0 }, {}, {} } };
  return settings;
}

} // namespace

int
main()
{
  const Settings settings = MakeSettings();
  const auto router = MakeRouter(settings, RouterOptions{ InstanceId{ 0 } });
  const TimePoint now{ Duration(1'000'000'000) };
  Actions actions;
  router->Handle(now, Tick{}, actions);
  // The platform has no configuration yet, so the settings apply.
  for (const Action& action : Actions(actions)) {
    if (const auto* call = std::get_if<CallPlatform>(&action)) {
      router->Handle(
        now,
        PlatformResponse{ call->call, PlatformStatus::NotFound, 0, {} },
        actions);
    }
  }
  router->Handle(
    now,
    UpstreamLoadReport{ UpstreamId{ 0 }, 1, Duration(60'000'000), 0, false },
    actions);
  actions.clear();
  RequestArrived request;
  request.handle = 1;
  request.organisation = OrganisationId{ 0 };
  request.requestClass = ClassId{ 0 };
  request.requestId = "first";
  router->Handle(now, request, actions);
  for (const Action& action : actions) {
    if (const auto* start = std::get_if<StartAttempt>(&action)) {
      std::cout << "attempt at " << settings.At(start->upstream).name << " on "
                << settings.At(start->version).name << '\n';
    }
  }
  return 0;
}
