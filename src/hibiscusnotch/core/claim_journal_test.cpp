#include "hibiscusnotch/core/claim_journal.hpp"

#include <array>
#include <doctest/doctest.h>
#include <optional>
#include <set>

using namespace hibiscusnotch::core;

namespace {

constexpr uint32_t kHomes = 2;
constexpr std::size_t kMaxPathLength = 9;

/// A versioned platform object, shared by both homes.
struct Object
{
  uint64_t version = 0;
  std::string body;
};

/// Two instances that both act as the bucket's home, two claimants and one
/// object. Each step is a letter, so that the path to a failure is printed as a
/// string and can be replayed.
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

  /// Runs the steps of a path; false when one was not possible.
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
      case 'a': // Claimant x sends its claim to home 0.
        return QueueClaim(0, "x");
      case 'b': // Claimant y sends its claim to home 1.
        return QueueClaim(1, "y");
      case 'c': // Claimant x got no reply and sends it to home 1.
        return QueueClaim(1, "x");
      case 'd': // Home 0's call takes effect; its response arrives.
        return Execute(0, true);
      case 'e':
        return Execute(1, true);
      case 'f': // Home 0's call takes effect; its response is lost.
        return Execute(0, false);
      case 'g': // Home 1 is restarted and loses its state.
        homes_[1].emplace(settings_);
        calls_[1].reset();
        return true;
      case 'h': // Claimant x gives up before running and releases.
        if (granted_.contains("x")) {
          return false;
        }
        gaveUp_.insert("x");
        homes_[0]->QueueEnd(ClaimEnd{ "k", "x", true, {}, 0 });
        return RunDueCalls(0);
      default:
        return false;
    }
  }

  bool QueueClaim(uint32_t aHome, const std::string& aOwner)
  {
    homes_[aHome]->QueueClaim(InstanceId{ aHome }, ClaimRequest{ "k", aOwner });
    return RunDueCalls(aHome);
  }

  bool RunDueCalls(uint32_t aHome)
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
    return RunDueCalls(aHome);
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

/// Runs every possible path up to the maximum length, and counts them.
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
    FAIL("two claimants were granted the same claim on the path " << aPath);
  }
  if (aPath.size() == kMaxPathLength) {
    return;
  }
  for (const char step : std::string("abcdefgh")) {
    // Claims, the restart and the release occur at most once.
    const bool repeated =
      (step <= 'c' || step >= 'g') && aPath.find(step) != std::string::npos;
    if (!repeated) {
      Explore(aPath + step, aReplayedPaths, aGranted);
    }
  }
}

} // namespace

TEST_CASE(
  "no interleaving of two homes, lost responses and a restart grants twice")
{
  uint64_t replayedPaths = 0;
  uint64_t granted = 0;
  Explore("", replayedPaths, granted);
  CHECK(replayedPaths > 10'000);
  CHECK(granted > 1'000);
  MESSAGE("paths explored: " << replayedPaths << ", with a grant: " << granted);
}

TEST_CASE("a completed claim returns its outcome and is never granted again")
{
  ClaimBucket bucket;
  CHECK(ApplyClaim(bucket, { "k", "x" }, 1).state == ClaimState::Granted);
  CHECK(ApplyClaim(bucket, { "k", "y" }, 1).state == ClaimState::InProgress);
  ApplyClaimEnd(bucket, { "k", "x", false, "booked", 7 }, 1);
  const ClaimReply reply = ApplyClaim(bucket, { "k", "y" }, 1);
  CHECK(reply.state == ClaimState::Done);
  CHECK(reply.outcome == "booked");
  CHECK(reply.microUnits == 7);
  // A late release must not reopen a completed claim.
  ApplyClaimEnd(bucket, { "k", "x", true, {}, 0 }, 1);
  CHECK(ApplyClaim(bucket, { "k", "y" }, 1).state == ClaimState::Done);
}

TEST_CASE("a release that arrives before its claim rejects the claim")
{
  ClaimBucket bucket;
  ApplyClaimEnd(bucket, { "k", "x", true, {}, 0 }, 1);
  CHECK(ApplyClaim(bucket, { "k", "x" }, 1).state == ClaimState::InProgress);
  CHECK(ApplyClaim(bucket, { "k", "y" }, 1).state == ClaimState::Granted);
}

TEST_CASE("buckets drop expired claims and survive encoding")
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
