#include "hibiscusnotch/relay/listener.hpp"
#include "hibiscusnotch/relay/outbound_client.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>
#include <optional>

using namespace hibiscusnotch::relay;
using boost::asio::ip::tcp;
namespace net = hibiscusnotch::net;
namespace core = hibiscusnotch::core;

namespace {

constexpr auto kRunLimit = std::chrono::seconds(5);

/// A listener, a caller and a plain socket on one event loop.
struct Fixture
{
  boost::asio::io_context context;
  std::unique_ptr<Timers> timers = MakeTimers(context, BootClock());
  std::unique_ptr<OutboundClient> caller = MakeOutboundClient(context, *timers);
  std::vector<std::pair<ExchangeId, net::HttpRequest>> requests;
  std::vector<ExchangeId> gone;
  std::unique_ptr<Listener> listener;
  tcp::socket socket{ context };

  explicit Fixture(ListenerOptions aOptions = {})
  {
    aOptions.endpoint = { "127.0.0.1", 0 };
    listener =
      MakeListener(context,
                   *timers,
                   aOptions,
                   { [this](ExchangeId aId, net::HttpRequest aRequest) {
                      requests.emplace_back(aId, std::move(aRequest));
                    },
                     [this](ExchangeId aId) { gone.push_back(aId); },
                     [](ExchangeId) {} });
  }

  template<class Condition>
  bool RunUntil(Condition aCondition)
  {
    const auto end = std::chrono::steady_clock::now() + kRunLimit;
    while (!aCondition() && std::chrono::steady_clock::now() < end) {
      context.run_for(std::chrono::milliseconds(2));
      context.restart();
    }
    return aCondition();
  }

  void Connect()
  {
    socket.connect(
      { boost::asio::ip::make_address("127.0.0.1"), listener->Port() });
    socket.non_blocking(true);
  }

  void Send(std::string_view aBytes)
  {
    boost::asio::write(socket, boost::asio::buffer(aBytes));
  }

  /// What the socket has received; `ended` is set at the peer's end.
  std::string Receive()
  {
    std::string bytes(65536, '\0');
    boost::system::error_code error;
    bytes.resize(socket.read_some(boost::asio::buffer(bytes), error));
    ended = ended || (error && error != boost::asio::error::would_block);
    received += bytes;
    return received;
  }

  void Answer(ExchangeId aId, std::string_view aBody)
  {
    listener->Start(aId,
                    200,
                    "OK",
                    { { "Content-Length", std::to_string(aBody.size()) } },
                    Framing::Length);
    listener->Write(aId, aBody);
    listener->Finish(aId);
  }

  std::string received;
  bool ended = false;
};

const std::string kGet = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";

} // namespace

TEST_CASE("requests on one connection are answered one after the other")
{
  Fixture fixture;
  fixture.Connect();
  fixture.Send(kGet + kGet);
  REQUIRE(fixture.RunUntil([&] { return fixture.requests.size() == 1; }));
  fixture.Answer(fixture.requests[0].first, "one");
  REQUIRE(fixture.RunUntil([&] { return fixture.requests.size() == 2; }));
  fixture.Answer(fixture.requests[1].first, "two");
  CHECK(fixture.RunUntil(
    [&] { return fixture.Receive().find("two") != std::string::npos; }));
  CHECK(fixture.received.find("one") < fixture.received.find("two"));
  CHECK_FALSE(fixture.ended);
}

TEST_CASE("a malformed request is answered and the connection ends")
{
  Fixture fixture;
  fixture.Connect();
  fixture.Send("GET / HTTP/1.1\nHost: h\n\n");
  CHECK(fixture.RunUntil([&] {
    fixture.Receive();
    return fixture.ended;
  }));
  CHECK(fixture.received.starts_with("HTTP/1.1 400 "));
  CHECK(fixture.requests.empty());
}

TEST_CASE("a caller that leaves is reported while its request is open")
{
  Fixture fixture;
  fixture.Connect();
  fixture.Send(kGet);
  REQUIRE(fixture.RunUntil([&] { return fixture.requests.size() == 1; }));
  fixture.socket.close();
  CHECK(fixture.RunUntil([&] { return fixture.gone.size() == 1; }));
  CHECK(fixture.gone[0] == fixture.requests[0].first);
}

