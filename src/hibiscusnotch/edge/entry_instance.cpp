#include "hibiscusnotch/edge/entry_instance.hpp"

#include "hibiscusnotch/edge/caller_request.hpp"
#include "hibiscusnotch/edge/credentials.hpp"
#include "hibiscusnotch/edge/upstream_client.hpp"
#include "hibiscusnotch/mesh/mesh_node.hpp"
#include "hibiscusnotch/net/http_server.hpp"
#include "hibiscusnotch/observe/logger.hpp"
#include "hibiscusnotch/observe/metrics.hpp"
#include "hibiscusnotch/platform/platform_client.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <map>
#include <nlohmann/json.hpp>

namespace hibiscusnotch::edge {

namespace {

using Json = nlohmann::json;

constexpr auto kTickInterval = std::chrono::milliseconds(20);
/// Above this, the upstream is paused until the caller has read the backlog.
constexpr std::size_t kMaxUnsentBytes = 256 * 1024;
constexpr core::Duration kRatingTimeout{ 20'000'000 };
constexpr int kOk = 200;
constexpr int kConflict = 409;

/// One caller's request and the state of its response.
struct PendingRequest
{
  net::ExchangeId exchange = 0;
  CallerRequest request;
  observe::MetricLabels labels;
  core::TimePoint arrivedAt;
  core::TimePoint lastTokenAt;
  core::AttemptId attempt = 0;
  bool dispatchedOnce = false;
  bool streamStarted = false;
  std::string content; ///< Collected for a response that is not streamed.
  uint32_t tokens = 0;
};

class EntryInstanceImplementation : public EntryInstance
{
public:
  EntryInstanceImplementation(boost::asio::io_context& aContext,
                              const core::Settings& aSettings,
                              EntryOptions aOptions)
    : context_(aContext)
    , settings_(aSettings)
    , options_(std::move(aOptions))
    , name_(aSettings.At(options_.router.self).name)
    , wallStart_(std::chrono::system_clock::now())
    , steadyStart_(std::chrono::steady_clock::now())
    , metrics_(observe::MakeMetrics())
    , router_(core::MakeRouter(aSettings, options_.router))
    , timer_(aContext)
    , alive_(std::make_shared<bool>(true))
  {
    client_ =
      net::MakeHttpClient(context_, [this](const core::Endpoint& aEndpoint) {
        OnIdleConnectionClosed(aEndpoint);
      });
    upstreams_ =
      MakeUpstreamClient(*client_, settings_, [this](core::Event aEvent) {
        HandleEvent(std::move(aEvent));
      });
    StartMesh();
    StartServer();
    observe::WriteEvent(name_, { core::EventNumber::InstanceStarted, "" });
    Tick();
  }

  ~EntryInstanceImplementation() override { *alive_ = false; }

  EntryInstanceImplementation(const EntryInstanceImplementation&) = delete;
  EntryInstanceImplementation& operator=(const EntryInstanceImplementation&) =
    delete;

  void Drain() override { HandleEvent(core::Drain{}); }

  void Kill() override
  {
    *alive_ = false;
    timer_.cancel();
    server_->StopAccepting();
    server_->CloseAll();
    client_->CloseAll();
    mesh_->Stop();
  }

  const core::Router& Core() const override { return *router_; }
  std::size_t OpenRequests() const override { return pendingRequests_.size(); }

private:
  core::TimePoint Now() const
  {
    const auto elapsed = std::chrono::steady_clock::now() - steadyStart_;
    return core::TimePoint(std::chrono::duration_cast<core::Duration>(
      wallStart_.time_since_epoch() + elapsed));
  }

  void StartMesh()
  {
    mesh::MeshCallbacks callbacks;
    callbacks.onMessage = [this](core::InstanceId aFrom,
                                 core::PeerMessage aMessage) {
      HandleEvent(core::PeerMessageArrived{ aFrom, std::move(aMessage) });
    };
    callbacks.onUnreadable = [this](const std::string& aReason) {
      observe::WriteEvent(
        name_, { core::EventNumber::PeerMessageUnreadable, "why=" + aReason });
    };
    mesh_ = mesh::MakeMeshNode(
      context_, settings_, options_.router.self, std::move(callbacks));
  }

