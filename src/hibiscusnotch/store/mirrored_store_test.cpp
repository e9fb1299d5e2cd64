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
  FakeOutboundClient client;
  ManualTimers timers;
  std::vector<MirrorPeer> peers{ { "first", {} }, { "second", {} } };
  std::vector<std::string> avoided;
  uint32_t unreachable = 0; ///< The largest count reported.
  std::unique_ptr<ObjectStore> store;
  std::optional<ListPage> page;
  StoreError error = StoreError::None;

  Fixture()
  {
    MirroredStoreOptions options;
    options.probeKind = "configuration";
    store = MakeMirroredStore(
      direct,
      client,
      timers,
      options,
      { [this] { return peers; },
        [this](const std::string& aPeer, uint32_t aUnreachable) {
          avoided.push_back(aPeer);
          unreachable = std::max(unreachable, aUnreachable);
        } });
  }

  void List(const std::string& aKind = "configuration")
  {
    store->List(
      aKind, "", [this](std::optional<ListPage> aPage, StoreError aError) {
        page = std::move(aPage);
        error = aError;
      });
  }

  /// Completes the last call to a mirror.
  void RespondFromMirror(int aStatus, const std::string& aBody = "")
  {
    const std::size_t last = client.sent.size() - 1;
    ResponseHead head;
    head.status = aStatus;
    client.Head(last, head);
    client.Body(last, aBody);
    client.End(last, CallOutcome::Complete);
    timers.Advance(Duration{ 1 });
  }

  void FailDirect()
  {
    const auto reply = direct.lists.back().reply;
    reply(std::nullopt, StoreError::Refused);
  }

  /// Lists until both mirrors have refused as disconnected.
  void DisconnectMirrors()
  {
    timers.Advance(kSecond); // past the startup grace
    List();
    RespondFromMirror(kUnavailable);
    List();
    RespondFromMirror(kUnavailable);
  }
};

} // namespace

TEST_CASE("a list is read from the first mirror, not from the store")
{
  Fixture fixture;
  fixture.List();
  ListPage page;
  page.asOf = { 1, 7 };
  fixture.RespondFromMirror(200, EncodeMirrorPage(page));
  REQUIRE(fixture.page);
  CHECK(fixture.page->asOf.revision == 7);
  CHECK(fixture.direct.lists.empty());
}

TEST_CASE("instances that start together wait for the first mirror")
{
  // All instances start at once, and no mirror has read the store yet. They
  // must retry the mirrors and not all turn to the store.
  Fixture fixture;
  for (int poll = 0; poll < 5; ++poll) {
    fixture.List();
    fixture.RespondFromMirror(kUnavailable);
    CHECK(fixture.error == StoreError::MirrorFailed);
    fixture.timers.Advance(kSecond / 20);
  }
  CHECK(fixture.direct.lists.empty());
  CHECK(fixture.avoided.empty());
}

TEST_CASE("mirrors that keep refusing are avoided, and the store is asked")
{
  Fixture fixture;
  fixture.DisconnectMirrors();
  fixture.List();
  CHECK(fixture.direct.lists.size() == 1);
  CHECK(fixture.avoided == std::vector<std::string>{ "first", "second" });
}

TEST_CASE(
  "during an outage, direct probes are few and mirrors are asked between")
{
  // The store is down for all instances at once.
  Fixture fixture;
  fixture.DisconnectMirrors();
  fixture.List();
  fixture.FailDirect();
  for (int step = 0; step < 80; ++step) {
    fixture.timers.Advance(kSecond / 10);
    const std::size_t mirrorCalls = fixture.client.sent.size();
    const std::size_t directCalls = fixture.direct.lists.size();
    fixture.List();
    if (fixture.client.sent.size() > mirrorCalls) {
      fixture.RespondFromMirror(kUnavailable);
    } else if (fixture.direct.lists.size() > directCalls) {
      fixture.FailDirect();
    }
  }
  // The probe backoff is 0.8, 1.6, 3.2 and 3.2 s, that of mirrors 0.3 s.
  CHECK(fixture.direct.lists.size() <= 5);
  CHECK(fixture.client.sent.size() >= 20);
}

TEST_CASE("the first mirror probes a failing store without backoff")
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

TEST_CASE("while the store fails, only the probe kind's calls reach it")
{
  Fixture fixture;
  fixture.peers.clear();
  fixture.List();
  fixture.FailDirect();
  fixture.List("upstreams");
  fixture.timers.Advance(Duration{ 1 });
  CHECK(fixture.error == StoreError::Refused);
  CHECK(fixture.direct.lists.size() == 1);
  fixture.List();
  fixture.direct.AnswerList(1, {}, 3);
  fixture.List("upstreams");
  CHECK(fixture.direct.lists.size() == 3);
}

