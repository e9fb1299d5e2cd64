#include "hibiscusnotch/config/load_settings.hpp"

#include <cstdint>
#include <cstdlib>

/// Checks that decoding gives either settings or errors, never both or neither.
extern "C" int
LLVMFuzzerTestOneInput(const uint8_t* aData, size_t aSize)
{
  using namespace hibiscusnotch::config;
  std::vector<SettingsError> errors;
  const std::string text(reinterpret_cast<const char*>(aData), aSize);
  const auto tree = ParseYaml(text, "fuzz.yaml", errors);
  if (!tree) {
    return 0;
  }
  const LoadResult result = DecodeSettings(*tree);
  if (result.settings.has_value() != result.errors.empty()) {
    std::abort();
  }
  return 0;
}
