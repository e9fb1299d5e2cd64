#include "hibiscusnotch/entry/request_router.hpp"

#include "hibiscusnotch/testing/fake_header_codec.hpp"
#include "hibiscusnotch/testing/fake_listener.hpp"
#include "hibiscusnotch/testing/fake_outbound_client.hpp"
#include "hibiscusnotch/testing/manual_timers.hpp"

#include <doctest/doctest.h>

using namespace hibiscusnotch::entry;
using hibiscusnotch::core::UpstreamId;
using hibiscusnotch::relay::CallOutcome;
using hibiscusnotch::relay::ResponseHead;
using hibiscusnotch::routing::Configuration;
using hibiscusnotch::routing::ExecutionSemantics;
using hibiscusnotch::routing::Route;
using hibiscusnotch::testing::FakeHeaderCodec;
using hibiscusnotch::testing::FakeListener;
using hibiscusnotch::testing::FakeOutboundClient;
using hibiscusnotch::testing::ManualTimers;
using hibiscusnotch::testing::RecordedResponse;
namespace net = hibiscusnotch::net;
namespace core = hibiscusnotch::core;
namespace relay = hibiscusnotch::relay;
namespace routing = hibiscusnotch::routing;

namespace {

constexpr Duration kSecond{ 1'000'000 };

Route
MakeRoute(const std::string& aName,
          ExecutionSemantics aSemantics,
          uint32_t aAttempts)
{
  Route route;
  route.name = aName;
  route.host = "h";
  route.pathPrefix = "/" + aName + "/";
  route.executionSemantics = aSemantics;
  route.timeout = 4 * kSecond;
  route.latencyTarget = kSecond;
  route.maxAttempts = aAttempts;
  route.services = { { "app", 1 } };
  return route;
}

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
  Configuration configuration;
  relay::ExchangeId last = 0;

  Fixture()
  {
    RouterOptions options;
    options.instanceName = "self";
    options.zone = "east";
    options.retryBudget.minRetries = 100;
    router = MakeRequestRouter(
      options, { timers, client, headerCodec, fleet, log, *metrics });
    router->SetListener(RequestOrigin::Caller, listener);
    fleet.instances["self"] = { {}, "east" };
    configuration.version = 1;
    configuration.routes = {
      MakeRoute("safe", ExecutionSemantics::Idempotent, 2),
      MakeRoute("unsafe", ExecutionSemantics::AtMostOnce, 2),
      MakeRoute("stream", ExecutionSemantics::Stream, 3),
      MakeRoute("sized", ExecutionSemantics::Stream, 3),
    };
    configuration.routes[2].resumable = true;
    configuration.routes[3].resumable = true;
    configuration.routes[3].models = { "small", "middle", "large" };
    configuration.organisations = { { "shop", std::nullopt } };
    configuration.organisationByKey = { { "good", 0 } };
    Apply();
    for (const char* name : { "u1", "u2", "u3", "u4" }) {
      Add(name);
    }
  }

  void Apply()
  {
    configuration.BuildRouteIndex();
    fleet.configuration = std::make_shared<Configuration>(configuration);
    fleet.configurationConfirmedAt = timers.Now();
  }

  void Add(const std::string& aName, int64_t aIncarnation = 0)
  {
    routing::UpstreamEntry entry;
    entry.name = aName;
    entry.endpoint = { aName, 1 };
    entry.incarnation = aIncarnation;
    entry.service = "app";
    entry.zone = "east";
    entry.slots = 8;
    fleet.upstreams.Apply(entry, timers.Now());
  }

  relay::ExchangeId Request(const std::string& aRoute,
                            const std::string& aKey = "good",
                            const std::string& aTimeLeft = "3000",
                            const std::string& aParts = "",
                            const std::string& aLastEventId = "")
  {
    net::HttpRequest request;
    request.method = "POST";
    request.target = "/" + aRoute + "/x";
    request.headers = {
      { "id", "r" + std::to_string(++last) },
      { "host", "h" },
      { "key", aKey },
      { "left", aTimeLeft },
      { "parts", aParts },
      { "after", aLastEventId },
    };
    request.body = "body" + std::to_string(last);
    router->OnRequest(RequestOrigin::Caller, last, request);
    return last;
  }

  RecordedResponse& Response(relay::ExchangeId aId)
  {
    return listener.answers[aId];
  }

  ResponseHead Head(int aStatus, net::Headers aExtraHeaders = {})
  {
    ResponseHead head;
    head.status = aStatus;
    head.headers = { { "id", "r" + std::to_string(last) }, { "seal", "s" } };
    head.headers.insert(
      head.headers.end(), aExtraHeaders.begin(), aExtraHeaders.end());
    return head;
  }

  /// Completes a send with a whole response.
  void Reply(std::size_t aSend, int aStatus, net::Headers aExtraHeaders = {})
  {
    client.Head(aSend, Head(aStatus, std::move(aExtraHeaders)));
    client.Body(aSend, "answer");
    client.End(aSend, CallOutcome::Complete);
  }

  std::string Message(std::size_t aSend)
  {
    return client.sent.at(aSend).call.message;
  }
};

bool
Contains(const std::string& aText, const std::string& aPart)
{
  return aText.find(aPart) != std::string::npos;
}

} // namespace

TEST_CASE("the upstream gets the organisation in place of the API key")
{
  Fixture fixture;
  const auto id = fixture.Request("unsafe");
  REQUIRE(fixture.client.sent.size() == 1);
  CHECK(Contains(fixture.Message(0), "organisation=shop"));
  fixture.Reply(0, 200);
  CHECK(fixture.Response(id).status == 200);
  CHECK(fixture.Response(id).body == "answer");
  CHECK(fixture.Response(id).finished);
  CHECK(fixture.router->OpenRequestCount() == 0);
}

TEST_CASE("an at-most-once request is not retried after bytes were sent")
{
  for (const CallOutcome end :
       { CallOutcome::ConnectionLost, CallOutcome::Complete }) {
    Fixture fixture;
    const auto id = fixture.Request("unsafe");
    if (end == CallOutcome::Complete) {
      fixture.Reply(0, 200, {});
    } else {
      fixture.client.End(0, end);
      CHECK(fixture.Response(id).status == 502); // may have been executed
      CHECK(Contains(fixture.Response(id).body, "may_have_run"));
    }
    CHECK(fixture.client.sent.size() == 1);
  }
}

TEST_CASE("an at-most-once request is retried if it was not executed")
{
  Fixture fixture;
  const auto id = fixture.Request("unsafe");
  fixture.client.End(0, CallOutcome::NotSent);
  REQUIRE(fixture.client.sent.size() == 2);
  CHECK(fixture.Message(0).substr(0, 2) != fixture.Message(1).substr(0, 2));
  fixture.Reply(1, 503, { { "not-run", "1" } });
  REQUIRE(fixture.client.sent.size() == 3);
  fixture.Reply(2, 421);
  REQUIRE(fixture.client.sent.size() == 4);
  fixture.Reply(3, 200);
  CHECK(fixture.Response(id).status == 200);
}

