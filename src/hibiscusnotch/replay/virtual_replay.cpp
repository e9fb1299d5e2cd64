#include "hibiscusnotch/replay/virtual_replay.hpp"

#include <future>
#include <mutex>
#include <semaphore>
#include <thread>

namespace hibiscusnotch::replay {

namespace {

using Json = nlohmann::ordered_json;

constexpr std::ptrdiff_t kMaxRuns = 16;

/// One run that is to be played.
struct PlannedRun
{
  SimulationOptions options;
  uint64_t seed = 0;
};

/// One run's figures and what only the world counts.
struct Run
{
  RunStatistics figures;
  Json extra;
};

Run
PlayOne(const core::Settings& aSettings,
        const Trace& aTrace,
        SimulationOptions aOptions,
        uint64_t aSeed)
{
  aOptions.seed = aSeed;
  const SimulationResult result = RunSimulation(aSettings, aTrace, aOptions);
  Run run{ ComputeStatistics(aSettings, result.observations, result.cost), {} };
  run.extra["attempts"] = result.attempts;
  run.extra["retries"] = result.retries;
  run.extra["escalations"] = result.escalations;
  run.extra["platform_writes"] = result.platformWrites;
  run.extra["platform_reads"] = result.platformReads;
  run.extra["peer_messages"] = result.peerMessages;
  run.extra["events"] = result.events;
  return run;
}

/// Plays all policies and seeds, as many at once as there are processors.
std::vector<Run>
PlayAll(const core::Settings& aSettings,
        const Trace& aTrace,
        const std::vector<PlannedRun>& aRuns)
{
  const unsigned processors = std::max(1U, std::thread::hardware_concurrency());
  std::counting_semaphore<kMaxRuns> slots(
    std::min<std::ptrdiff_t>(kMaxRuns, processors));
  std::vector<std::future<Run>> running;
  running.reserve(aRuns.size());
  for (const PlannedRun& planned : aRuns) {
    slots.acquire();
    running.push_back(std::async(std::launch::async, [&, planned] {
      Run run = PlayOne(aSettings, aTrace, planned.options, planned.seed);
      slots.release();
      return run;
    }));
  }
  std::vector<Run> runs;
  runs.reserve(running.size());
  for (auto& one : running) {
    runs.push_back(one.get());
  }
  return runs;
}

/// The figures that are compared over seeds.
Json
Averages(const std::vector<Run>& aRuns, std::size_t aFirst, std::size_t aCount)
{
  const double count = static_cast<double>(aCount);
  double cost = 0;
  double quality = 0;
  double bad = 0;
  double badCritical = 0;
  double answered = 0;
  double violations = 0;
  double attempts = 0;
  std::map<std::string, double> firstToken;
  std::map<std::string, double> classQuality;
  for (std::size_t i = aFirst; i < aFirst + aCount; ++i) {
    const RunStatistics& figures = aRuns[i].figures;
    cost += figures.cost / count;
    quality += figures.quality / count;
    bad += static_cast<double>(figures.badVersionAnswers) / count;
    badCritical += static_cast<double>(figures.badVersionCritical) / count;
    answered += static_cast<double>(figures.answered) /
                static_cast<double>(figures.requests) / count;
    violations += static_cast<double>(figures.violations.Total()) / count;
    attempts += aRuns[i].extra["attempts"].get<double>() / count;
    for (const auto& [name, quantiles] : figures.firstTokenByClass) {
      firstToken[name] += quantiles.p95 / count;
    }
    for (const auto& [name, share] : figures.qualityByClass) {
      classQuality[name] += share / count;
    }
  }
  return Json{ { "seeds", aCount },
               { "cost", cost },
               { "quality", quality },
               { "quality_by_class", classQuality },
               { "bad_version_answers", bad },
               { "bad_version_answers_critical", badCritical },
               { "answered_share", answered },
               { "violations", violations },
               { "attempts", attempts },
               { "ttft_p95_ms", firstToken } };
}

} // namespace

std::vector<NamedPolicy>
Baselines()
{
  SimulationOptions roundRobin;
  roundRobin.balance = core::RoundRobin{};
  SimulationOptions leastConnections;
  leastConnections.balance = core::LeastConnections{};
  SimulationOptions alwaysBest;
  alwaysBest.cascade = core::AlwaysBest{};
  std::vector<NamedPolicy> policies{ { "round_robin", roundRobin },
                                     { "least_connections", leastConnections },
                                     { "always_best", alwaysBest } };
  for (const uint8_t bin : { uint8_t{ 3 }, uint8_t{ 4 }, uint8_t{ 5 } }) {
    SimulationOptions fixed;
    fixed.cascade = core::FixedThreshold{ bin };
    policies.push_back({ "fixed_threshold_" + std::to_string(bin), fixed });
  }
  SimulationOptions fixedStep;
  fixedStep.rollout = core::FixedStepRollout{};
  policies.push_back({ "fixed_step_rollout", fixedStep });
  return policies;
}

VirtualReplayResult
ReplayVirtual(const core::Settings& aSettings,
              const Trace& aTrace,
              const VirtualReplayOptions& aOptions)
{
  std::vector<NamedPolicy> policies{ { "hibiscusnotch", SimulationOptions{} } };
  if (aOptions.baselines) {
    for (NamedPolicy& baseline : Baselines()) {
      policies.push_back(std::move(baseline));
    }
  }
  std::vector<PlannedRun> plan;
  for (const NamedPolicy& policy : policies) {
    for (uint64_t i = 0; i < aOptions.seeds; ++i) {
      plan.push_back(PlannedRun{ policy.options, aOptions.seed + i });
    }
  }
  const std::vector<Run> runs = PlayAll(aSettings, aTrace, plan);
  VirtualReplayResult result;
  result.figures = runs.front().figures;
  Json& report = result.report;
  report["deployment"] = aSettings.deployment;
  report["seed"] = aOptions.seed;
  report.update(ToJson(result.figures));
  report["mode"] = "virtual";
  report["counts"] = runs.front().extra;
  report["average"] = Averages(runs, 0, aOptions.seeds);
  Json baselines = Json::object();
  for (std::size_t i = 1; i < policies.size(); ++i) {
    const std::size_t first = i * aOptions.seeds;
    Json figures = ToJson(runs[first].figures);
    figures["counts"] = runs[first].extra;
    figures["average"] = Averages(runs, first, aOptions.seeds);
    baselines[policies[i].name] = std::move(figures);
  }
  report["baselines"] = std::move(baselines);
  return result;
}

nlohmann::ordered_json
BaselineReports(const core::Settings& aSettings,
                const Trace& aTrace,
                uint64_t aSeed)
{
  VirtualReplayOptions options;
  options.seed = aSeed;
  return ReplayVirtual(aSettings, aTrace, options).report["baselines"];
}

} // namespace hibiscusnotch::replay
