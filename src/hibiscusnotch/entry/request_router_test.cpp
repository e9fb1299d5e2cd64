#include "hibiscusnotch/entry/request_router.hpp"

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

/// Plain header names; the message names the upstream and what it was told.
class TestHeaderCodec : public HeaderCodec
{
public:
  RequestMetadata ReadRequest(const net::HttpRequest& aRequest) const override
  {
    RequestMetadata metadata;
    metadata.requestId = std::string(aRequest.Header("id"));
    metadata.host = std::string(aRequest.Header("host"));
    metadata.path = aRequest.target;
    metadata.apiKey = std::string(aRequest.Header("key"));
    if (!aRequest.Header("left").empty()) {
      metadata.timeLeft =
        Duration{ std::stoll(std::string(aRequest.Header("left"))) * 1000 };
    }
    return metadata;
  }
  std::string WriteUpstreamRequest(
    const net::HttpRequest& /*aRequest*/,
    const AttemptMetadata& aMetadata) const override
  {
    return aMetadata.upstream + " model=" + aMetadata.model +
           " organisation=" + aMetadata.organisation +
           " after=" + aMetadata.resumeAfter +
           " left=" + std::to_string(aMetadata.timeLeft.count() / 1000);
  }
  ResponseMetadata ReadResponse(const ResponseHead& aHead) const override
  {
    ResponseMetadata metadata;
    metadata.requestId = std::string(aHead.Header("id"));
    metadata.sealed = !aHead.Header("seal").empty();
    metadata.notExecuted = !aHead.Header("not-run").empty();
    metadata.wrongUpstream = aHead.status == 421;
    if (!aHead.Header("confidence").empty()) {
      metadata.confidence = std::stoi(std::string(aHead.Header("confidence")));
    }
    return metadata;
  }
  net::Headers ResponseHeaders(const ResponseHead& aHead) const override
  {
    return aHead.headers;
  }
  net::Headers LocalReplyHeaders(const RequestMetadata& /*aMetadata*/,
                                 Duration aRetryAfter) const override
  {
    if (aRetryAfter == Duration::zero()) {
      return {};
    }
    return { { "retry", std::to_string(aRetryAfter.count()) } };
  }
};

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
  FakeOutboundClient caller;
  FakeListener listener;
  TestHeaderCodec headerCodec;
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
      options, { timers, caller, headerCodec, fleet, log, *metrics });
    router->SetListener(listener);
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

  void Add(const std::string& aName)
  {
    routing::UpstreamEntry entry;
    entry.name = aName;
    entry.service = "app";
    entry.zone = "east";
    entry.slots = 8;
    fleet.upstreams.Apply(entry, timers.Now());
  }

  relay::ExchangeId Request(const std::string& aRoute,
                            const std::string& aKey = "good",
                            const std::string& aLeft = "3000")
  {
    net::HttpRequest request;
    request.method = "POST";
    request.target = "/" + aRoute + "/x";
    request.headers = {
      { "id", "r" + std::to_string(++last) },
      { "host", "h" },
      { "key", aKey },
      { "left", aLeft },
    };
    request.body = "body" + std::to_string(last);
    router->OnRequest(last, request);
    return last;
  }

  RecordedResponse& Answer(relay::ExchangeId aId)
  {
    return listener.answers[aId];
  }

  ResponseHead Head(int aStatus, net::Headers aMore = {})
  {
    ResponseHead head;
    head.status = aStatus;
    head.headers = { { "id", "r" + std::to_string(last) }, { "seal", "s" } };
    head.headers.insert(head.headers.end(), aMore.begin(), aMore.end());
    return head;
  }

  /// The upstream of a send answers with one whole body.
  void Reply(std::size_t aSend, int aStatus, net::Headers aMore = {})
  {
    caller.Head(aSend, Head(aStatus, std::move(aMore)));
    caller.Body(aSend, "answer");
    caller.End(aSend, CallOutcome::Complete);
  }

  std::string Message(std::size_t aSend)
  {
    return caller.sent.at(aSend).call.message;
  }
};

bool
Has(const std::string& aText, const std::string& aPart)
{
  return aText.find(aPart) != std::string::npos;
}

} // namespace

TEST_CASE("an answer passes with the organisation in place of the key")
{
  Fixture fixture;
  const auto id = fixture.Request("unsafe");
  REQUIRE(fixture.caller.sent.size() == 1);
  CHECK(Has(fixture.Message(0), "organisation=shop"));
  fixture.Reply(0, 200);
  CHECK(fixture.Answer(id).status == 200);
  CHECK(fixture.Answer(id).body == "answer");
  CHECK(fixture.Answer(id).finished);
  CHECK(fixture.router->OpenRequestCount() == 0);
}

