#include "commands.hpp"

#include "hibiscusnotch/cli/endpoint_url.hpp"
#include "hibiscusnotch/cli/options.hpp"
#include "hibiscusnotch/config/load_settings.hpp"
#include "hibiscusnotch/replay/live_replay.hpp"
#include "hibiscusnotch/replay/report.hpp"
#include "hibiscusnotch/replay/virtual_replay.hpp"

#include <boost/asio/io_context.hpp>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>

namespace hibiscusnotch::cli {

namespace {

namespace options = boost::program_options;

constexpr const char* kDescription =
  "Replays a trace against running instances (--target), or against the\n"
  "decision core with simulated upstreams in virtual time (--virtual).";

options::options_description
MakeOptionsDescription()
{
  options::options_description description("Options");
  AddSettingsOptions(description, false);
  auto add = description.add_options();
  add("trace", options::value<std::string>()->required(), "trace file");
  add("expect",
      options::value<std::string>()->required(),
      "file of the expected outcomes");
  add("report",
      options::value<std::string>()->required(),
      "report file to write");
  add("virtual", options::bool_switch(), "simulate in virtual time");
  add("target",
      options::value<Arguments>()->multitoken(),
      "running instances, e.g. http://127.1.1.1:8000");
  add("seed", options::value<uint64_t>()->default_value(1), "seed");
  add("seeds",
      options::value<uint64_t>()->default_value(1),
      "number of seeds, from --seed on");
  add("baselines",
      options::value<bool>()->default_value(true),
      "also run the baseline policies");
  return description;
}

std::optional<nlohmann::json>
ReadExpectations(const std::string& aFile)
{
  std::ifstream stream(aFile);
  if (!stream) {
    std::cerr << aFile << ": cannot be read\n";
    return std::nullopt;
  }
  try {
    return nlohmann::json::parse(stream);
  } catch (const nlohmann::json::exception& aError) {
    std::cerr << aFile << ": " << aError.what() << '\n';
    return std::nullopt;
  }
}

/// The deployment's base file, below the current directory or else in the
/// repository that the binary was built in.
std::string
FindBaseFile(const nlohmann::json& aExpected)
{
  const std::string name = aExpected.value("deployment", "");
  const std::filesystem::path relative =
    std::filesystem::path("deploy") / name / "base.yaml";
  std::error_code ignored;
  const auto binary = std::filesystem::read_symlink("/proc/self/exe", ignored);
  const auto beside = binary.parent_path().parent_path() / relative;
  return std::filesystem::exists(relative) ? relative.string()
                                           : beside.string();
}

std::optional<core::Settings>
LoadForReplay(const options::variables_map& aValues,
              const nlohmann::json& aExpected)
{
  if (aValues.contains("base")) {
    return LoadFromOptions(aValues);
  }
  config::LoadResult loaded =
    config::LoadSettings(FindBaseFile(aExpected), "", "");
  for (const config::SettingsError& error : loaded.errors) {
    std::cerr << config::ToString(error) << '\n';
  }
  return std::move(loaded.settings);
}

/// The API keys of the deployments in this repository.
std::string
ApiKeyOf(const core::Organisation& aOrganisation)
{
  return "key-" + aOrganisation.name;
}

std::optional<std::vector<core::Endpoint>>
ParseTargets(const options::variables_map& aValues)
{
  std::vector<core::Endpoint> targets;
  for (const std::string& url : aValues["target"].as<Arguments>()) {
    const auto target = ParseEndpointUrl(url);
    if (!target) {
      std::cerr << "hibiscusnotch replay: --target: got \"" << url
                << "\", expected http://ADDRESS:PORT\n";
      return std::nullopt;
    }
    targets.push_back(*target);
  }
  return targets;
}

/// The statistics and the report of one replay.
struct ReplayOutcome
{
  replay::RunStatistics statistics;
  nlohmann::ordered_json report;
};

ReplayOutcome
ReplayLive(const core::Settings& aSettings,
           const replay::Trace& aTrace,
           std::vector<core::Endpoint> aTargets,
           uint64_t aSeed,
           bool aBaselines)
{
  replay::LiveReplayOptions live;
  live.targets = std::move(aTargets);
  const char* key = std::getenv("HIBISCUSNOTCH_OPERATOR_KEY");
  live.operatorKey = key ? key : "key-operator";
  live.seed = aSeed;
  live.keyOf = ApiKeyOf;
  live.onProgress = [](const std::string& aLine) {
    std::cout << aLine << std::endl;
  };
  boost::asio::io_context context(1);
  const replay::LiveReplayResult result =
    replay::RunLiveReplay(context, aSettings, aTrace, live);
  ReplayOutcome outcome;
  outcome.statistics =
    replay::ComputeStatistics(aSettings, result.observations, result.cost);
  outcome.report["deployment"] = aSettings.deployment;
  outcome.report["seed"] = aSeed;
  outcome.report.update(replay::ToJson(outcome.statistics));
  outcome.report["mode"] = "live";
  outcome.report["skipped_events"] = result.skippedEvents;
  outcome.report["baselines_mode"] = "virtual";
  if (aBaselines) {
    outcome.report["baselines"] =
      replay::BaselineReports(aSettings, aTrace, aSeed);
  }
  return outcome;
}

int
FinishReplay(const replay::RunStatistics& aStatistics,
             const nlohmann::json& aExpected,
             const nlohmann::ordered_json& aReport,
             const std::string& aFile)
{
  std::ofstream stream(aFile);
  stream << aReport.dump(2) << '\n';
  stream.flush();
  if (!stream) {
    std::cerr << aFile << ": cannot be written\n";
    return kExitFailed;
  }
  std::cout << replay::Summary(aStatistics);
  const auto failures = replay::CheckExpectations(aExpected, aStatistics);
  for (const std::string& failure : failures) {
    std::cout << "does not hold: " << failure << '\n';
  }
  return failures.empty() ? kExitOk : kExitFailed;
}

} // namespace

int
RunReplay(const Arguments& aArguments)
{
  const ParsedOptions parsed =
    ParseOptions("replay", kDescription, MakeOptionsDescription(), aArguments);
  if (parsed.exit) {
    return *parsed.exit;
  }
  const auto& values = parsed.values;
  const auto expected = ReadExpectations(values["expect"].as<std::string>());
  const auto settings =
    expected ? LoadForReplay(values, *expected) : std::nullopt;
  if (!settings) {
    return kExitFailed;
  }
  const std::string file = values["trace"].as<std::string>();
  std::ifstream stream(file);
  std::string reason = file + ": cannot be read";
  const auto trace =
    stream ? replay::ReadTrace(*settings, stream, file, reason) : std::nullopt;
  if (!trace) {
    std::cerr << reason << '\n';
    return kExitFailed;
  }
  if (values["virtual"].as<bool>() == values.contains("target")) {
    std::cerr << "hibiscusnotch replay: expected either --virtual or "
                 "--target\n";
    return kExitUsage;
  }
  if (values.contains("target")) {
    auto targets = ParseTargets(values);
    if (!targets) {
      return kExitUsage;
    }
    const ReplayOutcome live = ReplayLive(*settings,
                                          *trace,
                                          std::move(*targets),
                                          values["seed"].as<uint64_t>(),
                                          values["baselines"].as<bool>());
    return FinishReplay(live.statistics,
                        *expected,
                        live.report,
                        values["report"].as<std::string>());
  }
  replay::VirtualReplayOptions replayOptions;
  replayOptions.seed = values["seed"].as<uint64_t>();
  replayOptions.seeds = values["seeds"].as<uint64_t>();
  replayOptions.baselines = values["baselines"].as<bool>();
  const auto result = replay::ReplayVirtual(*settings, *trace, replayOptions);
  return FinishReplay(result.statistics,
                      *expected,
                      result.report,
                      values["report"].as<std::string>());
}

} // namespace hibiscusnotch::cli
