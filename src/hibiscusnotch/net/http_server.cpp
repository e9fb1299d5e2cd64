#include "hibiscusnotch/net/http_server.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <deque>
#include <map>

namespace hibiscusnotch::net {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;
using namespace asio::experimental::awaitable_operators;

constexpr auto kAwaitAsTuple = asio::as_tuple(asio::use_awaitable);
constexpr int kPayloadTooLarge = 413;
constexpr int kHeaderTooLarge = 431;
constexpr int kBadRequest = 400;
constexpr int kRequestTimeout = 408;
constexpr unsigned kHttpVersion = 11;
// After a connection could not be accepted, for example for lack of
// descriptors.
constexpr std::chrono::milliseconds kAcceptPause{ 100 };
// What is not parsed yet, beyond a head; also limits a chunk's size line and
// trailers.
constexpr std::size_t kMaxUnparsedBytes = 64 * 1024;

/// The response of one exchange, queued by the owner and sent by the
/// connection's coroutine.
struct PendingExchange
{
  explicit PendingExchange(asio::io_context& aContext)
    : stateChanged(aContext)
  {
    stateChanged.expires_at(asio::steady_timer::time_point::max());
  }

  bool started = false;
  bool streaming = false;
  bool finished = false;
  bool aborted = false;
  int status = 0;
  Headers headers;
  std::deque<std::string> outQueue;
  std::size_t unsentBytes = 0;
  /// Never expires; cancelled to wake a waiter.
  asio::steady_timer stateChanged;
};

Headers
CopyHeaders(const http::fields& aFields)
{
  Headers headers;
  for (const auto& field : aFields) {
    headers.emplace_back(std::string(field.name_string()),
                         std::string(field.value()));
  }
  return headers;
}

class ServerImplementation : public HttpServer
{
public:
  ServerImplementation(asio::io_context& aContext,
                       HttpServerOptions aOptions,
                       HttpServerCallbacks aCallbacks)
    : context_(aContext)
    , options_(std::move(aOptions))
    , callbacks_(std::move(aCallbacks))
    , acceptor_(aContext)
    , alive_(std::make_shared<bool>(true))
  {
    const tcp::endpoint endpoint(
      asio::ip::make_address(options_.endpoint.address),
      options_.endpoint.port);
    acceptor_.open(endpoint.protocol());
    acceptor_.set_option(asio::socket_base::reuse_address(true));
    acceptor_.bind(endpoint);
    acceptor_.listen(asio::socket_base::max_listen_connections);
    asio::co_spawn(context_, AcceptLoop(alive_), asio::detached);
  }

  ~ServerImplementation() override
  {
    *alive_ = false;
    beast::error_code ignored;
    acceptor_.close(ignored);
    CloseAll();
  }

  ServerImplementation(const ServerImplementation&) = delete;
  ServerImplementation& operator=(const ServerImplementation&) = delete;

  void Respond(ExchangeId aId,
               int aStatus,
               Headers aHeaders,
               std::string aBody) override
  {
    PendingExchange* exchange = Find(aId);
    if (!exchange || exchange->started) {
      return;
    }
    exchange->started = true;
    exchange->finished = true;
    exchange->status = aStatus;
    exchange->headers = std::move(aHeaders);
    exchange->unsentBytes += aBody.size();
    exchange->outQueue.push_back(std::move(aBody));
    exchange->stateChanged.cancel();
  }

  void StartStream(ExchangeId aId, int aStatus, Headers aHeaders) override
  {
    PendingExchange* exchange = Find(aId);
    if (!exchange || exchange->started) {
      return;
    }
    exchange->started = true;
    exchange->streaming = true;
    exchange->status = aStatus;
    exchange->headers = std::move(aHeaders);
    exchange->stateChanged.cancel();
  }

  void Write(ExchangeId aId, std::string aData) override
  {
    PendingExchange* exchange = Find(aId);
    if (!exchange || !exchange->streaming || exchange->finished ||
        aData.empty()) {
      return;
    }
    exchange->unsentBytes += aData.size();
    exchange->outQueue.push_back(std::move(aData));
    exchange->stateChanged.cancel();
  }

