#include "hibiscusnotch/testing/router_fleet.hpp"

#include <algorithm>
#include <doctest/doctest.h>
#include <vector>

using namespace hibiscusnotch;
using hibiscusnotch::testing::CutKind;
using hibiscusnotch::testing::FakeOutboundClient;
using hibiscusnotch::testing::Idle;
using hibiscusnotch::testing::IsServed;
using hibiscusnotch::testing::RouterFleet;
using hibiscusnotch::testing::RouterFleetOptions;
using hibiscusnotch::testing::RunLoad;
using hibiscusnotch::testing::SentRequest;

namespace {

constexpr core::Duration kSecond{ 1'000'000 };
constexpr core::Duration kStableWindow = 3 * kSecond;

struct ServedCount
{
  double served = 0;
  double all = 0;
};

ServedCount
CountServed(const RouterFleet& aFleet,
            const std::vector<SentRequest>& aSent,
            bool aCutOff)
{
  ServedCount count;
  for (const SentRequest& request : aSent) {
    if (aFleet.cutOff.contains(request.instance) == aCutOff) {
      count.all += 1;
      count.served += IsServed(aFleet, request) ? 1 : 0;
    }
  }
  return count;
}

struct CutCase
{
  RouterFleetOptions fleet;
  std::vector<std::size_t> cutOff;
  CutKind kind = CutKind::Hang;
  double requestsPerSecond = 0; ///< Of all instances.
};

std::vector<std::size_t>
EachNth(std::size_t aStep, std::size_t aCount)
{
  std::vector<std::size_t> indexes;
  for (std::size_t index = 0; index < aCount; index += aStep) {
    indexes.push_back(index);
  }
  return indexes;
}

} // namespace

// Guards against callers who get nothing because their instance lost its links
// to the upstreams, though its peers reach them.
TEST_CASE("an instance cut off from all upstreams serves as well as others")
{
  for (const CutCase& test : {
         CutCase{ { 8, 12, 3 }, { 0, 1, 3, 4, 5 }, CutKind::Hang, 41 },
         CutCase{ { 8, 12, 3 }, { 0, 3, 6 }, CutKind::Refuse, 41 },
         CutCase{ { 8, 12, 3 }, { 0, 3, 6 }, CutKind::Reset, 41 },
         CutCase{ { 8, 12, 3 }, { 2 }, CutKind::Hang, 4 },
         CutCase{ { 65, 80, 4 }, EachNth(4, 65), CutKind::Hang, 200 },
         CutCase{ { 295, 320, 5 }, EachNth(3, 295), CutKind::Hang, 600 },
       }) {
    CAPTURE(test.fleet.instances);
    CAPTURE(test.cutOff.size());
    CAPTURE(static_cast<int>(test.kind));
    RouterFleet fleet(test.fleet);
    RunLoad(fleet, test.requestsPerSecond, kSecond);
    for (const std::size_t index : test.cutOff) {
      fleet.cutOff[index] = test.kind;
    }
    RunLoad(fleet, test.requestsPerSecond, kStableWindow);
    const auto sent = RunLoad(fleet, test.requestsPerSecond, 8 * kSecond);
    Idle(fleet, 4 * kSecond);
    const ServedCount cutOff = CountServed(fleet, sent, true);
    const ServedCount others = CountServed(fleet, sent, false);
    CHECK(others.served == others.all);
    CHECK(cutOff.served / cutOff.all >= 2.0 / 3.0 * others.served / others.all);
    CHECK(cutOff.all - cutOff.served <= 10 + cutOff.all / 50);
  }
}

namespace {

/// Instance 0 of three is cut off and knows it; its next request is forwarded.
struct ForwardFixture
{
  RouterFleet fleet{ { 3, 6, 1 } };
  RouterFleet::Instance& cutOff = fleet.instances[0];

  ForwardFixture()
  {
    fleet.cutOff[0] = CutKind::Hang;
    for (int request = 0; request < 3; ++request) {
      fleet.Request(0, "safe");
    }
    Idle(fleet, 2 * kSecond);
    REQUIRE(fleet.timers.Now() > core::TimePoint{});
  }

  /// The index of the forwarded call that the request made.
  std::size_t Forward(const std::string& aRoute)
  {
    id = fleet.Request(0, aRoute);
    const std::size_t call = cutOff.client.sent.size() - 1;
    REQUIRE(cutOff.client.sent[call].call.to.address.front() == 'i');
    cutOff.handled = cutOff.client.sent.size(); // answered by the test
    return call;
  }

