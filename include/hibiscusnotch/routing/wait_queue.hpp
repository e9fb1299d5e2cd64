/// @file
/// @brief The order of the requests that wait for an upstream of one service.
#pragma once

#include "hibiscusnotch/core/time.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace hibiscusnotch::routing {

using core::Duration;
using core::TimePoint;

struct WaitQueueOptions
{
  /// @brief Share of the starts that the least urgent rank keeps while it
  /// waits.
  double rankFloor = 0.05;
  /// @brief The same for the organisation with the least started work.
  double organisationFloor = 0.05;
};

/// @brief Identifies a waiting request; never zero.
using WaitTicket = uint64_t;

struct WaitingRequest
{
  int rank = 0; ///< Zero is the most urgent.
  std::string_view organisation;
  double work = 1; ///< In any unit that is common to the queue's requests.
  TimePoint arrivedAt{};
  TimePoint latestStart{}; ///< A later start misses the latency target.
  TimePoint deadline{};    ///< It is not worth waiting for a later start.
};

/// @brief How fast waiting requests start.
struct StartPace
{
  TimePoint from{}; ///< No start before.
  double perSecond = 0;
};

/// @brief A waiting request and its expected start.
struct ExpectedStart
{
  WaitTicket ticket = 0;
  TimePoint at{};
};

/// @brief Orders requests by rank, then by the organisations' started work
/// (start-time fair queueing), then those that can still meet their latency
/// target, then by arrival.
///
/// Adding, removing and starting take logarithmic time.
class WaitQueue
{
public:
  explicit WaitQueue(const WaitQueueOptions& aOptions = {});

  WaitTicket Add(const WaitingRequest& aRequest, TimePoint aNow);
  /// @brief Does nothing if the ticket is unknown.
  void Remove(WaitTicket aTicket);
  /// @brief Including those that are set aside.
  std::size_t Size() const { return entries_.size(); }

  /// @brief The request to start next; stays in the queue.
  std::optional<WaitTicket> Next(TimePoint aNow);
  /// @brief Next() passes over the request until RestoreAside().
  void SetAside(WaitTicket aTicket);
  void RestoreAside();
  /// @brief Removes the request and counts its work for its organisation.
  void Start(WaitTicket aTicket, TimePoint aNow);

  /// @brief The pace of the last second; nothing if there were too few starts.
  std::optional<StartPace> MeasuredPace(TimePoint aNow) const;
  /// @brief The expected number of starts before the request's.
  double Place(WaitTicket aTicket) const;
  /// @brief When the request is expected to start.
  TimePoint ExpectedStartOf(WaitTicket aTicket,
                            const StartPace& aPace,
                            TimePoint aNow) const;
  /// @brief Requests from the ends of the organisations' queues that are
  /// expected to start after their deadlines, a bounded number at once.
  std::vector<ExpectedStart> StartingTooLate(const StartPace& aPace,
                                             TimePoint aNow) const;
  /// @brief Requests whose deadlines have passed.
  std::vector<WaitTicket> Expired(TimePoint aNow) const;
  std::optional<TimePoint> NextDeadline() const;
  std::optional<TimePoint> OldestArrival() const;

  /// @brief When a refused caller should return: when its request would have
  /// started, and after those that were refused before it.
  Duration RetryAfter(TimePoint aExpectedStart,
                      double aPerSecond,
                      TimePoint aNow);

private:
  using TimedTicket = std::pair<TimePoint, WaitTicket>;
  using OrganisationIndex = uint32_t;

  struct Entry
  {
    int rank = 0;
    OrganisationIndex organisation = 0;
    double work = 0;
    TimePoint arrivedAt{};
    TimePoint latestStart{};
    TimePoint deadline{};
    bool isLate = false; ///< Can no longer meet its latency target.
    bool isAside = false;
  };

  /// The requests of one organisation in one rank, by arrival.
  struct Flow
  {
    std::set<TimedTicket> inTime;
    std::set<TimedTicket> late;
    double virtualStart = 0;
    double work = 0; ///< Of the waiting requests.

    std::size_t Size() const { return inTime.size() + late.size(); }
  };

  struct Rank
  {
    std::map<OrganisationIndex, Flow> flows;
    /// Flows with waiting requests by virtual start.
    std::set<std::pair<double, OrganisationIndex>> active;
    double virtualTime = 0;
    double work = 0;
    std::size_t count = 0;
  };

  struct Organisation
  {
    double startedWork = 0;
    std::set<int> ranks; ///< In which it waits.
  };

  /// Puts an entry in order.
  void Insert(WaitTicket aTicket, const Entry& aEntry);
  /// Takes an entry out of the order.
  void Extract(WaitTicket aTicket, const Entry& aEntry);
  void MarkLate(TimePoint aNow);
  void CountStart(const Entry& aEntry, TimePoint aNow);
  void UpdateCredits(const Entry& aEntry);
  WaitTicket FirstOf(int aRank, OrganisationIndex aOrganisation) const;
  /// Starts of its own rank before a request that has so many requests of its
  /// organisation ahead.
  static double PlaceInRank(const Rank& aRank,
                            const Flow& aFlow,
                            std::size_t aOwnAhead);
  double PlaceAmongRanks(int aRank, double aUrgent, double aInRank) const;
  void Clear();

  WaitQueueOptions options_;
  WaitTicket lastTicket_ = 0;
  std::unordered_map<WaitTicket, Entry> entries_;
  std::vector<WaitTicket> aside_;
  std::map<int, Rank> ranks_;
  std::set<int> activeRanks_;
  std::map<std::string, OrganisationIndex, std::less<>> organisationIndexes_;
  std::vector<Organisation> organisations_;
  /// Waiting organisations by started work.
  std::set<std::pair<double, OrganisationIndex>> byStartedWork_;
  std::set<TimedTicket> byLatestStart_; ///< Of those in time.
  std::set<TimedTicket> byDeadline_;
  std::set<TimedTicket> byArrival_;
  double rankCredit_ = 0;
  double organisationCredit_ = 0;
  static constexpr std::size_t kBuckets = 10;
  std::array<uint32_t, kBuckets> starts_{}; ///< By tenth of a second.
  int64_t lastBucket_ = 0;
  TimePoint busySince_{};
  TimePoint lastReturn_{}; ///< Of the caller that was refused last.
};

} // namespace hibiscusnotch::routing
