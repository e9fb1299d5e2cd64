#include "hibiscusnotch/store/mirror_responder.hpp"

#include "hibiscusnotch/testing/fake_store.hpp"
#include "hibiscusnotch/testing/manual_timers.hpp"

#include <doctest/doctest.h>

using namespace hibiscusnotch::store;
using hibiscusnotch::testing::MakeObject;
using hibiscusnotch::testing::ManualTimers;

namespace {

constexpr Duration kSecond{ 1'000'000 };

struct Fixture
{
  ManualTimers timers;
  std::map<MirrorQueryId, std::pair<int, std::string>> answers;
  MirrorResponder responder{
    timers,
    [this](MirrorQueryId aId, int aStatus, const std::string& aBody) {
      answers[aId] = { aStatus, aBody };
    }
  };

  Fixture()
  {
    responder.MirrorOf("configuration").ApplyList({}, { 1, 10 });
    responder.MirrorOf("upstreams")
      .ApplyList({ MakeObject("a", 4) }, { 1, 10 });
    responder.SetConnected(true);
  }

  ListPage List(MirrorQueryId aId)
  {
    responder.OnQuery(aId, "/mirror/upstreams");
    return *DecodeMirrorPage(answers.at(aId).second);
  }
};

} // namespace

TEST_CASE("the age of a copy is not that of another kind's")
{
  // Guards against a mirror that is connected again and states that a list is
  // fresh, since the configuration is.
  Fixture fixture;
  fixture.responder.ConfirmUpTo("upstreams", fixture.timers.Now());
  fixture.timers.Advance(5 * kSecond);
  fixture.responder.ConfirmUpTo("configuration", fixture.timers.Now());
  CHECK(fixture.List(1).age == 5 * kSecond);
  fixture.responder.OnQuery(2, "/mirror/upstreams?since=10&era=1&wait_ms=1000");
  fixture.timers.Advance(kSecond);
  // Relative to the arrival of the request.
  CHECK(DecodeMirrorBatch(fixture.answers.at(2).second)->age == 5 * kSecond);
}

TEST_CASE("the time in which entries may return ends without a change")
{
  Fixture fixture;
  fixture.responder.SetRestoreEnd(fixture.timers.Now() + 2 * kSecond);
  fixture.timers.Advance(kSecond / 2);
  CHECK(fixture.List(1).restoreTimeLeft == 3 * kSecond / 2);
  fixture.timers.Advance(2 * kSecond);
  CHECK(fixture.List(2).restoreTimeLeft == Duration::zero());
}

TEST_CASE("a mirror that is not connected answers nobody")
{
  Fixture fixture;
  fixture.responder.OnQuery(1, "/mirror/upstreams?since=10&era=1&wait_ms=1000");
  CHECK(fixture.answers.empty());
  fixture.responder.SetConnected(false);
  CHECK(fixture.answers.at(1).first == 503);
  fixture.responder.OnQuery(2, "/mirror/upstreams");
  CHECK(fixture.answers.at(2).first == 503);
  fixture.responder.OnQuery(3, "/mirror/unknown");
  CHECK(fixture.answers.at(3).first == 404);
}
