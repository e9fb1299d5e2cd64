/// @file
/// @brief Replays a trace in real time against running instances.
#pragma once

#include "hibiscusnotch/replay/trace.hpp"
#include "hibiscusnotch/standin/observation.hpp"

#include <functional>
#include <string>
#include <vector>

namespace boost::asio {
class io_context;
}

namespace hibiscusnotch::replay {

struct LiveReplayOptions
{
  std::vector<core::Endpoint> targets; ///< The instances' caller endpoints.
  std::string operatorKey;
  uint64_t seed = 1;
  /// @brief Returns an organisation's bearer key.
  std::function<std::string(const core::Organisation&)> keyOf;
  /// @brief Kills or replaces an instance; false if that is not possible.
  std::function<bool(const TraceEvent&)> onInstanceEvent;
  /// @brief Called with a progress line once a second.
  std::function<void(const std::string&)> onProgress;
};

struct LiveReplayResult
{
  standin::Observations observations;
  double cost = 0;
  std::vector<std::string> skippedEvents;
};

/// @brief Runs the context until the trace is replayed and all observations
/// are collected.
///
/// Injects faults into the stand-ins, and reads their observations, over the
/// endpoints in the settings.
LiveReplayResult
RunLiveReplay(boost::asio::io_context& aContext,
              const core::Settings& aSettings,
              const Trace& aTrace,
              const LiveReplayOptions& aOptions);

} // namespace hibiscusnotch::replay
