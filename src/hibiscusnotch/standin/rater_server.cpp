#include "hibiscusnotch/net/http_server.hpp"
#include "hibiscusnotch/standin/rater_simulator.hpp"
#include "hibiscusnotch/standin/simulated_answer.hpp"
#include "hibiscusnotch/standin/standin_server.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <nlohmann/json.hpp>
#include <set>

namespace hibiscusnotch::standin {

namespace {

using Json = nlohmann::json;

class RaterServer : public StandinServer
{
public:
  RaterServer(boost::asio::io_context& aContext,
              const core::Settings& aSettings,
              uint64_t aSeed)
    : context_(aContext)
    , settings_(aSettings)
    , behaviours_(DefaultBehaviours(aSettings))
    , simulator_({}, aSeed)
  {
    net::HttpServerOptions options;
    options.endpoint = aSettings.rater;
    net::HttpServerCallbacks callbacks;
    callbacks.onRequest = [this](net::ExchangeId aExchange,
                                 const net::HttpRequest& aRequest) {
      HandleRequest(aExchange, aRequest);
    };
    server_ = net::MakeHttpServer(aContext, options, callbacks);
  }

private:
  void HandleRequest(net::ExchangeId aExchange,
                     const net::HttpRequest& aRequest)
  {
    try {
      const Json body = Json::parse(aRequest.body);
      if (aRequest.target == "/control") {
        ApplyControl(body);
        server_->Respond(aExchange, 200, {}, "{}");
      } else {
        Rate(aExchange, body);
      }
    } catch (const std::exception& aError) {
      server_->Respond(aExchange, 400, {}, aError.what());
    }
  }

  void ApplyControl(const Json& aCommand)
  {
    const std::string version = aCommand.at("version").get<std::string>();
    if (aCommand.at("bad").get<bool>()) {
      badVersions_.insert(version);
    } else {
      badVersions_.erase(version);
    }
  }

  void Rate(net::ExchangeId aExchange, const Json& aBody)
  {
    const std::string version = aBody.at("version").get<std::string>();
    const auto id = core::FindByName<core::VersionId>(
      std::span<const core::Version>(settings_.versions), version);
    const auto delay = simulator_.DrawDelay();
    const bool rated = id.has_value() && delay.has_value();
    Json reply{ { "rated", rated } };
    if (rated) {
      const Json hints = aBody.at("request").value("standin", Json::object());
      reply["good"] = AnswerIsGood(aBody.at("request_id").get<std::string>(),
                                   version,
                                   behaviours_[id->value],
                                   hints.value("difficulty", 0.0),
                                   badVersions_.contains(version));
    }
    auto timer = std::make_shared<boost::asio::steady_timer>(context_);
    timer->expires_after(delay.value_or(core::Duration(0)));
    timer->async_wait([this, timer, aExchange, text = reply.dump()](
                        const boost::system::error_code& aError) {
      if (!aError) {
        server_->Respond(
          aExchange, 200, { { "Content-Type", "application/json" } }, text);
      }
    });
  }

  boost::asio::io_context& context_;
  const core::Settings& settings_;
  std::vector<VersionBehaviour> behaviours_;
  RaterSimulator simulator_;
  std::set<std::string> badVersions_;
  std::unique_ptr<net::HttpServer> server_;
};

} // namespace

std::unique_ptr<StandinServer>
MakeRaterServer(boost::asio::io_context& aContext,
                const core::Settings& aSettings,
                uint64_t aSeed)
{
  return std::make_unique<RaterServer>(aContext, aSettings, aSeed);
}

} // namespace hibiscusnotch::standin
