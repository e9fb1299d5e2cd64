#include "hibiscusnotch/store/mirror.hpp"

#include "hibiscusnotch/testing/fake_store.hpp"

#include <doctest/doctest.h>

using namespace hibiscusnotch::store;
using hibiscusnotch::testing::MakeObject;

TEST_CASE("a reader gets the changes after its revision")
{
  Mirror mirror;
  CHECK_FALSE(mirror.ChangesSince({ 1, 0 }));
  mirror.ApplyList({ MakeObject("a", 3), MakeObject("b", 4) }, { 1, 10 });
  mirror.Apply({ MakeObject("a", 11), false }, { 1, 11 });
  mirror.Apply({ MakeObject("b", 4), true }, { 1, 12 });
  const auto all = mirror.ChangesSince({ 1, 10 });
  REQUIRE(all);
  REQUIRE(all->changes.size() == 2);
  CHECK(all->changes[0].object.revision == 11);
  CHECK(all->changes[1].removed);
  CHECK(all->asOf.revision == 12);
  CHECK(mirror.ChangesSince({ 1, 12 })->changes.empty());
  CHECK(mirror.List().items.size() == 1);
}

TEST_CASE("a revision before the first list has no change history")
{
  Mirror mirror;
  mirror.ApplyList({ MakeObject("a", 3) }, { 1, 10 });
  CHECK_FALSE(mirror.ChangesSince({ 1, 9 }));
}

TEST_CASE("a new list is logged as the changes it brings")
{
  Mirror mirror;
  mirror.ApplyList({ MakeObject("a", 3), MakeObject("b", 4) }, { 1, 10 });
  mirror.ApplyList({ MakeObject("a", 3), MakeObject("c", 19) }, { 1, 20 });
  const auto changes = mirror.ChangesSince({ 1, 10 });
  REQUIRE(changes);
  REQUIRE(changes->changes.size() == 2);
  CHECK(changes->changes[0].object.name == "c");
  CHECK(changes->changes[1].object.name == "b");
  CHECK(changes->changes[1].removed);
}

TEST_CASE("a reader behind the change log is told to list again")
{
  Mirror mirror;
  mirror.ApplyList({}, { 1, 1 });
  for (uint64_t revision = 2; revision < 2000; ++revision) {
    mirror.Apply({ MakeObject("a", revision), false }, { 1, revision });
  }
  CHECK_FALSE(mirror.ChangesSince({ 1, 1 }));
  CHECK(mirror.ChangesSince({ 1, 1998 })->changes.size() == 1);
}

