/// @file
/// @brief An HTTP/1.1 server that answers requests asynchronously, by id.
#pragma once

#include "hibiscusnotch/core/settings.hpp"
#include "hibiscusnotch/net/http_types.hpp"

#include <cstdint>
#include <functional>
#include <memory>

namespace boost::asio {
class io_context;
}

namespace hibiscusnotch::net {

/// @brief One request and its response on one connection.
using ExchangeId = uint64_t;

struct HttpServerOptions
{
  core::Endpoint endpoint;
  std::size_t maxHeaderBytes = 16 * 1024;
  std::size_t maxBodyBytes = 1024 * 1024;
  core::Duration idleTimeout{ 30'000'000 };
  core::Duration requestTimeout{ 10'000'000 }; ///< To receive a whole request.
  core::Duration writeTimeout{ 30'000'000 };   ///< Per write, for slow clients.
  /// @brief Makes the response body for a malformed request.
  std::function<std::string(int aStatus, std::string_view aWhy)> errorBody;
};

struct HttpServerCallbacks
{
  std::function<void(ExchangeId, HttpRequest)> onRequest;
  /// @brief The client disconnected before the response ended.
  std::function<void(ExchangeId)> onClientDisconnected;
  std::function<void(ExchangeId)> onWritten; ///< The write queue is empty.
};

class HttpServer
{
public:
  virtual ~HttpServer() = default;

  /// @brief Sends a complete response.
  virtual void Respond(ExchangeId aId,
                       int aStatus,
                       Headers aHeaders,
                       std::string aBody) = 0;
  /// @brief Starts a chunked response.
  virtual void StartStream(ExchangeId aId, int aStatus, Headers aHeaders) = 0;
  virtual void Write(ExchangeId aId, std::string aData) = 0;
  virtual void FinishStream(ExchangeId aId) = 0;
  /// @brief Closes the connection without finishing the response.
  virtual void Abort(ExchangeId aId) = 0;
  /// @brief Bytes queued but not yet sent to the client.
  virtual std::size_t UnsentBytes(ExchangeId aId) const = 0;
  virtual std::size_t OpenExchanges() const = 0;
  /// @brief Stops accepting connections and closes idle ones.
  virtual void StopAccepting() = 0;
  /// @brief Resets every connection.
  virtual void CloseAll() = 0;
};

/// @brief Starts to listen; throws if the endpoint cannot be bound.
std::unique_ptr<HttpServer>
MakeHttpServer(boost::asio::io_context& aContext,
               HttpServerOptions aOptions,
               HttpServerCallbacks aCallbacks);

} // namespace hibiscusnotch::net
