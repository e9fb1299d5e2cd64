/// @file
/// @brief Loads and validates the settings of a base file and an overlay.
#pragma once

#include "hibiscusnotch/config/settings_tree.hpp"
#include "hibiscusnotch/core/settings.hpp"

#include <optional>
#include <string>
#include <vector>

namespace hibiscusnotch::config {

/// @brief The settings, or the errors that make them unusable.
struct LoadResult
{
  std::optional<core::Settings> settings;
  std::vector<SettingsError> errors;
};

/// @brief Reads, merges and validates the files.
/// @param aOverlayFile If empty, only the base is read.
/// @param aInstance If empty, the files name the instance.
LoadResult
LoadSettings(const std::string& aBaseFile,
             const std::string& aOverlayFile,
             const std::string& aInstance);

/// @brief Decodes and validates a merged tree.
LoadResult
DecodeSettings(const SettingsNode& aNode);

} // namespace hibiscusnotch::config
