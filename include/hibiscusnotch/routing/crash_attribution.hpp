/// @file
/// @brief Finds the requests under which an upstream may have crashed.
#pragma once

#include "hibiscusnotch/core/ids.hpp"
#include "hibiscusnotch/core/time.hpp"

#include <algorithm>
#include <cstdint>
#include <vector>

namespace hibiscusnotch::routing {

/// @brief Remembers broken attempts until their upstream shows whether it
/// lives.
class CrashAttribution
{
public:
  /// @brief A crash shows as a broken answer and a refused connection this soon
  /// after; a reset connection alone is followed by working ones.
  static constexpr core::Duration kWindow{ 1'000'000 };

  void RecordLostAttempt(core::UpstreamId aUpstream,
                         uint64_t aFingerprint,
                         core::TimePoint aNow)
  {
    lostAttempts_.push_back({ aUpstream, aFingerprint, aNow });
  }

  /// @brief The upstream takes no connection: the requests that broke there
  /// just before. Each is named once.
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
