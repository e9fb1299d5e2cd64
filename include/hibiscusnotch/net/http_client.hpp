/// @file
/// @brief An HTTP/1.1 client with a connection pool and streamed responses.
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

using HttpCallId = uint64_t;

struct HttpCall
{
  core::Endpoint to;
  std::string method = "GET";
  std::string target = "/";
  Headers headers;
  std::string body;
  core::Duration connectTimeout{ 300'000 };
  core::Duration timeout{ 10'000'000 }; ///< Of each write or read.
  bool newConnection = false;           ///< Bypasses the pool.
  /// @brief The timeout is that of the whole response; set by Send.
  bool timeoutIsTotal = false;
};

enum class CallOutcome
{
  Complete,
  NotSent,        ///< No byte of the request was sent.
  ConnectionLost, ///< Closed or timed out after bytes were sent.
};

/// @brief Callbacks of one call, invoked in this order.
struct HttpCallObserver
{
  std::function<void(const HttpResponse&)> onHead; ///< Status and headers.
  std::function<void(std::string_view)> onData;
  std::function<void(CallOutcome)> onEnd;
};

class HttpClient
{
public:
  virtual ~HttpClient() = default;

  /// @brief Sends a request and streams the response to the observer.
  virtual HttpCallId Stream(HttpCall aCall, HttpCallObserver aObserver) = 0;
  /// @brief Ends a call; no callback follows.
  virtual void Cancel(HttpCallId aCall) = 0;
  /// @brief Stops or resumes reading a response.
  virtual void SetPaused(HttpCallId aCall, bool aPaused) = 0;
  /// @brief Sends a request and delivers the complete response.
  virtual HttpCallId Send(
    HttpCall aCall,
    std::function<void(CallOutcome, HttpResponse)> aDone) = 0;
  /// @brief Ends all calls and closes all connections.
  virtual void CloseAll() = 0;
};

/// @param aOnIdleClosed Called for each idle connection that the peer closed.
std::unique_ptr<HttpClient>
MakeHttpClient(boost::asio::io_context& aContext,
               std::function<void(const core::Endpoint&)> aOnIdleClosed);

} // namespace hibiscusnotch::net
