#include "hibiscusnotch/routing/sender_rank.hpp"

#include "hibiscusnotch/core/rendezvous.hpp"

#include <algorithm>
#include <iterator>
#include <tuple>

namespace hibiscusnotch::routing {

namespace {

auto
SenderOrder(std::string_view aUpstream)
{
  return [key = core::StableHash(aUpstream)](const Sender& aSender) {
    return std::tuple(!aSender.sameZone,
                      core::MixHash(key, core::StableHash(aSender.name)),
                      aSender.name);
  };
}

} // namespace

std::optional<std::size_t>
SenderRank(std::string_view aUpstream,
           std::string_view aSelf,
           std::span<const Sender> aSenders)
{
  const auto order = SenderOrder(aUpstream);
  const auto self = std::ranges::find(aSenders, aSelf, &Sender::name);
  if (self == aSenders.end()) {
    return std::nullopt;
  }
  const auto own = order(*self);
  return static_cast<std::size_t>(std::ranges::count_if(
    aSenders, [&](const Sender& aSender) { return order(aSender) < own; }));
}

std::vector<std::string>
FirstSenders(std::string_view aUpstream,
             std::span<const Sender> aSenders,
             std::size_t aCount)
{
  std::vector<Sender> sorted(aSenders.begin(), aSenders.end());
  const auto count =
    static_cast<std::ptrdiff_t>(std::min(aCount, sorted.size()));
  std::ranges::partial_sort(
    sorted, sorted.begin() + count, {}, SenderOrder(aUpstream));
  std::vector<std::string> names;
  std::transform(
    sorted.begin(),
    sorted.begin() + count,
    std::back_inserter(names),
    [](const Sender& aSender) { return std::string(aSender.name); });
  return names;
}

} // namespace hibiscusnotch::routing
