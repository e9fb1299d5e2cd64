#include "hibiscusnotch/cli/options.hpp"

#include "hibiscusnotch/config/load_settings.hpp"

#include <iostream>

namespace hibiscusnotch::cli {

namespace options = boost::program_options;

ParsedOptions
ParseOptions(const std::string& aCommand,
             const std::string& aAbout,
             options::options_description aOptions,
             const Arguments& aArguments,
             const std::string& aPositional)
{
  ParsedOptions parsed;
  aOptions.add_options()("help,h", "show this page");
  options::positional_options_description positional;
  if (!aPositional.empty()) {
    positional.add(aPositional.c_str(), -1);
  }
  try {
    options::store(options::command_line_parser(aArguments)
                     .options(aOptions)
                     .positional(positional)
                     .run(),
                   parsed.values);
    if (parsed.values.contains("help")) {
      std::cout << "Usage: hibiscusnotch " << aCommand << " [options]\n"
                << aAbout << "\n\n"
                << aOptions;
      parsed.exit = kExitOk;
      return parsed;
    }
    options::notify(parsed.values);
  } catch (const options::error& aError) {
    std::cerr << "hibiscusnotch " << aCommand << ": " << aError.what()
              << "\nTry 'hibiscusnotch " << aCommand << " --help'.\n";
    parsed.exit = kExitUsage;
  }
  return parsed;
}

void
AddSettingsOptions(options::options_description& aOptions, bool aRequired)
{
  auto* base = options::value<std::string>();
  auto add = aOptions.add_options();
  add("base", aRequired ? base->required() : base, "base settings file");
  add("overlay",
      options::value<std::string>()->default_value(""),
      "overlay file of this zone");
  add("instance",
      options::value<std::string>()->default_value(""),
      "the instance to run, instead of the overlay's");
}

std::optional<core::Settings>
LoadFromOptions(const options::variables_map& aValues)
{
  config::LoadResult loaded =
    config::LoadSettings(aValues["base"].as<std::string>(),
                         aValues["overlay"].as<std::string>(),
                         aValues["instance"].as<std::string>());
  for (const config::SettingsError& error : loaded.errors) {
    std::cerr << config::ToString(error) << '\n';
  }
  return std::move(loaded.settings);
}

} // namespace hibiscusnotch::cli
