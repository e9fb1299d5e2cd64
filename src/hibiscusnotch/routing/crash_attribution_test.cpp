#include "hibiscusnotch/routing/crash_attribution.hpp"

#include <doctest/doctest.h>

using namespace hibiscusnotch::routing;
using hibiscusnotch::core::Duration;
using hibiscusnotch::core::TimePoint;
using hibiscusnotch::core::UpstreamId;

namespace {

const TimePoint kNow{ Duration{ 100'000'000 } };
const UpstreamId kLeft{ 1 };
const UpstreamId kRight{ 2 };

} // namespace

TEST_CASE("requests in flight at a crashed upstream are suspected once")
{
  CrashAttribution attribution;
  attribution.RecordLostAttempt(kLeft, 7, kNow);
  attribution.RecordLostAttempt(kLeft, 8, kNow);
  attribution.RecordLostAttempt(kRight, 9, kNow);
  CHECK(attribution.TakeSuspects(kLeft, kNow) == std::vector<uint64_t>{ 7, 8 });
  CHECK(attribution.TakeSuspects(kLeft, kNow).empty());
  CHECK(attribution.TakeSuspects(kRight, kNow) == std::vector<uint64_t>{ 9 });
}

TEST_CASE("a connection reset without a crash makes no request suspect")
{
  CrashAttribution attribution;
  attribution.RecordLostAttempt(kLeft, 7, kNow);
  CHECK(
    attribution.TakeSuspects(kLeft, kNow + CrashAttribution::kWindow).empty());
}
