#include "hibiscusnotch/entry/request_router.hpp"

#include "hibiscusnotch/testing/fake_header_codec.hpp"
#include "hibiscusnotch/testing/fake_listener.hpp"
#include "hibiscusnotch/testing/fake_outbound_client.hpp"
#include "hibiscusnotch/testing/manual_timers.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>
#include <fstream>
#include <list>
#include <malloc.h>
#include <unistd.h>

using namespace hibiscusnotch::entry;
using boost::asio::ip::tcp;
using hibiscusnotch::testing::FakeHeaderCodec;
using hibiscusnotch::testing::FakeListener;
using hibiscusnotch::testing::FakeOutboundClient;
using hibiscusnotch::testing::ManualTimers;
namespace core = hibiscusnotch::core;
namespace net = hibiscusnotch::net;
namespace observe = hibiscusnotch::observe;
namespace relay = hibiscusnotch::relay;
namespace routing = hibiscusnotch::routing;

namespace {

constexpr std::size_t kMb = std::size_t{ 1024 } * 1024;
// What the settings give the smallest instances, which have 88 MB.
constexpr std::size_t kBudget = 22 * kMb;
constexpr std::size_t kCallers = 500;
constexpr std::size_t kEvents = 42; // of a response of deployment M

/// A router of one stream route, without listeners.
struct Fixture
{
  explicit Fixture(relay::Timers& aTimers)
    : timers(aTimers)
  {
    RouterOptions options;
    options.instanceName = "self";
    options.zone = "east";
    options.enforceKeyRevocation = false;
    options.memoryPressure = true;
    options.maxUnsentBytes = kBudget / 16;
    router = MakeRequestRouter(
      options, { timers, client, headerCodec, fleet, log, *metrics });
    fleet.instances["self"] = { {}, "east" };
    routing::Configuration configuration;
    configuration.version = 1;
    routing::Route route;
    route.name = "stream";
    route.host = "h";
    route.pathPrefix = "/";
    route.executionSemantics = routing::ExecutionSemantics::Stream;
    route.timeout = core::Duration{ 60'000'000 };
    route.latencyTarget = core::Duration{ 4'000'000 };
    route.services = { { "app", 1 } };
    configuration.routes = { route };
    configuration.BuildRouteIndex();
    fleet.configuration =
      std::make_shared<routing::Configuration>(configuration);
    fleet.configurationConfirmedAt = timers.Now();
    routing::UpstreamEntry entry;
    entry.name = "u1";
    entry.endpoint = { "u1", 1 };
    entry.service = "app";
    entry.zone = "east";
    fleet.upstreams.Apply(entry, timers.Now());
  }

  static net::HttpRequest MakeRequest(std::size_t aNumber)
  {
    net::HttpRequest request;
    request.method = "POST";
    request.target = "/x";
    request.headers = { { "id", "r" + std::to_string(aNumber) },
                        { "host", "h" } };
    return request;
  }

  void AnswerHead(std::size_t aCall)
  {
    const std::string& message = client.sent.at(aCall).call.message;
    relay::ResponseHead head;
    head.status = 200;
    head.headers = { { "id", message.substr(message.find("id=") + 3) },
                     { "seal", "s" } };
    head.isSelfDelimited = true;
    client.Head(aCall, head);
  }

  void AnswerEvent(std::size_t aCall, std::size_t aEvent, std::size_t aBytes)
  {
    client.Body(aCall,
                "id: " + std::to_string(aEvent) +
                  "\ndata: " + std::string(aBytes, 'x') + "\n\n");
  }

  bool IsPaused(std::size_t aCall) const
  {
    const auto found = client.paused.find(client.sent.at(aCall).id);
    return found != client.paused.end() && found->second;
  }

