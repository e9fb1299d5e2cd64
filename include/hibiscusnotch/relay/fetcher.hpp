/// @file
/// @brief Outgoing requests that deliver the complete response or a failure.
#pragma once

#include "hibiscusnotch/relay/outbound_client.hpp"

#include <cstddef>
#include <functional>
#include <string>
#include <unordered_map>

namespace hibiscusnotch::relay {

using FetchId = uint64_t;

/// @brief A response; status zero means that no complete one came in time.
struct FetchedResponse
{
  int status = 0;
  net::Headers headers;
  std::string body;
};

using FetchCallback = std::function<void(const FetchedResponse&)>;

class Fetcher
{
public:
  /// @brief A longer body is a failure; lists of the store have a few MB. Also
  /// the bound of all bodies under way: beyond it, the longest one fails.
  static constexpr std::size_t kMaxBodyBytes = 16 * 1024 * 1024;

  Fetcher(OutboundClient& aClient, Timers& aTimers);

  FetchId Start(OutboundCall aCall, Duration aTimeout, FetchCallback aDone);
  /// @brief Ends a fetch now, as if it had timed out.
  void Abandon(FetchId aFetch);

private:
  struct PendingFetch
  {
    FetchedResponse response;
    CallId call = 0;
    TimerId timer = 0;
    FetchCallback done;
  };

  void AppendBody(FetchId aFetch, std::string_view aBytes);
  FetchId LongestBody() const;
  void End(FetchId aFetch, bool aComplete);

  OutboundClient& client_;
  Timers& timers_;
  std::unordered_map<FetchId, PendingFetch> pending_;
  std::size_t bodyBytes_ = 0; ///< Of all that are under way.
  FetchId lastId_ = 0;
};

} // namespace hibiscusnotch::relay
