#include "hibiscusnotch/routing/crash_attribution.hpp"

#include <array>
#include <doctest/doctest.h>

using namespace hibiscusnotch::routing;
using hibiscusnotch::core::UpstreamId;

namespace {

const TimePoint kNow{ Duration{ 100'000'000 } };
const UpstreamId kLeft{ 1 };
const UpstreamId kRight{ 2 };

std::array<RequestTrait, 1>
Trait(uint64_t aHash)
{
  return { RequestTrait{ aHash, 1 } };
}

std::vector<uint64_t>
Hashes(const std::vector<LostTrait>& aTraits)
{
  std::vector<uint64_t> hashes;
  hashes.reserve(aTraits.size());
  for (const LostTrait& lost : aTraits) {
    hashes.push_back(lost.trait.hash);
  }
  return hashes;
}

} // namespace

TEST_CASE("requests in flight at a crashed upstream are suspected once")
{
  CrashAttribution attribution;
  CHECK(attribution.RecordLostAttempt(kLeft, Trait(7), false, kNow));
  CHECK_FALSE(attribution.RecordLostAttempt(kLeft, Trait(8), true, kNow));
  CHECK(attribution.RecordLostAttempt(kRight, Trait(9), false, kNow));
  CHECK(Hashes(attribution.TakeSuspects(kLeft, kNow)) ==
        std::vector<uint64_t>{ 7, 8 });
  CHECK(attribution.TakeSuspects(kLeft, kNow).empty());
  CHECK(Hashes(attribution.TakeSuspects(kRight, kNow)) ==
        std::vector<uint64_t>{ 9 });
}

TEST_CASE("a connection reset without a crash makes no request suspect")
{
  CrashAttribution attribution;
  attribution.RecordLostAttempt(kLeft, Trait(7), false, kNow);
  CHECK(
    attribution.TakeSuspects(kLeft, kNow + CrashAttribution::kWindow).empty());
}
