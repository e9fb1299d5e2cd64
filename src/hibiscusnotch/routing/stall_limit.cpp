#include "hibiscusnotch/routing/stall_limit.hpp"

#include <algorithm>

namespace hibiscusnotch::routing {

namespace {

// No upstream usually responds in less time.
constexpr Duration kMinStallLimit{ 200'000 };
// The rest of the target is for the next attempt.
constexpr int kStreamTargetDivisor = 2;
constexpr int kGapTargetDivisor = 2;

} // namespace

std::optional<Duration>
StallLimit(const Route& aRoute, bool aHasOutput)
{
  switch (aRoute.executionSemantics) {
    case ExecutionSemantics::AtMostOnce:
      return std::nullopt;
    case ExecutionSemantics::Idempotent:
      return aHasOutput
               ? std::nullopt
               : std::optional(std::max(aRoute.latencyTarget, kMinStallLimit));
    case ExecutionSemantics::Stream:
      break;
  }
  if (!aRoute.resumable) {
    return std::nullopt;
  }
  if (!aHasOutput) {
    return std::max(aRoute.latencyTarget / kStreamTargetDivisor,
                    kMinStallLimit);
  }
  if (aRoute.gapTarget == Duration::zero()) {
    return std::nullopt;
  }
  return std::max(aRoute.gapTarget / kGapTargetDivisor, kMinStallLimit);
}

bool
CanTakeStalled(const Upstream& aUpstream, TimePoint aNow)
{
  return UpstreamTable::Load(aUpstream, aNow) + 1 <= aUpstream.entry.slots;
}

} // namespace hibiscusnotch::routing
