#include "hibiscusnotch/relay/listener.hpp"

#include "socket_io.hpp"

#include <array>
#include <charconv>
#include <unordered_map>

namespace hibiscusnotch::relay {

namespace {

using ConnectionId = uint64_t;

// How long a connection that answered a fault still takes the caller's bytes.
constexpr Duration kLinger{ 1'000'000 };
// A drained connection that is idle closes after this pause, so that a request
// that is already on its way is still answered.
constexpr Duration kDrainIdle{ 1'000'000 };
constexpr std::size_t kMaxPipelinedBytes = 64 * 1024;

enum class Phase
{
  Idle,      ///< No byte of a request.
  Receiving, ///< Part of a request.
  Serving,   ///< A request is with its owner.
  Lingering, ///< Answered with a close; bytes are dropped.
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
  Phase phase = Phase::Idle;
  ExchangeId exchange = 0;
  bool chunked = false;
  bool started = false;
  bool closeAfter = false;
  bool peerDone = false;
  bool waitingRead = false;
  bool waitingWrite = false;
  bool continueSent = false;
  TimerId timer = 0;
};

std::string_view
ReasonOf(int aStatus)
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
              ListenerObserver aObserver)
    : timers_(aTimers)
    , options_(std::move(aOptions))
    , observer_(std::move(aObserver))
    , acceptor_(aContext)
    , context_(aContext)
  {
    const tcp::endpoint endpoint(
      boost::asio::ip::make_address(options_.endpoint.address),
      options_.endpoint.port);
    acceptor_.open(endpoint.protocol());
    acceptor_.set_option(boost::asio::socket_base::reuse_address(true));
    acceptor_.bind(endpoint);
    acceptor_.listen(boost::asio::socket_base::max_listen_connections);
    acceptor_.non_blocking(true);
    AwaitAccept();
  }

