#include "commands.hpp"

#include "hibiscusnotch/cli/options.hpp"
#include "hibiscusnotch/edge/entry_instance.hpp"
#include "hibiscusnotch/observe/logger.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <iostream>

namespace hibiscusnotch::cli {

namespace {

/// Drains the instance on the first signal and stops it on the second.
void
WatchSignals(boost::asio::signal_set& aSignals,
             boost::asio::io_context& aContext,
             edge::EntryInstance& aInstance,
             bool aDraining)
{
  aSignals.async_wait(
    [&, aDraining](const boost::system::error_code& aError, int) {
      if (aError) {
        return;
      }
      if (aDraining) {
        aContext.stop();
        return;
      }
      aInstance.Drain();
      WatchSignals(aSignals, aContext, aInstance, true);
    });
}

} // namespace

int
RunServe(const Arguments& aArguments)
{
  boost::program_options::options_description description("Options");
  AddSettingsOptions(description, true);
  const ParsedOptions parsed =
    ParseOptions("serve",
                 "Runs one entry instance; SIGTERM drains it.",
                 description,
                 aArguments);
  if (parsed.exit) {
    return *parsed.exit;
  }
  const auto settings = LoadFromOptions(parsed.values);
  if (!settings) {
    return kExitFailed;
  }
  if (!settings->self.Valid()) {
    std::cerr
      << "hibiscusnotch serve: expected self.instance in the overlay, or "
         "--instance\n";
    return kExitFailed;
  }
  observe::StartLogging(settings->log);
  boost::asio::io_context context(1);
  edge::EntryOptions entry;
  entry.router.self = settings->self;
  entry.router.incarnation = edge::NewIncarnation();
  entry.router.seed = entry.router.incarnation;
  entry.onExit = [&context] { context.stop(); };
  const auto instance =
    edge::MakeEntryInstance(context, *settings, std::move(entry));
  boost::asio::signal_set signals(context, SIGTERM, SIGINT);
  WatchSignals(signals, context, *instance, false);
  context.run();
  instance->Kill();
  return kExitOk;
}

} // namespace hibiscusnotch::cli
