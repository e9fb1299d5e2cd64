/// @file
/// @brief An HTTP/1.1 client with pooled connections and streamed replies.
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
  core::Duration timeout{ 10'000'000 }; ///< Between bytes of the reply.
  bool newConnection = false;         ///< Never one from the pool.
};

enum class CallOutcome
{
  Complete,
  NotSent,        ///< No byte of the request left.
  ConnectionLost, ///< The connection ended, or went silent, after the request
                  ///< left.
};

/// @brief What a call reports, in this order.
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

  /// @brief Sends a request whose reply is streamed to the events.
  virtual HttpCallId Stream(HttpCall aCall, HttpCallObserver aEvents) = 0;
  /// @brief Ends a call; no event comes after it.
  virtual void Cancel(HttpCallId aCall) = 0;
  /// @brief Stops or goes on reading a reply.
  virtual void SetPaused(HttpCallId aCall, bool aPaused) = 0;
  /// @brief Sends a request and gives the whole reply.
  virtual HttpCallId Send(
    HttpCall aCall,
    std::function<void(CallOutcome, HttpResponse)> aDone) = 0;
  /// @brief Ends every call and connection.
  virtual void CloseAll() = 0;
};

/// @param aIdleClosed Hears of each pooled connection that the peer ended.
std::unique_ptr<HttpClient>
MakeHttpClient(boost::asio::io_context& aContext,
               std::function<void(const core::Endpoint&)> aIdleClosed);

} // namespace hibiscusnotch::net
