/// @file
/// @brief The state of one router, shared by its systems.
#pragma once

#include "hibiscusnotch/core/balancer.hpp"
#include "hibiscusnotch/core/bill_journal.hpp"
#include "hibiscusnotch/core/cascade.hpp"
#include "hibiscusnotch/core/claim_journal.hpp"
#include "hibiscusnotch/core/fair_queue.hpp"
#include "hibiscusnotch/core/membership.hpp"
#include "hibiscusnotch/core/quarantine.hpp"
#include "hibiscusnotch/core/retry_budget.hpp"
#include "hibiscusnotch/core/rollout_guard.hpp"
#include "hibiscusnotch/core/router.hpp"
#include "hibiscusnotch/core/session_pins.hpp"
#include "hibiscusnotch/core/upstream_table.hpp"

#include <map>
#include <unordered_map>
#include <unordered_set>

namespace hibiscusnotch::core {

/// @brief The stage of a request.
enum class RequestStage
{
  Pinning,  ///< Waits for the session's pin from its home.
  Claiming, ///< Waits for the claim that lets it run.
  Queued,   ///< Waits for an upstream.
  Running,  ///< An attempt is running.
  Billing,  ///< Final action held back until the bill is safe.
};

/// @brief An answer held back because a better version may replace it.
struct BufferedAnswer
{
  VersionId version;
  std::vector<AttemptChunk> chunks;
};

/// @brief The state of one request.
struct RequestState
{
  RequestArrived arrival;
  TimePoint deadline;
  RequestStage stage = RequestStage::Queued;
  Plan plan;
  std::size_t step = 0;
  uint64_t session = 0; ///< Hash of organisation and session; zero: none.
  VersionId pinProposal;
  int pinAttemptCount = 0;
  TimePoint pinTimeout;
  bool pinBroken = false;
  std::string key;   ///< Organisation and request id.
  std::string owner; ///< Of the claim; empty: none requested.
  bool claimHeld = false;
  int claimAttemptCount = 0;
  TimePoint claimTimeout;
  AttemptId attempt = 0;
  UpstreamId upstream;
  UpstreamId avoidUpstream;
  bool poisonSuspect = false; ///< Counted in the upstream's poisonSuspects.
  uint32_t attemptCount = 0;
  bool mayHaveRun = false;
  uint32_t receivedTokens = 0;  ///< Contiguous tokens of this attempt.
  uint32_t forwardedTokens = 0; ///< Tokens sent to the caller.
  TimePoint attemptStartedAt;
  TimePoint lastProgress;
  TimePoint probedAt;
  bool probing = false;
  std::map<uint32_t, AttemptChunk> outOfOrderChunks; ///< By offset.
  BufferedAnswer buffer;
  BufferedAnswer fallbackAnswer; ///< Complete answer of an earlier step.
  double cost = 0;               ///< Of all finished steps.
  Action finalAction;            ///< Emitted once the bill is safe.
  int billSendCount = 0;
  std::set<InstanceId> billHolders;
  uint64_t billSequence = 0;
  TimePoint billTimeout;
};

/// @brief An operator's change that the platform has not accepted yet.
struct PendingChange
{
  AdminHandle handle = 0;
  ConfigurationChange change;
  std::string operatorName;
  std::string writeId;
};

/// @brief The progress of the first pending change.
enum class ChangeStage
{
  Idle,
  Reading,
  Writing,
  Verifying, ///< The write's response was lost: reads the object back.
  ReadingWinner,
};

/// @brief This instance's copy of the configuration, with its calls in flight.
struct ConfigurationTable
{
  LiveConfiguration live;
  std::string body; ///< As stored on the platform.
  bool known = false;
  CallId watchCall = 0;
  TimePoint watchTimeout;
  TimePoint nextWatch;
  std::deque<PendingChange> changes;
  ChangeStage stage = ChangeStage::Idle;
  CallId changeCall = 0;
  TimePoint nextChange;
  uint64_t baseRevision = 0;
  std::string changedBody;
  uint64_t writes = 0;
};

/// @brief The whole state of one router.
struct RouterState
{
  RouterState(const Settings& aSettings, const RouterOptions& aOptions);

  const Settings& settings;
  RouterOptions options;
  TimePoint now;
  Actions* actions = nullptr;

  GossipParameters gossip;
  std::vector<bool> polledPeriodically; ///< By upstream.
  ConfigurationTable configuration;
  UpstreamTable upstreams;
  Membership members;
  Balancer balancer;
  Cascade cascade;
  RolloutGuard rolloutGuard;
  SessionPins pins;
  Quarantine quarantine;
  RetryBudget retryBudget;
  ClaimJournal claims;
  BillJournal bills;
  std::unordered_map<RequestHandle, RequestState> requests;
  std::unordered_map<AttemptId, RequestHandle> requestsByAttempt;
  std::unordered_map<std::string, RequestHandle> requestsByClaimOwner;
  std::unordered_map<uint64_t, RequestHandle> requestsByBill;
  std::vector<FairQueue> queues;        ///< By version.
  std::vector<double> dispatchRate;     ///< Attempts per second, by version.
  std::vector<uint32_t> dispatchCounts; ///< Since the last rate update.
  TimePoint nextRateUpdate;
  std::vector<Rating> ratingsToShare;
  RouterCounters counters;
  CallId nextCall = 1;
  uint64_t nextAttempt = 1;
  uint64_t heartbeatSequence = 1;
  TimePoint nextHeartbeat;
  std::size_t upstreamStatusCursor = 0;
  double platformCallTokens = 10;
  TimePoint platformTokensRefilledAt;
  bool platformOut = false;
  bool pinSyncPending = false;
  TimePoint pinSyncAt;
  TimePoint firstEventAt;
  TimePoint resyncUntil; ///< No dispatches before, after a pause.
  bool draining = false;
  bool exited = false;
  TimePoint acceptUntil; ///< While draining.
  TimePoint drainDeadline;

  void Emit(Action aAction) { actions->push_back(std::move(aAction)); }
  void EmitLog(EventNumber aNumber, std::string aDetail)
  {
    Emit(Log{ LogEvent{ aNumber, std::move(aDetail) } });
  }
  void Send(InstanceId aTo, PeerMessage aMessage)
  {
    Emit(SendToPeer{ aTo, std::move(aMessage) });
  }
  /// @brief The state that a dispatch is checked against now.
  DispatchContext MakeDispatchContext() const
  {
    return DispatchContext{
      settings, configuration.live, rolloutGuard.Halted(), upstreams, now
    };
  }
};

} // namespace hibiscusnotch::core
