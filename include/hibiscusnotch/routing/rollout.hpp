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
struct VersionRule
{
  std::string only;
  std::string except;
  /// @brief Targets of earlier orders that did not succeed.
  std::vector<std::string> unsettled{};
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
Add(RouteCounts& aSum, const RouteCounts& aPart);

/// @brief One instance's evidence on one order, as peers exchange it.
struct RolloutEvidence
{
  uint64_t creationRevision = 0; ///< Of the order it belongs to.
  Duration age{ 0 };             ///< Since the instance first saw the order.
  double trialShare = 1;         ///< Of the sessions that a trial moves.
  /// @brief By route: answers of the target and of the other versions.
  RouteCounts target;
  RouteCounts others;
};

/// @brief Short hashes of sessions, as instances exchange them.
using SessionSet = std::set<uint32_t>;

/// @brief All roll-outs that this instance knows.
class Rollouts
{
public:
  /// @param aSessionGap Requests of a session follow each other within it.
  explicit Rollouts(Duration aSessionGap = Duration{ 5'000'000 })
    : sessionGap_(aSessionGap)
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
  VersionRule RuleFor(std::string_view aService,
                      uint64_t aStableHash,
                      TimePoint aNow) const;

  /// @brief Notes that a session's request goes to, or ends at, a version.
  void CountSession(std::string_view aService,
                    uint64_t aStableHash,
                    std::string_view aVersion,
                    TimePoint aNow);
  /// @brief Sessions of this instance that a trial would move to the target,
  /// but that must stay where they are. Peers may get their next request.
  SessionSet HeldSessions(TimePoint aNow);
  /// @brief The other instances' held sessions; replaces what was told before.
  void TakeHeldSessions(SessionSet aSessions)
  {
    peersHeld_ = std::move(aSessions);
  }

  /// @brief Takes in the outcome of one execution.
  /// @param aLatency Time to the first output; compared within a group.
  /// @param aGroup Answers whose latencies are alike.
  void CountAnswer(std::string_view aService,
                   std::string_view aVersion,
                   std::string_view aRoute,
                   std::string_view aGroup,
                   bool aGood,
                   Duration aLatency,
                   TimePoint aNow);

  /// @brief This instance's evidence, by service, for its peers.
  std::map<std::string, RolloutEvidence> OwnEvidence(TimePoint aNow);
  void TakeEvidence(std::string_view aService,
                    std::string_view aInstance,
                    const RolloutEvidence& aEvidence,
                    TimePoint aNow);

  /// @brief The state that should be written now, if it differs.
  std::optional<RolloutState> Wanted(std::string_view aService, TimePoint aNow);

  /// @brief The order for a service; nothing when there is none.
  const RolloutOrder* Find(std::string_view aService) const;
  bool AnyOpen() const;
  const auto& All() const { return trials_; }

private:
  struct Latency
  {
    double mean = 0; ///< Seconds, exponentially weighted.
    uint32_t count = 0;
  };
  struct Trial
  {
    RolloutOrder order;
    std::vector<std::string> unsettled; ///< As in VersionRule.
    TimePoint seenAt{};
    TimePoint decayedAt{};
    RolloutEvidence own;
    std::map<std::string, RolloutEvidence, std::less<>> peers;
    std::map<std::string, Latency, std::less<>> othersLatency;
    bool bad = false;
  };

  struct Session
  {
    std::string version;
    TimePoint at{}; ///< When a request last was sent, or ended.
  };
  /// By the service and the session's hash.
  using SessionKey = std::pair<std::string, uint64_t>;

  void ForgetEndedSessions(TimePoint aNow);
  /// The version that the session is on, or nothing where none is known.
  const std::string* VersionOf(std::string_view aService,
                               uint64_t aStableHash,
                               TimePoint aNow) const;
  VersionRule TrialRule(const Trial& aTrial,
                        uint64_t aStableHash,
                        TimePoint aNow) const;
  static bool SessionsStay(const Trial& aTrial, TimePoint aNow);
  static double ExposureAt(const Trial& aTrial, TimePoint aNow);
  static void Decay(Trial& aTrial, TimePoint aNow);
  static bool LooksBad(const Trial& aTrial);

  Duration sessionGap_;
  std::map<std::string, Trial, std::less<>> trials_;
  std::map<SessionKey, Session> sessions_;
  SessionSet peersHeld_;
  TimePoint sweptAt_{};
};

} // namespace hibiscusnotch::routing
