#include "hibiscusnotch/net/http_client.hpp"

#include "hibiscusnotch/net/message_syntax.hpp"
#include "hibiscusnotch/net/request_receipt.hpp"

#include <array>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <map>
#include <optional>

namespace hibiscusnotch::net {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;

constexpr auto kAwaitAsTuple = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t kReadBufferBytes = 16 * 1024;
constexpr std::size_t kMaxIdlePerAddress = 64;
constexpr uint32_t kMaxHeaderBytes = 64 * 1024;
// What is not parsed yet; also limits a chunk's size line and trailers.
constexpr std::size_t kMaxUnparsedBytes = 2 * kMaxHeaderBytes;
// A process that is killed closes its listening sockets soon after its
// connections, later on a busy processor.
constexpr std::chrono::milliseconds kExitTime{ 100 };
// Of a response that is delivered as a whole.
constexpr std::size_t kMaxBodyBytes = 16 * 1024 * 1024;
constexpr unsigned kHttpVersion = 11;

using Connection = std::unique_ptr<beast::tcp_stream>;

struct IdleConnection
{
  core::Endpoint endpoint;
  Connection connection;
};

/// A call in progress.
struct ActiveCall
{
  explicit ActiveCall(asio::io_context& aContext)
    : resumeSignal(aContext)
  {
    resumeSignal.expires_at(asio::steady_timer::time_point::max());
  }

  HttpCallObserver observer;
  beast::tcp_stream* stream = nullptr;
  bool paused = false;
  /// Never expires; cancelled to wake a waiter.
  asio::steady_timer resumeSignal;
};

std::string
HostField(const core::Endpoint& aEndpoint)
{
  return aEndpoint.address + ":" + std::to_string(aEndpoint.port);
}

class ClientImplementation : public HttpClient
{
public:
  ClientImplementation(asio::io_context& aContext,
                       std::function<void(const core::Endpoint&)> aOnIdleClosed)
    : context_(aContext)
    , onIdleClosed_(std::move(aOnIdleClosed))
    , alive_(std::make_shared<bool>(true))
  {
  }

  ~ClientImplementation() override
  {
    *alive_ = false;
    CloseAll();
  }

  ClientImplementation(const ClientImplementation&) = delete;
  ClientImplementation& operator=(const ClientImplementation&) = delete;

  HttpCallId Stream(HttpCall aCall, HttpCallObserver aObserver) override
  {
    const HttpCallId id = ++lastCall_;
    auto call = std::make_shared<ActiveCall>(context_);
    call->observer = std::move(aObserver);
    calls_[id] = call;
    asio::co_spawn(
      context_, RunCall(alive_, id, std::move(aCall)), asio::detached);
    return id;
  }

  void Cancel(HttpCallId aCall) override
  {
    const auto found = calls_.find(aCall);
    if (found == calls_.end()) {
      return;
    }
    const std::shared_ptr<ActiveCall> call = found->second;
    calls_.erase(found);
    Close(*call);
  }

  void SetPaused(HttpCallId aCall, bool aPaused) override
  {
    const auto found = calls_.find(aCall);
    if (found == calls_.end()) {
      return;
    }
    found->second->paused = aPaused;
    if (!aPaused) {
      found->second->resumeSignal.cancel();
    }
  }

  HttpCallId Send(HttpCall aCall,
                  std::function<void(CallOutcome, HttpResponse)> aDone) override
  {
    auto response = std::make_shared<HttpResponse>();
    HttpCallObserver observer;
    observer.onHead = [response](const HttpResponse& aHead) {
      *response = aHead;
    };
    const HttpCallId id = lastCall_ + 1;
    const auto tooLong = std::make_shared<bool>(false);
    observer.onData = [this, id, response, tooLong](std::string_view aData) {
      *tooLong =
        *tooLong || response->body.size() + aData.size() > kMaxBodyBytes;
      if (*tooLong) {
        Close(*calls_.at(id)); // the next read fails
      } else {
        response->body += aData;
      }
    };
    observer.onEnd =
      [response, tooLong, done = std::move(aDone)](CallOutcome aOutcome) {
        done(*tooLong ? CallOutcome::ConnectionLost : aOutcome,
             std::move(*response));
      };
    aCall.timeoutIsTotal = true;
    return Stream(std::move(aCall), std::move(observer));
  }

