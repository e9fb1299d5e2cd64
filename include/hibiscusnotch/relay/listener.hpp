/// @file
/// @brief HTTP/1.1 server that passes clients' requests to an observer.
#pragma once

#include "hibiscusnotch/core/settings.hpp"
#include "hibiscusnotch/relay/bind.hpp"
#include "hibiscusnotch/relay/body_budget.hpp"
#include "hibiscusnotch/relay/clock.hpp"
#include "hibiscusnotch/relay/descriptor_reserve.hpp"
#include "hibiscusnotch/relay/http_reader.hpp"
#include "hibiscusnotch/relay/unsent_budget.hpp"

#include <functional>
#include <memory>
#include <string>

namespace hibiscusnotch::relay {

/// @brief One request and its response on one connection.
using ExchangeId = uint64_t;

struct ListenerOptions
{
  core::Endpoint endpoint;
  RequestLimits limits;
  Duration headerTimeout{ 3'000'000 };
  Duration bodyTimeout{ 30'000'000 }; ///< For the whole body.
  Duration idleTimeout{ 15'000'000 };
  /// @brief Its connections are served also from the descriptors that are held
  /// back: for few short exchanges, such as readiness checks.
  bool usesReserve = false;
  /// @brief Keeps the kernel's buffers of unsent bytes small, where these count
  /// as memory of the process.
  bool smallSendBuffers = false;
  /// @brief How long to wait, blocking, for the endpoint to be free.
  Duration bindTimeout = kMaxBindWait;
};

struct ListenerObserver
{
  std::function<void(ExchangeId, net::HttpRequest)> onRequest;
  /// @brief The client closed its connection before the response ended.
  std::function<void(ExchangeId)> onClientDisconnected;
  /// @brief All that was written so far has been sent.
  std::function<void(ExchangeId)> onWritten;
};

/// @brief How a response's body is delimited.
enum class Framing
{
  Length,  ///< By the Content-Length among the headers.
  Chunked, ///< By the chunked coding, applied by the listener.
};

class Listener
{
public:
  virtual ~Listener() = default;

  /// @brief Starts a response; adds the Transfer-Encoding and Connection
  /// fields.
  virtual void Start(ExchangeId aId,
                     int aStatus,
                     std::string_view aReason,
                     const net::Headers& aHeaders,
                     Framing aFraming) = 0;
  virtual void Write(ExchangeId aId, std::string_view aBytes) = 0;
  /// @brief Ends a response; the connection reads its next request.
  virtual void Finish(ExchangeId aId) = 0;
  /// @brief Closes the connection, so that the client sees a truncated
  /// response.
  virtual void Abort(ExchangeId aId) = 0;
  /// @brief Bytes written but not yet sent to the client.
  virtual std::size_t UnsentBytes(ExchangeId aId) const = 0;
  /// @brief Replaces the limits and timeouts for later requests.
  virtual void SetOptions(const ListenerOptions& aOptions) = 0;
  /// @brief Closes each connection after its next response or once it is idle.
  virtual void Drain() = 0;
  /// @brief While set, each response closes its connection, so that clients
  /// reconnect to an instance that is ready.
  virtual void SetCloseAfterResponse(bool aClosing) = 0;
  virtual void StopAccepting() = 0;
  virtual std::size_t OpenExchanges() const = 0;
  virtual std::size_t OpenConnections() const = 0;
  /// @brief The bound port, also if the options asked for port zero.
  virtual uint16_t Port() const = 0;
};

/// @brief Starts to listen; throws if the endpoint cannot be bound.
/// @param aBudget Bounds the unsent bytes, if given; must outlive the listener.
/// @param aReserve Keeps the process able to answer without descriptors, if
/// given; must outlive the listener.
/// @param aBodies Bounds the bodies of requests from their first byte to the
/// end of their response, if given; must outlive the listener.
std::unique_ptr<Listener>
MakeListener(boost::asio::io_context& aContext,
             Timers& aTimers,
             ListenerOptions aOptions,
             ListenerObserver aObserver,
             UnsentBudget* aBudget = nullptr,
             DescriptorReserve* aReserve = nullptr,
             BodyBudget* aBodies = nullptr);

} // namespace hibiscusnotch::relay
