/// @file
/// @brief Outgoing requests, one connection each.
#pragma once

#include "hibiscusnotch/core/settings.hpp"
#include "hibiscusnotch/relay/clock.hpp"
#include "hibiscusnotch/relay/http_reader.hpp"

#include <functional>
#include <memory>
#include <string>

namespace hibiscusnotch::relay {

using CallId = uint64_t;

/// @brief How a call ended, and so whether its request may have run.
enum class CallOutcome
{
  Complete,       ///< The response is whole.
  NotSent,        ///< No byte of the request reached the peer.
  ConnectionLost, ///< The connection failed after bytes had left.
};

struct OutboundCall
{
  core::Endpoint to;
  std::string message; ///< The request, as it goes on the wire.
  Duration connectTimeout{ 300'000 };
  /// @brief After so long without a byte, a second connection finds out
  /// whether the peer can be reached; zero for never.
  Duration probeAfterSilence{ 0 };
  bool bodyless = false; ///< A HEAD request: the response has no body.
};

/// @brief What a call reports, in this order.
struct CallObserver
{
  std::function<void(const ResponseHead&)> onHead;
  std::function<void(std::string_view)> onBody;
  std::function<void(CallOutcome, std::string_view aWhy)> onEnd;
};

/// @brief Sends requests.
///
/// Every request has a connection of its own: no answer of a former request
/// and no connection that the peer is about to close can touch it.
class OutboundClient
{
public:
  virtual ~OutboundClient() = default;

  virtual CallId Start(OutboundCall aCall, CallObserver aObserver) = 0;
  /// @brief Closes the connection; no report comes after it.
  virtual void Cancel(CallId aCall) = 0;
  /// @brief Stops or resumes reading, for a receiver that is slow.
  virtual void SetPaused(CallId aCall, bool aPaused) = 0;
  virtual std::size_t Open() const = 0;
};

std::unique_ptr<OutboundClient>
MakeOutboundClient(boost::asio::io_context& aContext, Timers& aTimers);

} // namespace hibiscusnotch::relay
