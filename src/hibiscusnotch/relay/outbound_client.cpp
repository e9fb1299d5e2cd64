#include "hibiscusnotch/relay/outbound_client.hpp"

#include "socket_io.hpp"

#include <map>
#include <unordered_map>

namespace hibiscusnotch::relay {

namespace {

// Many round trips within a region.
constexpr Duration kProbeTimeout{ 200'000 };

constexpr std::size_t kMostPeers = 4096; // far more than upstreams

struct CallRow
{
  explicit CallRow(boost::asio::io_context& aContext)
    : socket(aContext)
  {
  }

  tcp::socket socket;
  std::string out;
  std::size_t written = 0;
  std::string in;
  std::unique_ptr<ResponseReader> reader;
  CallObserver observer;
  TimerId connectTimer = 0;
  TimerId silenceTimer = 0;
  Duration probeAfterSilence{ 0 };
  core::Endpoint peer;
  bool connected = false;
  bool headReported = false;
  bool paused = false;
  bool waitingRead = false;
};

class ConnectionPerCall : public OutboundClient
{
public:
  ConnectionPerCall(boost::asio::io_context& aContext, Timers& aTimers)
    : context_(aContext)
    , timers_(aTimers)
  {
  }

  CallId Start(OutboundCall aCall, CallObserver aObserver) override
  {
    const CallId id = ++last_;
    CallRow& row = rows_.try_emplace(id, context_).first->second;
    row.out = std::move(aCall.message);
    row.reader = MakeResponseReader(aCall.bodyless);
    row.observer = std::move(aObserver);
    row.probeAfterSilence = aCall.probeAfterSilence;
    row.peer = aCall.to;
    row.connectTimer = timers_.After(aCall.connectTimeout, [this, id] {
      End(id, CallOutcome::NotSent, "connect timed out");
    });
    boost::system::error_code error;
    const auto address = boost::asio::ip::make_address(aCall.to.address, error);
    if (!error) {
      row.socket.open(tcp::v4(), error);
    }
    if (error) {
      const std::string why = error.message();
      timers_.After(Duration::zero(),
                    [this, id, why] { End(id, CallOutcome::NotSent, why); });
      return id;
    }
    PrepareSocket(row.socket);
    row.socket.async_connect(
      tcp::endpoint(address, aCall.to.port),
      [this, id](const boost::system::error_code& aError) {
        OnConnected(id, aError);
      });
    return id;
  }

  void Cancel(CallId aCall) override
  {
    const auto row = rows_.find(aCall);
    if (row != rows_.end()) {
      timers_.Cancel(row->second.connectTimer);
      timers_.Cancel(row->second.silenceTimer);
      rows_.erase(row);
    }
  }

  void SetPaused(CallId aCall, bool aPaused) override
  {
    if (CallRow* row = Find(aCall)) {
      row->paused = aPaused;
      if (!aPaused && row->connected) {
        AwaitRead(aCall, *row);
      }
    }
  }

  std::size_t Open() const override { return rows_.size(); }

private:
  CallRow* Find(CallId aCall)
  {
    const auto row = rows_.find(aCall);
    return row == rows_.end() ? nullptr : &row->second;
  }

  void OnConnected(CallId aCall, const boost::system::error_code& aError)
  {
    CallRow* row = Find(aCall);
    if (!row) {
      return;
    }
    timers_.Cancel(row->connectTimer);
    if (aError) {
      End(aCall, CallOutcome::NotSent, aError.message());
      return;
    }
    row->connected = true;
    NoteHeard(row->peer);
    AwaitSilence(aCall, *row, row->probeAfterSilence);
    Write(aCall);
    if (CallRow* still = Find(aCall)) {
      AwaitRead(aCall, *still);
    }
  }

  void Write(CallId aCall)
  {
    CallRow* row = Find(aCall);
    if (!row) {
      return;
    }
    boost::system::error_code error;
    const bool all = WriteSome(row->socket, row->out, row->written, error);
    if (error) {
      // The answer may already be here: an upstream may refuse early.
      return;
    }
    if (!all) {
      row->socket.async_wait(
        tcp::socket::wait_write,
        [this, aCall](const boost::system::error_code& aWaitError) {
          if (!aWaitError) {
            Write(aCall);
          }
        });
    }
  }

  void AwaitRead(CallId aCall, CallRow& aRow)
  {
    if (aRow.waitingRead || aRow.paused) {
      return;
    }
    aRow.waitingRead = true;
    aRow.socket.async_wait(
      tcp::socket::wait_read,
      [this, aCall](const boost::system::error_code& aError) {
        CallRow* row = Find(aCall);
        if (!row) {
          return;
        }
        row->waitingRead = false;
        if (aError) {
          End(aCall, CallOutcome::ConnectionLost, aError.message());
        } else if (!row->paused) {
          OnReadable(aCall, *row);
        }
      });
  }

  void OnReadable(CallId aCall, CallRow& aRow)
  {
    boost::system::error_code error;
    ReadSome(aRow.socket, aRow.in, error);
    if (!error) {
      NoteHeard(aRow.peer);
    }
    AwaitSilence(aCall, aRow, aRow.probeAfterSilence);
    ReadState state = aRow.reader->Read(aRow.in);
    if (error == boost::asio::error::eof && state == ReadState::NeedMore) {
      state = aRow.reader->ReadEnd();
    } else if (error && state == ReadState::NeedMore) {
      state = ReadState::Malformed;
    }
    const std::string why = error ? error.message() : "malformed response";
    if (!Report(aCall, aRow)) {
      return;
    }
    if (state == ReadState::Complete) {
      End(aCall, CallOutcome::Complete, "");
    } else if (state == ReadState::Malformed) {
      End(aCall, CallOutcome::ConnectionLost, why);
    } else {
      AwaitRead(aCall, *Find(aCall));
    }
  }

  /// Starts the wait for a byte anew; each probe waits longer than the last.
  void AwaitSilence(CallId aCall, CallRow& aRow, Duration aWait)
  {
    timers_.Cancel(std::exchange(aRow.silenceTimer, 0));
    if (aRow.probeAfterSilence == Duration::zero()) {
      return;
    }
    aRow.silenceTimer = timers_.After(aWait, [this, aCall, aWait] {
      if (CallRow* row = Find(aCall)) {
        row->silenceTimer = 0;
        if (row->paused || HeardWithin(row->peer, row->probeAfterSilence)) {
          AwaitSilence(aCall, *row, row->probeAfterSilence);
        } else {
          Probe(aCall, row->peer, aWait);
        }
      }
    });
  }

  /// True when any call to the peer had a byte, or a connection, this lately.
  bool HeardWithin(const core::Endpoint& aPeer, Duration aTime) const
  {
    const auto heard = heardAt_.find({ aPeer.address, aPeer.port });
    return heard != heardAt_.end() && timers_.Now() - heard->second < aTime;
  }

  void NoteHeard(const core::Endpoint& aPeer)
  {
    if (heardAt_.size() >= kMostPeers) {
      heardAt_.clear(); // addresses change over time; a probe more is no harm
    }
    heardAt_[{ aPeer.address, aPeer.port }] = timers_.Now();
  }

  /// Opens and closes a connection to the peer of a silent call.
  void Probe(CallId aCall, const core::Endpoint& aPeer, Duration aWait)
  {
    OutboundCall probe;
    probe.to = aPeer;
    probe.connectTimeout = kProbeTimeout;
    const CallId id =
      Start(std::move(probe),
            { [](const ResponseHead&) {},
              [](std::string_view) {},
              [this, aCall](CallOutcome aEnd, std::string_view aWhy) {
                if (aEnd == CallOutcome::NotSent && Find(aCall)) {
                  End(aCall,
                      CallOutcome::ConnectionLost,
                      "silent, and " + std::string(aWhy));
                }
              } });
    // A probe that connects has said all that it can.
    timers_.After(kProbeTimeout, [this, id] { Cancel(id); });
    if (CallRow* row = Find(aCall)) {
      AwaitSilence(aCall, *row, aWait * 2);
    }
  }

  /// Reports head and body; false when the observer cancelled the call.
  bool Report(CallId aCall, CallRow& aRow)
  {
    if (!aRow.headReported && aRow.reader->HasHead()) {
      aRow.headReported = true;
      const auto onHead = aRow.observer.onHead;
      onHead(aRow.reader->Head());
    }
    CallRow* row = Find(aCall);
    if (!row) {
      return false;
    }
    const std::string body = row->reader->TakeBody();
    if (!body.empty()) {
      const auto onBody = row->observer.onBody;
      onBody(body);
    }
    return Find(aCall) != nullptr;
  }

  void End(CallId aCall, CallOutcome aEnd, std::string_view aWhy)
  {
    auto row = rows_.extract(aCall);
    if (row.empty()) {
      return;
    }
    timers_.Cancel(row.mapped().connectTimer);
    timers_.Cancel(row.mapped().silenceTimer);
    boost::system::error_code ignored;
    row.mapped().socket.close(ignored);
    const std::string why(aWhy);
    row.mapped().observer.onEnd(aEnd, why);
  }

  boost::asio::io_context& context_;
  Timers& timers_;
  std::unordered_map<CallId, CallRow> rows_;
  std::map<std::pair<std::string, uint16_t>, TimePoint> heardAt_;
  CallId last_ = 0;
};

} // namespace

std::unique_ptr<OutboundClient>
MakeOutboundClient(boost::asio::io_context& aContext, Timers& aTimers)
{
  return std::make_unique<ConnectionPerCall>(aContext, aTimers);
}

} // namespace hibiscusnotch::relay
