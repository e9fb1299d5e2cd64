#include "hibiscusnotch/replay/virtual_replay.hpp"

#include <future>
#include <mutex>
#include <semaphore>
#include <thread>

namespace hibiscusnotch::replay {

namespace {

using Json = nlohmann::ordered_json;

constexpr std::ptrdiff_t kMaxParallelRuns = 16;

/// One simulation to run.
struct PlannedRun
{
  SimulationOptions options;
  uint64_t seed = 0;
};

/// Statistics of one run and the simulation's own counts.
struct RunResult
{
  RunStatistics statistics;
  Json counts;
};

RunResult
SimulateOne(const core::Settings& aSettings,
            const Trace& aTrace,
            SimulationOptions aOptions,
            uint64_t aSeed)
{
  aOptions.seed = aSeed;
  const SimulationResult result = RunSimulation(aSettings, aTrace, aOptions);
  RunResult run{ ComputeStatistics(aSettings, result.observations, result.cost),
                 {} };
  run.counts["attempts"] = result.attempts;
  run.counts["retries"] = result.retries;
  run.counts["escalations"] = result.escalations;
  run.counts["platform_writes"] = result.platformWrites;
  run.counts["platform_reads"] = result.platformReads;
  run.counts["peer_messages"] = result.peerMessages;
  run.counts["events"] = result.events;
  return run;
}

/// Simulates all policies and seeds, in parallel on all processors.
std::vector<RunResult>
SimulateAll(const core::Settings& aSettings,
            const Trace& aTrace,
            const std::vector<PlannedRun>& aRuns)
{
  const unsigned processors = std::max(1U, std::thread::hardware_concurrency());
  std::counting_semaphore<kMaxParallelRuns> slots(
    std::min<std::ptrdiff_t>(kMaxParallelRuns, processors));
  std::vector<std::future<RunResult>> running;
  running.reserve(aRuns.size());
  for (const PlannedRun& planned : aRuns) {
    slots.acquire();
    running.push_back(std::async(std::launch::async, [&, planned] {
      RunResult run =
        SimulateOne(aSettings, aTrace, planned.options, planned.seed);
      slots.release();
      return run;
    }));
  }
  std::vector<RunResult> runs;
  runs.reserve(running.size());
  for (auto& future : running) {
    runs.push_back(future.get());
  }
  return runs;
}

/// Averages over seeds of the statistics that are compared.
Json
Averages(const std::vector<RunResult>& aRuns,
         std::size_t aFirst,
         std::size_t aCount)
{
  const double count = static_cast<double>(aCount);
  double cost = 0;
  double quality = 0;
  double badAnswers = 0;
  double badCriticalAnswers = 0;
  double answered = 0;
  double violations = 0;
  double attempts = 0;
  std::map<std::string, double> firstToken;
  std::map<std::string, double> classQuality;
  for (std::size_t i = aFirst; i < aFirst + aCount; ++i) {
    const RunStatistics& statistics = aRuns[i].statistics;
    cost += statistics.cost / count;
    quality += statistics.quality / count;
    badAnswers += static_cast<double>(statistics.badVersionAnswers) / count;
    badCriticalAnswers +=
      static_cast<double>(statistics.badVersionCritical) / count;
    answered += static_cast<double>(statistics.answered) /
                static_cast<double>(statistics.requests) / count;
    violations += static_cast<double>(statistics.violations.Total()) / count;
    attempts += aRuns[i].counts["attempts"].get<double>() / count;
    for (const auto& [name, quantiles] : statistics.firstTokenByClass) {
      firstToken[name] += quantiles.p95 / count;
    }
    for (const auto& [name, share] : statistics.qualityByClass) {
      classQuality[name] += share / count;
    }
  }
  return Json{ { "seeds", aCount },
               { "cost", cost },
               { "quality", quality },
               { "quality_by_class", classQuality },
               { "bad_version_answers", badAnswers },
               { "bad_version_answers_critical", badCriticalAnswers },
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
  const std::vector<RunResult> runs = SimulateAll(aSettings, aTrace, plan);
  VirtualReplayResult result;
  result.statistics = runs.front().statistics;
  Json& report = result.report;
  report["deployment"] = aSettings.deployment;
  report["seed"] = aOptions.seed;
  report.update(ToJson(result.statistics));
  report["mode"] = "virtual";
  report["counts"] = runs.front().counts;
  report["average"] = Averages(runs, 0, aOptions.seeds);
  Json baselines = Json::object();
  for (std::size_t i = 1; i < policies.size(); ++i) {
    const std::size_t first = i * aOptions.seeds;
    Json statistics = ToJson(runs[first].statistics);
    statistics["counts"] = runs[first].counts;
    statistics["average"] = Averages(runs, first, aOptions.seeds);
    baselines[policies[i].name] = std::move(statistics);
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
