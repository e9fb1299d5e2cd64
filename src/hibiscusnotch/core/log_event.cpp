#include "hibiscusnotch/core/log_event.hpp"

#include <array>

namespace hibiscusnotch::core {

namespace {

using enum EventNumber;

constexpr std::array kCatalogue{
  EventDescription{ InstanceStarted, LogLevel::Info, "instance_started" },
  EventDescription{ DrainStarted, LogLevel::Info, "drain_started" },
  EventDescription{ DrainFinished, LogLevel::Info, "drain_finished" },
  EventDescription{ SettingsReloaded, LogLevel::Info, "settings_reloaded" },
  EventDescription{ LinesDropped, LogLevel::Warning, "lines_dropped" },
  EventDescription{ Readiness, LogLevel::Info, "readiness" },
  EventDescription{ InstanceFailed, LogLevel::Error, "instance_failed" },
  EventDescription{ DescriptorsUsedUp,
                    LogLevel::Warning,
                    "descriptors_used_up" },
  EventDescription{ DescriptorsRegained,
                    LogLevel::Info,
                    "descriptors_regained" },
  EventDescription{ MetricsUnavailable,
                    LogLevel::Warning,
                    "metrics_unavailable" },
  EventDescription{ MetricsAvailable, LogLevel::Info, "metrics_available" },
  EventDescription{ ConfigurationApplied,
                    LogLevel::Info,
                    "configuration_applied" },
  EventDescription{ ConfigurationUnreadable,
                    LogLevel::Error,
                    "configuration_unreadable" },
  EventDescription{ ConfigurationAccepted,
                    LogLevel::Info,
                    "configuration_accepted" },
  EventDescription{ ConfigurationConflict,
                    LogLevel::Warning,
                    "configuration_conflict" },
  EventDescription{ PeerSuspected, LogLevel::Warning, "peer_suspected" },
  EventDescription{ PeerDead, LogLevel::Warning, "peer_dead" },
  EventDescription{ PeerJoined, LogLevel::Info, "peer_joined" },
  EventDescription{ PeerLeft, LogLevel::Info, "peer_left" },
  EventDescription{ PeerMessageUnreadable,
                    LogLevel::Warning,
                    "peer_message_unreadable" },
  EventDescription{ UpstreamColdStart, LogLevel::Info, "upstream_cold_start" },
  EventDescription{ UpstreamSilent, LogLevel::Warning, "upstream_silent" },
  EventDescription{ UpstreamLeaving, LogLevel::Info, "upstream_leaving" },
  EventDescription{ AttemptFailed, LogLevel::Warning, "attempt_failed" },
  EventDescription{ CrossedChunk, LogLevel::Warning, "crossed_chunk" },
  EventDescription{ RequestQuarantined,
                    LogLevel::Error,
                    "request_quarantined" },
  EventDescription{ VersionHalted, LogLevel::Error, "version_halted" },
  EventDescription{ SessionPinBroken, LogLevel::Warning, "session_pin_broken" },
  EventDescription{ ClaimConflict, LogLevel::Info, "claim_conflict" },
  EventDescription{ ClaimUnavailable, LogLevel::Warning, "claim_unavailable" },
  EventDescription{ BillUnprotected, LogLevel::Warning, "bill_unprotected" },
  EventDescription{ BillQueueFull, LogLevel::Error, "bill_queue_full" },
  EventDescription{ PlatformOut, LogLevel::Error, "platform_out" },
  EventDescription{ PlatformBack, LogLevel::Info, "platform_back" },
  EventDescription{ AttemptSent, LogLevel::Info, "attempt_sent" },
  EventDescription{ AttemptEnded, LogLevel::Info, "attempt_ended" },
  EventDescription{ RequestAnswered, LogLevel::Info, "request_answered" },
  EventDescription{ RequestRefused, LogLevel::Warning, "request_refused" },
  EventDescription{ AnswerEscalated, LogLevel::Info, "answer_escalated" },
  EventDescription{ StreamResumed, LogLevel::Warning, "stream_resumed" },
  EventDescription{ CallerLeft, LogLevel::Info, "caller_left" },
  EventDescription{ AnswerBroken, LogLevel::Error, "answer_broken" },
  EventDescription{ AnswerKept, LogLevel::Info, "answer_kept" },
  EventDescription{ UpstreamSeen, LogLevel::Info, "upstream_seen" },
  EventDescription{ UpstreamGone, LogLevel::Info, "upstream_gone" },
  EventDescription{ UpstreamSuspected,
                    LogLevel::Warning,
                    "upstream_suspected" },
  EventDescription{ ZoneTakenOut, LogLevel::Warning, "zone_taken_out" },
  EventDescription{ ZoneTakenBack, LogLevel::Info, "zone_taken_back" },
  EventDescription{ RolloutOrdered, LogLevel::Info, "rollout_ordered" },
  EventDescription{ RolloutDecided, LogLevel::Warning, "rollout_decided" },
  EventDescription{ RolloutWriteFailed,
                    LogLevel::Warning,
                    "rollout_write_failed" },
  EventDescription{ UpstreamBackoff, LogLevel::Info, "upstream_backoff" },
  EventDescription{ UpstreamsChanged, LogLevel::Info, "upstreams_changed" },
  EventDescription{ StoreLost, LogLevel::Error, "store_lost" },
  EventDescription{ StoreRegained, LogLevel::Info, "store_regained" },
  EventDescription{ ObjectUnreadable, LogLevel::Error, "object_unreadable" },
  EventDescription{ StoreRestored, LogLevel::Warning, "store_restored" },
  EventDescription{ UpstreamCrashed, LogLevel::Warning, "upstream_crashed" },
  EventDescription{ UpstreamLimit, LogLevel::Info, "upstream_limit" },
  EventDescription{ UpstreamLimitUnreadable,
                    LogLevel::Warning,
                    "upstream_limit_unreadable" },
  EventDescription{ UplinksLost, LogLevel::Error, "uplinks_lost" },
  EventDescription{ UplinksRegained, LogLevel::Info, "uplinks_regained" },
  EventDescription{ RequestForwarded, LogLevel::Info, "request_forwarded" },
  EventDescription{ ServiceBrittle, LogLevel::Warning, "service_brittle" },
  EventDescription{ UpstreamLoadUnreadable,
                    LogLevel::Warning,
                    "upstream_load_unreadable" },
  EventDescription{ RequestQueued, LogLevel::Info, "request_queued" },
  EventDescription{ SlowReaderEnded, LogLevel::Warning, "slow_reader_ended" },
  EventDescription{ BodiesWait, LogLevel::Warning, "bodies_wait" },
  EventDescription{ WatchLost, LogLevel::Warning, "watch_lost" },
};

} // namespace

std::span<const EventDescription>
EventCatalogue()
{
  return kCatalogue;
}

const EventDescription&
Describe(EventNumber aNumber)
{
  for (const EventDescription& description : kCatalogue) {
    if (description.number == aNumber) {
      return description;
    }
  }
  return kCatalogue.front();
}

} // namespace hibiscusnotch::core