TEST_CASE("encoded pages and batches decode to the same values")
{
  Object object = MakeObject("a", 3);
  object.spec = EncodedValue::FromJson({ { "x", 1 } });
  ListPage page;
  page.items = { object };
  page.asOf = { 1, 7 };
  page.age = Duration{ 1500 };
  page.restoreTimeLeft = Duration{ 800 };
  const auto decoded = DecodeMirrorPage(EncodeMirrorPage(page));
  REQUIRE(decoded);
  CHECK(decoded->items[0].spec.ToJson() == object.spec.ToJson());
  CHECK(decoded->asOf.revision == 7);
  CHECK(decoded->age == page.age);
  CHECK(decoded->fromMirror);
  CHECK(decoded->restoreTimeLeft == page.restoreTimeLeft);
  ChangeBatch batch;
  batch.changes = { { object, true } };
  batch.asOf = { 1, 9 };
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
  const auto query = ParseMirrorTarget(
    FormatMirrorTarget({ "kind", StoreVersion{ 3, 12 }, Duration{ 34'000 } }));
  REQUIRE(query);
  CHECK(query->kind == "kind");
  CHECK(query->since == StoreVersion{ 3, 12 });
  CHECK(query->wait == Duration{ 34'000 });
  CHECK_FALSE(
    ParseMirrorTarget(FormatMirrorTarget({ "kind", std::nullopt, Duration{} }))
      ->since);
  for (const char* target : { "/",
                              "/mirror",
                              "/mirror/k?since=",
                              "/mirror/k?since=1&wait_ms=1",
                              "/mirror/k?since=1&era=1&wait_ms=x",
                              "/mirror/k?since=1&wait_ms=1&era=1",
                              "/mirror/k?since=1&era=&wait_ms=1",
                              "/mirror/k?since=-1&era=1&wait_ms=1" }) {
    CHECK_FALSE(ParseMirrorTarget(target));
  }
}

TEST_CASE("a list of a new era starts the history anew")
{
  Mirror mirror;
  mirror.ApplyList({ MakeObject("a", 3) }, { 1, 10 });
  mirror.Apply({ MakeObject("b", 11), false }, { 1, 11 });
  mirror.ApplyList({ MakeObject("a", 3) }, { 2, 8 });
  CHECK(mirror.AsOf() == StoreVersion{ 2, 8 });
  CHECK(mirror.IsNewerThan({ 1, 11 }));
  CHECK_FALSE(mirror.IsNewerThan({ 2, 8 }));
  CHECK(mirror.List().items.size() == 1);
  // A reader at a version of the former era must list, also if its revision is
  // one that the new era gives out again.
  CHECK_FALSE(mirror.ChangesSince({ 1, 11 }));
  CHECK_FALSE(mirror.ChangesSince({ 1, 8 }));
  CHECK(mirror.ChangesSince({ 2, 8 })->changes.empty());
  mirror.Apply({ MakeObject("c", 11), false }, { 2, 11 });
  CHECK(mirror.ChangesSince({ 2, 8 })->changes.size() == 1);
}

TEST_CASE("a response that is nested too deeply is rejected, not decoded")
{
  // Decoding uses the stack; another writer's entry may name any peer.
  const std::string head("\x86\x01\x07\x00\xf4", 5);
  for (const std::string& opening : { std::string("\x81"), // an array of one
                                      std::string("\x9f"), // without a length
                                      std::string("\xa1\x60"), // a map of one
                                      std::string("\x7f"),
                                      std::string("\x5f"), // strings in pieces
                                      std::string("\xc1") }) { // a tag
    std::string bytes = head;
    for (int level = 0; level < 2'000'000; ++level) {
      bytes += opening;
    }
    CHECK_FALSE(DecodeMirrorPage(bytes));
    CHECK_FALSE(DecodeMirrorBatch(bytes));
  }
  CHECK_FALSE(DecodeMirrorPage(""));
  CHECK_FALSE(DecodeMirrorPage(head)); // an element is missing
  const std::string whole = EncodeMirrorPage({});
  CHECK(DecodeMirrorPage(whole));
  CHECK_FALSE(DecodeMirrorPage(whole + '\0'));
}

TEST_CASE("responses are read by former builds, and theirs are read here")
{
  // During an update, instances of both builds read each other's mirrors. The
  // former one encodes and decodes whole responses with the JSON library.
  using nlohmann::json;
  const json spec = { { "service", "x" }, { "slots", 3 }, { "cold", 1.5 } };
  Object object = MakeObject("a", 3);
  object.spec = EncodedValue::FromJson(spec);
  object.unreadable = "why";
  ListPage page;
  page.items = { object };
  page.asOf = { 1, 70'000 };
  page.age = Duration{ -1500 };
  const std::string bytes = EncodeMirrorPage(page);
  const json read = json::from_cbor(bytes);
  const json item = { "a", 3, 3, spec, nullptr, "why", object.HeldBytes() };
  CHECK(read == json({ 1, 70'000, -1500, false, json::array({ item }), 0 }));

  std::string former;
  json::to_cbor({ 1, 70'000, 5, true, { { true, item } }, 800 }, former);
  const auto batch = DecodeMirrorBatch(former);
  REQUIRE(batch);
  REQUIRE(batch->changes.size() == 1);
  CHECK(batch->changes[0].removed);
  CHECK(batch->changes[0].object.spec.ToJson() == spec);
  CHECK(batch->changes[0].object.unreadable == "why");
  CHECK(batch->asOf == StoreVersion{ 1, 70'000 });
  CHECK(batch->restoreTimeLeft == Duration{ 800 });
}

TEST_CASE("an object is reduced before the next one of a response is decoded")
{
  ListPage page;
  page.items = { MakeObject("a", 3), MakeObject("b", 4) };
  std::vector<std::string> reduced;
  const auto decoded =
    DecodeMirrorPage(EncodeMirrorPage(page), [&](Object& aObject) {
      reduced.push_back(aObject.name);
      aObject.unreadable = "dropped";
    });
  REQUIRE(decoded);
  CHECK(reduced == std::vector<std::string>{ "a", "b" });
  CHECK(decoded->items[1].unreadable == "dropped");
}

TEST_CASE("an unreadable object stays one in a mirror's copy")
{
  Object object = MakeObject("a", 3);
  object.unreadable = "spec: nested too deeply";
  ListPage page;
  page.items = { object, MakeObject("b", 4) };
  const auto decoded = DecodeMirrorPage(EncodeMirrorPage(page));
  REQUIRE(decoded);
  CHECK(decoded->items[0].unreadable == object.unreadable);
  CHECK(decoded->items[1].unreadable.empty());
}

TEST_CASE("large objects that change often do not fill memory")
{
  // Guards against the log of an entry of a megabyte that another writer
  // changes all the time.
  Mirror mirror;
  mirror.ApplyList({}, { 1, 1 });
  for (uint64_t revision = 2; revision < 300; ++revision) {
    Object object = MakeObject("a", revision);
    object.spec = EncodedValue::FromJson(std::string(1'000'000, 'x'));
    mirror.Apply({ object, false }, { 1, revision });
  }
  CHECK(mirror.ChangesSince({ 1, 297 })->changes.size() == 2);
  CHECK_FALSE(mirror.ChangesSince({ 1, 280 })); // lists again
  CHECK(mirror.List().items.size() == 1);
}

TEST_CASE("a busy zone's readers share one encoding of a list and of a batch")
{
  // Sixty readers of a mirror before 2,000 objects: the encoding must not be
  // repeated for each of them.
  Mirror mirror;
  std::vector<Object> objects;
  objects.reserve(2000);
  for (int index = 0; index < 2000; ++index) {
    objects.push_back(MakeObject("upstream" + std::to_string(index), 5));
  }
  mirror.ApplyList(objects, { 1, 10 });
  const std::string* items = &mirror.EncodedItems();
  const char* bytes = items->data();
  for (int reader = 0; reader < 60; ++reader) {
    CHECK(mirror.EncodedItems().data() == bytes);
  }
  CHECK(DecodeMirrorPage(
          EncodeMirrorResponse(
            { mirror.AsOf(), Duration{ 5 }, Duration::zero() }, *items))
          ->items.size() == 2000);
  mirror.Apply({ MakeObject("upstream7", 11), false }, { 1, 11 });
  const std::string* changes = mirror.EncodedChangesSince({ 1, 10 });
  REQUIRE(changes);
  const char* changeBytes = changes->data();
  for (int reader = 0; reader < 60; ++reader) {
    CHECK(mirror.EncodedChangesSince({ 1, 10 })->data() == changeBytes);
  }
  CHECK(DecodeMirrorBatch(
          EncodeMirrorResponse(
            { mirror.AsOf(), Duration{ -5 }, Duration{ 800 } }, *changes))
          ->changes.size() == 1);
  CHECK_FALSE(mirror.EncodedChangesSince({ 1, 9 }));
  // A new change is encoded anew.
  mirror.Apply({ MakeObject("upstream8", 12), false }, { 1, 12 });
  CHECK(DecodeMirrorBatch(EncodeMirrorResponse(
                            { mirror.AsOf(), Duration{ 0 }, Duration::zero() },
                            *mirror.EncodedChangesSince({ 1, 10 })))
          ->changes.size() == 2);
}
