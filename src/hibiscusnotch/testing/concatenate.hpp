/// @file
/// @brief Joins the parts of a message in tests.
#pragma once

#include <initializer_list>
#include <string>
#include <string_view>

namespace hibiscusnotch::testing {

inline std::string
Concatenate(std::initializer_list<std::string_view> aParts)
{
  std::string text;
  for (const std::string_view part : aParts) {
    text += part;
  }
  return text;
}

} // namespace hibiscusnotch::testing
