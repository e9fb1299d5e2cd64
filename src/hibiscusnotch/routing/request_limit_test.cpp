#include "hibiscusnotch/routing/request_limit.hpp"

#include <algorithm>
#include <doctest/doctest.h>
#include <string>
#include <vector>

using namespace hibiscusnotch::routing;
using hibiscusnotch::core::FromSeconds;

namespace {

constexpr Duration kSecond{ 1'000'000 };
constexpr TimePoint kStart{ 1000 * kSecond };

std::vector<std::string>
Names(std::size_t aCount)
{
  std::vector<std::string> names;
  names.reserve(aCount);
  for (std::size_t index = 0; index < aCount; ++index) {
    names.push_back("instance-" + std::to_string(index));
  }
  return names;
}

std::vector<Sender>
Senders(const std::vector<std::string>& aNames)
{
  std::vector<Sender> senders;
  senders.reserve(aNames.size());
  for (const std::string& name : aNames) {
    senders.push_back({ name, senders.size() % 3 == 0 });
  }
  return senders;
}

} // namespace

// Guards against shares that add up to more, or much less, than the limit.
TEST_CASE("the shares of a limit add up to it at any number of instances")
{
  for (const std::size_t count : { 1, 2, 3, 8, 65, 295 }) {
    const auto names = Names(count);
    const auto senders = Senders(names);
    for (const double limit : { 0.3, 1.0, 1.3, 7.0, 40.0, 5000.0 }) {
      CAPTURE(count);
      CAPTURE(limit);
      double sum = 0;
      std::size_t used = 0;
      for (const std::string& name : names) {
        const double share = RequestLimitShare(limit, "u", name, senders);
        sum += share;
        used += share > 0 ? 1 : 0;
      }
      CHECK(sum == doctest::Approx(limit));
      // One request of each sender beside the limit stays within the bound of
      // half as much again and five, over four seconds.
      CHECK(static_cast<double>(used) <= 0.5 * limit * 4 + 5);
    }
  }
}

// Guards against a new instance that sends before the others know of it.
TEST_CASE("an instance that the list lacks has no share of a limit")
{
  const auto names = Names(3);
  CHECK(RequestLimitShare(6, "u", "stranger", Senders(names)) == 0);
  CHECK(RequestLimitShare(6, "u", "stranger", {}) == 0);
}

// Guards against a role that moves when an instance joins that takes no part.
TEST_CASE("one joining instance displaces at most one sender")
{
  const auto before = Names(8);
  const auto after = Names(9);
  for (const char* upstream : { "a", "b", "c", "d" }) {
    std::size_t lost = 0;
    for (const std::string& name : before) {
      lost += RequestLimitShare(1, upstream, name, Senders(before)) > 0 &&
                  RequestLimitShare(1, upstream, name, Senders(after)) == 0
                ? 1
                : 0;
    }
    CHECK(lost <= 1);
  }
}

TEST_CASE("a pacer keeps its rate and starts without credit")
{
  // Guards against a burst of each instance that takes over from a former one.
  SendPacer pacer;
  CHECK_FALSE(pacer.IsOpen(kStart));
  pacer.SetRate(2, kStart);
  CHECK_FALSE(pacer.IsOpen(kStart));
  int sends = 0;
  for (TimePoint now = kStart; now < kStart + 10 * kSecond;
       now += Duration{ 10'000 }) {
    if (pacer.IsOpen(now)) {
      pacer.RecordSend(now);
      ++sends;
    }
  }
  CHECK(sends <= 20);
  CHECK(sends >= 19);
  pacer.SetRate(0, kStart + 10 * kSecond);
  CHECK_FALSE(pacer.IsOpen(kStart + 20 * kSecond));
  CHECK(pacer.OpensAt() == TimePoint::max());
}

// Guards against credit that builds up while an upstream is not used.
TEST_CASE("an idle pacer saves no more than one send")
{
  SendPacer pacer;
  pacer.SetRate(1, kStart);
  const TimePoint later = kStart + 100 * kSecond;
  pacer.RecordSend(later);
  CHECK_FALSE(pacer.IsOpen(later + kSecond / 2));
  CHECK(pacer.IsOpen(later + kSecond));
}

// Guards against an old, lower rate that holds after a higher limit.
TEST_CASE("a changed rate holds at once")
{
  SendPacer pacer;
  pacer.SetRate(0.1, kStart);
  pacer.RecordSend(kStart);
  pacer.SetRate(10, kStart + kSecond);
  CHECK(pacer.IsOpen(kStart + kSecond + FromSeconds(0.1)));
}

// Guards against an upstream that nobody asks again after a limit of zero.
TEST_CASE("a limit of zero still lets a request through now and then")
{
  const auto names = Names(8);
  const auto senders = Senders(names);
  double sum = 0;
  for (const std::string& name : names) {
    sum += RequestLimitShare(0, "u", name, senders);
  }
  CHECK(sum > 0);
  CHECK(sum * 4 <= 5); // the operators' bound at a limit of zero
}
