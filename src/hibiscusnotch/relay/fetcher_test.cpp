#include "hibiscusnotch/relay/fetcher.hpp"

#include "hibiscusnotch/testing/fake_outbound_client.hpp"
#include "hibiscusnotch/testing/manual_timers.hpp"

#include <doctest/doctest.h>
#include <optional>

using namespace hibiscusnotch::relay;
using hibiscusnotch::testing::FakeOutboundClient;
using hibiscusnotch::testing::ManualTimers;

namespace {

constexpr Duration kSecond{ 1'000'000 };

struct Fixture
{
  FakeOutboundClient caller;
  ManualTimers timers;
  Fetcher fetcher{ caller, timers };
  std::optional<int> status;
  std::string body;

  FetchId Start()
  {
    return fetcher.Start(
      {}, kSecond, [this](int aStatus, const std::string& aBody) {
        CHECK_FALSE(status); // it comes exactly once
        status = aStatus;
        body = aBody;
      });
  }
};

} // namespace

TEST_CASE("a whole response is given with its status")
{
  Fixture fixture;
  fixture.Start();
  ResponseHead head;
  head.status = 404;
  fixture.caller.Head(0, head);
  fixture.caller.Body(0, "a");
  fixture.caller.Body(0, "b");
  CHECK_FALSE(fixture.status);
  fixture.caller.End(0, CallOutcome::Complete);
  CHECK(fixture.status == 404);
  CHECK(fixture.body == "ab");
  fixture.timers.Advance(2 * kSecond);
}

TEST_CASE("a response that is cut, late or abandoned has no status")
{
  for (int end = 0; end < 3; ++end) {
    Fixture fixture;
    const FetchId id = fixture.Start();
    ResponseHead head;
    head.status = 200;
    fixture.caller.Head(0, head);
    if (end == 0) {
      fixture.caller.End(0, CallOutcome::ConnectionLost);
    } else if (end == 1) {
      fixture.timers.Advance(kSecond);
    } else {
      fixture.fetcher.Abandon(id);
    }
    CHECK(fixture.status == 0);
    CHECK(fixture.caller.Open() == 0);
  }
}
