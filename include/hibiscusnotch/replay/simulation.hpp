/// @file
/// @brief Drives routers and stand-in models on a paused clock.
#pragma once

#include "hibiscusnotch/core/router.hpp"
#include "hibiscusnotch/replay/trace.hpp"
#include "hibiscusnotch/standin/observation.hpp"

#include <cstdint>
#include <map>
#include <string>

namespace hibiscusnotch::replay {

struct SimulationOptions
{
  uint64_t seed = 1;
  core::CascadePolicy cascade = core::LearntCascade{};
  core::BalancePolicy balance = core::LeastExpectedWait{};
  core::RolloutPolicy rollout = core::GuardedRollout{};
  double messageLoss = 0;      ///< Share of messages between instances.
  double messageDuplicate = 0; ///< Share that comes twice.
  double lostPlatformAnswers = 0.01;
  core::Duration messageJitter{ 0 };
  bool sessionTokens = false; ///< Callers give session tokens back.
};

struct SimulationResult
{
  standin::Observations observations;
  double cost = 0;
  uint64_t attempts = 0;
  uint64_t retries = 0;
  uint64_t escalations = 0;
  uint64_t platformWrites = 0;
  uint64_t platformReads = 0;
  uint64_t peerMessages = 0;
  std::map<std::string, uint64_t> events; ///< Log events by name.
};

/// @brief Plays the trace to its end; the same seed gives the same result.
SimulationResult
RunSimulation(const core::Settings& aSettings,
              const Trace& aTrace,
              const SimulationOptions& aOptions);

} // namespace hibiscusnotch::replay
