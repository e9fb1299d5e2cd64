/// @file
/// @brief The known upstreams and their observed state.
#pragma once

#include "hibiscusnotch/core/ids.hpp"
#include "hibiscusnotch/core/settings.hpp"
#include "hibiscusnotch/core/time.hpp"
#include "hibiscusnotch/routing/request_limit.hpp"
#include "hibiscusnotch/routing/upstream_speed.hpp"

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>

namespace hibiscusnotch::routing {

using core::Duration;
using core::TimePoint;
using core::UpstreamId;

/// @brief An upstream as service discovery announces it.
struct UpstreamEntry
{
  std::string name;
  std::string service;
  core::Endpoint endpoint;
  std::string zone;
  std::string softwareVersion;
  uint32_t slots = 1;
  bool leaving = false;
  Duration coldRemaining{ 0 };
  int64_t incarnation = 0; ///< Changes when its process restarts.
};

/// @brief Load that an upstream reports in a response.
struct ReportedLoad
{
  uint32_t running = 0;
  uint32_t waiting = 0;
  uint32_t slots = 0;
};

/// @brief From whom this instance knows a limit.
enum class LimitSource
{
  Response, ///< Of the upstream, to this instance.
  Peer,
};

/// @brief An upstream's entry and its observed state.
struct Upstream
{
  UpstreamEntry entry;
  bool removed = false;          ///< Removed or replaced; gets no requests.
  bool announcedLeaving = false; ///< It announced that it is leaving.
  TimePoint backoffUntil{};      ///< It wants no requests before.
  /// @brief Requests per second that it takes from all instances.
  std::optional<double> requestLimit;
  /// @brief When it stated the limit or its end; at the epoch if never.
  TimePoint limitStatedAt{};
  LimitSource limitSource = LimitSource::Response;
  SendPacer pacer; ///< Of this instance's share of the limit.
  /// @brief It rejected requests for want of room and may go on until then.
  TimePoint rejectingUntil{};
  uint32_t consecutiveRejections = 0;
  TimePoint heldUntil{}; ///< Its entry may be one that a restore brought back.
  /// @brief Its entry vanished in a store outage; it is gone at this time
  /// unless the entry returns before.
  std::optional<TimePoint> lapsesAt;
  TimePoint coldUntil{};
  TimePoint announcedColdUntil{}; ///< By its entry; coldUntil may be later.
  TimePoint suspectUntil{};
  uint32_t consecutiveFailures = 0;
  TimePoint failingSince{}; ///< If there are consecutive failures.
  uint32_t inFlight = 0;    ///< Requests sent by this instance.
  double pendingTokens = 0; ///< Prompts sent by this instance and not read yet.
  double reportedPeerLoad = 0; ///< Of other instances.
  TimePoint reportedAt{};
  double slowdown = 1; ///< As it stated last; 1 is usual.
  TimePoint slowdownAt{};
  SpeedSums ownSpeed;  ///< Of this instance's responses.
  SpeedSums peerSpeed; ///< Of the zone's other instances.
  double speed = 1;    ///< Lasting time as a multiple of the service's median.
  uint32_t peerRequests = 0; ///< Requests of this zone's other instances.
  double peerPendingTokens = 0;
  TimePoint peerReportAt{};
  double failureRate = 0;            ///< Exponentially weighted, 0 to 1.
  double outcomeCount = 0;           ///< Number of outcomes in failureRate.
  std::deque<TimePoint> recentSends; ///< Of the last second, if cold.
};

/// @brief All upstreams by id; ids are never reused.
class UpstreamTable
{
public:
  /// @brief How long entries that a restored store lacks may return: live
  /// upstreams write them again within two seconds.
  static constexpr Duration kRestoreGrace{ 2'000'000 };
  /// @brief A reported load loses half its weight after this time; a peer's
  /// report expires.
  static constexpr Duration kLoadReportLifetime{ 1'000'000 };
  /// @brief How long a stated slowdown counts: it changes many times a second.
  static constexpr Duration kSlowdownLifetime{ 600'000 };
  /// @brief Speeds are computed anew at most so often.
  static constexpr Duration kSpeedUpdateInterval{ 200'000 };
  /// @brief Log lines about unreadable loads are at least so far apart.
  static constexpr Duration kUnreadableLoadLogInterval{ 10'000'000 };
  /// @brief After a restore of the store, entries that were removed before are
  /// not used for this time: those of ended upstreams expire within it.
  static constexpr Duration kRestoredEntryHold{ 5'000'000 };
  /// @brief How long a limit counts at an instance without a share of it, which
  /// hears of the limit and of its end only from others.
  static constexpr Duration kUnheardLimitLifetime{ 30'000'000 };
  /// @brief How long an upstream that left is remembered; longer than it goes
  /// on serving.
  static constexpr Duration kDepartedMemory{ 60'000'000 };

  /// @brief Adds or updates an upstream; a new incarnation starts without
  /// state.
  UpstreamId Apply(const UpstreamEntry& aEntry, TimePoint aNow);

  /// @brief The entry is gone.
  void Remove(std::string_view aName, TimePoint aNow);
  /// @brief The entry vanished in an outage of the store and may return until
  /// the given time. Until then it is used as a last resort.
  void Lapse(std::string_view aName, TimePoint aMayReturnUntil);

  /// @brief Removes lapsed entries that have not returned in time and deletes
  /// removed ones without requests in flight.
  void Sweep(TimePoint aNow);

  /// @brief The store was restored from an older copy, which may contain
  /// entries of upstreams that have left.
  void OnStoreRestored(TimePoint aNow) { restoredAt_ = aNow; }
  /// @brief Until when entries that the restored copy lacks may return; in the
  /// past if there was no restore.
  TimePoint RestoreEnd() const
  {
    return restoredAt_ ? *restoredAt_ + kRestoreGrace : TimePoint{};
  }

  Upstream* Find(UpstreamId aId);
  const Upstream* Find(UpstreamId aId) const;
  std::optional<UpstreamId> FindByName(std::string_view aName) const;
  const std::map<UpstreamId, Upstream>& Rows() const { return rows_; }

  /// @brief Sets what is called when an upstream may take requests that it did
  /// not take before; empty for nothing.
  void SetCapacityObserver(std::function<void()> aObserver)
  {
    capacityObserver_ = std::move(aObserver);
  }

  void RecordSend(UpstreamId aId, double aPromptTokens, TimePoint aNow);
  /// @brief The upstream has read the prompt.
  void RecordFirstOutput(UpstreamId aId, double aPromptTokens);
  void RecordEnd(UpstreamId aId);
  void RecordReportedLoad(UpstreamId aId,
                          const ReportedLoad& aLoad,
                          TimePoint aNow);
  /// @brief How long work takes there at present, in units of the usual time.
  void RecordSlowdown(UpstreamId aId, double aSlowdown, TimePoint aNow);
  /// @brief The seconds to a response head, and those that were expected.
  void RecordResponseTime(UpstreamId aId,
                          double aObserved,
                          double aExpected,
                          TimePoint aNow);
  /// @brief The sums of the zone's other instances.
  void RecordPeerSpeed(UpstreamId aId, const SpeedSums& aSums);
  /// @brief A stated load could not be read in full. Returns the number of such
  /// responses since the last log line if another line is due.
  std::optional<uint64_t> RecordUnreadableLoad(TimePoint aNow);
  /// @brief True if an upstream of the service has stated its slowdown.
  bool StatesSlowdown(std::string_view aService) const
  {
    return slowdownServices_.contains(aService);
  }
  /// @brief The load from the zone's other instances.
  void RecordPeerLoad(UpstreamId aId,
                      uint32_t aRequests,
                      double aPendingTokens,
                      TimePoint aNow);
  /// @brief A response of the upstream itself, success or failure.
  void RecordOutcome(UpstreamId aId, bool aGood);
  /// @brief The upstream could not be connected to.
  void RecordUnreachable(UpstreamId aId, Duration aColdStart, TimePoint aNow);
  /// @brief It sent bytes on a connection that was begun at the time. One from
  /// before its failures shows only that it has not restarted since.
  void RecordReachable(UpstreamId aId, TimePoint aBegunAt);
  /// @brief Ends all suspicions of the zone's upstreams: the way there was the
  /// cause.
  void ForgiveFailures(std::string_view aZone);
  /// @brief It announced that it is leaving; until its next incarnation it gets
  /// no new requests, whatever its entry says.
  void RecordLeaving(UpstreamId aId, TimePoint aNow);
  /// @brief It asked for no requests until the time.
  void RecordBackoff(UpstreamId aId, TimePoint aUntil);

  /// @brief It stated a limit in a response, or none any more. Statements older
  /// than the last one are ignored. Returns true if the limit changed.
  bool RecordRequestLimit(UpstreamId aId,
                          std::optional<double> aPerSecond,
                          TimePoint aStatedAt,
                          LimitSource aSource = LimitSource::Response);
  /// @brief It rejected a request for want of room.
  void RecordRejection(UpstreamId aId, TimePoint aNow);
  /// @brief It accepted a request.
  void RecordAcceptance(UpstreamId aId);

  /// @brief Rises with each change of a limit.
  uint64_t LimitChanges() const { return limitChanges_; }
  /// @brief Sets this instance's share of the upstream's limit, in requests per
  /// second.
  void SetSendRate(UpstreamId aId, double aPerSecond, TimePoint aNow);

  /// @brief Prompt tokens not read yet, of this instance and its peers.
  static double PendingTokens(const Upstream& aUpstream, TimePoint aNow);
  /// @brief Estimated number of requests at the upstream, of all instances.
  static double Load(const Upstream& aUpstream, TimePoint aNow);
  /// @brief The stated slowdown while it is fresh, else the usual one.
  static double Slowdown(const Upstream& aUpstream, TimePoint aNow);

private:
  /// An upstream that is leaving or whose entry was removed.
  struct Departed
  {
    int64_t incarnation = 0;
    bool leaving = false; ///< It said so itself.
    TimePoint at{};
  };

  void NotifyCapacity() const
  {
    if (capacityObserver_) {
      capacityObserver_();
    }
  }
  void RecordDeparted(const Upstream& aUpstream, TimePoint aNow);
  void UpdateSpeeds(TimePoint aNow);
  void ApplyDeparted(Upstream& aUpstream, TimePoint aNow) const;

  std::map<UpstreamId, Upstream> rows_;
  std::map<std::string, Departed, std::less<>> departed_;
  std::optional<TimePoint> restoredAt_;
  std::map<std::string, UpstreamId, std::less<>> byName_;
  uint32_t nextId_ = 0;
  uint64_t limitChanges_ = 0;
  std::set<std::string, std::less<>> slowdownServices_;
  TimePoint speedsUpdatedAt_{};
  /// Responses and their expected seconds, decaying; for the weight of one.
  SpeedSums meanResponse_;
  uint64_t unreadableLoads_ = 0; ///< Since the last log line.
  std::optional<TimePoint> unreadableLoadLoggedAt_;
  std::function<void()> capacityObserver_;
};

} // namespace hibiscusnotch::routing
