#include "hibiscusnotch/entry/request_router.hpp"

#include "hibiscusnotch/testing/fake_header_codec.hpp"
#include "hibiscusnotch/testing/fake_listener.hpp"
#include "hibiscusnotch/testing/fake_outbound_client.hpp"
#include "hibiscusnotch/testing/manual_timers.hpp"

#include <algorithm>
#include <doctest/doctest.h>
#include <string>
#include <vector>

using namespace hibiscusnotch::entry;
using hibiscusnotch::relay::CallOutcome;
using hibiscusnotch::routing::ExecutionSemantics;
using hibiscusnotch::testing::FakeHeaderCodec;
using hibiscusnotch::testing::FakeListener;
using hibiscusnotch::testing::FakeOutboundClient;
using hibiscusnotch::testing::ManualTimers;
namespace net = hibiscusnotch::net;
namespace relay = hibiscusnotch::relay;
namespace routing = hibiscusnotch::routing;

namespace {

constexpr Duration kSecond{ 1'000'000 };

/// One instance before one upstream that takes as many requests as it has
/// slots, and organisations of three priorities.
struct Fixture
{
  ManualTimers timers;
  FakeOutboundClient client;
  FakeListener listener;
  FakeHeaderCodec headerCodec;
  FleetState fleet;
  EventLog log{ timers, { "test", 0, 0 } };
  std::unique_ptr<hibiscusnotch::observe::Metrics> metrics =
    hibiscusnotch::observe::MakeMetrics();
  std::unique_ptr<RequestRouter> router;
  relay::ExchangeId last = 0;

  explicit Fixture(uint32_t aSlots = 1)
  {
    RouterOptions options;
    options.instanceName = "self";
    options.zone = "east";
    options.enforceKeyRevocation = false;
    options.retryBudget.minRetries = 100;
    router = MakeRequestRouter(
      options, { timers, client, headerCodec, fleet, log, *metrics });
    router->SetListener(RequestOrigin::Caller, listener);
    fleet.instances["self"] = { {}, "east" };
    fleet.brittleServices.insert("app"); // bounds requests by slots
    routing::Configuration configuration;
    configuration.version = 1;
    for (const auto& [name, semantics] :
         { std::pair("unsafe", ExecutionSemantics::AtMostOnce),
           std::pair("stream", ExecutionSemantics::Stream) }) {
      routing::Route route;
      route.name = name;
      route.host = "h";
      route.pathPrefix = std::string("/") + name + "/";
      route.executionSemantics = semantics;
      route.resumable = semantics == ExecutionSemantics::Stream;
      route.timeout = 10 * kSecond;
      route.latencyTarget = 4 * kSecond;
      route.priority = 1;
      route.maxAttempts = 3;
      route.services = { { "app", 1 } };
      configuration.routes.push_back(route);
    }
    configuration.organisations = { { "urgent", 0 },
                                    { "usual", std::nullopt },
                                    { "other", std::nullopt },
                                    { "low", 2 } };
    configuration.organisationByKey = {
      { "urgent", 0 }, { "usual", 1 }, { "other", 2 }, { "low", 3 }
    };
    configuration.BuildRouteIndex();
    fleet.configuration =
      std::make_shared<routing::Configuration>(configuration);
    Add("u1", aSlots);
  }

  void Add(const std::string& aName, uint32_t aSlots)
  {
    routing::UpstreamEntry entry;
    entry.name = aName;
    entry.endpoint = { aName, 1 };
    entry.service = "app";
    entry.zone = "east";
    entry.slots = aSlots;
    fleet.upstreams.Apply(entry, timers.Now());
  }

  relay::ExchangeId Request(const std::string& aKey,
                            const std::string& aRoute = "unsafe")
  {
    net::HttpRequest request;
    request.method = "POST";
    request.target = "/" + aRoute + "/x";
    request.headers = { { "id", "r" + std::to_string(++last) },
                        { "host", "h" },
                        { "key", aKey },
                        { "left", "9000" } };
    request.body = "body" + std::to_string(last);
    router->OnRequest(RequestOrigin::Caller, last, request);
    return last;
  }

