/// @file
/// @brief Finds the requests that may have crashed an upstream.
#pragma once

#include "hibiscusnotch/core/ids.hpp"
#include "hibiscusnotch/core/time.hpp"

#include <algorithm>
#include <cstdint>
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

  void RecordLostAttempt(core::UpstreamId aUpstream,
                         uint64_t aFingerprint,
                         core::TimePoint aNow)
  {
    lostAttempts_.push_back({ aUpstream, aFingerprint, aNow });
  }

  /// @brief Call when the upstream refuses a connection: returns and removes
  /// the requests whose connections it lost just before.
  std::vector<uint64_t> TakeSuspects(core::UpstreamId aUpstream,
                                     core::TimePoint aNow)
  {
    std::vector<uint64_t> suspects;
    std::erase_if(lostAttempts_, [&](const LostAttempt& aAttempt) {
      const bool recent = aNow - aAttempt.at < kWindow;
      if (recent && aAttempt.upstream == aUpstream) {
        suspects.push_back(aAttempt.fingerprint);
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
    uint64_t fingerprint = 0;
    core::TimePoint at{};
  };

  std::vector<LostAttempt> lostAttempts_;
};

} // namespace hibiscusnotch::routing
