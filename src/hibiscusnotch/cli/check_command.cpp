#include "commands.hpp"

#include "hibiscusnotch/cli/options.hpp"
#include "platform/entry_process.hpp"

#include <iostream>

namespace hibiscusnotch::cli {

int
RunCheck(const Arguments& aArguments)
{
  boost::program_options::options_description options("Options");
  AddSettingsOptions(options, false);
  options.add_options()("settings",
                        boost::program_options::value<std::string>(),
                        "settings file of the platform, instead of --base");
  const ParsedOptions parsed =
    ParseOptions("check",
                 "Checks settings; prints one line for each error.",
                 options,
                 aArguments);
  if (parsed.exit) {
    return *parsed.exit;
  }
  if (parsed.values.contains("settings")) {
    const auto file = parsed.values["settings"].as<std::string>();
    if (!adapter::ValidateNodeSettings(file)) {
      return kExitFailed;
    }
    std::cout << file << ": ok\n";
    return kExitOk;
  }
  if (!parsed.values.contains("base")) {
    std::cerr << "hibiscusnotch check: --base or --settings is required\n"
                 "Try 'hibiscusnotch check --help'.\n";
    return kExitUsage;
  }
  const auto settings = LoadFromOptions(parsed.values);
  if (!settings) {
    return kExitFailed;
  }
  std::cout << settings->deployment << ": " << settings->instances.size()
            << " instances, " << settings->upstreams.size() << " upstreams, "
            << settings->versions.size() << " versions, "
            << settings->organisations.size() << " organisations: ok\n";
  return kExitOk;
}

} // namespace hibiscusnotch::cli
