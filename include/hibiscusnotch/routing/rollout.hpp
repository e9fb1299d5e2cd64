/// @file
/// @brief Moves a service's traffic to a new software version, or back.
#pragma once

#include "hibiscusnotch/core/time.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace hibiscusnotch::routing {

using core::Duration;
using core::TimePoint;

enum class RolloutState
{
  Ordered, ///< Nobody has acted on it yet.
  Running,
  Succeeded,
  RolledBack,
};

/// @brief What the operator asked for, and what was decided so far.
struct RolloutOrder
{
  std::string service;
  std::string target; ///< A software version.
  Duration duration{ 0 };
  uint64_t revision = 0;         ///< Of the object's last change.
  uint64_t creationRevision = 0; ///< Tells one order from the next.
  RolloutState state = RolloutState::Ordered;
};

/// @brief Which software versions a request may go to; empty for any.
struct VersionConstraint
{
  std::string required;
  std::string excluded;
  /// @brief Targets of earlier orders that did not succeed.
  std::vector<std::string> unproven{};
};

/// @brief Decayed counts of answers.
struct AnswerCounts
{
  double good = 0;
  double bad = 0;

  double Total() const { return good + bad; }
};

/// @brief Counts of answers by route.
using RouteCounts = std::map<std::string, AnswerCounts>;

void
AddCounts(RouteCounts& aSum, const RouteCounts& aAddend);

/// @brief One instance's evidence on one order, as peers exchange it.
struct RolloutEvidence
{
  uint64_t creationRevision = 0; ///< Of the order it belongs to.
  Duration age{ 0 };             ///< Since the instance first saw the order.
  double canaryShare = 1;        ///< Of the sessions that a trial moves.
  /// @brief By route: answers of the target and of the other versions.
  RouteCounts target;
  RouteCounts baseline;
};

/// @brief Short hashes of sessions, as instances exchange them.
using SessionHashes = std::set<uint32_t>;

/// @brief All roll-outs that this instance knows.
class Rollouts
{
public:
  /// @param aSessionIdleTimeout Requests of a session follow each other within
  /// it.
  explicit Rollouts(Duration aSessionIdleTimeout = Duration{ 5'000'000 })
    : sessionIdleTimeout_(aSessionIdleTimeout)
  {
  }

  /// @param aInstances How many take requests; the trial of a large fleet
  /// needs a smaller share.
  void Apply(const RolloutOrder& aOrder,
             TimePoint aNow,
             std::size_t aInstances = 1);
  void Remove(std::string_view aService);

  /// @brief Where a request may go now.
  /// @param aStableHash Of what must stay on one version, such as a session.
  VersionConstraint ConstraintFor(std::string_view aService,
                                  uint64_t aStableHash,
                                  TimePoint aNow) const;

  /// @brief Notes that a session's request goes to, or ends at, a version.
  void RecordSessionVersion(std::string_view aService,
                            uint64_t aStableHash,
                            std::string_view aVersion,
                            TimePoint aNow);
  /// @brief Sessions of this instance that a trial would move to the target,
  /// but that must stay where they are. Peers may get their next request.
  SessionHashes PinnedSessions(TimePoint aNow);
  /// @brief The other instances' held sessions; replaces what was told before.
  void SetPeerPinnedSessions(SessionHashes aSessions)
  {
    peerPinnedSessions_ = std::move(aSessions);
  }

  /// @brief Takes in the outcome of one execution.
  /// @param aLatency Time to the first output; compared within a group.
  /// @param aGroup Answers whose latencies are alike.
  void RecordAnswer(std::string_view aService,
                    std::string_view aVersion,
                    std::string_view aRoute,
                    std::string_view aGroup,
                    bool aGood,
                    Duration aLatency,
                    TimePoint aNow);

  /// @brief This instance's evidence, by service, for its peers.
  std::map<std::string, RolloutEvidence> LocalEvidence(TimePoint aNow);
  void SetPeerEvidence(std::string_view aService,
                       std::string_view aInstance,
                       const RolloutEvidence& aEvidence,
                       TimePoint aNow);

  /// @brief The state that should be written now, if it differs.
  std::optional<RolloutState> NextState(std::string_view aService,
                                        TimePoint aNow);

  /// @brief The order for a service; nothing when there is none.
  const RolloutOrder* Find(std::string_view aService) const;
  bool AnyUnfinished() const;
  const auto& All() const { return rollouts_; }

private:
  struct LatencyAverage
  {
    double mean = 0; ///< Seconds, exponentially weighted.
    uint32_t count = 0;
  };
  struct Rollout
  {
    RolloutOrder order;
    std::vector<std::string> unproven; ///< As in VersionConstraint.
    TimePoint firstSeenAt{};
    TimePoint decayedAt{};
    RolloutEvidence localEvidence;
    std::map<std::string, RolloutEvidence, std::less<>> peerEvidence;
    std::map<std::string, LatencyAverage, std::less<>> baselineLatency;
    bool targetFailing = false;
  };

  struct Session
  {
    std::string version;
    TimePoint at{}; ///< When a request last was sent, or ended.
  };
  /// By the service and the session's hash.
  using SessionKey = std::pair<std::string, uint64_t>;

  void RemoveIdleSessions(TimePoint aNow);
  /// The version that the session is on, or nothing where none is known.
  const std::string* SessionVersion(std::string_view aService,
                                    uint64_t aStableHash,
                                    TimePoint aNow) const;
  VersionConstraint CanaryConstraint(const Rollout& aRollout,
                                     uint64_t aStableHash,
                                     TimePoint aNow) const;
  static bool SessionsPinned(const Rollout& aRollout, TimePoint aNow);
  static double TargetShareAt(const Rollout& aRollout, TimePoint aNow);
  static void Decay(Rollout& aRollout, TimePoint aNow);
  static bool IsTargetFailing(const Rollout& aRollout);

  Duration sessionIdleTimeout_;
  std::map<std::string, Rollout, std::less<>> rollouts_;
  std::map<SessionKey, Session> sessions_;
  SessionHashes peerPinnedSessions_;
  TimePoint lastSweepAt_{};
};

} // namespace hibiscusnotch::routing
