#include "hibiscusnotch/net/http_server.hpp"
#include "hibiscusnotch/standin/observation_codec.hpp"
#include "hibiscusnotch/standin/platform_simulator.hpp"
#include "hibiscusnotch/standin/standin_server.hpp"
#include "server_clock.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <charconv>
#include <nlohmann/json.hpp>

namespace hibiscusnotch::standin {

namespace {

constexpr std::string_view kObjectsPath = "/objects/";
constexpr std::string_view kWatchQuery = "?watch=";
constexpr auto kWatchPollInterval = std::chrono::milliseconds(10);

uint64_t
ParseVersion(std::string_view aText)
{
  if (aText.starts_with('"')) {
    aText.remove_prefix(1);
  }
  uint64_t version = 0;
  std::from_chars(aText.data(), aText.data() + aText.size(), version);
  return version;
}

class PlatformServer : public StandinServer
{
public:
  PlatformServer(boost::asio::io_context& aContext,
                 const core::Settings& aSettings,
                 const PlatformOptions& aOptions)
    : context_(aContext)
    , settings_(aSettings)
    , simulator_(aSettings, aOptions)
    , watchTimer_(aContext)
  {
    net::HttpServerOptions options;
    options.endpoint = aSettings.platform.endpoint;
    options.maxBodyBytes = 2 * 1024 * 1024;
    net::HttpServerCallbacks callbacks;
    callbacks.onRequest = [this](net::ExchangeId aExchange,
                                 const net::HttpRequest& aRequest) {
      HandleRequest(aExchange, aRequest);
    };
    server_ = net::MakeHttpServer(aContext, options, callbacks);
    PollWatches();
  }

private:
  void HandleRequest(net::ExchangeId aExchange,
                     const net::HttpRequest& aRequest)
  {
    if (aRequest.target == "/control") {
      const auto command = nlohmann::json::parse(aRequest.body, nullptr, false);
      if (command.is_object() && command.contains("out")) {
        simulator_.SetOutage(command.at("out").get<bool>());
      }
      if (command.is_object() && command.contains("latency_ms")) {
        simulator_.SetLatency(
          core::FromSeconds(command.at("latency_ms").get<double>() / 1000));
      }
      server_->Respond(aExchange, 200, {}, "{}");
      return;
    }
    if (aRequest.target == "/control/observations") {
      Observations observations = observations_;
      for (const BillStored& bill : simulator_.Bills()) {
        observations.push_back(bill);
      }
      server_->Respond(
        aExchange, 200, {}, EncodeObservations(settings_, observations));
      return;
    }
    if (!aRequest.target.starts_with(kObjectsPath)) {
      server_->Respond(aExchange, 404, {}, "");
      return;
    }
    const auto timed = simulator_.Call(
      WallTime(), aExchange, ParseCall(aRequest), observations_);
    if (timed) {
      SendResponse(aExchange, *timed);
    }
  }

  static core::CallPlatform ParseCall(const net::HttpRequest& aRequest)
  {
    core::CallPlatform call;
    call.key = aRequest.target.substr(kObjectsPath.size());
    call.body = aRequest.body;
    const std::size_t watch = call.key.find(kWatchQuery);
    if (watch != std::string::npos) {
      call.operation = core::PlatformOperation::Watch;
      call.version = ParseVersion(call.key.substr(watch + kWatchQuery.size()));
      call.key.resize(watch);
    } else if (!aRequest.Header("If-None-Match").empty()) {
      call.operation = core::PlatformOperation::Create;
    } else if (!aRequest.Header("If-Match").empty()) {
      call.operation = core::PlatformOperation::Update;
      call.version = ParseVersion(aRequest.Header("If-Match"));
    }
    return call;
  }

  static int HttpStatusOf(core::PlatformStatus aStatus)
  {
    switch (aStatus) {
      case core::PlatformStatus::Ok:
        return 200;
      case core::PlatformStatus::NotFound:
        return 404;
      case core::PlatformStatus::Conflict:
        return 412;
      case core::PlatformStatus::Unavailable:
        return 429;
      case core::PlatformStatus::Lost:
        return 0;
    }
    return 0;
  }

  void SendResponse(net::ExchangeId aExchange, const TimedResponse& aTimed)
  {
    auto timer = std::make_shared<boost::asio::steady_timer>(context_);
    timer->expires_after(std::max(core::Duration(0), aTimed.at - WallTime()));
    timer->async_wait([this, timer, aExchange, response = aTimed.response](
                        const boost::system::error_code& aError) {
      if (aError) {
        return;
      }
      const int status = HttpStatusOf(response.status);
      if (status == 0) {
        server_->Abort(aExchange);
        return;
      }
      server_->Respond(
        aExchange,
        status,
        { { "ETag", "\"" + std::to_string(response.version) + "\"" } },
        response.body);
    });
  }

  void PollWatches()
  {
    for (const auto& [exchange, timed] : simulator_.DueWatches(WallTime())) {
      SendResponse(exchange, timed);
    }
    watchTimer_.expires_after(kWatchPollInterval);
    watchTimer_.async_wait([this](const boost::system::error_code& aError) {
      if (!aError) {
        PollWatches();
      }
    });
  }

  boost::asio::io_context& context_;
  const core::Settings& settings_;
  PlatformSimulator simulator_;
  Observations observations_;
  boost::asio::steady_timer watchTimer_;
  std::unique_ptr<net::HttpServer> server_;
};

} // namespace

std::unique_ptr<StandinServer>
MakePlatformServer(boost::asio::io_context& aContext,
                   const core::Settings& aSettings,
                   const PlatformOptions& aOptions)
{
  return std::make_unique<PlatformServer>(aContext, aSettings, aOptions);
}

} // namespace hibiscusnotch::standin
