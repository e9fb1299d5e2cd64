#include "hibiscusnotch/core/claim_journal.hpp"

#include <array>
#include <doctest/doctest.h>
#include <optional>
#include <set>

using namespace hibiscusnotch::core;

namespace {

constexpr uint32_t kHomes = 2;
constexpr std::size_t kMaxPathLength = 9;

/// A platform object with versions, shared by both homes.
struct Object
{
  uint64_t version = 0;
  std::string body;
};

/// Two homes that disagree who is home, two claimants, one object. A step is
/// a letter; a path is the word that led to a state, so that a failure can be
/// replayed by hand.
class TwoHomesModel
{
public:
  TwoHomesModel()
  {
    settings_.journal.claimBuckets = 1;
    settings_.journal.claimWriteInterval = Duration(0);
    for (auto& home : homes_) {
      home.emplace(settings_);
    }
  }

  /// Plays a word; false when a step was not possible.
  bool Replay(const std::string& aPath)
  {
    for (const char step : aPath) {
      if (!Step(step)) {
        return false;
      }
    }
    return true;
  }

  std::size_t GrantedOwners() const { return granted_.size(); }

private:
  bool Step(char aStep)
  {
    switch (aStep) {
      case 'a': // Claimant x asks home 0.
        return QueueClaim(0, "x");
      case 'b': // Claimant y asks home 1.
        return QueueClaim(1, "y");
      case 'c': // Claimant x got no answer and asks home 1.
        return QueueClaim(1, "x");
      case 'd': // Home 0's call is carried out and answered.
        return Execute(0, true);
      case 'e':
        return Execute(1, true);
      case 'f': // Home 0's call is carried out, its answer lost.
        return Execute(0, false);
      case 'g': // Home 1 dies; a new process takes its place.
        homes_[1].emplace(settings_);
        calls_[1].reset();
        return true;
      case 'h': // Claimant x gives up before it ran.
        if (granted_.contains("x")) {
          return false;
        }
        gaveUp_.insert("x");
        homes_[0]->QueueEnd(ClaimEnd{ "k", "x", true, {}, 0 });
        return Pump(0);
      default:
        return false;
    }
  }

  bool QueueClaim(uint32_t aHome, const std::string& aOwner)
  {
    homes_[aHome]->QueueClaim(InstanceId{ aHome }, ClaimRequest{ "k", aOwner });
    return Pump(aHome);
  }

  bool Pump(uint32_t aHome)
  {
    Actions actions;
    homes_[aHome]->StartDueCalls(now_, nextCall_, actions);
    for (const Action& action : actions) {
      calls_[aHome] = std::get<CallPlatform>(action);
    }
    return true;
  }

  bool Execute(uint32_t aHome, bool aResponseArrives)
  {
    if (!calls_[aHome]) {
      return false;
    }
    const CallPlatform call = *calls_[aHome];
    calls_[aHome].reset();
    PlatformResponse response{ call.call, PlatformStatus::Ok, 0, {} };
    const bool write = call.operation != PlatformOperation::Read;
    if (write && call.version == object_.version) {
      object_ = Object{ object_.version + 1, call.body };
      response.version = object_.version;
    } else if (write) {
      response.status = PlatformStatus::Conflict;
    } else if (object_.version == 0) {
      response.status = PlatformStatus::NotFound;
    } else {
      response.version = object_.version;
      response.body = object_.body;
    }
    if (!aResponseArrives) {
      response = PlatformResponse{ call.call, PlatformStatus::Lost, 0, {} };
    }
    std::vector<AddressedClaimReply> replies;
    Actions actions;
    homes_[aHome]->HandleResponse(now_, response, replies, actions);
    for (const AddressedClaimReply& due : replies) {
      if (due.reply.state == ClaimState::Granted &&
          !gaveUp_.contains(due.reply.owner)) {
        granted_.insert(due.reply.owner);
      }
    }
    now_ += Duration(1'000'000);
    return Pump(aHome);
  }

  Settings settings_;
  std::array<std::optional<ClaimJournal>, kHomes> homes_;
  std::array<std::optional<CallPlatform>, kHomes> calls_;
  Object object_;
  std::set<std::string> granted_;
  std::set<std::string> gaveUp_;
  CallId nextCall_ = 1;
  TimePoint now_{ Duration(1'000'000'000) };
};

/// Plays every word up to the depth; counts those that could be played.
void
Explore(const std::string& aPath, uint64_t& aReplayedPaths, uint64_t& aGranted)
{
  TwoHomesModel model;
  if (!model.Replay(aPath)) {
    return;
  }
  ++aReplayedPaths;
  aGranted += model.GrantedOwners() > 0 ? 1 : 0;
  if (model.GrantedOwners() > 1) {
    FAIL("two claimants may run after the word " << aPath);
  }
  if (aPath.size() == kMaxPathLength) {
    return;
  }
  for (const char step : std::string("abcdefgh")) {
    // Each claimant asks a home only once.
    const bool repeated =
      (step <= 'c' || step >= 'g') && aPath.find(step) != std::string::npos;
    if (!repeated) {
      Explore(aPath + step, aReplayedPaths, aGranted);
    }
  }
}

} // namespace

TEST_CASE("no order of two homes, lost answers and deaths grants twice")
{
  uint64_t replayedPaths = 0;
  uint64_t granted = 0;
  Explore("", replayedPaths, granted);
  CHECK(replayedPaths > 10'000);
  CHECK(granted > 1'000);
  MESSAGE("words played: " << replayedPaths << ", with a grant: " << granted);
}

TEST_CASE("an outcome is given back and never run again")
{
  ClaimBucket bucket;
  CHECK(ApplyClaim(bucket, { "k", "x" }, 1).state == ClaimState::Granted);
  CHECK(ApplyClaim(bucket, { "k", "y" }, 1).state == ClaimState::InProgress);
  ApplyClaimEnd(bucket, { "k", "x", false, "booked", 7 }, 1);
  const ClaimReply reply = ApplyClaim(bucket, { "k", "y" }, 1);
  CHECK(reply.state == ClaimState::Done);
  CHECK(reply.outcome == "booked");
  CHECK(reply.microUnits == 7);
  // A late release must not open a finished claim.
  ApplyClaimEnd(bucket, { "k", "x", true, {}, 0 }, 1);
  CHECK(ApplyClaim(bucket, { "k", "y" }, 1).state == ClaimState::Done);
}

TEST_CASE("a release that overtakes its claim keeps the claim out")
{
  ClaimBucket bucket;
  ApplyClaimEnd(bucket, { "k", "x", true, {}, 0 }, 1);
  CHECK(ApplyClaim(bucket, { "k", "x" }, 1).state == ClaimState::InProgress);
  CHECK(ApplyClaim(bucket, { "k", "y" }, 1).state == ClaimState::Granted);
}

TEST_CASE("buckets keep the repeat window and survive encoding")
{
  ClaimBucket bucket;
  ApplyClaim(bucket, { "old", "x" }, 100);
  ApplyClaim(bucket, { "new", "x" }, 900);
  ApplyClaimEnd(bucket, { "new", "x", false, "body \"quoted\"", 3 }, 900);
  RemoveExpiredClaims(bucket, 1000, 600);
  CHECK(bucket.size() == 1);
  ClaimBucket read;
  REQUIRE(DecodeBucket(EncodeBucket(bucket), read));
  CHECK(read.at("new").outcome == "body \"quoted\"");
  CHECK(read.at("new").done);
  CHECK_FALSE(DecodeBucket("[1,2", read));
  CHECK_FALSE(DecodeBucket(R"({"k":["x"]})", read));
}
