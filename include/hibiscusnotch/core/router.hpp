/// @file
/// @brief Interface of the decision core of one entry instance.
#pragma once

#include "hibiscusnotch/core/action.hpp"
#include "hibiscusnotch/core/balancer.hpp"
#include "hibiscusnotch/core/cascade.hpp"
#include "hibiscusnotch/core/event.hpp"
#include "hibiscusnotch/core/rollout_guard.hpp"

#include <cstdint>
#include <memory>

namespace hibiscusnotch::core {

/// @brief Identity, seed and policies of a router.
struct RouterOptions
{
  InstanceId self;
  uint64_t incarnation = 1; ///< Increases with each start of the process.
  uint64_t seed = 1;
  CascadePolicy cascade = LearntCascade{};
  BalancePolicy balance = LeastExpectedWait{};
  RolloutPolicy rollout = GuardedRollout{};
};

/// @brief Counters for metrics; decisions never read them.
struct RouterCounters
{
  uint64_t dispatched = 0;
  uint64_t retries = 0;
  uint64_t escalations = 0;
  uint64_t crossedChunks = 0;
  uint64_t platformCalls = 0;
};

/// @brief State machine that maps timestamped events to actions.
///
/// It does no I/O, reads no clock and starts no thread, so it is deterministic:
/// the same events with the same seed give the same actions.
class Router
{
public:
  virtual ~Router() = default;

  /// @brief Processes one event and appends the resulting actions.
  virtual void Handle(TimePoint aNow, Event aEvent, Actions& aActions) = 0;

  virtual const LiveConfiguration& Configuration() const = 0;
  virtual const RouterCounters& Counters() const = 0;
  /// @brief True once a configuration is known, unless draining.
  virtual bool Ready() const = 0;
  /// @brief Requests queued for an upstream.
  virtual std::size_t QueuedRequestCount() const = 0;
  /// @brief Requests neither answered nor refused yet.
  virtual std::size_t OpenRequestCount() const = 0;
  /// @brief Instances that this one considers alive, itself included.
  virtual std::size_t LiveInstanceCount() const = 0;
};

/// @param aSettings Must outlive the router.
std::unique_ptr<Router>
MakeRouter(const Settings& aSettings, const RouterOptions& aOptions);

} // namespace hibiscusnotch::core
