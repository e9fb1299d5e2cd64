#include "hibiscusnotch/config/load_settings.hpp"

#include <cstdint>
#include <cstdlib>

/// Bad settings give faults, never settings.
extern "C" int
LLVMFuzzerTestOneInput(const uint8_t* aData, size_t aSize)
{
  using namespace hibiscusnotch::config;
  std::vector<Fault> faults;
  const std::string text(reinterpret_cast<const char*>(aData), aSize);
  const auto tree = ParseTree(text, "fuzz.yaml", faults);
  if (!tree) {
    return 0;
  }
  const LoadResult result = ReadSettings(*tree);
  if (result.settings.has_value() != result.faults.empty()) {
    std::abort();
  }
  return 0;
}
