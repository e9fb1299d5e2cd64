/// An entry of another writer, in which one field has another type.
#include "../standins-2/entry.hpp"

using namespace review;

namespace {

constexpr int kMachines = 3;
constexpr int kRunners = 3;
constexpr std::size_t kEmptyTables = 340'000;  // an object of 1,020 kB
constexpr std::size_t kValueBytes = 1'048'576; // valueBytes of the settings
constexpr long kMemoryKb = 110 * 1024;         // memoryMb of the settings
constexpr double kCalmMs = 5000;               // before the entry
constexpr double kWatchedMs = 20000;           // after it
constexpr double kRestartMs = 500;
constexpr double kHeartbeatMs = 1200; // heartbeatMs of the settings
constexpr int kOwnEnds = 3;           // of a machine, as the rule counts them
constexpr int kMachinesCounted = 2;

/// Memory of the process's own, without the pages of its files.
long
AnonymousKb(pid_t aPid)
{
  std::ifstream status("/proc/" + std::to_string(aPid) + "/status");
  for (std::string line; std::getline(status, line);) {
    if (line.rfind("RssAnon:", 0) == 0) {
      return std::atol(line.c_str() + 8);
    }
  }
  return 0;
}

/// A sound runner of the order application.
void
ServeRunner(int aFd, const std::string& aName, std::atomic<int>& aRuns)
{
  Reader reader(aFd);
  Message request;
  if (!reader.Read(request, false)) {
    return;
  }
  const std::string id = Find(request.headers, "Request-Id");
  if (id.empty()) {
    SendAll(aFd,
            FormatMessage("HTTP/1.1 200 OK", { { "Instance", aName } }, ""));
    return;
  }
  if (Find(request.headers, "Expect-Instance") != aName) {
    SendAll(aFd, FormatMessage("HTTP/1.1 421 Misdirected Request", {}, ""));
    return;
  }
  ++aRuns;
  SleepMs(20);
  SendAll(
    aFd,
    FormatMessage("HTTP/1.1 200 OK",
                  { { "Request-Id", id }, { "Response-Seal", "seal." + id } },
                  "in stock"));
  SleepMs(50);
}

/// The status of a request to the machine; zero if there is no answer.
int
Call(const Address& aMachine, int aNumber)
{
  const int fd = Connect(aMachine);
  if (fd < 0) {
    return 0;
  }
  SendAll(fd,
          "GET /stock/a HTTP/1.1\r\nHost: dispatch.example\r\n"
          "Api-Key: key-one\r\nDeadline-Ms: 1000\r\nRequest-Id: r" +
            std::to_string(aNumber) + "\r\n\r\n");
  Reader reader(fd);
  reader.SetDeadline(NowMs() + 1200);
  Message answer;
  const bool complete = reader.Read(answer, true);
  close(fd);
  return complete ? answer.Status() : 0;
}

/// One machine of the platform: starts its process again when it has ended, and
/// ends it when it exceeds its memory.
struct Machine
{
  std::unique_ptr<Entry> entry;
  int ends = 0;
  long peak = 0;
  double startAt = 0; ///< Zero while the process runs.
};

void
Attend(Machine& aMachine, Record& aRecord)
{
  Entry& entry = *aMachine.entry;
  if (aMachine.startAt > 0) {
    if (NowMs() >= aMachine.startAt) {
      aMachine.startAt = 0;
      entry.Start();
    }
    return;
  }
  const std::string& name = entry.Options().name;
  const long used = AnonymousKb(entry.Pid());
  aMachine.peak = std::max(aMachine.peak, used);
  if (used > kMemoryKb) {
    aRecord.Write(name + " uses " + std::to_string(used) + " KB of " +
                  std::to_string(kMemoryKb) + ": the platform kills it");
    entry.Signal(SIGKILL);
    entry.AwaitEnd(1000);
  } else if (!entry.AwaitEnd(0.001)) {
    return;
  } else {
    aRecord.Write(name + " has ended, status " +
                  std::to_string(entry.Status()));
  }
  ++aMachine.ends;
  aMachine.startAt = NowMs() + kRestartMs;
}

} // namespace

