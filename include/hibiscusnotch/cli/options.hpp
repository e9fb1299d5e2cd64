/// @file
/// @brief Option parsing that all subcommands share.
#pragma once

#include "hibiscusnotch/cli/command.hpp"
#include "hibiscusnotch/core/settings.hpp"

#include <boost/program_options.hpp>
#include <optional>
#include <string>

namespace hibiscusnotch::cli {

/// @brief Parsed options, or the exit code that ends the command.
struct ParsedOptions
{
  boost::program_options::variables_map values;
  std::optional<int> exit;
};

/// @brief Parses the options; prints the help or the error.
/// @param aPositional The option that takes positional arguments; may be empty.
ParsedOptions
ParseOptions(const std::string& aCommand,
             const std::string& aDescription,
             boost::program_options::options_description aOptions,
             const Arguments& aArguments,
             const std::string& aPositional = "");

/// @brief Adds --base, --overlay and --instance.
void
AddSettingsOptions(boost::program_options::options_description& aOptions,
                   bool aRequired);

/// @brief Loads the settings that those options name; prints the errors.
std::optional<core::Settings>
LoadFromOptions(const boost::program_options::variables_map& aValues);

} // namespace hibiscusnotch::cli
