#include "hibiscusnotch/core/live_configuration.hpp"

#include <doctest/doctest.h>

using namespace hibiscusnotch::core;

namespace {

Settings
MakeSettings()
{
  Settings settings;
  settings.zones = { { "a", "r" } };
  settings.versions = { { "v", "m", 1, 0.25 } };
  Upstream upstream;
  upstream.name = "u";
  settings.upstreams = { upstream };
  return settings;
}

} // namespace

TEST_CASE("a configuration survives encoding")
{
  const Settings settings = MakeSettings();
  LiveConfiguration state;
  state.recentWrites = { "w1", "w2" };
  state.changedBy = "somebody";
  state = Apply(state, TakeZoneOut{ ZoneId{ 0 } });
  state = Apply(state, WithdrawVersion{ VersionId{ 0 } });
  state = Apply(state, MarkUpstreamLeaving{ UpstreamId{ 0 } });
  std::string reason;
  const auto read = DecodeConfiguration(
    settings, EncodeConfiguration(settings, state), 7, reason);
  REQUIRE(read.has_value());
  CHECK(read->revision == 7);
  CHECK(read->zonesOut == state.zonesOut);
  CHECK(read->withdrawn == state.withdrawn);
  CHECK(read->upstreamsLeaving == state.upstreamsLeaving);
  CHECK(read->recentWrites == state.recentWrites);
}

TEST_CASE("a roll-out lifts a withdrawal and sets the exposure")
{
  const Settings settings = MakeSettings();
  LiveConfiguration state;
  CHECK(state.Exposure(settings, VersionId{ 0 }) == doctest::Approx(0.25));
  state = Apply(state, WithdrawVersion{ VersionId{ 0 } });
  state = Apply(state, RollOutVersion{ VersionId{ 0 }, 0.5 });
  CHECK(state.withdrawn.empty());
  CHECK(state.Exposure(settings, VersionId{ 0 }) == doctest::Approx(0.5));
}

TEST_CASE("the reason for an invalid change names key and value")
{
  const Settings settings = MakeSettings();
  std::string reason;
  CHECK_FALSE(
    DecodeChange(settings, R"({"change":"zone_out","zone":"x"})", reason));
  CHECK(reason == "zone: \"x\" is not declared");
  CHECK_FALSE(DecodeChange(
    settings, R"({"change":"rollout","version":"v","exposure":2})", reason));
  CHECK(reason == "exposure: expected a number from 0 to 1");
  CHECK_FALSE(DecodeChange(settings, "not json", reason));
  CHECK_FALSE(DecodeChange(settings, R"({"change":"dance"})", reason));
  CHECK(DecodeChange(settings, R"({"change":"zone_in","zone":"a"})", reason));
}
