#include "hibiscusnotch/config/units.hpp"

#include <array>
#include <charconv>
#include <cmath>
#include <span>

namespace hibiscusnotch::config {

namespace {

struct Unit
{
  std::string_view name;
  double factor;
};

constexpr std::array kDurationUnits{
  Unit{ "us", 1 },     Unit{ "ms", 1e3 },   Unit{ "s", 1e6 },
  Unit{ "min", 60e6 }, Unit{ "h", 3600e6 },
};
constexpr std::array kSizeUnits{
  Unit{ "B", 1 },
  Unit{ "KiB", 1024.0 },
  Unit{ "MiB", 1024.0 * 1024 },
  Unit{ "GiB", 1024.0 * 1024 * 1024 },
};
// Whole numbers up to 2^53 (9.007e15) are exact in a double.
constexpr double kValueLimit = 9e15;

/// Parses a number with a unit; returns it in the smallest unit.
std::optional<double>
ParseWithUnit(std::string_view aText, std::span<const Unit> aUnits)
{
  double number = 0;
  const char* end = aText.data() + aText.size();
  const auto [rest, error] = std::from_chars(aText.data(), end, number);
  if (error != std::errc() || number < 0) {
    return std::nullopt;
  }
  const std::string_view name(rest, static_cast<std::size_t>(end - rest));
  for (const Unit& unit : aUnits) {
    const double value = number * unit.factor;
    if (unit.name == name && value < kValueLimit) {
      return value;
    }
  }
  return std::nullopt;
}

} // namespace

std::optional<core::Duration>
ParseDuration(std::string_view aText)
{
  const auto value = ParseWithUnit(aText, kDurationUnits);
  if (!value) {
    return std::nullopt;
  }
  return core::Duration(std::llround(*value));
}

std::optional<std::size_t>
ParseSize(std::string_view aText)
{
  const auto value = ParseWithUnit(aText, kSizeUnits);
  if (!value) {
    return std::nullopt;
  }
  return static_cast<std::size_t>(std::llround(*value));
}

std::optional<double>
ParseNumber(std::string_view aText)
{
  double number = 0;
  const char* end = aText.data() + aText.size();
  const auto [rest, error] = std::from_chars(aText.data(), end, number);
  if (error != std::errc() || rest != end || !std::isfinite(number)) {
    return std::nullopt;
  }
  return number;
}

} // namespace hibiscusnotch::config
