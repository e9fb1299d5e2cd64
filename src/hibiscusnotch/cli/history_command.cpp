#include "commands.hpp"

#include "hibiscusnotch/cli/options.hpp"
#include "hibiscusnotch/replay/history.hpp"

#include <atomic>
#include <iostream>
#include <map>
#include <mutex>
#include <thread>

namespace hibiscusnotch::cli {

namespace {

namespace options = boost::program_options;

constexpr std::size_t kMaxPrintedSeeds = 10;

/// The totals of many simulated histories.
struct HistoryTotals
{
  std::mutex mutex;
  std::map<std::string, uint64_t> counts;
  std::vector<uint64_t> failedSeeds;
  uint64_t requests = 0;
  uint64_t answered = 0;
};

void
SimulateSeed(uint64_t aSeed, HistoryTotals& aTotals)
{
  const replay::RunStatistics statistics =
    replay::SimulateHistory(replay::MakeHistory(aSeed));
  const std::lock_guard lock(aTotals.mutex);
  aTotals.requests += statistics.requests;
  aTotals.answered += statistics.answered;
  for (const auto& [name, count] :
       replay::ViolationCounts(statistics.violations)) {
    aTotals.counts[name] += count;
  }
  aTotals.counts["lost"] += statistics.lost;
  if (statistics.violations.Total() + statistics.lost > 0) {
    aTotals.failedSeeds.push_back(aSeed);
  }
}

void
SimulateSeeds(uint64_t aFirst, uint64_t aCount, HistoryTotals& aTotals)
{
  std::atomic<uint64_t> next = aFirst;
  std::vector<std::jthread> workers;
  const unsigned processors = std::max(1U, std::thread::hardware_concurrency());
  for (unsigned i = 0; i < processors; ++i) {
    workers.emplace_back([&] {
      while (true) {
        const uint64_t seed = next++;
        if (seed >= aFirst + aCount) {
          return;
        }
        SimulateSeed(seed, aTotals);
      }
    });
  }
}

int
PrintTotals(uint64_t aCount, HistoryTotals& aTotals)
{
  std::cout << aCount << " histories, " << aTotals.requests << " requests, "
            << aTotals.answered << " answered\n";
  for (const auto& [name, count] : aTotals.counts) {
    if (count > 0) {
      std::cout << "  " << name << " " << count << '\n';
    }
  }
  std::sort(aTotals.failedSeeds.begin(), aTotals.failedSeeds.end());
  const std::size_t printed =
    std::min(kMaxPrintedSeeds, aTotals.failedSeeds.size());
  for (std::size_t i = 0; i < printed; ++i) {
    std::cout << "reproduce: hibiscusnotch history --count 1 --seed "
              << aTotals.failedSeeds[i] << '\n';
  }
  std::cout << aCount - aTotals.failedSeeds.size() << " passed, "
            << aTotals.failedSeeds.size() << " failed\n";
  return aTotals.failedSeeds.empty() ? kExitOk : kExitFailed;
}

} // namespace

int
RunHistory(const Arguments& aArguments)
{
  options::options_description description("Options");
  auto add = description.add_options();
  add("seed", options::value<uint64_t>()->default_value(1), "first seed");
  add("count", options::value<uint64_t>()->default_value(1000), "histories");
  const ParsedOptions parsed = ParseOptions(
    "history",
    "Simulates small seeded fleets with pairs of overlapping faults.",
    description,
    aArguments);
  if (parsed.exit) {
    return *parsed.exit;
  }
  const uint64_t seed = parsed.values["seed"].as<uint64_t>();
  const uint64_t count = parsed.values["count"].as<uint64_t>();
  if (count == 1) {
    const auto statistics = replay::SimulateHistory(replay::MakeHistory(seed));
    std::cout << replay::Summary(statistics);
    return statistics.violations.Total() + statistics.lost == 0 ? kExitOk
                                                                : kExitFailed;
  }
  HistoryTotals totals;
  SimulateSeeds(seed, count, totals);
  return PrintTotals(count, totals);
}

} // namespace hibiscusnotch::cli
