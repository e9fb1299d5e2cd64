/// @file
/// @brief Parses values with units, such as "50ms", "1.7s" or "256MiB".
#pragma once

#include "hibiscusnotch/core/time.hpp"

#include <cstddef>
#include <optional>
#include <string_view>

namespace hibiscusnotch::config {

/// @brief Parses a duration in us, ms, s, min or h.
std::optional<core::Duration>
ParseDuration(std::string_view aText);

/// @brief Parses a size in B, KiB, MiB or GiB.
std::optional<std::size_t>
ParseSize(std::string_view aText);

/// @brief Parses a finite number.
std::optional<double>
ParseNumber(std::string_view aText);

} // namespace hibiscusnotch::config
