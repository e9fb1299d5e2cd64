#include "hibiscusnotch/routing/model_cascade.hpp"
#include "hibiscusnotch/routing/model_timing.hpp"

#include <array>
#include <doctest/doctest.h>

using namespace hibiscusnotch::routing;
using namespace std::chrono_literals;

namespace {

constexpr std::array kPrices{ 0.015, 0.11, 0.22 };

/// A request to an idle service whose models' times are known.
CascadeView
IdleView()
{
  CascadeView view;
  view.prices = kPrices;
  view.latencyTarget = 4s;
  view.smallestRun = 60ms;
  view.largestRun = 600ms;
  view.escalatedShare = 0.4;
  return view;
}

CascadeView
ViewAtLoad(double aLoad)
{
  CascadeView view;
  view.load = aLoad;
  return view;
}

} // namespace

TEST_CASE("a low-confidence answer escalates to the largest model")
{
  const ModelCascadeOptions options;
  CHECK(NextModel(options, 3, 0, options.minConfidence - 1, {}) == 2);
  CHECK_FALSE(NextModel(options, 3, 0, options.minConfidence, {}));
  CHECK_FALSE(NextModel(options, 3, 2, 0, {}));
  CHECK(NextModel(options, 3, 0, 30, IdleView()) == 2);
  CHECK_FALSE(NextModel(options, 3, 0, 80, IdleView()));
  CHECK_FALSE(NextModel(options, 3, 2, 0, IdleView()));
}

TEST_CASE("the cause of a lowered confidence threshold is named")
{
  const ModelCascadeOptions options;
  CascadeView view = IdleView();
  const int baseline = BaselineMinConfidence(options, view);
  CHECK(baseline == MinConfidence(options, view));
  CHECK(CauseOfLowThreshold(options, view) == ThresholdCause::None);
  view.crowding = 0.6;
  CHECK(CauseOfLowThreshold(options, view) == ThresholdCause::Crowding);
  view.retryBudgetUsed = 1;
  CHECK(CauseOfLowThreshold(options, view) != ThresholdCause::None);
  view.crowding = 0;
  CHECK(CauseOfLowThreshold(options, view) == ThresholdCause::RetryBudget);
  view.retryBudgetUsed = 0;
  view.elapsed = view.latencyTarget;
  CHECK(CauseOfLowThreshold(options, view) == ThresholdCause::Time);
  CHECK(BaselineMinConfidence(options, view) == baseline);
  CascadeView unpriced = ViewAtLoad(0.5);
  CHECK(CauseOfLowThreshold(options, unpriced) == ThresholdCause::Crowding);
  CHECK(BaselineMinConfidence(options, unpriced) == options.minConfidence);
}

TEST_CASE("an answer without a confidence is kept")
{
  CHECK_FALSE(NextModel({}, 3, 0, std::nullopt, {}));
  CHECK_FALSE(NextModel({}, 3, 0, std::nullopt, IdleView()));
}

TEST_CASE("routes with one model or none do not escalate")
{
  CHECK_FALSE(NextModel({}, 0, 0, 0, {}));
  CHECK_FALSE(NextModel({}, 1, 0, 0, {}));
  CHECK(FirstModel({}, 0, {}) == 0);
  CHECK(FirstModel({}, 1, {}) == 0);
}

TEST_CASE("the minimum confidence falls as load rises")
{
  // Guards against overload when upstreams are lost: each escalated run of the
  // largest model displaces several first runs.
  const ModelCascadeOptions options;
  CHECK(MinConfidence(options, ViewAtLoad(0)) == options.minConfidence);
  CHECK(MinConfidence(options, ViewAtLoad(options.lowLoad)) ==
        options.minConfidence);
  CHECK(MinConfidence(options, ViewAtLoad(options.fullLoad)) ==
        options.minConfidenceAtFullLoad);
  CHECK(MinConfidence(options, ViewAtLoad(9)) ==
        options.minConfidenceAtFullLoad);
  int last = options.minConfidence;
  for (double load = 0; load < 1; load += 0.05) {
    CHECK(MinConfidence(options, ViewAtLoad(load)) <= last);
    last = MinConfidence(options, ViewAtLoad(load));
  }
  const int doubtful =
    (options.minConfidence + options.minConfidenceAtFullLoad) / 2;
  CHECK(NextModel(options, 3, 0, doubtful, ViewAtLoad(0.1)) == 2);
  CHECK_FALSE(NextModel(options, 3, 0, doubtful, ViewAtLoad(0.9)));
  CHECK_FALSE(NextModel(
    options, 3, 0, 0, ViewAtLoad(0.9))); // under load any answer beats none
}

