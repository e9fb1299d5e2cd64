/// @file
/// @brief The functions that run the subcommands.
#pragma once

#include "hibiscusnotch/cli/command.hpp"

namespace hibiscusnotch::cli {

int
RunCheck(const Arguments& aArguments);

int
RunReplay(const Arguments& aArguments);

int
RunEntry(const Arguments& aArguments);

int
RunServe(const Arguments& aArguments);

int
RunStandin(const Arguments& aArguments);

int
RunAdmin(const Arguments& aArguments);

int
RunDemo(const Arguments& aArguments);

int
RunHistory(const Arguments& aArguments);

int
RunTrace(const Arguments& aArguments);

} // namespace hibiscusnotch::cli
