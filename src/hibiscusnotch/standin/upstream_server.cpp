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

constexpr core::Duration kLongAgo{ 3600'000'000 };

uint64_t
ToNumber(std::string_view aText)
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
    , model_(aSettings,
             aId,
             DefaultBehaviours(aSettings),
             aWarm ? WallTime() - kLongAgo : WallTime())
    , timer_(aContext)
  {
    net::HttpServerOptions options;
    options.endpoint = aSettings.At(aId).endpoint;
    net::HttpServerCallbacks callbacks;
    callbacks.onRequest = [this](net::ExchangeId aExchange,
                                 const net::HttpRequest& aRequest) {
      Take(aExchange, aRequest);
    };
    callbacks.onGone = [this](net::ExchangeId aExchange) { Gone(aExchange); };
    server_ = net::MakeHttpServer(aContext, options, callbacks);
  }

private:
  void Take(net::ExchangeId aExchange, const net::HttpRequest& aRequest)
  {
    try {
      Route(aExchange, aRequest);
    } catch (const std::exception& aError) {
      Answer(aExchange,
             400,
             { { "verdict", "not_run" }, { "reason", aError.what() } });
    }
  }

  void Route(net::ExchangeId aExchange, const net::HttpRequest& aRequest)
  {
    if (aRequest.target == "/load") {
      Load(aExchange);
    } else if (aRequest.target == "/control/observations") {
      server_->Respond(
        aExchange, 200, {}, EncodeObservations(settings_, seen_));
    } else if (aRequest.target == "/control/cost") {
      Answer(aExchange, 200, { { "cost", model_.Cost() } });
    } else if (aRequest.target == "/control") {
      Control(Json::parse(aRequest.body));
      Answer(aExchange, 200, Json::object());
    } else {
      Work(aExchange, aRequest);
    }
  }

  void Answer(net::ExchangeId aExchange, int aStatus, const Json& aBody)
  {
    server_->Respond(aExchange,
                     aStatus,
                     { { "Content-Type", "application/json" } },
                     aBody.dump());
  }

  void Load(net::ExchangeId aExchange)
  {
    const core::UpstreamLoadReport report = model_.Report(WallTime());
    Answer(aExchange,
           200,
           { { "incarnation", report.incarnation },
             { "age_ms", core::Milliseconds(report.age) },
             { "running", report.running },
             { "leaving", report.leaving } });
  }

  void Control(const Json& aCommand)
  {
    if (aCommand.value("restart", false)) {
      model_.Restart(WallTime());
      Flush();
      server_->CloseAll();
    }
    if (aCommand.value("leaving", false)) {
      model_.SetLeaving(true);
      seen_.push_back(UpstreamLeaveOrdered{ WallTime(), id_ });
    }
    if (aCommand.value("silence", false)) {
      model_.SilenceOpen();
    }
    if (aCommand.value("crossed", false)) {
      model_.CrossChunks();
    }
  }

  EngineRequest ReadWork(const net::HttpRequest& aRequest) const
  {
    EngineRequest work;
    work.attempt = ToNumber(aRequest.Header("X-Attempt-Id"));
    work.requestId = aRequest.Header("X-Request-Id");
    work.organisation =
      core::FindByName<core::OrganisationId>(
        std::span<const core::Organisation>(settings_.organisations),
        aRequest.Header("X-Organisation"))
        .value();
    work.version = core::FindByName<core::VersionId>(
                     std::span<const core::Version>(settings_.versions),
                     aRequest.Header("X-Model-Version"))
                     .value();
    work.resumeOffset =
      static_cast<uint32_t>(ToNumber(aRequest.Header("X-Resume-Offset")));
    work.priority = static_cast<int>(ToNumber(aRequest.Header("X-Priority")));
    work.prefix = ToNumber(aRequest.Header("X-Prefix-Hash"));
    const Json body = Json::parse(aRequest.body);
    const Json hints = body.value("standin", Json::object());
    work.promptTokens = hints.value("prompt_tokens", 100U);
    work.outputTokens = std::max(1U, hints.value("output_tokens", 1U));
    work.difficulty = hints.value("difficulty", 0.0);
    work.crashes = hints.value("crashes", false);
    return work;
  }

  void Work(net::ExchangeId aExchange, const net::HttpRequest& aRequest)
  {
    const EngineRequest work = ReadWork(aRequest);
    const uint64_t before = model_.Incarnation();
    const SubmitResult result = model_.Submit(WallTime(), work, seen_);
    if (result != SubmitResult::Accepted) {
      const bool leaving = result == SubmitResult::Leaving;
      Answer(aExchange,
             503,
             { { "verdict", "not_run" },
               { "reason", leaving ? "leaving" : "busy" } });
      return;
    }
    exchanges_[work.attempt] = aExchange;
    attempts_[aExchange] = work.attempt;
    if (!plain_) {
      server_->StartStream(
        aExchange, 200, { { "Content-Type", "text/event-stream" } });
    }
    Flush();
    if (model_.Incarnation() != before) {
      server_->CloseAll();
    }
  }

  void Gone(net::ExchangeId aExchange)
  {
    const auto found = attempts_.find(aExchange);
    if (found == attempts_.end()) {
      return;
    }
    model_.Cancel(WallTime(), found->second);
    Forget(found->second);
    Flush();
  }

  void Forget(core::AttemptId aAttempt)
  {
    const auto found = exchanges_.find(aAttempt);
    if (found != exchanges_.end()) {
      attempts_.erase(found->second);
      exchanges_.erase(found);
    }
  }

  /// Sends what is due, and sleeps until the next is.
  void Flush()
  {
    const uint64_t before = model_.Incarnation();
    for (const EngineOutput& output : model_.Advance(WallTime())) {
      Send(output);
    }
    if (model_.Incarnation() != before) {
      server_->CloseAll();
    }
    const auto next = model_.Next();
    if (!next) {
      timer_.cancel();
      return;
    }
    const core::Duration wait = std::max(core::Duration(0), *next - WallTime());
    timer_.expires_after(wait);
    timer_.async_wait([this](const boost::system::error_code& aError) {
      if (!aError) {
        Flush();
      }
    });
  }

  void Send(const EngineOutput& aOutput)
  {
    const auto found = exchanges_.find(aOutput.attempt);
    if (found == exchanges_.end()) {
      return;
    }
    const net::ExchangeId exchange = found->second;
    const core::AttemptChunk& chunk = aOutput.chunk;
    if (aOutput.lost) {
      Forget(aOutput.attempt);
      server_->Abort(exchange);
      return;
    }
    if (chunk.final) {
      Forget(aOutput.attempt);
    }
    if (plain_) {
      Answer(
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
  EngineSimulator model_;
  Observations seen_;
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
