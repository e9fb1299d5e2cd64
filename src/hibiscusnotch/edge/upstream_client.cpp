#include "hibiscusnotch/edge/upstream_client.hpp"

#include "hibiscusnotch/edge/sse_reader.hpp"

#include <map>
#include <nlohmann/json.hpp>

namespace hibiscusnotch::edge {

namespace {

using Json = nlohmann::json;

constexpr core::Duration kAnswerTimeout{ 120'000'000 };
constexpr core::Duration kProbeTimeout{ 800'000 };
constexpr int kOk = 200;
constexpr std::string_view kDone = "[DONE]";

/// One attempt's reply so far.
struct AttemptRow
{
  core::AttemptId attempt = 0;
  net::CallNumber call = 0;
  net::HttpReply head;
  SseReader events;
  std::string body;
  bool streamed = false;
  bool final = false;
  uint32_t offset = 0; ///< For engines that do not number their tokens.
};

class UpstreamClientImplementation : public UpstreamClient
{
public:
  UpstreamClientImplementation(net::HttpClient& aClient,
                               const core::Settings& aSettings,
                               std::function<void(core::Event)> aReport)
    : client_(aClient)
    , settings_(aSettings)
    , report_(std::move(aReport))
  {
  }

  void Start(const core::StartAttempt& aAttempt,
             const UpstreamRequest& aRequest) override
  {
    const core::AttemptId attempt = aAttempt.attempt;
    net::HttpCall call;
    call.to = settings_.At(aAttempt.upstream).endpoint;
    call.method = "POST";
    call.target = aRequest.target;
    call.timeout = kAnswerTimeout;
    call.freshConnection = !aRequest.repeatable;
    call.body = aRequest.body;
    call.headers = {
      { "Content-Type", "application/json" },
      { "X-Request-Id", aRequest.requestId },
      { "X-Attempt-Id", std::to_string(attempt) },
      { "X-Organisation", settings_.At(aRequest.organisation).name },
      { "X-Model-Version", settings_.At(aAttempt.version).name },
      { "X-Resume-Offset", std::to_string(aAttempt.resumeOffset) },
      { "X-Prefix-Hash", std::to_string(aRequest.prefix) },
      { "X-Priority", std::to_string(aRequest.priority) },
    };
    AttemptRow& row = attempts_[attempt];
    row.attempt = attempt;
    row.offset = aAttempt.resumeOffset;
    net::HttpCallEvents events;
    events.onHead = [this, attempt](const net::HttpReply& aHead) {
      TakeHead(attempt, aHead);
    };
    events.onData = [this, attempt](std::string_view aData) {
      TakeData(attempt, aData);
    };
    events.onEnd = [this, attempt](net::CallOutcome aOutcome) {
      TakeEnd(attempt, aOutcome);
    };
    row.call = client_.Stream(std::move(call), std::move(events));
  }

  void Cancel(core::AttemptId aAttempt) override
  {
    const auto found = attempts_.find(aAttempt);
    if (found == attempts_.end()) {
      return;
    }
    client_.Cancel(found->second.call);
    attempts_.erase(found);
  }

  void SetPaused(core::AttemptId aAttempt, bool aPaused) override
  {
    const auto found = attempts_.find(aAttempt);
    if (found != attempts_.end()) {
      client_.SetPaused(found->second.call, aPaused);
    }
  }

  void Probe(const core::ProbeUpstream& aProbe) override
  {
    net::HttpCall call;
    call.to = settings_.At(aProbe.upstream).endpoint;
    call.target = "/load";
    call.timeout = kProbeTimeout;
    call.freshConnection = aProbe.fresh;
    client_.Send(std::move(call),
                 [this, probe = aProbe](net::CallOutcome aOutcome,
                                        const net::HttpReply& aReply) {
                   TakeLoad(probe, aOutcome, aReply);
                 });
  }

private:
  void TakeHead(core::AttemptId aAttempt, const net::HttpReply& aHead)
  {
    AttemptRow& row = attempts_.at(aAttempt);
    row.head = aHead;
    row.streamed = net::FindHeader(aHead.headers, "Content-Type")
                     .starts_with("text/event-stream");
  }

  void TakeData(core::AttemptId aAttempt, std::string_view aData)
  {
    const auto found = attempts_.find(aAttempt);
    if (found == attempts_.end()) {
      return;
    }
    AttemptRow& row = found->second;
    if (!row.streamed || row.head.status != kOk) {
      row.body += aData;
      return;
    }
    for (const std::string& data : row.events.Feed(aData)) {
      if (data == kDone || !attempts_.contains(aAttempt)) {
        return;
      }
      TakeEvent(aAttempt, data);
    }
  }

  void TakeEvent(core::AttemptId aAttempt, const std::string& aData)
  {
    const Json event = Json::parse(aData, nullptr, false);
    if (!event.is_object() || !event.contains("choices")) {
      return;
    }
    AttemptRow& row = attempts_.at(aAttempt);
    try {
      core::AttemptChunk chunk;
      const Json& choice = event.at("choices").at(0);
      chunk.attempt = aAttempt;
      chunk.payload = choice.at("delta").value("content", "");
      chunk.offset = event.value("offset", row.offset);
      chunk.tokens = event.value("tokens", 1U);
      chunk.incarnation = event.value("incarnation", uint64_t{ 0 });
      chunk.leaving = event.value("leaving", false);
      chunk.final = choice.contains("finish_reason") &&
                    !choice.at("finish_reason").is_null();
      if (event.contains("confidence")) {
        chunk.confidence = event.at("confidence").get<double>();
      }
      row.offset = chunk.offset + chunk.tokens;
      row.final = row.final || chunk.final;
      report_(std::move(chunk));
    } catch (const Json::exception&) {
      // An event of another shape carries nothing for the caller.
      return;
    }
  }

  void TakeEnd(core::AttemptId aAttempt, net::CallOutcome aOutcome)
  {
    const auto found = attempts_.find(aAttempt);
    if (found == attempts_.end()) {
      return;
    }
    const AttemptRow row = std::move(found->second);
    attempts_.erase(found);
    if (row.final) {
      return;
    }
    if (aOutcome == net::CallOutcome::Complete && row.head.status == kOk &&
        !row.streamed) {
      FinishPlain(row);
      return;
    }
    core::AttemptFailed failed;
    failed.attempt = aAttempt;
    failed.kind = aOutcome == net::CallOutcome::NotSent
                    ? core::FailureKind::NotSent
                    : core::FailureKind::Lost;
    const Json body = Json::parse(row.body, nullptr, false);
    const bool refused = aOutcome == net::CallOutcome::Complete &&
                         row.head.status != kOk && body.is_object() &&
                         body.value("verdict", "") == "not_run";
    if (refused) {
      failed.kind = core::FailureKind::Refused;
      failed.leaving = body.value("reason", "") == "leaving";
    }
    report_(failed);
  }

  /// The whole body is one chunk.
  void FinishPlain(const AttemptRow& aRow)
  {
    core::AttemptChunk chunk;
    chunk.attempt = aRow.attempt;
    chunk.tokens = 1;
    chunk.final = true;
    chunk.payload = aRow.body;
    const Json body = Json::parse(aRow.body, nullptr, false);
    if (body.is_object() && body.contains("incarnation") &&
        body.at("incarnation").is_number_unsigned()) {
      chunk.incarnation = body.at("incarnation").get<uint64_t>();
    }
    report_(std::move(chunk));
  }

  void TakeLoad(const core::ProbeUpstream& aProbe,
                net::CallOutcome aOutcome,
                const net::HttpReply& aReply)
  {
    const Json body = Json::parse(aReply.body, nullptr, false);
    const bool heard = aOutcome == net::CallOutcome::Complete &&
                       aReply.status == kOk && body.is_object();
    if (heard) {
      core::UpstreamReport report;
      report.upstream = aProbe.upstream;
      report.incarnation = body.value("incarnation", uint64_t{ 0 });
      report.age = core::FromSeconds(body.value("age_ms", 0.0) / 1000);
      report.running = body.value("running", 0U);
      report.leaving = body.value("leaving", false);
      report_(report);
      return;
    }
    if (!aProbe.fresh && aOutcome == net::CallOutcome::Lost) {
      // The pooled connection may have gone silent; a new one tells.
      Probe(core::ProbeUpstream{ aProbe.upstream, true });
      return;
    }
    report_(core::UpstreamConnectionLost{ aProbe.upstream });
  }

  net::HttpClient& client_;
  const core::Settings& settings_;
  std::function<void(core::Event)> report_;
  std::map<core::AttemptId, AttemptRow> attempts_;
};

} // namespace

std::unique_ptr<UpstreamClient>
MakeUpstreamClient(net::HttpClient& aClient,
                   const core::Settings& aSettings,
                   std::function<void(core::Event)> aReport)
{
  return std::make_unique<UpstreamClientImplementation>(
    aClient, aSettings, std::move(aReport));
}

} // namespace hibiscusnotch::edge
