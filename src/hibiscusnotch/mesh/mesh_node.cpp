#include "hibiscusnotch/mesh/mesh_node.hpp"

#include "hibiscusnotch/core/rendezvous.hpp"
#include "hibiscusnotch/mesh/message_codec.hpp"

#include <algorithm>
#include <array>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <map>
#include <nghttp2/nghttp2.h>
#include <vector>

namespace hibiscusnotch::mesh {

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

constexpr auto kAwaitAsTuple = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t kMaxQueuedBytes = 4 * 1024 * 1024;
constexpr std::size_t kMaxMessageBytes = 2 * 1024 * 1024;
constexpr std::size_t kReadBufferBytes = 16 * 1024;
constexpr std::size_t kLengthPrefixBytes = 4;
constexpr auto kPingInterval = std::chrono::milliseconds(500);
constexpr auto kPeerSilenceTimeout = std::chrono::milliseconds(2000);
constexpr auto kReconnectDelay = std::chrono::milliseconds(200);
// After a connection could not be accepted, for example for lack of
// descriptors.
constexpr auto kAcceptPause = std::chrono::milliseconds(100);
constexpr int32_t kFlowControlWindowBytes = 1 << 24;
constexpr std::string_view kInstanceHeader = "x-instance";
constexpr std::string_view kFingerprintHeader = "x-settings";

/// A connection to or from a peer, with its nghttp2 session.
struct PeerConnection
{
  PeerConnection(asio::io_context& aContext, uint64_t aId)
    : socket(aContext)
    , sendSignal(aContext)
    , id(aId)
  {
    sendSignal.expires_at(asio::steady_timer::time_point::max());
  }

  PeerConnection(const PeerConnection&) = delete;
  PeerConnection& operator=(const PeerConnection&) = delete;
  ~PeerConnection() { nghttp2_session_del(session); }

  tcp::socket socket;
  asio::steady_timer sendSignal; ///< Never expires; cancelled to wake a waiter.
  uint64_t id;
  nghttp2_session* session = nullptr;
  bool open = false;
  bool closed = false;
  // Used if this instance opened the connection, to send.
  core::InstanceId peer;
  std::string sendBuffer; ///< Framed messages not yet passed to nghttp2.
  int32_t streamId = 0;
  bool dataDeferred = false;
  std::chrono::steady_clock::time_point lastReceivedAt;
  std::chrono::steady_clock::time_point lastPingAt;
  // Used if the peer opened the connection, to receive.
  core::InstanceId sender;
  bool accepted = false;
  std::string receiveBuffer;
};

nghttp2_nv
MakeHeader(std::string_view aName, std::string_view aValue)
{
  // nghttp2 copies both, although its C interface takes non-const pointers.
  return nghttp2_nv{
    reinterpret_cast<uint8_t*>(const_cast<char*>(aName.data())),
    reinterpret_cast<uint8_t*>(const_cast<char*>(aValue.data())),
    aName.size(),
    aValue.size(),
    NGHTTP2_NV_FLAG_NONE
  };
}

void
AppendLength(std::string& aOut, std::size_t aLength)
{
  for (int shift = 24; shift >= 0; shift -= 8) {
    aOut.push_back(static_cast<char>((aLength >> shift) & 0xff));
  }
}

std::size_t
ReadLength(std::string_view aIn)
{
  std::size_t length = 0;
  for (std::size_t i = 0; i < kLengthPrefixBytes; ++i) {
    length = (length << 8) | static_cast<uint8_t>(aIn[i]);
  }
  return length;
}

class NodeImplementation : public MeshNode
{
public:
  NodeImplementation(asio::io_context& aContext,
                     const core::Settings& aSettings,
                     core::InstanceId aSelf,
                     MeshCallbacks aCallbacks)
    : context_(aContext)
    , settings_(aSettings)
    , self_(aSelf)
    , callbacks_(std::move(aCallbacks))
    , acceptor_(aContext)
    , fingerprint_(std::to_string(SettingsFingerprint(aSettings)))
    , alive_(std::make_shared<bool>(true))
  {
    RegisterHttpCallbacks();
    const core::Endpoint& mesh = aSettings.At(aSelf).mesh;
    const tcp::endpoint endpoint(asio::ip::make_address(mesh.address),
                                 mesh.port);
    acceptor_.open(endpoint.protocol());
    acceptor_.set_option(asio::socket_base::reuse_address(true));
    acceptor_.bind(endpoint);
    acceptor_.listen();
    asio::co_spawn(context_, AcceptLoop(alive_), asio::detached);
  }

