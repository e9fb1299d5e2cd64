/// @file
/// @brief HTTP servers that stand in for upstreams, platform and rater.
///
/// POST /control injects faults.
#pragma once

#include "hibiscusnotch/core/settings.hpp"
#include "hibiscusnotch/standin/platform_simulator.hpp"

#include <cstdint>
#include <memory>

namespace boost::asio {
class io_context;
}

namespace hibiscusnotch::standin {

/// @brief One stand-in, listening on its endpoint in the settings.
class StandinServer
{
public:
  virtual ~StandinServer() = default;
};

/// @brief Serves a simulated inference engine or plain service.
/// @param aWarm Starts at full capacity, without a cold start.
std::unique_ptr<StandinServer>
MakeUpstreamServer(boost::asio::io_context& aContext,
                   const core::Settings& aSettings,
                   core::UpstreamId aId,
                   bool aWarm);

std::unique_ptr<StandinServer>
MakePlatformServer(boost::asio::io_context& aContext,
                   const core::Settings& aSettings,
                   const PlatformOptions& aOptions);

std::unique_ptr<StandinServer>
MakeRaterServer(boost::asio::io_context& aContext,
                const core::Settings& aSettings,
                uint64_t aSeed);

} // namespace hibiscusnotch::standin
