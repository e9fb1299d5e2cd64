/// @file
/// @brief Outgoing requests that deliver the complete response or a failure.
#pragma once

#include "hibiscusnotch/relay/outbound_client.hpp"

#include <functional>
#include <string>
#include <unordered_map>

namespace hibiscusnotch::relay {

using FetchId = uint64_t;

/// @brief Receives the status and the body; status zero means that no complete
/// response came in time.
using FetchCallback =
  std::function<void(int aStatus, const std::string& aBody)>;

class Fetcher
{
public:
  Fetcher(OutboundClient& aClient, Timers& aTimers);

  FetchId Start(OutboundCall aCall, Duration aTimeout, FetchCallback aDone);
  /// @brief Ends a fetch now, as if it had timed out.
  void Abandon(FetchId aFetch);

private:
  struct PendingFetch
  {
    int status = 0;
    std::string body;
    CallId call = 0;
    TimerId timer = 0;
    FetchCallback done;
  };

  void End(FetchId aFetch, bool aComplete);

  OutboundClient& client_;
  Timers& timers_;
  std::unordered_map<FetchId, PendingFetch> pending_;
  FetchId lastId_ = 0;
};

} // namespace hibiscusnotch::relay
