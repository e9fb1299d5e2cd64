#include "hibiscusnotch/replay/history.hpp"

#include <atomic>
#include <cstdlib>
#include <doctest/doctest.h>
#include <thread>

using namespace hibiscusnotch::replay;

namespace {

/// Sanitizer builds set a lower count, since each history runs slower.
uint64_t
HistoryCount()
{
  const char* count = std::getenv("HIBISCUSNOTCH_HISTORIES");
  return count ? std::stoull(count) : 10'000;
}

} // namespace

TEST_CASE("all guarantees hold in random histories with overlapping faults")
{
  const uint64_t count = HistoryCount();
  std::atomic<uint64_t> next = 1;
  std::atomic<uint64_t> failed = 0;
  std::atomic<uint64_t> answered = 0;
  {
    std::vector<std::jthread> workers;
    for (unsigned i = 0; i < std::max(1U, std::thread::hardware_concurrency());
         ++i) {
      workers.emplace_back([&] {
        for (uint64_t seed = next++; seed <= count; seed = next++) {
          const RunStatistics statistics = SimulateHistory(MakeHistory(seed));
          answered += statistics.answered;
          if (statistics.violations.Total() + statistics.lost > 0) {
            ++failed;
            MESSAGE("reproduce: build/hibiscusnotch history --count 1 --seed "
                    << seed);
          }
        }
      });
    }
  }
  CHECK(failed == 0);
  CHECK(answered > count * 40);
}

TEST_CASE("the same seed gives the same history and the same result")
{
  const RunStatistics first = SimulateHistory(MakeHistory(77));
  const RunStatistics second = SimulateHistory(MakeHistory(77));
  CHECK(first.cost == second.cost);
  CHECK(first.answered == second.answered);
  CHECK(Summary(first) == Summary(second));
}
