// Simulates a small fleet with pairs of overlapping faults; prints a summary.

#include "hibiscusnotch/replay/history.hpp"

#include <iostream>

using namespace hibiscusnotch::replay;

int
main()
{
  const History history = MakeHistory(1);
  std::cout << history.settings.instances.size() << " instances, "
            << history.settings.upstreams.size() << " upstreams\n"
            << Summary(SimulateHistory(history));
  return 0;
}
