#include "hibiscusnotch/routing/model_cascade.hpp"

#include <algorithm>
#include <cmath>

namespace hibiscusnotch::routing {

std::size_t
FirstSize(std::size_t /*aSizes*/)
{
  return 0;
}

int
KeepFrom(const ModelCascadeOptions& aOptions, double aLoad)
{
  const double full =
    std::clamp((aLoad - aOptions.roomyLoad) /
                 std::max(0.01, aOptions.fullLoad - aOptions.roomyLoad),
               0.0,
               1.0);
  return static_cast<int>(
    std::lround(std::lerp(aOptions.keepFrom, aOptions.keepFromLoaded, full)));
}

std::optional<std::size_t>
NextSize(const ModelCascadeOptions& aOptions,
         std::size_t aSizes,
         std::size_t aCurrent,
         std::optional<int> aConfidence,
         double aLoad)
{
  if (!aConfidence || *aConfidence >= KeepFrom(aOptions, aLoad) ||
      aCurrent + 1 >= aSizes) {
    return std::nullopt;
  }
  // A doubtful answer needs the best model: a middle one would often be
  // dropped too, and each run counts as an attempt.
  return aSizes - 1;
}

} // namespace hibiscusnotch::routing