  /// Answers a send and lets the clock run a little.
  void Reply(std::size_t aSend)
  {
    client.Head(aSend, HeadOf(aSend));
    client.Body(aSend, "answer");
    client.End(aSend, CallOutcome::Complete);
    timers.Advance(Duration{ 1'000 });
  }

  relay::ResponseHead HeadOf(std::size_t aSend)
  {
    const std::string& message = client.sent.at(aSend).call.message;
    relay::ResponseHead head;
    head.status = 200;
    head.headers = { { "id", message.substr(message.find(" id=") + 4) },
                     { "seal", "s" },
                     { "brittle", "1" } };
    head.isSelfDelimited = true;
    return head;
  }

  std::string OrganisationOf(std::size_t aSend)
  {
    const std::string& message = client.sent.at(aSend).call.message;
    const std::size_t at = message.find("organisation=") + 13;
    return message.substr(at, message.find(' ', at) - at);
  }

  std::string ReasonOf(relay::ExchangeId aId)
  {
    const std::string& body = listener.answers[aId].body;
    return listener.answers[aId].status == 503 ? body : "";
  }
};

bool
Contains(const std::string& aText, const std::string& aPart)
{
  return aText.find(aPart) != std::string::npos;
}

} // namespace

// Guards against the former order by chance: whoever looked first was sent.
TEST_CASE("waiting requests are sent by priority and organisation")
{
  Fixture fixture;
  for (const char* key :
       { "usual", "low", "usual", "usual", "other", "urgent" }) {
    fixture.Request(key);
  }
  CHECK(fixture.router->QueuedRequestCount() == 5);
  std::vector<std::string> order;
  for (std::size_t send = 0; send < 6; ++send) {
    REQUIRE(fixture.client.sent.size() == send + 1);
    order.push_back(fixture.OrganisationOf(send));
    fixture.Reply(send);
  }
  CHECK(order[1] == "urgent");
  CHECK(std::ranges::find(order, "other") < order.begin() + 4); // shares
  CHECK(order[5] == "low");
  CHECK(fixture.router->QueuedRequestCount() == 0);
}

// Guards against capacity that stays free until the next look of a waiter.
TEST_CASE("ended attempts, new upstreams and callers that leave wake the queue")
{
  Fixture fixture;
  fixture.Request("usual");
  const auto gone = fixture.Request("usual");
  for (int request = 0; request < 3; ++request) {
    fixture.Request("usual");
  }
  fixture.Reply(0);
  CHECK(fixture.client.sent.size() == 2);
  // Its caller leaves while it is executed.
  fixture.router->OnClientDisconnected(RequestOrigin::Caller, gone);
  fixture.timers.Advance(Duration{ 1'000 });
  CHECK(fixture.client.sent.size() == 3);
  fixture.Add("u2", 1);
  fixture.timers.Advance(Duration{ 1'000 });
  CHECK(fixture.client.sent.size() == 4);
  CHECK(fixture.router->QueuedRequestCount() == 1);
}

// Guards against a wait beyond the end of a pause that is known in advance.
TEST_CASE("a known opening is used when it comes")
{
  Fixture fixture(8);
  fixture.fleet.upstreams.RecordBackoff(
    *fixture.fleet.upstreams.FindByName("u1"),
    fixture.timers.Now() + Duration{ 123'000 });
  fixture.Request("usual");
  fixture.timers.Advance(Duration{ 122'000 });
  CHECK(fixture.client.sent.empty());
  fixture.timers.Advance(Duration{ 2'000 });
  CHECK(fixture.client.sent.size() == 1);
}

// Guards against a new request that takes the room for which others wait.
TEST_CASE("a new request does not go ahead of those that wait")
{
  Fixture fixture;
  fixture.Request("urgent");
  fixture.Request("urgent");
  fixture.client.Head(0, fixture.HeadOf(0));
  fixture.client.End(0, CallOutcome::Complete);
  fixture.Request("low"); // before the queue is served
  fixture.timers.Advance(Duration{ 1'000 });
  REQUIRE(fixture.client.sent.size() == 2);
  CHECK(fixture.OrganisationOf(1) == "urgent");
  CHECK(fixture.router->QueuedRequestCount() == 1);
}

// Guards against waits in vain and against callers that all return at once.
TEST_CASE(
  "what cannot start in time is refused at once and told when to return")
{
  Fixture fixture;
  std::size_t answered = 0;
  fixture.Request("usual");
  // Ten starts a second for a second, with a queue that fits the wait.
  for (int round = 0; round < 12; ++round) {
    while (fixture.router->QueuedRequestCount() < 4) {
      fixture.Request("usual");
    }
    fixture.timers.Advance(Duration{ 99'000 });
    REQUIRE(answered < fixture.client.sent.size());
    fixture.Reply(answered++);
  }
  std::vector<relay::ExchangeId> refused;
  for (int request = 0; request < 30; ++request) {
    const auto id = fixture.Request("usual");
    if (!fixture.ReasonOf(id).empty()) {
      refused.push_back(id);
    }
  }
  REQUIRE(refused.size() >= 15);
  long long last = 0;
  for (const relay::ExchangeId id : refused) {
    CHECK(Contains(fixture.ReasonOf(id), "queue_full"));
    CHECK(Contains(fixture.ReasonOf(id), "not_run"));
    const auto retry =
      std::stoll(std::string(fixture.listener.answers[id].Header("retry")));
    CHECK(retry > last);
    last = retry;
  }
  // Another organisation's first request is not refused for that.
  const auto other = fixture.Request("other");
  CHECK(fixture.ReasonOf(other).empty());
  fixture.Reply(answered++);
  CHECK(fixture.OrganisationOf(answered) == "other");
}

// Guards against refusals while the pace is not known: short gaps end soon.
TEST_CASE("requests wait up to their limit and are refused as not run")
{
  Fixture fixture;
  fixture.Request("usual");
  std::vector<relay::ExchangeId> waiting(100);
  for (relay::ExchangeId& request : waiting) {
    request = fixture.Request("usual");
  }
  fixture.timers.Advance(Duration{ 790'000 });
  CHECK(fixture.router->QueuedRequestCount() == 100);
  fixture.timers.Advance(Duration{ 15'000 });
  CHECK(fixture.router->QueuedRequestCount() == 0);
  for (const relay::ExchangeId id : waiting) {
    CHECK(Contains(fixture.ReasonOf(id), "not_run"));
  }
  CHECK(fixture.client.sent.size() == 1);
}

// Guards against a stream under way that waits behind requests not begun.
TEST_CASE("a broken stream resumes before those that wait")
{
  Fixture fixture;
  const auto stream = fixture.Request("low", "stream");
  fixture.client.Head(0, fixture.HeadOf(0));
  fixture.client.Body(0, "id: 1\ndata: x\n\n");
  fixture.Add("u2", 1);
  fixture.Request("usual"); // takes u2
  fixture.Request("urgent");
  CHECK(fixture.client.sent.size() == 2);
  // The upstream of the stream ends; the stream waits longer than others may.
  fixture.fleet.upstreams.Remove("u1", fixture.timers.Now());
  fixture.client.End(0, CallOutcome::ConnectionLost);
  fixture.timers.Advance(kSecond);
  CHECK(fixture.client.sent.size() == 2);
  CHECK_FALSE(fixture.listener.answers[stream].aborted);
  fixture.Request("urgent");
  fixture.Reply(1);
  REQUIRE(fixture.client.sent.size() == 3);
  CHECK(Contains(fixture.client.sent[2].call.message, "after=1"));
}

// Guards against a process that ends while requests wait.
TEST_CASE("a router that ends leaves no observer and no timer behind")
{
  Fixture fixture;
  fixture.Request("usual");
  fixture.Request("usual");
  fixture.router.reset();
  fixture.Add("u2", 1);
  fixture.fleet.upstreams.RecordEnd(*fixture.fleet.upstreams.FindByName("u1"));
}
