#include "hibiscusnotch/core/claim_journal.hpp"

#include "hibiscusnotch/core/rendezvous.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace hibiscusnotch::core {

namespace {

constexpr std::size_t kMaxOperationsPerWrite = 512;
constexpr Duration kReadRetryDelay{ 100'000 };

std::string
BucketKey(uint32_t aIndex)
{
  return "claims/" + std::to_string(aIndex);
}

} // namespace

ClaimReply
ApplyClaim(ClaimBucket& aBucket,
           const ClaimRequest& aRequest,
           int64_t aNowSeconds)
{
  ClaimEntry& entry = aBucket[aRequest.key];
  ClaimReply reply{ aRequest.key, aRequest.owner, ClaimState::Granted, {}, 0 };
  if (entry.done) {
    reply.state = ClaimState::Done;
    reply.outcome = entry.outcome;
    reply.microUnits = entry.microUnits;
    return reply;
  }
  const bool sameOwner = entry.owner == aRequest.owner;
  if (sameOwner && !entry.released) {
    return reply;
  }
  const bool held = !entry.owner.empty() && !entry.released;
  if (held || sameOwner) {
    reply.state = ClaimState::InProgress;
    return reply;
  }
  entry = ClaimEntry{ aRequest.owner, {}, false, false, aNowSeconds, 0 };
  return reply;
}

void
ApplyClaimEnd(ClaimBucket& aBucket, const ClaimEnd& aEnd, int64_t aNowSeconds)
{
  auto found = aBucket.find(aEnd.key);
  if (found == aBucket.end()) {
    // The end arrived before its claim: the entry rejects the late claim.
    found = aBucket.try_emplace(aEnd.key).first;
    found->second.owner = aEnd.owner;
    found->second.atSeconds = aNowSeconds;
  }
  if (found->second.owner != aEnd.owner || found->second.done) {
    return;
  }
  found->second.released = aEnd.released;
  found->second.done = !aEnd.released;
  found->second.outcome = aEnd.outcome;
  found->second.microUnits = aEnd.microUnits;
}

void
RemoveExpiredClaims(ClaimBucket& aBucket, int64_t aNowSeconds, int64_t aWindow)
{
  std::erase_if(aBucket, [&](const auto& aEntry) {
    return aNowSeconds - aEntry.second.atSeconds > aWindow;
  });
}

std::string
EncodeBucket(const ClaimBucket& aBucket)
{
  nlohmann::json body = nlohmann::json::object();
  for (const auto& [key, entry] : aBucket) {
    const char* state = entry.done ? "d" : entry.released ? "r" : "c";
    body[key] = {
      entry.owner, state, entry.atSeconds, entry.outcome, entry.microUnits
    };
  }
  return body.dump();
}

bool
DecodeBucket(std::string_view aBody, ClaimBucket& aBucket)
{
  try {
    aBucket.clear();
    const auto body = nlohmann::json::parse(aBody);
    if (!body.is_object()) {
      return false;
    }
    for (const auto& [key, fields] : body.items()) {
      ClaimEntry entry;
      entry.owner = fields.at(0).get<std::string>();
      const std::string state = fields.at(1).get<std::string>();
      entry.done = state == "d";
      entry.released = state == "r";
      entry.atSeconds = fields.at(2).get<int64_t>();
      entry.outcome = fields.at(3).get<std::string>();
      entry.microUnits = fields.at(4).get<uint64_t>();
      aBucket[key] = std::move(entry);
    }
    return true;
  } catch (const nlohmann::json::exception&) {
    return false;
  }
}

ClaimJournal::ClaimJournal(const Settings& aSettings)
  : settings_(aSettings)
  , buckets_(aSettings.journal.claimBuckets)
{
}

uint32_t
ClaimJournal::BucketOf(std::string_view aKey) const
{
  return static_cast<uint32_t>(StableHash(aKey) % buckets_.size());
}

void
ClaimJournal::QueueClaim(InstanceId aFrom, ClaimRequest aRequest)
{
  Bucket& bucket = buckets_[BucketOf(aRequest.key)];
  bucket.waiting.push_back(QueuedClaim{ aFrom, std::move(aRequest) });
}

void
ClaimJournal::QueueEnd(ClaimEnd aEnd)
{
  Bucket& bucket = buckets_[BucketOf(aEnd.key)];
  bucket.waiting.push_back(std::move(aEnd));
}

void
ClaimJournal::StartDueCalls(TimePoint aNow,
                            CallId& aNextCall,
                            Actions& aActions)
{
  nowSeconds_ =
    std::chrono::duration_cast<std::chrono::seconds>(aNow.time_since_epoch())
      .count();
  for (uint32_t i = 0; i < buckets_.size(); ++i) {
    Bucket& bucket = buckets_[i];
    const bool due =
      !bucket.waiting.empty() && bucket.call == 0 && aNow >= bucket.nextWrite;
    if (!due) {
      continue;
    }
    if (bucket.loaded) {
      StartWrite(aNow, i, aNextCall, aActions);
    } else {
      StartRead(i, aNextCall, aActions);
    }
  }
}

void
ClaimJournal::StartRead(uint32_t aIndex, CallId& aNextCall, Actions& aActions)
{
  Bucket& bucket = buckets_[aIndex];
  bucket.call = aNextCall++;
  bucket.writing = false;
  calls_[bucket.call] = aIndex;
  aActions.push_back(CallPlatform{
    bucket.call, PlatformOperation::Read, BucketKey(aIndex), 0, {} });
}

void
ClaimJournal::StartWrite(TimePoint aNow,
                         uint32_t aIndex,
                         CallId& aNextCall,
                         Actions& aActions)
{
  Bucket& bucket = buckets_[aIndex];
  bucket.pendingEntries = bucket.entries;
  const int64_t window = std::chrono::duration_cast<std::chrono::seconds>(
                           settings_.journal.repeatWindow)
                           .count();
  RemoveExpiredClaims(bucket.pendingEntries, nowSeconds_, window);
  while (!bucket.waiting.empty() &&
         bucket.inFlight.size() < kMaxOperationsPerWrite) {
    Operation operation = std::move(bucket.waiting.front());
    bucket.waiting.pop_front();
    if (const auto* claim = std::get_if<QueuedClaim>(&operation)) {
      ApplyClaim(bucket.pendingEntries, claim->request, nowSeconds_);
    } else {
      ApplyClaimEnd(
        bucket.pendingEntries, std::get<ClaimEnd>(operation), nowSeconds_);
    }
    bucket.inFlight.push_back(std::move(operation));
  }
  bucket.call = aNextCall++;
  bucket.writing = true;
  bucket.nextWrite = aNow + settings_.journal.claimWriteInterval;
  calls_[bucket.call] = aIndex;
  const PlatformOperation operation =
    bucket.version == 0 ? PlatformOperation::Create : PlatformOperation::Update;
  aActions.push_back(CallPlatform{ bucket.call,
                                   operation,
                                   BucketKey(aIndex),
                                   bucket.version,
                                   EncodeBucket(bucket.pendingEntries) });
}

bool
ClaimJournal::HandleResponse(TimePoint aNow,
                             const PlatformResponse& aResponse,
                             std::vector<AddressedClaimReply>& aReplies,
                             Actions& aActions)
{
  const auto call = calls_.find(aResponse.call);
  if (call == calls_.end()) {
    return false;
  }
  Bucket& bucket = buckets_[call->second];
  calls_.erase(call);
  bucket.call = 0;
  if (!bucket.writing) {
    if (!ApplyRead(bucket, aResponse)) {
      bucket.nextWrite = aNow + kReadRetryDelay;
      RejectWaitingClaims(bucket, aReplies);
    }
    return true;
  }
  bucket.writing = false;
  if (aResponse.status == PlatformStatus::Ok) {
    bucket.version = aResponse.version;
    bucket.entries = std::move(bucket.pendingEntries);
    ReplyToInFlight(bucket, bucket.entries, aReplies);
    return true;
  }
  if (aResponse.status == PlatformStatus::Conflict) {
    aActions.push_back(
      Log{ LogEvent{ EventNumber::ClaimConflict,
                     "version=" + std::to_string(bucket.version) } });
  }
  // The write may or may not have taken effect, so the object is read again.
  bucket.loaded = false;
  RequeueInFlight(bucket);
  return true;
}

bool
ClaimJournal::ApplyRead(Bucket& aBucket, const PlatformResponse& aResponse)
{
  if (aResponse.status == PlatformStatus::NotFound) {
    aBucket.entries.clear();
    aBucket.version = 0;
    aBucket.loaded = true;
    return true;
  }
  if (aResponse.status != PlatformStatus::Ok ||
      !DecodeBucket(aResponse.body, aBucket.entries)) {
    return false;
  }
  aBucket.version = aResponse.version;
  aBucket.loaded = true;
  return true;
}

void
ClaimJournal::ReplyToInFlight(Bucket& aBucket,
                              ClaimBucket& aEntries,
                              std::vector<AddressedClaimReply>& aReplies)
{
  for (const Operation& operation : aBucket.inFlight) {
    const auto* claim = std::get_if<QueuedClaim>(&operation);
    if (!claim) {
      continue;
    }
    aReplies.push_back(AddressedClaimReply{
      claim->from, ApplyClaim(aEntries, claim->request, nowSeconds_) });
  }
  aBucket.inFlight.clear();
}

void
ClaimJournal::RequeueInFlight(Bucket& aBucket)
{
  for (auto it = aBucket.inFlight.rbegin(); it != aBucket.inFlight.rend();
       ++it) {
    aBucket.waiting.push_front(std::move(*it));
  }
  aBucket.inFlight.clear();
}

void
ClaimJournal::RejectWaitingClaims(Bucket& aBucket,
                                  std::vector<AddressedClaimReply>& aReplies)
{
  std::deque<Operation> kept;
  for (Operation& operation : aBucket.waiting) {
    if (const auto* claim = std::get_if<QueuedClaim>(&operation)) {
      aReplies.push_back(
        AddressedClaimReply{ claim->from,
                             ClaimReply{ claim->request.key,
                                         claim->request.owner,
                                         ClaimState::Unavailable,
                                         {},
                                         0 } });
    } else {
      kept.push_back(std::move(operation));
    }
  }
  aBucket.waiting = std::move(kept);
}

bool
ClaimJournal::Idle() const
{
  return std::all_of(
    buckets_.begin(), buckets_.end(), [](const Bucket& aBucket) {
      return aBucket.waiting.empty() && aBucket.inFlight.empty();
    });
}

} // namespace hibiscusnotch::core
