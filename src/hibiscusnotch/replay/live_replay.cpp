#include "hibiscusnotch/replay/live_replay.hpp"

#include "hibiscusnotch/edge/sse_reader.hpp"
#include "hibiscusnotch/net/http_client.hpp"
#include "hibiscusnotch/standin/observation_codec.hpp"
#include "hibiscusnotch/standin/simulated_answer.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <random>
#include <set>

namespace hibiscusnotch::replay {

namespace {

using namespace standin;
using core::Duration;
using Json = nlohmann::json;

constexpr Duration kResubmissionDelay{ 50'000 };
constexpr Duration kBalancerRetryDelay{ 5'000 };
constexpr Duration kRevisionPollInterval{ 250'000 };
constexpr Duration kProgressInterval{ 1'000'000 };
constexpr Duration kMaxAnswerTime{ 40'000'000 };
constexpr Duration kBillSettleTime{ 2'500'000 };
constexpr Duration kEndPollInterval{ 100'000 };
constexpr int kMaxResubmissions = 4;
constexpr int kOk = 200;
constexpr std::size_t kBytesPerToken = 4;

/// One submission in progress.
struct LiveSubmission
{
  TraceRequest request;
  SubmissionRecord record;
  int resubmissions = 0;
  int status = 0;
  edge::SseReader sseReader;
  std::string body;
  std::string version;
  bool streamed = false;
  bool finished = false;
};

core::TimePoint
WallNow()
{
  return core::TimePoint(std::chrono::duration_cast<Duration>(
    std::chrono::system_clock::now().time_since_epoch()));
}

class LiveReplayer
{
public:
  LiveReplayer(boost::asio::io_context& aContext,
               const core::Settings& aSettings,
               const Trace& aTrace,
               const LiveReplayOptions& aOptions)
    : context_(aContext)
    , settings_(aSettings)
    , trace_(aTrace)
    , options_(aOptions)
    , random_(aOptions.seed)
    , behaviours_(DefaultBehaviours(aSettings))
    , client_(net::MakeHttpClient(aContext, nullptr))
  {
  }

  LiveReplayResult Run()
  {
    start_ = WallNow();
    for (const TraceLine& line : trace_.lines) {
      std::visit([this](const auto& aLine) { Schedule(aLine); }, line);
    }
    PollRevisions();
    ShowProgress();
    WaitForEnd();
    while (!finished_) {
      context_.run_one();
    }
    return std::move(result_);
  }

private:
  void ScheduleAfter(Duration aDelay, std::function<void()> aCallback)
  {
    auto timer = std::make_shared<boost::asio::steady_timer>(context_);
    timer->expires_after(aDelay);
    timer->async_wait([timer, callback = std::move(aCallback)](
                        const boost::system::error_code& aError) {
      if (!aError) {
        callback();
      }
    });
  }

  void Schedule(const TraceRequest& aRequest)
  {
    ++outstanding_;
    ScheduleAfter(aRequest.at, [this, &aRequest] { Submit(aRequest, 0); });
  }

  void Schedule(const TraceEvent& aEvent)
  {
    ScheduleAfter(aEvent.at, [this, &aEvent] { ApplyEvent(aEvent); });
  }

  std::string MakeBody(const TraceRequest& aRequest) const
  {
    const core::RequestClass& requestClass =
      settings_.At(aRequest.requestClass);
    Json body;
    body["standin"] = { { "prompt_tokens", aRequest.promptTokens },
                        { "output_tokens", aRequest.outputTokens },
                        { "difficulty", aRequest.difficulty },
                        { "crashes", aRequest.crashes } };
    // All poison requests have the same content, so that quarantine applies.
    const std::string subject =
      aRequest.crashes ? "poison" : aRequest.requestId;
    if (settings_.At(requestClass.service).kind == core::ServiceKind::Plain) {
      body["subject"] = subject;
      return body.dump();
    }
    std::string prompt = subject;
    prompt.resize(
      std::max(prompt.size(), aRequest.promptTokens * kBytesPerToken), '.');
    body["model"] = settings_.At(requestClass.service).name;
    body["stream"] = true;
    body["messages"] = Json::array(
      { { { "role", "system" },
          { "content", "prefix " + std::to_string(aRequest.prefix) } },
        { { "role", "user" }, { "content", prompt } } });
    return body.dump();
  }

  net::HttpCall MakeCall(const TraceRequest& aRequest) const
  {
    const core::RequestClass& requestClass =
      settings_.At(aRequest.requestClass);
    const core::Service& service = settings_.At(requestClass.service);
    const bool plain = service.kind == core::ServiceKind::Plain;
    net::HttpCall call;
    call.method = "POST";
    call.target = plain
                    ? "/v1/services/" + service.name + "/" + requestClass.name
                    : "/v1/chat/completions";
    call.timeout = kMaxAnswerTime;
    call.body = MakeBody(aRequest);
    call.headers = {
      { "Authorization",
        "Bearer " + options_.keyOf(settings_.At(aRequest.organisation)) },
      { "Content-Type", "application/json" },
      { "Idempotency-Key", aRequest.requestId },
      { "X-Request-Class", requestClass.name },
    };
    if (!aRequest.session.empty()) {
      call.headers.emplace_back("X-Session-Id", aRequest.session);
    }
    return call;
  }

  /// Picks a ready instance, as the platform's load balancer does.
  core::Endpoint PickTarget()
  {
    std::vector<core::Endpoint> ready;
    for (const core::Endpoint& target : options_.targets) {
      if (!unreadyAddresses_.contains(target.address)) {
        ready.push_back(target);
      }
    }
    const auto& candidates = ready.empty() ? options_.targets : ready;
    return candidates[std::uniform_int_distribution<std::size_t>(
      0, candidates.size() - 1)(random_)];
  }

  void Submit(const TraceRequest& aRequest, int aResubmissions)
  {
    const uint64_t submissionId = ++lastSubmissionId_;
    LiveSubmission& submission = submissions_[submissionId];
    submission.request = aRequest;
    submission.resubmissions = aResubmissions;
    SubmissionRecord& record = submission.record;
    record.sent = WallNow();
    record.requestId = aRequest.requestId;
    record.organisation = aRequest.organisation;
    record.requestClass = aRequest.requestClass;
    record.session = aRequest.session;
    net::HttpCall call = MakeCall(aRequest);
    call.to = PickTarget();
    net::HttpCallObserver observer;
    observer.onHead = [this, submissionId](const net::HttpResponse& aHead) {
      OnHead(submissionId, aHead);
    };
    observer.onData = [this, submissionId](std::string_view aData) {
      OnData(submissionId, aData);
    };
    observer.onEnd = [this, submissionId](net::CallOutcome aOutcome) {
      OnEnd(submissionId, aOutcome);
    };
    client_->Stream(std::move(call), std::move(observer));
  }

  void OnHead(uint64_t aSubmissionId, const net::HttpResponse& aHead)
  {
    LiveSubmission& submission = submissions_.at(aSubmissionId);
    submission.status = aHead.status;
    submission.version = net::FindHeader(aHead.headers, "X-Model-Version");
    submission.streamed = net::FindHeader(aHead.headers, "Content-Type")
                            .starts_with("text/event-stream");
    submission.record.pinBroken =
      !net::FindHeader(aHead.headers, "X-Session-Version-Changed").empty();
    const auto version = core::FindByName<core::VersionId>(
      std::span<const core::Version>(settings_.versions), submission.version);
    submission.record.version = version.value_or(core::VersionId{});
  }

  void OnData(uint64_t aSubmissionId, std::string_view aData)
  {
    LiveSubmission& submission = submissions_.at(aSubmissionId);
    SubmissionRecord& record = submission.record;
    if (record.firstToken == core::TimePoint{}) {
      record.firstToken = WallNow();
    }
    if (!submission.streamed) {
      submission.body += aData;
      return;
    }
    for (const std::string& data : submission.sseReader.Feed(aData)) {
      OnSseEvent(submission, data);
    }
  }

  void OnSseEvent(LiveSubmission& aSubmission, const std::string& aData)
  {
    const Json event = Json::parse(aData, nullptr, false);
    if (!event.is_object()) {
      return;
    }
    SubmissionRecord& record = aSubmission.record;
    if (event.contains("verdict")) {
      RecordRefusal(aSubmission, event);
      return;
    }
    const Json& choice = event.at("choices").at(0);
    const uint32_t tokens = event.at("tokens").get<uint32_t>();
    const std::string expected =
      AnswerText(record.requestId, aSubmission.version, record.tokens, tokens);
    record.contentCorrect =
      record.contentCorrect &&
      event.at("offset").get<uint32_t>() == record.tokens &&
      event.at("model") == aSubmission.version &&
      choice.at("delta").at("content") == expected;
    record.tokens += tokens;
    if (!choice.at("finish_reason").is_null()) {
      record.outcome = CallerOutcome::Answered;
      record.contentCorrect = record.contentCorrect &&
                              record.tokens == aSubmission.request.outputTokens;
      aSubmission.finished = true;
    }
  }

  static void RecordRefusal(LiveSubmission& aSubmission, const Json& aBody)
  {
    const std::string verdict = aBody.value("verdict", "");
    aSubmission.record.outcome =
      verdict == "not_run" ? CallerOutcome::NotRun : CallerOutcome::MayHaveRun;
    aSubmission.record.reason =
      ParseReason(aBody.value("reason", std::string()));
    aSubmission.finished = true;
  }

  static core::Reason ParseReason(const std::string& aName)
  {
    constexpr int kLast = static_cast<int>(core::Reason::CallerGone);
    for (int i = 0; i <= kLast; ++i) {
      const auto reason = static_cast<core::Reason>(i);
      if (core::ToString(reason) == aName) {
        return reason;
      }
    }
    return core::Reason::None;
  }

  void OnEnd(uint64_t aSubmissionId, net::CallOutcome aOutcome)
  {
    LiveSubmission& submission = submissions_.at(aSubmissionId);
    SubmissionRecord& record = submission.record;
    record.ended = WallNow();
    if (aOutcome == net::CallOutcome::NotSent) {
      // The load balancer retries another instance; the caller sees no error.
      const TraceRequest request = submission.request;
      const int resubmissions = submission.resubmissions;
      submissions_.erase(aSubmissionId);
      ScheduleAfter(kBalancerRetryDelay, [this, request, resubmissions] {
        Submit(request, resubmissions);
      });
      return;
    }
    const bool completeBody = aOutcome == net::CallOutcome::Complete &&
                              !submission.finished && !submission.streamed;
    if (completeBody) {
      RecordWholeResponse(submission);
    }
    if (!submission.finished && submission.resubmissions < kMaxResubmissions) {
      record.outcome = CallerOutcome::ConnectionLost;
      result_.observations.push_back(record);
      const TraceRequest request = submission.request;
      const int resubmissions = submission.resubmissions;
      submissions_.erase(aSubmissionId);
      ScheduleAfter(kResubmissionDelay, [this, request, resubmissions] {
        Submit(request, resubmissions + 1);
      });
      return;
    }
    if (record.outcome == CallerOutcome::Answered && record.version.Valid()) {
      record.badVersion = badVersions_.contains(record.version);
      record.good = AnswerIsGood(record.requestId,
                                 submission.version,
                                 behaviours_[record.version.value],
                                 submission.request.difficulty,
                                 record.badVersion);
    }
    result_.observations.push_back(record);
    submissions_.erase(aSubmissionId);
    --outstanding_;
    ++completed_;
  }

  void RecordWholeResponse(LiveSubmission& aSubmission)
  {
    SubmissionRecord& record = aSubmission.record;
    const Json body = Json::parse(aSubmission.body, nullptr, false);
    if (!body.is_object()) {
      return;
    }
    if (aSubmission.status != kOk) {
      RecordRefusal(aSubmission, body);
      return;
    }
    const std::string expected = AnswerText(record.requestId,
                                            aSubmission.version,
                                            0,
                                            aSubmission.request.outputTokens);
    record.tokens = aSubmission.request.outputTokens;
    record.contentCorrect = body.value("content", "") == expected;
    record.outcome = CallerOutcome::Answered;
    aSubmission.finished = true;
  }

  void SendControl(const core::Endpoint& aTo, const Json& aCommand)
  {
    net::HttpCall call;
    call.to = aTo;
    call.method = "POST";
    call.target = "/control";
    call.body = aCommand.dump();
    client_->Send(std::move(call),
                  [](net::CallOutcome, const net::HttpResponse&) {});
  }

  void SubmitChange(const Json& aChange, int aRetries = 0)
  {
    net::HttpCall call;
    call.to =
      options_
        .targets[static_cast<std::size_t>(aRetries) % options_.targets.size()];
    call.method = "POST";
    call.target = "/admin/v1/changes";
    call.headers = { { "Authorization", "Bearer " + options_.operatorKey },
                     { "X-Operator", "trace-operator" } };
    call.body = aChange.dump();
    client_->Send(
      std::move(call),
      [this, aChange, aRetries](net::CallOutcome aOutcome,
                                const net::HttpResponse& aResponse) {
        const bool accepted =
          aOutcome == net::CallOutcome::Complete && aResponse.status == kOk;
        if (!accepted && aRetries < 20) {
          ScheduleAfter(Duration(200'000), [this, aChange, aRetries] {
            SubmitChange(aChange, aRetries + 1);
          });
        }
      });
  }

  void ApplyEvent(const TraceEvent& aEvent)
  {
    switch (aEvent.kind) {
      case TraceEventKind::RollOut:
        SubmitChange({ { "change", "rollout" },
                       { "version", settings_.At(aEvent.version).name },
                       { "exposure", aEvent.exposure } });
        return;
      case TraceEventKind::Withdraw:
        SubmitChange({ { "change", "withdraw" },
                       { "version", settings_.At(aEvent.version).name } });
        return;
      case TraceEventKind::ZoneOut:
      case TraceEventKind::ZoneIn:
        SubmitChange({ { "change", ToString(aEvent.kind) },
                       { "zone", settings_.At(aEvent.zone).name } });
        return;
      case TraceEventKind::VersionBad:
      case TraceEventKind::VersionGood:
        SetVersionQuality(aEvent);
        return;
      case TraceEventKind::UpstreamRestart:
        SendControl(settings_.At(aEvent.upstream).endpoint,
                    { { "restart", true } });
        return;
      case TraceEventKind::UpstreamLeave:
        SendControl(settings_.At(aEvent.upstream).endpoint,
                    { { "leaving", true } });
        return;
      case TraceEventKind::Silence:
        SendControl(settings_.At(aEvent.upstream).endpoint,
                    { { "silence", true } });
        return;
      case TraceEventKind::Crossed:
        SendControl(settings_.At(aEvent.upstream).endpoint,
                    { { "crossed", true } });
        return;
      case TraceEventKind::PlatformOut:
        SendControl(settings_.platform.endpoint, { { "out", true } });
        ScheduleAfter(aEvent.duration, [this] {
          SendControl(settings_.platform.endpoint, { { "out", false } });
        });
        return;
      case TraceEventKind::PlatformSlow:
        SendControl(settings_.platform.endpoint, { { "latency_ms", 400 } });
        ScheduleAfter(aEvent.duration, [this] {
          SendControl(settings_.platform.endpoint, { { "latency_ms", 4 } });
        });
        return;
      case TraceEventKind::InstanceReplace:
      case TraceEventKind::InstanceKill:
      case TraceEventKind::ZoneCut:
        if (!options_.onInstanceEvent || !options_.onInstanceEvent(aEvent)) {
          result_.skippedEvents.push_back(ToString(aEvent.kind));
        }
        return;
    }
  }

  void SetVersionQuality(const TraceEvent& aEvent)
  {
    const bool bad = aEvent.kind == TraceEventKind::VersionBad;
    if (bad) {
      badVersions_.insert(aEvent.version);
    } else {
      badVersions_.erase(aEvent.version);
    }
    SendControl(
      settings_.rater,
      { { "version", settings_.At(aEvent.version).name }, { "bad", bad } });
  }

  /// Polls the configuration revision of each instance over the admin API.
  void PollRevisions()
  {
    for (const core::Endpoint& target : options_.targets) {
      net::HttpCall call;
      call.to = target;
      call.target = "/admin/v1/status";
      call.headers = { { "Authorization", "Bearer " + options_.operatorKey } };
      client_->Send(std::move(call),
                    [this, target](net::CallOutcome aOutcome,
                                   const net::HttpResponse& aResponse) {
                      OnStatus(target, aOutcome, aResponse);
                    });
    }
    ScheduleAfter(kRevisionPollInterval, [this] { PollRevisions(); });
  }

  void OnStatus(const core::Endpoint& aTarget,
                net::CallOutcome aOutcome,
                const net::HttpResponse& aResponse)
  {
    const Json body = Json::parse(aResponse.body, nullptr, false);
    if (body.is_object() && body.value("ready", false)) {
      unreadyAddresses_.erase(aTarget.address);
    } else {
      unreadyAddresses_.insert(aTarget.address);
    }
    if (aOutcome != net::CallOutcome::Complete || !body.is_object() ||
        !body.contains("revision")) {
      return;
    }
    const auto instance = core::FindByName<core::InstanceId>(
      std::span<const core::Instance>(settings_.instances),
      body.value("instance", ""));
    if (instance) {
      result_.observations.push_back(
        RevisionObserved{ WallNow(),
                          *instance,
                          body.at("incarnation").get<uint64_t>(),
                          body.at("revision").get<uint64_t>() });
    }
  }

  void ShowProgress()
  {
    if (options_.onProgress) {
      const double seconds = core::Seconds(WallNow() - start_);
      options_.onProgress(settings_.deployment + ": " +
                          std::to_string(static_cast<int>(seconds)) +
                          " s, answered or refused " +
                          std::to_string(completed_) + ", open " +
                          std::to_string(submissions_.size()));
    }
    ScheduleAfter(kProgressInterval, [this] { ShowProgress(); });
  }

  void WaitForEnd()
  {
    const bool traceEnded =
      WallNow() - start_ > trace_.duration + kEndPollInterval;
    const bool timedOut = WallNow() - start_ > trace_.duration + kMaxAnswerTime;
    if (!timedOut && (!traceEnded || outstanding_ > 0)) {
      ScheduleAfter(kEndPollInterval, [this] { WaitForEnd(); });
      return;
    }
    ScheduleAfter(kBillSettleTime, [this] { CollectAll(); });
  }

  void CollectAll()
  {
    for (auto& [submissionId, submission] : submissions_) {
      submission.record.ended = WallNow();
      result_.observations.push_back(submission.record);
    }
    for (const core::Upstream& upstream : settings_.upstreams) {
      CollectObservations(upstream.endpoint);
      CollectCost(upstream.endpoint);
    }
    CollectObservations(settings_.platform.endpoint);
  }

  void CollectObservations(const core::Endpoint& aEndpoint)
  {
    ++pendingCollections_;
    net::HttpCall call;
    call.to = aEndpoint;
    call.target = "/control/observations";
    client_->Send(std::move(call),
                  [this](net::CallOutcome, const net::HttpResponse& aResponse) {
                    for (Observation& observation :
                         DecodeObservations(settings_, aResponse.body)) {
                      result_.observations.push_back(std::move(observation));
                    }
                    finished_ = --pendingCollections_ == 0;
                  });
  }

  void CollectCost(const core::Endpoint& aEndpoint)
  {
    ++pendingCollections_;
    net::HttpCall call;
    call.to = aEndpoint;
    call.target = "/control/cost";
    client_->Send(std::move(call),
                  [this](net::CallOutcome, const net::HttpResponse& aResponse) {
                    const Json body =
                      Json::parse(aResponse.body, nullptr, false);
                    if (body.is_object()) {
                      result_.cost += body.value("cost", 0.0);
                    }
                    finished_ = --pendingCollections_ == 0;
                  });
  }

  boost::asio::io_context& context_;
  const core::Settings& settings_;
  const Trace& trace_;
  const LiveReplayOptions& options_;
  std::mt19937_64 random_;
  std::vector<VersionBehaviour> behaviours_;
  core::TimePoint start_;
  std::map<uint64_t, LiveSubmission> submissions_;
  std::set<core::VersionId> badVersions_;
  std::set<std::string> unreadyAddresses_;
  uint64_t lastSubmissionId_ = 0;
  uint64_t outstanding_ = 0;
  uint64_t completed_ = 0;
  int pendingCollections_ = 0;
  bool finished_ = false;
  LiveReplayResult result_;
  std::unique_ptr<net::HttpClient> client_;
};

} // namespace

LiveReplayResult
RunLiveReplay(boost::asio::io_context& aContext,
              const core::Settings& aSettings,
              const Trace& aTrace,
              const LiveReplayOptions& aOptions)
{
  // Pending timers refer to the replayer; the caller must not run the context
  // again.
  return std::make_unique<LiveReplayer>(aContext, aSettings, aTrace, aOptions)
    ->Run();
}

} // namespace hibiscusnotch::replay
