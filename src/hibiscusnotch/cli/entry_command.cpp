#include "commands.hpp"

#include "hibiscusnotch/cli/options.hpp"
#include "platform/entry_process.hpp"

namespace hibiscusnotch::cli {

int
RunEntry(const Arguments& aArguments)
{
  boost::program_options::options_description description("Options");
  description.add_options()(
    "settings",
    boost::program_options::value<std::string>()->default_value(""),
    "settings file, instead of the one that the environment names");
  const ParsedOptions parsed = ParseOptions(
    "entry",
    "Runs one entry instance whose upstreams are declared in the platform's "
    "store.\nSIGTERM drains it, SIGHUP checks the settings file again.",
    description,
    aArguments);
  if (parsed.exit) {
    return *parsed.exit;
  }
  return adapter::RunOnPlatform(parsed.values["settings"].as<std::string>());
}

} // namespace hibiscusnotch::cli
