#include "hibiscusnotch/routing/cold_start_share.hpp"

#include <algorithm>

namespace hibiscusnotch::routing {

double
ColdStartShare(double aRate,
               std::string_view aUpstream,
               std::string_view aSelf,
               std::span<const Sender> aSenders)
{
  const auto whole = static_cast<std::size_t>(std::max(0.0, aRate));
  if (aSenders.size() <= 1) {
    return static_cast<double>(whole);
  }
  const auto rank = SenderRank(aUpstream, aSelf, aSenders);
  if (!rank) {
    return 0; // the other instances do not include this one in their shares yet
  }
  const std::size_t base = whole / aSenders.size();
  const std::size_t rest = whole % aSenders.size();
  return static_cast<double>(base + (*rank < rest ? 1 : 0));
}

} // namespace hibiscusnotch::routing
