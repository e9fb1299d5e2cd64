#include "hibiscusnotch/cli/command.hpp"

#include "commands.hpp"

#include <array>
#include <iostream>

namespace hibiscusnotch::cli {

namespace {

constexpr std::string_view kVersion = "0.1.0";

constexpr std::array kCommands{
  Command{ "check", "parse, merge and check settings", RunCheck },
  Command{ "serve", "run one entry instance", RunServe },
  Command{ "entry", "run one entry instance on the platform", RunEntry },
  Command{ "admin", "show and change the configuration", RunAdmin },
  Command{ "stand-in",
           "run a stand-in of an engine, service, platform or rater",
           RunStandin },
  Command{ "demo", "run and replay both deployments in one process", RunDemo },
  Command{ "replay", "replay a trace and check its outcomes", RunReplay },
  Command{ "history", "simulate seeded fleets with many faults", RunHistory },
  Command{ "trace", "generate a trace", RunTrace },
};

void
PrintHelp(std::ostream& aStream)
{
  aStream << "Usage: hibiscusnotch COMMAND [options]\n"
             "A model-aware router for versions and cascades.\n\nCommands:\n";
  for (const Command& command : kCommands) {
    aStream << "  " << command.name
            << std::string(12 - command.name.size(), ' ') << command.summary
            << '\n';
  }
  aStream << "\nOptions:\n  --help       show this page\n"
             "  --version    show the version\n\n"
             "'hibiscusnotch COMMAND --help' shows a command's options.\n";
}

} // namespace

std::span<const Command>
Commands()
{
  return kCommands;
}

int
Run(const Arguments& aArguments)
{
  if (aArguments.empty()) {
    PrintHelp(std::cerr);
    return kExitUsage;
  }
  const std::string& first = aArguments.front();
  if (first == "--help" || first == "-h") {
    PrintHelp(std::cout);
    return kExitOk;
  }
  if (first == "--version") {
    std::cout << "hibiscusnotch " << kVersion << '\n';
    return kExitOk;
  }
  for (const Command& command : kCommands) {
    if (command.name == first) {
      return command.run({ aArguments.begin() + 1, aArguments.end() });
    }
  }
  std::cerr << "hibiscusnotch: unknown command or option '" << first
            << "'\nTry 'hibiscusnotch --help'.\n";
  return kExitUsage;
}

} // namespace hibiscusnotch::cli
