#include "hibiscusnotch/mesh/message_codec.hpp"

#include <doctest/doctest.h>
#include <random>

using namespace hibiscusnotch::core;
using namespace hibiscusnotch::mesh;

TEST_CASE("messages decode to what was encoded")
{
  Heartbeat heartbeat;
  heartbeat.incarnation = 1ULL << 40;
  heartbeat.sequence = 7;
  heartbeat.leaving = true;
  heartbeat.upstreams = { { UpstreamId{ 3 }, 9, true, 4, false } };
  heartbeat.ratings = {
    { ClassId{ 1 }, OrganisationId{ 2 }, VersionId{ 3 }, 4, 1, true, false }
  };
  heartbeat.halted = { VersionId{ 5 } };
  heartbeat.members = { { InstanceId{ 6 }, 1, 2, true } };
  std::string reason;
  const auto decoded = DecodeMessage(EncodeMessage(heartbeat), reason);
  REQUIRE(decoded.has_value());
  const auto& back = std::get<Heartbeat>(*decoded);
  CHECK(back.incarnation == heartbeat.incarnation);
  CHECK(back.leaving);
  CHECK(back.upstreams.at(0).lost);
  CHECK(back.upstreams.at(0).running == 4);
  CHECK(back.ratings.at(0).confidenceBin == 4);
  CHECK(back.ratings.at(0).accepted);
  CHECK(back.halted.at(0).value == 5);
  CHECK(back.members.at(0).leaving);

  const auto claim = DecodeMessage(
    EncodeMessage(ClaimReply{ "k", "o", ClaimState::Done, "body", 12 }),
    reason);
  REQUIRE(claim.has_value());
  CHECK(std::get<ClaimReply>(*claim).state == ClaimState::Done);
  CHECK(std::get<ClaimReply>(*claim).microUnits == 12);
}

TEST_CASE("malformed bytes are rejected with a reason")
{
  std::mt19937 random(4);
  const auto valid = EncodeMessage(ClaimRequest{ "key", "owner" });
  for (int round = 0; round < 20'000; ++round) {
    std::vector<uint8_t> bytes = valid;
    bytes.resize(random() % (valid.size() + 1));
    for (int i = 0; i < 3 && !bytes.empty(); ++i) {
      bytes[random() % bytes.size()] = static_cast<uint8_t>(random());
    }
    std::string reason;
    const auto decoded = DecodeMessage(bytes, reason);
    CHECK((decoded.has_value() || !reason.empty()));
  }
}