// Guards against upstreams that are avoided since this instance had no
// descriptor left.
TEST_CASE("a call that was not started blames no upstream")
{
  Fixture fixture;
  const auto id = fixture.Request("unsafe");
  fixture.client.End(0, CallOutcome::NotStarted);
  for (const auto& [upstream, row] : fixture.fleet.upstreams.Rows()) {
    CHECK(row.consecutiveFailures == 0);
    CHECK(row.suspectUntil <= fixture.timers.Now());
  }
  REQUIRE(fixture.client.sent.size() == 2);
  fixture.Reply(1, 200);
  CHECK(fixture.Response(id).status == 200);
}

TEST_CASE("a success without proof of origin is rejected")
{
  Fixture fixture;
  const auto id = fixture.Request("unsafe");
  ResponseHead head;
  head.status = 200;
  head.headers = { { "id", "r1" } };
  fixture.client.Head(0, head);
  fixture.client.End(0, CallOutcome::Complete);
  CHECK(fixture.Response(id).status == 502);
}

TEST_CASE("a response to another request is rejected")
{
  Fixture fixture;
  const auto id = fixture.Request("unsafe");
  ResponseHead head = fixture.Head(200);
  head.headers[0].second = "r99";
  fixture.client.Head(0, head);
  fixture.client.Body(0, "other");
  fixture.client.End(0, CallOutcome::Complete);
  CHECK(fixture.Response(id).status == 502);
  CHECK_FALSE(Contains(fixture.Response(id).body, "other"));
}

TEST_CASE("a refusal of another request is no promise for this one")
{
  // Guards against "not run" for a request that runs: a faulty upstream writes
  // an earlier refusal once more.
  for (const int status : { 503, 429, 421, 400 }) {
    Fixture fixture;
    const auto id = fixture.Request("unsafe");
    ResponseHead head = fixture.Head(status, { { "not-run", "1" } });
    head.headers[0].second = "r99";
    fixture.client.Head(0, head);
    fixture.client.End(0, CallOutcome::Complete);
    CAPTURE(status);
    CHECK(fixture.client.sent.size() == 1); // no second upstream runs it
    CHECK(fixture.Response(id).status == 502);
    CHECK(Contains(fixture.Response(id).body, "may_have_run"));
  }
}

TEST_CASE("a failure of another request is not forwarded")
{
  Fixture fixture;
  const auto id = fixture.Request("safe");
  for (const std::size_t send : { 0, 1 }) {
    REQUIRE(fixture.client.sent.size() == send + 1);
    ResponseHead head = fixture.Head(500);
    head.headers[0].second = "r99";
    fixture.client.Head(send, head);
    fixture.client.Body(send, "other");
    fixture.client.End(send, CallOutcome::Complete);
  }
  CHECK(fixture.Response(id).status == 502);
  CHECK_FALSE(Contains(fixture.Response(id).body, "other"));
}

TEST_CASE("a success with a content encoding is rejected")
{
  Fixture fixture;
  const auto id = fixture.Request("unsafe");
  fixture.Reply(0, 200, { { "Content-Encoding", "gzip" } });
  CHECK(fixture.Response(id).status == 502);
}

TEST_CASE("an idempotent request is retried within its attempts")
{
  Fixture fixture;
  const auto id = fixture.Request("safe");
  fixture.Reply(0, 500);
  REQUIRE(fixture.client.sent.size() == 2);
  fixture.Reply(1, 200);
  CHECK(fixture.Response(id).status == 200);
}

TEST_CASE("the upstream's error is forwarded when attempts are used up")
{
  Fixture fixture;
  const auto id = fixture.Request("safe");
  fixture.Reply(0, 500);
  fixture.Reply(1, 500);
  CHECK(fixture.client.sent.size() == 2);
  CHECK(fixture.Response(id).status == 500);
  CHECK(fixture.Response(id).Header("seal") == "s");
}

TEST_CASE("a request's body is held once, also by its sends")
{
  // Guards against a process that long bodies end since each is held again by
  // the connection that it was sent on.
  Fixture fixture;
  const auto id = fixture.Request("safe");
  fixture.Reply(0, 500);
  REQUIRE(fixture.client.sent.size() == 2);
  const auto& first = fixture.client.sent[0].call;
  const auto& second = fixture.client.sent[1].call;
  REQUIRE(first.body);
  CHECK(*first.body == "body" + std::to_string(id));
  CHECK(first.body == second.body);
  CHECK_FALSE(Contains(first.message, *first.body));
}

TEST_CASE("a slow idempotent request is retried at another upstream")
{
  // Guards against upstreams that hang on some requests while their health
  // check passes.
  Fixture fixture;
  const auto id = fixture.Request("safe");
  fixture.timers.Advance(kSecond + kSecond / 10);
  REQUIRE(fixture.client.sent.size() == 2);
  CHECK_FALSE(fixture.client.IsOpen(0));
  fixture.Reply(1, 200);
  CHECK(fixture.Response(id).status == 200);
}

TEST_CASE("an at-most-once request waits for its response")
{
  Fixture fixture;
  const auto id = fixture.Request("unsafe");
  fixture.timers.Advance(2 * kSecond);
  CHECK(fixture.client.sent.size() == 1);
  CHECK(fixture.client.IsOpen(0));
  fixture.Reply(0, 200);
  CHECK(fixture.Response(id).status == 200);
}

TEST_CASE("at-most-once requests avoid an upstream that hangs")
{
  Fixture fixture;
  std::string hanging;
  for (int request = 0; request < 5; ++request) {
    fixture.Request("unsafe");
    const std::size_t send = fixture.client.sent.size() - 1;
    const std::string upstream = fixture.Message(send).substr(0, 2);
    hanging = hanging.empty() ? upstream : hanging;
    if (upstream != hanging) {
      fixture.Reply(send, 200);
    }
    fixture.timers.Advance(4 * kSecond);
    fixture.fleet.configurationConfirmedAt = fixture.timers.Now();
  }
  std::size_t hung = 0;
  for (std::size_t send = 0; send < fixture.client.sent.size(); ++send) {
    hung += fixture.Message(send).substr(0, 2) == hanging ? 1 : 0;
  }
  CHECK(hung <= 4);
}

