/// @file
/// @brief The decision core of one entry instance.
#pragma once

#include "hibiscusnotch/core/action.hpp"
#include "hibiscusnotch/core/balancer.hpp"
#include "hibiscusnotch/core/cascade.hpp"
#include "hibiscusnotch/core/event.hpp"
#include "hibiscusnotch/core/rollout_guard.hpp"

#include <cstdint>
#include <memory>

namespace hibiscusnotch::core {

/// @brief What a router is made of.
struct RouterOptions
{
  InstanceId self;
  uint64_t incarnation = 1; ///< Larger at each start of the instance.
  uint64_t seed = 1;
  CascadePolicy cascade = LearntCascade{};
  BalancePolicy balance = LeastExpectedWait{};
  RolloutPolicy rollout = GuardedRollout{};
};

/// @brief Counts for operators; decisions never read them.
struct RouterCounters
{
  uint64_t dispatched = 0;
  uint64_t retries = 0;
  uint64_t escalations = 0;
  uint64_t crossedChunks = 0;
  uint64_t platformCalls = 0;
};

/// @brief Takes events with their times and gives the actions that follow.
///
/// It does no I/O, reads no clock and starts no thread: the same events with
/// the same seed give the same actions.
class Router
{
public:
  virtual ~Router() = default;

  /// @brief Decides on one event.
  virtual void Handle(TimePoint aNow, Event aEvent, Actions& aActions) = 0;

  virtual const LiveConfiguration& Configuration() const = 0;
  virtual const RouterCounters& Counters() const = 0;
  /// @brief True once a configuration is known and no drain runs.
  virtual bool Ready() const = 0;
  /// @brief Requests that wait for an upstream.
  virtual std::size_t QueuedRequestCount() const = 0;
  /// @brief Requests that are not yet answered.
  virtual std::size_t OpenRequestCount() const = 0;
  /// @brief Instances that count as alive here, this one included.
  virtual std::size_t LiveInstanceCount() const = 0;
};

/// @param aSettings Outlives the router.
std::unique_ptr<Router>
MakeRouter(const Settings& aSettings, const RouterOptions& aOptions);

} // namespace hibiscusnotch::core