  ~NodeImplementation() override
  {
    Stop();
    nghttp2_session_callbacks_del(nghttp2Callbacks_);
  }

  NodeImplementation(const NodeImplementation&) = delete;
  NodeImplementation& operator=(const NodeImplementation&) = delete;

  void Send(core::InstanceId aTo, const core::PeerMessage& aMessage) override
  {
    const std::vector<uint8_t> bytes = EncodeMessage(aMessage);
    PeerConnection& connection = ConnectionTo(aTo);
    if (connection.sendBuffer.size() + bytes.size() > kMaxQueuedBytes) {
      ++counters_.dropped;
      return;
    }
    AppendLength(connection.sendBuffer, bytes.size());
    connection.sendBuffer.append(bytes.begin(), bytes.end());
    ++counters_.messagesSent;
    counters_.bytesSent += bytes.size() + kLengthPrefixBytes;
    ResumeSending(connection);
  }

  const MeshCounters& Counters() const override { return counters_; }

  void Stop() override
  {
    *alive_ = false;
    boost::system::error_code ignored;
    acceptor_.close(ignored);
    for (auto& [id, connection] : connections_) {
      CloseConnection(*connection);
    }
  }

private:
  using Alive = std::shared_ptr<bool>;
  using ConnectionPointer = std::shared_ptr<PeerConnection>;

  /// The node in the user data of nghttp2's callbacks.
  static NodeImplementation& NodeOf(void* aUserData)
  {
    return *static_cast<std::pair<NodeImplementation*, PeerConnection*>*>(
              aUserData)
              ->first;
  }
  static PeerConnection& ConnectionOf(void* aUserData)
  {
    return *static_cast<std::pair<NodeImplementation*, PeerConnection*>*>(
              aUserData)
              ->second;
  }

  void RegisterHttpCallbacks()
  {
    nghttp2_session_callbacks_new(&nghttp2Callbacks_);
    nghttp2_session_callbacks_set_on_header_callback(
      nghttp2Callbacks_,
      [](nghttp2_session*,
         const nghttp2_frame*,
         const uint8_t* aName,
         size_t aNameSize,
         const uint8_t* aValue,
         size_t aValueSize,
         uint8_t,
         void* aUserData) {
        NodeOf(aUserData).OnHeader(
          ConnectionOf(aUserData),
          { reinterpret_cast<const char*>(aName), aNameSize },
          { reinterpret_cast<const char*>(aValue), aValueSize });
        return 0;
      });
    nghttp2_session_callbacks_set_on_data_chunk_recv_callback(
      nghttp2Callbacks_,
      [](nghttp2_session*,
         uint8_t,
         int32_t,
         const uint8_t* aData,
         size_t aSize,
         void* aUserData) {
        NodeOf(aUserData).OnData(
          ConnectionOf(aUserData),
          { reinterpret_cast<const char*>(aData), aSize });
        return 0;
      });
  }

  PeerConnection& ConnectionTo(core::InstanceId aTo)
  {
    const auto found = outgoing_.find(aTo);
    if (found != outgoing_.end()) {
      return *connections_.at(found->second);
    }
    const ConnectionPointer connection =
      std::make_shared<PeerConnection>(context_, ++lastConnection_);
    connection->peer = aTo;
    connections_[connection->id] = connection;
    outgoing_[aTo] = connection->id;
    asio::co_spawn(context_, Connect(alive_, connection), asio::detached);
    return *connection;
  }

