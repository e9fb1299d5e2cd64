/// @file
/// @brief An HTTP/1.1 server whose exchanges are addressed by ids.
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

/// @brief One request and its answer on one connection.
using ExchangeId = uint64_t;

struct HttpServerOptions
{
  core::Endpoint endpoint;
  std::size_t maxHeaderBytes = 16 * 1024;
  std::size_t maxBodyBytes = 1024 * 1024;
  core::Duration idleTimeout{ 30'000'000 };
  core::Duration requestTimeout{ 10'000'000 }; ///< To send a whole request.
  core::Duration writeTimeout{ 30'000'000 }; ///< Of a caller that reads slowly.
  /// @brief Makes the body of an answer to a malformed request.
  std::function<std::string(int aStatus, std::string_view aWhy)> errorBody;
};

struct HttpServerCallbacks
{
  std::function<void(ExchangeId, HttpRequest)> onRequest;
  std::function<void(ExchangeId)>
    onClientDisconnected;                    ///< The client went away.
  std::function<void(ExchangeId)> onWritten; ///< All that was queued is sent.
};

class HttpServer
{
public:
  virtual ~HttpServer() = default;

  /// @brief Answers with one body.
  virtual void Respond(ExchangeId aId,
                       int aStatus,
                       Headers aHeaders,
                       std::string aBody) = 0;
  /// @brief Starts an answer in chunks.
  virtual void StartStream(ExchangeId aId, int aStatus, Headers aHeaders) = 0;
  virtual void Write(ExchangeId aId, std::string aData) = 0;
  virtual void FinishStream(ExchangeId aId) = 0;
  /// @brief Ends the connection without finishing the answer.
  virtual void Abort(ExchangeId aId) = 0;
  /// @brief Bytes that the client has not yet taken.
  virtual std::size_t UnsentBytes(ExchangeId aId) const = 0;
  /// @brief Open exchanges.
  virtual std::size_t OpenExchanges() const = 0;
  /// @brief Takes no new connection and closes idle ones.
  virtual void StopAccepting() = 0;
  /// @brief Resets every connection.
  virtual void CloseAll() = 0;
};

/// @brief Listens at once; throws when the endpoint cannot be had.
std::unique_ptr<HttpServer>
MakeHttpServer(boost::asio::io_context& aContext,
               HttpServerOptions aOptions,
               HttpServerCallbacks aCallbacks);

} // namespace hibiscusnotch::net
