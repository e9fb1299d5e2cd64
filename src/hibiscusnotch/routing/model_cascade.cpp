#include "hibiscusnotch/routing/model_cascade.hpp"

#include <algorithm>
#include <cmath>

namespace hibiscusnotch::routing {

std::size_t
FirstModel(std::size_t /*aModelCount*/)
{
  return 0;
}

int
MinConfidence(const ModelCascadeOptions& aOptions, double aLoad)
{
  const double full =
    std::clamp((aLoad - aOptions.lowLoad) /
                 std::max(0.01, aOptions.fullLoad - aOptions.lowLoad),
               0.0,
               1.0);
  return static_cast<int>(std::lround(
    std::lerp(aOptions.minConfidence, aOptions.minConfidenceAtFullLoad, full)));
}

std::optional<std::size_t>
NextModel(const ModelCascadeOptions& aOptions,
          std::size_t aModelCount,
          std::size_t aCurrent,
          std::optional<int> aConfidence,
          double aLoad)
{
  if (!aConfidence || *aConfidence >= MinConfidence(aOptions, aLoad) ||
      aCurrent + 1 >= aModelCount) {
    return std::nullopt;
  }
  // Escalates to the largest model at once: a middle one's answer would often
  // be discarded too, and each run counts as an attempt.
  return aModelCount - 1;
}

} // namespace hibiscusnotch::routing
