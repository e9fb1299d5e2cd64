/// @file
/// @brief One instance's view of the fleet.
#pragma once

#include "hibiscusnotch/entry/event_log.hpp"
#include "hibiscusnotch/routing/cold_start_share.hpp"
#include "hibiscusnotch/routing/configuration.hpp"
#include "hibiscusnotch/routing/crash_evidence.hpp"
#include "hibiscusnotch/routing/prompt_cache.hpp"
#include "hibiscusnotch/routing/rollout.hpp"
#include "hibiscusnotch/routing/upstream_table.hpp"

#include <initializer_list>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace hibiscusnotch::entry {

using core::Duration;
using core::TimePoint;

/// @brief An entry instance as registered in the store.
struct InstanceInfo
{
  core::Endpoint endpoint; ///< UDP for reports, TCP for mirrors.
  /// @brief TCP for requests of instances that reach no upstream.
  core::Endpoint ForwardEndpoint() const
  {
    return { endpoint.address, static_cast<uint16_t>(endpoint.port + 1) };
  }
  std::string zone;
  /// @brief Thousandths of a processor core that its machine gives it.
  uint32_t capacity = 0;
};

/// @brief An instance whose registration is gone and which may still use its
/// shares of upstreams' limits.
struct DepartedInstance
{
  std::string zone;
  TimePoint removedAt{};
};

/// @brief How long a share of an upstream's limit has no holder when it passes
/// from one instance to others. An instance that stops sends for a second after
/// its registration is gone, and what it sent counts for one more; a new one is
/// known to readers of mirrors by then.
constexpr Duration kShareHandover{ 2'500'000 };

/// @brief Shared state of this module's components.
struct FleetState
{
  std::shared_ptr<const routing::Configuration> configuration;
  /// @brief All configuration changes up to this time are known here.
  TimePoint configurationConfirmedAt{};
  /// @brief Objects that are ignored since they cannot be read, by kind and
  /// name, with the revision that was logged.
  std::map<std::string, std::map<std::string, uint64_t>> unreadableObjects;
  /// @brief The same as configurationConfirmedAt for each kind of object.
  std::map<std::string, TimePoint> listsConfirmedAt;
  bool upstreamsKnown = false;
  routing::UpstreamTable upstreams;
  std::set<std::string, std::less<>> evacuatedZones;
  /// @brief Zones whose upstreams this instance cannot connect to.
  std::set<std::string, std::less<>> unreachableZones;
  routing::PromptCache promptCache; ///< Of upstreams whose memory is stated.
  routing::Rollouts rollouts;
  std::map<std::string, InstanceInfo> instances;
  std::map<std::string, DepartedInstance> departed;
  /// @brief From when on this instance may use its shares.
  TimePoint sharesFrom{};
  TimePoint sharesUpdatedAt{}; ///< By UpdateShares.
  uint64_t membership = 0;     ///< Rises with each change of the shares.
  bool instancesKnown = false; ///< They have been listed at least once.
  uint64_t storeEra = 0;
  routing::CrashEvidence crashEvidence;
  /// @brief Services whose upstreams fall over when they reject too much.
  std::set<std::string, std::less<>> brittleServices;

  std::size_t InstanceCount() const
  {
    return instances.empty() ? 1 : instances.size();
  }
};

/// @brief Adds a registered instance.
void
AddInstance(FleetState& aFleet,
            const std::string& aName,
            const InstanceInfo& aInstance);
/// @brief Removes an instance whose registration is gone. It keeps its shares
/// until it cannot use them any more.
void
RemoveInstance(FleetState& aFleet, const std::string& aName, TimePoint aNow);
/// @brief Frees the shares of instances that departed long enough ago, and
/// notices when this instance may use its own. To be called often.
void
UpdateShares(FleetState& aFleet, TimePoint aNow);

/// @brief The instances among which shares at a zone's upstreams are divided:
/// those that may send.
std::vector<routing::Sender>
SendersTo(const FleetState& aFleet, std::string_view aZone);

/// @brief Divides the limits that upstreams have stated among the instances
/// and sets this instance's send rates.
void
ShareRequestLimits(std::string_view aSelf, FleetState& aFleet, TimePoint aNow);

/// @brief A limit that an upstream has stated, as instances tell each other.
struct LimitReport
{
  uint32_t incarnation = 0; ///< Its hash.
  /// @brief Requests per second; nothing if the limit has ended.
  std::optional<double> perSecond;
  Duration age{ 0 }; ///< Since the upstream stated it.
};

/// @brief Identifies a process of an upstream, alike on all instances.
uint32_t
IncarnationHash(const routing::UpstreamEntry& aEntry);

/// @brief The limits that were stated lately, the newest first.
/// @param aSources Those from which the reported limits are known.
std::vector<LimitReport>
LimitReports(const FleetState& aFleet,
             std::initializer_list<routing::LimitSource> aSources,
             TimePoint aNow);

/// @brief Applies what other instances know of limits; the newest statement
/// counts.
void
MergeLimits(const std::vector<LimitReport>& aReports,
            FleetState& aFleet,
            EventLog& aLog,
            TimePoint aNow);

/// @brief Logs that an upstream's limit changed.
void
LogLimit(const routing::Upstream& aUpstream,
         std::string_view aSource,
         EventLog& aLog);

/// @brief The instance that may try a quarantined trait.
bool
OwnsTrials(const FleetState& aFleet, std::string_view aSelf, uint64_t aTrait);

/// @brief Logs the traits that were quarantined or released since the last
/// call.
void
LogQuarantineChanges(routing::CrashEvidence& aEvidence, EventLog& aLog);

/// @brief Applies an order with this instance's share of the fleet's exposure
/// slack. Small shares go to a few instances as whole requests.
void
ApplyRolloutOrder(const routing::RolloutOrder& aOrder,
                  std::string_view aSelf,
                  FleetState& aFleet,
                  TimePoint aNow);

} // namespace hibiscusnotch::entry
