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

std::vector<SettingsError>
ErrorsOf(const std::string& aText, const std::string& aOverlay = "")
{
  std::vector<SettingsError> errors;
  auto tree = ParseYaml(aText, "base.yaml", errors);
  if (tree && !aOverlay.empty()) {
    const auto overlay = ParseYaml(aOverlay, "overlay.yaml", errors);
    if (overlay) {
      tree = MergeOverlay(std::move(*tree), *overlay);
    }
  }
  if (!tree || !errors.empty()) {
    return errors;
  }
  return DecodeSettings(*tree).errors;
}

bool
HasError(const std::vector<SettingsError>& aErrors,
         const std::string& aKey,
         const std::string& aValue)
{
  return std::any_of(
    aErrors.begin(), aErrors.end(), [&](const SettingsError& aError) {
      return aError.key.find(aKey) != std::string::npos &&
             aError.value == aValue && aError.line > 0;
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

TEST_CASE("the settings of all deployments and zones load")
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
      CHECK(result.errors.empty());
      REQUIRE(result.settings.has_value());
      CHECK(result.settings->self.Valid() != base);
    }
  }
}

TEST_CASE("each kind of error gives line, key and value")
{
  const std::string base = BaseText();
  CHECK(HasError(ErrorsOf(base + "colour: red\n"), "colour", "red"));
  CHECK(HasError(ErrorsOf(Replace(base, "capacity: 8", "capacity: many")),
                 "capacity",
                 "many"));
  CHECK(HasError(ErrorsOf(Replace(base, "deadline: 30s", "deadline: 30")),
                 "deadline",
                 "30"));
  CHECK(HasError(
    ErrorsOf(Replace(base, "quality_target: 0.9", "quality_target: 9")),
    "quality_target",
    "9"));
  CHECK(HasError(ErrorsOf(Replace(base, "zone: macon", "zone: atlanta")),
                 "zone",
                 "atlanta"));
  CHECK(HasError(ErrorsOf(Replace(base, "cold_floor: 2", "cold_floor: 9")),
                 "cold_floor",
                 "9"));
  CHECK(HasError(
    ErrorsOf(Replace(base, "kind: plain", "kind: magic")), "kind", "magic"));
  CHECK(HasError(
    ErrorsOf(Replace(base, "id: valdosta", "id: macon")), "zones", "macon"));
}

TEST_CASE("rules that concern several keys are checked")
{
  const std::string base = BaseText();
  const std::string unserved =
    Replace(base,
            "versions:\n",
            "versions:\n  - {id: ghost-1, model: ghost, price: 1}\n");
  CHECK(HasError(ErrorsOf(unserved), "versions", "ghost-1"));
  CHECK_FALSE(
    ErrorsOf(Replace(base, "confirm_after: 1500ms", "confirm_after: 100ms"))
      .empty());
}

TEST_CASE("syntax errors and deep nesting are reported, not thrown")
{
  CHECK_FALSE(ErrorsOf("a: [1, 2").empty());
  CHECK_FALSE(ErrorsOf("- just\n- a list\n").empty());
  CHECK_FALSE(ErrorsOf("a: 1\na: 2\n").empty());
  CHECK_FALSE(ErrorsOf(std::string(200, '[') + std::string(200, ']')).empty());
  CHECK_FALSE(LoadSettings("/nonexistent/base.yaml", "", "").errors.empty());
}

TEST_CASE("an overlay merges maps and lists with ids, and replaces other lists")
{
  std::vector<SettingsError> errors;
  const auto base = ParseYaml(
    "m: {a: 1, b: 2}\nrows: [{id: x, v: 1}, {id: y, v: 2}]\nlist: [1, 2]\n",
    "base",
    errors);
  const auto overlay =
    ParseYaml("m: {b: 3}\nrows: [{id: y, v: 9}, {id: z, v: 4}]\nlist: [7]\n",
              "overlay",
              errors);
  REQUIRE(errors.empty());
  const SettingsNode merged = MergeOverlay(*base, *overlay);
  const auto text = [](const SettingsNode* aTree) {
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

TEST_CASE("durations and sizes need a known unit, and numbers are finite")
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
