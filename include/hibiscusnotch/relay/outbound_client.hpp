/// @file
/// @brief Client for outgoing HTTP requests, one connection each.
#pragma once

#include "hibiscusnotch/core/settings.hpp"
#include "hibiscusnotch/relay/clock.hpp"
#include "hibiscusnotch/relay/descriptor_reserve.hpp"
#include "hibiscusnotch/relay/http_reader.hpp"

#include <functional>
#include <memory>
#include <string>

namespace hibiscusnotch::relay {

using CallId = uint64_t;

/// @brief How a call ended; tells whether the peer may have run the request.
enum class CallOutcome
{
  Complete, ///< The whole response was received.
  NotSent,  ///< No byte of the request reached the peer.
  /// This process lacked descriptors or memory; says nothing about the peer.
  NotStarted,
  ConnectionLost, ///< The connection failed after bytes were sent.
};

/// @brief What a new connection to a peer shows.
enum class Reachability
{
  Accepts,
  Refuses,     ///< Its machine answers, but no process listens there.
  Unreachable, ///< Nothing answers in time.
  Untried,     ///< This process lacked descriptors or memory.
};

struct OutboundCall
{
  core::Endpoint to;
  std::string message; ///< The serialised request, up to its body.
  /// @brief Sent after the message, if given; shared with who may send it
  /// again.
  std::shared_ptr<const std::string> body;
  Duration connectTimeout{ 300'000 };
  /// @brief After this time without a received byte, a second connection
  /// probes whether the peer is reachable; zero disables the probe.
  Duration probeAfterSilence{ 0 };
  /// @brief How long the peer may be silent and unreachable before the call is
  /// lost. A machine may pause for a moment and go on; a refused probe ends the
  /// call at once.
  Duration maxSilence{ 1'300'000 };
  bool bodyless = false; ///< For HEAD requests, whose response has no body.
};

/// @brief What a response shows of the process that sent it.
enum class Sender
{
  Peer,    ///< The one that it was asked of.
  Other,   ///< Another process at its address.
  Unknown, ///< Perhaps something in between.
};

/// @brief A request that shows whether a call's peer still runs. What accepts a
/// connection may be the kernel, for a process that is ending, or a proxy.
struct LivenessCheck
{
  std::string message; ///< The serialised request.
  /// @brief Who sent the whole response to it.
  std::function<Sender(const ResponseHead&, std::string_view aBody)> senderOf;
};

/// @brief Callbacks of one call, invoked in this order.
struct CallObserver
{
  std::function<void(const ResponseHead&)> onHead;
  std::function<void(std::string_view)> onBody;
  std::function<void(CallOutcome, std::string_view aWhy)> onEnd;
};

/// @brief Sends HTTP requests and reports their responses.
///
/// Connections are not reused, so that no request meets leftovers of an earlier
/// response or a connection that the peer is about to close. A response that
/// ends with its connection counts as complete only if the peer passes its
/// liveness check, or accepts a connection where there is none: a process that
/// is killed ends its responses in the same way. If the request is long, its
/// peer must also have taken all of it, and not reset the connection.
class OutboundClient
{
public:
  virtual ~OutboundClient() = default;

  virtual CallId Start(OutboundCall aCall, CallObserver aObserver) = 0;
  /// @brief Closes the connection; no callback follows.
  virtual void Cancel(CallId aCall) = 0;
  /// @brief Sets what is asked should the call's response end with its
  /// connection.
  virtual void SetLivenessCheck(CallId aCall, LivenessCheck aCheck) = 0;
  /// @brief Stops or resumes reading, as back pressure for a slow receiver.
  virtual void SetPaused(CallId aCall, bool aPaused) = 0;
  /// @brief Opens a connection, closes it at once and reports the result.
  virtual void Probe(const core::Endpoint& aPeer,
                     Duration aTimeout,
                     std::function<void(Reachability)> aReport) = 0;
  virtual std::size_t Open() const = 0;
};

/// @param aReserve Makes room for connections, if given; must outlive the
/// client.
std::unique_ptr<OutboundClient>
MakeOutboundClient(boost::asio::io_context& aContext,
                   Timers& aTimers,
                   DescriptorReserve* aReserve = nullptr);

} // namespace hibiscusnotch::relay
