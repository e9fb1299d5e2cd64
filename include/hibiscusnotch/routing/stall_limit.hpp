/// @file
/// @brief Decides when an attempt that produces no output is given up.
#pragma once

#include "hibiscusnotch/routing/configuration.hpp"
#include "hibiscusnotch/routing/upstream_table.hpp"

#include <optional>

namespace hibiscusnotch::routing {

/// @brief How long an attempt may produce nothing before another upstream is
/// tried; nothing if the route does not allow it.
///
/// Answers connections that go silent while their upstream serves others: an
/// upstream that hangs on some requests, or whose response is lost on the way.
/// A stream that is moved this early can still be within its latency target.
/// @param aHasOutput The attempt has produced output already.
std::optional<Duration>
StallLimit(const Route& aRoute, bool aHasOutput);

/// @brief True if a stalled attempt should move to the upstream: it has a free
/// slot. With all slots taken, silence means queueing, which moving prolongs.
bool
CanTakeStalled(const Upstream& aUpstream, TimePoint aNow);

} // namespace hibiscusnotch::routing
