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
  std::vector<core::Endpoint> targets; ///< Callers' endpoints of instances.
  std::string operatorKey;
  uint64_t seed = 1;
  /// @brief Gives an organisation's bearer key.
  std::function<std::string(const core::Organisation&)> keyOf;
  /// @brief Ends or replaces an instance; false when that is not possible.
  std::function<bool(const TraceEvent&)> onInstanceEvent;
  /// @brief Hears of progress once a second.
  std::function<void(const std::string&)> onProgress;
};

struct LiveReplayResult
{
  standin::Observations observations;
  double cost = 0;
  std::vector<std::string> skippedEvents;
};

/// @brief Runs the context until the trace is played and all was collected.
///
/// Faults of stand-ins are set, and what they saw is read, at the endpoints
/// that the settings declare.
LiveReplayResult
RunLiveReplay(boost::asio::io_context& aContext,
              const core::Settings& aSettings,
              const Trace& aTrace,
              const LiveReplayOptions& aOptions);

} // namespace hibiscusnotch::replay