TEST_CASE("what may run once is not sent again after bytes have left")
{
  for (const CallOutcome end :
       { CallOutcome::ConnectionLost, CallOutcome::Complete }) {
    Fixture fixture;
    const auto id = fixture.Request("unsafe");
    if (end == CallOutcome::Complete) {
      fixture.Reply(0, 200, {});
    } else {
      fixture.caller.End(0, end);
      CHECK(fixture.Answer(id).status == 502); // promises nothing
      CHECK(Has(fixture.Answer(id).body, "may_have_run"));
    }
    CHECK(fixture.caller.sent.size() == 1);
  }
}

TEST_CASE("what may run once goes elsewhere when it surely has not run")
{
  Fixture fixture;
  const auto id = fixture.Request("unsafe");
  fixture.caller.End(0, CallOutcome::NotSent);
  REQUIRE(fixture.caller.sent.size() == 2);
  CHECK(fixture.Message(0).substr(0, 2) != fixture.Message(1).substr(0, 2));
  fixture.Reply(1, 503, { { "not-run", "1" } });
  REQUIRE(fixture.caller.sent.size() == 3);
  fixture.Reply(2, 421);
  REQUIRE(fixture.caller.sent.size() == 4);
  fixture.Reply(3, 200);
  CHECK(fixture.Answer(id).status == 200);
}

TEST_CASE("a success without proof of origin is no answer")
{
  Fixture fixture;
  const auto id = fixture.Request("unsafe");
  ResponseHead head;
  head.status = 200;
  head.headers = { { "id", "r1" } };
  fixture.caller.Head(0, head);
  fixture.caller.End(0, CallOutcome::Complete);
  CHECK(fixture.Answer(id).status == 502);
}

TEST_CASE("an answer to another request is no answer")
{
  Fixture fixture;
  const auto id = fixture.Request("unsafe");
  ResponseHead head = fixture.Head(200);
  head.headers[0].second = "r99";
  fixture.caller.Head(0, head);
  fixture.caller.Body(0, "other");
  fixture.caller.End(0, CallOutcome::Complete);
  CHECK(fixture.Answer(id).status == 502);
  CHECK_FALSE(Has(fixture.Answer(id).body, "other"));
}

TEST_CASE("a success with a content coding is not the upstream's body")
{
  Fixture fixture;
  const auto id = fixture.Request("unsafe");
  fixture.Reply(0, 200, { { "Content-Encoding", "gzip" } });
  CHECK(fixture.Answer(id).status == 502);
}

TEST_CASE("an idempotent request survives failures within its attempts")
{
  Fixture fixture;
  const auto id = fixture.Request("safe");
  fixture.Reply(0, 500);
  REQUIRE(fixture.caller.sent.size() == 2);
  fixture.Reply(1, 200);
  CHECK(fixture.Answer(id).status == 200);
}

TEST_CASE("the upstream's own failure is passed on when attempts are used up")
{
  Fixture fixture;
  const auto id = fixture.Request("safe");
  fixture.Reply(0, 500);
  fixture.Reply(1, 500);
  CHECK(fixture.caller.sent.size() == 2);
  CHECK(fixture.Answer(id).status == 500);
  CHECK(fixture.Answer(id).Header("seal") == "s");
}

TEST_CASE("an idempotent request does not wait for an upstream that hangs")
{
  // Pattern: part of an upstream's requests hang while its health is good.
  Fixture fixture;
  const auto id = fixture.Request("safe");
  fixture.timers.Advance(kSecond + kSecond / 10);
  REQUIRE(fixture.caller.sent.size() == 2);
  CHECK_FALSE(fixture.caller.IsOpen(0));
  fixture.Reply(1, 200);
  CHECK(fixture.Answer(id).status == 200);
}

TEST_CASE("what may run once waits for its answer")
{
  Fixture fixture;
  const auto id = fixture.Request("unsafe");
  fixture.timers.Advance(2 * kSecond);
  CHECK(fixture.caller.sent.size() == 1);
  CHECK(fixture.caller.IsOpen(0));
  fixture.Reply(0, 200);
  CHECK(fixture.Answer(id).status == 200);
}

