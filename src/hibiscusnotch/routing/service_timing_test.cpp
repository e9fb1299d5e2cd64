#include "hibiscusnotch/routing/service_timing.hpp"

#include <doctest/doctest.h>

using namespace hibiscusnotch::routing;
using hibiscusnotch::core::FromSeconds;

namespace {

const TimePoint kNow{ Duration{ 100'000'000 } };

SendObservation
Sent(double aTokens, double aLoad = 0, double aSlowdown = 1)
{
  return { aTokens, 100, aLoad, 16, aSlowdown };
}

} // namespace

TEST_CASE("times of prompts are learnt for each model and for the queue")
{
  // Guards against one model's speed being assumed for another.
  ServiceTimings timings;
  CHECK_FALSE(timings.For("s", "small").perPromptToken);
  timings.RecordHead("s", "small", Sent(1000), FromSeconds(0.01), kNow);
  timings.RecordHead("s", "large", Sent(1000), FromSeconds(0.03), kNow);
  CHECK(*timings.For("s", "small").perPromptToken == doctest::Approx(1e-5));
  CHECK(*timings.For("s", "large").perPromptToken == doctest::Approx(3e-5));
  CHECK(*timings.For("s", "small").perQueuedToken == doctest::Approx(2e-5));
  CHECK(*timings.For("s", "other").perPromptToken == doctest::Approx(2e-5));
  CHECK_FALSE(timings.For("t", "small").perPromptToken);
}

TEST_CASE("a stated slowdown and waits for slots do not count as reading")
{
  ServiceTimings timings;
  timings.RecordHead("s", "m", Sent(1000, 0, 2.5), FromSeconds(0.025), kNow);
  timings.RecordHead("s", "m", Sent(1000, 16), FromSeconds(9), kNow);
  CHECK(*timings.For("s", "m").perPromptToken == doctest::Approx(1e-5));
}

TEST_CASE("former times lose their weight")
{
  ServiceTimings timings;
  timings.RecordHead("s", "m", Sent(1000), FromSeconds(1), kNow);
  timings.RecordHead(
    "s", "m", Sent(1000), FromSeconds(0.01), kNow + FromSeconds(300));
  CHECK(*timings.For("s", "m").perPromptToken < 1.1e-5);
}

TEST_CASE("the time of an output is learnt by the batch")
{
  ServiceTimings timings;
  for (int load = 0; load < 16; ++load) {
    timings.RecordEnd("s",
                      "m",
                      Sent(0, load),
                      FromSeconds(0.4 + 0.05 * load),
                      FromSeconds(2),
                      kNow);
  }
  const TimeEstimates estimates = timings.For("s", "m");
  CHECK(*estimates.perOutputTokenSlope == doctest::Approx(0.0005));
  CHECK(*estimates.slotHolding == doctest::Approx(2));
}

TEST_CASE("models that callers invent take no unbounded memory")
{
  ServiceTimings timings;
  for (int index = 0; index < 1000; ++index) {
    timings.RecordHead(
      "s", "m" + std::to_string(index), Sent(1000), FromSeconds(0.01), kNow);
  }
  CHECK(timings.For("s", "m999").perPromptToken);
}
