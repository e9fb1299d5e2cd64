#include "hibiscusnotch/net/http_server.hpp"
#include "hibiscusnotch/standin/engine_simulator.hpp"
#include "hibiscusnotch/standin/observation_codec.hpp"
#include "hibiscusnotch/standin/standin_server.hpp"
#include "server_clock.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <charconv>
#include <map>
#include <nlohmann/json.hpp>

namespace hibiscusnotch::standin {

namespace {

using Json = nlohmann::json;

constexpr core::Duration kWarmUpstreamAge{ 3600'000'000 };

uint64_t
ParseNumber(std::string_view aText)
{
  uint64_t number = 0;
  std::from_chars(aText.data(), aText.data() + aText.size(), number);
  return number;
}

class UpstreamServer : public StandinServer
{
public:
  UpstreamServer(boost::asio::io_context& aContext,
                 const core::Settings& aSettings,
                 core::UpstreamId aId,
                 bool aWarm)
    : settings_(aSettings)
    , id_(aId)
    , plain_(aSettings.At(aSettings.At(aId).service).kind ==
             core::ServiceKind::Plain)
    , simulator_(aSettings,
                 aId,
                 DefaultBehaviours(aSettings),
                 aWarm ? WallTime() - kWarmUpstreamAge : WallTime())
    , timer_(aContext)
  {
    net::HttpServerOptions options;
    options.endpoint = aSettings.At(aId).endpoint;
    net::HttpServerCallbacks callbacks;
    callbacks.onRequest = [this](net::ExchangeId aExchange,
                                 const net::HttpRequest& aRequest) {
      HandleRequest(aExchange, aRequest);
    };
    callbacks.onClientDisconnected = [this](net::ExchangeId aExchange) {
      OnClientDisconnected(aExchange);
    };
    server_ = net::MakeHttpServer(aContext, options, callbacks);
  }

private:
  void HandleRequest(net::ExchangeId aExchange,
                     const net::HttpRequest& aRequest)
  {
    try {
      Route(aExchange, aRequest);
    } catch (const std::exception& aError) {
      RespondJson(aExchange,
                  400,
                  { { "verdict", "not_run" }, { "reason", aError.what() } });
    }
  }

  void Route(net::ExchangeId aExchange, const net::HttpRequest& aRequest)
  {
    if (aRequest.target == "/load") {
      SendLoadReport(aExchange);
    } else if (aRequest.target == "/control/observations") {
      server_->Respond(
        aExchange, 200, {}, EncodeObservations(settings_, observations_));
    } else if (aRequest.target == "/control/cost") {
      RespondJson(aExchange, 200, { { "cost", simulator_.Cost() } });
    } else if (aRequest.target == "/control") {
      ApplyControl(Json::parse(aRequest.body));
      RespondJson(aExchange, 200, Json::object());
    } else {
      ExecuteRequest(aExchange, aRequest);
    }
  }

  void RespondJson(net::ExchangeId aExchange, int aStatus, const Json& aBody)
  {
    server_->Respond(aExchange,
                     aStatus,
                     { { "Content-Type", "application/json" } },
                     aBody.dump());
  }

  void SendLoadReport(net::ExchangeId aExchange)
  {
    const core::UpstreamLoadReport report = simulator_.Report(WallTime());
    RespondJson(aExchange,
                200,
                { { "incarnation", report.incarnation },
                  { "age_ms", core::Milliseconds(report.age) },
                  { "running", report.running },
                  { "leaving", report.leaving } });
  }

  void ApplyControl(const Json& aCommand)
  {
    if (aCommand.value("restart", false)) {
      simulator_.Restart(WallTime());
      SendDueOutputs();
      server_->CloseAll();
    }
    if (aCommand.value("leaving", false)) {
      simulator_.SetLeaving(true);
      observations_.push_back(UpstreamLeaveOrdered{ WallTime(), id_ });
    }
    if (aCommand.value("silence", false)) {
      simulator_.SilenceOpenConnections();
    }
    if (aCommand.value("crossed", false)) {
      simulator_.DuplicateNextChunk();
    }
  }

  EngineRequest ParseEngineRequest(const net::HttpRequest& aRequest) const
  {
    EngineRequest engineRequest;
    engineRequest.attempt = ParseNumber(aRequest.Header("X-Attempt-Id"));
    engineRequest.requestId = aRequest.Header("X-Request-Id");
    engineRequest.organisation =
      core::FindByName<core::OrganisationId>(
        std::span<const core::Organisation>(settings_.organisations),
        aRequest.Header("X-Organisation"))
        .value();
    engineRequest.version =
      core::FindByName<core::VersionId>(
        std::span<const core::Version>(settings_.versions),
        aRequest.Header("X-Model-Version"))
        .value();
    engineRequest.resumeOffset =
      static_cast<uint32_t>(ParseNumber(aRequest.Header("X-Resume-Offset")));
    engineRequest.priority =
      static_cast<int>(ParseNumber(aRequest.Header("X-Priority")));
    engineRequest.prefix = ParseNumber(aRequest.Header("X-Prefix-Hash"));
    const Json body = Json::parse(aRequest.body);
    const Json hints = body.value("standin", Json::object());
    engineRequest.promptTokens = hints.value("prompt_tokens", 100U);
    engineRequest.outputTokens = std::max(1U, hints.value("output_tokens", 1U));
    engineRequest.difficulty = hints.value("difficulty", 0.0);
    engineRequest.crashes = hints.value("crashes", false);
    return engineRequest;
  }