  void Reply(std::size_t aCall, int aStatus, net::Headers aHeaders)
  {
    relay::ResponseHead head;
    head.status = aStatus;
    head.headers = std::move(aHeaders);
    head.isSelfDelimited = true;
    cutOff.client.Head(aCall, head);
    cutOff.client.Body(aCall, "answer");
    cutOff.client.End(aCall, relay::CallOutcome::Complete);
  }

  const hibiscusnotch::testing::RecordedResponse& Response()
  {
    return cutOff.listener.answers[id];
  }

  std::string OwnId() const { return "r" + std::to_string(id); }

  relay::ExchangeId id = 0;
};

bool
Contains(const std::string& aText, const std::string& aPart)
{
  return aText.find(aPart) != std::string::npos;
}

} // namespace

// Guards against a request that wanders between instances without links.
TEST_CASE("a forwarded request is not forwarded again")
{
  ForwardFixture fixture;
  net::HttpRequest request;
  request.method = "POST";
  request.target = "/unsafe/x";
  request.headers = { { "id", "r" }, { "host", "h" }, { "left", "8000" } };
  const std::size_t before = fixture.cutOff.client.sent.size();
  fixture.cutOff.router->OnRequest(entry::RequestOrigin::Instance, 99, request);
  const auto& answer = fixture.cutOff.forwardListener.answers[99];
  CHECK(answer.status == 503);
  CHECK(Contains(answer.body, "not_run"));
  CHECK(fixture.cutOff.client.sent.size() == before);
}

// Guards against callers that wait for a deadline if nobody reaches upstreams.
TEST_CASE("with all instances cut off a request is refused soon as not run")
{
  RouterFleet fleet({ 3, 6, 1 });
  for (std::size_t index = 0; index < 3; ++index) {
    fleet.cutOff[index] = CutKind::Hang;
    fleet.Request(index, "safe");
  }
  Idle(fleet, 2 * kSecond);
  const auto id = fleet.Request(0, "unsafe");
  Idle(fleet, kSecond / 10);
  const auto& answer = fleet.instances[0].listener.answers[id];
  CHECK(answer.status == 503);
  CHECK(Contains(answer.body, "no_reach"));
  CHECK(!answer.Header("retry").empty());
}

// Guards against an at-most-once request that runs twice, or a false "not run",
// because the hop hides what became of it.
TEST_CASE("the hop keeps at-most-once and tells the truth about execution")
{
  SUBCASE("refused by the other instance: another one is tried")
  {
    ForwardFixture fixture;
    const std::size_t call = fixture.Forward("unsafe");
    fixture.Reply(call, 503, { { "id", fixture.OwnId() } });
    REQUIRE(fixture.cutOff.client.sent.size() == call + 2);
    CHECK(fixture.cutOff.client.sent[call + 1].call.to.address !=
          fixture.cutOff.client.sent[call].call.to.address);
    fixture.Reply(call + 1, 503, { { "id", fixture.OwnId() } });
    CHECK(fixture.Response().status == 503);
    CHECK(Contains(fixture.Response().body, "not_run"));
  }
  SUBCASE("broken on the hop: it may have run")
  {
    ForwardFixture fixture;
    const std::size_t call = fixture.Forward("unsafe");
    fixture.cutOff.client.End(call, relay::CallOutcome::ConnectionLost);
    CHECK(fixture.cutOff.client.sent.size() == call + 1);
    CHECK(fixture.Response().status == 502);
    CHECK(Contains(fixture.Response().body, "may_have_run"));
  }
  SUBCASE("the other instance says that it may have run")
  {
    for (const int status : { 502, 504 }) {
      ForwardFixture fixture;
      const std::size_t call = fixture.Forward("unsafe");
      fixture.Reply(call, status, { { "id", fixture.OwnId() } });
      CHECK(fixture.cutOff.client.sent.size() == call + 1);
      CHECK(fixture.Response().status == 502);
    }
  }
  SUBCASE("not reached: another one is tried")
  {
    ForwardFixture fixture;
    const std::size_t call = fixture.Forward("unsafe");
    fixture.cutOff.client.End(call, relay::CallOutcome::NotSent);
    CHECK(fixture.cutOff.client.sent.size() == call + 2);
  }
}

