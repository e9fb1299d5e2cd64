/// The store is silent for a moment. Later, when it is stable again, the
/// runners of a service are replaced one after the other.
#include "../standins/standins.hpp"

using namespace review;

namespace {

constexpr double kDrainS = 2.0;  // drainMs
constexpr double kStableS = 3.0; // stableWindowMs
constexpr double kSilentS = 1.5;
constexpr double kBeforeS = 0.6; // from the last change to the silence
constexpr int kRunners = 12;
constexpr int kReplaced = 6;
constexpr double kGapS = 0.78;     // between two steps of the release
constexpr double kStartS = 0.2;    // of the first step
constexpr double kNewFirstS = 0.2; // a new runner starts before the old drains
constexpr double kLingerS = 8.0;   // of a runner, after its report
constexpr int kClientsOfEntry = 3;
constexpr double kThinkS = 0.06;

std::string
Request(const std::string& aId)
{
  return "GET /stock/1 HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: " + aId +
         "\r\nApi-Key: key-1\r\nDeadline-Ms: 3000\r\nConnection: close\r\n\r\n";
}

struct Sent
{
  std::string to;
  double at = 0;
};

} // namespace

int
main(int aCount, char** aValues)
{
  const Run run = Run::FromArguments(aCount, aValues);
  Record record(run.caseFolder + "/record.txt");
  Store store(record);

  std::mutex mutex;
  std::map<std::string, Sent> sent;
  std::map<std::string, double> drainAcknowledgedAt;
  int late = 0;
  double latest = 0;
  const auto work = [&](Runner& aRunner, Connection& aTo, const Message& aGot) {
    const std::string id = aGot.Header("Request-Id");
    record.Line("runner " + aRunner.id + " gets " + id);
    {
      const std::scoped_lock lock(mutex);
      const auto acknowledged = drainAcknowledgedAt.find(aRunner.id);
      if (acknowledged != drainAcknowledgedAt.end()) {
        const double after = Now() - acknowledged->second;
        if (after > kDrainS) {
          ++late;
          latest = std::max(latest, after);
          record.Line("DRAIN broken: " + id + ", sent on by " + sent[id].to +
                      ", reaches " + aRunner.id + ' ' + std::to_string(after) +
                      " s after its draining was acknowledged");
        }
      }
    }
    Sleep(0.06);
    aTo.Write(FormatResponse(200,
                             "Request-Id: " + id + "\r\nResponse-Seal: seal-" +
                               aRunner.id + "\r\n",
                             "done"));
  };
  std::vector<std::unique_ptr<Runner>> runners;
  const char* zones[] = { "zone-a", "zone-b", "zone-c" };
  const auto addRunner = [&] {
    const int index = static_cast<int>(runners.size());
    const std::string ip = LoopbackIp(30 + index);
    runners.push_back(std::make_unique<Runner>("i-" + std::to_string(index + 1),
                                               "order-app",
                                               zones[index % 3],
                                               Endpoint{ ip, FreePort(ip) },
                                               work));
    store.Put("servers", runners.back()->id, runners.back()->Entry("ready", 6));
  };
  for (int index = 0; index < kRunners; ++index) {
    addRunner();
  }
  const json configuration = {
    { "version", 3 },
    { "routes",
      { { { "name", "stock-read" },
          { "hostname", "shop.example" },
          { "pathPrefix", "/stock/" },
          { "kind", "safe" },
          { "timeoutMs", 1500 },
          { "targetLatencyMs", 300 },
          { "priority", 2 },
          { "maxAttempts", 2 },
          { "service", "order-app" } } } },
    { "services", { { { "name", "order-app" } } } },
    { "limits", json::object() },
    { "tenants", { { { "name", "tenant-1" }, { "apiKeys", { "key-1" } } } } }
  };
  store.Put("config", "main", configuration.dump());

  std::vector<std::unique_ptr<Entry>> entries;
  const int zoneOfEntry[] = { 0, 0, 0, 1, 2 };
  for (int index = 0; index < 5; ++index) {
    entries.push_back(std::make_unique<Entry>(
      EntryOptions{ "front-" + std::to_string(index + 1),
                    zones[zoneOfEntry[index]],
                    index },
      store.Listen(),
      run.temporary));
    entries.back()->Start(run.program);
  }
  const auto finish = [&](int aCode, const std::string& aText) {
    entries.clear();
    Run::Finish(record, aCode, aText);
  };
  for (const auto& entry : entries) {
    if (!entry->AwaitReady(10)) {
      finish(2, entry->Name() + " is not ready");
    }
  }

  std::atomic<bool> done = false;
  std::map<int, int> answers;
  std::vector<std::thread> clients;
  for (std::size_t index = 0; index < 3; ++index) {
    for (int client = 0; client < kClientsOfEntry; ++client) {
      clients.emplace_back([&, index, client] {
        const Entry& to = *entries[index];
        for (int number = 1; !done; ++number) {
          const std::string id = "r" + std::to_string(index + 1) + '-' +
                                 std::to_string(client) + '-' +
                                 std::to_string(number);
          {
            const std::scoped_lock lock(mutex);
            sent[id] = { to.Name(), Now() };
          }
          record.Line("client sends " + id + " to " + to.Name());
          const auto answer = SendOnce(to.Front(), Request(id), 3.0);
          const int status = answer && answer->complete ? answer->status : 0;
          record.Line("client gets " + std::to_string(status) + " for " + id);
          {
            const std::scoped_lock lock(mutex);
            ++answers[status];
          }
          Sleep(kThinkS);
        }
      });
    }
  }
  Sleep(kStableS + 1);
  addRunner(); // an empty runner is added
  Sleep(kBeforeS);
  double start = Now();
  if (run.trouble) {
    start = store.GoSilent(kSilentS);
  }
  // The store is stable again, and all machines are in touch.
  start += kStableS;
  std::vector<std::thread> exits;
  for (int step = 0; step < kReplaced; ++step) {
    SleepUntil(start + kStartS + step * kGapS);
    addRunner();
    Sleep(kNewFirstS);
    Runner& old = *runners[static_cast<std::size_t>(step)];
    {
      const std::scoped_lock lock(mutex);
      drainAcknowledgedAt[old.id] =
        store.Put("servers", old.id, old.Entry("draining", 6));
    }
    exits.emplace_back([&store, &old, &record] {
      Sleep(kLingerS);
      store.Remove("servers", old.id);
      old.Stop();
      record.Line("runner " + old.id + " has exited");
    });
  }
  for (std::thread& one : exits) {
    one.join();
  }
  done = true;
  for (std::thread& client : clients) {
    client.join();
  }
  const std::scoped_lock lock(mutex);
  std::string text = std::to_string(late) +
                     " requests reached draining runners later than 2 s after "
                     "the acknowledgement, the last one after " +
                     std::to_string(latest) + " s; answers:";
  for (const auto& [status, count] : answers) {
    text += ' ' + std::to_string(status) + ": " + std::to_string(count);
  }
  finish(late > 0 ? 1 : 0, text);
}
