#include "attempt_recorder.hpp"

#include "request_description.hpp"

#include <algorithm>
#include <utility>

namespace hibiscusnotch::entry {

using core::EventNumber;
using core::UpstreamId;

namespace {

// A process that ends closes its connections a moment before its listener.
constexpr Duration kCrashProbeDelay{ 50'000 };
constexpr Duration kCrashProbeTimeout{ 250'000 }; // many round trips

} // namespace

AttemptRecorder::AttemptRecorder(relay::Timers& aTimers,
                                 relay::OutboundClient& aClient,
                                 UplinkGuard& aGuard,
                                 FleetState& aFleet,
                                 EventLog& aLog)
  : timers_(aTimers)
  , client_(aClient)
  , guard_(aGuard)
  , fleet_(aFleet)
  , log_(aLog)
{
}

void
AttemptRecorder::RecordUpstreamState(const Attempt& aAttempt)
{
  const TimePoint now = timers_.Now();
  guard_.RecordReached(aAttempt.upstream, aAttempt.sentAt);
  fleet_.upstreams.RecordReachable(aAttempt.upstream, aAttempt.sentAt);
  RecordUpstreamSignals(aAttempt, now);
  if (aAttempt.metadata.load) {
    fleet_.upstreams.RecordReportedLoad(
      aAttempt.upstream, *aAttempt.metadata.load, now);
  }
  if (aAttempt.metadata.slowdown && !aAttempt.metadata.wrongUpstream) {
    fleet_.upstreams.RecordSlowdown(
      aAttempt.upstream, *aAttempt.metadata.slowdown, now);
  }
  if (aAttempt.metadata.loadUnreadable) {
    if (const auto count = fleet_.upstreams.RecordUnreadableLoad(now)) {
      log_.Write(EventNumber::UpstreamLoadUnreadable,
                 "upstream=" + aAttempt.upstreamName +
                   " responses=" + std::to_string(*count));
    }
  }
}

void
AttemptRecorder::RecordUpstreamSignals(const Attempt& aAttempt, TimePoint aNow)
{
  if (aAttempt.metadata.wrongUpstream) {
    return; // another upstream's response
  }
  const routing::Upstream* upstream = fleet_.upstreams.Find(aAttempt.upstream);
  if (aAttempt.metadata.leaving && upstream && !upstream->announcedLeaving) {
    fleet_.upstreams.RecordLeaving(aAttempt.upstream, aNow);
    log_.Write(EventNumber::UpstreamLeaving,
               "upstream=" + aAttempt.upstreamName);
  }
  RecordRequestLimit(aAttempt, aNow);
  RecordBrittleness(aAttempt);
  if (aAttempt.metadata.backoff) {
    fleet_.upstreams.RecordBackoff(aAttempt.upstream,
                                   aNow + *aAttempt.metadata.backoff);
    log_.Write(EventNumber::UpstreamBackoff,
               "upstream=" + aAttempt.upstreamName +
                 " for_ms=" + FormatMilliseconds(*aAttempt.metadata.backoff));
  }
}

void
AttemptRecorder::RecordBrittleness(const Attempt& aAttempt)
{
  const auto& rejections = aAttempt.metadata.bearableRejections;
  if (!rejections && aAttempt.metadata.requestId.empty()) {
    return; // not known to be the upstream's own response
  }
  const bool changed =
    rejections ? fleet_.brittleServices.insert(aAttempt.service).second
               : fleet_.brittleServices.erase(aAttempt.service) > 0;
  if (changed) {
    log_.Write(EventNumber::ServiceBrittle,
               "service=" + aAttempt.service + " rejections=" +
                 (rejections ? FormatRate(*rejections) : "any") +
                 " upstream=" + aAttempt.upstreamName);
  }
}

void
AttemptRecorder::RecordRequestLimit(const Attempt& aAttempt, TimePoint aNow)
{
  if (aAttempt.metadata.requestLimitUnreadable) {
    log_.Write(EventNumber::UpstreamLimitUnreadable,
               "upstream=" + aAttempt.upstreamName);
    return;
  }
  const auto& limit = aAttempt.metadata.requestLimit;
  if (!limit && aAttempt.metadata.requestId.empty()) {
    return; // not known to be the upstream's own response
  }
  if (fleet_.upstreams.RecordRequestLimit(aAttempt.upstream, limit, aNow)) {
    LogLimit(*fleet_.upstreams.Find(aAttempt.upstream), "response", log_);
  }
}

void
AttemptRecorder::MarkPromptRead(Attempt& aAttempt)
{
  if (aAttempt.promptUnread) {
    aAttempt.promptUnread = false;
    fleet_.upstreams.RecordFirstOutput(aAttempt.upstream,
                                       aAttempt.promptTokens);
  }
}

void
AttemptRecorder::RecordSuccess(const Exchange& aExchange,
                               const Attempt& aAttempt)
{
  if (aAttempt.peer.empty()) {
    fleet_.upstreams.RecordOutcome(aAttempt.upstream, true);
    RecordForRollout(ResultOf(aExchange, aAttempt), true);
  }
}

AttemptRecorder::AttemptResult
AttemptRecorder::ResultOf(const Exchange& aExchange,
                          const Attempt& aAttempt) const
{
  return { aAttempt.service,
           aAttempt.softwareVersion,
           aExchange.route.name,
           aAttempt.model,
           timers_.Now() - aAttempt.sentAt };
}

void
AttemptRecorder::RecordForRollout(const AttemptResult& aResult, bool aGood)
{
  fleet_.rollouts.RecordAnswer(aResult.service,
                               aResult.softwareVersion,
                               aResult.route,
                               aResult.route + '/' + aResult.model,
                               aGood,
                               aResult.took,
                               timers_.Now());
}

void
AttemptRecorder::BlameUpstream(const Exchange& aExchange,
                               const Attempt& aAttempt)
{
  if (!aAttempt.peer.empty()) {
    return;
  }
  guard_.ExplainFailure(
    aAttempt.upstream,
    [this,
     upstream = aAttempt.upstream,
     result = ResultOf(aExchange, aAttempt)](bool aUnreachable) {
      if (!aUnreachable) {
        fleet_.upstreams.RecordOutcome(upstream, false);
        RecordForRollout(result, false);
      }
    });
}

void
AttemptRecorder::MarkSuspect(const Attempt& aAttempt)
{
  const routing::Service* service =
    fleet_.configuration ? fleet_.configuration->FindService(aAttempt.service)
                         : nullptr;
  fleet_.upstreams.RecordUnreachable(aAttempt.upstream,
                                     service ? service->coldStart
                                             : Duration::zero(),
                                     timers_.Now());
  log_.Write(EventNumber::UpstreamSuspected,
             "upstream=" + aAttempt.upstreamName);
}

void
AttemptRecorder::RecordLostAttempt(Exchange& aExchange, const Attempt& aAttempt)
{
  const UpstreamId id = aAttempt.upstream;
  const routing::Upstream* upstream = fleet_.upstreams.Find(id);
  if (!upstream || upstream->announcedLeaving || upstream->removed) {
    return; // it has ended as announced
  }
  const bool isRepeated = std::exchange(aExchange.hasLostUpstream, true);
  if (!crashAttribution_.RecordLostAttempt(
        id, aExchange.traits, isRepeated, timers_.Now())) {
    return; // the probe is under way
  }
  timers_.After(kCrashProbeDelay, [this, id, entry = upstream->entry] {
    client_.Probe(entry.endpoint,
                  kCrashProbeTimeout,
                  [this, id, entry](relay::Reachability aReachability) {
                    OnCrashProbe(id, entry, aReachability);
                  });
  });
}

void
AttemptRecorder::OnCrashProbe(UpstreamId aId,
                              const routing::UpstreamEntry& aEntry,
                              relay::Reachability aReachability)
{
  const auto suspects = crashAttribution_.TakeSuspects(aId, timers_.Now());
  if (aReachability != relay::Reachability::Refuses || suspects.empty()) {
    return;
  }
  guard_.ExplainFailure(aId, [this, aEntry, suspects](bool aUnreachable) {
    if (aUnreachable) {
      return;
    }
    log_.Write(EventNumber::UpstreamCrashed,
               "upstream=" + aEntry.name +
                 " suspects=" + std::to_string(suspects.size()));
    fleet_.crashEvidence.RecordCrash(
      IncarnationHash(aEntry), suspects, timers_.Now());
    LogQuarantineChanges(fleet_.crashEvidence, log_);
  });
}

void
AttemptRecorder::RecordCompletion(const Exchange& aExchange)
{
  fleet_.crashEvidence.RecordCompletion(aExchange.traits, timers_.Now());
  LogQuarantineChanges(fleet_.crashEvidence, log_);
}

void
AttemptRecorder::RecordResult(const Exchange& aExchange,
                              const Attempt& aAttempt,
                              bool aGood)
{
  fleet_.upstreams.RecordOutcome(aAttempt.upstream, aGood);
  RecordForRollout(ResultOf(aExchange, aAttempt), aGood);
}

} // namespace hibiscusnotch::entry