// Guards against answers that the hop changes.
TEST_CASE("an upstream's answer passes the hop unchanged")
{
  for (const int status : { 200, 404, 500 }) {
    ForwardFixture fixture;
    const std::size_t call = fixture.Forward("unsafe");
    fixture.Reply(
      call, status, { { "id", fixture.OwnId() }, { "seal", "s7" } });
    CHECK(fixture.Response().status == status);
    CHECK(fixture.Response().Header("seal") == "s7");
    CHECK(fixture.Response().body == "answer");
    CHECK(fixture.cutOff.client.sent.size() == call + 1);
  }
}

// Guards against streams that lose or repeat events, or start anew, when they
// change over to the hop.
TEST_CASE("a stream goes on through another instance after its last event")
{
  ForwardFixture fixture;
  const std::size_t call = fixture.Forward("stream");
  relay::ResponseHead head;
  head.status = 200;
  head.headers = { { "id", fixture.OwnId() }, { "seal", "s" } };
  head.isSelfDelimited = true;
  fixture.cutOff.client.Head(call, head);
  fixture.cutOff.client.Body(call, "id: 1\ndata: x\n\nid: 2\nda");
  fixture.cutOff.client.End(call, relay::CallOutcome::ConnectionLost);
  REQUIRE(fixture.cutOff.client.sent.size() == call + 2);
  CHECK(Contains(fixture.cutOff.client.sent[call + 1].call.message, "after=1"));
  CHECK(Contains(fixture.cutOff.client.sent[call + 1].call.message,
                 "executions=1"));
  fixture.cutOff.client.Head(call + 1, head);
  fixture.cutOff.client.Body(call + 1, "id: 2\ndata: y\n\n");
  fixture.cutOff.client.End(call + 1, relay::CallOutcome::Complete);
  CHECK(fixture.Response().finished);
  CHECK(fixture.Response().body == "id: 1\ndata: x\n\nid: 2\ndata: y\n\n");
}

// Guards against an answer that one model begins and another one ends: the hop
// goes on with the model that the caller has part of, poor or not.
TEST_CASE("a stream goes on through another instance with its model")
{
  ForwardFixture fixture;
  for (RouterFleet::Instance& instance : fixture.fleet.instances) {
    routing::Configuration configuration = *instance.fleet->configuration;
    for (routing::Route& route : configuration.routes) {
      route.models = { "small", "large" };
    }
    configuration.BuildRouteIndex();
    instance.fleet->configuration =
      std::make_shared<routing::Configuration>(configuration);
  }
  for (const std::string model : { "small", "large" }) {
    CAPTURE(model);
    RouterFleet::Instance& other = fixture.fleet.instances[1];
    const std::size_t before = other.client.sent.size();
    net::HttpRequest request;
    request.method = "POST";
    request.target = "/stream/x";
    request.headers = { { "id", "r" },         { "host", "h" },
                        { "left", "8000" },    { "after", "1" },
                        { "executions", "1" }, { "settled-model", model } };
    const relay::ExchangeId id = 900 + before;
    other.router->OnRequest(entry::RequestOrigin::Instance, id, request);
    REQUIRE(other.client.sent.size() == before + 1);
    CHECK(Contains(other.client.sent[before].call.message,
                   " model=" + model + ' '));
    relay::ResponseHead head;
    head.status = 200;
    head.headers = { { "id", "r" }, { "seal", "s" }, { "confidence", "2" } };
    head.isSelfDelimited = true;
    other.client.Head(before, head);
    CHECK(other.client.sent.size() == before + 1);
    other.client.Body(before, "id: 2\ndata: y\n\n");
    CHECK(other.forwardListener.answers[id].body == "id: 2\ndata: y\n\n");
  }
}

// Guards against the model that is lost on the way to the other instance.
TEST_CASE("a hop names the model of a stream that began at an upstream")
{
  RouterFleet fleet({ 3, 6, 1 });
  RouterFleet::Instance& instance = fleet.instances[0];
  routing::Configuration configuration = *instance.fleet->configuration;
  for (routing::Route& route : configuration.routes) {
    route.models = { "small", "large" };
  }
  configuration.BuildRouteIndex();
  instance.fleet->configuration =
    std::make_shared<routing::Configuration>(configuration);
  const relay::ExchangeId id = fleet.Request(0, "stream");
  FakeOutboundClient& client = instance.client;
  relay::ResponseHead head;
  head.status = 200;
  head.headers = { { "id", "r" + std::to_string(id) },
                   { "seal", "s" },
                   { "confidence", "2" } };
  head.isSelfDelimited = true;
  client.Head(0, head);
  REQUIRE(client.sent.size() == 2);
  REQUIRE(Contains(client.sent[1].call.message, "model=large"));
  head.headers.back().second = "90";
  client.Head(1, head);
  client.Body(1, "id: 1\ndata: x\n\n");
  fleet.cutOff[0] = CutKind::Refuse;
  client.End(1, relay::CallOutcome::ConnectionLost);
  const auto hops = [&client] {
    return std::ranges::count_if(client.sent, [](const auto& aSent) {
      return aSent.call.to.address.front() == 'i' &&
             Contains(aSent.call.message, "settled-model=large");
    });
  };
  // The hop that is not reached takes nothing away from the next one.
  for (int attempt = 0; attempt < 6 && hops() < 2; ++attempt) {
    client.End(client.sent.size() - 1, relay::CallOutcome::NotSent);
    fleet.timers.Advance(kSecond / 100);
  }
  CHECK(hops() == 2);
}

