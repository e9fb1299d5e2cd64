/// @file
/// @brief The tables of one router, shared by its systems.
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

/// @brief Where a request stands.
enum class RequestStage
{
  Pinning,  ///< The session's home is asked for its version.
  Claiming, ///< The platform is asked for the right to run it.
  Queued,   ///< Waits for an upstream.
  Running,  ///< An attempt runs.
  Billing,  ///< Answered but for the last chunk, whose bill is not yet safe.
};

/// @brief A whole answer that a better version may replace.
struct BufferedAnswer
{
  VersionId version;
  std::vector<AttemptChunk> chunks;
};

/// @brief One caller's request.
struct RequestRow
{
  RequestArrived request;
  TimePoint deadline;
  RequestStage stage = RequestStage::Queued;
  Plan plan;
  std::size_t step = 0;
  uint64_t session = 0; ///< Hash of organisation and session; zero: none.
  VersionId proposal;
  int pinTries = 0;
  TimePoint pinTimeout;
  bool pinBroken = false;
  std::string key;   ///< Organisation and request id.
  std::string owner; ///< Of the claim; empty: none asked.
  bool claimHeld = false;
  int claimTries = 0;
  TimePoint claimTimeout;
  AttemptId attempt = 0;
  UpstreamId upstream;
  UpstreamId avoid;
  bool suspect = false; ///< Counted among the upstream's suspects.
  uint32_t tries = 0;
  bool mayHaveRun = false;
  uint32_t received = 0;  ///< Tokens of this attempt, in order.
  uint32_t forwarded = 0; ///< Tokens that the caller has.
  TimePoint startedAt;
  TimePoint lastProgress;
  TimePoint probedAt;
  bool probing = false;
  std::map<uint32_t, AttemptChunk> early; ///< Chunks ahead of their turn.
  BufferedAnswer buffer;
  BufferedAnswer fallback; ///< The last whole answer of an earlier step.
  double cost = 0;         ///< Of all attempts so far.
  Action ending;           ///< What ends the answer once the bill is safe.
  int billTries = 0;
  std::set<InstanceId> billHolders;
  uint64_t billSequence = 0;
  TimePoint billTimeout;
};

/// @brief An operator's change on its way to the platform.
struct PendingChange
{
  AdminHandle handle = 0;
  ConfigurationChange change;
  std::string operatorName;
  std::string writeId;
};

/// @brief How far the first pending change has come.
enum class ChangeStage
{
  Idle,
  Reading,
  Writing,
  Verifying, ///< The write's answer was lost; the object is read back.
  NamingWinner,
};

/// @brief The configuration's state at this instance.
struct ConfigurationTable
{
  LiveConfiguration live;
  std::string body; ///< As the platform holds it.
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

/// @brief All tables of one router.
struct RouterState
{
  RouterState(const Settings& aSettings, const RouterOptions& aOptions);

  const Settings& settings;
  RouterOptions options;
  TimePoint now;
  Actions* actions = nullptr;

  Cadence cadence;
  std::vector<bool> polled; ///< By upstream.
  ConfigurationTable configuration;
  UpstreamTable upstreams;
  Membership members;
  Balancer balancer;
  Cascade cascade;
  RolloutGuard guard;
  SessionPins pins;
  Quarantine quarantine;
  RetryBudget retries;
  ClaimJournal claims;
  BillJournal bills;
  std::unordered_map<RequestHandle, RequestRow> requests;
  std::unordered_map<AttemptId, RequestHandle> attempts;
  std::unordered_map<std::string, RequestHandle> claimants;
  std::unordered_map<uint64_t, RequestHandle> billing;
  std::vector<FairQueue> queues; ///< By version.
  std::vector<double> startRate; ///< Attempts a second, by version.
  std::vector<uint32_t> starts;  ///< Since the last rate update.
  TimePoint nextRate;
  std::vector<Rating> ratingsToShare;
  RouterCounters counters;
  CallId nextCall = 1;
  uint64_t nextAttempt = 1;
  uint64_t heartbeatSequence = 1;
  TimePoint nextHeartbeat;
  std::size_t evidenceCursor = 0;
  double platformTokens = 10;
  TimePoint platformRefill;
  bool platformOut = false;
  bool spreadPins = false;
  TimePoint spreadPinsAt;
  TimePoint startedAt;  ///< Of the first event.
  TimePoint wokenUntil; ///< After a pause, until the present state is known.
  bool draining = false;
  bool exited = false;
  TimePoint acceptUntil; ///< While draining.
  TimePoint drainDeadline;

  void Emit(Action aAction) { actions->push_back(std::move(aAction)); }
  void Report(EventNumber aNumber, std::string aDetail)
  {
    Emit(Log{ LogEvent{ aNumber, std::move(aDetail) } });
  }
  void Send(InstanceId aTo, PeerMessage aMessage)
  {
    Emit(SendToPeer{ aTo, std::move(aMessage) });
  }
  /// @brief What every dispatch is checked against now.
  DispatchCheck Check() const
  {
    return DispatchCheck{
      settings, configuration.live, guard.Halted(), upstreams, now
    };
  }
};

} // namespace hibiscusnotch::core
