#include "hibiscusnotch/relay/listener.hpp"

#include "socket_io.hpp"

#include <array>
#include <charconv>
#include <optional>
#include <unordered_map>

namespace hibiscusnotch::relay {

namespace {

using ConnectionId = uint64_t;

// How long a closing connection still reads and drops the client's bytes, so
// that the client receives the response and not a reset.
constexpr Duration kLingeringCloseTimeout{ 1'000'000 };
// While draining, an idle connection stays open for this time, so that a
// request that is already in flight is still answered.
constexpr Duration kDrainIdleTimeout{ 1'000'000 };
// After connections could not be accepted. Those that wait keep the socket
// readable, so that waiting for it would return at once.
constexpr Duration kAcceptPause{ 100'000 };
// An idle connection is not given up before this time, in which the first
// request of a new one arrives.
constexpr Duration kMinIdleTime{ 100'000 };
constexpr std::string_view kRefusal =
  "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\n"
  "Content-Length: 0\r\nConnection: close\r\n\r\n";
constexpr std::size_t kMaxPipelinedBytes = 64 * 1024;
// Shorter bodies are not worth waiting for; those of many requests do not fill
// memory.
constexpr std::size_t kMaxUnboundedBodyBytes = 16 * 1024;
// Longer than bodies take to be passed on, shorter than callers wait.
constexpr Duration kMaxBodyWait{ 2'000'000 };
// Sent bytes at the front of a buffer are dropped from this size on, and empty
// buffers of this size are freed.
constexpr std::size_t kMaxIdleBufferBytes = 64 * 1024;

// Of each client's socket if these are to be small: the kernel's buffers
// take the machine's memory too and grow to megabytes for each slow client. It
// is doubled by the kernel, and enough for 30 MB/s at a round trip of 1 ms.
constexpr int kBoundedSendBufferBytes = 16 * 1024;

enum class Phase
{
  Idle,      ///< Waiting for a request.
  Receiving, ///< Part of a request was received.
  Serving,   ///< The observer handles a request.
  Lingering, ///< Closing; received bytes are dropped.
};

struct Connection
{
  explicit Connection(tcp::socket aSocket)
    : socket(std::move(aSocket))
  {
  }

  tcp::socket socket;
  std::string in;
  std::string out;
  std::size_t written = 0;
  std::unique_ptr<RequestReader> reader;
  uint64_t limitsVersion = 0; ///< Of the reader's limits.
  Phase phase = Phase::Idle;
  TimePoint idleSince{};
  ExchangeId exchange = 0;
  bool chunked = false;
  bool responseStarted = false;
  bool closeAfterResponse = false;
  bool peerClosed = false;
  bool waitingRead = false;
  bool waitingWrite = false;
  bool continueSent = false;
  bool bodyStarted = false;
  TimerId timer = 0;
  std::optional<UnsentBudget::HolderId> holder; ///< While bytes are unsent.
  std::size_t bodyBytes = 0; ///< Taken from the budget of bodies.
  std::optional<BodyBudget::WaiterId> bodyWaiter; ///< Does not read meanwhile.
};

/// True if a failed accept concerns the one connection that it removed from the
/// queue.
bool
ConcernsOneConnection(const boost::system::error_code& aError)
{
  namespace errc = boost::system::errc;
  return aError == errc::connection_aborted || aError == errc::protocol_error ||
         aError == errc::interrupted ||
         aError == errc::operation_not_permitted ||
         aError == errc::network_down || aError == errc::network_unreachable ||
         aError == errc::host_unreachable ||
         aError == errc::no_protocol_option ||
         aError == errc::operation_not_supported;
}

std::string_view
ReasonPhrase(int aStatus)
{
  switch (aStatus) {
    case 400:
      return "Bad Request";
    case 413:
      return "Payload Too Large";
    case 431:
      return "Request Header Fields Too Large";
    default:
      return "Request Timeout";
  }
}

class TcpListener : public Listener
{
public:
  TcpListener(boost::asio::io_context& aContext,
              Timers& aTimers,
              ListenerOptions aOptions,
              ListenerObserver aObserver,
              UnsentBudget* aBudget,
              DescriptorReserve* aReserve,
              BodyBudget* aBodies)
    : timers_(aTimers)
    , options_(std::move(aOptions))
    , observer_(std::move(aObserver))
    , budget_(aBudget)
    , reserve_(aReserve)
    , bodies_(aBodies)
    , acceptor_(aContext)
    , context_(aContext)
  {
    const tcp::endpoint endpoint(
      boost::asio::ip::make_address(options_.endpoint.address),
      options_.endpoint.port);
    acceptor_.open(endpoint.protocol());
    acceptor_.set_option(boost::asio::socket_base::reuse_address(true));
    BindWhenFree(acceptor_, endpoint, options_.bindTimeout);
    acceptor_.listen(boost::asio::socket_base::max_listen_connections);
    acceptor_.non_blocking(true);
    if (reserve_) {
      source_ = reserve_->AddSource([this] { return CloseLongestIdle(); });
    }
    AwaitAccept();
  }

  ~TcpListener() override
  {
    timers_.Cancel(acceptTimer_);
    if (reserve_) {
      reserve_->RemoveSource(source_);
    }
    for (auto& [id, connection] : connections_) {
      timers_.Cancel(connection.timer);
      ReleaseUnsent(connection);
      ReleaseBody(connection);
    }
  }

  TcpListener(const TcpListener&) = delete;
  TcpListener& operator=(const TcpListener&) = delete;

  void Start(ExchangeId aId,
             int aStatus,
             std::string_view aReason,
             const net::Headers& aHeaders,
             Framing aFraming) override
  {
    Connection* connection = FindServing(aId);
    if (!connection || connection->responseStarted) {
      return;
    }
    connection->responseStarted = true;
    connection->chunked = aFraming == Framing::Chunked;
    connection->closeAfterResponse =
      connection->closeAfterResponse || draining_ || closing_;
    std::string& out = connection->out;
    out += "HTTP/1.1 " + std::to_string(aStatus) + ' ';
    out.append(aReason).append("\r\n");
    for (const auto& [name, value] : aHeaders) {
      out.append(name).append(": ").append(value).append("\r\n");
    }
    if (connection->chunked) {
      out += "Transfer-Encoding: chunked\r\n";
    }
    out +=
      connection->closeAfterResponse ? "Connection: close\r\n\r\n" : "\r\n";
  }

  void Write(ExchangeId aId, std::string_view aBytes) override
  {
    Connection* connection = FindServing(aId);
    if (!connection || !connection->responseStarted || aBytes.empty()) {
      return;
    }
    if (connection->chunked) {
      std::array<char, 16> size{};
      const auto end = std::to_chars(
        size.data(), size.data() + size.size(), aBytes.size(), 16);
      connection->out.append(size.data(), end.ptr).append("\r\n");
      connection->out.append(aBytes).append("\r\n");
    } else {
      connection->out.append(aBytes);
    }
    Flush(ConnectionOf(aId));
    AccountUnsent(ConnectionOf(aId));
  }

  void Finish(ExchangeId aId) override
  {
    Connection* connection = FindServing(aId);
    if (!connection) {
      return;
    }
    if (connection->chunked) {
      connection->out += "0\r\n\r\n";
    }
    const ConnectionId id = ConnectionOf(aId);
    --openExchanges_;
    ReleaseBody(*connection);
    connection->responseStarted = false;
    connection->chunked = false;
    if (connection->closeAfterResponse) {
      connection->phase = Phase::Lingering;
      SetTimer(id, *connection, kLingeringCloseTimeout);
      Flush(id);
      return;
    }
    connection->phase = Phase::Idle;
    connection->idleSince = timers_.Now();
    Flush(id);
    if (Connection* still = Find(id)) {
      StartReader(*still);
      still->continueSent = false;
      Parse(id);
    }
  }

  void Abort(ExchangeId aId) override
  {
    if (FindServing(aId)) {
      Close(ConnectionOf(aId), false);
    }
  }

  std::size_t UnsentBytes(ExchangeId aId) const override
  {
    const auto connection = connections_.find(ConnectionOf(aId));
    return connection == connections_.end()
             ? 0
             : connection->second.out.size() - connection->second.written;
  }

  void SetOptions(const ListenerOptions& aOptions) override
  {
    options_.limits = aOptions.limits;
    ++limitsVersion_;
    options_.headerTimeout = aOptions.headerTimeout;
    options_.bodyTimeout = aOptions.bodyTimeout;
    if (options_.idleTimeout == aOptions.idleTimeout) {
      return;
    }
    options_.idleTimeout = aOptions.idleTimeout;
    if (draining_) {
      return; // closes idle connections sooner
    }
    for (auto& [id, connection] : connections_) {
      if (connection.phase == Phase::Idle) {
        SetTimer(id,
                 connection,
                 std::max(Duration::zero(),
                          connection.idleSince + options_.idleTimeout -
                            timers_.Now()));
      }
    }
  }

  void Drain() override
  {
    draining_ = true;
    for (auto& [id, connection] : connections_) {
      if (connection.phase == Phase::Idle) {
        SetTimer(id, connection, kDrainIdleTimeout);
      }
    }
  }

  void SetCloseAfterResponse(bool aClosing) override { closing_ = aClosing; }

  void StopAccepting() override
  {
    timers_.Cancel(std::exchange(acceptTimer_, 0));
    boost::system::error_code ignored;
    acceptor_.close(ignored);
  }

  std::size_t OpenExchanges() const override { return openExchanges_; }
  std::size_t OpenConnections() const override { return connections_.size(); }
  uint16_t Port() const override { return acceptor_.local_endpoint().port(); }

private:
  // An exchange id holds the connection's id above a number within it.
  static constexpr int kExchangeBits = 24;
  static ConnectionId ConnectionOf(ExchangeId aId)
  {
    return aId >> kExchangeBits;
  }

  Connection* Find(ConnectionId aId)
  {
    const auto connection = connections_.find(aId);
    return connection == connections_.end() ? nullptr : &connection->second;
  }

  Connection* FindServing(ExchangeId aId)
  {
    Connection* connection = Find(ConnectionOf(aId));
    return connection && connection->exchange == aId &&
               connection->phase == Phase::Serving
             ? connection
             : nullptr;
  }

  void AwaitAccept()
  {
    acceptor_.async_wait(tcp::acceptor::wait_read,
                         [this, alive = std::weak_ptr(alive_)](
                           const boost::system::error_code& aError) {
                           if (alive.expired() || !acceptor_.is_open()) {
                             return;
                           }
                           if (!aError && AcceptAll()) {
                             AwaitAccept();
                           } else {
                             acceptTimer_ = timers_.After(kAcceptPause, [this] {
                               acceptTimer_ = 0;
                               AwaitAccept();
                             });
                           }
                         });
  }

  /// Accepts the connections that wait; false if one cannot be accepted now.
  bool AcceptAll()
  {
    while (true) {
      boost::system::error_code error;
      tcp::socket socket(context_);
      acceptor_.accept(socket, error);
      if (IsShortage(error)) {
        if (!AcceptWithoutRoom(socket)) {
          return false;
        }
      } else if (error == boost::asio::error::would_block) {
        return true;
      } else if (ConcernsOneConnection(error)) {
        continue;
      } else if (error) {
        return false;
      }
      if (socket.is_open()) {
        AddConnection(std::move(socket));
      }
    }
  }

  /// Accepts one connection in place of an idle one, or refuses it at once, so
  /// that its client does not wait; false if there is no means for either. The
  /// socket is open if the connection is to be served.
  bool AcceptWithoutRoom(tcp::socket& aSocket)
  {
    if (!reserve_) {
      return false;
    }
    boost::system::error_code error;
    if (reserve_->MakeRoom()) {
      acceptor_.accept(aSocket, error);
      return !error;
    }
    if (options_.usesReserve && reserve_->TakeHeld(false)) {
      acceptor_.accept(aSocket, error);
      return !error;
    }
    if (!reserve_->TakeHeld(true)) {
      return false;
    }
    acceptor_.accept(aSocket, error);
    if (!error) {
      Refuse(aSocket);
      reserve_->RecordRefusal();
    }
    reserve_->Refill();
    return !error;
  }

  static void Refuse(tcp::socket& aSocket)
  {
    PrepareSocket(aSocket);
    boost::system::error_code ignored;
    // Unread bytes would turn the close into a reset, which can overtake the
    // response.
    std::string request;
    ReadSome(aSocket, request, ignored);
    std::size_t written = 0;
    WriteSome(aSocket, std::string(kRefusal), written, ignored);
    aSocket.close(ignored);
  }

  void AddConnection(tcp::socket aSocket)
  {
    PrepareSocket(aSocket);
    boost::system::error_code ignored;
    if (options_.smallSendBuffers) {
      aSocket.set_option(
        boost::asio::socket_base::send_buffer_size(kBoundedSendBufferBytes),
        ignored);
    }
    const ConnectionId id = ++lastConnection_;
    Connection& connection =
      connections_.try_emplace(id, std::move(aSocket)).first->second;
    StartReader(connection);
    connection.exchange = id << kExchangeBits;
    connection.idleSince = timers_.Now();
    SetTimer(id, connection, options_.idleTimeout);
    AwaitRead(id, connection);
  }

  /// Gives up the connection that has been idle longest; false if there is
  /// none.
  bool CloseLongestIdle()
  {
    const TimePoint idleBefore = timers_.Now() - kMinIdleTime;
    auto longest = connections_.end();
    for (auto it = connections_.begin(); it != connections_.end(); ++it) {
      const Connection& connection = it->second;
      boost::system::error_code error;
      if (connection.phase == Phase::Idle &&
          connection.idleSince <= idleBefore && connection.out.empty() &&
          (longest == connections_.end() ||
           connection.idleSince < longest->second.idleSince) &&
          connection.socket.available(error) == 0) {
        longest = it;
      }
    }
    if (longest == connections_.end()) {
      return false;
    }
    Close(longest->first, false);
    return true;
  }

  void AwaitRead(ConnectionId aId, Connection& aConnection)
  {
    if (aConnection.waitingRead || aConnection.peerClosed ||
        aConnection.bodyWaiter) {
      return;
    }
    if (aConnection.phase == Phase::Serving &&
        aConnection.in.size() >= kMaxPipelinedBytes) {
      return;
    }
    aConnection.waitingRead = true;
    aConnection.socket.async_wait(tcp::socket::wait_read,
                                  [this, aId, alive = std::weak_ptr(alive_)](
                                    const boost::system::error_code& aError) {
                                    if (alive.expired()) {
                                      return;
                                    }
                                    if (Connection* connection = Find(aId)) {
                                      connection->waitingRead = false;
                                      if (aError) {
                                        Close(aId, true);
                                      } else {
                                        OnReadable(aId, *connection);
                                      }
                                    }
                                  });
  }

  void OnReadable(ConnectionId aId, Connection& aConnection)
  {
    boost::system::error_code error;
    ReadSome(aConnection.socket, aConnection.in, error);
    if (error) {
      const bool responded = aConnection.phase != Phase::Serving;
      aConnection.peerClosed = true;
      if (responded && aConnection.written < aConnection.out.size() &&
          error == boost::asio::error::eof) {
        aConnection.closeAfterResponse = true;
        return;
      }
      Close(aId, false);
      return;
    }
    if (aConnection.phase == Phase::Lingering) {
      aConnection.in.clear();
    } else if (aConnection.phase != Phase::Serving) {
      Parse(aId);
    }
    if (Connection* connection = Find(aId)) {
      AwaitRead(aId, *connection);
    }
  }

  void Parse(ConnectionId aId)
  {
    Connection* connection = Find(aId);
    if (!connection) {
      return;
    }
    const bool wasIdle = connection->phase == Phase::Idle;
    if (wasIdle && connection->limitsVersion != limitsVersion_) {
      StartReader(*connection); // nothing of the request has been read
    }
    const ReadState state = connection->reader->Read(connection->in);
    if (state == ReadState::Malformed) {
      Reject(aId, *connection, connection->reader->ErrorStatus());
      return;
    }
    if (state == ReadState::NeedMore) {
      if (connection->in.empty() && !connection->reader->WaitsForBody()) {
        SetTimer(aId,
                 *connection,
                 draining_ ? kDrainIdleTimeout : options_.idleTimeout);
      } else if (wasIdle) {
        connection->phase = Phase::Receiving;
        SetTimer(aId, *connection, options_.headerTimeout);
      }
      if (connection->reader->WaitsForBody() && !TakeBody(aId, *connection)) {
        return;
      }
      if (connection->reader->WaitsForBody() && !connection->bodyStarted) {
        connection->bodyStarted = true;
        SetTimer(aId, *connection, options_.bodyTimeout);
      }
      if (connection->reader->ExpectsContinue() && !connection->continueSent) {
        connection->continueSent = true;
        connection->out += "HTTP/1.1 100 Continue\r\n\r\n";
        Flush(aId);
        connection = Find(aId);
      }
      if (connection) {
        AwaitRead(aId, *connection);
      }
      return;
    }
    timers_.Cancel(std::exchange(connection->timer, 0));
    net::HttpRequest request = connection->reader->TakeRequest();
    CountBody(*connection, request.body.size());
    connection->closeAfterResponse = !connection->reader->KeepAlive();
    connection->bodyStarted = false;
    connection->phase = Phase::Serving;
    const ExchangeId exchange = ++connection->exchange;
    ++openExchanges_;
    AwaitRead(aId, *connection);
    observer_.onRequest(exchange, std::move(request));
  }

  void StartReader(Connection& aConnection) const
  {
    aConnection.reader = MakeRequestReader(options_.limits);
    aConnection.limitsVersion = limitsVersion_;
  }

  /// Takes what the request's body may need from the budget; false while it
  /// waits for that.
  bool TakeBody(ConnectionId aId, Connection& aConnection)
  {
    const RequestReader& reader = *aConnection.reader;
    const std::size_t expected =
      reader.HasBodyLength() ? reader.MaxBodyBytes() : reader.ReadBodyBytes();
    if (!bodies_ || aConnection.bodyBytes > 0 ||
        expected <= kMaxUnboundedBodyBytes) {
      return true;
    }
    const std::size_t bytes = reader.MaxBodyBytes();
    if (bodies_->TryTake(bytes)) {
      aConnection.bodyBytes = bytes;
      return true;
    }
    aConnection.bodyWaiter = bodies_->Wait(bytes, [this, aId, bytes] {
      if (Connection* connection = Find(aId)) {
        connection->bodyWaiter.reset();
        connection->bodyBytes = bytes;
        SetTimer(aId, *connection, options_.bodyTimeout);
        // Not from here: the budget still admits others.
        timers_.After(Duration::zero(),
                      [this, aId, alive = std::weak_ptr(alive_)] {
                        if (!alive.expired()) {
                          Parse(aId);
                        }
                      });
      }
    });
    aConnection.bodyStarted = true;
    SetTimer(aId, aConnection, kMaxBodyWait);
    return false;
  }

  /// Counts the body that was received in place of what it might have needed.
  void CountBody(Connection& aConnection, std::size_t aBytes)
  {
    if (bodies_) {
      bodies_->Take(aBytes);
      bodies_->Release(std::exchange(aConnection.bodyBytes, aBytes));
    }
  }

  void ReleaseBody(Connection& aConnection)
  {
    if (bodies_ && aConnection.bodyWaiter) {
      bodies_->CancelWait(*std::exchange(aConnection.bodyWaiter, std::nullopt));
    }
    if (bodies_ && aConnection.bodyBytes > 0) {
      bodies_->Release(std::exchange(aConnection.bodyBytes, 0));
    }
  }

  void Reject(ConnectionId aId, Connection& aConnection, int aStatus)
  {
    Reject(aId,
           aConnection,
           "HTTP/1.1 " + std::to_string(aStatus) + ' ' +
             std::string(ReasonPhrase(aStatus)) +
             "\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
  }

  void Reject(ConnectionId aId,
              Connection& aConnection,
              std::string_view aResponse)
  {
    ReleaseBody(aConnection);
    StartReader(aConnection);
    aConnection.out += aResponse;
    aConnection.closeAfterResponse = true;
    aConnection.phase = Phase::Lingering;
    aConnection.in.clear();
    SetTimer(aId, aConnection, kLingeringCloseTimeout);
    Flush(aId);
  }

  void SetTimer(ConnectionId aId, Connection& aConnection, Duration aDelay)
  {
    timers_.Cancel(aConnection.timer);
    aConnection.timer = timers_.After(aDelay, [this, aId] { OnTimer(aId); });
  }

  void OnTimer(ConnectionId aId)
  {
    Connection* connection = Find(aId);
    if (!connection) {
      return;
    }
    connection->timer = 0;
    if (connection->bodyWaiter) {
      Reject(aId, *connection, kRefusal);
      return;
    }
    if (connection->phase == Phase::Receiving) {
      constexpr int kRequestTimeout = 408;
      Reject(aId, *connection, kRequestTimeout);
    } else if (connection->phase != Phase::Serving) {
      Close(aId, false);
    }
  }

  void Flush(ConnectionId aId)
  {
    Connection* connection = Find(aId);
    if (!connection || connection->waitingWrite) {
      return;
    }
    boost::system::error_code error;
    const std::size_t writtenBefore = connection->written;
    if (!WriteSome(
          connection->socket, connection->out, connection->written, error)) {
      if (error) {
        Close(aId, true);
        return;
      }
      connection->waitingWrite = true;
      connection->socket.async_wait(tcp::socket::wait_write,
                                    [this, aId, alive = std::weak_ptr(alive_)](
                                      const boost::system::error_code& aError) {
                                      if (alive.expired()) {
                                        return;
                                      }
                                      if (Connection* waiting = Find(aId)) {
                                        waiting->waitingWrite = false;
                                        if (aError) {
                                          Close(aId, true);
                                        } else {
                                          Flush(aId);
                                        }
                                      }
                                    });
      if (budget_ && connection->holder &&
          connection->written > writtenBefore) {
        budget_->RecordProgress(*connection->holder, timers_.Now());
      }
      DropSentBytes(*connection);
      AccountUnsent(aId);
      return;
    }
    connection->out.clear();
    connection->written = 0;
    if (connection->out.capacity() >= kMaxIdleBufferBytes) {
      connection->out.shrink_to_fit();
    }
    ReleaseUnsent(*connection);
    if (connection->phase == Phase::Lingering) {
      boost::system::error_code ignored;
      connection->socket.shutdown(tcp::socket::shutdown_send, ignored);
      if (connection->peerClosed) {
        Close(aId, false);
      } else {
        AwaitRead(aId, *connection);
      }
    } else if (connection->phase == Phase::Serving) {
      observer_.onWritten(connection->exchange);
    }
  }

  /// Keeps the buffer of a client that reads slowly from growing by what it has
  /// received already.
  static void DropSentBytes(Connection& aConnection)
  {
    if (aConnection.written >= kMaxIdleBufferBytes &&
        aConnection.written * 2 >= aConnection.out.size()) {
      aConnection.out = aConnection.out.substr(aConnection.written);
      aConnection.written = 0;
    }
  }

  /// Counts the connection's buffer against the budget, which may close this
  /// connection or others.
  void AccountUnsent(ConnectionId aId)
  {
    Connection* connection = Find(aId);
    if (!budget_ || !connection ||
        connection->written >= connection->out.size()) {
      return;
    }
    const TimePoint now = timers_.Now();
    if (!connection->holder) {
      connection->holder = budget_->Add([this, aId] { Close(aId, true); }, now);
    }
    budget_->SetHeld(*connection->holder, connection->out.capacity(), now);
  }

  void ReleaseUnsent(Connection& aConnection)
  {
    if (budget_ && aConnection.holder) {
      budget_->Remove(*std::exchange(aConnection.holder, std::nullopt));
    }
  }

  void Close(ConnectionId aId, bool aReset)
  {
    auto node = connections_.extract(aId);
    if (node.empty()) {
      return;
    }
    Connection& connection = node.mapped();
    timers_.Cancel(connection.timer);
    ReleaseUnsent(connection);
    ReleaseBody(connection);
    boost::system::error_code ignored;
    if (aReset) {
      connection.socket.set_option(boost::asio::socket_base::linger(true, 0),
                                   ignored);
    }
    connection.socket.close(ignored);
    if (reserve_ && options_.usesReserve) {
      reserve_->Refill();
    }
    if (connection.phase == Phase::Serving) {
      --openExchanges_;
      observer_.onClientDisconnected(connection.exchange);
    }
  }

  Timers& timers_;
  ListenerOptions options_;
  ListenerObserver observer_;
  UnsentBudget* budget_;
  DescriptorReserve* reserve_;
  BodyBudget* bodies_;
  DescriptorReserve::SourceId source_ = 0;
  TimerId acceptTimer_ = 0;
  tcp::acceptor acceptor_;
  boost::asio::io_context& context_;
  std::unordered_map<ConnectionId, Connection> connections_;
  ConnectionId lastConnection_ = 0;
  uint64_t limitsVersion_ = 0; ///< Changes with the limits.
  std::size_t openExchanges_ = 0;
  bool draining_ = false;
  bool closing_ = false;
  /// Expires with this object: queued handlers may run after its destruction.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace

std::unique_ptr<Listener>
MakeListener(boost::asio::io_context& aContext,
             Timers& aTimers,
             ListenerOptions aOptions,
             ListenerObserver aObserver,
             UnsentBudget* aBudget,
             DescriptorReserve* aReserve,
             BodyBudget* aBodies)
{
  return std::make_unique<TcpListener>(aContext,
                                       aTimers,
                                       std::move(aOptions),
                                       std::move(aObserver),
                                       aBudget,
                                       aReserve,
                                       aBodies);
}

} // namespace hibiscusnotch::relay
