#include "hibiscusnotch/routing/model_cascade.hpp"

#include <doctest/doctest.h>

using namespace hibiscusnotch::routing;

TEST_CASE("a doubtful answer of a small model is asked of the largest")
{
  const ModelCascadeOptions options;
  CHECK(NextSize(options, 3, 0, options.keepFrom - 1, 0) == 2);
  CHECK_FALSE(NextSize(options, 3, 0, options.keepFrom, 0));
  CHECK_FALSE(NextSize(options, 3, 2, 0, 0));
}

TEST_CASE("an answer without a confidence is kept")
{
  CHECK_FALSE(NextSize({}, 3, 0, std::nullopt, 0));
}

TEST_CASE("routes without sizes have nothing to climb")
{
  CHECK_FALSE(NextSize({}, 0, 0, 0, 0));
  CHECK_FALSE(NextSize({}, 1, 0, 0, 0));
}

TEST_CASE("the fuller the engines, the surer a second run must be needed")
{
  // Pattern: upstreams are lost under load, and second runs of the largest
  // model take the places of several times as many first ones.
  const ModelCascadeOptions options;
  CHECK(KeepFrom(options, 0) == options.keepFrom);
  CHECK(KeepFrom(options, options.roomyLoad) == options.keepFrom);
  CHECK(KeepFrom(options, options.fullLoad) == options.keepFromLoaded);
  CHECK(KeepFrom(options, 9) == options.keepFromLoaded);
  int last = options.keepFrom;
  for (double load = 0; load < 1; load += 0.05) {
    CHECK(KeepFrom(options, load) <= last);
    last = KeepFrom(options, load);
  }
  const int doubtful = (options.keepFrom + options.keepFromLoaded) / 2;
  CHECK(NextSize(options, 3, 0, doubtful, 0.1) == 2);
  CHECK_FALSE(NextSize(options, 3, 0, doubtful, 0.9));
  CHECK_FALSE(NextSize(options, 3, 0, 0, 0.9)); // any answer before none
}
