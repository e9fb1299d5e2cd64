#include "commands.hpp"

#include "hibiscusnotch/cli/options.hpp"
#include "hibiscusnotch/replay/trace_generator.hpp"

#include <fstream>
#include <iostream>

namespace hibiscusnotch::cli {

namespace {

namespace options = boost::program_options;

options::options_description
MakeOptionsDescription(replay::GeneratorOptions& aGenerator)
{
  options::options_description description("Options");
  AddSettingsOptions(description, true);
  auto add = description.add_options();
  add("action", options::value<std::string>()->required(), "generate");
  add("seed", options::value(&aGenerator.seed)->default_value(1), "seed");
  add("seconds",
      options::value(&aGenerator.seconds)->default_value(20),
      "length of the trace");
  add("rate",
      options::value(&aGenerator.requestsPerSecond)->default_value(45),
      "requests per second after the backlog");
  add("backlog",
      options::value(&aGenerator.backlog)->default_value(1.0),
      "additional share of the rate at the start");
  add("greedy",
      options::value(&aGenerator.greedyFactor)->default_value(1.0),
      "factor of the first organisation's load");
  add("faults",
      options::value(&aGenerator.faults)->default_value(true),
      "include faults and operators' actions");
  add("out", options::value<std::string>()->required(), "file to write");
  return description;
}

} // namespace

int
RunTrace(const Arguments& aArguments)
{
  replay::GeneratorOptions generator;
  const ParsedOptions parsed = ParseOptions(
    "trace generate",
    "Generates a seeded trace of a Monday morning for a deployment.",
    MakeOptionsDescription(generator),
    aArguments,
    "action");
  if (parsed.exit) {
    return *parsed.exit;
  }
  if (parsed.values["action"].as<std::string>() != "generate") {
    std::cerr << "hibiscusnotch trace: expected 'generate'\n";
    return kExitUsage;
  }
  const auto settings = LoadFromOptions(parsed.values);
  if (!settings) {
    return kExitFailed;
  }
  const std::string file = parsed.values["out"].as<std::string>();
  std::ofstream stream(file);
  replay::GenerateTrace(*settings, generator, stream);
  stream.flush();
  if (!stream) {
    std::cerr << file << ": cannot be written\n";
    return kExitFailed;
  }
  return kExitOk;
}

} // namespace hibiscusnotch::cli
