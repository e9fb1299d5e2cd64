#include "commands.hpp"

#include "hibiscusnotch/cli/options.hpp"
#include "hibiscusnotch/standin/standin_server.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <iostream>

namespace hibiscusnotch::cli {

namespace {

namespace options = boost::program_options;
using Standins = std::vector<std::unique_ptr<standin::StandinServer>>;

/// Starts the upstream that --upstream names, or all of the kind.
bool
StartUpstreams(boost::asio::io_context& aContext,
               const core::Settings& aSettings,
               const options::variables_map& aValues,
               core::ServiceKind aKind,
               Standins& aStandins)
{
  const std::string name = aValues["upstream"].as<std::string>();
  for (uint32_t i = 0; i < aSettings.upstreams.size(); ++i) {
    const core::Upstream& upstream = aSettings.upstreams[i];
    const bool wanted = aSettings.At(upstream.service).kind == aKind &&
                        (name.empty() || upstream.name == name);
    if (wanted) {
      aStandins.push_back(
        standin::MakeUpstreamServer(aContext,
                                    aSettings,
                                    core::UpstreamId{ i },
                                    !aValues["cold"].as<bool>()));
    }
  }
  if (aStandins.empty()) {
    std::cerr << "hibiscusnotch stand-in: --upstream: got \"" << name
              << "\", expected a declared upstream of this kind\n";
  }
  return !aStandins.empty();
}

standin::PlatformOptions
ReadPlatformOptions(const options::variables_map& aValues)
{
  standin::PlatformOptions platform;
  platform.seed = aValues["seed"].as<uint64_t>();
  platform.lostResponseShare = aValues["lost-answers"].as<double>();
  platform.latency =
    core::FromSeconds(aValues["latency-ms"].as<double>() / 1000);
  return platform;
}

bool
StartStandins(boost::asio::io_context& aContext,
              const core::Settings& aSettings,
              const options::variables_map& aValues,
              Standins& aStandins)
{
  const std::string kind = aValues["kind"].as<std::string>();
  if (kind == "platform") {
    aStandins.push_back(standin::MakePlatformServer(
      aContext, aSettings, ReadPlatformOptions(aValues)));
    return true;
  }
  if (kind == "rater") {
    aStandins.push_back(standin::MakeRaterServer(
      aContext, aSettings, aValues["seed"].as<uint64_t>()));
    return true;
  }
  if (kind == "engine" || kind == "service") {
    const auto wanted =
      kind == "engine" ? core::ServiceKind::Engine : core::ServiceKind::Plain;
    return StartUpstreams(aContext, aSettings, aValues, wanted, aStandins);
  }
  std::cerr << "hibiscusnotch stand-in: got \"" << kind
            << "\", expected platform, engine, service or rater\n";
  return false;
}

} // namespace

int
RunStandin(const Arguments& aArguments)
{
  options::options_description description("Options");
  AddSettingsOptions(description, true);
  auto add = description.add_options();
  add("kind",
      options::value<std::string>()->required(),
      "platform, engine, service or rater");
  add("upstream",
      options::value<std::string>()->default_value(""),
      "one upstream; by default all of the kind, in this process");
  add("cold", options::bool_switch(), "start cold");
  add("seed", options::value<uint64_t>()->default_value(1), "seed");
  add("lost-answers",
      options::value<double>()->default_value(0),
      "share of writes whose response is lost");
  add("latency-ms",
      options::value<double>()->default_value(4),
      "latency of the platform's responses");
  const ParsedOptions parsed =
    ParseOptions("stand-in KIND",
                 "Runs a stand-in; POST /control injects faults while it runs.",
                 description,
                 aArguments,
                 "kind");
  if (parsed.exit) {
    return *parsed.exit;
  }
  const auto settings = LoadFromOptions(parsed.values);
  if (!settings) {
    return kExitFailed;
  }
  boost::asio::io_context context(1);
  Standins standins;
  if (!StartStandins(context, *settings, parsed.values, standins)) {
    return kExitUsage;
  }
  boost::asio::signal_set signals(context, SIGTERM, SIGINT);
  signals.async_wait(
    [&context](const boost::system::error_code&, int) { context.stop(); });
  context.run();
  return kExitOk;
}

} // namespace hibiscusnotch::cli