TEST_CASE("an aborted chunked answer never looks complete")
{
  Fixture fixture;
  fixture.Connect();
  fixture.Send(kGet);
  REQUIRE(fixture.RunUntil([&] { return fixture.requests.size() == 1; }));
  const ExchangeId id = fixture.requests[0].first;
  fixture.listener->Start(id, 200, "OK", {}, Framing::Chunked);
  fixture.listener->Write(id, "part");
  fixture.listener->Abort(id);
  CHECK(fixture.RunUntil([&] {
    fixture.Receive();
    return fixture.ended;
  }));
  CHECK(fixture.received.find("4\r\npart\r\n") != std::string::npos);
  CHECK(fixture.received.find("0\r\n\r\n") == std::string::npos);
}

TEST_CASE("while draining, an answer closes its connection")
{
  Fixture fixture;
  fixture.Connect();
  fixture.Send(kGet);
  REQUIRE(fixture.RunUntil([&] { return fixture.requests.size() == 1; }));
  fixture.listener->Drain();
  fixture.Answer(fixture.requests[0].first, "last");
  CHECK(fixture.RunUntil([&] {
    fixture.Receive();
    return fixture.ended;
  }));
  CHECK(fixture.received.find("Connection: close") != std::string::npos);
  CHECK(fixture.received.ends_with("last"));
}