// Guards against the text of an error amid a caller's stream.
TEST_CASE("an error response of the hop never gets into a stream")
{
  for (const int status : { 404, 500, 504 }) {
    ForwardFixture fixture;
    const std::size_t call = fixture.Forward("stream");
    relay::ResponseHead head;
    head.status = 200;
    head.headers = { { "id", fixture.OwnId() }, { "seal", "s" } };
    head.isSelfDelimited = true;
    fixture.cutOff.client.Head(call, head);
    fixture.cutOff.client.Body(call, "id: 1\ndata: x\n\n");
    fixture.cutOff.client.End(call, relay::CallOutcome::ConnectionLost);
    CAPTURE(status);
    REQUIRE(fixture.cutOff.client.sent.size() == call + 2);
    fixture.Reply(
      call + 1, status, { { "id", fixture.OwnId() }, { "seal", "s" } });
    CHECK(fixture.Response().status == 200);
    CHECK(fixture.Response().body == "id: 1\ndata: x\n\n");
    CHECK(fixture.Response().aborted);
    CHECK_FALSE(fixture.Response().finished);
  }
}

// Guards against work for callers that have left, and against upstreams that
// get more time than is left.
TEST_CASE("cancellation and deadline hold across the hop")
{
  ForwardFixture fixture;
  const std::size_t call = fixture.Forward("safe");
  CHECK(Contains(fixture.cutOff.client.sent[call].call.message, "left=7960"));
  fixture.cutOff.router->OnClientDisconnected(entry::RequestOrigin::Caller,
                                              fixture.id);
  CHECK_FALSE(fixture.cutOff.client.IsOpen(call));
}

// Guards against an instance that is swamped by others' callers.
TEST_CASE("an instance takes a bounded number of forwarded requests")
{
  RouterFleet fleet({ 1, 6, 1 });
  auto& instance = fleet.instances[0];
  std::size_t refused = 0;
  for (relay::ExchangeId id = 1; id <= 200; ++id) {
    net::HttpRequest request;
    request.method = "POST";
    request.target = "/unsafe/x";
    request.headers = { { "id", "f" + std::to_string(id) },
                        { "host", "h" },
                        { "left", "8000" } };
    instance.router->OnRequest(entry::RequestOrigin::Instance, id, request);
    refused += instance.forwardListener.answers[id].status == 503 ? 1 : 0;
  }
  CHECK(refused == 200 - 64);
  const auto own = fleet.Request(0, "unsafe");
  Idle(fleet, kSecond);
  CHECK(instance.listener.answers[own].status == 200);
}

// Guards against a fleet that takes one upstream's failure for a cut, and
// against one that stays with the hop after the cut.
TEST_CASE(
  "one failing upstream is no cut, and after a cut requests go directly")
{
  RouterFleet fleet({ 3, 6, 1 });
  const auto forwards = [&fleet] {
    return std::ranges::count_if(
      fleet.instances[0].client.sent,
      [](const auto& aSent) { return aSent.call.to.address.front() == 'i'; });
  };
  fleet.instances[0].client.probeResult = [&](const core::Endpoint& aTo) {
    return aTo.address == "u0" || fleet.cutOff.contains(0)
             ? relay::Reachability::Unreachable
             : relay::Reachability::Accepts;
  };
  for (int request = 0; request < 5; ++request) {
    fleet.Request(0, "safe");
    auto& client = fleet.instances[0].client;
    const std::size_t call = client.sent.size() - 1;
    client.End(call, relay::CallOutcome::NotSent);
    Idle(fleet, kSecond / 10);
  }
  CHECK(forwards() == 0);
  fleet.cutOff[0] = CutKind::Refuse;
  RunLoad(fleet, 30, 2 * kSecond);
  CHECK(forwards() > 0);
  fleet.cutOff.clear();
  RunLoad(fleet, 30, kSecond);
  const auto before = forwards();
  const auto sent = RunLoad(fleet, 30, 2 * kSecond);
  Idle(fleet, kSecond);
  CHECK(forwards() == before);
  const ServedCount served = CountServed(fleet, sent, false);
  CHECK(served.served == served.all);
}

