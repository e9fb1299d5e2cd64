/// @file
/// @brief Finds the requests that may have crashed an upstream.
#pragma once

#include "hibiscusnotch/core/ids.hpp"
#include "hibiscusnotch/core/time.hpp"
#include "hibiscusnotch/routing/crash_evidence.hpp"

#include <algorithm>
#include <span>
#include <vector>

namespace hibiscusnotch::routing {

/// @brief Keeps attempts whose connection was lost until it is known whether
/// their upstream crashed.
class CrashAttribution
{
public:
  /// @brief An upstream that refuses connections within this time after a lost
  /// one has crashed; after a mere connection reset it accepts new connections.
  static constexpr core::Duration kWindow{ 1'000'000 };

  /// @brief Returns true if it is the upstream's first one: time to find out
  /// whether it crashed.
  /// @param aIsRepeated True if the request had lost another upstream before.
  bool RecordLostAttempt(core::UpstreamId aUpstream,
                         std::span<const RequestTrait> aTraits,
                         bool aIsRepeated,
                         core::TimePoint aNow)
  {
    std::erase_if(lostAttempts_, [aNow](const LostAttempt& aAttempt) {
      return aNow - aAttempt.lost.lostAt >= kWindow;
    });
    const bool first =
      std::ranges::none_of(lostAttempts_, [&](const LostAttempt& aAttempt) {
        return aAttempt.upstream == aUpstream;
      });
    for (const RequestTrait& trait : aTraits) {
      lostAttempts_.push_back({ aUpstream, { trait, aNow, aIsRepeated } });
    }
    return first;
  }

  /// @brief Returns and removes the traits of the requests whose connections
  /// the upstream lost just before.
  std::vector<LostTrait> TakeSuspects(core::UpstreamId aUpstream,
                                      core::TimePoint aNow)
  {
    std::vector<LostTrait> suspects;
    std::erase_if(lostAttempts_, [&](const LostAttempt& aAttempt) {
      const bool recent = aNow - aAttempt.lost.lostAt < kWindow;
      if (recent && aAttempt.upstream == aUpstream) {
        suspects.push_back(aAttempt.lost);
        return true;
      }
      return !recent;
    });
    return suspects;
  }

private:
  struct LostAttempt
  {
    core::UpstreamId upstream;
    LostTrait lost;
  };

  std::vector<LostAttempt> lostAttempts_;
};

} // namespace hibiscusnotch::routing
