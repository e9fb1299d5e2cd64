/// @file
/// @brief Shifts a service's traffic to a new software version, or rolls it
/// back.
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
  Ordered, ///< Not started.
  Running,
  Succeeded,
  RolledBack,
};

/// @brief An operator's order to roll out a version, and its current state.
struct RolloutOrder
{
  std::string service;
  std::string target; ///< The software version to roll out.
  Duration duration{ 0 };
  uint64_t era = 0;      ///< Of the store that holds the order.
  uint64_t revision = 0; ///< Of the stored object's last change.
  /// @brief Of the stored object. An operator may replace an order in place:
  /// successive orders differ in this or in the target.
  uint64_t creationRevision = 0;
  RolloutState state = RolloutState::Ordered;
};

/// @brief Software versions that may serve a request; empty fields do not
/// constrain.
struct VersionConstraint
{
  std::string required;
  std::string excluded;
  /// @brief Excluded as well: targets of earlier orders that did not succeed.
  std::vector<std::string> unproven{};
  /// @brief The required version is unproven and has used up its exposure: it
  /// may serve the request only while others are served by other versions.
  bool exposureUsedUp = false;
};

/// @brief Answer counts with exponential decay.
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

/// @brief A service's requests and answers of the last moments, whatever the
/// version, with exponential decay.
struct RecentTraffic
{
  double arrivals = 0; ///< Requests of callers, including refused ones.
  double answers = 0;
};

/// @brief Answers observed for one order, as instances exchange them.
struct RolloutEvidence
{
  uint64_t creationRevision = 0; ///< Identifies the order, with its target.
  std::string orderedVersion;    ///< The order's target.
  Duration age{ 0 };             ///< Time since the order was first seen.
  /// @brief How far the order's schedule has advanced; unknown from instances
  /// of older builds, whose schedule follows the age.
  std::optional<Duration> progress;
  double canaryShare = 1; ///< Share of sessions in the canary phase.
  RecentTraffic recent;
  /// @brief Answers of the target and of all other versions, by route.
  RouteCounts target;
  RouteCounts baseline;
};

/// @brief What the whole fleet has observed of one order, as known here.
struct RolloutObservation
{
  Duration age{ 0 };      ///< Time since the order was first seen.
  Duration progress{ 0 }; ///< Of the order's schedule.
  AnswerCounts target;
  AnswerCounts baseline;
};

/// @brief Short hashes of sessions, as instances exchange them.
using SessionHashes = std::set<uint32_t>;

struct RolloutOptions
{
  /// @brief A session ends after this time without a request.
  Duration sessionIdleTimeout{ 5'000'000 };
  /// @brief Operators' limit on the share of a service's requests that reach
  /// an unproven version.
  double maxExposureShare = 0.12;
  /// @brief Requests of the whole fleet that the limit allows on top.
  double maxExposureSlack = 30;
};

/// @brief What an order's schedule depends on in the fleet.
struct FleetShare
{
  /// @brief Number of instances; a larger fleet uses a smaller canary share.
  std::size_t instances = 1;
  /// @brief This instance's part of the exposure slack, in requests.
  double exposureSlack = 0;
};

/// @brief The roll-outs known to this instance, one per service.
///
/// An order's schedule advances only while most of the service's requests are
/// answered. A target that was hardly seen, as in an outage, neither gets full
/// traffic nor succeeds, however late it is.
class Rollouts
{
public:
  explicit Rollouts(RolloutOptions aOptions = {})
    : options_(aOptions)
  {
  }

  const RolloutOptions& Options() const { return options_; }

  /// @brief Applies an order or its new state. An order that a restored store
  /// holds again goes on: its verdict, its schedule and its exposure stay.
  void Apply(const RolloutOrder& aOrder,
             TimePoint aNow,
             FleetShare aFleetShare = {});
  void Remove(std::string_view aService);

  /// @brief The versions that may serve a request now.
  /// @param aStableHash Hash of what must stay on one version, such as a
  /// session.
  VersionConstraint ConstraintFor(std::string_view aService,
                                  uint64_t aStableHash,
                                  TimePoint aNow) const;

  /// @brief Counts a request of a caller, whether it can be served or not.
  void RecordArrival(std::string_view aService, TimePoint aNow);
  /// @brief Counts a request that is sent to an upstream of the version.
  void RecordSend(std::string_view aService, std::string_view aVersion);

  /// @brief Records the version that a session's request was sent to or ended
  /// at.
  void RecordSessionVersion(std::string_view aService,
                            uint64_t aStableHash,
                            std::string_view aVersion,
                            TimePoint aNow);
  /// @brief Sessions in the canary share that are pinned to another version.
  /// Peers need them, as they may get the sessions' next requests.
  SessionHashes PinnedSessions(TimePoint aNow);
  /// @brief Replaces the pinned sessions of the other instances.
  void SetPeerPinnedSessions(SessionHashes aSessions)
  {
    peerPinnedSessions_ = std::move(aSessions);
  }

