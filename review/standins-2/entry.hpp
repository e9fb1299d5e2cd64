/// @file
/// @brief Entry instances as separate processes, started as the deploy file
/// says, with the settings of a small deployment.
#pragma once

#include "store.hpp"

#include <filesystem>
#include <sys/prctl.h>
#include <sys/wait.h>

namespace review {

/// What has to be undone at the end of a case, the last first.
inline std::vector<std::function<void()>>&
Cleanups()
{
  static std::vector<std::function<void()>> sCleanups;
  return sCleanups;
}

/// Ends the processes that the case has started, removes its folder, and ends
/// the case without waiting for the threads of its stand-ins.
[[noreturn]] inline void
Finish(int aCode)
{
  auto& cleanups = Cleanups();
  for (auto next = cleanups.rbegin(); next != cleanups.rend(); ++next) {
    (*next)();
  }
  std::cout.flush();
  std::_Exit(aCode);
}

/// A loopback address that no other run uses at the same time.
inline std::string
LoopbackIp(int aHost)
{
  const int id = getpid();
  return "127." + std::to_string(100 + id / 250 % 100) + '.' +
         std::to_string(id % 250 + 1) + '.' + std::to_string(aHost);
}

struct EntryOptions
{
  std::string name;
  std::string zone = "macon";
  std::string ip;
  Address store; ///< Of the store, or of a proxy before it.
  std::vector<std::string> seeds;
  bool bootstrap = true;
  /// Settings of the site in place of those below; an object of fields.
  json changes = json::object();
};

/// The settings of cpsc-route.
inline json
SettingsOf(const EntryOptions& aOptions)
{
  json seeds = json::array();
  for (const std::string& ip : aOptions.seeds) {
    seeds.push_back(ip + ":8229");
  }
  json settings = {
    { "nodeName", aOptions.name },
    { "role", "entry" },
    { "machineClass", "front" },
    { "serves", { "front", "control" } },
    { "ip", aOptions.ip },
    { "zone", aOptions.zone },
    { "region", "ga-south" },
    { "zones",
      { { "macon", "ga-south" },
        { "valdosta", "ga-south" },
        { "albany", "ga-south" } } },
    { "listen",
      { { "front", aOptions.ip + ":8227" },
        { "ready", aOptions.ip + ":8220" },
        { "control", aOptions.ip + ":8229" } } },
    { "portRange", { 7340, 7355 } },
    { "seeds", seeds },
    { "bootstrap", aOptions.bootstrap },
    { "lossCounts", false },
    { "limits",
      { { "cpuShare", 0.25 },
        { "cores", 1 },
        { "memoryMb", 110 },
        { "maxFds", 4100 },
        { "linkMbps", 1000.0 },
        { "diskMb", 0 } } },
    { "dataDir", nullptr },
    { "discovery", "platform" },
    { "entry", "vip" },
    { "heartbeatMs", 1200 },
    { "contracts",
      { "base",
        "drain",
        "config",
        "cost",
        "retry",
        "recover",
        "engine",
        "stream",
        "tenants",
        "places",
        "platform",
        "rollout" } },
    { "faultTolerance",
      { { "machines", 2 }, { "zones", 1 }, { "regions", 0 } } },
    { "bounds",
      { { "seedLagS", 3 },
        { "reuseAfterS", 2 },
        { "stableWindowMs", 3000 },
        { "ackMs", 4000 },
        { "catchUpS", 4 },
        { "drainMs", 2000 },
        { "graceS", 8 },
        { "lossSlackMs", 200 },
        { "configApplyMs", 2000 },
        { "rollbackSlackMs", 250 },
        { "maxSkewMs", 5000 },
        { "enforceRevocation", true },
        { "revokeMs", 5000 },
        { "retryBudgetRatio", 0.9 },
        { "budgetWindowS", 10 },
        { "retryBudgetMin", 56 },
        { "exposeShare", 0.15 },
        { "exposeSlack", 30 },
        { "rollbackMs", 5000 },
        { "coldOvershoot", 1.5 },
        { "coldSlack", 5 },
        { "evacMs", 5000 },
        { "recoverS", 12 },
        { "passMs", 120 },
        { "reuseWindowS", 10 },
        { "sessionS", 5 } } },
    { "platform",
      { { "address", aOptions.store.Text() },
        { "form", "objects" },
        { "writesPerS", 400 },
        { "readsPerS", 2000 },
        { "historyS", 20 },
        { "valueBytes", 1048576 },
        { "ttlMinMs", 1000 } } },
  };
  settings.merge_patch(aOptions.changes);
  return settings;
}

/// The repository's root, from which the deploy file's command is run.
inline std::string
Root()
{
  const char* const root = std::getenv("REVIEW_ROOT");
  return root ? root : ".";
}

class Entry
{
public:
  explicit Entry(EntryOptions aOptions, const std::string& aFolder)
    : options_(std::move(aOptions))
    , settings_(aFolder + '/' + options_.name + ".json")
    , log_(aFolder + '/' + options_.name + ".log")
  {
    std::ofstream(settings_) << SettingsOf(options_).dump(2);
    Cleanups().push_back([this] {
      if (pid_ > 0) {
        kill(pid_, SIGKILL);
        waitpid(pid_, nullptr, 0);
      }
    });
    Start();
  }
  Entry(const Entry&) = delete;
  Entry& operator=(const Entry&) = delete;

