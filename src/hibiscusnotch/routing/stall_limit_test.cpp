#include "hibiscusnotch/routing/stall_limit.hpp"

#include <doctest/doctest.h>

using namespace hibiscusnotch::routing;

namespace {

constexpr Duration kSecond{ 1'000'000 };
const TimePoint kNow{ Duration{ 100'000'000 } };

Route
MakeRoute(ExecutionSemantics aSemantics)
{
  Route route;
  route.executionSemantics = aSemantics;
  route.latencyTarget = 4 * kSecond;
  route.gapTarget = 2 * kSecond;
  route.resumable = true;
  return route;
}

} // namespace

TEST_CASE("a silent stream is moved while its targets can still be met")
{
  const Route route = MakeRoute(ExecutionSemantics::Stream);
  CHECK(*StallLimit(route, false) <= route.latencyTarget / 2);
  CHECK(*StallLimit(route, true) <= route.gapTarget / 2);
}

TEST_CASE("only requests that may be repeated are moved")
{
  CHECK_FALSE(StallLimit(MakeRoute(ExecutionSemantics::AtMostOnce), false));
  Route route = MakeRoute(ExecutionSemantics::Stream);
  route.resumable = false;
  CHECK_FALSE(StallLimit(route, false));
  CHECK_FALSE(StallLimit(route, true));
  CHECK(StallLimit(MakeRoute(ExecutionSemantics::Idempotent), false) ==
        4 * kSecond);
}

TEST_CASE("without a target for pauses a stream with output is not moved")
{
  Route route = MakeRoute(ExecutionSemantics::Stream);
  route.gapTarget = Duration::zero();
  CHECK_FALSE(StallLimit(route, true));
}

TEST_CASE("while all slots are taken, a silent request is queueing, not lost")
{
  UpstreamTable table;
  UpstreamEntry entry;
  entry.name = "u";
  entry.slots = 2;
  const UpstreamId id = table.Apply(entry, kNow);
  CHECK(CanTakeStalled(*table.Find(id), kNow));
  table.RecordSend(id, 0, kNow);
  CHECK(CanTakeStalled(*table.Find(id), kNow));
  table.RecordSend(id, 0, kNow);
  CHECK_FALSE(CanTakeStalled(*table.Find(id), kNow));
}
