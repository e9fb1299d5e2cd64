/// @file
/// @brief Outgoing requests whose whole response is wanted, or nothing.
#pragma once

#include "hibiscusnotch/relay/caller.hpp"

#include <functional>
#include <string>
#include <unordered_map>

namespace hibiscusnotch::relay {

using FetchId = uint64_t;

/// @brief Hears of the status and the body; a status of zero means that there
/// was no whole response in time.
using FetchDone = std::function<void(int aStatus, const std::string& aBody)>;

class Fetcher
{
public:
  Fetcher(Caller& aCaller, Timers& aTimers);

  FetchId Start(OutgoingCall aCall, Duration aTimeout, FetchDone aDone);
  /// @brief Ends a fetch now, as if its time were over.
  void Abandon(FetchId aFetch);

private:
  struct Row
  {
    int status = 0;
    std::string body;
    CallId call = 0;
    TimerId timer = 0;
    FetchDone done;
  };

  void End(FetchId aFetch, bool aComplete);

  Caller& caller_;
  Timers& timers_;
  std::unordered_map<FetchId, Row> rows_;
  FetchId last_ = 0;
};

} // namespace hibiscusnotch::relay
