// Plays one small world with faults two at a time and prints its summary.

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
