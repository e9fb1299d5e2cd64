/// @file
/// @brief From a base file and an overlay to checked settings.
#pragma once

#include "hibiscusnotch/config/settings_tree.hpp"
#include "hibiscusnotch/core/settings.hpp"

#include <optional>
#include <string>
#include <vector>

namespace hibiscusnotch::config {

/// @brief Settings, or the faults that keep them from use.
struct LoadResult
{
  std::optional<core::Settings> settings;
  std::vector<Fault> faults;
};

/// @brief Reads, merges and checks.
/// @param aOverlayFile Empty: the base alone.
/// @param aInstance Empty: the instance that the files name.
LoadResult
LoadSettings(const std::string& aBaseFile,
             const std::string& aOverlayFile,
             const std::string& aInstance);

/// @brief Checks a merged tree.
LoadResult
ReadSettings(const Tree& aTree);

} // namespace hibiscusnotch::config
