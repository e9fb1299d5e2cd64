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
class CrashBlame
{
public:
  /// @brief A crash shows as a broken answer and a refused connection this soon
  /// after; a reset connection alone is followed by working ones.
  static constexpr core::Duration kWindow{ 1'000'000 };

  void CountBroken(core::UpstreamId aUpstream,
                   uint64_t aFingerprint,
                   core::TimePoint aNow)
  {
    broken_.push_back({ aUpstream, aFingerprint, aNow });
  }

  /// @brief The upstream takes no connection: the requests that broke there
  /// just before. Each is named once.
  std::vector<uint64_t> TakeSuspects(core::UpstreamId aUpstream,
                                     core::TimePoint aNow)
  {
    std::vector<uint64_t> suspects;
    std::erase_if(broken_, [&](const Broken& aBroken) {
      const bool recent = aNow - aBroken.at < kWindow;
      if (recent && aBroken.upstream == aUpstream) {
        suspects.push_back(aBroken.fingerprint);
        return true;
      }
      return !recent;
    });
    return suspects;
  }

private:
  struct Broken
  {
    core::UpstreamId upstream;
    uint64_t fingerprint = 0;
    core::TimePoint at{};
  };

  std::vector<Broken> broken_;
};

} // namespace hibiscusnotch::routing