TEST_CASE("an idle connection ends after the idle time, a slow header is 408")
{
  ListenerOptions options;
  options.idleTimeout = core::Duration{ 50'000 };
  options.headerTimeout = core::Duration{ 50'000 };
  Fixture idle(options);
  idle.Connect();
  CHECK(idle.RunUntil([&] {
    idle.Receive();
    return idle.ended;
  }));
  CHECK(idle.received.empty());
  Fixture slow(options);
  slow.Connect();
  slow.Send("GET / HT");
  CHECK(slow.RunUntil([&] {
    slow.Receive();
    return slow.ended;
  }));
  CHECK(slow.received.starts_with("HTTP/1.1 408 "));
}

TEST_CASE("a caller's call reports head, body and end")
{
  Fixture fixture;
  std::optional<int> status;
  std::string body;
  std::optional<CallOutcome> end;
  OutboundCall call;
  call.to = { "127.0.0.1", fixture.listener->Port() };
  call.message = kGet;
  fixture.caller->Start(
    call,
    { [&](const ResponseHead& aHead) { status = aHead.status; },
      [&](std::string_view aBytes) { body.append(aBytes); },
      [&](CallOutcome aEnd, std::string_view) { end = aEnd; } });
  REQUIRE(fixture.RunUntil([&] { return fixture.requests.size() == 1; }));
  fixture.Answer(fixture.requests[0].first, "hello");
  REQUIRE(fixture.RunUntil([&] { return end.has_value(); }));
  CHECK(status == 200);
  CHECK(body == "hello");
  CHECK(end == CallOutcome::Complete);
  CHECK(fixture.caller->Open() == 0);
}

TEST_CASE("a refused connection means that nothing was sent")
{
  Fixture fixture;
  tcp::acceptor closed(fixture.context, { tcp::v4(), 0 });
  const uint16_t port = closed.local_endpoint().port();
  closed.close();
  std::optional<CallOutcome> end;
  OutboundCall call;
  call.to = { "127.0.0.1", port };
  call.message = kGet;
  fixture.caller->Start(
    call,
    { [](const ResponseHead&) {},
      [](std::string_view) {},
      [&](CallOutcome aEnd, std::string_view) { end = aEnd; } });
  REQUIRE(fixture.RunUntil([&] { return end.has_value(); }));
  CHECK(end == CallOutcome::NotSent);
}

TEST_CASE("a response that is cut short after the request left is broken")
{
  Fixture fixture;
  std::optional<CallOutcome> end;
  OutboundCall call;
  call.to = { "127.0.0.1", fixture.listener->Port() };
  call.message = kGet;
  fixture.caller->Start(
    call,
    { [](const ResponseHead&) {},
      [](std::string_view) {},
      [&](CallOutcome aEnd, std::string_view) { end = aEnd; } });
  REQUIRE(fixture.RunUntil([&] { return fixture.requests.size() == 1; }));
  const ExchangeId id = fixture.requests[0].first;
  fixture.listener->Start(
    id, 200, "OK", { { "Content-Length", "100" } }, Framing::Length);
  fixture.listener->Write(id, "part");
  fixture.listener->Abort(id);
  REQUIRE(fixture.RunUntil([&] { return end.has_value(); }));
  CHECK(end == CallOutcome::ConnectionLost);
}

TEST_CASE("a cancelled call reports nothing and closes its connection")
{
  Fixture fixture;
  bool reported = false;
  OutboundCall call;
  call.to = { "127.0.0.1", fixture.listener->Port() };
  call.message = kGet;
  const CallId id = fixture.caller->Start(
    call,
    { [&](const ResponseHead&) { reported = true; },
      [&](std::string_view) { reported = true; },
      [&](CallOutcome, std::string_view) { reported = true; } });
  REQUIRE(fixture.RunUntil([&] { return fixture.requests.size() == 1; }));
  fixture.caller->Cancel(id);
  CHECK(fixture.RunUntil([&] { return fixture.gone.size() == 1; }));
  CHECK_FALSE(reported);
}

TEST_CASE("a silent call goes on while its peer takes connections")
{
  Fixture fixture;
  std::optional<CallOutcome> end;
  OutboundCall call;
  call.to = { "127.0.0.1", fixture.listener->Port() };
  call.message = kGet;
  call.probeAfterSilence = core::Duration{ 30'000 };
  fixture.caller->Start(
    call,
    { [](const ResponseHead&) {},
      [](std::string_view) {},
      [&](CallOutcome aEnd, std::string_view) { end = aEnd; } });
  REQUIRE(fixture.RunUntil([&] { return fixture.requests.size() == 1; }));
  fixture.context.run_for(std::chrono::milliseconds(300));
  fixture.context.restart();
  CHECK_FALSE(end);
  fixture.Answer(fixture.requests[0].first, "late");
  REQUIRE(fixture.RunUntil([&] { return end.has_value(); }));
  CHECK(end == CallOutcome::Complete);
}

TEST_CASE("silent calls to a peer that is heard on another call open nothing")
{
  // Pattern: an overloaded engine keeps many requests waiting.
  Fixture fixture;
  for (int call = 0; call < 20; ++call) {
    OutboundCall waiting;
    waiting.to = { "127.0.0.1", fixture.listener->Port() };
    waiting.message = kGet;
    waiting.probeAfterSilence = core::Duration{ 60'000 };
    fixture.caller->Start(waiting,
                          { [](const ResponseHead&) {},
                            [](std::string_view) {},
                            [](CallOutcome, std::string_view) {} });
  }
  REQUIRE(fixture.RunUntil([&] { return fixture.requests.size() == 20; }));
  const ExchangeId speaking = fixture.requests[0].first;
  fixture.listener->Start(speaking, 200, "OK", {}, Framing::Chunked);
  std::size_t most = 0;
  for (int step = 0; step < 30; ++step) {
    fixture.listener->Write(speaking, "x");
    fixture.context.run_for(std::chrono::milliseconds(10));
    fixture.context.restart();
    most = std::max(most, fixture.listener->OpenConnections());
  }
  CHECK(most == 20);
}

TEST_CASE("a silent call whose peer takes no connection any more is broken")
{
  // Pattern: a zone is cut off while streams run in it.
  Fixture fixture;
  std::optional<CallOutcome> end;
  OutboundCall call;
  call.to = { "127.0.0.1", fixture.listener->Port() };
  call.message = kGet;
  call.probeAfterSilence = core::Duration{ 30'000 };
  fixture.caller->Start(
    call,
    { [](const ResponseHead&) {},
      [](std::string_view) {},
      [&](CallOutcome aEnd, std::string_view) { end = aEnd; } });
  REQUIRE(fixture.RunUntil([&] { return fixture.requests.size() == 1; }));
  fixture.listener->StopAccepting();
  REQUIRE(fixture.RunUntil([&] { return end.has_value(); }));
  CHECK(end == CallOutcome::ConnectionLost);
}
