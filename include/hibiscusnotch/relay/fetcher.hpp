/// @file
/// @brief Outgoing requests whose whole response is wanted, or nothing.
#pragma once

#include "hibiscusnotch/relay/outbound_client.hpp"

#include <functional>
#include <string>
#include <unordered_map>

namespace hibiscusnotch::relay {

using FetchId = uint64_t;

/// @brief Hears of the status and the body; a status of zero means that there
/// was no whole response in time.
using FetchCallback =
  std::function<void(int aStatus, const std::string& aBody)>;

class Fetcher
{
public:
  Fetcher(OutboundClient& aCaller, Timers& aTimers);

  FetchId Start(OutboundCall aCall, Duration aTimeout, FetchCallback aDone);
  /// @brief Ends a fetch now, as if its time were over.
  void Abandon(FetchId aFetch);

private:
  struct Row
  {
    int status = 0;
    std::string body;
    CallId call = 0;
    TimerId timer = 0;
    FetchCallback done;
  };

  void End(FetchId aFetch, bool aComplete);

  OutboundClient& caller_;
  Timers& timers_;
  std::unordered_map<FetchId, Row> rows_;
  FetchId last_ = 0;
};

} // namespace hibiscusnotch::relay