  void Start()
  {
    const std::string program = Root() + "/target/hibiscusnotch";
    pid_ = fork();
    if (pid_ == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL); // also if the case is killed
      const int log = open_(log_);
      dup2(log, 1);
      dup2(log, 2);
      setenv("HIBISCUSNOTCH_CONFIG", settings_.c_str(), 1);
      execl(
        program.c_str(), program.c_str(), "entry", static_cast<char*>(nullptr));
      std::_Exit(127);
    }
  }

  void Signal(int aSignal) const { kill(pid_, aSignal); }
  pid_t Pid() const { return pid_; }

  /// True once the process has ended; false after the time.
  bool AwaitEnd(double aMs)
  {
    const double until = NowMs() + aMs;
    while (NowMs() < until) {
      if (waitpid(pid_, &status_, WNOHANG) == pid_) {
        pid_ = 0;
        return true;
      }
      SleepMs(5);
    }
    return false;
  }
  int Status() const { return status_; }

  Address Front() const { return { options_.ip, 8227 }; }
  const EntryOptions& Options() const { return options_; }

  /// The status of GET /ready; zero if there is no answer.
  int Ready() const
  {
    const int fd = Connect({ options_.ip, 8220 });
    if (fd < 0) {
      return 0;
    }
    SendAll(fd, "GET /ready HTTP/1.1\r\nHost: ready\r\n\r\n");
    Reader reader(fd);
    reader.SetDeadline(NowMs() + 1000);
    Message message;
    reader.Read(message, true);
    close(fd);
    return message.Status();
  }

  bool AwaitReady(double aMs = 10000) const
  {
    const double until = NowMs() + aMs;
    while (NowMs() < until) {
      if (Ready() == 200) {
        return true;
      }
      SleepMs(50);
    }
    return false;
  }

private:
  static int open_(const std::string& aPath)
  {
    FILE* const file = std::fopen(aPath.c_str(), "a");
    return fileno(file);
  }

  EntryOptions options_;
  std::string settings_;
  std::string log_;
  pid_t pid_ = 0;
  int status_ = 0;
};

/// A folder that is removed at the end.
class Folder
{
public:
  Folder()
  {
    std::string pattern =
      (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
    path_ = mkdtemp(pattern.data());
    Cleanups().push_back([path = path_] {
      if (!std::getenv("REVIEW_KEEP")) {
        std::filesystem::remove_all(path);
      }
    });
  }
  const std::string& Path() const { return path_; }

private:
  std::string path_;
};

/// Ends the case with the code 2 if the condition is false.
inline void
Require(bool aCondition, const std::string& aWhat)
{
  if (!aCondition) {
    std::cerr << "could not run: " << aWhat << '\n';
    Finish(2);
  }
}

inline bool
TroubleIsOn()
{
  const char* const trouble = std::getenv("TROUBLE");
  return !trouble || std::string(trouble) != "0";
}

/// A configuration like the sheet's, with the routes of the order application.
inline json
Configuration(int aVersion)
{
  const auto route = [](const char* aName,
                        const char* aPrefix,
                        const char* aKind,
                        int aAttempts) {
    return json{ { "name", aName },
                 { "hostname", "dispatch.example" },
                 { "pathPrefix", aPrefix },
                 { "kind", aKind },
                 { "timeoutMs", 20000 },
                 { "targetLatencyMs", 300 },
                 { "priority", 2 },
                 { "service", "order-app" },
                 { "maxAttempts", aAttempts },
                 { "authExempt", false } };
  };
  return { { "version", aVersion },
           { "routes",
             { route("order-book", "/orders/", "unsafe", 1),
               route("stock-read", "/stock/", "safe", 2) } },
           { "services",
             { { { "name", "order-app" },
                 { "healthPath", "/healthz" },
                 { "maxConnections", 110 },
                 { "protocol", "h1" },
                 { "tls", false },
                 { "coldStartS", 0.0 },
                 { "coldPerS", 0.0 } } } },
           { "limits",
             { { "maxHeaderBytes", 16384 },
               { "maxBodyBytes", 4194304 },
               { "headerTimeoutMs", 3000 },
               { "idleTimeoutMs", 15000 } } },
           { "tenants",
             { { { "name", "dispatch" }, { "apiKeys", { "key-one" } } } } } };
}

/// The entry of a runner of the order application.
inline json
RunnerEntry(const Address& aAddress, const std::string& aZone, int64_t aBorn)
{
  return { { "service", "order-app" },
           { "address", aAddress.Text() },
           { "zone", aZone },
           { "version", "v1" },
           { "slots", 6 },
           { "state", "ready" },
           { "coldRemainingMs", 0 },
           { "born", aBorn },
           { "sequence", 1 } };
}

} // namespace review
