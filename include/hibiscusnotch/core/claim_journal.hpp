/// @file
/// @brief Claims of non-repeatable requests, stored in bucket objects.
///
/// A claim lets its owner, one attempt to run a request, be the only one. Keys
/// are hashed to buckets. The home of a bucket, an instance that rendezvous
/// hashing chooses among the live members, commits claims in batches with
/// conditional updates. Instances may disagree on the home: concurrent homes
/// cost an update conflict and a reload, never a second grant, since an entry
/// is written once and names its only owner.
#pragma once

#include "hibiscusnotch/core/action.hpp"
#include "hibiscusnotch/core/event.hpp"
#include "hibiscusnotch/core/settings.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <variant>
#include <vector>

namespace hibiscusnotch::core {

/// @brief One request's entry in a bucket.
struct ClaimEntry
{
  std::string owner;
  std::string outcome;
  bool done = false;
  bool released = false;
  int64_t atSeconds = 0; ///< On the core's clock; expires after the window.
  uint64_t microUnits = 0;
};

using ClaimBucket = std::map<std::string, ClaimEntry>;

/// @brief Decides one claim and adds its entry to the bucket when it is
/// granted.
ClaimReply
ApplyClaim(ClaimBucket& aBucket,
           const ClaimRequest& aRequest,
           int64_t aNowSeconds);

/// @brief Completes or releases a claim if the owner still holds it.
void
ApplyClaimEnd(ClaimBucket& aBucket, const ClaimEnd& aEnd, int64_t aNowSeconds);

/// @brief Removes entries older than the repeat window.
void
RemoveExpiredClaims(ClaimBucket& aBucket, int64_t aNowSeconds, int64_t aWindow);

/// @brief Encodes a bucket as JSON.
std::string
EncodeBucket(const ClaimBucket& aBucket);

/// @brief Decodes a bucket; false when the body is malformed.
bool
DecodeBucket(std::string_view aBody, ClaimBucket& aBucket);

/// @brief A reply with the instance that asked.
struct AddressedClaimReply
{
  InstanceId to;
  ClaimReply reply;
};

/// @brief Processes claims for the buckets that this instance is the home of.
class ClaimJournal
{
public:
  explicit ClaimJournal(const Settings& aSettings);

  /// @brief The bucket of a request's key.
  uint32_t BucketOf(std::string_view aKey) const;

  void QueueClaim(InstanceId aFrom, ClaimRequest aRequest);
  void QueueEnd(ClaimEnd aEnd);

  /// @brief Starts the platform reads and writes that are due.
  /// @param aNextCall Next call id; advanced for each call started.
  void StartDueCalls(TimePoint aNow, CallId& aNextCall, Actions& aActions);

  /// @brief Handles a response; true when the call was this journal's.
  bool HandleResponse(TimePoint aNow,
                      const PlatformResponse& aResponse,
                      std::vector<AddressedClaimReply>& aReplies,
                      Actions& aActions);

  /// @brief True when no operation is queued or in flight.
  bool Idle() const;

private:
  struct QueuedClaim
  {
    InstanceId from;
    ClaimRequest request;
  };
  using Operation = std::variant<QueuedClaim, ClaimEnd>;

  struct Bucket
  {
    bool loaded = false;
    uint64_t version = 0; ///< Zero: the object does not exist.
    ClaimBucket entries;
    ClaimBucket pendingEntries; ///< After the write in flight.
    std::deque<Operation> waiting;
    std::vector<Operation> inFlight;
    CallId call = 0;
    bool writing = false;
    TimePoint nextWrite;
  };

  void StartRead(uint32_t aIndex, CallId& aNextCall, Actions& aActions);
  void StartWrite(TimePoint aNow,
                  uint32_t aIndex,
                  CallId& aNextCall,
                  Actions& aActions);
  void ReplyToInFlight(Bucket& aBucket,
                       ClaimBucket& aEntries,
                       std::vector<AddressedClaimReply>& aReplies);
  void RequeueInFlight(Bucket& aBucket);
  void RejectWaitingClaims(Bucket& aBucket,
                           std::vector<AddressedClaimReply>& aReplies);
  bool ApplyRead(Bucket& aBucket, const PlatformResponse& aResponse);

  const Settings& settings_;
  std::vector<Bucket> buckets_;
  std::map<CallId, uint32_t> calls_;
  int64_t nowSeconds_ = 0;
};

} // namespace hibiscusnotch::core
