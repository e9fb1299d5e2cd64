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
constexpr std::string_view kStreamEnd = "[DONE]";

/// One attempt and the part of its response received so far.
struct AttemptState
{
  core::AttemptId attempt = 0;
  net::HttpCallId call = 0;
  net::HttpResponse head;
  SseReader sseReader;
  std::string body;
  bool streamed = false;
  bool final = false;
  uint32_t offset = 0; ///< Used when the engine sends no token offsets.
};

class UpstreamClientImplementation : public UpstreamClient
{
public:
  UpstreamClientImplementation(net::HttpClient& aClient,
                               const core::Settings& aSettings,
                               std::function<void(core::Event)> aOnEvent)
    : client_(aClient)
    , settings_(aSettings)
    , onEvent_(std::move(aOnEvent))
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
    call.newConnection = !aRequest.repeatable;
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
    AttemptState& state = attempts_[attempt];
    state.attempt = attempt;
    state.offset = aAttempt.resumeOffset;
    net::HttpCallObserver observer;
    observer.onHead = [this, attempt](const net::HttpResponse& aHead) {
      OnHead(attempt, aHead);
    };
    observer.onData = [this, attempt](std::string_view aData) {
      OnData(attempt, aData);
    };
    observer.onEnd = [this, attempt](net::CallOutcome aOutcome) {
      OnEnd(attempt, aOutcome);
    };
    state.call = client_.Stream(std::move(call), std::move(observer));
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
    call.newConnection = aProbe.newConnection;
    client_.Send(std::move(call),
                 [this, probe = aProbe](net::CallOutcome aOutcome,
                                        const net::HttpResponse& aResponse) {
                   OnLoadReport(probe, aOutcome, aResponse);
                 });
  }

private:
  void OnHead(core::AttemptId aAttempt, const net::HttpResponse& aHead)
  {
    AttemptState& state = attempts_.at(aAttempt);
    state.head = aHead;
    state.streamed = net::FindHeader(aHead.headers, "Content-Type")
                       .starts_with("text/event-stream");
  }

  void OnData(core::AttemptId aAttempt, std::string_view aData)
  {
    const auto found = attempts_.find(aAttempt);
    if (found == attempts_.end()) {
      return;
    }
    AttemptState& state = found->second;
    if (!state.streamed || state.head.status != kOk) {
      state.body += aData;
      return;
    }
    for (const std::string& data : state.sseReader.Feed(aData)) {
      if (data == kStreamEnd || !attempts_.contains(aAttempt)) {
        return;
      }
      OnSseEvent(aAttempt, data);
    }
  }

  void OnSseEvent(core::AttemptId aAttempt, const std::string& aData)
  {
    const Json event = Json::parse(aData, nullptr, false);
    if (!event.is_object() || !event.contains("choices")) {
      return;
    }
    AttemptState& state = attempts_.at(aAttempt);
    try {
      core::AttemptChunk chunk;
      const Json& choice = event.at("choices").at(0);
      chunk.attempt = aAttempt;
      chunk.payload = choice.at("delta").value("content", "");
      chunk.offset = event.value("offset", state.offset);
      chunk.tokens = event.value("tokens", 1U);
      chunk.incarnation = event.value("incarnation", uint64_t{ 0 });
      chunk.leaving = event.value("leaving", false);
      chunk.final = choice.contains("finish_reason") &&
                    !choice.at("finish_reason").is_null();
      if (event.contains("confidence")) {
        chunk.confidence = event.at("confidence").get<double>();
      }
      state.offset = chunk.offset + chunk.tokens;
      state.final = state.final || chunk.final;
      onEvent_(std::move(chunk));
    } catch (const Json::exception&) {
      // Ignore events that are not completion chunks.
      return;
    }
  }

  void OnEnd(core::AttemptId aAttempt, net::CallOutcome aOutcome)
  {
    const auto found = attempts_.find(aAttempt);
    if (found == attempts_.end()) {
      return;
    }
    const AttemptState state = std::move(found->second);
    attempts_.erase(found);
    if (state.final) {
      return;
    }
    if (aOutcome == net::CallOutcome::Complete && state.head.status == kOk &&
        !state.streamed) {
      ReportWholeBody(state);
      return;
    }
    core::AttemptFailed failed;
    failed.attempt = aAttempt;
    failed.kind = aOutcome == net::CallOutcome::NotSent
                    ? core::FailureKind::NotSent
                    : core::FailureKind::Lost;
    const Json body = Json::parse(state.body, nullptr, false);
    const bool refused = aOutcome == net::CallOutcome::Complete &&
                         state.head.status != kOk && body.is_object() &&
                         body.value("verdict", "") == "not_run";
    if (refused) {
      failed.kind = core::FailureKind::Refused;
      failed.leaving = body.value("reason", "") == "leaving";
    }
    onEvent_(failed);
  }

  /// Reports a response that is not streamed as a single final chunk.
  void ReportWholeBody(const AttemptState& aState)
  {
    core::AttemptChunk chunk;
    chunk.attempt = aState.attempt;
    chunk.tokens = 1;
    chunk.final = true;
    chunk.payload = aState.body;
    const Json body = Json::parse(aState.body, nullptr, false);
    if (body.is_object() && body.contains("incarnation") &&
        body.at("incarnation").is_number_unsigned()) {
      chunk.incarnation = body.at("incarnation").get<uint64_t>();
    }
    onEvent_(std::move(chunk));
  }

  void OnLoadReport(const core::ProbeUpstream& aProbe,
                    net::CallOutcome aOutcome,
                    const net::HttpResponse& aResponse)
  {
    const Json body = Json::parse(aResponse.body, nullptr, false);
    const bool reported = aOutcome == net::CallOutcome::Complete &&
                          aResponse.status == kOk && body.is_object();
    if (reported) {
      core::UpstreamLoadReport report;
      report.upstream = aProbe.upstream;
      report.incarnation = body.value("incarnation", uint64_t{ 0 });
      report.age = core::FromSeconds(body.value("age_ms", 0.0) / 1000);
      report.running = body.value("running", 0U);
      report.leaving = body.value("leaving", false);
      onEvent_(report);
      return;
    }
    if (!aProbe.newConnection && aOutcome == net::CallOutcome::ConnectionLost) {
      // The pooled connection may be dead; retry on a new one before
      // reporting the upstream as lost.
      Probe(core::ProbeUpstream{ aProbe.upstream, true });
      return;
    }
    onEvent_(core::UpstreamConnectionLost{ aProbe.upstream });
  }

  net::HttpClient& client_;
  const core::Settings& settings_;
  std::function<void(core::Event)> onEvent_;
  std::map<core::AttemptId, AttemptState> attempts_;
};

} // namespace

std::unique_ptr<UpstreamClient>
MakeUpstreamClient(net::HttpClient& aClient,
                   const core::Settings& aSettings,
                   std::function<void(core::Event)> aOnEvent)
{
  return std::make_unique<UpstreamClientImplementation>(
    aClient, aSettings, std::move(aOnEvent));
}

} // namespace hibiscusnotch::edge
