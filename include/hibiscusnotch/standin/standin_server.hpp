/// @file
/// @brief The stand-ins behind HTTP, with faults set by POST /control.
#pragma once

#include "hibiscusnotch/core/settings.hpp"
#include "hibiscusnotch/standin/platform_simulator.hpp"

#include <cstdint>
#include <memory>

namespace boost::asio {
class io_context;
}

namespace hibiscusnotch::standin {

/// @brief One stand-in that listens where the settings say.
class StandinServer
{
public:
  virtual ~StandinServer() = default;
};

/// @brief A model engine or a plain service.
/// @param aWarm True: it started long ago and bears its full capacity.
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
