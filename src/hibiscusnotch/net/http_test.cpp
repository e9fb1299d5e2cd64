#include "hibiscusnotch/net/http_client.hpp"
#include "hibiscusnotch/net/http_server.hpp"

#include "hibiscusnotch/testing/concatenate.hpp"

#include <array>
#include <atomic>
#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <ctime>
#include <doctest/doctest.h>
#include <optional>
#include <sys/resource.h>
#include <thread>
#include <unistd.h>

using namespace hibiscusnotch;
using namespace hibiscusnotch::net;
using boost::asio::ip::tcp;
using hibiscusnotch::testing::Concatenate;

namespace {

/// An address of this process's own, as the tests may run in several at once.
std::string
OwnAddress()
{
  constexpr int kLastByte = 250;
  const int process = getpid();
  return "127.77." + std::to_string(process / kLastByte % kLastByte) + '.' +
         std::to_string(process % kLastByte + 2);
}

const core::Endpoint kEndpoint{ OwnAddress(), 18200 };

/// A server that echoes bodies, streams on /stream and never responds to /hang.
struct EchoServer
{
  explicit EchoServer(boost::asio::io_context& aContext)
  {
    HttpServerOptions options;
    options.endpoint = kEndpoint;
    options.maxHeaderBytes = 2048;
    options.maxBodyBytes = 4096;
    options.requestTimeout = core::Duration(300'000);
    options.errorBody = [](int, std::string_view) { return "{\"fault\":1}"; };
    HttpServerCallbacks callbacks;
    callbacks.onRequest = [this](ExchangeId aId, const HttpRequest& aRequest) {
      OnRequest(aId, aRequest);
    };
    callbacks.onClientDisconnected = [this](ExchangeId) { ++disconnects; };
    server = MakeHttpServer(aContext, options, callbacks);
  }

  void OnRequest(ExchangeId aId, const HttpRequest& aRequest)
  {
    ++requests;
    if (aRequest.target == "/stream") {
      server->StartStream(aId, 200, {});
      server->Write(aId, "one ");
      server->Write(aId, "two");
      server->FinishStream(aId);
    } else if (aRequest.target == "/trickle") {
      trickling = aId;
      server->StartStream(aId, 200, {});
    } else if (aRequest.target != "/hang") {
      server->Respond(aId, 200, {}, aRequest.body);
    }
  }

  int requests = 0;
  int disconnects = 0;
  ExchangeId trickling = 0;
  std::unique_ptr<HttpServer> server;
};

/// Sends raw bytes from a separate thread; returns what was received.
std::string
SendRaw(boost::asio::io_context& aContext, const std::string& aBytes)
{
  std::string response;
  std::jthread client([&] {
    boost::asio::io_context clientContext;
    tcp::socket socket(clientContext);
    socket.connect(tcp::endpoint(
      boost::asio::ip::make_address(kEndpoint.address), kEndpoint.port));
    boost::system::error_code ignored;
    boost::asio::write(socket, boost::asio::buffer(aBytes), ignored);
    boost::asio::read(socket, boost::asio::dynamic_buffer(response), ignored);
  });
  aContext.run_for(std::chrono::milliseconds(700));
  aContext.restart();
  return response;
}

} // namespace

TEST_CASE("malformed, smuggled and oversized requests get an error response")
{
  boost::asio::io_context context;
  EchoServer echo(context);
  for (const std::string& bytes : std::vector<std::string>{
         std::string("NOT HTTP AT ALL\r\n\r\n"),
         std::string("GET / HTTP/1.1\r\nbad header\r\n\r\n"),
         std::string("POST / HTTP/1.1\r\nContent-Length: 5\r\n"
                     "Content-Length: 6\r\n\r\nhello!"),
         std::string("POST / HTTP/1.1\r\nContent-Length: 5\r\n"
                     "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"),
         "GET / HTTP/1.1\r\nX: " + std::string(4000, 'x') + "\r\n\r\n",
         "POST / HTTP/1.1\r\nContent-Length: 9000\r\n\r\n" +
           std::string(9000, 'x') }) {
    CAPTURE(bytes.substr(0, 60));
    const std::string response = SendRaw(context, bytes);
    CHECK(response.starts_with("HTTP/1.1 4"));
    CHECK(response.find("{\"fault\":1}") != std::string::npos);
  }
  CHECK(echo.requests == 0);
}

TEST_CASE("a client that never completes its request is disconnected in time")
{
  boost::asio::io_context context;
  EchoServer echo(context);
  // The client's read ends only when the server closes the connection.
  CHECK(SendRaw(context, "GET / HTT").empty());
  CHECK(echo.requests == 0);
}

TEST_CASE("complete and streamed responses arrive over pooled connections")
{
  boost::asio::io_context context;
  EchoServer echo(context);
  int idleClosed = 0;
  const auto client =
    MakeHttpClient(context, [&](const core::Endpoint&) { ++idleClosed; });
  std::string bodies;
  for (const char* target : { "/stream", "/echo" }) {
    HttpCall call;
    call.to = kEndpoint;
    call.method = "POST";
    call.target = target;
    call.body = "body";
    client->Send(std::move(call),
                 [&](CallOutcome aOutcome, const HttpResponse& aResponse) {
                   CHECK(aOutcome == CallOutcome::Complete);
                   bodies += aResponse.body + ";";
                 });
    context.run_for(std::chrono::milliseconds(60));
    context.restart();
  }
  CHECK(bodies == "one two;body;");
  echo.server->CloseAll();
  context.run_for(std::chrono::milliseconds(60));
  context.restart();
  CHECK(idleClosed >= 1);
}

TEST_CASE("a client disconnect is reported; a timed-out call counts as lost")
{
  boost::asio::io_context context;
  EchoServer echo(context);
  const auto client = MakeHttpClient(context, nullptr);
  HttpCall call;
  call.to = kEndpoint;
  call.target = "/hang";
  call.timeout = core::Duration(100'000);
  std::optional<CallOutcome> outcome;
  client->Send(call, [&](CallOutcome aOutcome, const HttpResponse&) {
    outcome = aOutcome;
  });
  context.run_for(std::chrono::milliseconds(300));
  context.restart();
  CHECK(outcome == CallOutcome::ConnectionLost);
  CHECK(echo.disconnects == 1);
  call.to.port = 18299;
  client->Send(call, [&](CallOutcome aOutcome, const HttpResponse&) {
    outcome = aOutcome;
  });
  context.run_for(std::chrono::milliseconds(100));
  CHECK(outcome == CallOutcome::NotSent);
}

namespace {

/// An upstream that sends a prefix, then a unit again and again.
struct EndlessUpstream
{
  EndlessUpstream(std::string aPrefix, std::string aUnit)
    : prefix(std::move(aPrefix))
    , unit(std::move(aUnit))
    , acceptor(context, { boost::asio::ip::make_address(kEndpoint.address), 0 })
    , thread([this] { Serve(); })
  {
  }

  void Serve()
  {
    constexpr std::size_t kMostBytes = 64 * 1024 * 1024;
    boost::system::error_code error;
    tcp::socket socket(context);
    acceptor.accept(socket, error);
    boost::asio::write(socket, boost::asio::buffer(prefix), error);
    std::string piece;
    while (piece.size() < 64 * 1024) {
      piece += unit;
    }
    while (!error && sent < kMostBytes) {
      sent += boost::asio::write(socket, boost::asio::buffer(piece), error);
    }
  }

  std::string prefix;
  std::string unit;
  std::atomic<std::size_t> sent = 0;
  boost::asio::io_context context;
  tcp::acceptor acceptor;
  std::jthread thread;
};

} // namespace

TEST_CASE("a response without end is given up before it fills memory")
{
  // Guards against an upstream or a platform that never ends a response.
  const std::string chunked =
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  for (const auto& message : std::vector<std::pair<std::string, std::string>>{
         { "HTTP/1.1 200 OK\r\n\r\n", "x" },
         { "HTTP/1.1 200 OK\r\nX: ", "x" },
         { chunked + "5;", "x" },
         { chunked + "0\r\n", "X: y\r\n" } }) {
    CAPTURE(message.first);
    EndlessUpstream upstream(message.first, message.second);
    boost::asio::io_context context;
    const auto client = MakeHttpClient(context, nullptr);
    HttpCall call;
    call.to = { kEndpoint.address, upstream.acceptor.local_endpoint().port() };
    std::optional<CallOutcome> outcome;
    client->Send(call, [&](CallOutcome aOutcome, const HttpResponse&) {
      outcome = aOutcome;
    });
    for (int step = 0; step < 500 && !outcome; ++step) {
      context.run_for(std::chrono::milliseconds(10));
      context.restart();
    }
    CHECK(outcome == CallOutcome::ConnectionLost);
    CHECK(upstream.sent < 32UL * 1024 * 1024); // with the sockets' buffers
    client->CloseAll();
  }
}

namespace {

/// How a call to a plain socket ended.
struct PlainCall
{
  std::optional<CallOutcome> outcome;
  HttpResponse response;
};

/// A client on one event loop with an acceptor that responds by raw bytes.
struct PlainUpstream
{
  PlainUpstream() { acceptor.non_blocking(true); }

  /// Sends the bytes as the response, then closes or resets the connection.
  /// @param aExit Closes the listening socket before, as the end of a process
  /// does.
  PlainCall Respond(std::string_view aBytes, bool aReset, bool aExit = false)
  {
    PlainCall result;
    HttpCall call;
    call.to = { kEndpoint.address, acceptor.local_endpoint().port() };
    call.newConnection = true;
    client->Send(std::move(call),
                 [&](CallOutcome aOutcome, const HttpResponse& aResponse) {
                   result.outcome = aOutcome;
                   result.response = aResponse;
                 });
    tcp::socket peer = Accept();
    // Read first, so that closing does not reset the connection.
    peer.non_blocking(true);
    std::string request;
    RunUntil([&] {
      std::array<char, 1024> bytes{};
      boost::system::error_code error;
      const std::size_t count =
        peer.read_some(boost::asio::buffer(bytes), error);
      request.append(bytes.data(), count);
      return request.find("\r\n\r\n") != std::string::npos;
    });
    boost::asio::write(peer, boost::asio::buffer(aBytes));
    if (aReset) {
      peer.set_option(boost::asio::socket_base::linger(true, 0));
    }
    if (aExit) {
      acceptor.close();
    }
    peer.close();
    RunUntil([&] { return result.outcome.has_value(); });
    return result;
  }

  /// Accepts the connection of the call that was sent.
  tcp::socket Accept()
  {
    tcp::socket peer(context);
    RunUntil([&] {
      boost::system::error_code error;
      acceptor.accept(peer, error);
      return peer.is_open();
    });
    REQUIRE(peer.is_open());
    return peer;
  }

  /// Sends a part of a response without a length and the end of the stream
  /// while the request is not read; then reads it, or resets the connection.
  std::optional<CallOutcome> RespondEarly(std::size_t aBodyBytes, bool aRead)
  {
    std::optional<CallOutcome> outcome;
    HttpCall call;
    call.to = { kEndpoint.address, acceptor.local_endpoint().port() };
    call.method = "POST";
    call.body = std::string(aBodyBytes, 'x');
    client->Send(
      std::move(call),
      [&](CallOutcome aOutcome, const HttpResponse&) { outcome = aOutcome; });
    tcp::socket peer = Accept();
    const std::string part = "HTTP/1.1 200 OK\r\n\r\npart";
    boost::asio::write(peer, boost::asio::buffer(part));
    peer.shutdown(tcp::socket::shutdown_send);
    context.run_for(std::chrono::milliseconds(5));
    context.restart();
    if (aRead) {
      peer.non_blocking(true);
      RunUntil([&] {
        std::array<char, 64 * 1024> bytes{};
        boost::system::error_code error;
        peer.read_some(boost::asio::buffer(bytes), error);
        return outcome.has_value();
      });
    } else {
      peer.set_option(boost::asio::socket_base::linger(true, 0));
      peer.close();
    }
    RunUntil([&] { return outcome.has_value(); });
    return outcome;
  }

  template<class Condition>
  void RunUntil(Condition aCondition)
  {
    for (int step = 0; step < 2000 && !aCondition(); ++step) {
      context.run_for(std::chrono::milliseconds(1));
      context.restart();
    }
  }

  boost::asio::io_context context;
  tcp::acceptor acceptor{ context,
                          { boost::asio::ip::make_address(kEndpoint.address),
                            0 } };
  std::unique_ptr<HttpClient> client = MakeHttpClient(context, nullptr);
};

} // namespace

TEST_CASE("a head cut at any byte, ended or reset, is a lost connection")
{
  // Guards against an upstream that stops in the middle of its head and whose
  // response is passed on as a whole one.
  PlainUpstream upstream;
  for (const std::string head :
       { "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
         "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n",
         "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 None\r\n\r\n" }) {
    for (std::size_t cut = 0; cut < head.size(); ++cut) {
      for (const bool reset : { false, true }) {
        CAPTURE(head);
        CAPTURE(cut);
        CAPTURE(reset);
        CHECK(upstream.Respond(head.substr(0, cut), reset).outcome ==
              CallOutcome::ConnectionLost);
      }
    }
  }
}

TEST_CASE("a response without a length ends with its process as a lost one")
{
  // Guards against the start of an answer that is taken for the whole: the
  // kernel closes the connections of a killed process as a sound one does.
  const std::string response = "HTTP/1.1 200 OK\r\n\r\npart";
  for (const bool exits : { false, true }) {
    PlainUpstream upstream;
    CHECK(upstream.Respond(response, false, exits).outcome ==
          (exits ? CallOutcome::ConnectionLost : CallOutcome::Complete));
  }
}

TEST_CASE("interim responses are passed over")
{
  // Guards against 100 Continue or 103 Early Hints taken for the answer.
  PlainUpstream upstream;
  const PlainCall call =
    upstream.Respond("HTTP/1.1 100 Continue\r\n\r\n"
                     "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n"
                     "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello",
                     false);
  CHECK(call.outcome == CallOutcome::Complete);
  CHECK(call.response.status == 200);
  CHECK(call.response.body == "hello");
}

// Guards against heads that are no heads and bodies in a form that the caller
// is not told of. The same rules as in relay/http_reader_test.cpp.
TEST_CASE("a response that breaks the rules of its syntax is a lost connection")
{
  using namespace std::string_literals;
  const std::string ok = "HTTP/1.1 200 OK\r\n";
  const std::string body = "Content-Length: 5\r\n\r\nhello";
  const std::string chunks = "\r\n5\r\nhello\r\n0\r\n\r\n";
  std::vector<std::string> responses;
  SUBCASE("a status outside 100 to 599")
  {
    for (const std::string status : { "000", "001", "099", "600", "999" }) {
      responses.push_back(
        Concatenate({ "HTTP/1.1 ", status, " OK\r\n", body }));
      responses.push_back("HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 " + status +
                          " OK\r\n\r\nhello");
    }
  }
  SUBCASE("a name that is no token")
  {
    for (const std::string& line : { "Bad Name: x"s,
                                     "Name : x"s,
                                     "Na\x01me: x"s,
                                     "Na\x7fme: x"s,
                                     "Na\0me: x"s,
                                     "Na\x80me: x"s,
                                     ": x"s,
                                     "Name"s }) {
      responses.push_back(Concatenate({ ok, line, "\r\n", body }));
      responses.push_back(
        Concatenate({ ok,
                      "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n",
                      line,
                      "\r\n\r\n" }));
    }
  }
  SUBCASE("a folded field")
  {
    for (const std::string blank : { " ", "\t" }) {
      responses.push_back(
        Concatenate({ ok, "A: b\r\n", blank, "Name: x\r\n", body }));
      responses.push_back(Concatenate(
        { ok, "A: b\r\n", blank, "Transfer-Encoding: chunked\r\n", chunks }));
    }
  }
  SUBCASE("another transfer coding than chunks")
  {
    for (const std::string coding : { "gzip, chunked", "gzip", "unheard-of" }) {
      responses.push_back(
        Concatenate({ ok, "Transfer-Encoding: ", coding, "\r\n", chunks }));
    }
  }
  for (const std::string& response : responses) {
    CAPTURE(response);
    PlainUpstream upstream;
    CHECK(upstream.Respond(response, false).outcome ==
          CallOutcome::ConnectionLost);
  }
}

TEST_CASE("responses of an odd but allowed form are complete")
{
  for (const std::string response :
       { "HTTP/1.1 200 \r\nContent-Length: 5\r\n\r\nhello",
         "HTTP/1.0 200 OK\r\n\r\nhello",
         "HTTP/1.1 200 OK\r\nTransfer-Encoding: Chunked\r\n\r\n"
         "5\r\nhello\r\n0\r\nA: b\r\n\r\n",
         "HTTP/1.1 102 \r\n\r\nHTTP/1.1 299 Odd\r\n\r\nhello" }) {
    CAPTURE(response);
    PlainUpstream upstream;
    const PlainCall call = upstream.Respond(response, false);
    CHECK(call.outcome == CallOutcome::Complete);
    CHECK(call.response.body == "hello");
  }
}

// Guards against the start of a response that is taken for the whole, as its
// end comes a moment before the reset that shows that its peer broke it off.
TEST_CASE("a reset of a request that is not read is not the end of a response")
{
  for (const std::size_t bodyBytes : { 20UL * 1024, 300UL * 1024 }) {
    for (const bool isRead : { false, true }) {
      CAPTURE(bodyBytes);
      CAPTURE(isRead);
      PlainUpstream upstream;
      CHECK(upstream.RespondEarly(bodyBytes, isRead) ==
            (isRead ? CallOutcome::Complete : CallOutcome::ConnectionLost));
    }
  }
}

TEST_CASE("a response that trickles without end is given up in time")
{
  boost::asio::io_context context;
  EchoServer echo(context);
  const auto client = MakeHttpClient(context, nullptr);
  HttpCall call;
  call.to = kEndpoint;
  call.target = "/trickle";
  call.timeout = core::Duration(200'000);
  std::optional<CallOutcome> outcome;
  client->Send(call, [&](CallOutcome aOutcome, const HttpResponse&) {
    outcome = aOutcome;
  });
  for (int step = 0; step < 100 && !outcome; ++step) {
    context.run_for(std::chrono::milliseconds(20));
    context.restart();
    echo.server->Write(echo.trickling, "x");
  }
  CHECK(outcome == CallOutcome::ConnectionLost);
}

TEST_CASE("a request without end is rejected before it fills memory")
{
  boost::asio::io_context context;
  EchoServer echo(context);
  const std::string chunked =
    "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";
  const std::string response =
    SendRaw(context, chunked + "5;" + std::string(4 * 1024 * 1024, 'x'));
  CHECK(response.starts_with("HTTP/1.1 4"));
  CHECK(echo.requests == 0);
}

// Guards against a server that keeps a processor busy while a connection waits
// that it has no descriptor for.
TEST_CASE("a server without free descriptors waits and goes on serving")
{
  boost::asio::io_context context;
  const EchoServer server(context);
  tcp::socket client(context);
  client.connect(tcp::endpoint(boost::asio::ip::make_address(kEndpoint.address),
                               kEndpoint.port));
  rlimit former{};
  REQUIRE(getrlimit(RLIMIT_NOFILE, &former) == 0);
  const rlimit none{ 0, former.rlim_max };
  setrlimit(RLIMIT_NOFILE, &none);
  const std::clock_t before = std::clock();
  context.run_for(std::chrono::milliseconds(500));
  const std::clock_t used = std::clock() - before;
  setrlimit(RLIMIT_NOFILE, &former);
  CHECK(used < CLOCKS_PER_SEC / 20); // a tenth of the time
  context.restart();
  const std::string request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
  boost::asio::write(client, boost::asio::buffer(request));
  context.run_for(std::chrono::milliseconds(400));
  CHECK(server.requests == 1);
}
