#include "response_writer.hpp"

#include "request_description.hpp"

namespace hibiscusnotch::entry {

namespace {

using core::EventNumber;

constexpr int kUnauthorized = 401;
constexpr int kNotFound = 404;
constexpr int kBadGateway = 502;
constexpr int kGatewayTimeout = 504;

std::string_view
ReasonPhrase(int aStatus)
{
  switch (aStatus) {
    case kUnauthorized:
      return "Unauthorized";
    case kNotFound:
      return "Not Found";
    case kBadGateway:
      return "Bad Gateway";
    case kGatewayTimeout:
      return "Gateway Timeout";
    default:
      return "Service Unavailable";
  }
}

} // namespace

ResponseWriter::ResponseWriter(const RouterDependencies& aDependencies)
  : timers_(aDependencies.timers)
  , headerCodec_(aDependencies.headerCodec)
  , fleet_(aDependencies.fleet)
  , log_(aDependencies.log)
  , metrics_(aDependencies.metrics)
{
}

void
ResponseWriter::SetListener(RequestOrigin aOrigin, relay::Listener& aListener)
{
  listeners_[aOrigin] = &aListener;
}

relay::Listener&
ResponseWriter::ListenerOf(const ExchangeKey& aKey) const
{
  return *listeners_.at(aKey.origin);
}

void
ResponseWriter::StartStream(const Exchange& aExchange)
{
  const relay::ResponseHead& head = *aExchange.attempt->head;
  metrics_.Observe(observe::LatencyMetric::TimeToFirstToken,
                   LabelsOf(aExchange),
                   timers_.Now() - aExchange.arrivedAt);
  ListenerOf(aExchange.key)
    .Start(aExchange.key.id,
           head.status,
           head.reason,
           headerCodec_.ResponseHeaders(head),
           relay::Framing::Chunked);
}

void
ResponseWriter::WriteWhole(const Exchange& aExchange,
                           const relay::ResponseHead& aHead,
                           const std::string& aBody)
{
  net::Headers headers = headerCodec_.ResponseHeaders(aHead);
  headers.emplace_back("Content-Length", std::to_string(aBody.size()));
  const ExchangeKey key = aExchange.key;
  ListenerOf(key).Start(
    key.id, aHead.status, aHead.reason, headers, relay::Framing::Length);
  metrics_.Observe(observe::LatencyMetric::TimeToFirstToken,
                   LabelsOf(aExchange),
                   timers_.Now() - aExchange.arrivedAt);
  ListenerOf(key).Write(key.id, aBody);
}

void
ResponseWriter::RecordAnswer(const Exchange& aExchange)
{
  const TimePoint now = timers_.Now();
  metrics_.Observe(observe::LatencyMetric::ResponseDuration,
                   LabelsOf(aExchange),
                   now - aExchange.arrivedAt);
  metrics_.CountAnswer(LabelsOf(aExchange), aExchange.lastVersion);
  log_.Write(EventNumber::RequestAnswered,
             DescribeExchange(aExchange, now) +
               " model=" + aExchange.lastModel +
               " events=" + std::to_string(aExchange.events.EventCount()) +
               (aExchange.lastConfidence
                  ? " confidence=" + std::to_string(*aExchange.lastConfidence)
                  : "") +
               (aExchange.responseStarted
                  ? " first_ms=" + FormatMilliseconds(aExchange.startedAt -
                                                      aExchange.arrivedAt)
                  : ""));
}

ResponseWriter::LocalReply
ResponseWriter::MakeRefusal(const Exchange& aExchange, Refusal aRefusal)
{
  if (aExchange.mayHaveExecuted && aRefusal.status != kGatewayTimeout) {
    // Other codes promise that nothing was executed.
    aRefusal.status = kBadGateway;
  }
  const core::Verdict verdict =
    aRefusal.status == kBadGateway || aRefusal.status == kGatewayTimeout
      ? core::Verdict::MayHaveRun
      : core::Verdict::NotRun;
  const std::string reason(core::ToString(aRefusal.reason));
  metrics_.CountRefusal(LabelsOf(aExchange),
                        { verdict, aRefusal.reason, aRefusal.retryAfter });
  const TimePoint now = timers_.Now();
  log_.Write(EventNumber::RequestRefused,
             DescribeExchange(aExchange, now) + " status=" +
               std::to_string(aRefusal.status) + " reason=" + reason +
               " verdict=" + std::string(core::ToString(verdict)) +
               DescribeConfiguration(fleet_, now));
  LocalReply reply;
  reply.key = aExchange.key;
  reply.status = aRefusal.status;
  reply.headers =
    headerCodec_.LocalReplyHeaders(aExchange.metadata, aRefusal.retryAfter);
  reply.body = "{\"error\":\"" + reason + "\",\"execution\":\"" +
               std::string(core::ToString(verdict)) + "\"}";
  reply.headers.emplace_back("Content-Type", "application/json");
  reply.headers.emplace_back("Content-Length",
                             std::to_string(reply.body.size()));
  return reply;
}

void
ResponseWriter::Write(const LocalReply& aReply)
{
  relay::Listener& listener = ListenerOf(aReply.key);
  listener.Start(aReply.key.id,
                 aReply.status,
                 ReasonPhrase(aReply.status),
                 aReply.headers,
                 relay::Framing::Length);
  listener.Write(aReply.key.id, aReply.body);
  listener.Finish(aReply.key.id);
}

void
ResponseWriter::RecordAbort(const Exchange& aExchange, core::Reason aReason)
{
  log_.Write(EventNumber::AnswerBroken,
             DescribeExchange(aExchange, timers_.Now()) +
               " reason=" + std::string(core::ToString(aReason)) +
               " events=" + std::to_string(aExchange.events.EventCount()));
  metrics_.CountRefusal(LabelsOf(aExchange),
                        { core::Verdict::Ran, aReason, Duration::zero() });
}

observe::MetricLabels
ResponseWriter::LabelsOf(const Exchange& aExchange)
{
  return { aExchange.organisation, aExchange.route.name };
}

} // namespace hibiscusnotch::entry
