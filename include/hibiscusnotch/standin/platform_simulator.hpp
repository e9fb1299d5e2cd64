/// @file
/// @brief Simulates the platform's object store without I/O.
#pragma once

#include "hibiscusnotch/core/action.hpp"
#include "hibiscusnotch/core/event.hpp"
#include "hibiscusnotch/standin/observation.hpp"

#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace hibiscusnotch::standin {

struct PlatformOptions
{
  uint64_t seed = 1;
  double writesPerSecond = 400;
  double readsPerSecond = 2000;
  core::Duration latency{ 4'000 };
  /// Share of writes that take effect although their response is lost.
  double lostResponseShare = 0;
};

/// @brief A response and when the platform sends it.
struct TimedResponse
{
  TimePoint at;
  core::PlatformResponse response;
};

/// @brief A long poll that waits for a newer version of an object.
struct PendingWatch
{
  uint64_t tag = 0; ///< Identifies the connection to respond on.
  core::CallId call = 0;
  std::string key;
  uint64_t version = 0;
  TimePoint expiresAt;
};

struct StoredObject
{
  uint64_t version = 0;
  std::string body;
};

/// @brief Simulates versioned objects with conditional writes, watches,
/// rate limits and faults.
class PlatformSimulator
{
public:
  PlatformSimulator(const core::Settings& aSettings, PlatformOptions aOptions);

  /// @brief Executes a call; returns nothing while a watch is pending.
  /// @param aTag Returned with the response of a pending watch.
  std::optional<TimedResponse> Call(TimePoint aNow,
                                    uint64_t aTag,
                                    const core::CallPlatform& aCall,
                                    Observations& aObservations);

  /// @brief Responses to watches whose object changed or that timed out.
  std::vector<std::pair<uint64_t, TimedResponse>> DueWatches(TimePoint aNow);

  void SetOutage(bool aOutage) { inOutage_ = aOutage; }
  bool InOutage() const { return inOutage_; }
  void SetLatency(core::Duration aLatency) { options_.latency = aLatency; }

  const std::map<std::string, StoredObject>& Objects() const
  {
    return objects_;
  }
  uint64_t Writes() const { return writes_; }
  uint64_t Reads() const { return reads_; }

  /// @brief All bills in the bill objects, each request once.
  std::vector<BillStored> Bills() const;

private:
  bool TryTakeToken(double& aTokens, double aRate, TimePoint aNow);
  core::PlatformResponse Execute(TimePoint aNow,
                                 const core::CallPlatform& aCall,
                                 Observations& aObservations);
  core::PlatformResponse Store(TimePoint aNow,
                               const core::CallPlatform& aCall,
                               Observations& aObservations);

  const core::Settings& settings_;
  PlatformOptions options_;
  std::mt19937_64 random_;
  std::map<std::string, StoredObject> objects_;
  std::vector<PendingWatch> watches_;
  uint64_t lastVersion_ = 0;
  bool inOutage_ = false;
  double writeTokens_ = 100;
  double readTokens_ = 500;
  TimePoint refilledAt_;
  uint64_t writes_ = 0;
  uint64_t reads_ = 0;
};

} // namespace hibiscusnotch::standin
