/// @file
/// @brief Records what attempts show about their upstreams.
#pragma once

#include "exchange.hpp"
#include "hibiscusnotch/entry/event_log.hpp"
#include "hibiscusnotch/entry/fleet_state.hpp"
#include "hibiscusnotch/entry/uplink_guard.hpp"
#include "hibiscusnotch/relay/outbound_client.hpp"
#include "hibiscusnotch/routing/crash_attribution.hpp"

namespace hibiscusnotch::entry {

class AttemptRecorder
{
public:
  AttemptRecorder(relay::Timers& aTimers,
                  relay::OutboundClient& aClient,
                  UplinkGuard& aGuard,
                  FleetState& aFleet,
                  EventLog& aLog);

  /// @brief Records what an upstream's response head states.
  void RecordUpstreamState(const Attempt& aAttempt);
  /// @brief Upstreams of a service are brittle together.
  void RecordBrittleness(const Attempt& aAttempt);
  /// @brief Records once that the upstream has read the prompt.
  void MarkPromptRead(Attempt& aAttempt);
  void RecordSuccess(const Exchange& aExchange, const Attempt& aAttempt);
  /// @brief Records a whole response that is not a stream.
  void RecordResult(const Exchange& aExchange,
                    const Attempt& aAttempt,
                    bool aGood);
  /// @brief Counts a failure without a response against the upstream and its
  /// version, unless this instance's own links turn out to be the cause.
  void BlameUpstream(const Exchange& aExchange, const Attempt& aAttempt);
  /// @brief The upstream could not be connected to.
  void MarkSuspect(const Attempt& aAttempt);
  /// @brief Finds out by a new connection whether the upstream has crashed.
  void RecordLostAttempt(Exchange& aExchange, const Attempt& aAttempt);
  void RecordCompletion(const Exchange& aExchange);

private:
  struct AttemptResult
  {
    std::string service;
    std::string softwareVersion;
    std::string route;
    std::string model;
    Duration took{ 0 };
  };

  AttemptResult ResultOf(const Exchange& aExchange,
                         const Attempt& aAttempt) const;
  void RecordForRollout(const AttemptResult& aResult, bool aGood);
  /// Records that the upstream is leaving, or wants no requests for a while.
  void RecordUpstreamSignals(const Attempt& aAttempt, TimePoint aNow);
  void RecordRequestLimit(const Attempt& aAttempt, TimePoint aNow);
  void OnCrashProbe(core::UpstreamId aId,
                    const routing::UpstreamEntry& aEntry,
                    relay::Reachability aReachability);

  relay::Timers& timers_;
  relay::OutboundClient& client_;
  UplinkGuard& guard_;
  FleetState& fleet_;
  EventLog& log_;
  routing::CrashAttribution crashAttribution_;
};

} // namespace hibiscusnotch::entry