  relay::Timers& timers;
  FakeOutboundClient client;
  FakeHeaderCodec headerCodec;
  FleetState fleet;
  EventLog log{ timers, { "test", 0, 0 } };
  std::unique_ptr<observe::Metrics> metrics = observe::MakeMetrics();
  std::unique_ptr<RequestRouter> router;
};

/// Connects a fake listener's stalled clients to a budget.
struct FakeFront
{
  FakeFront(Fixture& aFixture,
            RequestOrigin aOrigin,
            relay::UnsentBudget& aBudget)
  {
    aFixture.router->SetListener(aOrigin, listener);
    listener.onPending =
      [this, &aFixture, aOrigin, &aBudget](relay::ExchangeId aId) {
        const auto now = aFixture.timers.Now();
        const auto [holder, isNew] = holders.try_emplace(aId, 0);
        if (isNew) {
          holder->second = aBudget.Add(
            [this, &aFixture, aOrigin, aId] {
              listener.pending.erase(aId);
              listener.answers[aId].aborted = true;
              aFixture.router->OnClientDisconnected(aOrigin, aId);
            },
            now);
        }
        aBudget.SetHeld(holder->second, listener.pending[aId], now);
      };
  }

  std::size_t PendingBytes() const
  {
    std::size_t sum = 0;
    for (const auto& [id, bytes] : listener.pending) {
      sum += bytes;
    }
    return sum;
  }

  FakeListener listener;
  std::map<relay::ExchangeId, relay::UnsentBudget::HolderId> holders;
};

/// A caller on a loopback socket with small buffers of the kernel.
struct Caller
{
  Caller(boost::asio::io_context& aContext, uint16_t aPort, std::size_t aNumber)
    : socket(aContext, tcp::v4())
  {
    socket.set_option(boost::asio::socket_base::receive_buffer_size(4096));
    socket.connect({ boost::asio::ip::make_address("127.0.0.1"), aPort });
    boost::asio::write(
      socket,
      boost::asio::buffer("POST /x HTTP/1.1\r\nhost: h\r\nid: r" +
                          std::to_string(aNumber) +
                          "\r\nContent-Length: 0\r\n\r\n"));
    socket.non_blocking(true);
  }

  void Read()
  {
    std::string bytes(65536, '\0');
    boost::system::error_code error;
    while (!error) {
      received.append(
        bytes, 0, socket.read_some(boost::asio::buffer(bytes), error));
    }
  }

  tcp::socket socket;
  std::string received;
};

double
ResidentMegabytes()
{
  std::ifstream file("/proc/self/statm");
  std::size_t total = 0;
  std::size_t resident = 0;
  file >> total >> resident;
  return static_cast<double>(resident) *
         static_cast<double>(sysconf(_SC_PAGESIZE)) / static_cast<double>(kMb);
}

} // namespace

