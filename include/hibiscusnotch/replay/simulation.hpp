/// @file
/// @brief Deterministic discrete-event simulation of routers and stand-ins.
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
  double messageLossShare = 0;      ///< Share of peer messages lost.
  double messageDuplicateShare = 0; ///< Share of them delivered twice.
  double lostPlatformResponseShare = 0.01;
  core::Duration maxMessageJitter{ 0 };
  bool sessionTokens = false; ///< Callers return session tokens.
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

/// @brief Simulates the whole trace; the same seed gives the same result.
SimulationResult
RunSimulation(const core::Settings& aSettings,
              const Trace& aTrace,
              const SimulationOptions& aOptions);

} // namespace hibiscusnotch::replay
