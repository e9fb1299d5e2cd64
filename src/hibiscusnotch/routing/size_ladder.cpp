#include "hibiscusnotch/routing/size_ladder.hpp"

namespace hibiscusnotch::routing {

std::size_t
FirstSize(std::size_t /*aSizes*/)
{
  return 0;
}

std::optional<std::size_t>
NextSize(const SizeLadderOptions& aOptions,
         std::size_t aSizes,
         std::size_t aCurrent,
         std::optional<int> aConfidence)
{
  if (!aConfidence || *aConfidence >= aOptions.keepFrom ||
      aCurrent + 1 >= aSizes) {
    return std::nullopt;
  }
  // A doubtful answer needs the best model: a middle one would often be
  // dropped too, and each run counts as an attempt.
  return aSizes - 1;
}

} // namespace hibiscusnotch::routing