  void StartServer()
  {
    net::HttpServerOptions options;
    options.endpoint = settings_.At(options_.router.self).callers;
    options.maxHeaderBytes = settings_.limits.maxHeaderBytes;
    options.maxBodyBytes = settings_.limits.maxBodyBytes;
    options.idleTimeout = settings_.limits.idleTimeout;
    options.errorBody = [](int, std::string_view aReason) {
      return RefusalBody(
        { core::Verdict::NotRun, core::Reason::MalformedRequest, {} },
        std::string(aReason));
    };
    net::HttpServerCallbacks callbacks;
    callbacks.onRequest = [this](net::ExchangeId aExchange,
                                 const net::HttpRequest& aRequest) {
      HandleRequest(aExchange, aRequest);
    };
    callbacks.onClientDisconnected = [this](net::ExchangeId aExchange) {
      OnCallerGone(aExchange);
    };
    callbacks.onWritten = [this](net::ExchangeId aExchange) {
      SetPaused(aExchange, false);
    };
    server_ = net::MakeHttpServer(context_, options, std::move(callbacks));
  }

  void Tick()
  {
    HandleEvent(core::Tick{});
    timer_.expires_after(kTickInterval);
    timer_.async_wait(
      [this, alive = alive_](const boost::system::error_code& aError) {
        if (!aError && *alive) {
          Tick();
        }
      });
  }

  void OnIdleConnectionClosed(const core::Endpoint& aEndpoint)
  {
    for (uint32_t i = 0; i < settings_.upstreams.size(); ++i) {
      const core::Endpoint& endpoint = settings_.upstreams[i].endpoint;
      if (endpoint.port == aEndpoint.port &&
          endpoint.address == aEndpoint.address) {
        HandleEvent(core::UpstreamConnectionLost{ core::UpstreamId{ i } });
        return;
      }
    }
  }

  /// Passes an event to the router core and performs the resulting actions.
  void HandleEvent(core::Event aEvent)
  {
    if (!*alive_) {
      return;
    }
    core::Actions actions;
    router_->Handle(Now(), std::move(aEvent), actions);
    for (core::Action& action : actions) {
      std::visit([this](auto& aAction) { Perform(aAction); }, action);
    }
  }

  void HandleRequest(net::ExchangeId aExchange,
                     const net::HttpRequest& aRequest)
  {
    if (aRequest.method == "GET" && HandleMonitoring(aExchange, aRequest)) {
      return;
    }
    if (aRequest.target.starts_with("/admin/")) {
      HandleAdmin(aExchange, aRequest);
      return;
    }
    RequestError requestError;
    auto request = ReadCallerRequest(settings_, aRequest, requestError);
    if (!request) {
      const core::Refusal refusal{ core::Verdict::NotRun,
                                   requestError.reason,
                                   {} };
      metrics_->CountRefusal({}, refusal);
      RespondJson(aExchange,
                  requestError.status,
                  RefusalBody(refusal, requestError.detail));
      return;
    }
    const core::RequestHandle handle = ++lastHandle_;
    if (request->arrived.requestId.empty()) {
      request->arrived.requestId = name_ + "." +
                                   std::to_string(options_.router.incarnation) +
                                   "." + std::to_string(handle);
    }
    request->arrived.handle = handle;
    PendingRequest& pending = pendingRequests_[handle];
    pending.exchange = aExchange;
    pending.request = std::move(*request);
    pending.arrivedAt = Now();
    pending.labels = {
      settings_.At(pending.request.arrived.organisation).name,
      settings_.At(pending.request.arrived.requestClass).name
    };
    handleByExchange_[aExchange] = handle;
    HandleEvent(pending.request.arrived);
  }

  void RespondJson(net::ExchangeId aExchange,
                   int aStatus,
                   std::string aBody,
                   net::Headers aHeaders = {})
  {
    aHeaders.emplace_back("Content-Type", "application/json");
    server_->Respond(aExchange, aStatus, std::move(aHeaders), std::move(aBody));
  }