  void CloseAll() override
  {
    for (auto& [id, call] : calls_) {
      Close(*call);
    }
    calls_.clear();
    idleConnections_.clear();
  }

private:
  using Alive = std::shared_ptr<bool>;
  using Parser = http::response_parser<http::buffer_body>;

  /// True if another response follows (RFC 9110, section 15.2).
  static bool IsInterim(const Parser& aParser)
  {
    return aParser.get().result_int() / 100 == 1 &&
           aParser.get().result() != http::status::switching_protocols;
  }

  static void Close(ActiveCall& aActiveCall)
  {
    if (aActiveCall.stream) {
      beast::error_code ignored;
      aActiveCall.stream->socket().close(ignored);
    }
    aActiveCall.resumeSignal.cancel();
  }

  Connection AcquireIdle(const core::Endpoint& aEndpoint)
  {
    for (auto it = idleConnections_.begin(); it != idleConnections_.end();
         ++it) {
      const bool matches = it->second.endpoint.port == aEndpoint.port &&
                           it->second.endpoint.address == aEndpoint.address;
      if (!matches) {
        continue;
      }
      Connection connection = std::move(it->second.connection);
      idleConnections_.erase(it);
      beast::error_code ignored;
      connection->socket().cancel(ignored);
      return connection;
    }
    return nullptr;
  }

  void ReleaseIdle(const core::Endpoint& aEndpoint, Connection aConnection)
  {
    std::size_t idleAtAddress = 0;
    for (const auto& [id, idle] : idleConnections_) {
      idleAtAddress += idle.endpoint.address == aEndpoint.address ? 1 : 0;
    }
    if (idleAtAddress >= kMaxIdlePerAddress) {
      return;
    }
    const uint64_t id = ++lastIdle_;
    idleConnections_[id] = IdleConnection{ aEndpoint, std::move(aConnection) };
    asio::co_spawn(context_, MonitorIdle(alive_, id), asio::detached);
  }

  asio::awaitable<void> MonitorIdle(Alive aAlive, uint64_t aId)
  {
    const auto watched = idleConnections_.find(aId);
    if (watched == idleConnections_.end()) {
      co_return;
    }
    co_await watched->second.connection->socket().async_wait(
      tcp::socket::wait_read, kAwaitAsTuple);
    if (!*aAlive) {
      co_return;
    }
    const auto found = idleConnections_.find(aId);
    if (found == idleConnections_.end()) {
      co_return;
    }
    const core::Endpoint endpoint = found->second.endpoint;
    idleConnections_.erase(found);
    if (onIdleClosed_) {
      onIdleClosed_(endpoint);
    }
  }

  asio::awaitable<Connection> Connect(const HttpCall& aCall)
  {
    auto connection = std::make_unique<beast::tcp_stream>(context_);
    beast::error_code error;
    const auto address = asio::ip::make_address(aCall.to.address, error);
    if (error) {
      co_return nullptr;
    }
    connection->expires_after(aCall.connectTimeout);
    const auto [failed] = co_await connection->async_connect(
      tcp::endpoint(address, aCall.to.port), kAwaitAsTuple);
    if (failed) {
      co_return nullptr;
    }
    connection->socket().set_option(tcp::no_delay(true), error);
    co_return connection;
  }

  void End(HttpCallId aId, CallOutcome aOutcome)
  {
    const auto found = calls_.find(aId);
    if (found == calls_.end()) {
      return;
    }
    const std::shared_ptr<ActiveCall> call = found->second;
    calls_.erase(found);
    call->observer.onEnd(aOutcome);
  }

