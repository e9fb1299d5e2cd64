/// @file
/// @brief When upstreams that are not eligible may become so by themselves.
#pragma once

#include "hibiscusnotch/routing/placement.hpp"

#include <optional>
#include <string_view>

namespace hibiscusnotch::routing {

/// @brief The next time after now at which a backoff, a limit's pause, a pause
/// after rejections, a cold start's pace or a hold on an entry ends at any of
/// the service's upstreams; nothing if none is known.
std::optional<TimePoint>
NextKnownOpening(const PlacementContext& aContext, std::string_view aService);

} // namespace hibiscusnotch::routing