  bool HandleMonitoring(net::ExchangeId aExchange,
                        const net::HttpRequest& aRequest)
  {
    if (aRequest.target == "/healthz") {
      server_->Respond(aExchange, kOk, {}, "ok\n");
      return true;
    }
    if (aRequest.target == "/readyz") {
      const bool ready = router_->Ready();
      server_->Respond(
        aExchange, ready ? kOk : 503, {}, ready ? "ready\n" : "not ready\n");
      return true;
    }
    if (aRequest.target == "/metrics") {
      UpdateMetrics();
      server_->Respond(aExchange,
                       kOk,
                       { { "Content-Type", "text/plain; version=0.0.4" } },
                       metrics_->PrometheusText());
      return true;
    }
    return false;
  }

  void UpdateMetrics()
  {
    using observe::Counter;
    using observe::Gauge;
    const core::RouterCounters& counters = router_->Counters();
    metrics_->Set(Gauge::OpenRequests,
                  static_cast<double>(router_->OpenRequestCount()));
    metrics_->Set(Gauge::QueuedRequests,
                  static_cast<double>(router_->QueuedRequestCount()));
    metrics_->Set(Gauge::ConfigurationRevision,
                  static_cast<double>(router_->Configuration().revision));
    metrics_->Set(Gauge::LiveInstances,
                  static_cast<double>(router_->LiveInstanceCount()));
    metrics_->RaiseTo(Counter::Attempts, counters.dispatched);
    metrics_->RaiseTo(Counter::Retries, counters.retries);
    metrics_->RaiseTo(Counter::Escalations, counters.escalations);
    metrics_->RaiseTo(Counter::CrossedChunks, counters.crossedChunks);
    metrics_->RaiseTo(Counter::PlatformCalls, counters.platformCalls);
    metrics_->RaiseTo(Counter::MeshBytesSent, mesh_->Counters().bytesSent);
    metrics_->RaiseTo(Counter::MeshBytesReceived,
                      mesh_->Counters().bytesReceived);
  }

