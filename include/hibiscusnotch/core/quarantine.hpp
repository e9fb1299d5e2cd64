/// @file
/// @brief Quarantine for poison requests: requests that crash upstreams.
#pragma once

#include <algorithm>
#include <cstdint>
#include <unordered_map>

namespace hibiscusnotch::core {

/// @brief Counts the upstreams lost while running a request, by its
/// fingerprint.
///
/// A request that has lost two upstreams is not run again, so that it can't
/// crash a third.
class Quarantine
{
public:
  static constexpr uint32_t kMaxLosses = 2;

  /// @brief Counts an upstream lost while running the request; returns the new
  /// count.
  uint32_t CountLoss(uint64_t aFingerprint) { return ++losses_[aFingerprint]; }

  /// @brief Merges a peer's count; the larger one wins.
  void Merge(uint64_t aFingerprint, uint32_t aLosses)
  {
    uint32_t& losses = losses_[aFingerprint];
    losses = losses < aLosses ? aLosses : losses;
  }

  /// @brief True when the request must not run again.
  bool IsQuarantined(uint64_t aFingerprint) const
  {
    const auto found = losses_.find(aFingerprint);
    return found != losses_.end() && found->second >= kMaxLosses;
  }

  /// @brief True when any request must not run again.
  bool AnyQuarantined() const
  {
    return std::any_of(losses_.begin(), losses_.end(), [](const auto& aCount) {
      return aCount.second >= kMaxLosses;
    });
  }

  /// @brief Upstreams lost while running the request so far.
  uint32_t Losses(uint64_t aFingerprint) const
  {
    const auto found = losses_.find(aFingerprint);
    return found == losses_.end() ? 0 : found->second;
  }

  const std::unordered_map<uint64_t, uint32_t>& LossCounts() const
  {
    return losses_;
  }

private:
  std::unordered_map<uint64_t, uint32_t> losses_;
};

} // namespace hibiscusnotch::core