  void ExecuteRequest(net::ExchangeId aExchange,
                      const net::HttpRequest& aRequest)
  {
    const EngineRequest engineRequest = ParseEngineRequest(aRequest);
    const uint64_t incarnationBefore = simulator_.Incarnation();
    const SubmitResult result =
      simulator_.Submit(WallTime(), engineRequest, observations_);
    if (result != SubmitResult::Accepted) {
      const bool leaving = result == SubmitResult::Leaving;
      RespondJson(aExchange,
                  503,
                  { { "verdict", "not_run" },
                    { "reason", leaving ? "leaving" : "busy" } });
      return;
    }
    exchanges_[engineRequest.attempt] = aExchange;
    attempts_[aExchange] = engineRequest.attempt;
    if (!plain_) {
      server_->StartStream(
        aExchange, 200, { { "Content-Type", "text/event-stream" } });
    }
    SendDueOutputs();
    if (simulator_.Incarnation() != incarnationBefore) {
      server_->CloseAll();
    }
  }

  void OnClientDisconnected(net::ExchangeId aExchange)
  {
    const auto found = attempts_.find(aExchange);
    if (found == attempts_.end()) {
      return;
    }
    simulator_.Cancel(WallTime(), found->second);
    EraseAttempt(found->second);
    SendDueOutputs();
  }

  void EraseAttempt(core::AttemptId aAttempt)
  {
    const auto found = exchanges_.find(aAttempt);
    if (found != exchanges_.end()) {
      attempts_.erase(found->second);
      exchanges_.erase(found);
    }
  }

  /// Sends the due outputs and schedules the next call.
  void SendDueOutputs()
  {
    const uint64_t incarnationBefore = simulator_.Incarnation();
    for (const EngineOutput& output : simulator_.Advance(WallTime())) {
      SendOutput(output);
    }
    if (simulator_.Incarnation() != incarnationBefore) {
      server_->CloseAll();
    }
    const auto next = simulator_.NextOutputAt();
    if (!next) {
      timer_.cancel();
      return;
    }
    const core::Duration wait = std::max(core::Duration(0), *next - WallTime());
    timer_.expires_after(wait);
    timer_.async_wait([this](const boost::system::error_code& aError) {
      if (!aError) {
        SendDueOutputs();
      }
    });
  }

  void SendOutput(const EngineOutput& aOutput)
  {
    const auto found = exchanges_.find(aOutput.attempt);
    if (found == exchanges_.end()) {
      return;
    }
    const net::ExchangeId exchange = found->second;
    const core::AttemptChunk& chunk = aOutput.chunk;
    if (aOutput.lost) {
      EraseAttempt(aOutput.attempt);
      server_->Abort(exchange);
      return;
    }
    if (chunk.final) {
      EraseAttempt(aOutput.attempt);
    }
    if (plain_) {
      RespondJson(
        exchange,
        200,
        { { "content", chunk.payload }, { "incarnation", chunk.incarnation } });
      return;
    }
    Json event{ { "attempt", std::to_string(aOutput.attempt) },
                { "offset", chunk.offset },
                { "tokens", chunk.tokens },
                { "incarnation", chunk.incarnation },
                { "leaving", chunk.leaving } };
    Json choice{ { "delta", { { "content", chunk.payload } } },
                 { "finish_reason", nullptr } };
    if (chunk.final) {
      choice["finish_reason"] = "stop";
      event["confidence"] = chunk.confidence.value_or(0.5);
    }
    event["choices"] = Json::array({ choice });
    server_->Write(exchange, "data: " + event.dump() + "\n\n");
    if (chunk.final) {
      server_->Write(exchange, "data: [DONE]\n\n");
      server_->FinishStream(exchange);
    }
  }

  const core::Settings& settings_;
  core::UpstreamId id_;
  bool plain_;
  EngineSimulator simulator_;
  Observations observations_;
  boost::asio::steady_timer timer_;
  std::map<core::AttemptId, net::ExchangeId> exchanges_;
  std::map<net::ExchangeId, core::AttemptId> attempts_;
  std::unique_ptr<net::HttpServer> server_;
};

} // namespace

std::unique_ptr<StandinServer>
MakeUpstreamServer(boost::asio::io_context& aContext,
                   const core::Settings& aSettings,
                   core::UpstreamId aId,
                   bool aWarm)
{
  return std::make_unique<UpstreamServer>(aContext, aSettings, aId, aWarm);
}

} // namespace hibiscusnotch::standin
