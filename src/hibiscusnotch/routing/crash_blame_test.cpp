#include "hibiscusnotch/routing/crash_blame.hpp"

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

TEST_CASE("requests that broke at a crashed upstream are named once")
{
  CrashBlame blame;
  blame.CountBroken(kLeft, 7, kNow);
  blame.CountBroken(kLeft, 8, kNow);
  blame.CountBroken(kRight, 9, kNow);
  CHECK(blame.TakeSuspects(kLeft, kNow) == std::vector<uint64_t>{ 7, 8 });
  CHECK(blame.TakeSuspects(kLeft, kNow).empty());
  CHECK(blame.TakeSuspects(kRight, kNow) == std::vector<uint64_t>{ 9 });
}

TEST_CASE("a reset that working connections follow blames nobody")
{
  CrashBlame blame;
  blame.CountBroken(kLeft, 7, kNow);
  CHECK(blame.TakeSuspects(kLeft, kNow + CrashBlame::kWindow).empty());
}
