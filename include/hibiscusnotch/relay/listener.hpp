/// @file
/// @brief Accepts callers' connections and hands out their requests.
#pragma once

#include "hibiscusnotch/core/settings.hpp"
#include "hibiscusnotch/relay/clock.hpp"
#include "hibiscusnotch/relay/http_reader.hpp"

#include <functional>
#include <memory>
#include <string>

namespace hibiscusnotch::relay {

/// @brief One request and its answer on one connection.
using ExchangeId = uint64_t;

struct ListenerOptions
{
  core::Endpoint endpoint;
  RequestLimits limits;
  Duration headerTimeout{ 3'000'000 };
  Duration bodyTimeout{ 30'000'000 };
  Duration idleTimeout{ 15'000'000 };
};

struct ListenerObserver
{
  std::function<void(ExchangeId, net::HttpRequest)> onRequest;
  /// @brief The caller closed its connection before the answer ended.
  std::function<void(ExchangeId)> onClientDisconnected;
  /// @brief The caller has taken all that was written so far.
  std::function<void(ExchangeId)> onWritten;
};

/// @brief How the end of an answer's body is told.
enum class Framing
{
  Length,  ///< By a Content-Length among the headers.
  Chunked, ///< Transfer coding added here.
};

class Listener
{
public:
  virtual ~Listener() = default;

  /// @brief Starts an answer; the connection's own headers are added here.
  virtual void Start(ExchangeId aId,
                     int aStatus,
                     std::string_view aReason,
                     const net::Headers& aHeaders,
                     Framing aFraming) = 0;
  virtual void Write(ExchangeId aId, std::string_view aBytes) = 0;
  /// @brief Ends an answer; the connection takes the next request.
  virtual void Finish(ExchangeId aId) = 0;
  /// @brief Ends the connection so that the answer is seen to be cut short.
  virtual void Abort(ExchangeId aId) = 0;
  /// @brief Bytes that the caller has not taken.
  virtual std::size_t UnsentBytes(ExchangeId aId) const = 0;
  /// @brief Limits for the requests that come from now on.
  virtual void SetOptions(const ListenerOptions& aOptions) = 0;
  /// @brief Each connection closes with its next answer, or when it is idle.
  virtual void Drain() = 0;
  /// @brief While set, each answer closes its connection, so that callers
  /// find an instance that serves them better.
  virtual void SetCloseAfterResponse(bool aClosing) = 0;
  virtual void StopAccepting() = 0;
  virtual std::size_t OpenExchanges() const = 0;
  virtual std::size_t OpenConnections() const = 0;
  /// @brief The port in use, also when zero was asked for.
  virtual uint16_t Port() const = 0;
};

/// @brief Listens at once; throws when the endpoint cannot be had.
std::unique_ptr<Listener>
MakeListener(boost::asio::io_context& aContext,
             Timers& aTimers,
             ListenerOptions aOptions,
             ListenerObserver aObserver);

} // namespace hibiscusnotch::relay
