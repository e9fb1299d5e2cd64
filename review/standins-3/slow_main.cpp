/// @file
/// @brief A case of the rule LOST: a machine gets SIGTERM while its callers are
/// still reading their answers.
#include "kit.hpp"

#include <csignal>
#include <cstdio>
#include <exception>

namespace review {

namespace {

constexpr int kClients = 6;
constexpr int kTimeoutMs = 20000;
constexpr std::size_t kAnswerBytes = 400'000;
// About 80 KB a second: an answer takes 5 s, and ends within graceS (8 s) of
// the signal, which comes while all of them are being read.
constexpr std::size_t kReadBytes = 1600;
constexpr double kPauseMs = 20;
constexpr int kReceiveBuffer = 16384;
constexpr double kSignalAfterMs = 700;
constexpr double kGraceMs = 8000;

struct Counts
{
  std::atomic<int> whole{ 0 };
  std::atomic<int> cut{ 0 };
  std::atomic<int> other{ 0 };
};

/// Sends a request on a connection that it has used before, and reads the
/// answer slowly.
void
Ask(const std::string& aEntry, int aNumber, Record& aRecord, Counts& aCounts)
{
  const bool unsafe = aNumber % 2 == 0;
  const std::string id =
    (unsafe ? "booking-" : "lookup-") + std::to_string(aNumber);
  const auto connection = Connect(aEntry, kFrontPort, 1000, kReceiveBuffer);
  if (!connection) {
    ++aCounts.other;
    return;
  }
  connection->SetReadTimeout(kTimeoutMs);
  std::string request =
    unsafe ? "POST /order/2f HTTP/1.1\r\n" : "GET /stock/2f HTTP/1.1\r\n";
  request += "Host: shop.example\r\nRequest-Id: " + id +
             "\r\nDeadline-Ms: " + std::to_string(kTimeoutMs) +
             "\r\nApi-Key: key-1\r\n";
  request += unsafe ? "Content-Length: 5\r\n\r\nhello" : "\r\n";
  const double sentAt = Now();
  connection->Write(request);
  std::string all;
  std::size_t due = 0;
  while (due == 0 || all.size() < due) {
    const std::string bytes = connection->ReadSome(kReadBytes);
    if (bytes.empty()) {
      break;
    }
    all += bytes;
    const std::size_t head = all.find("\r\n\r\n");
    if (due == 0 && head != std::string::npos) {
      due = head + 4 + kAnswerBytes;
    }
    SleepMs(kPauseMs);
  }
  const bool success = all.rfind("HTTP/1.1 200", 0) == 0;
  const bool whole = success && due > 0 && all.size() == due;
  ++(whole ? aCounts.whole : success ? aCounts.cut : aCounts.other);
  aRecord.Line("client: " + id +
               (whole     ? " has its whole answer"
                : success ? " BROKEN: its answer is cut off"
                          : " no success") +
               " after " + std::to_string(static_cast<int>(Now() - sentAt)) +
               " ms, " + std::to_string(all.size()) + " of " +
               std::to_string(due) + " bytes");
}

int
Main(const std::string& aRoot, const std::string& aCase)
{
  Scene scene(aRoot, aCase);
  Record& record = scene.record;
  const std::string storeAddress = scene.Address(2);
  Store store(storeAddress, kStorePort, record);
  store.Put("config", "main", PlainConfiguration(7, kTimeoutMs));
  std::vector<std::unique_ptr<Runner>> runners;
  for (int number = 0; number < 3; ++number) {
    RunnerOptions options;
    options.id = "i-" + std::to_string(1000 + number);
    options.service = "order-app";
    options.address = scene.Address(20 + number);
    options.port = 8080;
    options.zone = "macon";
    options.answerBytes = kAnswerBytes;
    runners.push_back(std::make_unique<Runner>(options, store, record));
    runners.back()->Announce("ready");
  }
  EntryOptions options;
  options.name = "front-macon-1";
  options.address = scene.Address(3);
  options.store = storeAddress + ':' + std::to_string(kStorePort);
  options.seeds = { options.address + ":8229" };
  options.moreContracts = { "pressure" }; // callers may read slowly
  Entry entry(options, scene.root, scene.folder);
  if (!entry.AwaitReady(10000)) {
    record.Line("the entry does not become ready");
    return 2;
  }
  SleepMs(1500);
  Counts counts;
  std::vector<std::thread> clients;
  for (int number = 0; number < kClients; ++number) {
    clients.emplace_back(
      [&, number] { Ask(options.address, number, record, counts); });
  }
  SleepMs(kSignalAfterMs);
  if (scene.trouble) {
    record.Line("trouble: SIGTERM");
    entry.Signal(SIGTERM);
    const bool ended = entry.AwaitEnd(kGraceMs);
    record.Line(ended ? "the process has ended" : "SIGKILL after graceS");
    if (!ended) {
      entry.Signal(SIGKILL);
    }
  }
  for (std::thread& client : clients) {
    client.join();
  }
  const std::string sums = "whole answers " + std::to_string(counts.whole) +
                           ", cut off " + std::to_string(counts.cut) +
                           ", other " + std::to_string(counts.other);
  record.Line(sums);
  std::printf("%s\n", sums.c_str());
  if (counts.whole + counts.cut < kClients) {
    return 2;
  }
  return counts.cut > 0 ? 1 : 0;
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
