/// @file
/// @brief Small stand-ins of the platform's store, runners and clients for the
/// cases of the third review, and the start of the deploy file's program.
#pragma once

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <sys/types.h>
#include <thread>
#include <utility>
#include <vector>

namespace review {

using nlohmann::json;

/// @brief Milliseconds of the steady clock since the case began.
double
Now();
void
SleepMs(double aMilliseconds);
void
SleepUntil(double aTime);

/// @brief Lines of record.txt, each with its time; safe from all threads.
class Record
{
public:
  explicit Record(const std::string& aFile);
  ~Record();
  void Line(const std::string& aText);

private:
  std::mutex mutex_;
  FILE* file_ = nullptr;
};

struct Message
{
  std::string start; ///< The request line or the status line.
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;
  bool complete = false;

  std::string Header(const std::string& aName) const;
  int Status() const;
  std::string Method() const;
  std::string Target() const;
};

/// @brief A blocking connection with a buffer of what was read ahead.
class Connection
{
public:
  explicit Connection(int aSocket)
    : socket_(aSocket)
  {
  }
  ~Connection();
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  /// @brief Reads one message; not complete if the connection ended first.
  Message Read(bool aIsResponse = false);
  bool Write(const std::string& aBytes);
  /// @brief True if the peer has closed or reset the connection.
  bool PeerHasClosed() const;
  void SetReadTimeout(double aMilliseconds) const;
  int Socket() const { return socket_; }
  void Shut();

private:
  int socket_;
  std::string buffer_;
};

/// @brief Nothing if the connection is not established in the time.
std::shared_ptr<Connection>
Connect(const std::string& aAddress, uint16_t aPort, double aTimeoutMs = 1000);

/// @brief Accepts connections and handles each in a thread of its own.
class Server
{
public:
  Server(std::string aAddress,
         uint16_t aPort,
         std::function<void(Connection&)> aHandler);
  ~Server();
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;
  /// @brief Ends the listener and all connections, as the end of a process.
  void Stop();

private:
  struct Served
  {
    std::unique_ptr<Connection> connection;
    std::thread thread;
  };
  void Accept();

  int socket_ = -1;
  std::function<void(Connection&)> handler_;
  std::mutex mutex_;
  std::vector<Served> served_;
  std::atomic<bool> stopping_{ false };
  std::thread acceptor_;
};

std::string
Response(int aStatus,
         const std::string& aBody,
         const std::string& aHeaders = "");

/// @brief The platform's store: lists, watches, conditional writes.
class Store
{
public:
  Store(std::string aAddress, uint16_t aPort, Record& aRecord);
  ~Store();

  /// @brief As a writer of its own (operator or runner); returns the time of
  /// the acknowledgement.
  double Put(const std::string& aKind,
             const std::string& aName,
             const json& aSpec);
  double Remove(const std::string& aKind, const std::string& aName);
  json Get(const std::string& aKind, const std::string& aName);

  /// @brief While it is silent, calls get no answer, those that wait included;
  /// their connections are closed at the end.
  void SetSilent(bool aSilent);

private:
  struct Event
  {
    uint64_t revision;
    std::string kind;
    bool removed;
    json object;
  };
  void Handle(Connection& aConnection);
  /// Holds a call while the store is silent; false if it was.
  bool MayAnswer(std::unique_lock<std::mutex>& aLock);
  bool Watch(Connection& aConnection,
             const std::string& aKind,
             uint64_t aSince,
             double aWaitMs);
  std::pair<int, json> Change(const std::string& aMethod,
                              const std::string& aKind,
                              const std::string& aName,
                              bool aStatus,
                              const json& aBody);

  Record& record_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, std::map<std::string, json>> objects_;
  std::vector<Event> history_;
  bool silent_ = false;
  uint64_t revision_ = 100;
  bool ending_ = false;
  std::unique_ptr<Server> server_;
};

struct Run
{
  std::string requestId;
  std::string runner;
  double at = 0;
};

struct RunnerOptions
{
  std::string id;
  std::string service;
  std::string address;
  uint16_t port = 0;
  std::string zone;
  double workMs = 60;
  std::size_t answerBytes = 800;
  int slots = 6;
  int coldMs = 0; ///< From its registration on.
};

/// @brief A runner of a plain service.
class Runner
{
public:
  Runner(RunnerOptions aOptions, Store& aStore, Record& aRecord);
  ~Runner();

  /// @brief Registers, or writes its entry with another state; returns the time
  /// of the store's acknowledgement.
  double Announce(const std::string& aState);
  /// @brief Ends the process: running requests are lost.
  void Exit();
  std::vector<Run> Runs();
  double AnnouncedAt() const { return announcedAt_; }
  const RunnerOptions& Options() const { return options_; }

private:
  void Handle(Connection& aConnection);

  RunnerOptions options_;
  Store& store_;
  Record& record_;
  int64_t born_;
  std::mutex mutex_;
  std::vector<Run> runs_;
  std::atomic<int> running_{ 0 };
  std::atomic<bool> draining_{ false };
  uint64_t sequence_ = 0;
  double announcedAt_ = 0; ///< First.
  std::unique_ptr<Server> server_;
};

struct EntryOptions
{
  std::string name;
  std::string address;
  std::string zone = "macon";
  std::string store; ///< ADDRESS:PORT
  std::vector<std::string> seeds;
  bool bootstrap = true;
};

inline constexpr uint16_t kFrontPort = 8227;
inline constexpr uint16_t kReadyPort = 8220;
inline constexpr uint16_t kStorePort = 8223;

/// @brief The deploy file's program, as a process of its own.
class Entry
{
public:
  Entry(EntryOptions aOptions,
        const std::string& aRoot,
        const std::string& aFolder);
  ~Entry();
  void Signal(int aSignal) const;
  bool IsReady() const;
  bool AwaitReady(double aMilliseconds) const;
  /// @brief True if it ended within the time.
  bool AwaitEnd(double aMilliseconds);
  const EntryOptions& Options() const { return options_; }

private:
  EntryOptions options_;
  pid_t pid_ = -1;
  bool ended_ = false;
};

/// @brief What a case needs to run.
struct Scene
{
  Scene(const std::string& aRoot, const std::string& aCase);
  ~Scene();
  /// @brief A loopback address of this run's own.
  std::string Address(int aNumber) const;

  bool trouble = true; ///< False with TROUBLE=0.
  std::string root;
  std::string folder; ///< Temporary; removed at the end.
  Record record;

private:
  int network_ = 0;
};

/// @brief A configuration with one plain service and a route of each of the
/// kinds safe and unsafe.
json
PlainConfiguration(int aVersion);

} // namespace review
