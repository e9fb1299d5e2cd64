#include "hibiscusnotch/relay/fetcher.hpp"

#include "hibiscusnotch/testing/fake_outbound_client.hpp"
#include "hibiscusnotch/testing/manual_timers.hpp"

#include <algorithm>
#include <doctest/doctest.h>
#include <numeric>
#include <optional>
#include <set>
#include <vector>

using namespace hibiscusnotch::relay;
using hibiscusnotch::testing::FakeOutboundClient;
using hibiscusnotch::testing::ManualTimers;

namespace {

constexpr Duration kSecond{ 1'000'000 };

struct Fixture
{
  FakeOutboundClient client;
  ManualTimers timers;
  Fetcher fetcher{ client, timers };
  std::optional<int> status;
  std::string body;

  FetchId Start()
  {
    return fetcher.Start({}, kSecond, [this](const FetchedResponse& aResponse) {
      CHECK_FALSE(status); // called exactly once
      status = aResponse.status;
      body = aResponse.body;
    });
  }
};

} // namespace

TEST_CASE("a complete response is delivered with its status")
{
  Fixture fixture;
  fixture.Start();
  ResponseHead head;
  head.status = 404;
  fixture.client.Head(0, head);
  fixture.client.Body(0, "a");
  fixture.client.Body(0, "b");
  CHECK_FALSE(fixture.status);
  fixture.client.End(0, CallOutcome::Complete);
  CHECK(fixture.status == 404);
  CHECK(fixture.body == "ab");
  fixture.timers.Advance(2 * kSecond);
}

TEST_CASE("a truncated, late or abandoned response has status zero")
{
  for (int end = 0; end < 3; ++end) {
    Fixture fixture;
    const FetchId id = fixture.Start();
    ResponseHead head;
    head.status = 200;
    fixture.client.Head(0, head);
    if (end == 0) {
      fixture.client.End(0, CallOutcome::ConnectionLost);
    } else if (end == 1) {
      fixture.timers.Advance(kSecond);
    } else {
      fixture.fetcher.Abandon(id);
    }
    CHECK(fixture.status == 0);
    CHECK(fixture.client.Open() == 0);
  }
}

TEST_CASE("a body without end fails before it fills memory")
{
  // Guards against a store or a peer that never ends its response.
  Fixture fixture;
  fixture.Start();
  ResponseHead head;
  head.status = 200;
  fixture.client.Head(0, head);
  const std::string piece(1024 * 1024, 'x');
  for (std::size_t sent = 0;
       sent < 2 * Fetcher::kMaxBodyBytes && !fixture.status;
       sent += piece.size()) {
    fixture.client.Body(0, piece);
  }
  CHECK(fixture.status == 0);
  CHECK(fixture.client.Open() == 0);
  CHECK(fixture.body.size() <= Fetcher::kMaxBodyBytes);
}

TEST_CASE("many bodies without end together take no more memory than one")
{
  // Guards against a store or mirrors that send such bodies for each kind of
  // object at once.
  constexpr std::size_t kFetches = 8;
  FakeOutboundClient client;
  ManualTimers timers;
  Fetcher fetcher(client, timers);
  std::vector<std::size_t> held(kFetches);
  std::set<std::size_t> failed;
  for (std::size_t index = 0; index < kFetches; ++index) {
    fetcher.Start({}, kSecond, [&, index](const FetchedResponse& aResponse) {
      CHECK(aResponse.status == 0);
      failed.insert(index);
      held[index] = 0;
    });
    ResponseHead head;
    head.status = 200;
    client.Head(index, head);
  }
  const std::string piece(1024 * 1024, 'x');
  std::size_t most = 0;
  for (int round = 0; round < 20; ++round) {
    for (std::size_t index = 0; index < kFetches; ++index) {
      // The last one is a short body, which is not the one that fails.
      if (failed.contains(index) || (index + 1 == kFetches && round > 0)) {
        continue;
      }
      held[index] += piece.size();
      client.Body(index, piece);
      most = std::max(most, std::accumulate(held.begin(), held.end(), 0UL));
    }
  }
  CHECK(most <= Fetcher::kMaxBodyBytes);
  CHECK(failed.size() == kFetches - 1);
  CHECK_FALSE(failed.contains(kFetches - 1));
}
