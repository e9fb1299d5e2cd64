#include "hibiscusnotch/relay/outbound_client.hpp"

#include "hibiscusnotch/net/request_receipt.hpp"
#include "socket_io.hpp"

#include <limits>
#include <map>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

namespace hibiscusnotch::relay {

namespace {

// A multiple of the round trip time within a region.
constexpr Duration kProbeTimeout{ 200'000 };

// Where nothing can be asked of a peer: a process that is killed closes its
// listening sockets soon after its connections, later on a busy processor.
constexpr Duration kExitTime{ 100'000 };

// A peer that breaks off a response may end its side a moment before the reset.
constexpr Duration kResetTime{ 100'000 };

// Between looks at how much of a request its peer has taken.
constexpr Duration kReceiptCheckPause{ 20'000 };

// Between checks that did not show who is there.
constexpr Duration kLivenessCheckPause{ 100'000 };
// What processes say of themselves is shorter.
constexpr std::size_t kMaxLivenessBytes = 64 * 1024;

// Sent together with the message in one call of the system.
constexpr std::size_t kMaxJoinedBodyBytes = 16 * 1024;

// Far more than there are upstreams.
constexpr std::size_t kMaxTrackedPeers = 4096;

/// How a call's end names that no process listens at the peer's address.
std::string
RefusedMessage()
{
  return boost::system::error_code(boost::asio::error::connection_refused)
    .message();
}

struct PendingCall
{
  explicit PendingCall(boost::asio::io_context& aContext)
    : socket(aContext)
  {
  }

  tcp::socket socket;
  std::string out;
  std::shared_ptr<const std::string> body; ///< Follows `out`, if not null.
  std::size_t written = 0;                 ///< Of what is being sent.
  bool mayBeAnsweredUnread = false;
  /// Of the request, when its peer was last seen to take more of it.
  std::size_t untakenBytes = std::numeric_limits<std::size_t>::max();
  TimePoint takenAt{};
  std::string in;
  std::unique_ptr<ResponseReader> reader;
  CallObserver observer;
  TimerId connectTimer = 0; ///< Later of the next look or liveness check.
  TimerId silenceTimer = 0; ///< Later of the whole confirmation of the end.
  Duration probeAfterSilence{ 0 };
  Duration maxSilence{ 0 };
  core::Endpoint peer;
  std::optional<LivenessCheck> liveness;
  CallId livenessCall = 0; ///< The check in progress.
  bool connected = false;
  bool writeFailed = false;
  bool headReported = false;
  bool paused = false;
  bool waitingRead = false;
};

struct PendingProbe
{
  explicit PendingProbe(boost::asio::io_context& aContext)
    : socket(aContext)
  {
  }

  tcp::socket socket;
  TimerId timer = 0;
  std::function<void(Reachability)> report;
};

/// A call that waits for its peer to be probed.
struct SilentCall
{
  CallId call = 0;
  Duration wait{ 0 }; ///< Before the probe.
};

class ConnectionPerCall : public OutboundClient
{
public:
  ConnectionPerCall(boost::asio::io_context& aContext,
                    Timers& aTimers,
                    DescriptorReserve* aReserve)
    : context_(aContext)
    , timers_(aTimers)
    , reserve_(aReserve)
  {
  }

  CallId Start(OutboundCall aCall, CallObserver aObserver) override
  {
    const CallId id = ++lastId_;
    PendingCall& pending = calls_.try_emplace(id, context_).first->second;
    pending.mayBeAnsweredUnread = net::MayBeAnsweredUnread(
      aCall.message.size() + (aCall.body ? aCall.body->size() : 0));
    pending.out = std::move(aCall.message);
    if (aCall.body && aCall.body->size() <= kMaxJoinedBodyBytes) {
      pending.out += *aCall.body;
    } else {
      pending.body = std::move(aCall.body);
    }
    pending.reader = MakeResponseReader(aCall.bodyless);
    pending.observer = std::move(aObserver);
    pending.probeAfterSilence = aCall.probeAfterSilence;
    pending.maxSilence = aCall.maxSilence;
    pending.peer = aCall.to;
    pending.connectTimer = timers_.After(aCall.connectTimeout, [this, id] {
      End(id, CallOutcome::NotSent, "connect timed out");
    });
    boost::system::error_code error;
    const auto address = boost::asio::ip::make_address(aCall.to.address, error);
    if (!error) {
      OpenSocket(pending.socket, error);
    }
    if (error) {
      const std::string why = error.message();
      const CallOutcome outcome =
        IsShortage(error) ? CallOutcome::NotStarted : CallOutcome::NotSent;
      timers_.After(Duration::zero(),
                    [this, id, outcome, why] { End(id, outcome, why); });
      return id;
    }
    PrepareSocket(pending.socket);
    pending.socket.async_connect(
      tcp::endpoint(address, aCall.to.port),
      [this, id](const boost::system::error_code& aError) {
        OnConnected(id, aError);
      });
    return id;
  }

  void Cancel(CallId aCall) override
  {
    const auto pending = calls_.extract(aCall);
    if (!pending.empty()) {
      Release(pending.mapped());
    }
  }

  void SetLivenessCheck(CallId aCall, LivenessCheck aCheck) override
  {
    if (PendingCall* pending = Find(aCall)) {
      pending->liveness = std::move(aCheck);
    }
  }

  void SetPaused(CallId aCall, bool aPaused) override
  {
    if (PendingCall* pending = Find(aCall)) {
      pending->paused = aPaused;
      if (!aPaused && pending->connected) {
        AwaitRead(aCall, *pending);
      }
    }
  }

  void Probe(const core::Endpoint& aPeer,
             Duration aTimeout,
             std::function<void(Reachability)> aReport) override
  {
    const CallId id = ++lastId_;
    PendingProbe& probe = probes_.try_emplace(id, context_).first->second;
    probe.report = std::move(aReport);
    boost::system::error_code error;
    const auto address = boost::asio::ip::make_address(aPeer.address, error);
    if (!error) {
      OpenSocket(probe.socket, error);
    }
    const Reachability atTimeout =
      IsShortage(error) ? Reachability::Untried : Reachability::Unreachable;
    probe.timer = timers_.After(
      aTimeout, [this, id, atTimeout] { EndProbe(id, atTimeout); });
    if (error) {
      return; // reported at the timeout, as it may be tried again at once
    }
    probe.socket.async_connect(
      tcp::endpoint(address, aPeer.port),
      [this, id, aPeer](const boost::system::error_code& aError) {
        if (!aError) {
          RecordActivity(aPeer);
          EndProbe(id, Reachability::Accepts);
        } else if (aError == boost::asio::error::connection_refused) {
          EndProbe(id, Reachability::Refuses);
        }
        // Other errors, as of a missing route, may come at once; they are
        // reported at the timeout, so that repeated probes keep their pace.
      });
  }

  std::size_t Open() const override { return calls_.size(); }

private:
  void OpenSocket(tcp::socket& aSocket, boost::system::error_code& aError)
  {
    aSocket.open(tcp::v4(), aError);
    if (IsShortage(aError) && reserve_ && reserve_->MakeRoom()) {
      aSocket.open(tcp::v4(), aError);
    }
  }

  PendingCall* Find(CallId aCall)
  {
    const auto pending = calls_.find(aCall);
    return pending == calls_.end() ? nullptr : &pending->second;
  }

  void OnConnected(CallId aCall, const boost::system::error_code& aError)
  {
    PendingCall* pending = Find(aCall);
    if (!pending) {
      return;
    }
    timers_.Cancel(pending->connectTimer);
    if (aError) {
      End(aCall,
          IsShortage(aError) ? CallOutcome::NotStarted : CallOutcome::NotSent,
          aError.message());
      return;
    }
    pending->connected = true;
    RecordActivity(pending->peer);
    StartSilenceTimer(aCall, *pending, pending->probeAfterSilence);
    Write(aCall);
    if (PendingCall* still = Find(aCall)) {
      AwaitRead(aCall, *still);
    }
  }

  void Write(CallId aCall)
  {
    PendingCall* pending = Find(aCall);
    if (!pending) {
      return;
    }
    boost::system::error_code error;
    bool allWritten =
      WriteSome(pending->socket, pending->out, pending->written, error);
    if (allWritten && pending->body) {
      if (!pending->out.empty()) {
        pending->out = {};
        pending->written = 0;
      }
      allWritten =
        WriteSome(pending->socket, *pending->body, pending->written, error);
    }
    if (error) {
      // Reading goes on: an upstream may reject a request, and close, before
      // it has read all of it.
      pending->writeFailed = true;
      return;
    }
    if (!allWritten) {
      pending->socket.async_wait(
        tcp::socket::wait_write,
        [this, aCall](const boost::system::error_code& aWaitError) {
          if (!aWaitError) {
            Write(aCall);
          }
        });
    }
  }

  void AwaitRead(CallId aCall, PendingCall& aPending)
  {
    if (aPending.waitingRead || aPending.paused) {
      return;
    }
    aPending.waitingRead = true;
    aPending.socket.async_wait(
      tcp::socket::wait_read,
      [this, aCall](const boost::system::error_code& aError) {
        PendingCall* pending = Find(aCall);
        if (!pending) {
          return;
        }
        pending->waitingRead = false;
        if (aError) {
          End(aCall, CallOutcome::ConnectionLost, aError.message());
        } else if (!pending->paused) {
          OnReadable(aCall, *pending);
        }
      });
  }

  void OnReadable(CallId aCall, PendingCall& aPending)
  {
    boost::system::error_code error;
    ReadSome(aPending.socket, aPending.in, error);
    if (!error) {
      RecordActivity(aPending.peer);
    }
    StartSilenceTimer(aCall, aPending, aPending.probeAfterSilence);
    ReadState state = aPending.reader->Read(aPending.in);
    bool endedByClose = false;
    // After a failed write the error that it took reads as an end.
    if (error == boost::asio::error::eof && state == ReadState::NeedMore &&
        !aPending.writeFailed) {
      state = aPending.reader->ReadEnd();
      endedByClose = state == ReadState::Complete;
    } else if (error && state == ReadState::NeedMore) {
      state = ReadState::Malformed;
    }
    const std::string why = error ? error.message() : "malformed response";
    if (!Report(aCall, aPending)) {
      return;
    }
    if (endedByClose) {
      OnEndedByClose(aCall, *Find(aCall));
    } else if (state == ReadState::Complete) {
      End(aCall, CallOutcome::Complete, "");
    } else if (state == ReadState::Malformed) {
      End(aCall, CallOutcome::ConnectionLost, why);
    } else {
      AwaitRead(aCall, *Find(aCall));
    }
  }

  void OnEndedByClose(CallId aCall, PendingCall& aPending)
  {
    aPending.connected = false; // there is nothing to read any more
    timers_.Cancel(std::exchange(aPending.silenceTimer, 0));
    if (aPending.mayBeAnsweredUnread) {
      AwaitReceipt(aCall, aPending);
    } else {
      ConfirmEnd(aCall, aPending);
    }
  }

  /// Tells a response that its peer ended early, to read the rest of the
  /// request (RFC 9112, section 9.6), from one that it broke off: the second is
  /// followed by a reset, as the request is not read.
  void AwaitReceipt(CallId aCall, PendingCall& aPending)
  {
    const auto unacknowledged =
      net::UnacknowledgedBytes(aPending.socket.native_handle());
    if (!unacknowledged || aPending.writeFailed) {
      End(aCall,
          CallOutcome::ConnectionLost,
          "ended without a length, and reset before the request was read");
      return;
    }
    const TimePoint now = timers_.Now();
    const std::size_t untaken = UnwrittenBytes(aPending) + *unacknowledged;
    if (untaken < aPending.untakenBytes) {
      aPending.untakenBytes = untaken;
      aPending.takenAt = now;
    }
    const Duration unchangedFor = now - aPending.takenAt;
    if (untaken == 0 && unchangedFor >= kResetTime) {
      ConfirmEnd(aCall, aPending);
    } else if (untaken > 0 && unchangedFor >= aPending.maxSilence) {
      End(aCall,
          CallOutcome::ConnectionLost,
          "ended without a length, and the request is not read");
    } else {
      aPending.connectTimer = timers_.After(kReceiptCheckPause, [this, aCall] {
        if (PendingCall* pending = Find(aCall)) {
          pending->connectTimer = 0;
          AwaitReceipt(aCall, *pending);
        }
      });
    }
  }

  static std::size_t UnwrittenBytes(const PendingCall& aPending)
  {
    // The message is released once it is written.
    return aPending.out.size() + (aPending.body ? aPending.body->size() : 0) -
           aPending.written;
  }

  /// Tells a response that its upstream ended by a close from one that broke
  /// off with the upstream's process: the kernel closes both alike, but only a
  /// process that goes on answers, or at least accepts connections.
  void ConfirmEnd(CallId aCall, PendingCall& aPending)
  {
    boost::system::error_code ignored;
    aPending.socket.close(ignored);
    if (aPending.liveness) {
      aPending.silenceTimer = timers_.After(aPending.maxSilence, [this, aCall] {
        End(aCall,
            CallOutcome::ConnectionLost,
            "ended without a length, and no answer to the liveness check");
      });
      CheckLiveness(aCall, aPending);
      return;
    }
    aPending.silenceTimer = timers_.After(kExitTime, [this, aCall] {
      if (PendingCall* pending = Find(aCall)) {
        pending->silenceTimer = 0;
        ProbeEndedPeer(aCall, *pending);
      }
    });
  }

  /// Asks the peer until it or another process answers, no process listens
  /// there any more, or the silence limit ends the call: a full peer may reset
  /// connections, and something in between may answer in its place.
  void CheckLiveness(CallId aCall, PendingCall& aPending)
  {
    struct Response
    {
      std::optional<ResponseHead> head;
      std::string body;
    };
    const auto response = std::make_shared<Response>();
    OutboundCall check;
    check.to = aPending.peer;
    check.message = aPending.liveness->message;
    check.connectTimeout = kProbeTimeout;
    CallObserver observer;
    observer.onHead = [response](const ResponseHead& aHead) {
      response->head = aHead;
    };
    observer.onBody = [this, aCall, response](std::string_view aBytes) {
      response->body.append(aBytes);
      if (response->body.size() > kMaxLivenessBytes) {
        if (PendingCall* pending = Find(aCall)) {
          Cancel(std::exchange(pending->livenessCall, 0));
          CheckLivenessLater(aCall, *pending);
        }
      }
    };
    observer.onEnd = [this, aCall, response](CallOutcome aOutcome,
                                             std::string_view aWhy) {
      if (PendingCall* pending = Find(aCall)) {
        pending->livenessCall = 0;
        const Sender sender =
          aOutcome == CallOutcome::Complete
            ? pending->liveness->senderOf(*response->head, response->body)
            : Sender::Unknown;
        OnLivenessChecked(aCall, *pending, sender, aWhy);
      }
    };
    aPending.livenessCall = Start(std::move(check), std::move(observer));
  }

  void OnLivenessChecked(CallId aCall,
                         PendingCall& aPending,
                         Sender aSender,
                         std::string_view aWhy)
  {
    if (aSender == Sender::Peer) {
      End(aCall, CallOutcome::Complete, "ended without a length");
    } else if (aSender == Sender::Other) {
      End(aCall,
          CallOutcome::ConnectionLost,
          "ended without a length, and another process answered");
    } else if (aWhy == RefusedMessage()) {
      End(aCall,
          CallOutcome::ConnectionLost,
          "ended without a length, and connection refused");
    } else {
      CheckLivenessLater(aCall, aPending);
    }
  }

  void CheckLivenessLater(CallId aCall, PendingCall& aPending)
  {
    aPending.connectTimer = timers_.After(kLivenessCheckPause, [this, aCall] {
      if (PendingCall* pending = Find(aCall)) {
        pending->connectTimer = 0;
        CheckLiveness(aCall, *pending);
      }
    });
  }

  void ProbeEndedPeer(CallId aCall, const PendingCall& aPending)
  {
    Probe(
      aPending.peer, kProbeTimeout, [this, aCall](Reachability aReachability) {
        PendingCall* pending = Find(aCall);
        if (!pending) {
          return;
        }
        if (aReachability == Reachability::Accepts) {
          End(aCall, CallOutcome::Complete, "ended without a length");
        } else if (aReachability == Reachability::Refuses) {
          End(aCall,
              CallOutcome::ConnectionLost,
              "ended without a length, and connection refused");
        } else if (ActiveWithin(pending->peer, pending->maxSilence)) {
          ProbeEndedPeer(aCall, *pending);
        } else {
          End(aCall,
              CallOutcome::ConnectionLost,
              "ended without a length, and connect timed out");
        }
      });
  }

  /// Restarts the silence timer; the delay doubles with each probe.
  void StartSilenceTimer(CallId aCall, PendingCall& aPending, Duration aWait)
  {
    timers_.Cancel(std::exchange(aPending.silenceTimer, 0));
    if (aPending.probeAfterSilence == Duration::zero()) {
      return;
    }
    aPending.silenceTimer = timers_.After(aWait, [this, aCall, aWait] {
      if (PendingCall* pending = Find(aCall)) {
        pending->silenceTimer = 0;
        if (pending->paused ||
            ActiveWithin(pending->peer, pending->probeAfterSilence)) {
          StartSilenceTimer(aCall, *pending, pending->probeAfterSilence);
        } else {
          ProbeSilentPeer(aCall, pending->peer, aWait);
        }
      }
    });
  }

  using PeerKey = std::pair<std::string, uint16_t>;

  static PeerKey KeyOf(const core::Endpoint& aPeer)
  {
    return { aPeer.address, aPeer.port };
  }

  /// True if a call to the peer connected or received bytes within the time.
  bool ActiveWithin(const core::Endpoint& aPeer, Duration aTime) const
  {
    const auto last = lastActivity_.find(KeyOf(aPeer));
    return last != lastActivity_.end() && timers_.Now() - last->second < aTime;
  }

  void RecordActivity(const core::Endpoint& aPeer)
  {
    if (lastActivity_.size() >= kMaxTrackedPeers) {
      // Addresses change over time; an extra probe is harmless.
      lastActivity_.clear();
    }
    lastActivity_[KeyOf(aPeer)] = timers_.Now();
  }

  /// Tests whether the peer of a silent call still accepts connections. Calls
  /// to one peer share a probe.
  void ProbeSilentPeer(CallId aCall,
                       const core::Endpoint& aPeer,
                       Duration aWait)
  {
    std::vector<SilentCall>& calls = silentCalls_[KeyOf(aPeer)];
    calls.push_back({ aCall, aWait });
    if (calls.size() > 1) {
      return; // the probe is under way
    }
    Probe(aPeer, kProbeTimeout, [this, aPeer](Reachability aReachability) {
      auto silent = silentCalls_.extract(KeyOf(aPeer));
      for (const SilentCall& one : silent.mapped()) {
        if (PendingCall* pending = Find(one.call)) {
          OnSilenceProbed(one, *pending, aReachability);
        }
      }
    });
  }

  void OnSilenceProbed(const SilentCall& aSilent,
                       PendingCall& aPending,
                       Reachability aReachability)
  {
    if (aReachability == Reachability::Accepts ||
        aReachability == Reachability::Untried) {
      StartSilenceTimer(aSilent.call, aPending, aSilent.wait * 2);
    } else if (aReachability == Reachability::Refuses) {
      End(aSilent.call,
          CallOutcome::ConnectionLost,
          "silent, and connection refused");
    } else if (ActiveWithin(aPending.peer, aPending.maxSilence)) {
      ProbeSilentPeer(aSilent.call, aPending.peer, aSilent.wait);
    } else {
      End(aSilent.call,
          CallOutcome::ConnectionLost,
          "silent, and connect timed out");
    }
  }

  void EndProbe(CallId aProbe, Reachability aReachability)
  {
    auto probe = probes_.extract(aProbe);
    if (probe.empty()) {
      return;
    }
    timers_.Cancel(probe.mapped().timer);
    boost::system::error_code ignored;
    probe.mapped().socket.close(ignored);
    probe.mapped().report(aReachability);
  }

  /// Reports head and body; false if the observer cancelled the call.
  bool Report(CallId aCall, PendingCall& aPending)
  {
    if (!aPending.headReported && aPending.reader->HasHead()) {
      aPending.headReported = true;
      const auto onHead = aPending.observer.onHead;
      onHead(aPending.reader->Head());
    }
    PendingCall* pending = Find(aCall);
    if (!pending) {
      return false;
    }
    const std::string body = pending->reader->TakeBody();
    if (!body.empty()) {
      const auto onBody = pending->observer.onBody;
      onBody(body);
    }
    return Find(aCall) != nullptr;
  }

  void Release(const PendingCall& aPending)
  {
    timers_.Cancel(aPending.connectTimer);
    timers_.Cancel(aPending.silenceTimer);
    if (aPending.livenessCall != 0) {
      Cancel(aPending.livenessCall);
    }
  }

  void End(CallId aCall, CallOutcome aOutcome, std::string_view aWhy)
  {
    auto pending = calls_.extract(aCall);
    if (pending.empty()) {
      return;
    }
    Release(pending.mapped());
    boost::system::error_code ignored;
    pending.mapped().socket.close(ignored);
    const std::string why(aWhy);
    pending.mapped().observer.onEnd(aOutcome, why);
  }

  boost::asio::io_context& context_;
  Timers& timers_;
  DescriptorReserve* reserve_;
  std::unordered_map<CallId, PendingCall> calls_;
  std::unordered_map<CallId, PendingProbe> probes_;
  std::map<PeerKey, TimePoint> lastActivity_;
  std::map<PeerKey, std::vector<SilentCall>> silentCalls_;
  CallId lastId_ = 0;
};

} // namespace

std::unique_ptr<OutboundClient>
MakeOutboundClient(boost::asio::io_context& aContext,
                   Timers& aTimers,
                   DescriptorReserve* aReserve)
{
  return std::make_unique<ConnectionPerCall>(aContext, aTimers, aReserve);
}

} // namespace hibiscusnotch::relay
