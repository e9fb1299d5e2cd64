/// @file
/// @brief A case of the rule DRAIN: runners leave soon after an outage of the
/// store, when it is stable again.
#include "kit.hpp"

#include <algorithm>
#include <cstdio>
#include <exception>

namespace review {

namespace {

constexpr double kDrainMs = 2000;
constexpr double kStableWindowMs = 3000;
constexpr double kOutageMs = 4600;
constexpr int kRounds = 8;
// Runners serve for drainMs and a little longer.
constexpr double kServedMs = 2100;

struct Bookings
{
  std::atomic<bool> stop{ false };
  std::atomic<int> sent{ 0 };
  std::atomic<int> good{ 0 };
  std::atomic<int> other{ 0 };
  std::mutex mutex;
  std::set<std::string> answered; ///< With success.
};

/// Sends bookings at a fixed pace, each on a connection of its own.
void
SendBookings(const std::string& aEntry, Record& aRecord, Bookings& aBookings)
{
  constexpr double kPaceMs = 20;
  std::vector<std::thread> open;
  double next = Now();
  while (!aBookings.stop) {
    const int number = ++aBookings.sent;
    open.emplace_back([&aEntry, &aRecord, &aBookings, number] {
      const std::string id = "booking-" + std::to_string(number);
      const auto connection = Connect(aEntry, kFrontPort);
      int status = 0;
      if (connection) {
        connection->SetReadTimeout(3500);
        connection->Write("POST /order/2f HTTP/1.1\r\nHost: shop.example\r\n"
                          "Request-Id: " +
                          id +
                          "\r\nDeadline-Ms: 3000\r\nApi-Key: key-1\r\n"
                          "Content-Length: 5\r\n\r\nhello");
        const Message answer = connection->Read(true);
        status = answer.complete ? answer.Status() : 0;
      }
      ++(status == 200 ? aBookings.good : aBookings.other);
      if (status == 200) {
        const std::lock_guard lock(aBookings.mutex);
        aBookings.answered.insert(id);
      }
      aRecord.Line("client: " + id + " answered " + std::to_string(status));
    });
    next += kPaceMs;
    SleepUntil(next);
  }
  for (std::thread& one : open) {
    one.join();
  }
}

int
Main(const std::string& aRoot, const std::string& aCase)
{
  Scene scene(aRoot, aCase);
  Record& record = scene.record;
  const std::string storeAddress = scene.Address(2);
  Store store(storeAddress, kStorePort, record);
  store.Put("config", "main", PlainConfiguration(7));
  std::vector<std::unique_ptr<Runner>> runners;
  const auto start = [&] {
    RunnerOptions options;
    options.id = "i-" + std::to_string(1000 + runners.size());
    options.service = "order-app";
    options.address = scene.Address(20 + static_cast<int>(runners.size()));
    options.port = 8080;
    options.zone = "macon";
    runners.push_back(std::make_unique<Runner>(options, store, record));
    runners.back()->Announce("ready");
  };
  start();
  start();
  EntryOptions options;
  options.name = "front-macon-1";
  options.address = scene.Address(3);
  options.store = storeAddress + ':' + std::to_string(kStorePort);
  options.seeds = { options.address + ":8229" };
  Entry entry(options, scene.root, scene.folder);
  if (!entry.AwaitReady(10000)) {
    record.Line("the entry does not become ready");
    return 2;
  }
  SleepMs(1000);
  Bookings bookings;
  std::thread sender([&] { SendBookings(options.address, record, bookings); });

  int late = 0;
  double worst = 0;
  for (int round = 0; round < kRounds; ++round) {
    if (scene.trouble) {
      record.Line("trouble: the store is silent");
      store.SetSilent(true);
    }
    SleepMs(kOutageMs);
    store.SetSilent(false);
    record.Line("the store answers");
    SleepMs(kStableWindowMs + 50);
    // Both leave without a word; their entries are removed one after the other.
    std::vector<std::pair<Runner*, double>> leaving;
    for (std::size_t number = runners.size() - 2; number < runners.size();
         ++number) {
      Runner& runner = *runners[number];
      leaving.emplace_back(&runner,
                           store.Remove("servers", runner.Options().id));
      record.Line("runner " + runner.Options().id +
                  ": removal of its entry acknowledged");
      SleepMs(100);
    }
    SleepUntil(leaving.back().second + kServedMs);
    for (const auto& [runner, removedAt] : leaving) {
      runner->Exit();
      for (const Run& run : runner->Runs()) {
        const double after = run.at - removedAt;
        if (after > kDrainMs) {
          ++late;
          worst = std::max(worst, after);
          record.Line("BROKEN: " + run.requestId + " reached " + run.runner +
                      " " + std::to_string(static_cast<int>(after)) +
                      " ms after its removal was acknowledged");
        }
      }
    }
    start();
    start();
    SleepMs(1500);
  }
  bookings.stop = true;
  sender.join();
  int lost = 0;
  for (const auto& runner : runners) {
    for (const Run& run : runner->Runs()) {
      if (!bookings.answered.contains(run.requestId)) {
        ++lost;
        record.Line("lost: " + run.requestId + " was run by " + run.runner);
      }
    }
  }
  const std::string sums =
    "bookings later than drainMs: " + std::to_string(late) + " (the latest " +
    std::to_string(static_cast<int>(worst)) +
    " ms); run without an answer: " + std::to_string(lost) + "; sent " +
    std::to_string(bookings.sent) +
    ", answered 200: " + std::to_string(bookings.good) +
    ", otherwise: " + std::to_string(bookings.other);
  record.Line(sums);
  std::printf("%s\n", sums.c_str());
  if (bookings.good == 0) {
    return 2;
  }
  return late > 0 ? 1 : 0;
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
