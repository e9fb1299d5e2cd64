/// @file
/// @brief The platform's object API without I/O.
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
  double lostResponseShare = 0; ///< Of calls whose effect stands.
};

/// @brief An answer and when it leaves the platform.
struct TimedAnswer
{
  TimePoint at;
  core::PlatformResponse answer;
};

/// @brief A watch that waits for a newer version.
struct PendingWatch
{
  uint64_t tag = 0; ///< The caller's, to find its connection again.
  core::CallId call = 0;
  std::string key;
  uint64_t version = 0;
  TimePoint expires;
};

struct StoredObject
{
  uint64_t version = 0;
  std::string body;
};

/// @brief Versioned objects with conditional updates, watches and faults.
class PlatformSimulator
{
public:
  PlatformSimulator(const core::Settings& aSettings, PlatformOptions aOptions);

  /// @brief Executes a call; a watch without news gives nothing yet.
  /// @param aTag Comes back with the answer of a watch.
  std::optional<TimedAnswer> Call(TimePoint aNow,
                                  uint64_t aTag,
                                  const core::CallPlatform& aCall,
                                  Observations& aSeen);

  /// @brief Watches that are due: news, or the end of their time.
  std::vector<std::pair<uint64_t, TimedAnswer>> DueWatches(TimePoint aNow);

  void SetOut(bool aOut) { out_ = aOut; }
  bool Out() const { return out_; }
  void SetSlow(core::Duration aLatency) { options_.latency = aLatency; }

  const std::map<std::string, StoredObject>& Objects() const
  {
    return objects_;
  }
  uint64_t Writes() const { return writes_; }
  uint64_t Reads() const { return reads_; }

  /// @brief All bills in the batch objects, each key once.
  std::vector<BillStored> Bills() const;

private:
  bool TakeToken(double& aTokens, double aRate, TimePoint aNow);
  core::PlatformResponse Execute(TimePoint aNow,
                                 const core::CallPlatform& aCall,
                                 Observations& aSeen);
  core::PlatformResponse Store(TimePoint aNow,
                               const core::CallPlatform& aCall,
                               Observations& aSeen);

  const core::Settings& settings_;
  PlatformOptions options_;
  std::mt19937_64 random_;
  std::map<std::string, StoredObject> objects_;
  std::vector<PendingWatch> watches_;
  uint64_t lastVersion_ = 0;
  bool out_ = false;
  double writeTokens_ = 100;
  double readTokens_ = 500;
  TimePoint refilledAt_;
  uint64_t writes_ = 0;
  uint64_t reads_ = 0;
};

} // namespace hibiscusnotch::standin
