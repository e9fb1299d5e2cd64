#include "hibiscusnotch/store/encoded_value.hpp"

#include "hibiscusnotch/store/cbor_writer.hpp"

#include <cstdint>
#include <doctest/doctest.h>
#include <limits>
#include <vector>

using namespace hibiscusnotch::store;
using nlohmann::json;

TEST_CASE("members and elements are read in place")
{
  const auto value = EncodedValue::FromJson(
    { { "name", "a" }, { "list", { 1, "two", nullptr } }, { "flag", true } });
  const ValueView view = value.View();
  CHECK(view.IsObject());
  CHECK(view.Size() == 3);
  CHECK(view.At("name").Text() == "a");
  CHECK(view.At("flag").Scalar() == true);
  CHECK_FALSE(view.Find("none"));
  std::vector<json> elements;
  view.At("list").ForEach(
    [&](const ValueView& aElement) { elements.push_back(aElement.Scalar()); });
  CHECK(elements == std::vector<json>{ 1, "two", nullptr });
  CHECK(view.At("list").Encoded().size() == 7);
  CHECK(value.ToJson().at("list").at(1) == "two");
  CHECK(EncodedValue().IsNull());
}

TEST_CASE("a reader that asks for another type gets an error")
{
  const auto value =
    EncodedValue::FromJson({ { "list", json::array({ 1 }) }, { "n", 5 } });
  const ValueView view = value.View();
  CHECK_THROWS_AS(view.At("none"), std::invalid_argument);
  CHECK_THROWS_AS(view.Scalar(), std::invalid_argument);
  CHECK_THROWS_AS(view.At("n").At("x"), std::invalid_argument);
  CHECK_THROWS_AS(view.At("n").ForEach([](const ValueView&) {}),
                  std::invalid_argument);
  CHECK_FALSE(view.At("n").Text());
  CHECK_FALSE(view.At("n").Find("x"));
  CHECK(view.At("n").IsInteger());
}

TEST_CASE("the last of several members with one name counts")
{
  CborWriter writer;
  writer.Map(2);
  writer.Text("a");
  writer.Unsigned(1);
  writer.Text("a");
  writer.Unsigned(2);
  const EncodedValue value(writer.Take());
  CHECK(value.View().At("a").Scalar() == 2);
  CHECK(value.ToJson() == json{ { "a", 2 } });
}

TEST_CASE("written values decode to the same with the JSON library")
{
  constexpr auto kMost = std::numeric_limits<uint64_t>::max();
  constexpr auto kLeast = std::numeric_limits<int64_t>::min();
  for (const uint64_t number : std::vector<uint64_t>{
         0, 23, 24, 255, 256, 65535, 65536, 1UL << 32U, kMost }) {
    CborWriter writer;
    writer.Unsigned(number);
    CHECK(json::from_cbor(writer.Take()) == number);
  }
  for (const int64_t number :
       std::vector<int64_t>{ 5, -1, -24, -25, -256, -257, -70000, kLeast }) {
    CborWriter writer;
    writer.Signed(number);
    CHECK(json::from_cbor(writer.Take()) == number);
  }
  for (const std::size_t length : { 0, 23, 24, 255, 256, 70000 }) {
    CborWriter writer;
    writer.Text(std::string(length, 'x'));
    const std::string bytes = writer.Take();
    CHECK(json::from_cbor(bytes) == std::string(length, 'x'));
    CHECK(ValueView(bytes).Text()->size() == length);
  }
  CborWriter writer;
  writer.Array(3);
  writer.Double(-1.25e300);
  writer.Boolean(false);
  writer.Null();
  CHECK(json::from_cbor(writer.Take()) == json({ -1.25e300, false, nullptr }));
}

TEST_CASE("bytes that end within a value are malformed")
{
  const std::string whole =
    EncodedValue::FromJson({ { "a", { 1, 2.5, "text" } }, { "b", 70000 } })
      .ToJson()
      .dump();
  std::string bytes;
  json::to_cbor(json::parse(whole), bytes);
  CHECK(IsWellFormedCbor(bytes));
  for (std::size_t length = 0; length < bytes.size(); ++length) {
    const std::string cut = bytes.substr(0, length);
    CHECK_FALSE(IsWellFormedCbor(cut));
    CHECK_THROWS_AS(ValueView{ cut }, std::invalid_argument);
  }
  CHECK_FALSE(IsWellFormedCbor(bytes + '\0'));
  CHECK(ValueView(bytes + '\0').Encoded().size() == bytes.size());
}
