#include "hibiscusnotch/net/http_client.hpp"

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

namespace hibiscusnotch::net {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;

constexpr auto kTuple = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t kReadSize = 16 * 1024;
constexpr std::size_t kIdlePerEndpoint = 64;
constexpr uint32_t kHeaderLimit = 64 * 1024;
constexpr unsigned kHttpVersion = 11;

using Connection = std::unique_ptr<beast::tcp_stream>;

struct IdleRow
{
  core::Endpoint endpoint;
  Connection connection;
};

/// One call that runs.
struct CallRow
{
  explicit CallRow(asio::io_context& aContext)
    : wake(aContext)
  {
    wake.expires_at(asio::steady_timer::time_point::max());
  }

  HttpCallObserver events;
  beast::tcp_stream* stream = nullptr;
  bool paused = false;
  asio::steady_timer wake;
};

std::string
Name(const core::Endpoint& aEndpoint)
{
  return aEndpoint.address + ":" + std::to_string(aEndpoint.port);
}

class ClientImplementation : public HttpClient
{
public:
  ClientImplementation(asio::io_context& aContext,
                       std::function<void(const core::Endpoint&)> aIdleClosed)
    : context_(aContext)
    , idleClosed_(std::move(aIdleClosed))
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

  HttpCallId Stream(HttpCall aCall, HttpCallObserver aEvents) override
  {
    const HttpCallId number = ++lastCall_;
    auto row = std::make_shared<CallRow>(context_);
    row->events = std::move(aEvents);
    calls_[number] = row;
    asio::co_spawn(
      context_, Run(alive_, number, std::move(aCall)), asio::detached);
    return number;
  }

  void Cancel(HttpCallId aCall) override
  {
    const auto found = calls_.find(aCall);
    if (found == calls_.end()) {
      return;
    }
    const std::shared_ptr<CallRow> row = found->second;
    calls_.erase(found);
    Close(*row);
  }

  void SetPaused(HttpCallId aCall, bool aPaused) override
  {
    const auto found = calls_.find(aCall);
    if (found == calls_.end()) {
      return;
    }
    found->second->paused = aPaused;
    if (!aPaused) {
      found->second->wake.cancel();
    }
  }

  HttpCallId Send(HttpCall aCall,
                  std::function<void(CallOutcome, HttpResponse)> aDone) override
  {
    auto reply = std::make_shared<HttpResponse>();
    HttpCallObserver events;
    events.onHead = [reply](const HttpResponse& aHead) { *reply = aHead; };
    events.onData = [reply](std::string_view aData) { reply->body += aData; };
    events.onEnd = [reply, done = std::move(aDone)](CallOutcome aOutcome) {
      done(aOutcome, std::move(*reply));
    };
    return Stream(std::move(aCall), std::move(events));
  }

  void CloseAll() override
  {
    for (auto& [number, row] : calls_) {
      Close(*row);
    }
    calls_.clear();
    idle_.clear();
  }

private:
  using Alive = std::shared_ptr<bool>;
  using Parser = http::response_parser<http::buffer_body>;

  static void Close(CallRow& aRow)
  {
    if (aRow.stream) {
      beast::error_code ignored;
      aRow.stream->socket().close(ignored);
    }
    aRow.wake.cancel();
  }

  Connection TakeIdle(const core::Endpoint& aEndpoint)
  {
    for (auto it = idle_.begin(); it != idle_.end(); ++it) {
      const bool same = it->second.endpoint.port == aEndpoint.port &&
                        it->second.endpoint.address == aEndpoint.address;
      if (!same) {
        continue;
      }
      Connection connection = std::move(it->second.connection);
      idle_.erase(it);
      beast::error_code ignored;
      connection->socket().cancel(ignored);
      return connection;
    }
    return nullptr;
  }

  void KeepIdle(const core::Endpoint& aEndpoint, Connection aConnection)
  {
    std::size_t same = 0;
    for (const auto& [id, row] : idle_) {
      same += row.endpoint.address == aEndpoint.address ? 1 : 0;
    }
    if (same >= kIdlePerEndpoint) {
      return;
    }
    const uint64_t id = ++lastIdle_;
    idle_[id] = IdleRow{ aEndpoint, std::move(aConnection) };
    asio::co_spawn(context_, WatchIdle(alive_, id), asio::detached);
  }

  asio::awaitable<void> WatchIdle(Alive aAlive, uint64_t aId)
  {
    const auto watched = idle_.find(aId);
    if (watched == idle_.end()) {
      co_return;
    }
    co_await watched->second.connection->socket().async_wait(
      tcp::socket::wait_read, kTuple);
    if (!*aAlive) {
      co_return;
    }
    const auto found = idle_.find(aId);
    if (found == idle_.end()) {
      co_return;
    }
    const core::Endpoint endpoint = found->second.endpoint;
    idle_.erase(found);
    if (idleClosed_) {
      idleClosed_(endpoint);
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
      tcp::endpoint(address, aCall.to.port), kTuple);
    if (failed) {
      co_return nullptr;
    }
    connection->socket().set_option(tcp::no_delay(true), error);
    co_return connection;
  }