  ~TcpListener() override
  {
    for (auto& [id, row] : rows_) {
      timers_.Cancel(row.timer);
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
    Connection* row = Serving(aId);
    if (!row || row->started) {
      return;
    }
    row->started = true;
    row->chunked = aFraming == Framing::Chunked;
    row->closeAfter = row->closeAfter || draining_ || closing_;
    std::string& out = row->out;
    out += "HTTP/1.1 " + std::to_string(aStatus) + ' ';
    out.append(aReason).append("\r\n");
    for (const auto& [name, value] : aHeaders) {
      out.append(name).append(": ").append(value).append("\r\n");
    }
    if (row->chunked) {
      out += "Transfer-Encoding: chunked\r\n";
    }
    out += row->closeAfter ? "Connection: close\r\n\r\n" : "\r\n";
  }

  void Write(ExchangeId aId, std::string_view aBytes) override
  {
    Connection* row = Serving(aId);
    if (!row || !row->started || aBytes.empty()) {
      return;
    }
    if (row->chunked) {
      std::array<char, 16> size{};
      const auto end = std::to_chars(
        size.data(), size.data() + size.size(), aBytes.size(), 16);
      row->out.append(size.data(), end.ptr).append("\r\n");
      row->out.append(aBytes).append("\r\n");
    } else {
      row->out.append(aBytes);
    }
    Flush(ConnectionOf(aId));
  }

  void Finish(ExchangeId aId) override
  {
    Connection* row = Serving(aId);
    if (!row) {
      return;
    }
    if (row->chunked) {
      row->out += "0\r\n\r\n";
    }
    const ConnectionId id = ConnectionOf(aId);
    --serving_;
    row->started = false;
    row->chunked = false;
    if (row->closeAfter) {
      row->phase = Phase::Lingering;
      SetTimer(id, *row, kLinger);
      Flush(id);
      return;
    }
    row->phase = Phase::Idle;
    Flush(id);
    if (Connection* still = Find(id)) {
      still->reader = MakeRequestReader(options_.limits);
      still->continueSent = false;
      Parse(id);
    }
  }

  void Abort(ExchangeId aId) override
  {
    if (Serving(aId)) {
      Close(ConnectionOf(aId), false);
    }
  }

  std::size_t UnsentBytes(ExchangeId aId) const override
  {
    const auto row = rows_.find(ConnectionOf(aId));
    return row == rows_.end() ? 0
                              : row->second.out.size() - row->second.written;
  }

  void SetOptions(const ListenerOptions& aOptions) override
  {
    options_.limits = aOptions.limits;
    options_.headerTimeout = aOptions.headerTimeout;
    options_.bodyTimeout = aOptions.bodyTimeout;
    options_.idleTimeout = aOptions.idleTimeout;
  }

  void Drain() override
  {
    draining_ = true;
    for (auto& [id, row] : rows_) {
      if (row.phase == Phase::Idle) {
        SetTimer(id, row, kDrainIdle);
      }
    }
  }

  void SetCloseAfterResponse(bool aClosing) override { closing_ = aClosing; }

  void StopAccepting() override
  {
    boost::system::error_code ignored;
    acceptor_.close(ignored);
  }

  std::size_t OpenExchanges() const override { return serving_; }
  std::size_t OpenConnections() const override { return rows_.size(); }
  uint16_t Port() const override { return acceptor_.local_endpoint().port(); }

private:
  // An exchange's id is its connection's id and a number on that connection.
  static constexpr int kExchangeBits = 24;
  static ConnectionId ConnectionOf(ExchangeId aId)
  {
    return aId >> kExchangeBits;
  }

  Connection* Find(ConnectionId aId)
  {
    const auto row = rows_.find(aId);
    return row == rows_.end() ? nullptr : &row->second;
  }

  Connection* Serving(ExchangeId aId)
  {
    Connection* row = Find(ConnectionOf(aId));
    return row && row->exchange == aId && row->phase == Phase::Serving
             ? row
             : nullptr;
  }

  void AwaitAccept()
  {
    acceptor_.async_wait(tcp::acceptor::wait_read,
                         [this](const boost::system::error_code& aError) {
                           if (!aError) {
                             AcceptAll();
                             AwaitAccept();
                           }
                         });
  }

  void AcceptAll()
  {
    while (true) {
      boost::system::error_code error;
      tcp::socket socket(context_);
      acceptor_.accept(socket, error);
      if (error) {
        return;
      }
      PrepareSocket(socket);
      const ConnectionId id = ++lastConnection_;
      Connection& row = rows_.try_emplace(id, std::move(socket)).first->second;
      row.reader = MakeRequestReader(options_.limits);
      row.exchange = id << kExchangeBits;
      SetTimer(id, row, options_.idleTimeout);
      AwaitRead(id, row);
    }
  }

  void AwaitRead(ConnectionId aId, Connection& aRow)
  {
    if (aRow.waitingRead || aRow.peerDone) {
      return;
    }
    if (aRow.phase == Phase::Serving && aRow.in.size() >= kMaxPipelinedBytes) {
      return;
    }
    aRow.waitingRead = true;
    aRow.socket.async_wait(tcp::socket::wait_read,
                           [this, aId, alive = std::weak_ptr(alive_)](
                             const boost::system::error_code& aError) {
                             if (alive.expired()) {
                               return;
                             }
                             if (Connection* row = Find(aId)) {
                               row->waitingRead = false;
                               if (aError) {
                                 Close(aId, true);
                               } else {
                                 OnReadable(aId, *row);
                               }
                             }
                           });
  }

  void OnReadable(ConnectionId aId, Connection& aRow)
  {
    boost::system::error_code error;
    ReadSome(aRow.socket, aRow.in, error);
    if (error) {
      const bool answered = aRow.phase != Phase::Serving;
      aRow.peerDone = true;
      if (answered && aRow.written < aRow.out.size() &&
          error == boost::asio::error::eof) {
        aRow.closeAfter = true;
        return;
      }
      Close(aId, false);
      return;
    }
    if (aRow.phase == Phase::Lingering) {
      aRow.in.clear();
    } else if (aRow.phase != Phase::Serving) {
      Parse(aId);
    }
    if (Connection* row = Find(aId)) {
      AwaitRead(aId, *row);
    }
  }

  void Parse(ConnectionId aId)
  {
    Connection* row = Find(aId);
    if (!row) {
      return;
    }
    const bool fresh = row->phase == Phase::Idle;
    const ReadState state = row->reader->Read(row->in);
    if (state == ReadState::Malformed) {
      Reject(aId, *row, row->reader->Fault());
      return;
    }
    if (state == ReadState::NeedMore) {
      if (row->in.empty() && !row->reader->WaitsForBody()) {
        SetTimer(aId, *row, draining_ ? kDrainIdle : options_.idleTimeout);
      } else if (fresh) {
        row->phase = Phase::Receiving;
        SetTimer(aId, *row, options_.headerTimeout);
      }
      if (row->reader->WaitsForBody()) {
        SetTimer(aId, *row, options_.bodyTimeout);
      }
      if (row->reader->ExpectsContinue() && !row->continueSent) {
        row->continueSent = true;
        row->out += "HTTP/1.1 100 Continue\r\n\r\n";
        Flush(aId);
        row = Find(aId);
      }
      if (row) {
        AwaitRead(aId, *row);
      }
      return;
    }
    timers_.Cancel(std::exchange(row->timer, 0));
    net::HttpRequest request = row->reader->Take();
    row->closeAfter = !row->reader->KeepAlive();
    row->phase = Phase::Serving;
    const ExchangeId exchange = ++row->exchange;
    ++serving_;
    AwaitRead(aId, *row);
    observer_.onRequest(exchange, std::move(request));
  }

  void Reject(ConnectionId aId, Connection& aRow, int aStatus)
  {
    aRow.out += "HTTP/1.1 " + std::to_string(aStatus) + ' ' +
                std::string(ReasonOf(aStatus)) +
                "\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
    aRow.closeAfter = true;
    aRow.phase = Phase::Lingering;
    aRow.in.clear();
    SetTimer(aId, aRow, kLinger);
    Flush(aId);
  }

  void SetTimer(ConnectionId aId, Connection& aRow, Duration aDelay)
  {
    timers_.Cancel(aRow.timer);
    aRow.timer = timers_.After(aDelay, [this, aId] { OnTimer(aId); });
  }

  void OnTimer(ConnectionId aId)
  {
    Connection* row = Find(aId);
    if (!row) {
      return;
    }
    row->timer = 0;
    if (row->phase == Phase::Receiving) {
      constexpr int kRequestTimeout = 408;
      Reject(aId, *row, kRequestTimeout);
    } else if (row->phase != Phase::Serving) {
      Close(aId, false);
    }
  }

  void Flush(ConnectionId aId)
  {
    Connection* row = Find(aId);
    if (!row || row->waitingWrite) {
      return;
    }
    boost::system::error_code error;
    if (!WriteSome(row->socket, row->out, row->written, error)) {
      if (error) {
        Close(aId, true);
        return;
      }
      row->waitingWrite = true;
      row->socket.async_wait(tcp::socket::wait_write,
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
      return;
    }
    row->out.clear();
    row->written = 0;
    if (row->phase == Phase::Lingering) {
      boost::system::error_code ignored;
      row->socket.shutdown(tcp::socket::shutdown_send, ignored);
      if (row->peerDone) {
        Close(aId, false);
      } else {
        AwaitRead(aId, *row);
      }
    } else if (row->phase == Phase::Serving) {
      observer_.onWritten(row->exchange);
    }
  }

  void Close(ConnectionId aId, bool aReset)
  {
    auto row = rows_.extract(aId);
    if (row.empty()) {
      return;
    }
    Connection& connection = row.mapped();
    timers_.Cancel(connection.timer);
    boost::system::error_code ignored;
    if (aReset) {
      connection.socket.set_option(boost::asio::socket_base::linger(true, 0),
                                   ignored);
    }
    connection.socket.close(ignored);
    if (connection.phase == Phase::Serving) {
      --serving_;
      observer_.onClientDisconnected(connection.exchange);
    }
  }

  Timers& timers_;
  ListenerOptions options_;
  ListenerObserver observer_;
  tcp::acceptor acceptor_;
  boost::asio::io_context& context_;
  std::unordered_map<ConnectionId, Connection> rows_;
  ConnectionId lastConnection_ = 0;
  std::size_t serving_ = 0;
  bool draining_ = false;
  bool closing_ = false;
  /// Handlers that the event loop still holds outlive this object.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace

std::unique_ptr<Listener>
MakeListener(boost::asio::io_context& aContext,
             Timers& aTimers,
             ListenerOptions aOptions,
             ListenerObserver aObserver)
{
  return std::make_unique<TcpListener>(
    aContext, aTimers, std::move(aOptions), std::move(aObserver));
}

} // namespace hibiscusnotch::relay