// Guards against 500 callers that stop reading holding 256 KB each, 125 MB
// together, on instances that have 88 MB. Load: 500 streams of 42 events of
// 8 KB, half of them forwarded by other instances; one more caller reads.
TEST_CASE("callers that stop reading hold no more than the budget")
{
  ManualTimers timers;
  Fixture fixture(timers);
  std::size_t ended = 0;
  relay::UnsentBudget budget(
    kBudget, [&ended](const relay::EndedExchange&) { ++ended; });
  FakeFront callers(fixture, RequestOrigin::Caller, budget);
  FakeFront instances(fixture, RequestOrigin::Instance, budget);
  constexpr std::size_t kForwarded = 60; // the router takes at most 64
  for (std::size_t number = 0; number <= kCallers; ++number) {
    const bool forwarded = number > 0 && number <= kForwarded;
    FakeFront& front = forwarded ? instances : callers;
    if (number > 0) { // the first one reads
      front.listener.stalled.insert(number);
    }
    fixture.router->OnRequest(forwarded ? RequestOrigin::Instance
                                        : RequestOrigin::Caller,
                              number,
                              Fixture::MakeRequest(number));
    timers.Advance(core::Duration{ 1'000 });
  }
  REQUIRE(fixture.client.sent.size() == kCallers + 1);
  std::size_t most = 0;
  for (std::size_t call = 0; call <= kCallers; ++call) {
    fixture.AnswerHead(call);
  }
  for (std::size_t event = 0; event < kEvents; ++event) {
    for (std::size_t call = 0; call <= kCallers; ++call) {
      fixture.AnswerEvent(call, event, 8 * 1024);
      CHECK_FALSE(fixture.IsPaused(call)); // upstreams cut paused responses
      most = std::max(most, callers.PendingBytes() + instances.PendingBytes());
    }
    timers.Advance(core::Duration{ 30'000 });
  }
  fixture.client.End(0, relay::CallOutcome::Complete);
  MESSAGE("most bytes held ", most, ", exchanges ended ", ended);
  CHECK(most <= kBudget);
  CHECK(most >= kBudget * 9 / 10);
  CHECK(callers.listener.answers[0].finished);
  CHECK_FALSE(callers.listener.answers[0].aborted);
  CHECK(fixture.router->OpenRequestCount() == kCallers - ended);
  CHECK(fixture.fleet.upstreams.Rows().begin()->second.inFlight ==
        kCallers - ended);
  // A sixteenth of the budget per response holds for the others as well.
  CHECK(ended <= kCallers * 9 / 10);
}

// Guards against memory that is held beside the counted bytes. Load: 500
// connections that stop reading, 42 events of 16 KB each, and one that reads.
TEST_CASE("500 sockets that stop reading leave the process below 88 MB")
{
  boost::asio::io_context context;
  const auto timers = relay::MakeTimers(context, relay::BootClock());
  Fixture fixture(*timers);
  relay::UnsentBudget budget(kBudget, {});
  relay::ListenerOptions options;
  options.endpoint = { "127.0.0.1", 0 };
  options.smallSendBuffers = true;
  const auto listener = relay::MakeListener(
    context,
    *timers,
    options,
    { [&](relay::ExchangeId aId, net::HttpRequest aRequest) {
       fixture.router->OnRequest(
         RequestOrigin::Caller, aId, std::move(aRequest));
     },
      [&](relay::ExchangeId aId) {
        fixture.router->OnClientDisconnected(RequestOrigin::Caller, aId);
      },
      [&](relay::ExchangeId aId) {
        fixture.router->OnWritten(RequestOrigin::Caller, aId);
      } },
    &budget);
  fixture.router->SetListener(RequestOrigin::Caller, *listener);
  const auto run = [&context] {
    context.poll();
    context.restart();
  };
  malloc_trim(0); // other tests have freed memory that would be reused
  const double before = ResidentMegabytes();
  std::list<Caller> callers;
  for (std::size_t number = 0; number <= kCallers; ++number) {
    callers.emplace_back(context, listener->Port(), number);
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(2);
    while (fixture.client.sent.size() <= number &&
           std::chrono::steady_clock::now() < end) {
      run();
    }
  }
  REQUIRE(fixture.client.sent.size() == kCallers + 1);
  for (std::size_t call = 0; call <= kCallers; ++call) {
    fixture.AnswerHead(call);
  }
  std::size_t most = 0;
  for (std::size_t event = 0; event < kEvents; ++event) {
    for (std::size_t call = 0; call <= kCallers; ++call) {
      fixture.AnswerEvent(call, event, 16 * 1024);
      most = std::max(most, budget.HeldBytes());
    }
    callers.front().Read();
    run();
  }
  const double resident = ResidentMegabytes();
  fixture.client.End(0, relay::CallOutcome::Complete);
  const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(5);
  const auto isComplete = [&callers] {
    return callers.front().received.ends_with("0\r\n\r\n");
  };
  while (!isComplete() && std::chrono::steady_clock::now() < end) {
    callers.front().Read();
    run();
  }
  MESSAGE("most bytes held ",
          most,
          ", exchanges ended ",
          budget.EndedCount(),
          ", resident MB before ",
          before,
          ", at the end ",
          resident);
  CHECK(isComplete());
  CHECK(most <= kBudget);
  CHECK(budget.EndedCount() > 0);
#ifndef __SANITIZE_ADDRESS__ // it keeps freed memory
  // The rest is for the process without requests.
  CHECK(resident - before < 88 - 25);
#endif
}