int
main(int aCount, char** aArguments)
{
  std::signal(SIGPIPE, SIG_IGN);
  Record record(aCount > 1 ? aArguments[1] : "record.txt");
  const Folder folder;
  std::atomic<int> runs = 0;
  Store store({ LoopbackIp(1), 0 });
  store.Put("config", "main", Configuration(7));
  std::vector<std::unique_ptr<Server>> runners;
  for (int index = 0; index < kRunners; ++index) {
    const std::string name = "i-" + std::to_string(index);
    runners.push_back(std::make_unique<Server>(
      Address{ LoopbackIp(10 + index), 0 },
      [name, &runs](int aFd) { ServeRunner(aFd, name, runs); }));
    store.Put("servers", name, RunnerEntry(runners.back()->At(), "macon", 1));
  }
  std::vector<Machine> machines(kMachines);
  for (int index = 0; index < kMachines; ++index) {
    EntryOptions options;
    options.name = "front-macon-" + std::to_string(index + 1);
    options.ip = LoopbackIp(20 + index);
    options.store = store.At();
    machines[static_cast<std::size_t>(index)].entry =
      std::make_unique<Entry>(options, folder.Path());
  }
  for (const Machine& machine : machines) {
    Require(machine.entry->AwaitReady(), "an instance does not get ready");
  }

  std::vector<Address> fronts;
  for (const Machine& machine : machines) {
    fronts.push_back(machine.entry->Front());
  }
  std::atomic<bool> done = false;
  std::atomic<bool> written = false;
  std::map<std::string, int> answers;
  std::thread caller([&] {
    for (int number = 0; !done; ++number) {
      const bool after = written;
      const int status =
        Call(fronts[static_cast<std::size_t>(number) % fronts.size()], number);
      ++answers[std::string(after ? "after" : "before") + " the entry: " +
                (status == 0 ? "no answer" : std::to_string(status))];
      SleepMs(20);
    }
  });

  json entry = RunnerEntry({ LoopbackIp(9), 8080 }, "macon", 1);
  entry["service"] = json::array();
  for (std::size_t index = 0; index < (TroubleIsOn() ? kEmptyTables : 10);
       ++index) {
    entry["service"].push_back(json::object());
  }
  const std::size_t size = entry.dump().size();
  Require(size < kValueBytes - 1024,
          "the entry is longer than the store takes");
  const double end = NowMs() + kCalmMs + kWatchedMs;
  double nextWrite = end - kWatchedMs;
  int sequence = 0;
  while (NowMs() < end) {
    if (NowMs() >= nextWrite) {
      nextWrite += kHeartbeatMs;
      if (!written) {
        for (const Machine& machine : machines) {
          Require(machine.ends == 0, "a process has ended before the entry");
        }
        record.Write("another writer's entry, " + std::to_string(size) +
                     " bytes, comes into the store");
        written = true;
      }
      // As runners do, the other writer writes it at each heartbeat.
      entry["slots"] = 1 + sequence % 2;
      entry["sequence"] = ++sequence;
      store.Put("servers", "of-another-writer", entry);
    }
    for (Machine& machine : machines) {
      Attend(machine, record);
    }
    SleepMs(2);
  }
  done = true;
  caller.join();

  int counted = 0;
  std::string text;
  for (const Machine& machine : machines) {
    counted += machine.ends >= kOwnEnds ? 1 : 0;
    text += ' ' + machine.entry->Options().name + ' ' +
            std::to_string(machine.ends) + " times (at most " +
            std::to_string(machine.peak) + " KB)";
  }
  for (const auto& [what, count] : answers) {
    record.Write("answers " + what + ", " + std::to_string(count) + " times");
  }
  record.Write("ended over the limit of memory:" + text);
  std::cout << "Fault: ended over the limit:" << text << '\n';
  Finish(counted >= kMachinesCounted ? 1 : 0);
}