  void End(HttpCallId aNumber, CallOutcome aOutcome)
  {
    const auto found = calls_.find(aNumber);
    if (found == calls_.end()) {
      return;
    }
    const std::shared_ptr<CallRow> row = found->second;
    calls_.erase(found);
    row->events.onEnd(aOutcome);
  }

  asio::awaitable<void> Run(Alive aAlive, HttpCallId aNumber, HttpCall aCall)
  {
    Connection connection;
    if (!aCall.newConnection) {
      connection = TakeIdle(aCall.to);
    }
    if (!connection) {
      connection = co_await Connect(aCall);
    }
    if (!*aAlive || !calls_.contains(aNumber)) {
      co_return;
    }
    if (!connection) {
      End(aNumber, CallOutcome::NotSent);
      co_return;
    }
    const std::shared_ptr<CallRow> row = calls_.at(aNumber);
    row->stream = connection.get();
    bool reusable = false;
    const CallOutcome outcome =
      co_await Talk(aAlive, aNumber, aCall, *connection, reusable);
    row->stream = nullptr;
    if (!*aAlive) {
      co_return;
    }
    if (outcome == CallOutcome::Complete && reusable) {
      KeepIdle(aCall.to, std::move(connection));
    }
    End(aNumber, outcome);
  }

  asio::awaitable<CallOutcome> Talk(Alive aAlive,
                                    HttpCallId aNumber,
                                    const HttpCall& aCall,
                                    beast::tcp_stream& aStream,
                                    bool& aReusable)
  {
    http::request<http::string_body> request(
      http::string_to_verb(aCall.method), aCall.target, kHttpVersion);
    request.set(http::field::host, Name(aCall.to));
    for (const auto& [name, value] : aCall.headers) {
      request.set(name, value);
    }
    request.body() = aCall.body;
    request.prepare_payload();
    aStream.expires_after(aCall.timeout);
    const auto [error, bytes] =
      co_await http::async_write(aStream, request, kTuple);
    if (error) {
      co_return bytes == 0 ? CallOutcome::NotSent : CallOutcome::ConnectionLost;
    }
    co_return co_await ReadReply(aAlive, aNumber, aCall, aStream, aReusable);
  }

  asio::awaitable<CallOutcome> ReadReply(Alive aAlive,
                                         HttpCallId aNumber,
                                         const HttpCall& aCall,
                                         beast::tcp_stream& aStream,
                                         bool& aReusable)
  {
    beast::flat_buffer buffer;
    Parser parser;
    parser.header_limit(kHeaderLimit);
    parser.body_limit(boost::none);
    aStream.expires_after(aCall.timeout);
    const auto [error, bytes] =
      co_await http::async_read_header(aStream, buffer, parser, kTuple);
    if (!*aAlive || !calls_.contains(aNumber) || error) {
      co_return CallOutcome::ConnectionLost;
    }
    HttpResponse head;
    head.status = parser.get().result_int();
    for (const auto& field : parser.get()) {
      head.headers.emplace_back(std::string(field.name_string()),
                                std::string(field.value()));
    }
    const std::shared_ptr<CallRow> row = calls_.at(aNumber);
    row->events.onHead(head);
    std::array<char, kReadSize> data;
    while (!parser.is_done()) {
      if (!co_await WaitWhilePaused(aAlive, aNumber, row)) {
        co_return CallOutcome::ConnectionLost;
      }
      parser.get().body().data = data.data();
      parser.get().body().size = data.size();
      aStream.expires_after(aCall.timeout);
      const auto [failed, count] =
        co_await http::async_read_some(aStream, buffer, parser, kTuple);
      if (!*aAlive || !calls_.contains(aNumber)) {
        co_return CallOutcome::ConnectionLost;
      }
      if (failed && failed != http::error::need_buffer) {
        co_return CallOutcome::ConnectionLost;
      }
      const std::size_t size = data.size() - parser.get().body().size;
      if (size > 0) {
        row->events.onData(std::string_view(data.data(), size));
      }
      if (!*aAlive || !calls_.contains(aNumber)) {
        co_return CallOutcome::ConnectionLost;
      }
    }
    aStream.expires_never();
    aReusable = parser.get().keep_alive();
    co_return CallOutcome::Complete;
  }

  asio::awaitable<bool> WaitWhilePaused(Alive aAlive,
                                        HttpCallId aNumber,
                                        std::shared_ptr<CallRow> aRow)
  {
    while (aRow->paused) {
      co_await aRow->wake.async_wait(kTuple);
      if (!*aAlive || !calls_.contains(aNumber)) {
        co_return false;
      }
    }
    co_return true;
  }

  asio::io_context& context_;
  std::function<void(const core::Endpoint&)> idleClosed_;
  Alive alive_;
  std::map<HttpCallId, std::shared_ptr<CallRow>> calls_;
  std::map<uint64_t, IdleRow> idle_;
  HttpCallId lastCall_ = 0;
  uint64_t lastIdle_ = 0;
};

} // namespace

std::unique_ptr<HttpClient>
MakeHttpClient(asio::io_context& aContext,
               std::function<void(const core::Endpoint&)> aIdleClosed)
{
  return std::make_unique<ClientImplementation>(aContext,
                                                std::move(aIdleClosed));
}

} // namespace hibiscusnotch::net
