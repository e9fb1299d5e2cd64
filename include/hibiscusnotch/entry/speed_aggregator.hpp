/// @file
/// @brief Adds up what a zone's instances have observed of upstreams' speeds.
#pragma once

#include "hibiscusnotch/entry/fleet_state.hpp"
#include "hibiscusnotch/routing/upstream_speed.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace hibiscusnotch::entry {

/// @brief The sums for one upstream, as instances tell each other.
struct SpeedReport
{
  uint32_t incarnation = 0; ///< Its hash.
  double observed = 0;      ///< In seconds, as it counts at the report's time.
  double expected = 0;
};

/// @brief Takes a few rows at a time in turn: speeds last, and a report with
/// all of them would not fit the control traffic budget.
class SpeedRotation
{
public:
  /// @brief The next rows after those of the last call, at most the number.
  std::vector<SpeedReport> Next(const std::map<uint32_t, SpeedReport>& aAll,
                                std::size_t aMaxCount);

private:
  uint32_t last_ = 0;
};

/// @brief Upstreams in a report of an instance, which has observed a few dozen.
inline constexpr std::size_t kSpeedsPerLocalReport = 3;
/// @brief Upstreams in a report of an aggregator.
inline constexpr std::size_t kSpeedsPerTotal = 8;

/// @brief This instance's own sums.
std::map<uint32_t, SpeedReport>
LocalSpeeds(const FleetState& aFleet, TimePoint aNow);

/// @brief Writes the sums of the zone's other instances to the upstream table.
/// Upstreams without a report keep what is known of them, which decays.
void
ApplyPeerSpeeds(const std::vector<SpeedReport>& aReports,
                FleetState& aFleet,
                TimePoint aNow);

/// @brief Totals the sums of a zone's instances. Absent instances decay.
class SpeedAggregator
{
public:
  void SetReport(std::string_view aSender,
                 const std::vector<SpeedReport>& aReports,
                 TimePoint aNow);
  /// @brief The next totals for the receiver, at most the number, without what
  /// it has reported itself.
  std::vector<SpeedReport> NextTotals(std::string_view aReceiver,
                                      std::size_t aMaxCount,
                                      TimePoint aNow);

private:
  struct Entry
  {
    routing::SpeedSums total;
    std::map<std::string, routing::SpeedSums, std::less<>> bySender;
  };

  void DropExpired(TimePoint aNow);

  std::map<uint32_t, Entry> entries_; ///< By the incarnation's hash.
  /// The last upstream sent, by receiver.
  std::map<std::string, uint32_t, std::less<>> sent_;
  TimePoint nextExpiry_{};
};

} // namespace hibiscusnotch::entry
