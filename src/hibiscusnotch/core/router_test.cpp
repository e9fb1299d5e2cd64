#include "hibiscusnotch/core/router.hpp"

#include <doctest/doctest.h>

using namespace hibiscusnotch::core;

namespace {

constexpr UpstreamId kEngine{ 0 };
constexpr UpstreamId kShop{ 1 };
constexpr UpstreamId kOtherEngine{ 2 };
constexpr ClassId kChat{ 0 };
constexpr ClassId kBooking{ 1 };
constexpr VersionId kModel{ 0 };
constexpr Duration kTickInterval{ 100'000 };

Settings
MakeSettings()
{
  Settings settings;
  settings.deployment = "test";
  settings.zones = { { "a", "r" } };
  settings.services = { { "chat", ServiceKind::Engine },
                        { "shop", ServiceKind::Plain } };
  settings.versions = { { "model-1", "model", 1, 1 },
                        { "shop-1", "shop", 1, 1 } };
  RequestClass chat;
  chat.name = "chat";
  chat.service = ServiceId{ 0 };
  chat.deadline = Duration(10'000'000);
  chat.versions = { kModel };
  RequestClass booking = chat;
  booking.name = "booking";
  booking.service = ServiceId{ 1 };
  booking.repeatable = false;
  booking.versions = { VersionId{ 1 } };
  settings.classes = { chat, booking };
  Organisation organisation;
  organisation.name = "organisation";
  organisation.versions = { kModel, VersionId{ 1 } };
  settings.organisations = { organisation };
  for (const auto& [name, service] :
       { std::pair("engine", 0U), { "shop", 1U }, { "engine-2", 0U } }) {
    Upstream upstream;
    upstream.name = name;
    upstream.service = ServiceId{ service };
    upstream.zone = ZoneId{ 0 };
    upstream.versions = { VersionId{ service } };
    upstream.capacity = 2;
    upstream.coldFloor = 2;
    upstream.coldRamp = Duration(1'000'000);
    settings.upstreams.push_back(upstream);
  }
  settings.instances = { { "self", ZoneId{ 0 }, {}, {} },
                         { "peer", ZoneId{ 0 }, {}, {} } };
  return settings;
}

/// Drives one router and keeps the actions of the last event.
class Driver
{
public:
  Driver()
    : settings_(MakeSettings())
    , router_(MakeRouter(settings_, RouterOptions{ InstanceId{ 0 } }))
  {
    Handle(Tick{});
    const CallPlatform read = *FindCall("configuration");
    Handle(PlatformResponse{ read.call, PlatformStatus::NotFound, 0, {} });
    for (const UpstreamId upstream : { kEngine, kShop, kOtherEngine }) {
      Handle(UpstreamLoadReport{ upstream, 1, Duration(60'000'000), 0, false });
    }
  }

  void Handle(Event aEvent)
  {
    last_.clear();
    router_->Handle(now_, std::move(aEvent), last_);
  }

  void HandleRequest(RequestHandle aHandle, ClassId aClass)
  {
    RequestArrived request;
    request.handle = aHandle;
    request.organisation = OrganisationId{ 0 };
    request.requestClass = aClass;
    request.requestId = "r" + std::to_string(aHandle);
    request.fingerprint = aHandle;
    Handle(request);
  }

  /// The last event's first action of a type, if there is one.
  template<class Type>
  const Type* Find() const
  {
    for (const Action& action : last_) {
      if (const auto* found = std::get_if<Type>(&action)) {
        return found;
      }
    }
    return nullptr;
  }

  /// Advances the time with regular ticks.
  void AdvanceTime(Duration aTime)
  {
    for (Duration passed{ 0 }; passed < aTime; passed += kTickInterval) {
      now_ += kTickInterval;
      Handle(Tick{});
    }
  }

  /// Advances the time without ticks, as when the process is suspended.
  void PauseProcess(Duration aTime) { now_ += aTime; }

  const CallPlatform* FindCall(std::string_view aPrefix) const
  {
    for (const Action& action : last_) {
      const auto* call = std::get_if<CallPlatform>(&action);
      if (call && call->key.starts_with(aPrefix)) {
        return call;
      }
    }
    return nullptr;
  }

  const Router& Core() const { return *router_; }

private:
  Settings settings_;
  std::unique_ptr<Router> router_;
  TimePoint now_{ Duration(1'000'000'000) };
  Actions last_;
};

/// Plays the platform's part until the requested claim is committed.
StartAttempt
GrantClaim(Driver& aDriver)
{
  const CallPlatform read = *aDriver.FindCall("claims/");
  aDriver.Handle(
    PlatformResponse{ read.call, PlatformStatus::NotFound, 0, {} });
  const CallPlatform write = *aDriver.FindCall("claims/");
  CHECK(aDriver.Find<StartAttempt>() == nullptr);
  aDriver.Handle(PlatformResponse{ write.call, PlatformStatus::Ok, 1, {} });
  const auto* start = aDriver.Find<StartAttempt>();
  REQUIRE(start != nullptr);
  return *start;
}

} // namespace

TEST_CASE("a non-repeatable request runs only after its claim is committed")
{
  Driver driver;
  driver.HandleRequest(1, kBooking);
  CHECK(driver.Find<StartAttempt>() == nullptr);
  CHECK(GrantClaim(driver).upstream == kShop);
}

TEST_CASE(
  "a lost non-repeatable request is refused as possibly run, not retried")
{
  Driver driver;
  driver.HandleRequest(1, kBooking);
  const StartAttempt start = GrantClaim(driver);
  driver.Handle(AttemptFailed{ start.attempt, FailureKind::Lost, false });
  CHECK(driver.Find<StartAttempt>() == nullptr);
  const auto* refused = driver.Find<Refuse>();
  REQUIRE(refused != nullptr);
  CHECK(refused->refusal.verdict == Verdict::MayHaveRun);
  CHECK(refused->refusal.reason == Reason::OutcomeUnknown);
}

TEST_CASE("a non-repeatable request is refused as not run in a platform outage")
{
  Driver driver;
  driver.HandleRequest(1, kBooking);
  const CallPlatform read = *driver.FindCall("claims/");
  driver.Handle(
    PlatformResponse{ read.call, PlatformStatus::Unavailable, 0, {} });
  const auto* refused = driver.Find<Refuse>();
  REQUIRE(refused != nullptr);
  CHECK(refused->refusal.verdict == Verdict::NotRun);
  CHECK(refused->refusal.retryAfter.count() > 0);
}

TEST_CASE("a refused attempt is retried at another upstream")
{
  Driver driver;
  driver.HandleRequest(1, kChat);
  const StartAttempt first = *driver.Find<StartAttempt>();
  driver.Handle(AttemptFailed{ first.attempt, FailureKind::Refused, false });
  const auto* second = driver.Find<StartAttempt>();
  REQUIRE(second != nullptr);
  CHECK(second->upstream != first.upstream);
}

TEST_CASE("a request that crashes two upstreams is quarantined at once")
{
  Driver driver;
  driver.HandleRequest(1, kChat);
  const StartAttempt first = *driver.Find<StartAttempt>();
  driver.Handle(AttemptFailed{ first.attempt, FailureKind::Lost, false });
  const StartAttempt second = *driver.Find<StartAttempt>();
  driver.Handle(AttemptFailed{ second.attempt, FailureKind::Lost, false });
  const auto* refused = driver.Find<Refuse>();
  REQUIRE(refused != nullptr);
  CHECK(refused->refusal.reason == Reason::Quarantined);
  CHECK(refused->refusal.verdict == Verdict::MayHaveRun);
}

TEST_CASE("early chunks wait, duplicates and foreign chunks are dropped")
{
  Driver driver;
  driver.HandleRequest(1, kChat);
  const AttemptId attempt = driver.Find<StartAttempt>()->attempt;
  driver.Handle(AttemptChunk{ attempt, 4, 4, "late", false, 1, {}, false });
  CHECK(driver.Find<ForwardChunk>() == nullptr);
  driver.Handle(AttemptChunk{ attempt, 0, 4, "first", false, 1, {}, false });
  CHECK(driver.Find<ForwardChunk>()->payload == "first");
  driver.Handle(AttemptChunk{ attempt, 0, 4, "again", false, 1, {}, false });
  CHECK(driver.Find<ForwardChunk>() == nullptr);
  driver.Handle(
    AttemptChunk{ attempt + 999, 8, 4, "other", false, 1, {}, false });
  CHECK(driver.Find<ForwardChunk>() == nullptr);
  CHECK(driver.Core().Counters().crossedChunks == 2);
}

TEST_CASE("a stream whose connection is lost resumes at its offset")
{
  Driver driver;
  driver.HandleRequest(1, kChat);
  const StartAttempt first = *driver.Find<StartAttempt>();
  driver.Handle(
    AttemptChunk{ first.attempt, 0, 8, "begun", false, 1, {}, false });
  driver.Handle(AttemptFailed{ first.attempt, FailureKind::Lost, false });
  const auto* second = driver.Find<StartAttempt>();
  REQUIRE(second != nullptr);
  CHECK(second->version == first.version);
  CHECK(second->resumeOffset == 8);
}

TEST_CASE("a stalled stream resumes once a probe on a new connection succeeds")
{
  Driver driver;
  driver.HandleRequest(1, kChat);
  const StartAttempt first = *driver.Find<StartAttempt>();
  driver.Handle(
    AttemptChunk{ first.attempt, 0, 8, "begun", false, 1, {}, false });
  driver.AdvanceTime(Duration(2'600'000));
  driver.Handle(Tick{});
  driver.Handle(
    UpstreamLoadReport{ first.upstream, 1, Duration(60'000'000), 1, false });
  CHECK(driver.Find<CancelAttempt>()->attempt == first.attempt);
  CHECK(driver.Find<StartAttempt>()->resumeOffset == 8);
}

TEST_CASE("a cold upstream gets its cold floor, other requests queue")
{
  Driver driver;
  for (const UpstreamId upstream : { kEngine, kOtherEngine }) {
    driver.Handle(UpstreamLoadReport{ upstream, 2, Duration(0), 0, false });
  }
  // The cold floor of 2 is divided between the zone's two instances.
  std::size_t started = 0;
  for (RequestHandle handle = 1; handle <= 5; ++handle) {
    driver.HandleRequest(handle, kChat);
    started += driver.Find<StartAttempt>() ? 1 : 0;
  }
  CHECK(started == 2);
  CHECK(driver.Core().QueuedRequestCount() == 3);
}

TEST_CASE("a withdrawn version gets no work, not even queued requests")
{
  Driver driver;
  for (RequestHandle handle = 1; handle <= 6; ++handle) {
    driver.HandleRequest(handle, kChat);
  }
  CHECK(driver.Core().QueuedRequestCount() == 2);
  LiveConfiguration live;
  live.withdrawn.insert(kModel);
  const Settings settings = MakeSettings();
  driver.Handle(PeerMessageArrived{
    InstanceId{ 0 },
    ConfigurationUpdate{ 5, EncodeConfiguration(settings, live) } });
  CHECK(driver.Core().QueuedRequestCount() == 0);
  driver.HandleRequest(9, kChat);
  CHECK(driver.Find<StartAttempt>() == nullptr);
  CHECK(driver.Find<Refuse>()->refusal.reason == Reason::VersionWithdrawn);
  // An older configuration changes nothing.
  driver.Handle(PeerMessageArrived{
    InstanceId{ 0 },
    ConfigurationUpdate{ 4, EncodeConfiguration(settings, {}) } });
  CHECK(driver.Core().Configuration().revision == 5);
}

TEST_CASE("the same events with the same seed give the same actions")
{
  std::string texts[2];
  for (std::string& text : texts) {
    Driver driver;
    for (RequestHandle handle = 1; handle <= 4; ++handle) {
      driver.HandleRequest(handle, kChat);
      const auto* start = driver.Find<StartAttempt>();
      text += start ? std::to_string(start->attempt) + "@" +
                        std::to_string(start->upstream.value) + " "
                    : "- ";
    }
  }
  CHECK(texts[0] == texts[1]);
}

TEST_CASE("a process that was suspended dispatches only after a resync")
{
  Driver driver;
  driver.PauseProcess(Duration(5'000'000));
  driver.HandleRequest(1, kChat);
  CHECK(driver.Find<StartAttempt>() == nullptr);
  CHECK(driver.Core().QueuedRequestCount() == 1);
  Heartbeat heartbeat;
  heartbeat.incarnation = 1;
  heartbeat.sequence = 1;
  for (const UpstreamId upstream : { kEngine, kOtherEngine }) {
    driver.Handle(
      UpstreamLoadReport{ upstream, 1, Duration(60'000'000), 0, false });
  }
  CHECK(driver.Core().QueuedRequestCount() == 1);
  driver.Handle(PeerMessageArrived{ InstanceId{ 1 }, heartbeat });
  CHECK(driver.Find<StartAttempt>() != nullptr);
}
