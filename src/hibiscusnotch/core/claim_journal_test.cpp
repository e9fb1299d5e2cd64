#include "hibiscusnotch/core/claim_journal.hpp"

#include <array>
#include <doctest/doctest.h>
#include <optional>
#include <set>

using namespace hibiscusnotch::core;

namespace {

constexpr uint32_t kHomes = 2;
constexpr std::size_t kDepth = 9;

/// A platform object with versions, shared by both homes.
struct Object
{
  uint64_t version = 0;
  std::string body;
};

/// Two homes that disagree who is home, two claimants, one object. A step is
/// a letter; a path is the word that led to a state, so that a failure can be
/// replayed by hand.
class Model
{
public:
  Model()
  {
    settings_.journal.claimBuckets = 1;
    settings_.journal.claimWriteInterval = Duration(0);
    for (auto& home : homes_) {
      home.emplace(settings_);
    }
  }

  /// Plays a word; false when a step was not possible.
  bool Play(const std::string& aWord)
  {
    for (const char step : aWord) {
      if (!Step(step)) {
        return false;
      }
    }
    return true;
  }

  std::size_t Runners() const { return granted_.size(); }

private:
  bool Step(char aStep)
  {
    switch (aStep) {
      case 'a': // Claimant x asks home 0.
        return Ask(0, "x");
      case 'b': // Claimant y asks home 1.
        return Ask(1, "y");
      case 'c': // Claimant x got no answer and asks home 1.
        return Ask(1, "x");
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
        homes_[0]->End(ClaimEnd{ "k", "x", true, {}, 0 });
        return Pump(0);
      default:
        return false;
    }
  }

  bool Ask(uint32_t aHome, const std::string& aOwner)
  {
    homes_[aHome]->Ask(InstanceId{ aHome }, ClaimRequest{ "k", aOwner });
    return Pump(aHome);
  }

  bool Pump(uint32_t aHome)
  {
    Actions actions;
    homes_[aHome]->Pump(now_, nextCall_, actions);
    for (const Action& action : actions) {
      calls_[aHome] = std::get<CallPlatform>(action);
    }
    return true;
  }

  bool Execute(uint32_t aHome, bool aAnswered)
  {
    if (!calls_[aHome]) {
      return false;
    }
    const CallPlatform call = *calls_[aHome];
    calls_[aHome].reset();
    PlatformResponse answer{ call.call, PlatformStatus::Ok, 0, {} };
    const bool write = call.operation != PlatformOperation::Read;
    if (write && call.version == object_.version) {
      object_ = Object{ object_.version + 1, call.body };
      answer.version = object_.version;
    } else if (write) {
      answer.status = PlatformStatus::Conflict;
    } else if (object_.version == 0) {
      answer.status = PlatformStatus::NotFound;
    } else {
      answer.version = object_.version;
      answer.body = object_.body;
    }
    if (!aAnswered) {
      answer = PlatformResponse{ call.call, PlatformStatus::Lost, 0, {} };
    }
    std::vector<DueClaimReply> replies;
    Actions actions;
    homes_[aHome]->Answer(now_, answer, replies, actions);
    for (const DueClaimReply& due : replies) {
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
Explore(const std::string& aWord, uint64_t& aPlayed, uint64_t& aGranted)
{
  Model model;
  if (!model.Play(aWord)) {
    return;
  }
  ++aPlayed;
  aGranted += model.Runners() > 0 ? 1 : 0;
  if (model.Runners() > 1) {
    FAIL("two claimants may run after the word " << aWord);
  }
  if (aWord.size() == kDepth) {
    return;
  }
  for (const char step : std::string("abcdefgh")) {
    // Each claimant asks a home only once.
    const bool repeated =
      (step <= 'c' || step >= 'g') && aWord.find(step) != std::string::npos;
    if (!repeated) {
      Explore(aWord + step, aPlayed, aGranted);
    }
  }
}

} // namespace

TEST_CASE("no order of two homes, lost answers and deaths grants twice")
{
  uint64_t played = 0;
  uint64_t granted = 0;
  Explore("", played, granted);
  CHECK(played > 10'000);
  CHECK(granted > 1'000);
  MESSAGE("words played: " << played << ", with a grant: " << granted);
}

TEST_CASE("an outcome is given back and never run again")
{
  ClaimBucket bucket;
  CHECK(EnterClaim(bucket, { "k", "x" }, 1).state == ClaimState::Granted);
  CHECK(EnterClaim(bucket, { "k", "y" }, 1).state == ClaimState::InProgress);
  EndClaim(bucket, { "k", "x", false, "booked", 7 }, 1);
  const ClaimReply reply = EnterClaim(bucket, { "k", "y" }, 1);
  CHECK(reply.state == ClaimState::Done);
  CHECK(reply.outcome == "booked");
  CHECK(reply.microUnits == 7);
  // A late release must not open a finished claim.
  EndClaim(bucket, { "k", "x", true, {}, 0 }, 1);
  CHECK(EnterClaim(bucket, { "k", "y" }, 1).state == ClaimState::Done);
}

TEST_CASE("a release that overtakes its claim keeps the claim out")
{
  ClaimBucket bucket;
  EndClaim(bucket, { "k", "x", true, {}, 0 }, 1);
  CHECK(EnterClaim(bucket, { "k", "x" }, 1).state == ClaimState::InProgress);
  CHECK(EnterClaim(bucket, { "k", "y" }, 1).state == ClaimState::Granted);
}

TEST_CASE("buckets keep the repeat window and survive encoding")
{
  ClaimBucket bucket;
  EnterClaim(bucket, { "old", "x" }, 100);
  EnterClaim(bucket, { "new", "x" }, 900);
  EndClaim(bucket, { "new", "x", false, "body \"quoted\"", 3 }, 900);
  ForgetOldClaims(bucket, 1000, 600);
  CHECK(bucket.size() == 1);
  ClaimBucket read;
  REQUIRE(DecodeBucket(EncodeBucket(bucket), read));
  CHECK(read.at("new").outcome == "body \"quoted\"");
  CHECK(read.at("new").done);
  CHECK_FALSE(DecodeBucket("[1,2", read));
  CHECK_FALSE(DecodeBucket(R"({"k":["x"]})", read));
}
