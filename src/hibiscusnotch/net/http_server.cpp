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
#include <deque>
#include <map>

namespace hibiscusnotch::net {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;
using namespace asio::experimental::awaitable_operators;

constexpr auto kTuple = asio::as_tuple(asio::use_awaitable);
constexpr int kTooLarge = 413;
constexpr int kHeaderTooLarge = 431;
constexpr int kBadRequest = 400;
constexpr int kTimeout = 408;
constexpr unsigned kKeepAliveVersion = 11;

/// One exchange's answer, filled by its owner and drained by its session.
struct ExchangeRow
{
  explicit ExchangeRow(asio::io_context& aContext)
    : wake(aContext)
  {
    wake.expires_at(asio::steady_timer::time_point::max());
  }

  bool started = false;
  bool streaming = false;
  bool finished = false;
  bool aborted = false;
  int status = 0;
  Headers headers;
  std::deque<std::string> out;
  std::size_t pending = 0;
  asio::steady_timer wake;
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
    asio::co_spawn(context_, Accept(alive_), asio::detached);
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
    ExchangeRow* row = Find(aId);
    if (!row || row->started) {
      return;
    }
    row->started = true;
    row->finished = true;
    row->status = aStatus;
    row->headers = std::move(aHeaders);
    row->pending += aBody.size();
    row->out.push_back(std::move(aBody));
    row->wake.cancel();
  }

  void StartStream(ExchangeId aId, int aStatus, Headers aHeaders) override
  {
    ExchangeRow* row = Find(aId);
    if (!row || row->started) {
      return;
    }
    row->started = true;
    row->streaming = true;
    row->status = aStatus;
    row->headers = std::move(aHeaders);
    row->wake.cancel();
  }

  void Write(ExchangeId aId, std::string aData) override
  {
    ExchangeRow* row = Find(aId);
    if (!row || !row->streaming || row->finished || aData.empty()) {
      return;
    }
    row->pending += aData.size();
    row->out.push_back(std::move(aData));
    row->wake.cancel();
  }

  void FinishStream(ExchangeId aId) override
  {
    ExchangeRow* row = Find(aId);
    if (!row) {
      return;
    }
    row->finished = true;
    row->wake.cancel();
  }

  void Abort(ExchangeId aId) override
  {
    ExchangeRow* row = Find(aId);
    if (!row) {
      return;
    }
    row->aborted = true;
    row->wake.cancel();
  }

  std::size_t UnsentBytes(ExchangeId aId) const override
  {
    const auto found = exchanges_.find(aId);
    return found == exchanges_.end() ? 0 : found->second->pending;
  }

  std::size_t OpenExchanges() const override { return exchanges_.size(); }

  void StopAccepting() override
  {
    stopping_ = true;
    beast::error_code ignored;
    acceptor_.close(ignored);
    for (auto& [id, stream] : sessions_) {
      if (!busy_.contains(id)) {
        stream->socket().close(ignored);
      }
    }
  }

  void CloseAll() override
  {
    beast::error_code ignored;
    for (auto& [id, stream] : sessions_) {
      stream->socket().set_option(asio::socket_base::linger(true, 0), ignored);
      stream->socket().close(ignored);
    }
    for (auto& [id, row] : exchanges_) {
      row->aborted = true;
      row->wake.cancel();
    }
  }

private:
  using Alive = std::shared_ptr<bool>;
  using Parser = http::request_parser<http::string_body>;

  ExchangeRow* Find(ExchangeId aId)
  {
    const auto found = exchanges_.find(aId);
    return found == exchanges_.end() ? nullptr : found->second.get();
  }

  asio::awaitable<void> Accept(Alive aAlive)
  {
    while (*aAlive) {
      auto [error, socket] = co_await acceptor_.async_accept(kTuple);
      if (!*aAlive || error == asio::error::operation_aborted ||
          error == asio::error::bad_descriptor) {
        co_return;
      }
      if (error) {
        continue;
      }
      beast::error_code ignored;
      socket.set_option(tcp::no_delay(true), ignored);
      asio::co_spawn(
        context_, Serve(aAlive, std::move(socket)), asio::detached);
    }
  }

