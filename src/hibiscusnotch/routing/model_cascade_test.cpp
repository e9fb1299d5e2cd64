#include "hibiscusnotch/routing/model_cascade.hpp"

#include <doctest/doctest.h>

using namespace hibiscusnotch::routing;

TEST_CASE("a doubtful answer of a small model is asked of the largest")
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

TEST_CASE("routes without sizes have nothing to climb")
{
  CHECK_FALSE(NextModel({}, 0, 0, 0, 0));
  CHECK_FALSE(NextModel({}, 1, 0, 0, 0));
}

TEST_CASE("the fuller the engines, the surer a second run must be needed")
{
  // Pattern: upstreams are lost under load, and second runs of the largest
  // model take the places of several times as many first ones.
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
  CHECK_FALSE(NextModel(options, 3, 0, 0, 0.9)); // any answer before none
}
