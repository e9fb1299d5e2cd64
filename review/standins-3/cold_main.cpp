/// @file
/// @brief A case of the rule FAILBACK: machines are stopped in turn while
/// runners come back cold.
#include "kit.hpp"

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <exception>

namespace review {

namespace {

constexpr int kEntries = 8;
constexpr int kRunners = 2;
constexpr int kClientsPerEntry = 3;
// A client's pause between its requests.
constexpr double kPaceMs = 200;
// 10 a second, 1.5 times of it and 5 more (coldPerS, coldOvershoot, coldSlack).
constexpr std::size_t kAllowed = 20;
constexpr double kWindowMs = 1000;
constexpr int kColdMs = 3000;
// Of runners that come back together.
constexpr double kDownMs = 2000;
constexpr double kRollGapMs = 1000;
constexpr int kRolled = 6;
// The load balancer takes a machine out after two failed checks, one a second.
constexpr double kOutOfRotationMs = 2000;

struct Machine
{
  EntryOptions options;
  std::unique_ptr<Entry> entry;
  std::atomic<double> stoppedAt{ -1 }; ///< -1 while it is in rotation.
};

struct Sent
{
  std::mutex mutex;
  std::map<std::string, double> at; ///< By request.
  std::atomic<int> good{ 0 };
  std::atomic<int> refused{ 0 };
  std::atomic<int> other{ 0 };
};

using Machines = std::vector<std::unique_ptr<Machine>>;

/// The machine itself, or the next one in rotation.
const Machine&
Choose(const Machines& aMachines, std::size_t aNumber)
{
  for (std::size_t step = 0; step < aMachines.size(); ++step) {
    const Machine& machine = *aMachines[(aNumber + step) % aMachines.size()];
    const double stoppedAt = machine.stoppedAt;
    if (stoppedAt < 0 || Now() - stoppedAt < kOutOfRotationMs) {
      return machine;
    }
  }
  return *aMachines[aNumber];
}

void
SendLookups(const Machines& aMachines,
            std::size_t aMachine,
            const std::string& aName,
            const std::atomic<bool>& aStop,
            Sent& aSent,
            Record& aRecord)
{
  for (int number = 0; !aStop; ++number) {
    const double next = Now() + kPaceMs;
    const std::string id = aName + '-' + std::to_string(number);
    const Machine& machine = Choose(aMachines, aMachine);
    {
      const std::lock_guard lock(aSent.mutex);
      aSent.at[id] = Now();
    }
    const auto connection = Connect(machine.options.address, kFrontPort);
    int status = 0;
    if (connection) {
      connection->SetReadTimeout(3000);
      connection->Write("GET /stock/2f HTTP/1.1\r\nHost: shop.example\r\n"
                        "Request-Id: " +
                        id + "\r\nDeadline-Ms: 3000\r\nApi-Key: key-1\r\n\r\n");
      const Message answer = connection->Read(true);
      status = answer.complete ? answer.Status() : 0;
    }
    ++(status == 200   ? aSent.good
       : status == 503 ? aSent.refused
                       : aSent.other);
    aRecord.Line("client: " + id + " to " + machine.options.name +
                 " answered " + std::to_string(status));
    SleepUntil(next);
  }
}

/// Stops the machines one after the other and starts each again.
void
Roll(Machines& aMachines, const Scene& aScene, Record& aRecord)
{
  std::vector<std::thread> restarts;
  for (std::size_t number = 0; number < kRolled; ++number) {
    const double next = Now() + kRollGapMs;
    Machine& machine = *aMachines[number];
    machine.stoppedAt = Now();
    aRecord.Line("trouble: SIGTERM to " + machine.options.name);
    machine.entry->Signal(SIGTERM);
    restarts.emplace_back([&machine, &aScene, &aRecord] {
      constexpr double kGraceMs = 8000;
      machine.entry->AwaitEnd(kGraceMs);
      machine.entry =
        std::make_unique<Entry>(machine.options, aScene.root, aScene.folder);
      if (machine.entry->AwaitReady(kGraceMs)) {
        aRecord.Line(machine.options.name + " is back");
        machine.stoppedAt = -1;
      }
    });
    SleepUntil(next);
  }
  for (std::thread& restart : restarts) {
    restart.join();
  }
}

/// The most requests of one second: those that were sent and arrived in it.
std::size_t
MostInOneSecond(const std::vector<Run>& aRuns, Sent& aSent, double& aFrom)
{
  std::size_t most = 0;
  const std::lock_guard lock(aSent.mutex);
  for (const Run& first : aRuns) {
    const double from = aSent.at[first.requestId];
    const auto count = static_cast<std::size_t>(
      std::count_if(aRuns.begin(), aRuns.end(), [&](const Run& aRun) {
        return aSent.at[aRun.requestId] >= from && aRun.at < from + kWindowMs;
      }));
    if (count > most) {
      most = count;
      aFrom = from;
    }
  }
  return most;
}

json
ColdConfiguration()
{
  json configuration = PlainConfiguration(7);
  configuration["services"][0]["coldStartS"] = kColdMs / 1000.0;
  configuration["services"][0]["coldPerS"] = 10.0;
  return configuration;
}

int
Main(const std::string& aRoot, const std::string& aCase)
{
  Scene scene(aRoot, aCase);
  Record& record = scene.record;
  const std::string storeAddress = scene.Address(2);
  Store store(storeAddress, kStorePort, record);
  store.Put("config", "main", ColdConfiguration());
  std::vector<std::unique_ptr<Runner>> runners;
  const auto start = [&](int aColdMs) {
    for (int number = 0; number < kRunners; ++number) {
      RunnerOptions options;
      options.id = "i-" + std::to_string(1000 + runners.size());
      options.service = "order-app";
      options.address = scene.Address(20 + static_cast<int>(runners.size()));
      options.port = 8080;
      options.zone = "macon";
      options.workMs = 20;
      options.slots = 64;
      options.coldMs = aColdMs;
      runners.push_back(std::make_unique<Runner>(options, store, record));
      runners.back()->Announce("ready");
    }
  };
  start(0);
  Machines machines;
  const char* const zones[] = { "macon", "valdosta", "albany" };
  for (int number = 0; number < kEntries; ++number) {
    auto machine = std::make_unique<Machine>();
    machine->options.name = "front-" + std::to_string(number + 1);
    machine->options.address = scene.Address(100 + number);
    machine->options.zone = zones[number % 3];
    machine->options.store = storeAddress + ':' + std::to_string(kStorePort);
    machine->options.seeds = { scene.Address(100) + ":8229",
                               scene.Address(101) + ":8229",
                               scene.Address(102) + ":8229" };
    machine->entry =
      std::make_unique<Entry>(machine->options, scene.root, scene.folder);
    machine->options.bootstrap = false;
    machines.push_back(std::move(machine));
  }
  for (const auto& machine : machines) {
    if (!machine->entry->AwaitReady(10000)) {
      record.Line(machine->options.name + " does not become ready");
      return 2;
    }
  }
  SleepMs(4000);
  Sent sent;
  std::atomic<bool> stop{ false };
  std::vector<std::thread> clients;
  for (std::size_t machine = 0; machine < kEntries; ++machine) {
    for (int number = 0; number < kClientsPerEntry; ++number) {
      clients.emplace_back([&, machine, number] {
        SendLookups(machines,
                    machine,
                    "lookup-" + std::to_string(machine) + '-' +
                      std::to_string(number),
                    stop,
                    sent,
                    record);
      });
    }
  }
  SleepMs(3000);
  for (const auto& runner : runners) {
    record.Line("trouble: runner " + runner->Options().id + " crashes");
    runner->Exit();
  }
  std::thread roll;
  if (scene.trouble) {
    roll = std::thread([&] { Roll(machines, scene, record); });
  }
  SleepMs(kDownMs);
  for (int number = 0; number < kRunners; ++number) {
    store.Remove("servers", "i-" + std::to_string(1000 + number));
  }
  start(kColdMs);
  SleepMs(kColdMs);
  if (roll.joinable()) {
    roll.join();
  }
  stop = true;
  for (std::thread& client : clients) {
    client.join();
  }
  std::size_t most = 0;
  for (std::size_t number = kRunners; number < runners.size(); ++number) {
    Runner& runner = *runners[number];
    std::vector<Run> cold;
    for (const Run& run : runner.Runs()) {
      if (run.at < runner.AnnouncedAt() + kColdMs) {
        cold.push_back(run);
      }
    }
    double from = 0;
    const std::size_t count = MostInOneSecond(cold, sent, from);
    record.Line("runner " + runner.Options().id + ": " + std::to_string(count) +
                " requests in the second from " +
                std::to_string(static_cast<int>(from)) + ", " +
                std::to_string(kAllowed) + " allowed" +
                (count > kAllowed ? " BROKEN" : ""));
    most = std::max(most, count);
  }
  const std::string sums =
    "most requests of a cold runner in a second: " + std::to_string(most) +
    "; answered 200: " + std::to_string(sent.good) +
    ", refused: " + std::to_string(sent.refused) +
    ", otherwise: " + std::to_string(sent.other);
  record.Line(sums);
  std::printf("%s\n", sums.c_str());
  if (most == 0) {
    return 2;
  }
  return most > kAllowed ? 1 : 0;
}

} // namespace

} // namespace review

int
main(int aCount, char** aArguments)
{
  if (aCount != 3) {
    std::fprintf(stderr, "usage: ROOT CASE\n");
    return 2;
  }
  try {
    return review::Main(aArguments[1], aArguments[2]);
  } catch (const std::exception& aError) {
    std::fprintf(stderr, "%s\n", aError.what());
    return 2;
  }
}
