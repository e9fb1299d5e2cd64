#include "commands.hpp"

#include "hibiscusnotch/cli/options.hpp"
#include "hibiscusnotch/config/load_settings.hpp"
#include "hibiscusnotch/edge/entry_instance.hpp"
#include "hibiscusnotch/observe/logger.hpp"
#include "hibiscusnotch/replay/live_replay.hpp"
#include "hibiscusnotch/replay/virtual_replay.hpp"
#include "hibiscusnotch/standin/standin_server.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <fstream>
#include <future>
#include <iostream>
#include <mutex>

namespace hibiscusnotch::cli {

namespace {

namespace options = boost::program_options;

constexpr auto kRestartDelay = std::chrono::milliseconds(700);
constexpr auto kWarmUpTime = std::chrono::milliseconds(1200);

/// Prints a line; the deployments' threads must not interleave.
void
PrintLine(const std::string& aLine)
{
  static std::mutex kMutex;
  const std::lock_guard lock(kMutex);
  std::cout << aLine << std::endl;
}

/// All instances and stand-ins of one deployment in this process, on loopback
/// sockets.
class DemoDeployment
{
public:
  explicit DemoDeployment(const core::Settings& aSettings)
    : settings_(aSettings)
    , timer_(context_)
  {
    standins_.push_back(standin::MakePlatformServer(context_, settings_, {}));
    standins_.push_back(standin::MakeRaterServer(context_, settings_, 1));
    for (uint32_t i = 0; i < settings_.upstreams.size(); ++i) {
      standins_.push_back(standin::MakeUpstreamServer(
        context_, settings_, core::UpstreamId{ i }, true));
    }
    instances_.resize(settings_.instances.size());
    for (uint32_t i = 0; i < instances_.size(); ++i) {
      StartInstance(core::InstanceId{ i });
    }
  }

  replay::LiveReplayResult Replay(const replay::Trace& aTrace)
  {
    replay::LiveReplayOptions live;
    for (const core::Instance& instance : settings_.instances) {
      live.targets.push_back(instance.callers);
    }
    live.operatorKey = "key-operator";
    live.keyOf = [](const core::Organisation& aOrganisation) {
      return "key-" + aOrganisation.name;
    };
    live.onInstanceEvent = [this](const replay::TraceEvent& aEvent) {
      return OnInstanceEvent(aEvent);
    };
    live.onProgress = PrintLine;
    context_.run_for(kWarmUpTime);
    replay::LiveReplayResult result =
      replay::RunLiveReplay(context_, settings_, aTrace, live);
    for (const standin::Observation& observation : shutdownObservations_) {
      result.observations.push_back(observation);
    }
    return result;
  }

private:
  void StartInstance(core::InstanceId aId)
  {
    edge::EntryOptions entry;
    entry.router.self = aId;
    entry.router.incarnation = edge::NewIncarnation();
    entry.router.seed = aId.value + 1;
    entry.onExit = [this, aId] { OnInstanceExit(aId); };
    instances_[aId.value] =
      edge::MakeEntryInstance(context_, settings_, std::move(entry));
  }

  void OnInstanceExit(core::InstanceId aId)
  {
    const std::size_t open = instances_[aId.value]->OpenRequests();
    shutdownObservations_.push_back(
      standin::CutByShutdown{ core::TimePoint{}, aId, open });
    RestartInstance(aId);
  }

  /// Kills an instance and starts its successor after a delay.
  void RestartInstance(core::InstanceId aId)
  {
    instances_[aId.value]->Kill();
    timer_.expires_after(kRestartDelay);
    timer_.async_wait([this, aId](const boost::system::error_code&) {
      stoppedInstances_.push_back(std::move(instances_[aId.value]));
      StartInstance(aId);
    });
  }

  bool OnInstanceEvent(const replay::TraceEvent& aEvent)
  {
    if (aEvent.kind == replay::TraceEventKind::InstanceReplace) {
      instances_[aEvent.instance.value]->Drain();
      return true;
    }
    if (aEvent.kind == replay::TraceEventKind::InstanceKill) {
      RestartInstance(aEvent.instance);
      return true;
    }
    return false;
  }

