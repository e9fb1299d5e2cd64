#include "hibiscusnotch/routing/service_timing.hpp"

#include <doctest/doctest.h>

using namespace hibiscusnotch::routing;
using hibiscusnotch::core::FromSeconds;

namespace {

const TimePoint kNow{ Duration{ 100'000'000 } };

SendObservation
Sent(double aTokens, double aLoad = 0)
{
  return { 0, aTokens, 100, aLoad, 16 };
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

TEST_CASE("waits for slots do not count as reading")
{
  ServiceTimings timings;
  timings.RecordHead("s", "m", Sent(1000), FromSeconds(0.01), kNow);
  timings.RecordHead("s", "m", Sent(1000, 16), FromSeconds(9), kNow);
  CHECK(*timings.For("s", "m").perPromptToken == doctest::Approx(1e-5));
}

TEST_CASE("the usual time to a head is that of the queue and the own prompt")
{
  ServiceTimings timings;
  CHECK_FALSE(timings.ExpectedHead("s", "m", Sent(1000)));
  timings.RecordHead("s", "m", Sent(1000), FromSeconds(0.01), kNow);
  SendObservation sent = Sent(500);
  sent.queuedTokens = 1500;
  CHECK(*timings.ExpectedHead("s", "m", sent) == doctest::Approx(0.02));
  CHECK_FALSE(timings.ExpectedHead("s", "m", Sent(500, 16)));
  timings.RecordHead("p", "", Sent(0), FromSeconds(0.06), kNow);
  CHECK(*timings.ExpectedHead("p", "", Sent(0)) == doctest::Approx(0.06));
  CHECK(*timings.ExpectedHead("p", "", Sent(0, 31)) == doctest::Approx(0.12));
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
