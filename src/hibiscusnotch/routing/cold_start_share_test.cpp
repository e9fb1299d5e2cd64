#include "hibiscusnotch/routing/cold_start_share.hpp"

#include <doctest/doctest.h>
#include <string>
#include <vector>

using namespace hibiscusnotch::routing;

TEST_CASE("the shares of all instances never exceed the rate")
{
  for (const double rate : { 0.5, 1.0, 7.0, 17.0, 40.0 }) {
    for (std::size_t count = 1; count <= 400; count = count * 2 + 1) {
      std::vector<std::string> names;
      for (std::size_t index = 0; index < count; ++index) {
        names.push_back("instance-" + std::to_string(index));
      }
      std::vector<Sender> senders;
      for (std::size_t index = 0; index < count; ++index) {
        senders.push_back({ names[index], index % 3 == 0 });
      }
      double total = 0;
      for (const std::string& name : names) {
        total += ColdStartShare(rate, "upstream", name, senders);
      }
      CAPTURE(rate);
      CAPTURE(count);
      CHECK(total <= rate);
      CHECK(total > rate - 1); // at most a fraction of a request stays unused
    }
  }
}

TEST_CASE("a low rate is shared by instances of the upstream's zone")
{
  const std::vector<Sender> senders{
    { "a", false }, { "b", true }, { "c", false }, { "d", true }
  };
  CHECK(ColdStartShare(2, "u", "b", senders) == 1);
  CHECK(ColdStartShare(2, "u", "d", senders) == 1);
  CHECK(ColdStartShare(2, "u", "a", senders) == 0);
  CHECK(ColdStartShare(2, "u", "c", senders) == 0);
}

TEST_CASE("an instance that is not registered yet has no share")
{
  const std::vector<Sender> senders{ { "a", true }, { "b", true } };
  CHECK(ColdStartShare(10, "u", "c", senders) == 0);
}
