/// @file
/// @brief Learns how long models take and how often answers are escalated.
#pragma once

#include "hibiscusnotch/core/time.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace hibiscusnotch::routing {

using core::Duration;
using core::TimePoint;

/// @brief What one instance has seen of a route's models.
class ModelTiming
{
public:
  /// @brief A response head of the model came that long after the request was
  /// sent.
  void RecordHead(std::size_t aModel,
                  std::size_t aModelCount,
                  double aPromptTokens,
                  Duration aTook);
  /// @brief The first answer to a request was escalated or kept.
  void RecordFirstAnswer(bool aEscalated);
  /// @brief Probability that an answer of the largest model to an escalated
  /// request is sufficient, by its own confidence.
  void RecordEscalatedAnswer(double aSufficiency);

  /// @brief Expected time to the response head at the load of now; nothing
  /// while too little was seen.
  std::optional<Duration> ExpectedHead(std::size_t aModel,
                                       double aPromptTokens) const;
  /// @brief Expected time to the response head of a mean request to the
  /// smallest model, at the load of now.
  Duration MeanFirstHead() const;
  double EscalatedShare() const { return escalatedShare_; }
  double LargestSufficiency() const { return largestSufficiency_; }

private:
  /// Decaying sums, from which a time per token follows.
  struct Rate
  {
    double seconds = 0;
    double tokens = 0;
    double count = 0;

    void Add(double aTokens, double aSeconds, double aKeep);
    std::optional<double> SecondsPerToken() const;
  };

  struct Model
  {
    Rate recent;
    Rate lasting;
  };

  std::vector<Model> models_;
  double escalatedShare_ = 0;
  double largestSufficiency_ = 1;
};

} // namespace hibiscusnotch::routing
