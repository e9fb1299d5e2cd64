/// @file
/// @brief Numbered log events, documented in docs/EVENTS.md.
#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace hibiscusnotch::core {

enum class EventNumber : uint16_t
{
  InstanceStarted = 100,
  DrainStarted = 101,
  DrainFinished = 102,
  SettingsReloaded = 103,
  LinesDropped = 104,
  Readiness = 105,
  InstanceFailed = 106,
  DescriptorsUsedUp = 107,
  DescriptorsRegained = 108,
  MetricsUnavailable = 109,
  MetricsAvailable = 110,
  ConfigurationApplied = 200,
  ConfigurationUnreadable = 201,
  ConfigurationAccepted = 202,
  ConfigurationConflict = 203,
  PeerSuspected = 300,
  PeerDead = 301,
  PeerJoined = 302,
  PeerLeft = 303,
  PeerMessageUnreadable = 304,
  UpstreamColdStart = 400,
  UpstreamSilent = 401,
  UpstreamLeaving = 402,
  AttemptFailed = 403,
  CrossedChunk = 404,
  RequestQuarantined = 500,
  VersionHalted = 501,
  SessionPinBroken = 502,
  ClaimConflict = 600,
  ClaimUnavailable = 601,
  BillUnprotected = 602,
  BillQueueFull = 603,
  PlatformOut = 604,
  PlatformBack = 605,
  AttemptSent = 700,
  AttemptEnded = 701,
  RequestAnswered = 702,
  RequestRefused = 703,
  AnswerEscalated = 704,
  StreamResumed = 705,
  CallerLeft = 706,
  AnswerBroken = 707,
  AnswerKept = 708,
  UpstreamSeen = 710,
  UpstreamGone = 711,
  UpstreamSuspected = 712,
  ZoneTakenOut = 713,
  ZoneTakenBack = 714,
  RolloutOrdered = 715,
  RolloutDecided = 716,
  RolloutWriteFailed = 717,
  UpstreamBackoff = 718,
  UpstreamsChanged = 719,
  StoreLost = 720,
  StoreRegained = 721,
  StoreRestored = 723,
  UpstreamCrashed = 724,
  UpstreamLimit = 725,
  UpstreamLimitUnreadable = 726,
  UplinksLost = 727,
  UplinksRegained = 728,
  RequestForwarded = 729,
  ServiceBrittle = 730,
  UpstreamLoadUnreadable = 740,
  RequestQueued = 741,
  SlowReaderEnded = 742,
  WatchLost = 743,
  BodiesWait = 744,
  ObjectUnreadable = 722,
};

enum class LogLevel
{
  Debug,
  Info,
  Warning,
  Error,
};

struct LogEvent
{
  EventNumber number = EventNumber::InstanceStarted;
  std::string detail; ///< "name=value" pairs; never a key or a prompt.
};

/// @brief The catalogue entry of an event.
struct EventDescription
{
  EventNumber number;
  LogLevel level;
  std::string_view name;
};

/// @brief All events, by number.
std::span<const EventDescription>
EventCatalogue();

/// @brief The catalogue entry of an event.
const EventDescription&
Describe(EventNumber aNumber);

} // namespace hibiscusnotch::core