  /// @brief Records the outcome of one execution.
  /// @param aLatency Time to the first output.
  /// @param aGroup Latencies are compared within a group.
  void RecordAnswer(std::string_view aService,
                    std::string_view aVersion,
                    std::string_view aRoute,
                    std::string_view aGroup,
                    bool aGood,
                    Duration aLatency,
                    TimePoint aNow);

  /// @brief This instance's evidence on unfinished roll-outs, by service.
  std::map<std::string, RolloutEvidence> LocalEvidence(TimePoint aNow);
  void SetPeerEvidence(std::string_view aService,
                       std::string_view aInstance,
                       const RolloutEvidence& aEvidence,
                       TimePoint aNow);

  /// @brief The state to write to the store; nothing if it is up to date.
  std::optional<RolloutState> NextState(std::string_view aService,
                                        TimePoint aNow);

  /// @brief What the state to write is based on; empty without an order.
  RolloutObservation Observation(std::string_view aService,
                                 TimePoint aNow) const;

  /// @brief The service's order, or null.
  const RolloutOrder* Find(std::string_view aService) const;
  bool AnyUnfinished() const;
  const auto& All() const { return rollouts_; }

private:
  struct LatencyAverage
  {
    double mean = 0; ///< Exponentially weighted, in seconds.
    uint32_t count = 0;
  };
  struct PeerEvidence
  {
    RolloutEvidence evidence;
    TimePoint receivedAt{};
  };
  struct Rollout
  {
    RolloutOrder order;
    std::vector<std::string> unproven;   ///< As in VersionConstraint.
    std::vector<std::string> failed;     ///< Targets that were rolled back.
    std::optional<TimePoint> restoredAt; ///< Last restore of the store.
    uint32_t sends = 0;                  ///< Since the order, to any version.
    uint32_t targetSends = 0;
    double exposureSlack = 0;
    TimePoint firstSeenAt{};
    Duration progress{ 0 }; ///< Of the schedule, until advancedAt.
    TimePoint advancedAt{};
    TimePoint decayedAt{};
    TimePoint recentDecayedAt{};
    RolloutEvidence localEvidence;
    std::map<std::string, PeerEvidence, std::less<>> peerEvidence;
    std::map<std::string, LatencyAverage, std::less<>> baselineLatency;
    bool targetFailing = false;
    bool succeeded = false; ///< Also if a restored store has forgotten it.
  };

  struct Session
  {
    std::string version;
    TimePoint at{}; ///< When a request was last sent or ended.
  };
  /// Service and hash of the session.
  using SessionKey = std::pair<std::string, uint64_t>;

  /// Replaces an order by a newer one, which starts its own schedule.
  static void StartOrder(Rollout& aRollout,
                         const RolloutOrder& aOrder,
                         TimePoint aNow,
                         FleetShare aFleetShare);
  void RemoveIdleSessions(TimePoint aNow);
  /// The session's version; null if unknown or if the session has ended.
  const std::string* SessionVersion(std::string_view aService,
                                    uint64_t aStableHash,
                                    TimePoint aNow) const;
  VersionConstraint CanaryConstraint(const Rollout& aRollout,
                                     uint64_t aStableHash,
                                     TimePoint aNow) const;
  /// True if most of the service's recent requests were answered, or if there
  /// were too few to tell.
  static bool IsServed(const Rollout& aRollout, TimePoint aNow);
  /// How far the schedule has advanced.
  static Duration ProgressAt(const Rollout& aRollout, TimePoint aNow);
  /// The same as a fraction of the order's duration.
  static double ProgressFraction(const Rollout& aRollout, TimePoint aNow);
  static void Advance(Rollout& aRollout, TimePoint aNow);
  /// Answers of the target that the fleet has observed, older ones counting
  /// less.
  static double TargetAnswers(const Rollout& aRollout);
  static bool SessionsPinned(const Rollout& aRollout, TimePoint aNow);
  /// True if one more request may reach the target in the canary phase.
  bool ExposureLeft(const Rollout& aRollout) const;
  VersionConstraint CanaryTarget(const Rollout& aRollout) const;
  static double TargetShareAt(const Rollout& aRollout, TimePoint aNow);
  static void Decay(Rollout& aRollout, TimePoint aNow);
  static void DecayRecent(Rollout& aRollout, TimePoint aNow);
  /// Counts of this instance and its peers together.
  static RouteCounts FleetCounts(const Rollout& aRollout,
                                 RouteCounts RolloutEvidence::*aCounts);
  static bool IsTargetFailing(const Rollout& aRollout);

  RolloutOptions options_;
  std::map<std::string, Rollout, std::less<>> rollouts_;
  std::map<SessionKey, Session> sessions_;
  SessionHashes peerPinnedSessions_;
  TimePoint lastSweepAt_{};
};

} // namespace hibiscusnotch::routing
