#include "hibiscusnotch/store/mirror.hpp"

#include "hibiscusnotch/testing/fake_store.hpp"

#include <doctest/doctest.h>

using namespace hibiscusnotch::store;
using hibiscusnotch::testing::MakeObject;

TEST_CASE("a reader gets the changes after its revision")
{
  Mirror mirror;
  CHECK_FALSE(mirror.ChangesSince(0));
  mirror.ApplyList({ MakeObject("a", 3), MakeObject("b", 4) }, 10);
  mirror.Apply({ MakeObject("a", 11), false }, 11);
  mirror.Apply({ MakeObject("b", 4), true }, 12);
  const auto all = mirror.ChangesSince(10);
  REQUIRE(all);
  REQUIRE(all->changes.size() == 2);
  CHECK(all->changes[0].object.revision == 11);
  CHECK(all->changes[1].removed);
  CHECK(all->asOf == 12);
  CHECK(mirror.ChangesSince(12)->changes.empty());
  CHECK(mirror.List().items.size() == 1);
}

TEST_CASE("a revision before the first list has no change history")
{
  Mirror mirror;
  mirror.ApplyList({ MakeObject("a", 3) }, 10);
  CHECK_FALSE(mirror.ChangesSince(9));
}

TEST_CASE("a new list is logged as the changes it brings")
{
  Mirror mirror;
  mirror.ApplyList({ MakeObject("a", 3), MakeObject("b", 4) }, 10);
  mirror.ApplyList({ MakeObject("a", 3), MakeObject("c", 19) }, 20);
  const auto changes = mirror.ChangesSince(10);
  REQUIRE(changes);
  REQUIRE(changes->changes.size() == 2);
  CHECK(changes->changes[0].object.name == "c");
  CHECK(changes->changes[1].object.name == "b");
  CHECK(changes->changes[1].removed);
}

TEST_CASE("a reader behind the change log is told to list again")
{
  Mirror mirror;
  mirror.ApplyList({}, 1);
  for (uint64_t revision = 2; revision < 2000; ++revision) {
    mirror.Apply({ MakeObject("a", revision), false }, revision);
  }
  CHECK_FALSE(mirror.ChangesSince(1));
  CHECK(mirror.ChangesSince(1998)->changes.size() == 1);
}

TEST_CASE("encoded pages and batches decode to the same values")
{
  Object object = MakeObject("a", 3);
  object.spec = { { "x", 1 } };
  ListPage page;
  page.items = { object };
  page.asOf = 7;
  page.age = Duration{ 1500 };
  page.recentOutage = true;
  const auto decoded = DecodeMirrorPage(EncodeMirrorPage(page));
  REQUIRE(decoded);
  CHECK(decoded->items[0].spec == object.spec);
  CHECK(decoded->asOf == 7);
  CHECK(decoded->age == page.age);
  CHECK(decoded->recentOutage);
  ChangeBatch batch;
  batch.changes = { { object, true } };
  batch.asOf = 9;
  const auto changes = DecodeMirrorBatch(EncodeMirrorBatch(batch));
  REQUIRE(changes);
  CHECK(changes->changes[0].removed);
  CHECK(changes->changes[0].object.name == "a");
  CHECK_FALSE(DecodeMirrorPage("nonsense"));
  CHECK_FALSE(DecodeMirrorBatch(""));
  CHECK_FALSE(DecodeMirrorBatch(EncodeMirrorPage(page).substr(0, 6)));
}

TEST_CASE("a query's target parses back, and malformed targets are rejected")
{
  const auto query =
    ParseMirrorTarget(FormatMirrorTarget({ "kind", 12, Duration{ 34'000 } }));
  REQUIRE(query);
  CHECK(query->kind == "kind");
  CHECK(query->since == 12);
  CHECK(query->wait == Duration{ 34'000 });
  CHECK_FALSE(
    ParseMirrorTarget(FormatMirrorTarget({ "kind", std::nullopt, Duration{} }))
      ->since);
  for (const char* target : { "/",
                              "/mirror",
                              "/mirror/k?since=",
                              "/mirror/k?since=1&wait_ms=x",
                              "/mirror/k?since=-1&wait_ms=1" }) {
    CHECK_FALSE(ParseMirrorTarget(target));
  }
}
