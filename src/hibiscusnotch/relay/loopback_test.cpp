#include "hibiscusnotch/relay/fetcher.hpp"
#include "hibiscusnotch/relay/listener.hpp"
#include "hibiscusnotch/relay/outbound_client.hpp"

#include "hibiscusnotch/testing/manual_timers.hpp"

#include <algorithm>
#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <csignal>
#include <doctest/doctest.h>
#include <optional>
#include <sstream>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

using namespace hibiscusnotch::relay;
using boost::asio::ip::tcp;
namespace net = hibiscusnotch::net;
namespace core = hibiscusnotch::core;

namespace {

constexpr auto kMaxRunTime = std::chrono::seconds(5);

/// A listener, an outbound client and a plain socket on one event loop.
struct Fixture
{
  boost::asio::io_context context;
  std::unique_ptr<Timers> timers = MakeTimers(context, BootClock());
  std::unique_ptr<OutboundClient> client = MakeOutboundClient(context, *timers);
  std::vector<std::pair<ExchangeId, net::HttpRequest>> requests;
  std::vector<ExchangeId> disconnected;
  std::unique_ptr<Listener> listener;
  tcp::socket socket{ context };

  explicit Fixture(ListenerOptions aOptions = {}, BodyBudget* aBodies = nullptr)
  {
    aOptions.endpoint = { "127.0.0.1", 0 };
    listener =
      MakeListener(context,
                   *timers,
                   aOptions,
                   { [this](ExchangeId aId, net::HttpRequest aRequest) {
                      requests.emplace_back(aId, std::move(aRequest));
                    },
                     [this](ExchangeId aId) { disconnected.push_back(aId); },
                     [](ExchangeId) {} },
                   nullptr,
                   nullptr,
                   aBodies);
  }