TEST_CASE("a broken stream resumes elsewhere after its last whole event")
{
  Fixture fixture;
  const auto id = fixture.Request("stream");
  fixture.client.Head(0, fixture.Head(200));
  fixture.client.Body(0, "id: 1\ndata: a\n\nid: 2\nda");
  CHECK(fixture.Response(id).body == "id: 1\ndata: a\n\n");
  fixture.client.End(0, CallOutcome::ConnectionLost);
  REQUIRE(fixture.client.sent.size() == 2);
  CHECK(Contains(fixture.Message(1), "after=1"));
  fixture.client.Head(1, fixture.Head(200));
  fixture.client.Body(1, "id: 2\ndata: b\n\n");
  fixture.client.End(1, CallOutcome::Complete);
  CHECK(fixture.Response(id).body == "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
  CHECK(fixture.Response(id).finished);
}

TEST_CASE("an error response never gets into a stream that has begun")
{
  // Guards against the text of an error, or its head, amid a caller's stream,
  // and against a stream that ends there as if it were complete.
  for (const int status : { 302, 400, 404, 409, 413, 500, 501, 504 }) {
    Fixture fixture;
    const auto id = fixture.Request("stream");
    fixture.client.Head(0, fixture.Head(200));
    fixture.client.Body(0, "id: 1\ndata: x\n\n");
    fixture.client.End(0, CallOutcome::ConnectionLost);
    CAPTURE(status);
    REQUIRE(fixture.client.sent.size() == 2);
    fixture.Reply(1, status);
    CHECK(fixture.Response(id).status == 200);
    CHECK(fixture.Response(id).body == "id: 1\ndata: x\n\n");
    CHECK_FALSE(fixture.Response(id).finished);
    // It goes on at a third upstream, or ends as broken.
    while (!fixture.Response(id).aborted) {
      const std::size_t last = fixture.client.sent.size() - 1;
      REQUIRE(fixture.client.IsOpen(last));
      fixture.Reply(last, status);
    }
    CHECK(fixture.Response(id).body == "id: 1\ndata: x\n\n");
    CHECK_FALSE(fixture.Response(id).finished);
  }
}

TEST_CASE("a resumed stream that starts anew is not joined to the first")
{
  // Guards against events that come twice, or of two runs, in one stream.
  Fixture fixture;
  const auto id = fixture.Request("stream");
  const std::string start = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
  fixture.client.Head(0, fixture.Head(200));
  fixture.client.Body(0, start);
  fixture.client.End(0, CallOutcome::ConnectionLost);
  REQUIRE(fixture.client.sent.size() == 2);
  fixture.client.Head(1, fixture.Head(200));
  fixture.client.Body(1, start);
  CHECK_FALSE(fixture.client.IsOpen(1));
  CHECK(fixture.Response(id).body == start);
  // A third upstream goes on after the event that the caller has.
  REQUIRE(fixture.client.sent.size() == 3);
  CHECK(Contains(fixture.Message(2), " after=2 "));
  fixture.client.Head(2, fixture.Head(200));
  fixture.client.Body(2, "id: 3\ndata: c\n\n");
  fixture.client.End(2, CallOutcome::Complete);
  CHECK(fixture.Response(id).finished);
  CHECK(fixture.Response(id).body == start + "id: 3\ndata: c\n\n");
}

TEST_CASE("a stream that its caller resumes starts above the caller's event")
{
  // Guards against an upstream that ignores which events the caller has.
  Fixture fixture;
  const auto id = fixture.Request("stream", "good", "3000", "", "2");
  fixture.client.Head(0, fixture.Head(200));
  fixture.client.Body(0, "id: 1\ndata: a\n\n");
  CHECK_FALSE(fixture.client.IsOpen(0));
  REQUIRE(fixture.client.sent.size() == 2);
  fixture.client.Head(1, fixture.Head(200));
  fixture.client.Body(1, "id: 3\ndata: c\n\n");
  fixture.client.End(1, CallOutcome::Complete);
  CHECK(fixture.Response(id).finished);
  CHECK(fixture.Response(id).body == "id: 3\ndata: c\n\n");
}

TEST_CASE("a stream that ends within an event is not complete")
{
  Fixture fixture;
  const auto id = fixture.Request("stream");
  fixture.client.Head(0, fixture.Head(200));
  fixture.client.Body(0, "id: 1\ndata: a\n\nid: 2\nda");
  fixture.client.End(0, CallOutcome::Complete);
  CHECK_FALSE(fixture.Response(id).finished);
  CHECK(fixture.client.sent.size() == 2);
}

TEST_CASE("a stream that its upstream's end cut off is not complete")
{
  // Guards against a crash that passes for the end of a response without a
  // length: before the first event, within one, and in a resumed stream.
  for (const std::string body : { "", "id: 1\nda" }) {
    Fixture fixture;
    const auto id = fixture.Request("stream");
    ResponseHead head = fixture.Head(200);
    head.isSelfDelimited = false;
    fixture.client.Head(0, head);
    fixture.client.Body(0, body);
    fixture.client.End(0, CallOutcome::Complete);
    CHECK_FALSE(fixture.Response(id).finished);
    REQUIRE(fixture.client.sent.size() == 2);
    fixture.client.Head(1, head);
    fixture.client.Body(1, "id: 1\ndata: a\n\nid: 2\nda");
    fixture.client.End(1, CallOutcome::Complete);
    CHECK_FALSE(fixture.Response(id).finished);
    REQUIRE(fixture.client.sent.size() == 3);
    fixture.client.Head(2, head);
    fixture.client.End(2, CallOutcome::Complete);
    CHECK_FALSE(fixture.Response(id).finished);
    CHECK(fixture.Response(id).aborted); // no attempt is left
  }
  // One that ends after a whole event is complete.
  Fixture fixture;
  const auto id = fixture.Request("stream");
  ResponseHead head = fixture.Head(200);
  head.isSelfDelimited = false;
  fixture.client.Head(0, head);
  fixture.client.Body(0, "id: 1\ndata: a\n\n");
  fixture.client.End(0, CallOutcome::Complete);
  CHECK(fixture.Response(id).finished);
}

// Guards against responses that are cut with their upstream's process and
// passed on as whole.
TEST_CASE("only a response without a length needs its upstream's confirmation")
{
  for (const bool isSelfDelimited : { true, false }) {
    Fixture fixture;
    fixture.Request("stream");
    ResponseHead head = fixture.Head(200);
    head.isSelfDelimited = isSelfDelimited;
    fixture.client.Head(0, head);
    const auto& checks = fixture.client.livenessChecks;
    const auto check = checks.find(fixture.client.sent[0].id);
    REQUIRE((check != checks.end()) == !isSelfDelimited);
    if (!isSelfDelimited) {
      const std::string& message = check->second.message;
      CHECK(message.starts_with("alive "));
      const std::string name = message.substr(message.find(' ') + 1);
      CHECK(check->second.senderOf(head, name) == relay::Sender::Peer);
      CHECK(check->second.senderOf(head, "another") == relay::Sender::Other);
    }
  }
  // A refusal says all in its head.
  Fixture fixture;
  fixture.Request("stream");
  ResponseHead refusal = fixture.Head(503);
  refusal.headers.emplace_back("not-run", "1");
  refusal.isSelfDelimited = false;
  fixture.client.Head(0, refusal);
  CHECK(fixture.client.livenessChecks.empty());
}

TEST_CASE("a crash that ends responses without a length is evidence")
{
  // Guards against fatal prompt parts that go unseen, as their responses look
  // complete.
  Fixture fixture;
  for (int round = 0; round < 4; ++round) {
    fixture.timers.Advance(kSecond);
    const std::size_t send = fixture.client.sent.size();
    fixture.configuration.routes[2].maxAttempts = 1;
    fixture.Apply();
    fixture.Request(
      "stream", "good", "3000", "fatal own" + std::to_string(round));
    if (fixture.client.sent.size() == send) {
      break;
    }
    const std::string upstream = fixture.Message(send).substr(0, 2);
    fixture.client.refusing.insert(upstream);
    ResponseHead head = fixture.Head(200);
    head.isSelfDelimited = false;
    fixture.client.Head(send, head);
    fixture.client.Body(send, "id: 1\nda");
    fixture.client.End(send, CallOutcome::Complete);
    fixture.timers.Advance(kSecond / 2);
    fixture.client.refusing.clear();
    fixture.Add(upstream, round + 1);
  }
  CHECK(fixture.client.sent.size() == 3);
}

TEST_CASE("bodies without end are given up before they fill memory")
{
  // Guards against upstreams that never end their answers: one large answer is
  // no fault, many at once must not take the machine.
  constexpr std::size_t kRequests = 40;
  constexpr std::size_t kMaxBytes = 24 * 1024 * 1024;
  Fixture fixture;
  std::vector<relay::ExchangeId> ids;
  for (std::size_t request = 0; request < kRequests; ++request) {
    ids.push_back(fixture.Request("unsafe"));
    fixture.client.Head(request, fixture.Head(200));
  }
  const std::string piece(64 * 1024, 'x');
  std::vector<std::size_t> held(kRequests, 0);
  std::size_t most = 0;
  for (int round = 0; round < 100; ++round) {
    for (std::size_t request = 0; request < kRequests; ++request) {
      if (fixture.client.IsOpen(request)) {
        held[request] += piece.size();
        fixture.client.Body(request, piece);
      }
    }
    std::size_t total = 0;
    for (std::size_t request = 0; request < kRequests; ++request) {
      total += fixture.client.IsOpen(request) ? held[request] : 0;
    }
    most = std::max(most, total);
  }
  CHECK(most <= kMaxBytes);
  CHECK(fixture.client.Open() == 0);
  for (const relay::ExchangeId id : ids) {
    CHECK(fixture.Response(id).status == 502); // it has run
  }
  // The room is free again.
  const auto id = fixture.Request("unsafe");
  fixture.client.Head(kRequests, fixture.Head(200));
  fixture.client.Body(kRequests, std::string(1024 * 1024, 'x'));
  fixture.client.End(kRequests, CallOutcome::Complete);
  CHECK(fixture.Response(id).status == 200);
}

TEST_CASE("an event without end is given up before it fills memory")
{
  Fixture fixture;
  const auto id = fixture.Request("stream");
  fixture.client.Head(0, fixture.Head(200));
  fixture.client.Body(0, "id: 1\ndata: a\n\n");
  std::size_t fed = 0;
  const std::string piece(64 * 1024, 'x');
  while (fixture.client.IsOpen(0) && fed < 100 * piece.size()) {
    fixture.client.Body(0, piece);
    fed += piece.size();
  }
  CHECK(fed <= 1024 * 1024);
  REQUIRE(fixture.client.sent.size() == 2); // it goes on elsewhere
  CHECK(Contains(fixture.Message(1), "after=1"));
  CHECK(fixture.Response(id).body == "id: 1\ndata: a\n\n");
}

TEST_CASE("unfinished events of many streams take no more than their bound")
{
  // Guards against upstreams that leave one long event unfinished in each of
  // many streams.
  constexpr std::size_t kStreams = 200;
  constexpr std::size_t kMaxBytes = 24 * 1024 * 1024;
  const std::string piece(200 * 1024, 'x');
  Fixture fixture;
  std::vector<relay::ExchangeId> ids;
  std::size_t most = 0;
  for (std::size_t stream = 0; stream < kStreams; ++stream) {
    const std::size_t send = fixture.client.sent.size();
    ids.push_back(fixture.Request("stream"));
    REQUIRE(fixture.client.sent.size() == send + 1);
    fixture.client.Head(send, fixture.Head(200));
    fixture.client.Body(send, "id: 1\ndata: a\n\n");
    fixture.client.Body(send, piece);
    // A resumed stream begins without a partial event.
    most = std::max(most, fixture.router->BufferedBytes());
  }
  CHECK(most <= kMaxBytes);
  for (const relay::ExchangeId id : ids) {
    CHECK(fixture.Response(id).body == "id: 1\ndata: a\n\n");
  }
  // What is held is released with the requests.
  for (const relay::ExchangeId id : ids) {
    fixture.router->OnClientDisconnected(RequestOrigin::Caller, id);
  }
  CHECK(fixture.router->BufferedBytes() == 0);
}

TEST_CASE("errors that are kept for many callers take no more than their bound")
{
  // Guards against upstreams that answer each request with a large error: it is
  // kept until the request's last attempt ends.
  constexpr std::size_t kRequests = 40;
  constexpr std::size_t kMaxBytes = 24 * 1024 * 1024;
  const std::string body(3 * 1024 * 1024, 'x');
  Fixture fixture;
  std::vector<relay::ExchangeId> ids;
  std::vector<std::size_t> secondSends;
  for (std::size_t request = 0; request < kRequests; ++request) {
    const std::size_t send = fixture.client.sent.size();
    ids.push_back(fixture.Request("safe"));
    fixture.client.Head(send, fixture.Head(500));
    fixture.client.Body(send, body);
    fixture.client.End(send, CallOutcome::Complete);
    REQUIRE(fixture.client.sent.size() == send + 2);
    secondSends.push_back(send + 1);
  }
  for (const std::size_t send : secondSends) {
    fixture.client.End(send, CallOutcome::ConnectionLost);
  }
  std::size_t kept = 0;
  for (const relay::ExchangeId id : ids) {
    const int status = fixture.Response(id).status;
    kept += fixture.Response(id).body.size();
    CHECK((status == 500 || status == 502));
  }
  CHECK(kept > 0);
  CHECK(kept <= kMaxBytes);
}

TEST_CASE("heads of responses without a body take no more than their bound")
{
  constexpr std::size_t kRequests = 600;
  constexpr std::size_t kMaxBytes = 24 * 1024 * 1024;
  const net::Headers large = { { "large", std::string(60'000, 'x') } };
  Fixture fixture;
  std::size_t most = 0;
  for (std::size_t request = 0; request < kRequests; ++request) {
    const std::size_t send = fixture.client.sent.size();
    fixture.Request("unsafe");
    REQUIRE(fixture.client.sent.size() == send + 1);
    fixture.client.Head(send, fixture.Head(200, large));
    most = std::max(most, fixture.client.Open() * large[0].second.size());
  }
  CHECK(most <= kMaxBytes);
}

TEST_CASE("a body that trickles without end is answered at the deadline")
{
  for (const std::string route : { "unsafe", "safe", "stream" }) {
    Fixture fixture;
    const auto id = fixture.Request(route);
    for (int second = 0; second < 40; ++second) {
      fixture.timers.Advance(kSecond / 10);
      fixture.Apply();
      for (std::size_t send = 0; send < fixture.client.sent.size(); ++send) {
        if (fixture.client.IsOpen(send)) {
          fixture.client.Head(send, fixture.Head(200));
          fixture.client.Body(send, "x");
        }
      }
    }
    CHECK(fixture.client.Open() == 0);
    CHECK((fixture.Response(id).status == 504 || fixture.Response(id).aborted));
  }
}

TEST_CASE("a stream that is not resumable is aborted")
{
  Fixture fixture;
  fixture.configuration.routes[2].resumable = false;
  fixture.Apply();
  const auto id = fixture.Request("stream");
  fixture.client.Head(0, fixture.Head(200));
  fixture.client.Body(0, "id: 1\ndata: a\n\n");
  fixture.client.End(0, CallOutcome::ConnectionLost);
  CHECK(fixture.client.sent.size() == 1);
  CHECK(fixture.Response(id).aborted);
  CHECK_FALSE(fixture.Response(id).finished);
}

TEST_CASE("a broken stream without attempts left is aborted")
{
  Fixture fixture;
  const auto id = fixture.Request("stream");
  for (std::size_t send = 0; send < 3; ++send) {
    fixture.client.Head(send, fixture.Head(200));
    fixture.client.Body(send, "id: 1\ndata: a\n\n");
    fixture.client.End(send, CallOutcome::ConnectionLost);
  }
  CHECK(fixture.client.sent.size() == 3);
  CHECK(fixture.Response(id).aborted);
}

TEST_CASE("a low-confidence answer is replaced by the largest model's")
{
  Fixture fixture;
  const auto id = fixture.Request("sized");
  CHECK(Contains(fixture.Message(0), "model=small"));
  fixture.client.Head(0, fixture.Head(200, { { "confidence", "10" } }));
  REQUIRE(fixture.client.sent.size() == 2);
  CHECK(Contains(fixture.Message(1), "model=large"));
  CHECK_FALSE(fixture.client.IsOpen(0)); // the first run is cancelled
  CHECK(fixture.Response(id).status == 0);
  fixture.client.Head(1, fixture.Head(200, { { "confidence", "10" } }));
  fixture.client.Body(1, "id: 1\ndata: a\n\n");
  fixture.client.End(1, CallOutcome::Complete);
  CHECK(fixture.Response(id).body == "id: 1\ndata: a\n\n");
}

namespace {

/// A fleet whose models have prices, behind which quick answers come.
struct PricedFixture : Fixture
{
  PricedFixture()
  {
    routing::Service service;
    service.name = "app";
    service.modelPrices = { { "small", 0.015 },
                            { "middle", 0.11 },
                            { "large", 0.22 } };
    configuration.services["app"] = service;
    Apply();
  }

  /// Sends a request whose answer comes after a while with high confidence.
  void Answer(Duration aAfter)
  {
    Request("sized");
    const std::size_t send = client.sent.size() - 1;
    timers.Advance(aAfter);
    client.Head(send, Head(200, { { "confidence", "90" } }));
    client.Body(send, "id: 1\ndata: a\n\n");
    client.End(send, CallOutcome::Complete);
  }

  /// True if an answer of low confidence is replaced by a larger model's.
  bool Escalates()
  {
    Request("sized");
    const std::size_t send = client.sent.size() - 1;
    timers.Advance(kSecond / 25);
    client.Head(send, Head(200, { { "confidence", "20" } }));
    return client.sent.size() == send + 2;
  }
};

} // namespace

// Guards against a few attempts that never end and pass for a shortage.
TEST_CASE("five hung sends among fifty quick ones do not keep poor answers")
{
  PricedFixture fixture;
  for (int round = 0; round < 5; ++round) {
    fixture.Request("sized"); // hangs
    for (int request = 0; request < 10; ++request) {
      fixture.Answer(kSecond / 25);
    }
  }
  fixture.timers.Advance(kSecond / 2);
  CHECK(fixture.Escalates());
}

// Guards against larger runs that displace others while engines are too slow.
TEST_CASE("poor answers are kept while most requests wait for their heads")
{
  PricedFixture fixture;
  for (int request = 0; request < 20; ++request) {
    fixture.Answer(kSecond / 25);
  }
  for (int request = 0; request < 20; ++request) {
    fixture.Request("sized");
    fixture.timers.Advance(kSecond / 20);
  }
  CHECK_FALSE(fixture.Escalates());
}

TEST_CASE("a high-confidence answer of the smallest model is kept")
{
  Fixture fixture;
  const auto id = fixture.Request("sized");
  fixture.client.Head(0, fixture.Head(200, { { "confidence", "90" } }));
  fixture.client.Body(0, "id: 1\ndata: a\n\n");
  fixture.client.End(0, CallOutcome::Complete);
  CHECK(fixture.client.sent.size() == 1);
  CHECK(fixture.Response(id).finished);
}

TEST_CASE("API keys are refused once the configuration is too old")
{
  Fixture fixture;
  CHECK(fixture.router->KeysAreFresh());
  fixture.timers.Advance(10 * kSecond);
  const auto id = fixture.Request("safe");
  CHECK(fixture.Response(id).status == 503);
  CHECK(Contains(fixture.Response(id).body, "keys_too_old"));
  CHECK_FALSE(fixture.Response(id).Header("retry").empty());
  CHECK(fixture.client.sent.empty());
}

TEST_CASE("a configuration expires while the machine is suspended")
{
  Fixture fixture;
  fixture.timers.Suspend(10 * kSecond);
  const auto id = fixture.Request("safe");
  CHECK(fixture.Response(id).status == 503);
}

TEST_CASE("a revoked API key stops the next attempt")
{
  Fixture fixture;
  const auto id = fixture.Request("safe");
  fixture.configuration.organisationByKey.clear();
  fixture.Apply();
  fixture.client.End(0, CallOutcome::NotSent);
  CHECK(fixture.client.sent.size() == 1);
  CHECK(fixture.Response(id).status == 401);
}

TEST_CASE("requests are denied only by a recent configuration")
{
  Fixture fixture;
  CHECK(fixture.Response(fixture.Request("none")).status == 404);
  CHECK(fixture.Response(fixture.Request("safe", "bad")).status == 401);
  fixture.timers.Advance(10 * kSecond);
  CHECK(fixture.Response(fixture.Request("none")).status == 503);
  CHECK(fixture.Response(fixture.Request("safe", "bad")).status == 503);
}

TEST_CASE("requests before the first configuration are not denied")
{
  Fixture fixture;
  fixture.fleet.configuration.reset();
  const auto id = fixture.Request("safe");
  CHECK(fixture.Response(id).status == 0);
  fixture.timers.Advance(kSecond);
  CHECK(fixture.Response(id).status == 503);
  CHECK(Contains(fixture.Response(id).body, "no_configuration"));
  CHECK(Contains(fixture.Response(id).body, "not_run"));
}

TEST_CASE("a request during startup waits for the configuration")
{
  // Guards against refusals after all processes were killed and callers
  // reconnect at once.
  Fixture fixture;
  fixture.fleet.configuration.reset();
  const auto id = fixture.Request("unsafe");
  fixture.timers.Advance(kSecond / 2);
  CHECK(fixture.client.sent.empty());
  fixture.Apply();
  fixture.timers.Advance(kSecond / 10);
  REQUIRE(fixture.client.sent.size() == 1);
  fixture.Reply(0, 200);
  CHECK(fixture.Response(id).status == 200);
}

TEST_CASE("callers with less time left get a shorter Retry-After")
{
  Fixture fixture;
  fixture.timers.Advance(10 * kSecond);
  const auto hurried = fixture.Request("unsafe", "good", "1500");
  const auto patient = fixture.Request("stream", "good", "20000");
  const auto after = [&fixture](relay::ExchangeId aId) {
    return std::stoll(std::string(fixture.Response(aId).Header("retry")));
  };
  CHECK(after(hurried) <= 500'000); // at most a third of the time left
  CHECK(after(patient) > after(hurried));
}

TEST_CASE("each attempt gets the caller's remaining time")
{
  Fixture fixture;
  fixture.Request("safe", "good", "2000");
  CHECK(Contains(fixture.Message(0), "left=2000"));
  fixture.timers.Advance(kSecond / 2);
  fixture.client.End(0, CallOutcome::NotSent);
  CHECK(Contains(fixture.Message(1), "left=1500"));
}

TEST_CASE("a request gets its final response at the route's timeout")
{
  Fixture fixture;
  const auto id = fixture.Request("unsafe", "good", "9000");
  fixture.timers.Advance(4 * kSecond);
  CHECK(fixture.Response(id).status == 504);
  CHECK(fixture.Response(id).finished);
  CHECK_FALSE(fixture.client.IsOpen(0));
}

TEST_CASE("a request that cannot be answered in time is refused at once")
{
  Fixture fixture;
  const auto id = fixture.Request("unsafe", "good", "10");
  CHECK(fixture.Response(id).status == 503);
  CHECK(Contains(fixture.Response(id).body, "not_run"));
  CHECK(fixture.client.sent.empty());
}

TEST_CASE("a request waits briefly for an upstream, then is refused")
{
  Fixture fixture;
  for (const char* name : { "u1", "u2", "u3", "u4" }) {
    fixture.fleet.upstreams.Remove(name, fixture.timers.Now());
  }
  const auto served = fixture.Request("safe");
  fixture.timers.Advance(kSecond / 10);
  fixture.Add("new");
  fixture.timers.Advance(kSecond / 10);
  REQUIRE(fixture.client.sent.size() == 1);
  fixture.Reply(0, 200);
  CHECK(fixture.Response(served).status == 200);
  fixture.fleet.upstreams.Remove("new", fixture.timers.Now());
  const auto refused = fixture.Request("safe");
  fixture.timers.Advance(kSecond / 2);
  CHECK(fixture.Response(refused).status == 503);
  CHECK(Contains(fixture.Response(refused).body, "not_run"));
}

TEST_CASE("an attempt is cancelled when its caller disconnects")
{
  Fixture fixture;
  const auto id = fixture.Request("safe");
  fixture.router->OnClientDisconnected(RequestOrigin::Caller, id);
  CHECK_FALSE(fixture.client.IsOpen(0));
  CHECK(fixture.router->OpenRequestCount() == 0);
  // No upstream counts the cancelled request as load.
  for (const auto& [upstreamId, upstream] : fixture.fleet.upstreams.Rows()) {
    CHECK(upstream.inFlight == 0);
    CHECK(upstream.pendingTokens == 0);
  }
}

TEST_CASE("reading from the upstream pauses for a slow caller")
{
  Fixture fixture;
  const auto id = fixture.Request("stream");
  fixture.listener.pending[id] = 1024 * 1024;
  fixture.client.Head(0, fixture.Head(200));
  fixture.client.Body(0, "id: 1\ndata: a\n\n");
  CHECK(fixture.client.paused[fixture.client.sent[0].id]);
  fixture.router->OnWritten(RequestOrigin::Caller, id);
  CHECK_FALSE(fixture.client.paused[fixture.client.sent[0].id]);
}

TEST_CASE("a process that shuts down refuses with Retry-After")
{
  Fixture fixture;
  fixture.router->RefuseNewRequests();
  const auto id = fixture.Request("unsafe");
  CHECK(fixture.Response(id).status == 503);
  CHECK_FALSE(fixture.Response(id).Header("retry").empty());
  CHECK(fixture.client.sent.empty());
}

TEST_CASE("all open requests end with their final response before the process")
{
  // Guards against requests that a stopping process cuts off without an answer.
  Fixture fixture;
  const auto sent = fixture.Request("unsafe");
  const auto started = fixture.Request("stream");
  fixture.client.Head(1, fixture.Head(200));
  fixture.client.Body(1, "id: 1\ndata: x\n\n");
  const auto failed = fixture.Request("safe");
  fixture.Reply(2, 500);
  REQUIRE(fixture.client.IsOpen(3));
  for (const char* name : { "u1", "u2", "u3", "u4" }) {
    fixture.fleet.upstreams.Remove(name, fixture.timers.Now());
  }
  const auto waiting = fixture.Request("unsafe");
  fixture.router->EndOpenRequests();
  CHECK(fixture.router->OpenRequestCount() == 0);
  CHECK(fixture.Response(sent).status == 502); // it may have run
  CHECK(fixture.Response(sent).finished);
  CHECK(fixture.Response(started).aborted);
  CHECK(fixture.Response(failed).status == 500); // the upstream's own
  CHECK(fixture.Response(failed).finished);
  CHECK(fixture.Response(waiting).status == 503);
  CHECK(fixture.Response(waiting).finished);
  CHECK_FALSE(fixture.client.IsOpen(0));
  CHECK_FALSE(fixture.client.IsOpen(1));
  CHECK_FALSE(fixture.client.IsOpen(3));
}

TEST_CASE("a request that crashes upstreams is quarantined")
{
  // Guards against a poison request that is sent repeatedly and crashes each
  // upstream.
  Fixture fixture;
  fixture.configuration.routes[0].maxAttempts = 1;
  fixture.Apply();
  net::HttpRequest request;
  request.method = "POST";
  request.target = "/safe/x";
  request.body = "poison";
  relay::ExchangeId id = 0;
  for (int time = 0; time < 4; ++time) {
    id = ++fixture.last;
    request.headers = { { "id", "r" + std::to_string(id) },
                        { "host", "h" },
                        { "key", "good" } };
    const std::size_t before = fixture.client.sent.size();
    fixture.router->OnRequest(RequestOrigin::Caller, id, request);
    if (fixture.client.sent.size() == before) {
      break;
    }
    // Its upstream ends, and is back as another process.
    const std::string upstream = fixture.Message(before).substr(0, 2);
    fixture.client.refusing.insert(upstream);
    fixture.client.End(before, CallOutcome::ConnectionLost);
    fixture.timers.Advance(kSecond);
    fixture.client.refusing.clear();
    fixture.Add(upstream, time + 1);
    fixture.timers.Advance(5 * kSecond);
    fixture.fleet.configurationConfirmedAt = fixture.timers.Now();
  }
  CHECK(fixture.Response(id).status == 503);
  CHECK(Contains(fixture.Response(id).body, "quarantined"));
}

TEST_CASE("upstreams that end as announced are no evidence of a crash")
{
  // Guards against a rolling replacement that quarantines what ran there.
  Fixture fixture;
  for (int round = 0; round < 8; ++round) {
    fixture.timers.Advance(kSecond);
    fixture.Apply();
    const std::size_t send = fixture.client.sent.size();
    fixture.Request("unsafe", "good", "3000", "rare own");
    REQUIRE(fixture.client.sent.size() == send + 1);
    const std::string name = fixture.Message(send).substr(0, 2);
    if (round % 2 == 0) {
      fixture.fleet.upstreams.Remove(name, fixture.timers.Now());
    } else {
      fixture.fleet.upstreams.RecordLeaving(
        *fixture.fleet.upstreams.FindByName(name), fixture.timers.Now());
    }
    fixture.client.refusing.insert(name);
    fixture.client.End(send, CallOutcome::ConnectionLost);
    fixture.timers.Advance(kSecond);
    fixture.client.refusing.clear();
    fixture.Add(name, round + 1);
  }
  CHECK_FALSE(fixture.fleet.crashEvidence.AnyQuarantined());
}

TEST_CASE("a prompt part that crashes upstreams is refused")
{
  // Guards against requests that share one part of their prompts, are otherwise
  // unlike, and crash one upstream after the other.
  Fixture fixture;
  constexpr int kUpstreams = 8;
  constexpr std::size_t kMaxCrashes = 8; // five, and three sends after them
  std::map<std::string, int> restarts;
  for (int index = 0; index < kUpstreams; ++index) {
    fixture.Add("e" + std::to_string(index));
  }
  std::size_t crashes = 0;
  std::size_t soundServed = 0;
  constexpr int kRounds = 40;
  for (int round = 0; round < kRounds; ++round) {
    fixture.timers.Advance(kSecond / 5);
    fixture.Apply();
    const std::string own = "own" + std::to_string(round);
    // Shares the key, the route and the first part with the fatal ones.
    std::size_t send = fixture.client.sent.size();
    const auto sound =
      fixture.Request("stream", "good", "3000", "first second s" + own);
    for (; send < fixture.client.sent.size(); ++send) {
      if (fixture.client.IsRefused(send)) {
        fixture.client.End(send, CallOutcome::NotSent);
        continue;
      }
      fixture.client.Head(send, fixture.Head(200));
      fixture.client.Body(send, "id: 1\ndata: x\n\n");
      fixture.client.End(send, CallOutcome::Complete);
    }
    soundServed +=
      fixture.Response(sound).finished && fixture.Response(sound).status == 200
        ? 1
        : 0;
    fixture.Request("stream", "good", "3000", "first fatal f" + own);
    for (; send < fixture.client.sent.size(); ++send) {
      if (fixture.client.IsRefused(send)) {
        fixture.client.End(send, CallOutcome::NotSent);
        continue;
      }
      ++crashes;
      fixture.client.refusing.insert(
        fixture.client.sent.at(send).call.to.address);
      fixture.client.Head(send, fixture.Head(200));
      fixture.client.End(send, CallOutcome::ConnectionLost);
    }
    // Crashed upstreams are back after a second.
    if (round % 5 == 4) {
      for (const std::string& name :
           std::exchange(fixture.client.refusing, {})) {
        fixture.Add(name, ++restarts[name]);
      }
    }
  }
  CHECK(crashes <= kMaxCrashes);
  CHECK(soundServed >= kRounds * 9 / 10);
}

TEST_CASE("retries stop when the retry budget is used up")
{
  // Guards against retry storms when every attempt fails.
  Fixture fixture;
  RouterOptions options;
  options.instanceName = "self";
  options.zone = "east";
  options.retryBudget.ratio = 0.2;
  options.retryBudget.minRetries = 5;
  fixture.router = MakeRequestRouter(options,
                                     { fixture.timers,
                                       fixture.client,
                                       fixture.headerCodec,
                                       fixture.fleet,
                                       fixture.log,
                                       *fixture.metrics });
  fixture.router->SetListener(RequestOrigin::Caller, fixture.listener);
  for (int request = 0; request < 100; ++request) {
    fixture.Request("safe");
    const std::size_t send = fixture.client.sent.size() - 1;
    fixture.client.End(send, CallOutcome::ConnectionLost);
    if (fixture.client.sent.size() > send + 1) {
      fixture.client.End(send + 1, CallOutcome::ConnectionLost);
    }
  }
  CHECK(fixture.client.sent.size() <= 100 + 100 * 0.2 + 5);
  CHECK(fixture.client.sent.size() > 110);
}

TEST_CASE(
  "prompt caches are weighed only where the settings ask and memory is stated")
{
  // Guards against a change of the choice in earlier deployments, and against
  // the last segment, which belongs to one request alone, being remembered.
  for (const bool weighPromptCache : { false, true }) {
    for (const bool memoryStated : { false, true }) {
      CAPTURE(weighPromptCache);
      CAPTURE(memoryStated);
      Fixture fixture;
      routing::Service service;
      service.name = "app";
      service.engine.emplace();
      if (memoryStated) {
        service.engine->memoryTokens = 10'000;
      }
      fixture.configuration.services["app"] = service;
      fixture.Apply();
      RouterOptions options;
      options.instanceName = "self";
      options.zone = "east";
      options.weighPromptCache = weighPromptCache;
      fixture.router = MakeRequestRouter(options,
                                         { fixture.timers,
                                           fixture.client,
                                           fixture.headerCodec,
                                           fixture.fleet,
                                           fixture.log,
                                           *fixture.metrics });
      fixture.router->SetListener(RequestOrigin::Caller, fixture.listener);
      fixture.Request("sized", "good", "3000", "tools manual own");
      fixture.client.Head(0, fixture.Head(200, { { "confidence", "100" } }));
      fixture.client.Body(0, "id: 1\ndata: a\n\n");
      fixture.client.End(0, CallOutcome::Complete);
      REQUIRE(fixture.client.sent.size() == 1);
      fixture.Request("sized", "good", "3000", "tools manual own-too");
      const std::string upstream = fixture.Message(0).substr(0, 2);
      CHECK(fixture.Message(1).substr(0, 2) == upstream);
      const routing::PromptCache& cache = fixture.fleet.promptCache;
      if (!weighPromptCache || !memoryStated) {
        CHECK(cache.PrefixCount() == 0);
        continue;
      }
      CHECK(cache.PrefixCount() == 2);
      // Half of the first prompt's 200 shared tokens and all of the second's.
      CHECK(cache.ExpectedTotal() == doctest::Approx(300).epsilon(0.01));
      fixture.Add(upstream, 2);
      fixture.Request("sized", "good", "3000", "tools manual own-again");
      CHECK(cache.ExpectedTotal() < 410); // nothing known of the new process
    }
  }
}

TEST_CASE("an upstream that announces its leaving gets no new request")
{
  // On any response: a success, a refusal, the head of a stream.
  for (const auto& [route, status] : std::vector<std::pair<std::string, int>>{
         { "unsafe", 200 }, { "unsafe", 503 }, { "stream", 200 } }) {
    Fixture fixture;
    fixture.Request(route);
    const std::string first = fixture.Message(0).substr(0, 2);
    fixture.client.Head(
      0, fixture.Head(status, { { "leaving", "1" }, { "not-run", "1" } }));
    fixture.client.End(0, CallOutcome::Complete);
    for (int request = 0; request < 12; ++request) {
      fixture.Request("unsafe");
    }
    for (std::size_t send = 1; send < fixture.client.sent.size(); ++send) {
      CHECK(fixture.Message(send).substr(0, 2) != first);
    }
  }
}

TEST_CASE("a stream of a leaving upstream runs to its end")
{
  Fixture fixture;
  const auto id = fixture.Request("stream");
  fixture.client.Head(0, fixture.Head(200, { { "leaving", "1" } }));
  fixture.client.Body(0, "id: 1\ndata: x\n\n");
  CHECK(fixture.client.IsOpen(0));
  fixture.client.End(0, CallOutcome::Complete);
  CHECK(fixture.Response(id).finished);
}

TEST_CASE("another upstream's leaving at a reused address does not count")
{
  Fixture fixture;
  fixture.Request("unsafe");
  fixture.Reply(0, 421, { { "leaving", "1" } });
  for (const auto& [upstreamId, upstream] : fixture.fleet.upstreams.Rows()) {
    CHECK_FALSE(upstream.announcedLeaving);
  }
}

TEST_CASE("an upstream that asks for a pause gets nothing on any path")
{
  Fixture fixture;
  fixture.Request("safe");
  const std::string busy = fixture.Message(0).substr(0, 2);
  fixture.Reply(0, 503, { { "not-run", "1" }, { "backoff", "2000" } });
  const std::size_t before = fixture.client.sent.size(); // retried elsewhere
  CHECK(before == 2);
  CHECK(fixture.Message(1).substr(0, 2) != busy);
  fixture.timers.Advance(kSecond + kSecond / 10); // a slow attempt's retry
  for (const char* route : { "safe", "unsafe", "stream", "sized" }) {
    fixture.Request(route);
  }
  fixture.client.End(2, CallOutcome::ConnectionLost); // a resumed stream's path
  for (std::size_t send = 1; send < fixture.client.sent.size(); ++send) {
    CHECK(fixture.Message(send).substr(0, 2) != busy);
  }
  fixture.timers.Advance(kSecond);
  for (int request = 0; request < 8; ++request) {
    fixture.Request("unsafe");
  }
  bool used = false;
  for (std::size_t send = before; send < fixture.client.sent.size(); ++send) {
    used = used || fixture.Message(send).substr(0, 2) == busy;
  }
  CHECK(used); // the pause is over
}

// Guards against a path beside the gate that keeps an upstream's limit: first
// sends, retries after refusals, lost and slow attempts, resumed streams,
// larger models and what has waited.
TEST_CASE("an upstream whose limit is used up gets nothing on any path")
{
  Fixture fixture;
  // No other upstream is as idle, so the limited one would be the next choice.
  const auto limited = *fixture.fleet.upstreams.FindByName("u1");
  for (const char* name : { "u2", "u3", "u4" }) {
    fixture.fleet.upstreams.RecordSend(
      *fixture.fleet.upstreams.FindByName(name), 0, fixture.timers.Now());
  }
  fixture.fleet.upstreams.RecordRequestLimit(
    limited, 0.2, fixture.timers.Now());
  fixture.Request("unsafe"); // its share starts now
  fixture.timers.Advance(6 * kSecond);
  fixture.Apply(); // the API keys are fresh again
  fixture.fleet.upstreams.RecordSend(limited, 0, fixture.timers.Now());
  fixture.fleet.upstreams.RecordEnd(limited);
  const std::size_t before = fixture.client.sent.size();
  SUBCASE("first sends")
  {
    for (const char* route : { "safe", "unsafe", "stream", "sized" }) {
      fixture.Request(route);
    }
    CHECK(fixture.client.sent.size() == before + 4);
  }
  SUBCASE("retries after a lost or unsent attempt")
  {
    for (const CallOutcome end :
         { CallOutcome::ConnectionLost, CallOutcome::NotSent }) {
      fixture.Request("safe");
      fixture.client.End(fixture.client.sent.size() - 1, end);
    }
    CHECK(fixture.client.sent.size() == before + 4);
  }
  SUBCASE("retries after a refusal")
  {
    fixture.Request("unsafe");
    fixture.Reply(before, 503, { { "not-run", "1" } });
    CHECK(fixture.client.sent.size() == before + 2);
  }
  SUBCASE("retries of slow attempts")
  {
    fixture.Request("safe");
    fixture.timers.Advance(kSecond + kSecond / 10);
    CHECK(fixture.client.sent.size() == before + 2);
  }
  SUBCASE("resumed streams")
  {
    fixture.Request("stream");
    fixture.client.Head(before, fixture.Head(200));
    fixture.client.Body(before, "id: 1\ndata: x\n\n");
    fixture.client.End(before, CallOutcome::ConnectionLost);
    CHECK(fixture.client.sent.size() == before + 2);
  }
  SUBCASE("larger models")
  {
    fixture.Request("sized");
    fixture.client.Head(before, fixture.Head(200, { { "confidence", "1" } }));
    CHECK(fixture.client.sent.size() == before + 2);
  }
  SUBCASE("what has waited")
  {
    for (const auto& [id, upstream] : fixture.fleet.upstreams.Rows()) {
      if (id != limited) {
        fixture.fleet.upstreams.RecordBackoff(
          id, fixture.timers.Now() + kSecond / 10);
      }
    }
    fixture.Request("unsafe");
    CHECK(fixture.client.sent.size() == before);
    fixture.timers.Advance(kSecond / 5);
    CHECK(fixture.client.sent.size() == before + 1);
  }
  for (std::size_t send = before; send < fixture.client.sent.size(); ++send) {
    CHECK(fixture.Message(send).substr(0, 2) != "u1");
  }
}

TEST_CASE("if all upstreams want a pause, the caller is told when to return")
{
  Fixture fixture;
  for (const auto& [id, upstream] : fixture.fleet.upstreams.Rows()) {
    fixture.fleet.upstreams.RecordBackoff(
      id, fixture.timers.Now() + (3 + id.value) * kSecond);
  }
  const auto id = fixture.Request("unsafe");
  // At once, not at the end of its wait or deadline.
  CHECK(fixture.Response(id).status == 503);
  CHECK(Contains(fixture.Response(id).body, "not_run"));
  CHECK(fixture.Response(id).Header("retry") == "3000000");
  CHECK(fixture.client.sent.empty());
  // A pause that ends within the request's wait is waited for.
  Fixture soon;
  for (const auto& [upstreamId, upstream] : soon.fleet.upstreams.Rows()) {
    soon.fleet.upstreams.RecordBackoff(upstreamId,
                                       soon.timers.Now() + kSecond / 10);
  }
  soon.Request("unsafe");
  soon.timers.Advance(kSecond / 5);
  CHECK(soon.client.sent.size() == 1);
}

TEST_CASE("only the target of an order is left: exposure is limited, the rest "
          "is refused at once")
{
  // All other versions leave while the order's canary phase lasts.
  Fixture fixture;
  routing::RolloutOrder order;
  order.service = "app";
  order.target = "v2";
  order.duration = 20 * kSecond;
  order.creationRevision = 3;
  fixture.fleet.rollouts.Apply(order, fixture.timers.Now(), { 1, 2 });
  fixture.timers.Advance(2 * kSecond);
  for (const char* name : { "u1", "u2", "u3", "u4" }) {
    fixture.fleet.upstreams.Remove(name, fixture.timers.Now());
  }
  routing::UpstreamEntry entry;
  entry.name = "n1";
  entry.service = "app";
  entry.zone = "east";
  entry.softwareVersion = "v2";
  entry.slots = 8;
  fixture.fleet.upstreams.Apply(entry, fixture.timers.Now());
  fixture.Apply();
  std::size_t refused = 0;
  for (int request = 0; request < 400; ++request) {
    const auto id = fixture.Request("unsafe");
    refused += fixture.Response(id).status == 503 ? 1 : 0;
  }
  CHECK(fixture.client.sent.size() == 2);
  CHECK(refused > 0); // canary sessions, without a wait
}

TEST_CASE("requests that cannot be served count as arrivals of a roll-out")
{
  // Guards against a schedule that goes on while stale keys make the instance
  // refuse a service's requests.
  Fixture fixture;
  routing::RolloutOrder order;
  order.service = "app";
  order.target = "v2";
  order.duration = 20 * kSecond;
  order.creationRevision = 3;
  fixture.fleet.rollouts.Apply(order, fixture.timers.Now(), { 1, 2 });
  fixture.fleet.configurationConfirmedAt = fixture.timers.Now() - 60 * kSecond;
  for (int request = 0; request < 4; ++request) {
    CHECK(fixture.Response(fixture.Request("unsafe")).status == 503);
  }
  REQUIRE(fixture.client.sent.empty());
  const auto recent =
    fixture.fleet.rollouts.LocalEvidence(fixture.timers.Now()).at("app").recent;
  CHECK(recent.arrivals == 4);
  CHECK(recent.answers == 0);
}