// Guards against upstreams that are avoided after a cut that was not theirs.
TEST_CASE("a cut leaves no upstream suspected or cold")
{
  RouterFleet fleet({ 3, 12, 1 });
  fleet.cutOff[0] = CutKind::Hang;
  RunLoad(fleet, 30, 3 * kSecond);
  const auto& table = fleet.instances[0].fleet->upstreams;
  for (const auto& [id, upstream] : table.Rows()) {
    CHECK(upstream.suspectUntil <= fleet.timers.Now());
    CHECK(upstream.consecutiveFailures == 0);
    CHECK(upstream.coldUntil <= fleet.timers.Now());
  }
}

namespace {

/// Loses all open connections of an instance to upstreams.
void
LoseConnections(RouterFleet::Instance& aInstance)
{
  const std::size_t count = aInstance.client.sent.size();
  for (std::size_t call = 0; call < count; ++call) {
    if (aInstance.client.IsOpen(call)) {
      aInstance.client.End(call, relay::CallOutcome::ConnectionLost);
    }
  }
}

} // namespace

// Guards against crash evidence, failure rates and roll-out verdicts from an
// instance whose links are reset and refused: its peers would believe it.
TEST_CASE("a cut that resets and refuses convicts nobody")
{
  for (const std::size_t openStreams : { 1, 2, 20 }) {
    CAPTURE(openStreams);
    RouterFleet fleet({ 3, 12, 1 });
    auto& instance = fleet.instances[0];
    routing::RolloutOrder order;
    order.service = "app";
    order.target = "v2";
    order.duration = 20 * kSecond;
    order.creationRevision = 3;
    instance.fleet->rollouts.Apply(order, fleet.timers.Now(), { 3, 30 });
    for (std::size_t stream = 0; stream < openStreams; ++stream) {
      fleet.Request(0, "stream");
    }
    fleet.timers.Advance(kSecond / 100);
    fleet.cutOff[0] = CutKind::Refuse;
    instance.client.probeResult = [](const core::Endpoint&) {
      return relay::Reachability::Refuses;
    };
    LoseConnections(instance);
    fleet.timers.Advance(2 * kSecond);
    CHECK(instance.fleet->crashEvidence.SuspectCount() == 0);
    for (const auto& [id, upstream] : instance.fleet->upstreams.Rows()) {
      CHECK(upstream.failureRate == 0);
      CHECK(upstream.suspectUntil <= fleet.timers.Now());
    }
    double bad = 0;
    for (const auto& [service, evidence] :
         instance.fleet->rollouts.LocalEvidence(fleet.timers.Now())) {
      for (const auto& [route, counts] : evidence.baseline) {
        bad += counts.bad;
      }
    }
    CHECK(bad == 0);
  }
}

// Guards against a fleet that no longer counts real failures for fear of cuts.
TEST_CASE("a crash is counted while other upstreams are reached")
{
  RouterFleet fleet({ 3, 12, 1 });
  auto& instance = fleet.instances[0];
  fleet.Request(0, "stream");
  const std::string crashed = instance.client.sent[0].call.to.address;
  const auto open = [&](relay::Reachability aOfCrashed) {
    instance.client.probeResult = [crashed,
                                   aOfCrashed](const core::Endpoint& aTo) {
      return aTo.address == crashed ? aOfCrashed : relay::Reachability::Accepts;
    };
  };
  std::size_t expected = 0;
  SUBCASE("it refuses connections")
  {
    open(relay::Reachability::Refuses);
    expected = 1;
  }
  // A mere reset, or a machine that does not answer, is no crash.
  SUBCASE("it accepts connections")
  {
    open(relay::Reachability::Accepts);
  }
  SUBCASE("it is silent")
  {
    open(relay::Reachability::Unreachable);
  }
  LoseConnections(instance);
  fleet.timers.Advance(kSecond);
  CHECK(instance.fleet->crashEvidence.SuspectCount() == expected);
  const auto id = instance.fleet->upstreams.FindByName(crashed);
  REQUIRE(id);
  CHECK(instance.fleet->upstreams.Find(*id)->failureRate > 0);
}