  const core::Settings& settings_;
  boost::asio::io_context context_;
  boost::asio::steady_timer timer_;
  std::vector<std::unique_ptr<standin::StandinServer>> standins_;
  std::vector<std::unique_ptr<edge::EntryInstance>> instances_;
  /// Kept because their last handlers may still run.
  std::vector<std::unique_ptr<edge::EntryInstance>> stoppedInstances_;
  standin::Observations shutdownObservations_;
};

/// The input and the result of one deployment's demo.
struct DemoRun
{
  std::string name;
  std::string directory;
  std::string summary;
  bool passed = false;
};

bool
ReadJson(const std::string& aFile, nlohmann::json& aJson)
{
  std::ifstream stream(aFile);
  aJson = nlohmann::json::parse(stream, nullptr, false);
  return aJson.is_object();
}

void
RunDeployment(DemoRun& aRun)
{
  const std::string base =
    aRun.directory + "/deploy/" + aRun.name + "/base.yaml";
  const config::LoadResult loaded = config::LoadSettings(base, "", "");
  for (const config::SettingsError& error : loaded.errors) {
    aRun.summary += config::ToString(error) + "\n";
  }
  if (!loaded.settings) {
    return;
  }
  const std::string stem = aRun.directory + "/traces/" + aRun.name + "-monday";
  std::ifstream stream(stem + ".jsonl");
  const auto trace =
    replay::ReadTrace(*loaded.settings, stream, stem + ".jsonl", aRun.summary);
  nlohmann::json expected;
  if (!trace || !ReadJson(stem + ".expect.json", expected)) {
    aRun.summary += stem + ": cannot be read\n";
    return;
  }
  DemoDeployment deployment(*loaded.settings);
  const replay::LiveReplayResult result = deployment.Replay(*trace);
  const replay::RunStatistics statistics = replay::ComputeStatistics(
    *loaded.settings, result.observations, result.cost);
  nlohmann::ordered_json report;
  report["deployment"] = aRun.name;
  report["seed"] = 1;
  report.update(replay::ToJson(statistics));
  report["mode"] = "live";
  report["skipped_events"] = result.skippedEvents;
  report["baselines_mode"] = "virtual";
  report["baselines"] = replay::BaselineReports(*loaded.settings, *trace, 1);
  std::ofstream out("build/report-" + aRun.name + ".json");
  out << report.dump(2) << '\n';
  aRun.summary = replay::Summary(statistics);
  const auto failures = replay::CheckExpectations(expected, statistics);
  for (const std::string& failure : failures) {
    aRun.summary += "  does not hold: " + failure + "\n";
  }
  aRun.passed = failures.empty() && out.good();
}

} // namespace

int
RunDemo(const Arguments& aArguments)
{
  options::options_description description("Options");
  description.add_options()("directory",
                            options::value<std::string>()->default_value("."),
                            "directory of the repository");
  const ParsedOptions parsed =
    ParseOptions("demo",
                 "Runs both deployments on loopback sockets and replays their "
                 "Monday traces.",
                 description,
                 aArguments);
  if (parsed.exit) {
    return *parsed.exit;
  }
  observe::StartLogging(core::LogSettings{ core::LogLayout::Plain, "error" });
  std::vector<DemoRun> runs{ { "chattahoochee", "", "", false },
                             { "tripa-dorada", "", "", false } };
  std::vector<std::future<void>> tasks;
  for (DemoRun& run : runs) {
    run.directory = parsed.values["directory"].as<std::string>();
    tasks.push_back(
      std::async(std::launch::async, [&run] { RunDeployment(run); }));
  }
  for (auto& task : tasks) {
    task.get();
  }
  bool passed = true;
  for (const DemoRun& run : runs) {
    std::cout << run.name
              << (run.passed ? ": all outcomes hold\n" : ": FAILED\n")
              << run.summary << "  report: build/report-" << run.name
              << ".json\n";
    passed = passed && run.passed;
  }
  return passed ? kExitOk : kExitFailed;
}

} // namespace hibiscusnotch::cli
