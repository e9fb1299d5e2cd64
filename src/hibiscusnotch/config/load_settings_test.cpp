#include "hibiscusnotch/config/load_settings.hpp"

#include "hibiscusnotch/config/units.hpp"

#include <algorithm>
#include <doctest/doctest.h>
#include <filesystem>
#include <fstream>
#include <sstream>

using namespace hibiscusnotch;
using namespace hibiscusnotch::config;

namespace {

const std::filesystem::path kRoot = HIBISCUSNOTCH_SOURCE_DIR;

std::string
BaseText()
{
  std::ifstream stream(kRoot / "deploy/chattahoochee/base.yaml");
  std::stringstream text;
  text << stream.rdbuf();
  return text.str();
}

std::vector<Fault>
FaultsOf(const std::string& aText, const std::string& aOverlay = "")
{
  std::vector<Fault> faults;
  auto tree = ParseTree(aText, "base.yaml", faults);
  if (tree && !aOverlay.empty()) {
    const auto overlay = ParseTree(aOverlay, "overlay.yaml", faults);
    if (overlay) {
      tree = Merge(std::move(*tree), *overlay);
    }
  }
  if (!tree || !faults.empty()) {
    return faults;
  }
  return ReadSettings(*tree).faults;
}

bool
Names(const std::vector<Fault>& aFaults,
      const std::string& aKey,
      const std::string& aValue)
{
  return std::any_of(aFaults.begin(), aFaults.end(), [&](const Fault& aFault) {
    return aFault.key.find(aKey) != std::string::npos &&
           aFault.value == aValue && aFault.line > 0;
  });
}

std::string
Replace(std::string aText, const std::string& aFrom, const std::string& aTo)
{
  const std::size_t at = aText.find(aFrom);
  REQUIRE(at != std::string::npos);
  return aText.replace(at, aFrom.size(), aTo);
}

} // namespace

TEST_CASE("the deployments load for each of their sites")
{
  for (const std::string name : { "chattahoochee", "tripa-dorada" }) {
    for (const auto& entry :
         std::filesystem::directory_iterator(kRoot / "deploy" / name)) {
      CAPTURE(entry.path().string());
      const bool base = entry.path().filename() == "base.yaml";
      const LoadResult result =
        LoadSettings((kRoot / "deploy" / name / "base.yaml").string(),
                     base ? "" : entry.path().string(),
                     "");
      CHECK(result.faults.empty());
      REQUIRE(result.settings.has_value());
      CHECK(result.settings->self.Valid() != base);
    }
  }
}

TEST_CASE("each kind of fault names file, line, key and value")
{
  const std::string base = BaseText();
  CHECK(Names(FaultsOf(base + "colour: red\n"), "colour", "red"));
  CHECK(Names(FaultsOf(Replace(base, "capacity: 8", "capacity: many")),
              "capacity",
              "many"));
  CHECK(Names(FaultsOf(Replace(base, "deadline: 30s", "deadline: 30")),
              "deadline",
              "30"));
  CHECK(
    Names(FaultsOf(Replace(base, "quality_target: 0.9", "quality_target: 9")),
          "quality_target",
          "9"));
  CHECK(Names(FaultsOf(Replace(base, "zone: macon", "zone: atlanta")),
              "zone",
              "atlanta"));
  CHECK(Names(FaultsOf(Replace(base, "cold_floor: 2", "cold_floor: 9")),
              "cold_floor",
              "9"));
  CHECK(Names(
    FaultsOf(Replace(base, "kind: plain", "kind: magic")), "kind", "magic"));
  CHECK(Names(
    FaultsOf(Replace(base, "id: valdosta", "id: macon")), "zones", "macon"));
}

TEST_CASE("what no single key shows is checked too")
{
  const std::string base = BaseText();
  const std::string unserved =
    Replace(base,
            "versions:\n",
            "versions:\n  - {id: ghost-1, model: ghost, price: 1}\n");
  CHECK(Names(FaultsOf(unserved), "versions", "ghost-1"));
  CHECK_FALSE(
    FaultsOf(Replace(base, "confirm_after: 1500ms", "confirm_after: 100ms"))
      .empty());
}

TEST_CASE("faults of syntax and depth are reported, not thrown")
{
  CHECK_FALSE(FaultsOf("a: [1, 2").empty());
  CHECK_FALSE(FaultsOf("- just\n- a list\n").empty());
  CHECK_FALSE(FaultsOf("a: 1\na: 2\n").empty());
  CHECK_FALSE(FaultsOf(std::string(200, '[') + std::string(200, ']')).empty());
  CHECK_FALSE(LoadSettings("/nonexistent/base.yaml", "", "").faults.empty());
}

TEST_CASE("an overlay merges maps, merges rows by id and replaces other lists")
{
  std::vector<Fault> faults;
  const auto base = ParseTree(
    "m: {a: 1, b: 2}\nrows: [{id: x, v: 1}, {id: y, v: 2}]\nlist: [1, 2]\n",
    "base",
    faults);
  const auto overlay =
    ParseTree("m: {b: 3}\nrows: [{id: y, v: 9}, {id: z, v: 4}]\nlist: [7]\n",
              "overlay",
              faults);
  REQUIRE(faults.empty());
  const Tree merged = Merge(*base, *overlay);
  const auto text = [](const Tree* aTree) {
    return std::get<Scalar>(aTree->content).text;
  };
  CHECK(text(merged.Find("m")->Find("a")) == "1");
  CHECK(text(merged.Find("m")->Find("b")) == "3");
  const auto& rows = std::get<List>(merged.Find("rows")->content).items;
  REQUIRE(rows.size() == 3);
  CHECK(text(rows[1].Find("v")) == "9");
  CHECK(rows[1].Find("v")->file == "overlay");
  CHECK(std::get<List>(merged.Find("list")->content).items.size() == 1);
}

TEST_CASE("values carry their units")
{
  CHECK(ParseDuration("50ms") == core::Duration(50'000));
  CHECK(ParseDuration("1.7s") == core::Duration(1'700'000));
  CHECK_FALSE(ParseDuration("50").has_value());
  CHECK_FALSE(ParseDuration("-1s").has_value());
  CHECK_FALSE(ParseDuration("1e300h").has_value());
  CHECK(ParseSize("256MiB") == 256U * 1024 * 1024);
  CHECK_FALSE(ParseSize("256MB").has_value());
  CHECK_FALSE(ParseNumber("nan").has_value());
}