  static void CloseConnection(PeerConnection& aConnection)
  {
    aConnection.closed = true;
    boost::system::error_code ignored;
    aConnection.socket.close(ignored);
    aConnection.sendSignal.cancel();
  }

  void RemoveConnection(const PeerConnection& aConnection)
  {
    const auto found = outgoing_.find(aConnection.peer);
    if (found != outgoing_.end() && found->second == aConnection.id) {
      outgoing_.erase(found);
    }
    userData_.erase(aConnection.id);
    connections_.erase(aConnection.id);
  }

  void* UserDataOf(PeerConnection& aConnection)
  {
    userData_[aConnection.id] = { this, &aConnection };
    return &userData_[aConnection.id];
  }

  asio::awaitable<void> Connect(Alive aAlive, ConnectionPointer aConnection)
  {
    const core::Endpoint& mesh = settings_.At(aConnection->peer).mesh;
    const tcp::endpoint endpoint(asio::ip::make_address(mesh.address),
                                 mesh.port);
    const auto [error] =
      co_await aConnection->socket.async_connect(endpoint, kAwaitAsTuple);
    if (!*aAlive) {
      co_return;
    }
    if (error) {
      asio::steady_timer pause(context_, kReconnectDelay);
      co_await pause.async_wait(kAwaitAsTuple);
      if (*aAlive) {
        RemoveConnection(*aConnection);
      }
      co_return;
    }
    StartClientSession(*aConnection);
    asio::co_spawn(context_, ReceiveLoop(aAlive, aConnection), asio::detached);
    asio::co_spawn(
      context_, MonitorLiveness(aAlive, aConnection), asio::detached);
    co_await SendLoop(aAlive, aConnection);
  }

  void StartClientSession(PeerConnection& aConnection)
  {
    aConnection.socket.set_option(tcp::no_delay(true));
    aConnection.open = true;
    aConnection.accepted = true;
    aConnection.lastReceivedAt = std::chrono::steady_clock::now();
    aConnection.lastPingAt = aConnection.lastReceivedAt;
    nghttp2_session_client_new(
      &aConnection.session, nghttp2Callbacks_, UserDataOf(aConnection));
    nghttp2_submit_settings(aConnection.session, NGHTTP2_FLAG_NONE, nullptr, 0);
    const std::string& name = settings_.At(self_).name;
    const std::array headers{
      MakeHeader(":method", "POST"),
      MakeHeader(":scheme", "http"),
      MakeHeader(":path", "/mesh/v1"),
      MakeHeader(":authority", settings_.At(aConnection.peer).name),
      MakeHeader(kInstanceHeader, name),
      MakeHeader(kFingerprintHeader, fingerprint_),
    };
    nghttp2_data_provider provider{ { .ptr = &aConnection }, ReadSendBuffer };
    aConnection.streamId = nghttp2_submit_request(aConnection.session,
                                                  nullptr,
                                                  headers.data(),
                                                  headers.size(),
                                                  &provider,
                                                  nullptr);
  }

  static ssize_t ReadSendBuffer(nghttp2_session*,
                                int32_t,
                                uint8_t* aBuffer,
                                size_t aSize,
                                uint32_t*,
                                nghttp2_data_source* aSource,
                                void*)
  {
    PeerConnection& connection = *static_cast<PeerConnection*>(aSource->ptr);
    if (connection.sendBuffer.empty()) {
      connection.dataDeferred = true;
      return NGHTTP2_ERR_DEFERRED;
    }
    const std::size_t count = std::min(aSize, connection.sendBuffer.size());
    std::copy_n(connection.sendBuffer.begin(), count, aBuffer);
    connection.sendBuffer.erase(0, count);
    return static_cast<ssize_t>(count);
  }

  static void ResumeSending(PeerConnection& aConnection)
  {
    if (aConnection.open && aConnection.dataDeferred) {
      aConnection.dataDeferred = false;
      nghttp2_session_resume_data(aConnection.session, aConnection.streamId);
    }
    aConnection.sendSignal.cancel();
  }