  asio::awaitable<void> RunCall(Alive aAlive, HttpCallId aId, HttpCall aCall)
  {
    Connection connection;
    if (!aCall.newConnection) {
      connection = AcquireIdle(aCall.to);
    }
    if (!connection) {
      connection = co_await Connect(aCall);
    }
    if (!*aAlive || !calls_.contains(aId)) {
      co_return;
    }
    if (!connection) {
      End(aId, CallOutcome::NotSent);
      co_return;
    }
    const std::shared_ptr<ActiveCall> call = calls_.at(aId);
    call->stream = connection.get();
    bool reusable = false;
    const CallOutcome outcome =
      co_await SendAndReceive(aAlive, aId, aCall, *connection, reusable);
    call->stream = nullptr;
    if (!*aAlive) {
      co_return;
    }
    if (outcome == CallOutcome::Complete && reusable) {
      ReleaseIdle(aCall.to, std::move(connection));
    }
    End(aId, outcome);
  }

  asio::awaitable<CallOutcome> SendAndReceive(Alive aAlive,
                                              HttpCallId aId,
                                              const HttpCall& aCall,
                                              beast::tcp_stream& aStream,
                                              bool& aReusable)
  {
    http::request<http::string_body> request(
      http::string_to_verb(aCall.method), aCall.target, kHttpVersion);
    request.set(http::field::host, HostField(aCall.to));
    for (const auto& [name, value] : aCall.headers) {
      request.set(name, value);
    }
    request.body() = aCall.body;
    request.prepare_payload();
    aStream.expires_after(aCall.timeout);
    const auto [error, bytes] =
      co_await http::async_write(aStream, request, kAwaitAsTuple);
    if (error) {
      co_return bytes == 0 ? CallOutcome::NotSent : CallOutcome::ConnectionLost;
    }
    co_return co_await ReadResponse(aAlive, aId, aCall, aStream, aReusable);
  }

  asio::awaitable<CallOutcome> ReadResponse(Alive aAlive,
                                            HttpCallId aId,
                                            const HttpCall& aCall,
                                            beast::tcp_stream& aStream,
                                            bool& aReusable)
  {
    beast::flat_buffer buffer(kMaxUnparsedBytes);
    std::optional<Parser> response;
    aStream.expires_after(aCall.timeout);
    do {
      response.emplace();
      response->header_limit(kMaxHeaderBytes);
      response->body_limit(boost::none);
      const bool isRead = co_await ReadHead(aStream, buffer, *response);
      if (!*aAlive || !calls_.contains(aId) || !isRead) {
        co_return CallOutcome::ConnectionLost;
      }
    } while (IsInterim(*response));
    Parser& parser = *response;
    HttpResponse head;
    head.status = parser.get().result_int();
    for (const auto& field : parser.get()) {
      head.headers.emplace_back(std::string(field.name_string()),
                                std::string(field.value()));
    }
    if (!HasKnownCoding(head.headers)) {
      co_return CallOutcome::ConnectionLost;
    }
    const std::shared_ptr<ActiveCall> call = calls_.at(aId);
    call->observer.onHead(head);
    std::array<char, kReadBufferBytes> data;
    while (!parser.is_done()) {
      if (!co_await WaitWhilePaused(aAlive, aId, call)) {
        co_return CallOutcome::ConnectionLost;
      }
      parser.get().body().data = data.data();
      parser.get().body().size = data.size();
      if (!aCall.timeoutIsTotal) {
        aStream.expires_after(aCall.timeout);
      }
      const auto [failed, count] =
        co_await http::async_read_some(aStream, buffer, parser, kAwaitAsTuple);
      if (!*aAlive || !calls_.contains(aId)) {
        co_return CallOutcome::ConnectionLost;
      }
      if (failed && failed != http::error::need_buffer) {
        co_return CallOutcome::ConnectionLost;
      }
      const std::size_t size = data.size() - parser.get().body().size;
      if (size > 0) {
        call->observer.onData(std::string_view(data.data(), size));
      }
      if (!*aAlive || !calls_.contains(aId)) {
        co_return CallOutcome::ConnectionLost;
      }
    }
    aStream.expires_never();
    aReusable = parser.get().keep_alive();
    if (parser.need_eof() &&
        !(co_await IsRequestTaken(aAlive, aCall, aStream) &&
          co_await StillAccepts(aAlive, aCall))) {
      co_return CallOutcome::ConnectionLost;
    }
    co_return CallOutcome::Complete;
  }