  template<class Condition>
  bool RunUntil(Condition aCondition,
                std::chrono::milliseconds aTime = kMaxRunTime)
  {
    const auto end = std::chrono::steady_clock::now() + aTime;
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

  /// Returns all received bytes; sets `ended` once the peer has closed.
  std::string Receive()
  {
    std::string bytes(65536, '\0');
    boost::system::error_code error;
    bytes.resize(socket.read_some(boost::asio::buffer(bytes), error));
    ended = ended || (error && error != boost::asio::error::would_block);
    received += bytes;
    return received;
  }

  void Respond(ExchangeId aId, std::string_view aBody)
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

TEST_CASE("pipelined requests on one connection are answered in order")
{
  Fixture fixture;
  fixture.Connect();
  fixture.Send(kGet + kGet);
  REQUIRE(fixture.RunUntil([&] { return fixture.requests.size() == 1; }));
  fixture.Respond(fixture.requests[0].first, "one");
  REQUIRE(fixture.RunUntil([&] { return fixture.requests.size() == 2; }));
  fixture.Respond(fixture.requests[1].first, "two");
  CHECK(fixture.RunUntil(
    [&] { return fixture.Receive().find("two") != std::string::npos; }));
  CHECK(fixture.received.find("one") < fixture.received.find("two"));
  CHECK_FALSE(fixture.ended);
}

TEST_CASE("a malformed request is rejected and the connection closed")
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

TEST_CASE("a client that disconnects during its request is reported")
{
  Fixture fixture;
  fixture.Connect();
  fixture.Send(kGet);
  REQUIRE(fixture.RunUntil([&] { return fixture.requests.size() == 1; }));
  fixture.socket.close();
  CHECK(fixture.RunUntil([&] { return fixture.disconnected.size() == 1; }));
  CHECK(fixture.disconnected[0] == fixture.requests[0].first);
}

TEST_CASE("an aborted chunked response never looks complete")
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

TEST_CASE("while draining, a response closes its connection")
{
  Fixture fixture;
  fixture.Connect();
  fixture.Send(kGet);
  REQUIRE(fixture.RunUntil([&] { return fixture.requests.size() == 1; }));
  fixture.listener->Drain();
  fixture.Respond(fixture.requests[0].first, "last");
  CHECK(fixture.RunUntil([&] {
    fixture.Receive();
    return fixture.ended;
  }));
  CHECK(fixture.received.find("Connection: close") != std::string::npos);
  CHECK(fixture.received.ends_with("last"));
}

TEST_CASE("an idle connection times out, and a slow header is answered by 408")
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

TEST_CASE("a kept connection takes the limits that are in force at a request")
{
  // Guards against connections that keep the limits of a former configuration.
  ListenerOptions options;
  options.limits.maxBodyBytes = 10;
  Fixture fixture(options);
  fixture.Connect();
  fixture.Send(kGet);
  REQUIRE(fixture.RunUntil([&] { return fixture.requests.size() == 1; }));
  fixture.Respond(fixture.requests[0].first, "one");
  options.limits.maxBodyBytes = 100;
  fixture.listener->SetOptions(options);
  const std::string body(50, 'x');
  const std::string post =
    "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 50\r\n\r\n";
  fixture.Send(post + body);
  REQUIRE(fixture.RunUntil([&] { return fixture.requests.size() == 2; }));
  CHECK(fixture.requests[1].second.body == body);
  // One whose head has arrived keeps the limits of then.
  fixture.Respond(fixture.requests[1].first, "two");
  fixture.Send(post);
  REQUIRE(fixture.RunUntil(
    [&] { return fixture.Receive().find("two") != std::string::npos; }));
  fixture.RunUntil([&] { return false; }, std::chrono::milliseconds(50));
  options.limits.maxBodyBytes = 10;
  fixture.listener->SetOptions(options);
  fixture.Send(body);
  REQUIRE(fixture.RunUntil([&] { return fixture.requests.size() == 3; }));
  fixture.Respond(fixture.requests[2].first, "three");
  fixture.Send(post + body);
  REQUIRE(fixture.RunUntil(
    [&] { return fixture.Receive().find("413") != std::string::npos; }));
}

TEST_CASE("an idle connection takes the idle time of a later configuration")
{
  ListenerOptions options;
  options.idleTimeout = Duration{ 60'000'000 };
  Fixture fixture(options);
  fixture.Connect();
  REQUIRE(
    fixture.RunUntil([&] { return fixture.listener->OpenConnections() == 1; }));
  options.idleTimeout = Duration{ 50'000 };
  fixture.listener->SetOptions(options);
  CHECK(
    fixture.RunUntil([&] { return fixture.listener->OpenConnections() == 0; }));
}

TEST_CASE("a request whose body trickles without end is answered by 408")
{
  // Guards against clients that hold a connection by single bytes.
  ListenerOptions options;
  options.bodyTimeout = core::Duration{ 150'000 };
  Fixture fixture(options);
  fixture.Connect();
  fixture.Send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 100000\r\n\r\n");
  const auto start = std::chrono::steady_clock::now();
  const auto elapsed = [&start] {
    return std::chrono::steady_clock::now() - start;
  };
  std::string received;
  while (received.empty() && elapsed() < std::chrono::seconds(2)) {
    fixture.Send("x");
    fixture.context.run_for(std::chrono::milliseconds(20));
    fixture.context.restart();
    received = fixture.Receive();
  }
  CHECK(received.starts_with("HTTP/1.1 408"));
  CHECK(fixture.requests.empty());
}

TEST_CASE("a call reports head, body and outcome")
{
  Fixture fixture;
  std::optional<int> status;
  std::string body;
  std::optional<CallOutcome> end;
  OutboundCall call;
  call.to = { "127.0.0.1", fixture.listener->Port() };
  call.message = kGet;
  fixture.client->Start(
    call,
    { [&](const ResponseHead& aHead) { status = aHead.status; },
      [&](std::string_view aBytes) { body.append(aBytes); },
      [&](CallOutcome aEnd, std::string_view) { end = aEnd; } });
  REQUIRE(fixture.RunUntil([&] { return fixture.requests.size() == 1; }));
  fixture.Respond(fixture.requests[0].first, "hello");
  REQUIRE(fixture.RunUntil([&] { return end.has_value(); }));
  CHECK(status == 200);
  CHECK(body == "hello");
  CHECK(end == CallOutcome::Complete);
  CHECK(fixture.client->Open() == 0);
}

TEST_CASE("a body of any length follows its message")
{
  for (const std::size_t length : { 0, 5, 16'384, 16'385, 900'000 }) {
    Fixture fixture;
    std::optional<CallOutcome> end;
    OutboundCall call;
    call.to = { "127.0.0.1", fixture.listener->Port() };
    call.message = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: " +
                   std::to_string(length) + "\r\n\r\n";
    call.body = std::make_shared<const std::string>(length, 'x');
    fixture.client->Start(
      call,
      { [](const ResponseHead&) {},
        [](std::string_view) {},
        [&](CallOutcome aEnd, std::string_view) { end = aEnd; } });
    REQUIRE(fixture.RunUntil([&] { return fixture.requests.size() == 1; }));
    CHECK(fixture.requests[0].second.body == *call.body);
    fixture.Respond(fixture.requests[0].first, "hello");
    REQUIRE(fixture.RunUntil([&] { return end.has_value(); }));
    CHECK(end == CallOutcome::Complete);
  }
}

namespace {

/// Requests with long bodies, each on a connection of its own.
struct LongRequests
{
  Fixture& fixture;
  std::vector<std::optional<int>> statuses;

  void Send(std::size_t aLength, const std::string& aHead)
  {
    const std::size_t index = statuses.size();
    statuses.emplace_back();
    OutboundCall call;
    call.to = { "127.0.0.1", fixture.listener->Port() };
    call.message = "POST / HTTP/1.1\r\nHost: h\r\n" + aHead + "\r\n";
    call.body = std::make_shared<const std::string>(aLength, 'x');
    fixture.client->Start(call,
                          { [this, index](const ResponseHead& aHead) {
                             statuses[index] = aHead.status;
                           },
                            [](std::string_view) {},
                            [](CallOutcome, std::string_view) {} });
  }

  std::size_t Answered() const
  {
    return static_cast<std::size_t>(std::ranges::count_if(
      statuses, [](const auto& aStatus) { return aStatus.has_value(); }));
  }
};

std::string
LengthField(std::size_t aLength)
{
  return "Content-Length: " + std::to_string(aLength) + "\r\n";
}

} // namespace

TEST_CASE("long bodies of many requests wait for their turn, unread")
{
  // Guards against a process that many long bodies at once, each of them
  // allowed, end over its memory.
  constexpr std::size_t kLength = 600'000;
  constexpr std::size_t kRequests = 12;
  int exhausted = 0;
  BodyBudget budget(2 * kLength, [&] { ++exhausted; });
  Fixture fixture({}, &budget);
  LongRequests sent{ fixture, {} };
  for (std::size_t request = 0; request < kRequests; ++request) {
    sent.Send(kLength, LengthField(kLength));
  }
  for (std::size_t request = 0; request < kRequests; ++request) {
    REQUIRE(
      fixture.RunUntil([&] { return fixture.requests.size() > request; }));
    int rounds = 0; // in which a third one would arrive
    fixture.RunUntil(
      [&] { return ++rounds > 20 || fixture.requests.size() > request + 2; });
    CHECK(fixture.requests.size() <= request + 2); // two fit at once
    CHECK(budget.HeldBytes() <= 2 * kLength);
    CHECK(fixture.requests[request].second.body.size() == kLength);
    fixture.Respond(fixture.requests[request].first, "done");
    fixture.requests[request].second = {};
  }
  REQUIRE(fixture.RunUntil([&] { return sent.Answered() == kRequests; }));
  for (const auto& status : sent.statuses) {
    CHECK(status == 200);
  }
  CHECK(exhausted >= 1);
  CHECK(budget.HeldBytes() == 0);
}

TEST_CASE("a long body without room is refused in time, a short one is served")
{
  constexpr std::size_t kLength = 600'000;
  BodyBudget budget(kLength, [] {});
  Fixture fixture({}, &budget);
  LongRequests sent{ fixture, {} };
  sent.Send(kLength, LengthField(kLength));
  REQUIRE(fixture.RunUntil([&] { return fixture.requests.size() == 1; }));
  sent.Send(kLength, LengthField(kLength));
  sent.Send(5, LengthField(5));
  REQUIRE(fixture.RunUntil([&] { return fixture.requests.size() == 2; }));
  CHECK(fixture.requests[1].second.body.size() == 5);
  fixture.Respond(fixture.requests[1].first, "short");
  REQUIRE(fixture.RunUntil([&] { return sent.Answered() == 2; }));
  CHECK(sent.statuses[1] == 503);
  CHECK(sent.statuses[2] == 200);
  fixture.Respond(fixture.requests[0].first, "long");
  REQUIRE(fixture.RunUntil([&] { return sent.Answered() == 3; }));
  CHECK(budget.HeldBytes() == 0);
  CHECK(budget.WaitingCount() == 0);
}

TEST_CASE("a body without a stated length takes room once it is long")
{
  constexpr std::size_t kLength = 300'000;
  BodyBudget budget(1'500'000, [] {});
  Fixture fixture({}, &budget);
  LongRequests sent{ fixture, {} };
  const auto send = [&](std::size_t aLength) {
    std::ostringstream size;
    size << std::hex << aLength;
    sent.Send(aLength, "Transfer-Encoding: chunked\r\n\r\n" + size.str());
  };
  send(kLength);
  REQUIRE(fixture.RunUntil([&] { return budget.HeldBytes() > 0; }));
  CHECK(budget.HeldBytes() == RequestLimits().maxBodyBytes);
}

TEST_CASE("a response that is written once more reaches no other call")
{
  // Guards against a refusal of an earlier request that is taken for the answer
  // to the next one on a kept connection.
  Fixture fixture;
  tcp::acceptor acceptor(fixture.context,
                         { boost::asio::ip::make_address("127.0.0.1"), 0 });
  acceptor.non_blocking(true);
  const std::string refusal = "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n";
  std::vector<int> statuses;
  int ended = 0;
  OutboundCall call;
  call.to = { "127.0.0.1", acceptor.local_endpoint().port() };
  call.message = kGet;
  const auto answer = [&](tcp::socket& aPeer, const std::string& aResponse) {
    fixture.client->Start(
      call,
      { [&](const ResponseHead& aHead) { statuses.push_back(aHead.status); },
        [](std::string_view) {},
        [&](CallOutcome, std::string_view) { ++ended; } });
    REQUIRE(fixture.RunUntil([&] {
      boost::system::error_code error;
      if (!aPeer.is_open()) {
        acceptor.accept(aPeer, error);
      }
      return aPeer.is_open();
    }));
    boost::asio::write(aPeer, boost::asio::buffer(aResponse));
    const int before = ended;
    REQUIRE(fixture.RunUntil([&] { return ended > before; }));
  };
  tcp::socket first(fixture.context);
  answer(first, refusal + refusal);
  tcp::socket second(fixture.context);
  answer(second, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
  CHECK(statuses == std::vector<int>{ 503, 200 });
}

namespace {

/// One response head, and whether its request was HEAD.
struct HeadForm
{
  std::string head;
  bool bodyless = false;
};

/// Accepts the next connection of the client under test and reads its request's
/// first bytes.
tcp::socket
Accept(Fixture& aFixture, tcp::acceptor& aAcceptor)
{
  tcp::socket peer(aFixture.context);
  REQUIRE(aFixture.RunUntil([&] {
    boost::system::error_code error;
    aAcceptor.accept(peer, error);
    return peer.is_open();
  }));
  peer.non_blocking(true);
  std::size_t count = 0;
  REQUIRE(aFixture.RunUntil([&] {
    std::array<char, 1024> request{};
    boost::system::error_code error;
    count += peer.read_some(boost::asio::buffer(request), error);
    return count > 0;
  }));
  peer.non_blocking(false);
  return peer;
}

} // namespace

TEST_CASE("a head cut at any byte, ended or reset, is a lost connection")
{
  // Guards against an upstream that stops in the middle of its head and whose
  // response is passed on as a whole one with an empty or short body.
  Fixture fixture;
  tcp::acceptor acceptor(fixture.context,
                         { boost::asio::ip::make_address("127.0.0.1"), 0 });
  acceptor.non_blocking(true);
  const std::vector<HeadForm> forms{
    { "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n" },
    { "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" },
    { "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" },
    { "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n", true },
    { "HTTP/1.1 204 No Content\r\n\r\n" },
    { "HTTP/1.1 304 Not Modified\r\n\r\n" },
    { "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 No Content\r\n\r\n" },
  };
  for (const HeadForm& form : forms) {
    for (std::size_t cut = 0; cut < form.head.size(); ++cut) {
      for (const bool reset : { false, true }) {
        CAPTURE(form.head);
        CAPTURE(cut);
        CAPTURE(reset);
        bool hasHead = false;
        std::optional<CallOutcome> end;
        OutboundCall call;
        call.to = { "127.0.0.1", acceptor.local_endpoint().port() };
        call.message = kGet;
        call.bodyless = form.bodyless;
        fixture.client->Start(
          call,
          { [&](const ResponseHead&) { hasHead = true; },
            [](std::string_view) {},
            [&](CallOutcome aEnd, std::string_view) { end = aEnd; } });
        tcp::socket peer = Accept(fixture, acceptor);
        boost::asio::write(peer, boost::asio::buffer(form.head.substr(0, cut)));
        if (reset) {
          peer.set_option(boost::asio::socket_base::linger(true, 0));
        }
        peer.close();
        REQUIRE(fixture.RunUntil([&] { return end.has_value(); }));
        CHECK(end == CallOutcome::ConnectionLost);
        CHECK_FALSE(hasHead);
      }
    }
  }
}

// Guards against a status that is none, of the store, a mirror or a health
// check, which those who ask would have to tell from a sound one.
TEST_CASE("a fetch whose response has a status outside 100 to 599 fails")
{
  Fixture fixture;
  tcp::acceptor acceptor(fixture.context,
                         { boost::asio::ip::make_address("127.0.0.1"), 0 });
  acceptor.non_blocking(true);
  Fetcher fetcher(*fixture.client, *fixture.timers);
  for (const std::string status : { "000", "099", "600", "200" }) {
    CAPTURE(status);
    std::optional<FetchedResponse> response;
    OutboundCall call;
    call.to = { "127.0.0.1", acceptor.local_endpoint().port() };
    call.message = kGet;
    fetcher.Start(
      std::move(call),
      Duration{ 2'000'000 },
      [&](const FetchedResponse& aResponse) { response = aResponse; });
    tcp::socket peer = Accept(fixture, acceptor);
    const std::string bytes =
      "HTTP/1.1 " + status + " OK\r\nContent-Length: 1\r\n\r\nx";
    boost::asio::write(peer, boost::asio::buffer(bytes));
    REQUIRE(fixture.RunUntil([&] { return response.has_value(); }));
    CHECK(response->status == (status == "200" ? 200 : 0));
  }
}

namespace {

/// An upstream in a process of its own, which sends a response without a length
/// and closes no connection until it is told to or ends.
class UpstreamProcess
{
public:
  explicit UpstreamProcess(const std::string& aResponse)
  {
    boost::asio::io_context context;
    tcp::acceptor acceptor(context,
                           { boost::asio::ip::make_address("127.0.0.1"), 0 });
    port = acceptor.local_endpoint().port();
    std::array<int, 2> commands{};
    REQUIRE(pipe(commands.data()) == 0);
    command_ = commands[1];
    pid_ = fork();
    if (pid_ == 0) {
      ::close(commands[1]);
      Serve(acceptor.native_handle(), commands[0], aResponse);
    }
    ::close(commands[0]);
  }

  ~UpstreamProcess()
  {
    Kill();
    ::close(command_);
  }

  UpstreamProcess(const UpstreamProcess&) = delete;
  UpstreamProcess& operator=(const UpstreamProcess&) = delete;

  /// Closes the connection and goes on accepting others.
  void EndResponse() const { REQUIRE(write(command_, "e", 1) == 1); }

  void Kill()
  {
    if (pid_ > 0) {
      kill(pid_, SIGKILL);
      waitpid(pid_, nullptr, 0);
      pid_ = 0;
    }
  }

  uint16_t port = 0;

private:
  [[noreturn]] static void Serve(int aAcceptor,
                                 int aCommands,
                                 const std::string& aResponse)
  {
    const int connection = accept(aAcceptor, nullptr, nullptr);
    std::array<char, 1024> request{};
    if (read(connection, request.data(), request.size()) > 0 &&
        write(connection, aResponse.data(), aResponse.size()) > 0 &&
        read(aCommands, request.data(), 1) == 1) {
      ::close(connection);
      pause();
    }
    _exit(1);
  }

  pid_t pid_ = 0;
  int command_ = 0;
};

/// What a call reported.
struct ReportedCall
{
  std::string body;
  std::optional<CallOutcome> end;
  std::string why;

  CallObserver Observer()
  {
    return { [](const ResponseHead&) {},
             [this](std::string_view aBytes) { body.append(aBytes); },
             [this](CallOutcome aEnd, std::string_view aWhy) {
               end = aEnd;
               why = aWhy;
             } };
  }
};

const std::string kUnframedHead = "HTTP/1.1 200 OK\r\n\r\n";

} // namespace

TEST_CASE("a response without a length ends with its process as a lost one")
{
  // Guards against the start of a stream that is taken for the whole: the
  // kernel closes the connections of a killed process as a sound one does.
  Fixture fixture;
  UpstreamProcess upstream(kUnframedHead + "id: 1\n\n");
  OutboundCall call;
  call.to = { "127.0.0.1", upstream.port };
  call.message = kGet;
  ReportedCall report;
  fixture.client->Start(call, report.Observer());
  REQUIRE(fixture.RunUntil([&] { return report.body == "id: 1\n\n"; }));
  SUBCASE("killed")
  {
    upstream.Kill();
    REQUIRE(fixture.RunUntil([&] { return report.end.has_value(); }));
    CHECK(report.end == CallOutcome::ConnectionLost);
    CHECK(report.why == "ended without a length, and connection refused");
  }
  SUBCASE("ended by the upstream, which goes on")
  {
    upstream.EndResponse();
    REQUIRE(fixture.RunUntil([&] { return report.end.has_value(); }));
    CHECK(report.end == CallOutcome::Complete);
  }
  CHECK(fixture.client->Open() == 0);
}

TEST_CASE("a call may be cancelled or paused while its end is confirmed")
{
  Fixture fixture;
  UpstreamProcess upstream(kUnframedHead + "part");
  OutboundCall call;
  call.to = { "127.0.0.1", upstream.port };
  call.message = kGet;
  ReportedCall report;
  const CallId id = fixture.client->Start(call, report.Observer());
  REQUIRE(fixture.RunUntil([&] { return report.body == "part"; }));
  upstream.EndResponse();
  fixture.context.run_for(std::chrono::milliseconds(10));
  fixture.context.restart();
  REQUIRE_FALSE(report.end.has_value());
  SUBCASE("paused and resumed")
  {
    fixture.client->SetPaused(id, true);
    fixture.client->SetPaused(id, false);
    REQUIRE(fixture.RunUntil([&] { return report.end.has_value(); }));
    CHECK(report.end == CallOutcome::Complete);
  }
  SUBCASE("cancelled")
  {
    fixture.client->Cancel(id);
    fixture.context.run_for(std::chrono::milliseconds(300));
    CHECK_FALSE(report.end.has_value());
  }
}

TEST_CASE("a reset that a write notices first is not the end of a response")
{
  // Guards against a reset that the kernel reports once, to the write, after
  // which a read returns the end of the stream.
  Fixture fixture;
  tcp::acceptor acceptor(fixture.context,
                         { boost::asio::ip::make_address("127.0.0.1"), 0 });
  acceptor.non_blocking(true);
  OutboundCall call;
  call.to = { "127.0.0.1", acceptor.local_endpoint().port() };
  constexpr std::size_t kMoreThanBuffers = 64UL * 1024 * 1024;
  call.message =
    "POST / HTTP/1.1\r\nHost: h\r\n\r\n" + std::string(kMoreThanBuffers, 'x');
  ReportedCall report;
  fixture.client->Start(call, report.Observer());
  tcp::socket peer = Accept(fixture, acceptor);
  boost::asio::write(peer, boost::asio::buffer(kUnframedHead + "part"));
  REQUIRE(fixture.RunUntil([&] { return report.body == "part"; }));
  peer.set_option(boost::asio::socket_base::linger(true, 0));
  peer.close();
  REQUIRE(fixture.RunUntil([&] { return report.end.has_value(); }));
  CHECK(report.end == CallOutcome::ConnectionLost);
}

namespace {

/// A call with a body, whose peer sends a part of a response without a length
/// and the end of the stream while it has read no more than the first bytes.
/// The client's clock moves in steps, however busy the machine is.
struct EarlyEnd
{
  EarlyEnd(Fixture& aFixture, std::size_t aBodyBytes)
    : fixture(aFixture)
    , acceptor(aFixture.context,
               { boost::asio::ip::make_address("127.0.0.1"), 0 })
  {
    acceptor.non_blocking(true);
    OutboundCall call;
    call.to = { "127.0.0.1", acceptor.local_endpoint().port() };
    call.message = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: " +
                   std::to_string(aBodyBytes) + "\r\n\r\n";
    call.body = std::make_shared<const std::string>(aBodyBytes, 'x');
    id = client->Start(std::move(call), report.Observer());
    peer = Accept(fixture, acceptor);
    boost::asio::write(peer, boost::asio::buffer(kUnframedHead + "part"));
    peer.shutdown(tcp::socket::shutdown_send);
    peer.non_blocking(true);
    REQUIRE(fixture.RunUntil([&] { return report.body == "part"; }));
  }

  void Step()
  {
    fixture.context.run_for(std::chrono::milliseconds(1));
    fixture.context.restart();
    timers.Advance(kStep);
  }

  void RunFor(Duration aTime)
  {
    for (const TimePoint end = timers.Now() + aTime; timers.Now() < end;) {
      Step();
    }
  }

  /// Reads bytes of the request that have arrived; returns their number.
  std::size_t Read(std::size_t aMost)
  {
    std::vector<char> bytes(aMost);
    boost::system::error_code error;
    return peer.read_some(boost::asio::buffer(bytes), error);
  }

  void Reset()
  {
    peer.set_option(boost::asio::socket_base::linger(true, 0));
    peer.close();
  }

  /// @param aReadBytes Of the request, which the peer reads at each step.
  /// @returns The number of bytes that were read.
  std::size_t AwaitEnd(std::size_t aReadBytes = 0)
  {
    std::size_t count = 0;
    for (std::size_t step = 0; step < kMaxSteps && !report.end; ++step) {
      Step();
      count += aReadBytes > 0 ? Read(aReadBytes) : 0;
    }
    REQUIRE(report.end);
    CHECK(client->Open() == 0);
    return count;
  }

  static constexpr Duration kStep{ 5'000 };
  static constexpr std::size_t kMaxSteps = 4000;

  Fixture& fixture;
  hibiscusnotch::testing::ManualTimers timers;
  std::unique_ptr<OutboundClient> client =
    MakeOutboundClient(fixture.context, timers);
  tcp::acceptor acceptor;
  tcp::socket peer{ fixture.context };
  ReportedCall report;
  CallId id = 0;
};

constexpr std::size_t kKilobyte = 1024;
constexpr std::size_t kMegabyte = 1024 * kKilobyte;
constexpr std::size_t kReadBytes = 16 * kKilobyte;

} // namespace

// Guards against the start of a response that is taken for the whole, as its
// end comes a moment before the reset that shows that its peer broke it off.
TEST_CASE("a reset while a long request is sent is not the end of a response")
{
  for (const std::size_t bodyBytes :
       { 20 * kKilobyte, 300 * kKilobyte, 4 * kMegabyte }) {
    for (const int reads : { 0, 1, 8 }) {
      CAPTURE(bodyBytes);
      CAPTURE(reads);
      Fixture fixture;
      EarlyEnd upload(fixture, bodyBytes);
      for (int count = 0; count < reads; ++count) {
        upload.Read(kReadBytes);
      }
      upload.RunFor(Duration{ 30'000 });
      upload.Reset();
      upload.AwaitEnd();
      CHECK(upload.report.end == CallOutcome::ConnectionLost);
    }
  }
}

// Guards against the refusal of responses whose peers end them early and read
// the rest of the request, as RFC 9112, section 9.6, describes.
TEST_CASE("a response that ends before its long request is whole if it is read")
{
  for (const std::size_t bodyBytes :
       { 20 * kKilobyte, 300 * kKilobyte, 4 * kMegabyte }) {
    CAPTURE(bodyBytes);
    Fixture fixture;
    EarlyEnd upload(fixture, bodyBytes);
    constexpr std::size_t kFirstBytes = 2 * kKilobyte; // read by Accept
    CHECK(upload.AwaitEnd(kReadBytes) + kFirstBytes >= bodyBytes);
    CHECK(upload.report.end == CallOutcome::Complete);
  }
}

TEST_CASE("a response whose long request is never read is lost in time")
{
  Fixture fixture;
  EarlyEnd upload(fixture, 8 * kMegabyte);
  const TimePoint start = upload.timers.Now();
  upload.AwaitEnd();
  CHECK(upload.report.end == CallOutcome::ConnectionLost);
  CHECK(upload.timers.Now() - start < std::chrono::seconds(2));
}

TEST_CASE("a call may be cancelled or paused while its request is read")
{
  Fixture fixture;
  EarlyEnd upload(fixture, 300 * kKilobyte);
  SUBCASE("paused and resumed")
  {
    upload.client->SetPaused(upload.id, true);
    upload.Step();
    upload.client->SetPaused(upload.id, false);
    upload.AwaitEnd(kReadBytes);
    CHECK(upload.report.end == CallOutcome::Complete);
  }
  SUBCASE("cancelled")
  {
    upload.client->Cancel(upload.id);
    CHECK(upload.client->Open() == 0);
    upload.RunFor(Duration{ 300'000 });
    CHECK_FALSE(upload.report.end);
  }
}

TEST_CASE("a refused connection is reported as not sent")
{
  Fixture fixture;
  tcp::acceptor closed(fixture.context, { tcp::v4(), 0 });
  const uint16_t port = closed.local_endpoint().port();
  closed.close();
  std::optional<CallOutcome> end;
  OutboundCall call;
  call.to = { "127.0.0.1", port };
  call.message = kGet;
  fixture.client->Start(
    call,
    { [](const ResponseHead&) {},
      [](std::string_view) {},
      [&](CallOutcome aEnd, std::string_view) { end = aEnd; } });
  REQUIRE(fixture.RunUntil([&] { return end.has_value(); }));
  CHECK(end == CallOutcome::NotSent);
}

TEST_CASE("a probe tells a missing process from one that accepts")
{
  Fixture fixture;
  tcp::acceptor open(fixture.context, { tcp::v4(), 0 });
  tcp::acceptor closed(fixture.context, { tcp::v4(), 0 });
  const uint16_t closedPort = closed.local_endpoint().port();
  closed.close();
  std::vector<Reachability> seen;
  const auto report = [&seen](Reachability aReachability) {
    seen.push_back(aReachability);
  };
  const Duration timeout{ 1'000'000 };
  fixture.client->Probe(
    { "127.0.0.1", open.local_endpoint().port() }, timeout, report);
  REQUIRE(fixture.RunUntil([&] { return seen.size() == 1; }));
  fixture.client->Probe({ "127.0.0.1", closedPort }, timeout, report);
  REQUIRE(fixture.RunUntil([&] { return seen.size() == 2; }));
  fixture.client->Probe({ "nowhere", 1 }, Duration{ 10'000 }, report);
  REQUIRE(fixture.RunUntil([&] { return seen.size() == 3; }));
  CHECK(seen[0] == Reachability::Accepts);
  CHECK(seen[1] == Reachability::Refuses);
  CHECK(seen[2] == Reachability::Unreachable);
}

TEST_CASE("a truncated response is reported as a lost connection")
{
  Fixture fixture;
  std::optional<CallOutcome> end;
  OutboundCall call;
  call.to = { "127.0.0.1", fixture.listener->Port() };
  call.message = kGet;
  fixture.client->Start(
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
  const CallId id = fixture.client->Start(
    call,
    { [&](const ResponseHead&) { reported = true; },
      [&](std::string_view) { reported = true; },
      [&](CallOutcome, std::string_view) { reported = true; } });
  REQUIRE(fixture.RunUntil([&] { return fixture.requests.size() == 1; }));
  fixture.client->Cancel(id);
  CHECK(fixture.RunUntil([&] { return fixture.disconnected.size() == 1; }));
  CHECK_FALSE(reported);
}

TEST_CASE("a silent call continues while its peer accepts connections")
{
  Fixture fixture;
  std::optional<CallOutcome> end;
  OutboundCall call;
  call.to = { "127.0.0.1", fixture.listener->Port() };
  call.message = kGet;
  call.probeAfterSilence = core::Duration{ 30'000 };
  fixture.client->Start(
    call,
    { [](const ResponseHead&) {},
      [](std::string_view) {},
      [&](CallOutcome aEnd, std::string_view) { end = aEnd; } });
  REQUIRE(fixture.RunUntil([&] { return fixture.requests.size() == 1; }));
  fixture.context.run_for(std::chrono::milliseconds(300));
  fixture.context.restart();
  CHECK_FALSE(end);
  fixture.Respond(fixture.requests[0].first, "late");
  REQUIRE(fixture.RunUntil([&] { return end.has_value(); }));
  CHECK(end == CallOutcome::Complete);
}

TEST_CASE("a peer that is active on another call is not probed")
{
  // An overloaded engine keeps many requests waiting. They must not each open
  // a probe connection to it.
  Fixture fixture;
  for (int call = 0; call < 20; ++call) {
    OutboundCall waiting;
    waiting.to = { "127.0.0.1", fixture.listener->Port() };
    waiting.message = kGet;
    waiting.probeAfterSilence = core::Duration{ 60'000 };
    fixture.client->Start(waiting,
                          { [](const ResponseHead&) {},
                            [](std::string_view) {},
                            [](CallOutcome, std::string_view) {} });
  }
  REQUIRE(fixture.RunUntil([&] { return fixture.requests.size() == 20; }));
  const ExchangeId active = fixture.requests[0].first;
  fixture.listener->Start(active, 200, "OK", {}, Framing::Chunked);
  std::size_t maxConnections = 0;
  for (int step = 0; step < 30; ++step) {
    fixture.listener->Write(active, "x");
    fixture.context.run_for(std::chrono::milliseconds(10));
    fixture.context.restart();
    maxConnections =
      std::max(maxConnections, fixture.listener->OpenConnections());
  }
  CHECK(maxConnections == 20);
}

TEST_CASE("a silent call is lost once its peer accepts no connections")
{
  // A zone is partitioned while it serves streams.
  Fixture fixture;
  std::optional<CallOutcome> end;
  OutboundCall call;
  call.to = { "127.0.0.1", fixture.listener->Port() };
  call.message = kGet;
  call.probeAfterSilence = core::Duration{ 30'000 };
  fixture.client->Start(
    call,
    { [](const ResponseHead&) {},
      [](std::string_view) {},
      [&](CallOutcome aEnd, std::string_view) { end = aEnd; } });
  REQUIRE(fixture.RunUntil([&] { return fixture.requests.size() == 1; }));
  fixture.listener->StopAccepting();
  REQUIRE(fixture.RunUntil([&] { return end.has_value(); }));
  CHECK(end == CallOutcome::ConnectionLost);
}

namespace {

/// A peer whose machine answers no new connections: its queue of connections
/// that wait to be accepted is full.
struct SilentPeer
{
  explicit SilentPeer(boost::asio::io_context& aContext)
    : acceptor(aContext)
    , served(aContext)
    , waiting{ tcp::socket(aContext),
               tcp::socket(aContext),
               tcp::socket(aContext) }
  {
    const tcp::endpoint any(boost::asio::ip::make_address("127.0.0.1"), 0);
    acceptor.open(any.protocol());
    acceptor.bind(any);
    acceptor.listen(0);
  }

  /// Accepts one connection, then no more.
  void AcceptOne()
  {
    acceptor.async_accept(served, [this](const boost::system::error_code&) {
      for (tcp::socket& socket : waiting) {
        socket.async_connect(acceptor.local_endpoint(),
                             [](const boost::system::error_code&) {});
      }
      accepted = true;
    });
  }

  tcp::acceptor acceptor;
  tcp::socket served;
  std::array<tcp::socket, 3> waiting;
  bool accepted = false;
};

struct SilentCall
{
  std::optional<CallOutcome> end;

  void Start(Fixture& aFixture, const SilentPeer& aPeer)
  {
    OutboundCall call;
    call.to = { "127.0.0.1", aPeer.acceptor.local_endpoint().port() };
    call.message = kGet;
    call.probeAfterSilence = core::Duration{ 100'000 };
    call.maxSilence = core::Duration{ 1'300'000 };
    aFixture.client->Start(
      call,
      { [](const ResponseHead&) {},
        [](std::string_view) {},
        [this](CallOutcome aEnd, std::string_view) { end = aEnd; } });
  }
};

} // namespace

// Guards against answers that are lost because their upstream was silent for a
// second and its machine did not answer meanwhile.
TEST_CASE("a call survives a peer that is silent for a second and goes on")
{
  Fixture fixture;
  SilentPeer peer(fixture.context);
  peer.AcceptOne();
  SilentCall call;
  call.Start(fixture, peer);
  REQUIRE(fixture.RunUntil([&] { return peer.accepted; }));
  fixture.context.run_for(std::chrono::milliseconds(1000));
  fixture.context.restart();
  CHECK_FALSE(call.end);
  boost::asio::write(peer.served,
                     boost::asio::buffer(std::string(
                       "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")));
  REQUIRE(fixture.RunUntil([&] { return call.end.has_value(); }));
  CHECK(call.end == CallOutcome::Complete);
}

// Guards against callers that wait for a peer that is down.
TEST_CASE("a call to a peer that stays silent is lost within two seconds")
{
  Fixture fixture;
  SilentPeer peer(fixture.context);
  peer.AcceptOne();
  SilentCall call;
  call.Start(fixture, peer);
  REQUIRE(fixture.RunUntil([&] { return peer.accepted; }));
  const auto start = std::chrono::steady_clock::now();
  REQUIRE(fixture.RunUntil([&] { return call.end.has_value(); }));
  CHECK(call.end == CallOutcome::ConnectionLost);
  CHECK(std::chrono::steady_clock::now() - start < std::chrono::seconds(2));
}

namespace {

/// A peer that streams without a length, closes, and answers what is asked of
/// it next as the test says.
struct EndingPeer
{
  explicit EndingPeer(Fixture& aFixture)
    : fixture(aFixture)
  {
    OutboundCall call;
    call.to = { "127.0.0.1", fixture.listener->Port() };
    call.message = kGet;
    id =
      fixture.client->Start(call,
                            { [](const ResponseHead&) {},
                              [](std::string_view) {},
                              [this](CallOutcome aEnd, std::string_view aWhy) {
                                end = aEnd;
                                why = aWhy;
                              } });
    fixture.client->SetLivenessCheck(
      id,
      { "GET /alive HTTP/1.1\r\nHost: h\r\n\r\n",
        [](const ResponseHead&, std::string_view aBody) {
          return aBody == "mine"    ? Sender::Peer
                 : aBody == "other" ? Sender::Other
                                    : Sender::Unknown;
        } });
  }

  /// Sends a part of the response and closes the connection.
  void CloseWithoutLength()
  {
    REQUIRE(fixture.RunUntil([&] { return fixture.requests.size() == 1; }));
    const ExchangeId exchange = fixture.requests[0].first;
    fixture.listener->Start(exchange, 200, "OK", {}, Framing::Length);
    fixture.listener->Write(exchange, "part");
    fixture.listener->Abort(exchange);
  }

  /// Waits for the check of that number, the first of which is 1.
  ExchangeId AwaitCheck(std::size_t aNumber)
  {
    REQUIRE(
      fixture.RunUntil([&] { return fixture.requests.size() > aNumber; }));
    CHECK(fixture.requests[aNumber].second.target == "/alive");
    return fixture.requests[aNumber].first;
  }

  void AwaitEnd()
  {
    REQUIRE(fixture.RunUntil([&] { return end.has_value(); }));
    CHECK(fixture.client->Open() == 0);
  }

  Fixture& fixture;
  CallId id = 0;
  std::optional<CallOutcome> end;
  std::string why;
};

} // namespace

// Guards against streams that are cut with their upstream's process and passed
// on as whole.
TEST_CASE("a response without a length is whole only if its peer answers")
{
  Fixture fixture;
  EndingPeer peer(fixture);
  peer.CloseWithoutLength();
  SUBCASE("it does")
  {
    fixture.Respond(peer.AwaitCheck(1), "mine");
    peer.AwaitEnd();
    CHECK(peer.end == CallOutcome::Complete);
  }
  SUBCASE("another process does")
  {
    fixture.Respond(peer.AwaitCheck(1), "other");
    peer.AwaitEnd();
    CHECK(peer.end == CallOutcome::ConnectionLost);
  }
  SUBCASE("it closes a connection, as a full one does, and answers the next")
  {
    fixture.listener->Abort(peer.AwaitCheck(1));
    fixture.Respond(peer.AwaitCheck(2), "mine");
    peer.AwaitEnd();
    CHECK(peer.end == CallOutcome::Complete);
  }
  SUBCASE("its answer is cut, and whole the next time")
  {
    const ExchangeId check = peer.AwaitCheck(1);
    fixture.listener->Start(
      check, 200, "OK", { { "Content-Length", "10" } }, Framing::Length);
    fixture.listener->Write(check, "mine");
    fixture.listener->Abort(check);
    fixture.Respond(peer.AwaitCheck(2), "mine");
    peer.AwaitEnd();
    CHECK(peer.end == CallOutcome::Complete);
  }
  SUBCASE("what is in between answers in its place, and closes connections")
  {
    fixture.Respond(peer.AwaitCheck(1), "no backend");
    fixture.listener->Abort(peer.AwaitCheck(2));
    fixture.Respond(peer.AwaitCheck(3), std::string(100'000, 'x'));
    peer.AwaitCheck(4);
    peer.AwaitEnd();
    CHECK(peer.end == CallOutcome::ConnectionLost);
    CHECK(peer.why ==
          "ended without a length, and no answer to the liveness check");
  }
  SUBCASE("what accepts in its place says nothing")
  {
    peer.AwaitCheck(1);
    peer.AwaitEnd();
    CHECK(peer.end == CallOutcome::ConnectionLost);
    CHECK(peer.why ==
          "ended without a length, and no answer to the liveness check");
  }
  SUBCASE("nothing listens any more")
  {
    fixture.listener->StopAccepting();
    peer.AwaitEnd();
    CHECK(peer.end == CallOutcome::ConnectionLost);
    CHECK(peer.why == "ended without a length, and connection refused");
  }
  SUBCASE("the call is cancelled before it does")
  {
    peer.AwaitCheck(1);
    fixture.client->Cancel(peer.id);
    CHECK(fixture.client->Open() == 0);
    CHECK_FALSE(peer.end);
  }
}

// Guards against probes that fail at once and are repeated without a pause.
TEST_CASE("a probe that fails without a route is reported at its timeout")
{
  Fixture fixture;
  const auto start = std::chrono::steady_clock::now();
  std::optional<Reachability> seen;
  fixture.client->Probe(
    { "127.255.255.255", 1 },
    Duration{ 100'000 },
    [&](Reachability aReachability) { seen = aReachability; });
  REQUIRE(fixture.RunUntil([&] { return seen.has_value(); }));
  CHECK(seen == Reachability::Unreachable);
  CHECK(std::chrono::steady_clock::now() - start >=
        std::chrono::milliseconds(90));
}

// Guards against an upstream that is blamed for the descriptors which this
// process lacks.
TEST_CASE("a call without a free descriptor is told from one that failed")
{
  Fixture fixture;
  rlimit former{};
  REQUIRE(getrlimit(RLIMIT_NOFILE, &former) == 0);
  const rlimit none{ 0, former.rlim_max };
  const core::Endpoint peer{ "127.0.0.1", fixture.listener->Port() };
  std::optional<CallOutcome> end;
  std::optional<Reachability> seen;
  OutboundCall call;
  call.to = peer;
  call.message = kGet;
  setrlimit(RLIMIT_NOFILE, &none);
  fixture.client->Start(
    call,
    { [](const ResponseHead&) {},
      [](std::string_view) {},
      [&end](CallOutcome aEnd, std::string_view) { end = aEnd; } });
  fixture.client->Probe(
    peer, Duration{ 10'000 }, [&seen](Reachability aSeen) { seen = aSeen; });
  const bool reported = fixture.RunUntil([&] { return end && seen; });
  setrlimit(RLIMIT_NOFILE, &former);
  REQUIRE(reported);
  CHECK(end == CallOutcome::NotStarted);
  CHECK(seen == Reachability::Untried);
}

// Guards against a request that arrives with its connection and is lost, as the
// connection is taken for an idle one.
TEST_CASE("only connections that have been idle for a while make room")
{
  boost::asio::io_context context;
  const auto timers = MakeTimers(context, BootClock());
  DescriptorReserve reserve(*timers, { [] {}, [](const Shortage&) {} });
  ListenerOptions options;
  options.endpoint = { "127.0.0.1", 0 };
  std::size_t requests = 0;
  const auto listener = MakeListener(
    context,
    *timers,
    options,
    { [&requests](ExchangeId, const net::HttpRequest&) { ++requests; },
      [](ExchangeId) {},
      [](ExchangeId) {} },
    nullptr,
    &reserve);
  const tcp::endpoint to(boost::asio::ip::make_address("127.0.0.1"),
                         listener->Port());
  tcp::socket idle(context);
  tcp::socket serving(context);
  idle.connect(to);
  serving.connect(to);
  boost::asio::write(serving, boost::asio::buffer(kGet));
  context.run_for(std::chrono::milliseconds(20));
  REQUIRE(listener->OpenConnections() == 2);
  REQUIRE(requests == 1);
  CHECK_FALSE(reserve.MakeRoom());
  context.restart();
  context.run_for(std::chrono::milliseconds(200));
  CHECK(reserve.MakeRoom());
  CHECK_FALSE(reserve.MakeRoom());
  CHECK(listener->OpenConnections() == 1);
  CHECK(listener->OpenExchanges() == 1);
}