  /// Writes the session's output to the socket; waits while there is none.
  asio::awaitable<void> SendLoop(Alive aAlive, ConnectionPointer aConnection)
  {
    while (*aAlive && !aConnection->closed) {
      std::string out;
      const uint8_t* data = nullptr;
      ssize_t size = 0;
      while ((size = nghttp2_session_mem_send(aConnection->session, &data)) >
             0) {
        out.append(reinterpret_cast<const char*>(data),
                   static_cast<std::size_t>(size));
      }
      if (size < 0) {
        break;
      }
      if (out.empty()) {
        co_await aConnection->sendSignal.async_wait(kAwaitAsTuple);
        aConnection->sendSignal.expires_at(
          asio::steady_timer::time_point::max());
        continue;
      }
      const auto [error, bytes] = co_await asio::async_write(
        aConnection->socket, asio::buffer(out), kAwaitAsTuple);
      if (error) {
        break;
      }
    }
    if (*aAlive) {
      CloseConnection(*aConnection);
      RemoveConnection(*aConnection);
    }
  }

  asio::awaitable<void> ReceiveLoop(Alive aAlive, ConnectionPointer aConnection)
  {
    std::array<uint8_t, kReadBufferBytes> data;
    while (*aAlive && !aConnection->closed) {
      const auto [error, bytes] = co_await aConnection->socket.async_read_some(
        asio::buffer(data), kAwaitAsTuple);
      if (error || !*aAlive) {
        break;
      }
      aConnection->lastReceivedAt = std::chrono::steady_clock::now();
      const ssize_t consumed =
        nghttp2_session_mem_recv(aConnection->session, data.data(), bytes);
      if (consumed < 0 || !aConnection->accepted) {
        break;
      }
      aConnection->sendSignal.cancel();
    }
    CloseConnection(*aConnection);
  }

  /// Pings the peer; closes the connection once the peer is silent too long.
  asio::awaitable<void> MonitorLiveness(Alive aAlive,
                                        ConnectionPointer aConnection)
  {
    asio::steady_timer timer(context_);
    while (*aAlive && !aConnection->closed) {
      timer.expires_after(kPingInterval);
      co_await timer.async_wait(kAwaitAsTuple);
      if (!*aAlive || aConnection->closed) {
        co_return;
      }
      const auto now = std::chrono::steady_clock::now();
      if (now - aConnection->lastReceivedAt > kPeerSilenceTimeout) {
        CloseConnection(*aConnection);
        co_return;
      }
      nghttp2_submit_ping(aConnection->session, NGHTTP2_FLAG_NONE, nullptr);
      aConnection->sendSignal.cancel();
    }
  }

  asio::awaitable<void> AcceptLoop(Alive aAlive)
  {
    while (*aAlive) {
      auto [error, socket] = co_await acceptor_.async_accept(kAwaitAsTuple);
      if (!*aAlive || !acceptor_.is_open()) {
        co_return;
      }
      if (error) {
        // A connection that cannot be accepted waits in the queue.
        asio::steady_timer pause(context_, kAcceptPause);
        co_await pause.async_wait(kAwaitAsTuple);
        continue;
      }
      const ConnectionPointer connection =
        std::make_shared<PeerConnection>(context_, ++lastConnection_);
      connection->socket = std::move(socket);
      connections_[connection->id] = connection;
      connection->open = true;
      nghttp2_session_server_new(
        &connection->session, nghttp2Callbacks_, UserDataOf(*connection));
      const std::array entries{ nghttp2_settings_entry{
        NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, kFlowControlWindowBytes } };
      nghttp2_submit_settings(
        connection->session, NGHTTP2_FLAG_NONE, entries.data(), entries.size());
      nghttp2_session_set_local_window_size(
        connection->session, NGHTTP2_FLAG_NONE, 0, kFlowControlWindowBytes);
      connection->accepted = true;
      asio::co_spawn(context_, ReceiveLoop(aAlive, connection), asio::detached);
      asio::co_spawn(context_, SendLoop(aAlive, connection), asio::detached);
    }
  }