  void FinishStream(ExchangeId aId) override
  {
    PendingExchange* exchange = Find(aId);
    if (!exchange) {
      return;
    }
    exchange->finished = true;
    exchange->stateChanged.cancel();
  }

  void Abort(ExchangeId aId) override
  {
    PendingExchange* exchange = Find(aId);
    if (!exchange) {
      return;
    }
    exchange->aborted = true;
    exchange->stateChanged.cancel();
  }

  std::size_t UnsentBytes(ExchangeId aId) const override
  {
    const auto found = exchanges_.find(aId);
    return found == exchanges_.end() ? 0 : found->second->unsentBytes;
  }

  std::size_t OpenExchanges() const override { return exchanges_.size(); }

  void StopAccepting() override
  {
    stopping_ = true;
    beast::error_code ignored;
    acceptor_.close(ignored);
    for (auto& [id, stream] : connections_) {
      if (!activeExchanges_.contains(id)) {
        stream->socket().close(ignored);
      }
    }
  }

  void CloseAll() override
  {
    beast::error_code ignored;
    for (auto& [id, stream] : connections_) {
      stream->socket().set_option(asio::socket_base::linger(true, 0), ignored);
      stream->socket().close(ignored);
    }
    for (auto& [id, exchange] : exchanges_) {
      exchange->aborted = true;
      exchange->stateChanged.cancel();
    }
  }

private:
  using Alive = std::shared_ptr<bool>;
  using Parser = http::request_parser<http::string_body>;

  PendingExchange* Find(ExchangeId aId)
  {
    const auto found = exchanges_.find(aId);
    return found == exchanges_.end() ? nullptr : found->second.get();
  }

  asio::awaitable<void> AcceptLoop(Alive aAlive)
  {
    while (*aAlive) {
      auto [error, socket] = co_await acceptor_.async_accept(kAwaitAsTuple);
      if (!*aAlive || error == asio::error::operation_aborted ||
          error == asio::error::bad_descriptor) {
        co_return;
      }
      if (error) {
        // A connection that cannot be accepted waits in the queue.
        asio::steady_timer pause(context_, kAcceptPause);
        co_await pause.async_wait(kAwaitAsTuple);
        continue;
      }
      beast::error_code ignored;
      socket.set_option(tcp::no_delay(true), ignored);
      asio::co_spawn(
        context_, ServeConnection(aAlive, std::move(socket)), asio::detached);
    }
  }

  /// Reads and answers the requests of one connection in order.
  asio::awaitable<void> ServeConnection(Alive aAlive, tcp::socket aSocket)
  {
    beast::tcp_stream stream(std::move(aSocket));
    beast::flat_buffer buffer(options_.maxHeaderBytes + kMaxUnparsedBytes);
    const uint64_t connectionId = ++lastConnection_;
    connections_[connectionId] = &stream;
    bool keepOpen = true;
    while (keepOpen) {
      Parser parser;
      parser.header_limit(static_cast<uint32_t>(options_.maxHeaderBytes));
      parser.body_limit(options_.maxBodyBytes);
      const beast::error_code error =
        co_await ReadRequest(stream, buffer, parser);
      if (!*aAlive) {
        co_return;
      }
      if (error) {
        co_await RespondWithError(stream, error);
        break;
      }
      const ExchangeId id = ++lastExchange_;
      activeExchanges_.insert({ connectionId, id });
      keepOpen = co_await HandleExchange(aAlive, stream, parser.release(), id);
      if (!*aAlive) {
        co_return;
      }
      activeExchanges_.erase(connectionId);
      exchanges_.erase(id);
      keepOpen = keepOpen && !stopping_;
    }
    connections_.erase(connectionId);
    beast::error_code ignored;
    stream.socket().shutdown(tcp::socket::shutdown_both, ignored);
  }

