#include "hibiscusnotch/store/mirrored_store.hpp"

#include "hibiscusnotch/store/mirror.hpp"
#include "hibiscusnotch/testing/fake_outbound_client.hpp"
#include "hibiscusnotch/testing/fake_store.hpp"
#include "hibiscusnotch/testing/manual_timers.hpp"

#include <doctest/doctest.h>

using namespace hibiscusnotch::store;
using hibiscusnotch::relay::CallOutcome;
using hibiscusnotch::relay::ResponseHead;
using hibiscusnotch::testing::FakeOutboundClient;
using hibiscusnotch::testing::FakeStore;
using hibiscusnotch::testing::ManualTimers;

namespace {

constexpr Duration kSecond{ 1'000'000 };
constexpr int kUnavailable = 503;

struct Fixture
{
  FakeStore direct;
  FakeOutboundClient caller;
  ManualTimers timers;
  std::vector<MirrorPeer> peers{ { "first", {} }, { "second", {} } };
  std::vector<std::string> lost;
  std::unique_ptr<ObjectStore> store;
  std::optional<ListPage> page;
  StoreError fault = StoreError::None;

  Fixture()
  {
    MirroredStoreOptions options;
    options.probeKind = "configuration";
    store = MakeMirroredStore(direct,
                              caller,
                              timers,
                              options,
                              { [this] { return peers; },
                                [this](const std::string& aPeer, uint32_t) {
                                  lost.push_back(aPeer);
                                } });
  }

  void List(const std::string& aKind = "configuration")
  {
    store->List(
      aKind, "", [this](std::optional<ListPage> aPage, StoreError aFault) {
        page = std::move(aPage);
        fault = aFault;
      });
  }

  /// The last call to a mirror is answered.
  void AnswerMirror(int aStatus, const std::string& aBody = "")
  {
    const std::size_t last = caller.sent.size() - 1;
    ResponseHead head;
    head.status = aStatus;
    caller.Head(last, head);
    caller.Body(last, aBody);
    caller.End(last, CallOutcome::Complete);
    timers.Advance(Duration{ 1 });
  }

  void FailDirect()
  {
    const auto reply = direct.lists.back().reply;
    reply(std::nullopt, StoreError::Refused);
  }

  /// Asks until both mirrors have said that they are out of touch.
  void LoseMirrors()
  {
    timers.Advance(kSecond); // the start is over
    List();
    AnswerMirror(kUnavailable);
    List();
    AnswerMirror(kUnavailable);
  }
};

} // namespace

TEST_CASE("a copy is read from the first mirror, and not from the store")
{
  Fixture fixture;
  fixture.List();
  ListPage page;
  page.asOf = 7;
  fixture.AnswerMirror(200, WriteMirrorPage(page));
  REQUIRE(fixture.page);
  CHECK(fixture.page->asOf == 7);
  CHECK(fixture.direct.lists.empty());
}

TEST_CASE("instances that start together wait for the first one's copy")
{
  // Pattern: all instances start at once, and none has read the store yet.
  Fixture fixture;
  for (int poll = 0; poll < 5; ++poll) {
    fixture.List();
    fixture.AnswerMirror(kUnavailable);
    CHECK(fixture.fault == StoreError::MirrorFailed);
    fixture.timers.Advance(kSecond / 20);
  }
  CHECK(fixture.direct.lists.empty());
  CHECK(fixture.lost.empty());
}

TEST_CASE("a mirror that never comes is given up, and the store is asked")
{
  Fixture fixture;
  fixture.LoseMirrors();
  fixture.List();
  CHECK(fixture.direct.lists.size() == 1);
  CHECK(fixture.lost == std::vector<std::string>{ "first", "second" });
}

TEST_CASE("an outage is probed by few calls, and mirrors are asked meanwhile")
{
  // Pattern: the store is down for all instances at once.
  Fixture fixture;
  fixture.LoseMirrors();
  fixture.List();
  fixture.FailDirect();
  for (int step = 0; step < 80; ++step) {
    fixture.timers.Advance(kSecond / 10);
    const std::size_t asked = fixture.caller.sent.size();
    const std::size_t probed = fixture.direct.lists.size();
    fixture.List();
    if (fixture.caller.sent.size() > asked) {
      fixture.AnswerMirror(kUnavailable);
    } else if (fixture.direct.lists.size() > probed) {
      fixture.FailDirect();
    }
  }
  // Pauses of 0.8, 1.6, 3.2 and 3.2 s; those between calls to mirrors are 0.3.
  CHECK(fixture.direct.lists.size() <= 5);
  CHECK(fixture.caller.sent.size() >= 20);
}

TEST_CASE(
  "the first mirror probes a failing store as often as its watcher asks")
{
  Fixture fixture;
  fixture.peers.clear();
  for (int probe = 0; probe < 4; ++probe) {
    fixture.List();
    fixture.FailDirect();
    fixture.timers.Advance(kSecond / 5);
  }
  CHECK(fixture.direct.lists.size() == 4);
}

TEST_CASE("while the store fails, one kind's calls find out when it is back")
{
  Fixture fixture;
  fixture.peers.clear();
  fixture.List();
  fixture.FailDirect();
  fixture.List("upstreams");
  fixture.timers.Advance(Duration{ 1 });
  CHECK(fixture.fault == StoreError::Refused);
  CHECK(fixture.direct.lists.size() == 1);
  fixture.List();
  fixture.direct.AnswerList(1, {}, 3);
  fixture.List("upstreams");
  CHECK(fixture.direct.lists.size() == 3);
}
