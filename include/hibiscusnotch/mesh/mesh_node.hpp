/// @file
/// @brief Sends messages between entry instances over HTTP/2 streams.
#pragma once

#include "hibiscusnotch/core/peer_message.hpp"
#include "hibiscusnotch/core/settings.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace boost::asio {
class io_context;
}

namespace hibiscusnotch::mesh {

/// @brief Traffic counters of one node.
struct MeshCounters
{
  uint64_t messagesSent = 0;
  uint64_t messagesReceived = 0;
  uint64_t bytesSent = 0;
  uint64_t bytesReceived = 0;
  uint64_t dropped = 0;
  uint64_t unreadable = 0;
};

struct MeshCallbacks
{
  std::function<void(core::InstanceId, core::PeerMessage)> onMessage;
  std::function<void(std::string)> onUnreadable;
};

/// @brief Keeps one long-lived stream to each peer that it sends to.
///
/// A connection whose peer has been silent for two seconds, despite pings, is
/// closed, and the next message opens a new one. This recovers from network
/// paths that drop packets silently.
class MeshNode
{
public:
  virtual ~MeshNode() = default;

  /// @brief Queues a message, or drops it if the peer's send buffer is full.
  virtual void Send(core::InstanceId aTo,
                    const core::PeerMessage& aMessage) = 0;
  virtual const MeshCounters& Counters() const = 0;
  /// @brief Closes all connections and stops accepting.
  virtual void Stop() = 0;
};

/// @brief Starts to listen on the instance's mesh endpoint.
std::unique_ptr<MeshNode>
MakeMeshNode(boost::asio::io_context& aContext,
             const core::Settings& aSettings,
             core::InstanceId aSelf,
             MeshCallbacks aCallbacks);

/// @brief Hash of all names that ids index in the settings. Messages refer to
/// them by id, so that only instances with equal fingerprints understand each
/// other.
uint64_t
SettingsFingerprint(const core::Settings& aSettings);

} // namespace hibiscusnotch::mesh
