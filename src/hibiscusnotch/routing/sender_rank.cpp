#include "hibiscusnotch/routing/sender_rank.hpp"

#include "hibiscusnotch/core/rendezvous.hpp"

#include <algorithm>
#include <tuple>

namespace hibiscusnotch::routing {

std::optional<std::size_t>
SenderRank(std::string_view aUpstream,
           std::string_view aSelf,
           std::span<const Sender> aSenders)
{
  const uint64_t key = core::StableHash(aUpstream);
  const auto order = [key](const Sender& aSender) {
    return std::tuple(!aSender.sameZone,
                      core::MixHash(key, core::StableHash(aSender.name)),
                      aSender.name);
  };
  const auto self = std::ranges::find(aSenders, aSelf, &Sender::name);
  if (self == aSenders.end()) {
    return std::nullopt;
  }
  const auto own = order(*self);
  return static_cast<std::size_t>(std::ranges::count_if(
    aSenders, [&](const Sender& aSender) { return order(aSender) < own; }));
}

} // namespace hibiscusnotch::routing