  void HandleAdmin(net::ExchangeId aExchange, const net::HttpRequest& aRequest)
  {
    const std::string hash =
      Sha256Hex(BearerKey(aRequest.Header("Authorization")));
    if (!EqualInConstantTime(hash, settings_.operatorKeyHash)) {
      RespondJson(aExchange, 401, R"({"error":"an operator's key is needed"})");
      return;
    }
    if (aRequest.target == "/admin/v1/status" && aRequest.method == "GET") {
      RespondJson(aExchange, kOk, StatusBody());
      return;
    }
    if (aRequest.target != "/admin/v1/changes" || aRequest.method != "POST") {
      RespondJson(aExchange, 404, R"({"error":"no such resource"})");
      return;
    }
    std::string reason;
    const auto change = core::DecodeChange(settings_, aRequest.body, reason);
    if (!change) {
      RespondJson(aExchange, 400, Json{ { "error", reason } }.dump());
      return;
    }
    const core::AdminHandle handle = ++lastAdminHandle_;
    exchangeByAdmin_[handle] = aExchange;
    std::string operatorName(aRequest.Header("X-Operator"));
    HandleEvent(core::AdminChange{
      handle,
      *change,
      operatorName.empty() ? "operator" : std::move(operatorName) });
  }

  std::string StatusBody() const
  {
    const core::LiveConfiguration& live = router_->Configuration();
    Json body{ { "instance", name_ },
               { "incarnation", options_.router.incarnation },
               { "revision", live.revision },
               { "ready", router_->Ready() },
               { "open", router_->OpenRequestCount() },
               { "queued", router_->QueuedRequestCount() },
               { "live_instances", router_->LiveInstanceCount() } };
    body["configuration"] =
      Json::parse(core::EncodeConfiguration(settings_, live));
    return body.dump();
  }

  void OnCallerGone(net::ExchangeId aExchange)
  {
    const auto found = handleByExchange_.find(aExchange);
    if (found == handleByExchange_.end()) {
      return;
    }
    const core::RequestHandle handle = found->second;
    EraseRequest(handle);
    HandleEvent(core::CallerGone{ handle });
  }

  void EraseRequest(core::RequestHandle aHandle)
  {
    const auto found = pendingRequests_.find(aHandle);
    if (found == pendingRequests_.end()) {
      return;
    }
    handleByExchange_.erase(found->second.exchange);
    pendingRequests_.erase(found);
  }

  void SetPaused(net::ExchangeId aExchange, bool aPaused)
  {
    const auto handle = handleByExchange_.find(aExchange);
    if (handle == handleByExchange_.end()) {
      return;
    }
    upstreams_->SetPaused(pendingRequests_.at(handle->second).attempt, aPaused);
  }

  void Perform(core::StartAttempt& aAction)
  {
    const auto found = pendingRequests_.find(aAction.request);
    if (found == pendingRequests_.end()) {
      return;
    }
    PendingRequest& pending = found->second;
    const core::RequestArrived& arrived = pending.request.arrived;
    const core::RequestClass& requestClass = settings_.At(arrived.requestClass);
    if (!pending.dispatchedOnce) {
      pending.dispatchedOnce = true;
      metrics_->Observe(observe::LatencyMetric::QueueWait,
                        pending.labels,
                        Now() - pending.arrivedAt);
    }
    pending.attempt = aAction.attempt;
    upstreams_->Start(aAction,
                      UpstreamRequest{ pending.request.target,
                                       pending.request.body,
                                       arrived.requestId,
                                       arrived.organisation,
                                       arrived.prefix,
                                       requestClass.priority,
                                       requestClass.repeatable });
  }

  void Perform(core::CancelAttempt& aAction)
  {
    upstreams_->Cancel(aAction.attempt);
  }

  net::Headers AnswerHeaders(const PendingRequest& aPending,
                             core::VersionId aVersion,
                             bool aPinBroken) const
  {
    const core::RequestArrived& arrived = aPending.request.arrived;
    net::Headers headers{
      { "X-Model-Version", settings_.At(aVersion).name },
      { "X-Request-Id", arrived.requestId },
      { "X-Instance", name_ },
    };
    if (!arrived.session.empty()) {
      headers.emplace_back(
        "X-Session-Token",
        SignSessionToken(
          settings_, arrived.organisation, arrived.session, aVersion));
    }
    if (aPinBroken) {
      headers.emplace_back("X-Session-Version-Changed", "withdrawn");
    }
    return headers;
  }

  void RecordTokens(PendingRequest& aPending, uint32_t aTokens)
  {
    const core::TimePoint now = Now();
    if (aPending.tokens == 0) {
      metrics_->Observe(observe::LatencyMetric::TimeToFirstToken,
                        aPending.labels,
                        now - aPending.arrivedAt);
    } else if (aTokens > 0) {
      metrics_->Observe(observe::LatencyMetric::InterTokenLatency,
                        aPending.labels,
                        (now - aPending.lastTokenAt) / aTokens);
    }
    aPending.tokens += aTokens;
    aPending.lastTokenAt = now;
  }

  void Perform(core::ForwardChunk& aAction)
  {
    const auto found = pendingRequests_.find(aAction.request);
    if (found == pendingRequests_.end()) {
      return;
    }
    PendingRequest& pending = found->second;
    RecordTokens(pending, aAction.tokens);
    if (pending.request.streaming) {
      ForwardStreamed(pending, aAction);
    } else {
      pending.content += aAction.payload;
    }
    if (!aAction.final) {
      return;
    }
    metrics_->Observe(observe::LatencyMetric::ResponseDuration,
                      pending.labels,
                      Now() - pending.arrivedAt);
    metrics_->CountAnswer(pending.labels, settings_.At(aAction.version).name);
    if (!pending.request.streaming) {
      RespondWhole(pending, aAction);
    }
    EraseRequest(aAction.request);
  }

  void ForwardStreamed(PendingRequest& aPending,
                       const core::ForwardChunk& aAction)
  {
    if (!aPending.streamStarted) {
      aPending.streamStarted = true;
      net::Headers headers =
        AnswerHeaders(aPending, aAction.version, aAction.pinBroken);
      headers.emplace_back("Content-Type", "text/event-stream");
      headers.emplace_back("Cache-Control", "no-store");
      server_->StartStream(aPending.exchange, kOk, std::move(headers));
    }
    Json choice{ { "index", 0 },
                 { "delta", { { "content", aAction.payload } } },
                 { "finish_reason", nullptr } };
    if (aAction.final) {
      choice["finish_reason"] = "stop";
    }
    const Json event{ { "object", "chat.completion.chunk" },
                      { "model", settings_.At(aAction.version).name },
                      { "offset", aAction.offset },
                      { "tokens", aAction.tokens },
                      { "choices", Json::array({ choice }) } };
    std::string text = "data: " + event.dump() + "\n\n";
    if (aAction.final) {
      text += "data: [DONE]\n\n";
    }
    server_->Write(aPending.exchange, std::move(text));
    if (aAction.final) {
      server_->FinishStream(aPending.exchange);
    } else if (server_->UnsentBytes(aPending.exchange) > kMaxUnsentBytes) {
      upstreams_->SetPaused(aPending.attempt, true);
    }
  }

  void RespondWhole(PendingRequest& aPending, const core::ForwardChunk& aAction)
  {
    const core::ServiceId service =
      settings_.At(aPending.request.arrived.requestClass).service;
    const net::Headers headers =
      AnswerHeaders(aPending, aAction.version, aAction.pinBroken);
    if (settings_.At(service).kind == core::ServiceKind::Plain) {
      RespondJson(aPending.exchange, kOk, std::move(aPending.content), headers);
      return;
    }
    const Json body{
      { "object", "chat.completion" },
      { "model", settings_.At(aAction.version).name },
      { "choices",
        Json::array(
          { { { "index", 0 },
              { "message",
                { { "role", "assistant" }, { "content", aPending.content } } },
              { "finish_reason", "stop" } } }) },
      { "usage", { { "completion_tokens", aPending.tokens } } }
    };
    RespondJson(aPending.exchange, kOk, body.dump(), headers);
  }

  void Perform(core::Refuse& aAction)
  {
    const auto found = pendingRequests_.find(aAction.request);
    if (found == pendingRequests_.end()) {
      return;
    }
    const PendingRequest& pending = found->second;
    metrics_->CountRefusal(pending.labels, aAction.refusal);
    const std::string body = RefusalBody(aAction.refusal, "");
    if (pending.streamStarted) {
      server_->Write(pending.exchange, "event: error\ndata: " + body + "\n\n");
      server_->FinishStream(pending.exchange);
    } else {
      net::Headers headers;
      if (aAction.refusal.retryAfter.count() > 0) {
        const double seconds =
          std::ceil(core::Seconds(aAction.refusal.retryAfter));
        headers.emplace_back("Retry-After",
                             std::to_string(static_cast<int64_t>(seconds)));
      }
      RespondJson(
        pending.exchange, HttpStatusOf(aAction.refusal), body, headers);
    }
    EraseRequest(aAction.request);
  }

  void Perform(core::ReplayOutcome& aAction)
  {
    const auto found = pendingRequests_.find(aAction.request);
    if (found == pendingRequests_.end()) {
      return;
    }
    const PendingRequest& pending = found->second;
    const core::VersionId version =
      settings_.At(pending.request.arrived.requestClass).versions.back();
    net::Headers headers = AnswerHeaders(pending, version, false);
    headers.emplace_back("X-Replayed", "true");
    metrics_->CountAnswer(pending.labels, settings_.At(version).name);
    RespondJson(pending.exchange, kOk, std::move(aAction.outcome), headers);
    EraseRequest(aAction.request);
  }

  void Perform(core::SendToPeer& aAction)
  {
    mesh_->Send(aAction.to, aAction.message);
  }

  void Perform(core::CallPlatform& aAction)
  {
    platform::SendCall(*client_,
                       settings_.platform.endpoint,
                       aAction,
                       [this](core::PlatformResponse aAnswer) {
                         HandleEvent(std::move(aAnswer));
                       });
  }

  void Perform(core::ProbeUpstream& aAction) { upstreams_->Probe(aAction); }

  void Perform(core::RequestRating& aAction)
  {
    const auto found = pendingRequests_.find(aAction.request);
    if (found == pendingRequests_.end()) {
      return;
    }
    const Json request =
      Json::parse(found->second.request.body, nullptr, false);
    const Json body{ { "request_id", aAction.requestId },
                     { "version",
                       settings_.At(aAction.ratedAnswer.version).name },
                     { "request", request } };
    net::HttpCall call;
    call.to = settings_.rater;
    call.method = "POST";
    call.target = "/v1/ratings";
    call.body = body.dump();
    call.timeout = kRatingTimeout;
    client_->Send(
      std::move(call),
      [this, rating = aAction.ratedAnswer](net::CallOutcome aOutcome,
                                           const net::HttpResponse& aResponse) {
        OnRating(rating, aOutcome, aResponse);
      });
  }

  void OnRating(core::Rating aRating,
                net::CallOutcome aOutcome,
                const net::HttpResponse& aResponse)
  {
    const Json response = Json::parse(aResponse.body, nullptr, false);
    const bool rated = aOutcome == net::CallOutcome::Complete &&
                       response.is_object() && response.value("rated", false);
    if (rated) {
      aRating.good = response.value("good", false);
      HandleEvent(core::RatingArrived{ aRating });
    }
  }

  void Perform(core::ReplyToAdmin& aAction)
  {
    const auto found = exchangeByAdmin_.find(aAction.handle);
    if (found == exchangeByAdmin_.end()) {
      return;
    }
    const Json body{ { "accepted", aAction.accepted },
                     { "revision", aAction.revision },
                     { "detail", aAction.detail } };
    RespondJson(found->second, aAction.accepted ? kOk : kConflict, body.dump());
    exchangeByAdmin_.erase(found);
  }

  void Perform(core::Log& aAction)
  {
    observe::WriteEvent(name_, aAction.event);
  }

  void Perform(core::Exit&)
  {
    server_->StopAccepting();
    if (options_.onExit) {
      // Exit only after the last responses have been written.
      boost::asio::post(context_, [this, alive = alive_] {
        if (*alive) {
          WaitForCallers();
        }
      });
    }
  }

  void WaitForCallers()
  {
    if (server_->OpenExchanges() == 0) {
      options_.onExit();
      return;
    }
    auto timer = std::make_shared<boost::asio::steady_timer>(context_);
    timer->expires_after(kTickInterval);
    timer->async_wait(
      [this, alive = alive_, timer](const boost::system::error_code&) {
        if (*alive) {
          WaitForCallers();
        }
      });
  }

  boost::asio::io_context& context_;
  const core::Settings& settings_;
  EntryOptions options_;
  std::string name_;
  std::chrono::system_clock::time_point wallStart_;
  std::chrono::steady_clock::time_point steadyStart_;
  std::unique_ptr<observe::Metrics> metrics_;
  std::unique_ptr<core::Router> router_;
  std::unique_ptr<net::HttpClient> client_;
  std::unique_ptr<UpstreamClient> upstreams_;
  std::unique_ptr<mesh::MeshNode> mesh_;
  std::unique_ptr<net::HttpServer> server_;
  boost::asio::steady_timer timer_;
  std::shared_ptr<bool> alive_;
  std::map<core::RequestHandle, PendingRequest> pendingRequests_;
  std::map<net::ExchangeId, core::RequestHandle> handleByExchange_;
  std::map<core::AdminHandle, net::ExchangeId> exchangeByAdmin_;
  core::RequestHandle lastHandle_ = 0;
  core::AdminHandle lastAdminHandle_ = 0;
};

} // namespace

std::unique_ptr<EntryInstance>
MakeEntryInstance(boost::asio::io_context& aContext,
                  const core::Settings& aSettings,
                  EntryOptions aOptions)
{
  return std::make_unique<EntryInstanceImplementation>(
    aContext, aSettings, std::move(aOptions));
}

uint64_t
NewIncarnation()
{
  constexpr int64_t kEpochMilliseconds = 1'735'689'600'000; // 2025-01-01
  const int64_t now = std::chrono::duration_cast<std::chrono::milliseconds>(
                        std::chrono::system_clock::now().time_since_epoch())
                        .count();
  return static_cast<uint64_t>(now - kEpochMilliseconds);
}

} // namespace hibiscusnotch::edge
