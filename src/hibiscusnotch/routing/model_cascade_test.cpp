#include "hibiscusnotch/routing/model_cascade.hpp"

#include <doctest/doctest.h>

using namespace hibiscusnotch::routing;

TEST_CASE("a low-confidence answer escalates to the largest model")
{
  const ModelCascadeOptions options;
  CHECK(NextModel(options, 3, 0, options.minConfidence - 1, 0) == 2);
  CHECK_FALSE(NextModel(options, 3, 0, options.minConfidence, 0));
  CHECK_FALSE(NextModel(options, 3, 2, 0, 0));
}

TEST_CASE("an answer without a confidence is kept")
{
  CHECK_FALSE(NextModel({}, 3, 0, std::nullopt, 0));
}

TEST_CASE("routes with one model or none do not escalate")
{
  CHECK_FALSE(NextModel({}, 0, 0, 0, 0));
  CHECK_FALSE(NextModel({}, 1, 0, 0, 0));
}

TEST_CASE("the minimum confidence falls as load rises")
{
  // Guards against overload when upstreams are lost: each escalated run of the
  // largest model displaces several first runs.
  const ModelCascadeOptions options;
  CHECK(MinConfidence(options, 0) == options.minConfidence);
  CHECK(MinConfidence(options, options.lowLoad) == options.minConfidence);
  CHECK(MinConfidence(options, options.fullLoad) ==
        options.minConfidenceAtFullLoad);
  CHECK(MinConfidence(options, 9) == options.minConfidenceAtFullLoad);
  int last = options.minConfidence;
  for (double load = 0; load < 1; load += 0.05) {
    CHECK(MinConfidence(options, load) <= last);
    last = MinConfidence(options, load);
  }
  const int doubtful =
    (options.minConfidence + options.minConfidenceAtFullLoad) / 2;
  CHECK(NextModel(options, 3, 0, doubtful, 0.1) == 2);
  CHECK_FALSE(NextModel(options, 3, 0, doubtful, 0.9));
  CHECK_FALSE(
    NextModel(options, 3, 0, 0, 0.9)); // under load any answer beats none
}
