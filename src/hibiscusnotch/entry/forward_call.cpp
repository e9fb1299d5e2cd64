#include "forward_call.hpp"

#include "attempt_planner.hpp"

namespace hibiscusnotch::entry {

namespace {

constexpr Duration kForwardConnectTimeout{ 100'000 }; // many round trips

} // namespace

Attempt
MakeForwardAttempt(const Exchange& aExchange,
                   const std::string& aPeer,
                   TimePoint aNow)
{
  Attempt attempt;
  attempt.peer = aPeer;
  attempt.upstreamName = "via:" + aPeer;
  attempt.sentAt = aNow;
  attempt.resumed = aExchange.responseStarted;
  attempt.eventsBefore = aExchange.events.EventCount();
  return attempt;
}

relay::OutboundCall
MakeForwardCall(const Exchange& aExchange,
                const HeaderCodec& aHeaderCodec,
                const InstanceInfo& aPeer,
                TimePoint aNow)
{
  ForwardMetadata metadata;
  // Without the margin, so that the other instance's final response is in time.
  metadata.timeLeft = aExchange.deadline - aNow;
  metadata.executions = aExchange.executions;
  if (aExchange.responseStarted) {
    metadata.resumeAfter = aExchange.events.LastId();
    metadata.model =
      aExchange.route.models.empty() ? "" : aExchange.answeringModel;
  }
  relay::OutboundCall call;
  call.to = aPeer.ForwardEndpoint();
  call.message =
    aHeaderCodec.WriteForwardedRequest(*aExchange.request, metadata);
  call.body = { aExchange.request, &aExchange.request->body };
  call.bodyless = aExchange.request->method == "HEAD";
  call.connectTimeout = kForwardConnectTimeout;
  call.probeAfterSilence = SilenceLimit(aExchange);
  call.maxSilence = MaxSilence(aExchange);
  return call;
}

} // namespace hibiscusnotch::entry