TEST_CASE("time, not requests per slot, counts as load where prices are known")
{
  // Guards against engines with few slots that look full while they answer in a
  // fraction of the latency target.
  CascadeView view = IdleView();
  const int idle = MinConfidence({}, view);
  view.load = 0.6;
  CHECK(MinConfidence({}, view) == idle);
  CHECK(idle >= 50);
}

TEST_CASE("crowding shifts the choice to small models and back")
{
  // A burst: first runs take longer, then they recover.
  CascadeView view = IdleView();
  const int idle = MinConfidence({}, view);
  int last = idle;
  for (const double crowding : { 0.1, 0.3, 0.5, 0.7, 0.9, 1.1 }) {
    view.crowding = crowding;
    CHECK(MinConfidence({}, view) < last + 1);
    last = MinConfidence({}, view);
  }
  CHECK(last == 0);
  CHECK(FirstModel({}, 3, view) == 0);
  view.crowding = 0;
  CHECK(MinConfidence({}, view) == idle);
}

TEST_CASE("a larger run that would miss the latency target is worth less")
{
  CascadeView view = IdleView();
  const int inTime = MinConfidence({}, view);
  view.largestRun = 5s;
  const int late = MinConfidence({}, view);
  CHECK(late < inTime - 15);
  CHECK(NextModel({}, 3, 0, 50, view) == std::nullopt);
}

TEST_CASE("less urgent routes pay less for larger models")
{
  // A short label must not be treated like a long draft.
  CascadeView view = IdleView();
  const int urgent = MinConfidence({}, view);
  view.priority = 2;
  CHECK(MinConfidence({}, view) < urgent);
}

TEST_CASE("a route whose small answers are mostly discarded starts larger")
{
  CascadeView view = IdleView();
  CHECK(FirstModel({}, 3, view) == 0);
  view.escalatedShare = 0.97;
  CHECK(FirstModel({}, 3, view) == 2);
  view.crowding = 0.5;
  CHECK(FirstModel({}, 3, view) == 0);
}

TEST_CASE("a prompt too long for two runs in time starts larger")
{
  CascadeView view = IdleView();
  view.smallestRun = 1500ms;
  view.largestRun = 2600ms;
  CHECK(FirstModel({}, 3, view) == 2);
  view.largestRun = 4500ms; // even one run would be late
  CHECK(FirstModel({}, 3, view) == 0);
}

TEST_CASE("models without prices start with the smallest")
{
  CascadeView view = IdleView();
  view.prices = {};
  view.escalatedShare = 1;
  CHECK(FirstModel({}, 3, view) == 0);
}

TEST_CASE("larger models that are no surer are not asked")
{
  // Confidences that carry no information: every answer states little.
  ModelTiming timing;
  for (int answer = 0; answer < 200; ++answer) {
    timing.RecordEscalatedAnswer(SufficientProbability({}, 10));
  }
  CascadeView view = IdleView();
  view.largestSufficiency = timing.LargestSufficiency();
  CHECK_FALSE(NextModel({}, 3, 0, 10, view));
  // They are tried again after a while.
  for (int answer = 0; answer < 1500; ++answer) {
    timing.RecordFirstAnswer(false);
  }
  view.largestSufficiency = timing.LargestSufficiency();
  CHECK(NextModel({}, 3, 0, 10, view) == 2);
}

TEST_CASE("expected times follow the load of now")
{
  ModelTiming timing;
  CHECK_FALSE(timing.ExpectedHead(0, 1000));
  for (int run = 0; run < 100; ++run) {
    timing.RecordHead(0, 3, 1000, 60ms);
    timing.RecordHead(2, 3, 1000, 600ms);
  }
  CHECK(timing.ExpectedHead(2, 2000)->count() == doctest::Approx(1.2e6));
  // The largest model runs seldom: the smallest one's times show a queue.
  for (int run = 0; run < 12; ++run) {
    timing.RecordHead(0, 3, 1000, 240ms);
  }
  CHECK(*timing.ExpectedHead(2, 2000) > 2s);
  CHECK(timing.MeanFirstHead() > 180ms);
  for (int run = 0; run < 100; ++run) {
    timing.RecordHead(0, 3, 1000, 60ms);
  }
  CHECK(*timing.ExpectedHead(2, 2000) < 1400ms);
  CHECK_FALSE(timing.ExpectedHead(1, 1000));
}