  asio::awaitable<beast::error_code> ReadRequest(beast::tcp_stream& aStream,
                                                 beast::flat_buffer& aBuffer,
                                                 Parser& aParser)
  {
    if (aBuffer.size() == 0) {
      aStream.expires_after(options_.idleTimeout);
      auto [error, bytes] =
        co_await aStream.async_read_some(aBuffer.prepare(4096), kAwaitAsTuple);
      if (error) {
        co_return http::make_error_code(http::error::end_of_stream);
      }
      aBuffer.commit(bytes);
    }
    aStream.expires_after(options_.requestTimeout);
    auto [error, bytes] =
      co_await http::async_read(aStream, aBuffer, aParser, kAwaitAsTuple);
    aStream.expires_never();
    co_return error;
  }

  asio::awaitable<void> RespondWithError(beast::tcp_stream& aStream,
                                         beast::error_code aError)
  {
    int status = kBadRequest;
    if (aError == http::error::end_of_stream ||
        aError == asio::error::operation_aborted ||
        aError.category() == asio::error::get_system_category()) {
      co_return;
    }
    if (aError == http::error::body_limit) {
      status = kPayloadTooLarge;
    } else if (aError == http::error::header_limit) {
      status = kHeaderTooLarge;
    } else if (aError == beast::error::timeout) {
      status = kRequestTimeout;
    }
    http::response<http::string_body> response(
      static_cast<http::status>(status), kHttpVersion);
    response.set(http::field::content_type, "application/json");
    response.keep_alive(false);
    response.body() =
      options_.errorBody ? options_.errorBody(status, aError.message()) : "";
    response.prepare_payload();
    aStream.expires_after(options_.writeTimeout);
    co_await http::async_write(aStream, response, kAwaitAsTuple);
  }

  /// Passes one request to its handler and sends the response.
  asio::awaitable<bool> HandleExchange(
    Alive aAlive,
    beast::tcp_stream& aStream,
    http::request<http::string_body> aRequest,
    ExchangeId aId)
  {
    const bool keepAlive = aRequest.keep_alive();
    exchanges_[aId] = std::make_unique<PendingExchange>(context_);
    HttpRequest request{ std::string(aRequest.method_string()),
                         std::string(aRequest.target()),
                         CopyHeaders(aRequest),
                         std::move(aRequest.body()) };
    callbacks_.onRequest(aId, std::move(request));
    bool headSent = false;
    bool watchClient = true;
    while (true) {
      PendingExchange& exchange = *exchanges_.at(aId);
      if (exchange.aborted) {
        co_return false;
      }
      if (exchange.started && !exchange.streaming) {
        co_return co_await SendCompleteResponse(aStream, exchange, keepAlive) &&
          keepAlive;
      }
      if (exchange.started && !headSent) {
        headSent = true;
        if (!co_await SendHead(aStream, exchange)) {
          co_return ReportDisconnect(aAlive, aId);
        }
        continue;
      }
      if (!exchange.outQueue.empty()) {
        if (!co_await SendChunks(aStream, exchange)) {
          co_return ReportDisconnect(aAlive, aId);
        }
        if (*aAlive && callbacks_.onWritten) {
          callbacks_.onWritten(aId);
        }
        continue;
      }
      if (exchange.finished) {
        co_return co_await SendLastChunk(aStream) && keepAlive;
      }
      if (!co_await WaitForOutput(aStream, exchange, watchClient)) {
        co_return ReportDisconnect(aAlive, aId);
      }
      if (!*aAlive) {
        co_return false;
      }
    }
  }

  bool ReportDisconnect(const Alive& aAlive, ExchangeId aId)
  {
    if (*aAlive && callbacks_.onClientDisconnected) {
      callbacks_.onClientDisconnected(aId);
    }
    return false;
  }

