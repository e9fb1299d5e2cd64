#include "hibiscusnotch/routing/next_opening.hpp"

#include <algorithm>
#include <array>

namespace hibiscusnotch::routing {

namespace {

// The span in which sends to a cold upstream are counted.
constexpr Duration kColdRateWindow{ 1'000'000 };

TimePoint
ColdPaceOpensAt(const Upstream& aUpstream)
{
  if (aUpstream.recentSends.empty()) {
    return aUpstream.coldUntil;
  }
  // A send counts up to and including the end of the window.
  return std::min(aUpstream.coldUntil,
                  aUpstream.recentSends.front() + kColdRateWindow +
                    Duration{ 1 });
}

} // namespace

std::optional<TimePoint>
NextKnownOpening(const PlacementContext& aContext, std::string_view aService)
{
  std::optional<TimePoint> next;
  for (const auto& [id, upstream] : aContext.upstreams.Rows()) {
    if (upstream.entry.service != aService || upstream.removed ||
        upstream.announcedLeaving) {
      continue;
    }
    const std::array times{ upstream.backoffUntil,
                            upstream.heldUntil,
                            upstream.rejectingUntil,
                            ColdPaceOpensAt(upstream),
                            upstream.requestLimit ? upstream.pacer.OpensAt()
                                                  : TimePoint{} };
    for (const TimePoint at : times) {
      if (at > aContext.now && at != TimePoint::max() &&
          (!next || at < *next)) {
        next = at;
      }
    }
  }
  return next;
}

} // namespace hibiscusnotch::routing
