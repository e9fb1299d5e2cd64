#include "hibiscusnotch/routing/cold_start_share.hpp"

#include "hibiscusnotch/core/rendezvous.hpp"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace hibiscusnotch::routing {

double
ColdStartShare(double aRate,
               std::string_view aUpstream,
               std::string_view aSelf,
               std::span<const ColdStartSender> aSenders)
{
  const auto whole = static_cast<std::size_t>(std::max(0.0, aRate));
  if (aSenders.size() <= 1) {
    return static_cast<double>(whole);
  }
  const uint64_t key = core::StableHash(aUpstream);
  const auto order = [key](const ColdStartSender& aSender) {
    return std::tuple(!aSender.sameZone,
                      core::MixHash(key, core::StableHash(aSender.name)),
                      aSender.name);
  };
  const auto self = std::ranges::find(aSenders, aSelf, &ColdStartSender::name);
  if (self == aSenders.end()) {
    return 0; // the other instances do not include this one in their shares yet
  }
  const auto own = order(*self);
  const auto before = static_cast<std::size_t>(
    std::ranges::count_if(aSenders, [&](const ColdStartSender& aSender) {
      return order(aSender) < own;
    }));
  const std::size_t base = whole / aSenders.size();
  const std::size_t rest = whole % aSenders.size();
  return static_cast<double>(base + (before < rest ? 1 : 0));
}

} // namespace hibiscusnotch::routing
