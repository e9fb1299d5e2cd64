#include "hibiscusnotch/routing/size_ladder.hpp"

#include <doctest/doctest.h>

using namespace hibiscusnotch::routing;

TEST_CASE("a doubtful answer of a small model is asked of the largest")
{
  const SizeLadderOptions options;
  CHECK(NextSize(options, 3, 0, options.keepFrom - 1) == 2);
  CHECK_FALSE(NextSize(options, 3, 0, options.keepFrom));
  CHECK_FALSE(NextSize(options, 3, 2, 0));
}

TEST_CASE("an answer without a confidence is kept")
{
  CHECK_FALSE(NextSize({}, 3, 0, std::nullopt));
}

TEST_CASE("routes without sizes have nothing to climb")
{
  CHECK_FALSE(NextSize({}, 0, 0, 0));
  CHECK_FALSE(NextSize({}, 1, 0, 0));
}