TEST_CASE("a mirror that is late costs freshness, not a change of source")
{
  // The mirror's machine is busy: it responds 0.8 s after the wait is over.
  Fixture fixture;
  fixture.timers.Advance(kSecond);
  fixture.List();
  fixture.RespondFromMirror(200, EncodeMirrorPage({}));
  std::optional<ChangeBatch> batch;
  fixture.store->Watch("configuration",
                       { 1, 10 },
                       kSecond,
                       [&](std::optional<ChangeBatch> aBatch, StoreError) {
                         batch = std::move(aBatch);
                       });
  fixture.timers.Advance(kSecond + 8 * kSecond / 10);
  ChangeBatch late;
  late.asOf = { 1, 11 };
  fixture.RespondFromMirror(200, EncodeMirrorBatch(late));
  CHECK(batch);
  CHECK(fixture.avoided.empty());
  CHECK(fixture.direct.watches.empty());
}

TEST_CASE("a mirror that did not respond gets no watch until it has responded")
{
  // Guards against requests to upstreams that left: a reader went back to a
  // frozen mirror after a while, and its watch waited there.
  Fixture fixture;
  fixture.peers = { { "first", {} } };
  fixture.List(); // another response: this instance is not cut off
  fixture.RespondFromMirror(200, EncodeMirrorPage({}));
  fixture.timers.Advance(kSecond); // past the startup grace
  const auto watch = [&fixture](const std::string& aKind) {
    fixture.store->Watch(aKind,
                         { 1, 10 },
                         kSecond,
                         [](const std::optional<ChangeBatch>&, StoreError) {});
  };
  watch("configuration");
  fixture.timers.Advance(2 * kSecond); // no response
  for (std::size_t step = 0; step < 12; ++step) {
    const std::size_t direct = fixture.direct.watches.size();
    watch("upstreams");
    CHECK(fixture.direct.watches.size() == direct + 1);
    fixture.timers.Advance(kSecond / 2);
  }
  // One probe in 2.3 s, which no store call follows.
  CHECK(fixture.client.sent.size() == 5);
  CHECK(fixture.direct.watches.size() == 12);
  CHECK(fixture.unreachable ==
        1); // later ones may be this instance's own fault
  // The process goes on and refuses, as it lost the store meanwhile.
  fixture.RespondFromMirror(kUnavailable);
  const std::size_t queries = fixture.client.sent.size();
  watch("upstreams");
  CHECK(fixture.client.sent.size() == queries + 1);
}

TEST_CASE("a mirror that was not read lately must respond before a watch waits")
{
  // Guards against a reader that leaves one frozen mirror for another.
  Fixture fixture;
  fixture.List();
  fixture.RespondFromMirror(200, EncodeMirrorPage({}));
  fixture.timers.Advance(kSecond); // past the startup grace
  StoreError error = StoreError::None;
  const auto watch = [&] {
    fixture.store->Watch("configuration",
                         { 1, 10 },
                         kSecond,
                         [&](const std::optional<ChangeBatch>&,
                             StoreError aError) { error = aError; });
  };
  watch();
  fixture.timers.Advance(2 * kSecond); // the first mirror does not respond
  REQUIRE(error == StoreError::MirrorFailed);
  watch();
  fixture.timers.Advance(3 * kSecond / 10); // nor does the second
  CHECK(fixture.avoided == std::vector<std::string>{ "first", "second" });
  watch();
  CHECK(fixture.direct.watches.size() == 1);
}

TEST_CASE("a watch of the store says whether it stands in for a mirror")
{
  Fixture fixture;
  std::optional<ChangeBatch> batch;
  const auto watch = [&] {
    fixture.store->Watch("configuration",
                         { 1, 10 },
                         kSecond,
                         [&](std::optional<ChangeBatch> aBatch, StoreError) {
                           batch = std::move(aBatch);
                         });
  };
  fixture.DisconnectMirrors();
  watch();
  fixture.direct.AnswerWatch(0, {}, 10);
  REQUIRE(batch);
  CHECK(batch->isFallback);
  fixture.peers.clear(); // the zone's first instance
  watch();
  fixture.direct.AnswerWatch(1, {}, 10);
  CHECK_FALSE(batch->isFallback);
}

TEST_CASE("an instance that is cut off does not count its peers as gone")
{
  // A third of the fleet is cut off from the others but not from the store:
  // it must not have the registrations of all mirrors deleted.
  for (const bool cutOff : { true, false }) {
    Fixture fixture;
    fixture.timers.Advance(kSecond); // past the startup grace
    for (int step = 0; step < 200; ++step) {
      const std::size_t calls = fixture.client.sent.size();
      fixture.List();
      if (fixture.client.sent.size() > calls) {
        const bool responds = !cutOff && fixture.avoided.size() % 2 == 1;
        if (responds) {
          ListPage page;
          fixture.RespondFromMirror(200, EncodeMirrorPage(page));
          fixture.avoided.emplace_back("turn");
        } else {
          fixture.client.End(calls, CallOutcome::NotSent);
        }
      }
      fixture.timers.Advance(kSecond / 10);
    }
    CHECK((fixture.unreachable == 0) == cutOff);
  }
}