  /// Reads a response up to the end of its head; false if it has no valid one.
  static asio::awaitable<bool> ReadHead(beast::tcp_stream& aStream,
                                        beast::flat_buffer& aBuffer,
                                        Parser& aParser)
  {
    while (true) {
      beast::error_code error;
      const asio::const_buffer bytes = aBuffer.data();
      const std::size_t taken = aParser.put(bytes, error);
      // The parser takes whole fields, with their folds.
      if (!HasStrictLines({ static_cast<const char*>(bytes.data()), taken })) {
        co_return false;
      }
      aBuffer.consume(taken);
      if (error && error != http::error::need_more) {
        co_return false;
      }
      if (aParser.is_header_done()) {
        co_return IsValidStatus(aParser.get().result_int());
      }
      const auto [failed, count] = co_await aStream.async_read_some(
        aBuffer.prepare(kReadBufferBytes), kAwaitAsTuple);
      if (failed) {
        co_return false;
      }
      aBuffer.commit(count);
    }
  }

  /// Tells a response that its peer ended early, to read the rest of the
  /// request (RFC 9112, section 9.6), from one that it broke off: the second is
  /// followed by a reset, as the request is not read.
  asio::awaitable<bool> IsRequestTaken(Alive aAlive,
                                       const HttpCall& aCall,
                                       beast::tcp_stream& aStream)
  {
    if (!MayBeAnsweredUnread(aCall.body.size())) {
      co_return true;
    }
    const auto end = std::chrono::steady_clock::now() + aCall.timeout;
    bool wasTaken = false;
    while (std::chrono::steady_clock::now() < end) {
      const auto unacknowledged =
        UnacknowledgedBytes(aStream.socket().native_handle());
      if (!unacknowledged || (wasTaken && *unacknowledged == 0)) {
        co_return unacknowledged.has_value();
      }
      wasTaken = *unacknowledged == 0;
      asio::steady_timer pause(context_, kExitTime);
      co_await pause.async_wait(kAwaitAsTuple);
      if (!*aAlive) {
        co_return false;
      }
    }
    co_return false;
  }

  /// Tells a response that its upstream ended by a close from one that broke
  /// off with the upstream's process: the kernel closes both alike, but only a
  /// process that goes on accepts connections.
  asio::awaitable<bool> StillAccepts(Alive aAlive, const HttpCall& aCall)
  {
    asio::steady_timer exit(context_, kExitTime);
    co_await exit.async_wait(kAwaitAsTuple);
    if (!*aAlive) {
      co_return false;
    }
    co_return co_await Connect(aCall) != nullptr;
  }

  asio::awaitable<bool> WaitWhilePaused(Alive aAlive,
                                        HttpCallId aId,
                                        std::shared_ptr<ActiveCall> aActiveCall)
  {
    while (aActiveCall->paused) {
      co_await aActiveCall->resumeSignal.async_wait(kAwaitAsTuple);
      if (!*aAlive || !calls_.contains(aId)) {
        co_return false;
      }
    }
    co_return true;
  }

  asio::io_context& context_;
  std::function<void(const core::Endpoint&)> onIdleClosed_;
  Alive alive_;
  std::map<HttpCallId, std::shared_ptr<ActiveCall>> calls_;
  std::map<uint64_t, IdleConnection> idleConnections_;
  HttpCallId lastCall_ = 0;
  uint64_t lastIdle_ = 0;
};

} // namespace

std::unique_ptr<HttpClient>
MakeHttpClient(asio::io_context& aContext,
               std::function<void(const core::Endpoint&)> aOnIdleClosed)
{
  return std::make_unique<ClientImplementation>(aContext,
                                                std::move(aOnIdleClosed));
}

} // namespace hibiscusnotch::net