  /// Reads and answers the requests of one connection in turn.
  asio::awaitable<void> Serve(Alive aAlive, tcp::socket aSocket)
  {
    beast::tcp_stream stream(std::move(aSocket));
    beast::flat_buffer buffer;
    const uint64_t session = ++lastSession_;
    sessions_[session] = &stream;
    bool goOn = true;
    while (goOn) {
      Parser parser;
      parser.header_limit(static_cast<uint32_t>(options_.maxHeaderBytes));
      parser.body_limit(options_.maxBodyBytes);
      const beast::error_code error =
        co_await ReadRequest(stream, buffer, parser);
      if (!*aAlive) {
        co_return;
      }
      if (error) {
        co_await AnswerFault(stream, error);
        break;
      }
      const ExchangeId id = ++lastExchange_;
      busy_.insert({ session, id });
      goOn = co_await Exchange(aAlive, stream, parser.release(), id);
      if (!*aAlive) {
        co_return;
      }
      busy_.erase(session);
      exchanges_.erase(id);
      goOn = goOn && !stopping_;
    }
    sessions_.erase(session);
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
        co_await aStream.async_read_some(aBuffer.prepare(4096), kTuple);
      if (error) {
        co_return http::make_error_code(http::error::end_of_stream);
      }
      aBuffer.commit(bytes);
    }
    aStream.expires_after(options_.requestTimeout);
    auto [error, bytes] =
      co_await http::async_read(aStream, aBuffer, aParser, kTuple);
    aStream.expires_never();
    co_return error;
  }

  asio::awaitable<void> AnswerFault(beast::tcp_stream& aStream,
                                    beast::error_code aError)
  {
    int status = kBadRequest;
    if (aError == http::error::end_of_stream ||
        aError == asio::error::operation_aborted ||
        aError.category() == asio::error::get_system_category()) {
      co_return;
    }
    if (aError == http::error::body_limit) {
      status = kTooLarge;
    } else if (aError == http::error::header_limit) {
      status = kHeaderTooLarge;
    } else if (aError == beast::error::timeout) {
      status = kTimeout;
    }
    http::response<http::string_body> response(
      static_cast<http::status>(status), kKeepAliveVersion);
    response.set(http::field::content_type, "application/json");
    response.keep_alive(false);
    response.body() =
      options_.errorBody ? options_.errorBody(status, aError.message()) : "";
    response.prepare_payload();
    aStream.expires_after(options_.writeTimeout);
    co_await http::async_write(aStream, response, kTuple);
  }

  /// Gives one request to its owner and drains the answer.
  asio::awaitable<bool> Exchange(Alive aAlive,
                                 beast::tcp_stream& aStream,
                                 http::request<http::string_body> aRequest,
                                 ExchangeId aId)
  {
    const bool keepAlive = aRequest.keep_alive();
    exchanges_[aId] = std::make_unique<ExchangeRow>(context_);
    HttpRequest request{ std::string(aRequest.method_string()),
                         std::string(aRequest.target()),
                         CopyHeaders(aRequest),
                         std::move(aRequest.body()) };
    callbacks_.onRequest(aId, std::move(request));
    bool headSent = false;
    bool watching = true;
    while (true) {
      ExchangeRow& row = *exchanges_.at(aId);
      if (row.aborted) {
        co_return false;
      }
      if (row.started && !row.streaming) {
        co_return co_await SendWhole(aStream, row, keepAlive) && keepAlive;
      }
      if (row.started && !headSent) {
        headSent = true;
        if (!co_await SendHead(aStream, row)) {
          co_return Gone(aAlive, aId);
        }
        continue;
      }
      if (!row.out.empty()) {
        if (!co_await SendChunks(aStream, row)) {
          co_return Gone(aAlive, aId);
        }
        if (*aAlive && callbacks_.onWritten) {
          callbacks_.onWritten(aId);
        }
        continue;
      }
      if (row.finished) {
        co_return co_await SendLast(aStream) && keepAlive;
      }
      if (!co_await WaitForNews(aStream, row, watching)) {
        co_return Gone(aAlive, aId);
      }
      if (!*aAlive) {
        co_return false;
      }
    }
  }

  bool Gone(const Alive& aAlive, ExchangeId aId)
  {
    if (*aAlive && callbacks_.onClientDisconnected) {
      callbacks_.onClientDisconnected(aId);
    }
    return false;
  }

  /// Waits for more to send; false when the client has gone.
  asio::awaitable<bool> WaitForNews(beast::tcp_stream& aStream,
                                    ExchangeRow& aRow,
                                    bool& aWatching)
  {
    if (!aWatching) {
      co_await aRow.wake.async_wait(kTuple);
      aRow.wake.expires_at(asio::steady_timer::time_point::max());
      co_return true;
    }
    const auto result =
      co_await (aRow.wake.async_wait(kTuple) ||
                aStream.socket().async_wait(tcp::socket::wait_read, kTuple));
    aRow.wake.expires_at(asio::steady_timer::time_point::max());
    if (result.index() == 0) {
      co_return true;
    }
    beast::error_code error;
    char byte = 0;
    const std::size_t bytes = aStream.socket().receive(
      asio::buffer(&byte, 1), tcp::socket::message_peek, error);
    // A client may send its next request early; then nothing more is watched.
    aWatching = false;
    co_return !error && bytes > 0;
  }

  template<class Response>
  static void SetHeaders(Response& aResponse, const Headers& aHeaders)
  {
    for (const auto& [name, value] : aHeaders) {
      aResponse.insert(name, value);
    }
  }

  asio::awaitable<bool> SendWhole(beast::tcp_stream& aStream,
                                  ExchangeRow& aRow,
                                  bool aKeepAlive)
  {
    http::response<http::string_body> response(
      static_cast<http::status>(aRow.status), kKeepAliveVersion);
    SetHeaders(response, aRow.headers);
    response.keep_alive(aKeepAlive && !stopping_);
    response.body() = std::move(aRow.out.front());
    response.prepare_payload();
    aStream.expires_after(options_.writeTimeout);
    const auto [error, bytes] =
      co_await http::async_write(aStream, response, kTuple);
    aStream.expires_never();
    co_return !error;
  }

  asio::awaitable<bool> SendHead(beast::tcp_stream& aStream, ExchangeRow& aRow)
  {
    http::response<http::empty_body> response(
      static_cast<http::status>(aRow.status), kKeepAliveVersion);
    SetHeaders(response, aRow.headers);
    response.chunked(true);
    http::response_serializer<http::empty_body> serializer(response);
    aStream.expires_after(options_.writeTimeout);
    const auto [error, bytes] =
      co_await http::async_write_header(aStream, serializer, kTuple);
    aStream.expires_never();
    co_return !error;
  }

  /// Sends all that waits as one chunk.
  asio::awaitable<bool> SendChunks(beast::tcp_stream& aStream,
                                   ExchangeRow& aRow)
  {
    std::string data = std::move(aRow.out.front());
    aRow.out.pop_front();
    while (!aRow.out.empty()) {
      data += aRow.out.front();
      aRow.out.pop_front();
    }
    aStream.expires_after(options_.writeTimeout);
    const auto [error, bytes] = co_await asio::async_write(
      aStream, http::make_chunk(asio::buffer(data)), kTuple);
    aStream.expires_never();
    aRow.pending -= std::min(aRow.pending, data.size());
    co_return !error;
  }

  asio::awaitable<bool> SendLast(beast::tcp_stream& aStream)
  {
    aStream.expires_after(options_.writeTimeout);
    const auto [error, bytes] =
      co_await asio::async_write(aStream, http::make_chunk_last(), kTuple);
    aStream.expires_never();
    co_return !error;
  }

  asio::io_context& context_;
  HttpServerOptions options_;
  HttpServerCallbacks callbacks_;
  tcp::acceptor acceptor_;
  Alive alive_;
  std::map<ExchangeId, std::unique_ptr<ExchangeRow>> exchanges_;
  std::map<uint64_t, beast::tcp_stream*> sessions_;
  std::map<uint64_t, ExchangeId> busy_;
  uint64_t lastSession_ = 0;
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