TEST_CASE("an upstream that hangs is passed over by requests that run once")
{
  Fixture fixture;
  std::string hanging;
  for (int request = 0; request < 5; ++request) {
    fixture.Request("unsafe");
    const std::size_t send = fixture.caller.sent.size() - 1;
    const std::string upstream = fixture.Message(send).substr(0, 2);
    hanging = hanging.empty() ? upstream : hanging;
    if (upstream != hanging) {
      fixture.Reply(send, 200);
    }
    fixture.timers.Advance(4 * kSecond);
    fixture.fleet.configurationConfirmedAt = fixture.timers.Now();
  }
  std::size_t hung = 0;
  for (std::size_t send = 0; send < fixture.caller.sent.size(); ++send) {
    hung += fixture.Message(send).substr(0, 2) == hanging ? 1 : 0;
  }
  CHECK(hung <= 4);
}

TEST_CASE("a stream goes on elsewhere after its last whole event")
{
  Fixture fixture;
  const auto id = fixture.Request("stream");
  fixture.caller.Head(0, fixture.Head(200));
  fixture.caller.Body(0, "id: 1\ndata: a\n\nid: 2\nda");
  CHECK(fixture.Answer(id).body == "id: 1\ndata: a\n\n");
  fixture.caller.End(0, CallOutcome::ConnectionLost);
  REQUIRE(fixture.caller.sent.size() == 2);
  CHECK(Has(fixture.Message(1), "after=1"));
  fixture.caller.Head(1, fixture.Head(200));
  fixture.caller.Body(1, "id: 2\ndata: b\n\n");
  fixture.caller.End(1, CallOutcome::Complete);
  CHECK(fixture.Answer(id).body == "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
  CHECK(fixture.Answer(id).finished);
}

TEST_CASE("a stream that ends within an event is not complete")
{
  Fixture fixture;
  const auto id = fixture.Request("stream");
  fixture.caller.Head(0, fixture.Head(200));
  fixture.caller.Body(0, "id: 1\ndata: a\n\nid: 2\nda");
  fixture.caller.End(0, CallOutcome::Complete);
  CHECK_FALSE(fixture.Answer(id).finished);
  CHECK(fixture.caller.sent.size() == 2);
}

TEST_CASE("a stream that may not be resumed is cut, never joined")
{
  Fixture fixture;
  fixture.configuration.routes[2].resumable = false;
  fixture.Apply();
  const auto id = fixture.Request("stream");
  fixture.caller.Head(0, fixture.Head(200));
  fixture.caller.Body(0, "id: 1\ndata: a\n\n");
  fixture.caller.End(0, CallOutcome::ConnectionLost);
  CHECK(fixture.caller.sent.size() == 1);
  CHECK(fixture.Answer(id).aborted);
  CHECK_FALSE(fixture.Answer(id).finished);
}

TEST_CASE("a cut stream without attempts left is cut at the caller too")
{
  Fixture fixture;
  const auto id = fixture.Request("stream");
  for (std::size_t send = 0; send < 3; ++send) {
    fixture.caller.Head(send, fixture.Head(200));
    fixture.caller.Body(send, "id: 1\ndata: a\n\n");
    fixture.caller.End(send, CallOutcome::ConnectionLost);
  }
  CHECK(fixture.caller.sent.size() == 3);
  CHECK(fixture.Answer(id).aborted);
}

TEST_CASE("a doubtful answer is dropped for the largest model's")
{
  Fixture fixture;
  const auto id = fixture.Request("sized");
  CHECK(Has(fixture.Message(0), "model=small"));
  fixture.caller.Head(0, fixture.Head(200, { { "confidence", "10" } }));
  REQUIRE(fixture.caller.sent.size() == 2);
  CHECK(Has(fixture.Message(1), "model=large"));
  CHECK_FALSE(fixture.caller.IsOpen(0)); // the first run is cancelled
  CHECK(fixture.Answer(id).status == 0);
  fixture.caller.Head(1, fixture.Head(200, { { "confidence", "10" } }));
  fixture.caller.Body(1, "id: 1\ndata: a\n\n");
  fixture.caller.End(1, CallOutcome::Complete);
  CHECK(fixture.Answer(id).body == "id: 1\ndata: a\n\n");
}

TEST_CASE("a sure answer of the smallest model is kept")
{
  Fixture fixture;
  const auto id = fixture.Request("sized");
  fixture.caller.Head(0, fixture.Head(200, { { "confidence", "90" } }));
  fixture.caller.Body(0, "id: 1\ndata: a\n\n");
  fixture.caller.End(0, CallOutcome::Complete);
  CHECK(fixture.caller.sent.size() == 1);
  CHECK(fixture.Answer(id).finished);
}

TEST_CASE("keys count only while the configuration is surely new")
{
  Fixture fixture;
  CHECK(fixture.router->KeysAreFresh());
  fixture.timers.Advance(10 * kSecond);
  const auto id = fixture.Request("safe");
  CHECK(fixture.Answer(id).status == 503);
  CHECK(Has(fixture.Answer(id).body, "keys_too_old"));
  CHECK_FALSE(fixture.Answer(id).Header("retry").empty());
  CHECK(fixture.caller.sent.empty());
}

TEST_CASE("a suspended machine does not trust what it knew before")
{
  Fixture fixture;
  fixture.timers.Suspend(10 * kSecond);
  const auto id = fixture.Request("safe");
  CHECK(fixture.Answer(id).status == 503);
}

TEST_CASE("a key that is taken away stops the next attempt too")
{
  Fixture fixture;
  const auto id = fixture.Request("safe");
  fixture.configuration.organisationByKey.clear();
  fixture.Apply();
  fixture.caller.End(0, CallOutcome::NotSent);
  CHECK(fixture.caller.sent.size() == 1);
  CHECK(fixture.Answer(id).status == 401);
}

TEST_CASE("denials need a configuration that is surely the newest")
{
  Fixture fixture;
  CHECK(fixture.Answer(fixture.Request("none")).status == 404);
  CHECK(fixture.Answer(fixture.Request("safe", "bad")).status == 401);
  fixture.timers.Advance(10 * kSecond);
  CHECK(fixture.Answer(fixture.Request("none")).status == 503);
  CHECK(fixture.Answer(fixture.Request("safe", "bad")).status == 503);
}

TEST_CASE("before the first configuration nothing is denied")
{
  Fixture fixture;
  fixture.fleet.configuration.reset();
  const auto id = fixture.Request("safe");
  CHECK(fixture.Answer(id).status == 0);
  fixture.timers.Advance(kSecond);
  CHECK(fixture.Answer(id).status == 503);
  CHECK(Has(fixture.Answer(id).body, "no_configuration"));
  CHECK(Has(fixture.Answer(id).body, "not_run"));
}

TEST_CASE("a request that comes while an instance starts is served a moment on")
{
  // Pattern: all processes are killed and callers come back at once.
  Fixture fixture;
  fixture.fleet.configuration.reset();
  const auto id = fixture.Request("unsafe");
  fixture.timers.Advance(kSecond / 2);
  CHECK(fixture.caller.sent.empty());
  fixture.Apply();
  fixture.timers.Advance(kSecond / 10);
  REQUIRE(fixture.caller.sent.size() == 1);
  fixture.Reply(0, 200);
  CHECK(fixture.Answer(id).status == 200);
}

TEST_CASE("callers with little time left are told to come back sooner")
{
  Fixture fixture;
  fixture.timers.Advance(10 * kSecond);
  const auto hurried = fixture.Request("unsafe", "good", "1500");
  const auto patient = fixture.Request("stream", "good", "20000");
  const auto after = [&fixture](relay::ExchangeId aId) {
    return std::stoll(std::string(fixture.Answer(aId).Header("retry")));
  };
  CHECK(after(hurried) <= 500'000); // a third of what is left, at most
  CHECK(after(patient) > after(hurried));
}

TEST_CASE("the time that is left is what the caller has left")
{
  Fixture fixture;
  fixture.Request("safe", "good", "2000");
  CHECK(Has(fixture.Message(0), "left=2000"));
  fixture.timers.Advance(kSecond / 2);
  fixture.caller.End(0, CallOutcome::NotSent);
  CHECK(Has(fixture.Message(1), "left=1500"));
}

TEST_CASE("a request gets its final answer at its route's time-out")
{
  Fixture fixture;
  const auto id = fixture.Request("unsafe", "good", "9000");
  fixture.timers.Advance(4 * kSecond);
  CHECK(fixture.Answer(id).status == 504);
  CHECK(fixture.Answer(id).finished);
  CHECK_FALSE(fixture.caller.IsOpen(0));
}

TEST_CASE("what cannot be answered in time is refused at once")
{
  Fixture fixture;
  const auto id = fixture.Request("unsafe", "good", "10");
  CHECK(fixture.Answer(id).status == 503);
  CHECK(Has(fixture.Answer(id).body, "not_run"));
  CHECK(fixture.caller.sent.empty());
}

TEST_CASE("a request waits a little for an upstream and is refused soon")
{
  Fixture fixture;
  for (const char* name : { "u1", "u2", "u3", "u4" }) {
    fixture.fleet.upstreams.Remove(name, false, fixture.timers.Now());
  }
  const auto served = fixture.Request("safe");
  fixture.timers.Advance(kSecond / 10);
  fixture.Add("new");
  fixture.timers.Advance(kSecond / 10);
  REQUIRE(fixture.caller.sent.size() == 1);
  fixture.Reply(0, 200);
  CHECK(fixture.Answer(served).status == 200);
  fixture.fleet.upstreams.Remove("new", false, fixture.timers.Now());
  const auto refused = fixture.Request("safe");
  fixture.timers.Advance(kSecond / 2);
  CHECK(fixture.Answer(refused).status == 503);
  CHECK(Has(fixture.Answer(refused).body, "not_run"));
}

TEST_CASE("work ends when its caller leaves")
{
  Fixture fixture;
  const auto id = fixture.Request("safe");
  fixture.router->OnGone(id);
  CHECK_FALSE(fixture.caller.IsOpen(0));
  CHECK(fixture.router->OpenRequestCount() == 0);
  // No row counts the cancelled request as work any more.
  for (const auto& [upstream, row] : fixture.fleet.upstreams.Rows()) {
    CHECK(row.inFlight == 0);
    CHECK(row.pendingTokens == 0);
  }
}

TEST_CASE("an upstream is not read from faster than its caller takes")
{
  Fixture fixture;
  const auto id = fixture.Request("stream");
  fixture.listener.pending[id] = 1024 * 1024;
  fixture.caller.Head(0, fixture.Head(200));
  fixture.caller.Body(0, "id: 1\ndata: a\n\n");
  CHECK(fixture.caller.paused[fixture.caller.sent[0].id]);
  fixture.router->OnDrained(id);
  CHECK_FALSE(fixture.caller.paused[fixture.caller.sent[0].id]);
}

TEST_CASE("a process that is about to end refuses truthfully")
{
  Fixture fixture;
  fixture.router->RefuseNewRequests();
  const auto id = fixture.Request("unsafe");
  CHECK(fixture.Answer(id).status == 503);
  CHECK_FALSE(fixture.Answer(id).Header("retry").empty());
  CHECK(fixture.caller.sent.empty());
}

TEST_CASE("a request that takes upstreams down is kept from the next one")
{
  // Pattern: the same request comes again and again and crashes what runs it.
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
    const std::size_t before = fixture.caller.sent.size();
    fixture.router->OnRequest(id, request);
    if (fixture.caller.sent.size() == before) {
      break;
    }
    // It breaks, and the upstream refuses the next connection.
    fixture.caller.End(before, CallOutcome::ConnectionLost);
    const auto upstream = fixture.Message(before).substr(0, 2);
    for (int other = 0; other < 8; ++other) {
      fixture.Request("unsafe");
      const std::size_t send = fixture.caller.sent.size() - 1;
      const bool crashed = fixture.Message(send).substr(0, 2) == upstream;
      fixture.caller.End(send, CallOutcome::NotSent);
      while (fixture.caller.sent.size() > send + 1 &&
             fixture.caller.IsOpen(fixture.caller.sent.size() - 1)) {
        fixture.caller.End(fixture.caller.sent.size() - 1,
                           CallOutcome::NotSent);
      }
      if (crashed) {
        break;
      }
    }
    fixture.timers.Advance(5 * kSecond);
    fixture.fleet.configurationConfirmedAt = fixture.timers.Now();
  }
  CHECK(fixture.Answer(id).status == 503);
  CHECK(Has(fixture.Answer(id).body, "quarantined"));
}

TEST_CASE("repeats stop when the fleet's allowance is used up")
{
  // Pattern: every answer fails while clients press.
  Fixture fixture;
  RouterOptions options;
  options.instanceName = "self";
  options.zone = "east";
  options.retryBudget.ratio = 0.2;
  options.retryBudget.minRetries = 5;
  fixture.router = MakeRequestRouter(options,
                                     { fixture.timers,
                                       fixture.caller,
                                       fixture.headerCodec,
                                       fixture.fleet,
                                       fixture.log,
                                       *fixture.metrics });
  fixture.router->SetListener(fixture.listener);
  for (int request = 0; request < 100; ++request) {
    fixture.Request("safe");
    const std::size_t send = fixture.caller.sent.size() - 1;
    fixture.caller.End(send, CallOutcome::ConnectionLost);
    if (fixture.caller.sent.size() > send + 1) {
      fixture.caller.End(send + 1, CallOutcome::ConnectionLost);
    }
  }
  CHECK(fixture.caller.sent.size() <= 100 + 100 * 0.2 + 5);
  CHECK(fixture.caller.sent.size() > 110);
}
