#include "hibiscusnotch/core/fair_queue.hpp"

#include <doctest/doctest.h>
#include <map>

using namespace hibiscusnotch::core;

namespace {

QueuedRequest
MakeRequest(RequestHandle aHandle,
            uint32_t aOrganisation,
            double aWeight = 1,
            int aPriority = 0)
{
  return { aHandle, OrganisationId{ aOrganisation }, aWeight, aPriority, 1 };
}

} // namespace

TEST_CASE("a backlog of one organisation does not delay another")
{
  FairQueue queue;
  for (RequestHandle i = 0; i < 1000; ++i) {
    queue.Push(MakeRequest(i, 0));
  }
  for (RequestHandle i = 1000; i < 1010; ++i) {
    queue.Push(MakeRequest(i, 1));
  }
  std::size_t small = 0;
  for (int i = 0; i < 20; ++i) {
    small += queue.Pop()->organisation.value == 1 ? 1 : 0;
  }
  CHECK(small == 10);
}

TEST_CASE("dispatches are divided by weight")
{
  FairQueue queue;
  for (RequestHandle i = 0; i < 400; ++i) {
    queue.Push(MakeRequest(i, 0, 3));
    queue.Push(MakeRequest(1000 + i, 1, 1));
  }
  std::map<uint32_t, int> taken;
  for (int i = 0; i < 400; ++i) {
    ++taken[queue.Pop()->organisation.value];
  }
  CHECK(taken[0] >= 299);
  CHECK(taken[0] <= 301);
}

TEST_CASE("priority applies only within an organisation")
{
  FairQueue queue;
  queue.Push(MakeRequest(1, 0, 1, 0));
  queue.Push(MakeRequest(2, 0, 1, 5));
  queue.Push(MakeRequest(3, 1, 1, 0));
  CHECK(queue.Pop()->handle == 2);
  CHECK(queue.Pop()->handle == 3);
  CHECK(queue.Pop()->handle == 1);
}

TEST_CASE("requests put back or removed are counted once")
{
  FairQueue queue;
  queue.Push(MakeRequest(1, 0));
  queue.Push(MakeRequest(2, 0));
  const auto first = queue.Pop();
  queue.PushFront(*first);
  CHECK(queue.Size() == 2);
  CHECK(queue.Remove(OrganisationId{ 0 }, 2));
  CHECK_FALSE(queue.Remove(OrganisationId{ 0 }, 2));
  CHECK(queue.Pop()->handle == 1);
  CHECK_FALSE(queue.Pop().has_value());
}
