/// @file
/// @brief Limits retries to a share of first attempts.
#pragma once

#include <algorithm>

namespace hibiscusnotch::core {

/// @brief A token bucket that first attempts fill and retries drain.
class RetryBudget
{
public:
  explicit RetryBudget(double aShare)
    : share_(aShare)
  {
  }

  void RecordFirstAttempt()
  {
    tokens_ = std::min(kMaxTokens, tokens_ + share_);
  }

  /// @brief Takes a token for one retry; false when there is none.
  bool TryConsume()
  {
    if (tokens_ < 1) {
      return false;
    }
    tokens_ -= 1;
    return true;
  }

private:
  static constexpr double kMaxTokens = 60;
  double share_;
  double tokens_ = 30;
};

} // namespace hibiscusnotch::core