  void OnHeader(PeerConnection& aConnection,
                std::string_view aName,
                std::string_view aValue)
  {
    if (aName == kInstanceHeader) {
      const auto found = core::FindByName<core::InstanceId>(
        std::span<const core::Instance>(settings_.instances), aValue);
      aConnection.sender = found.value_or(core::InstanceId{});
    }
    if (aName == kFingerprintHeader && aValue != fingerprint_) {
      aConnection.accepted = false;
      ReportUnreadable("peer has different settings");
    }
  }

  void ReportUnreadable(std::string aWhy)
  {
    ++counters_.unreadable;
    if (callbacks_.onUnreadable) {
      callbacks_.onUnreadable(std::move(aWhy));
    }
  }

  void OnData(PeerConnection& aConnection, std::string_view aData)
  {
    aConnection.receiveBuffer += aData;
    std::string_view rest = aConnection.receiveBuffer;
    while (rest.size() >= kLengthPrefixBytes && aConnection.accepted) {
      const std::size_t length = ReadLength(rest);
      if (length > kMaxMessageBytes || !aConnection.sender.Valid()) {
        aConnection.accepted = false;
        ReportUnreadable("message is too long or its sender unknown");
        return;
      }
      if (rest.size() < kLengthPrefixBytes + length) {
        break;
      }
      DeliverMessage(aConnection.sender,
                     rest.substr(kLengthPrefixBytes, length));
      rest.remove_prefix(kLengthPrefixBytes + length);
    }
    aConnection.receiveBuffer.erase(
      0, aConnection.receiveBuffer.size() - rest.size());
  }

  void DeliverMessage(core::InstanceId aFrom, std::string_view aBytes)
  {
    std::string reason;
    auto message = DecodeMessage(
      std::span(reinterpret_cast<const uint8_t*>(aBytes.data()), aBytes.size()),
      reason);
    if (!message) {
      ReportUnreadable(reason);
      return;
    }
    ++counters_.messagesReceived;
    counters_.bytesReceived += aBytes.size() + kLengthPrefixBytes;
    // Posted, because the handler may send, and nghttp2 must not be re-entered
    // from one of its callbacks.
    asio::post(
      context_,
      [this, alive = alive_, aFrom, received = std::move(*message)]() mutable {
        if (*alive) {
          callbacks_.onMessage(aFrom, std::move(received));
        }
      });
  }

  asio::io_context& context_;
  const core::Settings& settings_;
  core::InstanceId self_;
  MeshCallbacks callbacks_;
  tcp::acceptor acceptor_;
  std::string fingerprint_;
  Alive alive_;
  nghttp2_session_callbacks* nghttp2Callbacks_ = nullptr;
  MeshCounters counters_;
  uint64_t lastConnection_ = 0;
  std::map<uint64_t, ConnectionPointer> connections_;
  std::map<uint64_t, std::pair<NodeImplementation*, PeerConnection*>> userData_;
  std::map<core::InstanceId, uint64_t> outgoing_;
};

} // namespace

uint64_t
SettingsFingerprint(const core::Settings& aSettings)
{
  uint64_t fingerprint = core::StableHash(aSettings.deployment);
  const auto mixNames = [&fingerprint](const auto& aEntries) {
    for (const auto& entry : aEntries) {
      fingerprint = core::MixHash(fingerprint, core::StableHash(entry.name));
    }
  };
  mixNames(aSettings.versions);
  mixNames(aSettings.classes);
  mixNames(aSettings.organisations);
  mixNames(aSettings.upstreams);
  mixNames(aSettings.instances);
  return fingerprint;
}

std::unique_ptr<MeshNode>
MakeMeshNode(asio::io_context& aContext,
             const core::Settings& aSettings,
             core::InstanceId aSelf,
             MeshCallbacks aCallbacks)
{
  return std::make_unique<NodeImplementation>(
    aContext, aSettings, aSelf, std::move(aCallbacks));
}

} // namespace hibiscusnotch::mesh
