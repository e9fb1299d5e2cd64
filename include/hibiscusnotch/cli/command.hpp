/// @file
/// @brief The subcommands of the hibiscusnotch binary.
#pragma once

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace hibiscusnotch::cli {

/// @brief Exit codes.
inline constexpr int kExitOk = 0;
inline constexpr int kExitFailed = 1;
inline constexpr int kExitUsage = 2;

using Arguments = std::vector<std::string>;

/// @brief One subcommand.
struct Command
{
  std::string_view name;
  std::string_view summary;
  int (*run)(const Arguments& aArguments);
};

/// @brief All subcommands, in the order of the help page.
std::span<const Command>
Commands();

/// @brief Runs the command line; returns the exit code.
int
Run(const Arguments& aArguments);

} // namespace hibiscusnotch::cli