  /// Waits for more output; false if the client has disconnected.
  asio::awaitable<bool> WaitForOutput(beast::tcp_stream& aStream,
                                      PendingExchange& aExchange,
                                      bool& aWatchClient)
  {
    if (!aWatchClient) {
      co_await aExchange.stateChanged.async_wait(kAwaitAsTuple);
      aExchange.stateChanged.expires_at(asio::steady_timer::time_point::max());
      co_return true;
    }
    const auto result = co_await (
      aExchange.stateChanged.async_wait(kAwaitAsTuple) ||
      aStream.socket().async_wait(tcp::socket::wait_read, kAwaitAsTuple));
    aExchange.stateChanged.expires_at(asio::steady_timer::time_point::max());
    if (result.index() == 0) {
      co_return true;
    }
    beast::error_code error;
    char byte = 0;
    const std::size_t bytes = aStream.socket().receive(
      asio::buffer(&byte, 1), tcp::socket::message_peek, error);
    // Pipelined data keeps the socket readable, so that a disconnect can no
    // longer be detected by waiting for it.
    aWatchClient = false;
    co_return !error && bytes > 0;
  }

  template<class Response>
  static void SetHeaders(Response& aResponse, const Headers& aHeaders)
  {
    for (const auto& [name, value] : aHeaders) {
      aResponse.insert(name, value);
    }
  }

  asio::awaitable<bool> SendCompleteResponse(beast::tcp_stream& aStream,
                                             PendingExchange& aExchange,
                                             bool aKeepAlive)
  {
    http::response<http::string_body> response(
      static_cast<http::status>(aExchange.status), kHttpVersion);
    SetHeaders(response, aExchange.headers);
    response.keep_alive(aKeepAlive && !stopping_);
    response.body() = std::move(aExchange.outQueue.front());
    response.prepare_payload();
    aStream.expires_after(options_.writeTimeout);
    const auto [error, bytes] =
      co_await http::async_write(aStream, response, kAwaitAsTuple);
    aStream.expires_never();
    co_return !error;
  }

  asio::awaitable<bool> SendHead(beast::tcp_stream& aStream,
                                 PendingExchange& aExchange)
  {
    http::response<http::empty_body> response(
      static_cast<http::status>(aExchange.status), kHttpVersion);
    SetHeaders(response, aExchange.headers);
    response.chunked(true);
    http::response_serializer<http::empty_body> serializer(response);
    aStream.expires_after(options_.writeTimeout);
    const auto [error, bytes] =
      co_await http::async_write_header(aStream, serializer, kAwaitAsTuple);
    aStream.expires_never();
    co_return !error;
  }

  /// Sends the whole queue as one chunk.
  asio::awaitable<bool> SendChunks(beast::tcp_stream& aStream,
                                   PendingExchange& aExchange)
  {
    std::string data = std::move(aExchange.outQueue.front());
    aExchange.outQueue.pop_front();
    while (!aExchange.outQueue.empty()) {
      data += aExchange.outQueue.front();
      aExchange.outQueue.pop_front();
    }
    aStream.expires_after(options_.writeTimeout);
    const auto [error, bytes] = co_await asio::async_write(
      aStream, http::make_chunk(asio::buffer(data)), kAwaitAsTuple);
    aStream.expires_never();
    aExchange.unsentBytes -= std::min(aExchange.unsentBytes, data.size());
    co_return !error;
  }

  asio::awaitable<bool> SendLastChunk(beast::tcp_stream& aStream)
  {
    aStream.expires_after(options_.writeTimeout);
    const auto [error, bytes] = co_await asio::async_write(
      aStream, http::make_chunk_last(), kAwaitAsTuple);
    aStream.expires_never();
    co_return !error;
  }

  asio::io_context& context_;
  HttpServerOptions options_;
  HttpServerCallbacks callbacks_;
  tcp::acceptor acceptor_;
  Alive alive_;
  std::map<ExchangeId, std::unique_ptr<PendingExchange>> exchanges_;
  std::map<uint64_t, beast::tcp_stream*> connections_;
  std::map<uint64_t, ExchangeId> activeExchanges_;
  uint64_t lastConnection_ = 0;
  ExchangeId lastExchange_ = 0;
  bool stopping_ = false;
};

} // namespace

std::unique_ptr<HttpServer>
MakeHttpServer(asio::io_context& aContext,
               HttpServerOptions aOptions,
               HttpServerCallbacks aCallbacks)
{
  return std::make_unique<ServerImplementation>(
    aContext, std::move(aOptions), std::move(aCallbacks));
}

} // namespace hibiscusnotch::net
