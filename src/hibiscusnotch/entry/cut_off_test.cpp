#include "hibiscusnotch/testing/router_fleet.hpp"

#include <algorithm>
#include <doctest/doctest.h>
#include <vector>

using namespace hibiscusnotch;
using hibiscusnotch::testing::CutKind;
using hibiscusnotch::testing::RouterFleet;
using hibiscusnotch::testing::RouterFleetOptions;

namespace {

constexpr core::Duration kSecond{ 1'000'000 };
constexpr core::Duration kStableWindow = 3 * kSecond;

struct SentRequest
{
  std::size_t instance = 0;
  relay::ExchangeId id = 0;
};

/// Sends requests to all instances in turn for the time.
std::vector<SentRequest>
RunLoad(RouterFleet& aFleet, double aRequestsPerSecond, core::Duration aTime)
{
  const char* const routes[] = { "stream", "safe", "unsafe" };
  std::vector<SentRequest> sent;
  const core::TimePoint start = aFleet.timers.Now();
  while (aFleet.timers.Now() - start < aTime) {
    const double due =
      core::Seconds(aFleet.timers.Now() - start) * aRequestsPerSecond;
    while (static_cast<double>(sent.size()) < due) {
      const std::size_t instance = sent.size() % aFleet.instances.size();
      sent.push_back(
        { instance, aFleet.Request(instance, routes[sent.size() % 3]) });
    }
    aFleet.Step();
  }
  return sent;
}

void
Idle(RouterFleet& aFleet, core::Duration aTime)
{
  RunLoad(aFleet, 0, aTime);
}

struct ServedCount
{
  double served = 0;
  double all = 0;
};

ServedCount
CountServed(const RouterFleet& aFleet,
            const std::vector<SentRequest>& aSent,
            bool aCutOff)
{
  ServedCount count;
  for (const SentRequest& request : aSent) {
    if (aFleet.cutOff.contains(request.instance) == aCutOff) {
      const auto& answers = aFleet.instances[request.instance].listener.answers;
      const auto answer = answers.find(request.id);
      count.all += 1;
      count.served += answer != answers.end() && answer->second.finished &&
                          answer->second.status == 200
                        ? 1
                        : 0;
    }
  }
  return count;
}

struct CutCase
{
  RouterFleetOptions fleet;
  std::vector<std::size_t> cutOff;
  CutKind kind = CutKind::Hang;
  double requestsPerSecond = 0; ///< Of all instances.
};

std::vector<std::size_t>
EachNth(std::size_t aStep, std::size_t aCount)
{
  std::vector<std::size_t> indexes;
  for (std::size_t index = 0; index < aCount; index += aStep) {
    indexes.push_back(index);
  }
  return indexes;
}

} // namespace

// Guards against callers who get nothing because their instance lost its links
// to the upstreams, though its peers reach them.
TEST_CASE("an instance cut off from all upstreams serves as well as others")
{
  for (const CutCase& test : {
         CutCase{ { 8, 12, 3 }, { 0, 1, 3, 4, 5 }, CutKind::Hang, 41 },
         CutCase{ { 8, 12, 3 }, { 0, 3, 6 }, CutKind::Refuse, 41 },
         CutCase{ { 8, 12, 3 }, { 0, 3, 6 }, CutKind::Reset, 41 },
         CutCase{ { 8, 12, 3 }, { 2 }, CutKind::Hang, 4 },
         CutCase{ { 65, 80, 4 }, EachNth(4, 65), CutKind::Hang, 200 },
         CutCase{ { 295, 320, 5 }, EachNth(3, 295), CutKind::Hang, 600 },
       }) {
    CAPTURE(test.fleet.instances);
    CAPTURE(test.cutOff.size());
    CAPTURE(static_cast<int>(test.kind));
    RouterFleet fleet(test.fleet);
    RunLoad(fleet, test.requestsPerSecond, kSecond);
    for (const std::size_t index : test.cutOff) {
      fleet.cutOff[index] = test.kind;
    }
    RunLoad(fleet, test.requestsPerSecond, kStableWindow);
    const auto sent = RunLoad(fleet, test.requestsPerSecond, 8 * kSecond);
    Idle(fleet, 4 * kSecond);
    const ServedCount cutOff = CountServed(fleet, sent, true);
    const ServedCount others = CountServed(fleet, sent, false);
    CHECK(others.served == others.all);
    CHECK(cutOff.served / cutOff.all >= 2.0 / 3.0 * others.served / others.all);
    CHECK(cutOff.all - cutOff.served <= 10 + cutOff.all / 50);
  }
}
