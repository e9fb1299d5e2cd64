/// @file
/// @brief Small stand-ins for the review's cases: the platform's store and
/// balancer, runners and clients, and the entry processes under test. Blocking
/// sockets, one thread for each connection, loopback addresses only.
#pragma once

#include <arpa/inet.h>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/tcp.h>
#include <nlohmann/json.hpp>
#include <optional>
#include <poll.h>
#include <set>
#include <spawn.h>
#include <string>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

extern char** environ;

namespace review {

using nlohmann::json;

/// @brief Seconds since the start of the test.
inline double
Now()
{
  static const auto sStart = std::chrono::steady_clock::now();
  return std::chrono::duration<double>(std::chrono::steady_clock::now() -
                                       sStart)
    .count();
}

inline void
Sleep(double aSeconds)
{
  if (aSeconds > 0) {
    std::this_thread::sleep_for(std::chrono::duration<double>(aSeconds));
  }
}

inline void
SleepUntil(double aTime)
{
  Sleep(aTime - Now());
}

/// @brief The lines of record.txt, with the time of each.
class Record
{
public:
  explicit Record(const std::string& aFile)
    : file_(std::fopen(aFile.c_str(), "w"))
  {
    if (!file_) {
      std::perror(aFile.c_str());
      std::exit(2);
    }
  }

  void Line(const std::string& aText)
  {
    const std::scoped_lock lock(mutex_);
    std::fprintf(file_, "%9.3f %s\n", Now(), aText.c_str());
    std::fflush(file_);
  }

private:
  std::mutex mutex_;
  std::FILE* file_;
};

struct Endpoint
{
  std::string ip;
  uint16_t port = 0;

  std::string Text() const { return ip + ':' + std::to_string(port); }
};

inline sockaddr_in
AddressOf(const Endpoint& aEndpoint)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(aEndpoint.port);
  inet_pton(AF_INET, aEndpoint.ip.c_str(), &address.sin_addr);
  return address;
}

/// @brief A loopback address of this run alone.
inline std::string
LoopbackIp(int aIndex)
{
  static const int sBlock = static_cast<int>(getpid());
  return "127." + std::to_string(20 + sBlock / 200 % 200) + '.' +
         std::to_string(1 + sBlock % 200) + '.' + std::to_string(aIndex + 1);
}

/// @brief A port that is free on the address now.
inline uint16_t
FreePort(const std::string& aIp)
{
  const int handle = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address = AddressOf({ aIp, 0 });
  socklen_t size = sizeof address;
  if (::bind(handle, reinterpret_cast<sockaddr*>(&address), size) != 0 ||
      getsockname(handle, reinterpret_cast<sockaddr*>(&address), &size) != 0) {
    std::perror("no free port");
    std::exit(2);
  }
  close(handle);
  return ntohs(address.sin_port);
}

/// @brief One HTTP message; a request's first line is split, a response's has
/// the status.
struct Message
{
  std::string method;
  std::string target;
  int status = 0;
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;
  bool complete = false;

  std::string Header(const std::string& aName) const
  {
    for (const auto& [name, value] : headers) {
      if (strcasecmp(name.c_str(), aName.c_str()) == 0) {
        return value;
      }
    }
    return {};
  }
};

class Connection
{
public:
  explicit Connection(int aHandle)
    : handle_(aHandle)
  {
  }
  ~Connection() { Close(); }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  int Handle() const { return handle_; }

  void Close()
  {
    const int handle = handle_.exchange(-1);
    if (handle >= 0) {
      close(handle);
    }
  }

  bool Write(const std::string& aBytes)
  {
    std::size_t done = 0;
    while (done < aBytes.size()) {
      const ssize_t count =
        send(handle_, aBytes.data() + done, aBytes.size() - done, MSG_NOSIGNAL);
      if (count <= 0) {
        return false;
      }
      done += static_cast<std::size_t>(count);
    }
    return true;
  }

  /// Reads some bytes into the buffer; false at the end or after an error.
  bool Fill(std::size_t aMost = 16384)
  {
    std::string bytes(aMost, '\0');
    const ssize_t count = recv(handle_, bytes.data(), bytes.size(), 0);
    lastCount_ = count;
    if (count <= 0) {
      return false;
    }
    buffer_.append(bytes, 0, static_cast<std::size_t>(count));
    return true;
  }

  /// True if the peer has closed or reset the connection.
  bool PeerClosed() const
  {
    char byte = 0;
    const ssize_t count = recv(handle_, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return count == 0 || (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
  }

  /// @param aPause Called before each read of the body; for slow readers.
  std::optional<Message> Read(bool aIsRequest,
                              const std::function<void()>& aPause = {},
                              std::size_t aMost = 16384)
  {
    Message message;
    std::size_t end = std::string::npos;
    while ((end = buffer_.find("\r\n\r\n")) == std::string::npos) {
      if (!Fill(aMost)) {
        return std::nullopt;
      }
    }
    ParseHead(buffer_.substr(0, end), aIsRequest, message);
    buffer_.erase(0, end + 4);
    const auto fill = [&] {
      if (aPause) {
        aPause();
      }
      return Fill(aMost);
    };
    if (strcasecmp(message.Header("Transfer-Encoding").c_str(), "chunked") ==
        0) {
      message.complete = ReadChunks(message.body, fill);
    } else {
      const std::string length = message.Header("Content-Length");
      const std::size_t size =
        length.empty() ? 0 : std::strtoull(length.c_str(), nullptr, 10);
      bool open = true;
      while (buffer_.size() < size && open) {
        open = fill();
      }
      const std::size_t taken = std::min(size, buffer_.size());
      message.body = buffer_.substr(0, taken);
      buffer_.erase(0, taken);
      message.complete = message.body.size() == size;
    }
    return message;
  }

private:
  static void ParseHead(const std::string& aHead,
                        bool aIsRequest,
                        Message& aMessage)
  {
    std::size_t start = 0;
    bool first = true;
    while (start <= aHead.size()) {
      const std::size_t end = std::min(aHead.find("\r\n", start), aHead.size());
      const std::string line = aHead.substr(start, end - start);
      start = end + 2;
      if (first) {
        first = false;
        const std::size_t space = line.find(' ');
        if (aIsRequest) {
          aMessage.method = line.substr(0, space);
          aMessage.target = line.substr(space + 1, line.rfind(' ') - space - 1);
        } else {
          aMessage.status = std::atoi(line.c_str() + space + 1);
        }
        continue;
      }
      const std::size_t colon = line.find(':');
      if (colon != std::string::npos) {
        std::size_t value = colon + 1;
        while (value < line.size() && line[value] == ' ') {
          ++value;
        }
        aMessage.headers.emplace_back(line.substr(0, colon),
                                      line.substr(value));
      }
    }
  }

  bool ReadChunks(std::string& aBody, const std::function<bool()>& aFill)
  {
    while (true) {
      std::size_t end = 0;
      while ((end = buffer_.find("\r\n")) == std::string::npos) {
        if (!aFill()) {
          return false;
        }
      }
      const std::size_t size = std::strtoull(buffer_.c_str(), nullptr, 16);
      while (buffer_.size() < end + 2 + size + 2) {
        if (!aFill()) {
          aBody += buffer_.substr(std::min(end + 2, buffer_.size()), size);
          return false;
        }
      }
      aBody += buffer_.substr(end + 2, size);
      buffer_.erase(0, end + 2 + size + 2);
      if (size == 0) {
        return true;
      }
    }
  }

  std::atomic<int> handle_;
  std::string buffer_;
  ssize_t lastCount_ = 0;
};

/// @brief Connects within the time; null if that fails.
/// @param aReceiveBuffer Of the socket, if not zero.
inline std::unique_ptr<Connection>
Connect(const Endpoint& aTo, double aTimeout = 1.0, int aReceiveBuffer = 0)
{
  const int handle = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (aReceiveBuffer > 0) {
    setsockopt(
      handle, SOL_SOCKET, SO_RCVBUF, &aReceiveBuffer, sizeof aReceiveBuffer);
    // Segments as on a network, not as large as on the loopback interface.
    const int segment = 1460;
    setsockopt(handle, IPPROTO_TCP, TCP_MAXSEG, &segment, sizeof segment);
  }
  fcntl(handle, F_SETFL, O_NONBLOCK);
  sockaddr_in address = AddressOf(aTo);
  auto connection = std::make_unique<Connection>(handle);
  if (connect(handle, reinterpret_cast<sockaddr*>(&address), sizeof address) !=
      0) {
    pollfd waiting{ handle, POLLOUT, 0 };
    int error = 0;
    socklen_t size = sizeof error;
    if (errno != EINPROGRESS ||
        poll(&waiting, 1, static_cast<int>(aTimeout * 1000)) <= 0 ||
        getsockopt(handle, SOL_SOCKET, SO_ERROR, &error, &size) != 0 ||
        error != 0) {
      return nullptr;
    }
  }
  fcntl(handle, F_SETFL, 0);
  return connection;
}

inline void
SetReadTimeout(const Connection& aConnection, double aSeconds)
{
  timeval time{};
  time.tv_sec = static_cast<time_t>(aSeconds);
  time.tv_usec = static_cast<suseconds_t>(
    (aSeconds - static_cast<double>(time.tv_sec)) * 1e6);
  setsockopt(aConnection.Handle(), SOL_SOCKET, SO_RCVTIMEO, &time, sizeof time);
}

/// @brief Accepts connections and gives each to a thread.
class Server
{
public:
  using Handler = std::function<void(Connection&)>;

  Server(const Endpoint& aEndpoint, Handler aHandler)
    : handler_(std::move(aHandler))
  {
    handle_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(handle_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in address = AddressOf(aEndpoint);
    if (::bind(handle_.load(),
               reinterpret_cast<sockaddr*>(&address),
               sizeof address) != 0 ||
        listen(handle_, 512) != 0) {
      std::perror(aEndpoint.Text().c_str());
      std::exit(2);
    }
    std::thread([this] { Accept(); }).detach();
  }

  /// Refuses new connections and resets the open ones, as an ended process
  /// does.
  void Stop()
  {
    const int handle = handle_.exchange(-1);
    if (handle >= 0) {
      shutdown(handle, SHUT_RDWR);
      close(handle);
    }
    const std::scoped_lock lock(mutex_);
    for (const auto& connection : open_) {
      if (connection->Handle() >= 0) {
        const linger reset{ 1, 0 };
        setsockopt(
          connection->Handle(), SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
        shutdown(connection->Handle(), SHUT_RDWR);
      }
    }
  }

private:
  void Accept()
  {
    while (true) {
      const int listening = handle_;
      if (listening < 0) {
        return;
      }
      const int handle = accept4(listening, nullptr, nullptr, SOCK_CLOEXEC);
      if (handle < 0) {
        if (handle_ < 0) {
          return;
        }
        Sleep(0.001);
        continue;
      }
      auto connection = std::make_shared<Connection>(handle);
      {
        const std::scoped_lock lock(mutex_);
        open_.insert(connection);
      }
      std::thread([this, connection] {
        handler_(*connection);
        const std::scoped_lock lock(mutex_);
        open_.erase(connection);
        connection->Close();
      }).detach();
    }
  }

  Handler handler_;
  std::atomic<int> handle_;
  std::mutex mutex_;
  std::set<std::shared_ptr<Connection>> open_;
};

inline std::string
FormatResponse(int aStatus,
               const std::string& aHeaders,
               const std::string& aBody)
{
  return "HTTP/1.1 " + std::to_string(aStatus) + " -\r\n" + aHeaders +
         "Content-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
}

/// @brief The platform's metadata store. Specs are kept as the JSON text that
/// was written.
class Store
{
public:
  explicit Store(Record& aRecord)
    : record_(aRecord)
  {
  }

  /// @brief An address of the store; each machine may be given its own.
  Endpoint Listen()
  {
    const std::string ip = LoopbackIp(90 + static_cast<int>(servers_.size()));
    const Endpoint endpoint{ ip, FreePort(ip) };
    servers_.push_back(
      std::make_unique<Server>(endpoint, [this, endpoint](Connection& aOne) {
        while (const auto request = aOne.Read(true)) {
          {
            const std::scoped_lock lock(mutex_);
            ++calls_[endpoint.Text()];
          }
          const double arrivedAt = Now();
          const std::string answer = Answer(*request, aOne);
          if (IsLost(arrivedAt)) {
            // A connection on which a response is lost returns nothing more.
            while (!aOne.PeerClosed()) {
              Sleep(0.05);
            }
            return;
          }
          if (!aOne.Write(answer) || request->Header("Connection") == "close") {
            return;
          }
        }
      }));
    return endpoint;
  }

  /// @brief From now on for some time the store answers no call, also none that
  /// waits already; connections stay open. Returns the time of its end.
  double GoSilent(double aSeconds)
  {
    const std::scoped_lock lock(mutex_);
    silentFrom_ = Now();
    silentUntil_ = silentFrom_ + aSeconds;
    record_.Line("store  is silent for " + std::to_string(aSeconds) + " s");
    return silentUntil_;
  }

  /// @brief Calls so far at an address.
  int Calls(const Endpoint& aEndpoint)
  {
    const std::scoped_lock lock(mutex_);
    return calls_[aEndpoint.Text()];
  }

  /// @brief Writes an object, as its operator or a runner does; returns the
  /// time of the acknowledgement.
  double Put(const std::string& aKind,
             const std::string& aName,
             const std::string& aSpec,
             bool aRecorded = true)
  {
    const std::scoped_lock lock(mutex_);
    Object& object = objects_[aKind][aName];
    if (object.created == 0) {
      object.created = revision_ + 1;
    }
    object.spec = aSpec;
    Changed(aKind, aName, object, false);
    if (aRecorded) {
      record_.Line("store  " + aKind + '/' + aName + " written: " + aSpec);
    }
    return Now();
  }

  double Remove(const std::string& aKind, const std::string& aName)
  {
    const std::scoped_lock lock(mutex_);
    const auto found = objects_[aKind].find(aName);
    if (found != objects_[aKind].end()) {
      Object last = found->second;
      objects_[aKind].erase(found);
      Changed(aKind, aName, last, true);
      record_.Line("store  " + aKind + '/' + aName + " removed");
    }
    return Now();
  }

private:
  /// True if the store was silent while the call was open.
  bool IsLost(double aArrivedAt)
  {
    const std::scoped_lock lock(mutex_);
    return aArrivedAt < silentUntil_ && Now() >= silentFrom_;
  }

  struct Object
  {
    std::string spec = "null";
    std::string status = "null";
    uint64_t revision = 0;
    uint64_t created = 0;
  };
  struct Event
  {
    uint64_t revision = 0;
    std::string kind;
    std::string text;
  };

  static std::string TextOf(const std::string& aName, const Object& aObject)
  {
    return "{\"metadata\":{\"name\":" + json(aName).dump() +
           ",\"revision\":" + std::to_string(aObject.revision) +
           ",\"createRev\":" + std::to_string(aObject.created) +
           "},\"spec\":" + aObject.spec + ",\"status\":" + aObject.status + '}';
  }

  void Changed(const std::string& aKind,
               const std::string& aName,
               Object& aObject,
               bool aRemoved)
  {
    aObject.revision = ++revision_;
    history_.push_back(
      { revision_,
        aKind,
        "{\"removed\":" + std::string(aRemoved ? "true" : "false") +
          ",\"object\":" + TextOf(aName, aObject) + '}' });
    changed_.notify_all();
  }

  static std::string Parameter(const std::string& aTarget,
                               const std::string& aName)
  {
    const std::size_t query = aTarget.find('?');
    if (query == std::string::npos) {
      return {};
    }
    const std::string text = '&' + aTarget.substr(query + 1) + '&';
    const std::size_t at = text.find('&' + aName + '=');
    if (at == std::string::npos) {
      return {};
    }
    const std::size_t start = at + aName.size() + 2;
    return text.substr(start, text.find('&', start) - start);
  }

  std::string Answer(const Message& aRequest, const Connection& aConnection)
  {
    Sleep(0.004);
    std::string path = aRequest.target.substr(0, aRequest.target.find('?'));
    const std::string prefix = "/objects/";
    if (path.rfind(prefix, 0) != 0) {
      return Reply(404, "{}");
    }
    path.erase(0, prefix.size());
    const bool isStatus =
      path.size() > 7 && path.substr(path.size() - 7) == "/status";
    if (isStatus) {
      path.resize(path.size() - 7);
    }
    const std::size_t slash = path.find('/');
    const std::string kind = path.substr(0, slash);
    const std::string name =
      slash == std::string::npos ? "" : path.substr(slash + 1);
    std::unique_lock lock(mutex_);
    if (aRequest.method == "GET" && name.empty()) {
      const std::string since = Parameter(aRequest.target, "watch");
      return since.empty()
               ? List(kind)
               : Watch(lock, kind, aRequest.target, since, aConnection);
    }
    auto& objects = objects_[kind];
    const auto found = objects.find(name);
    if (aRequest.method == "GET") {
      return found == objects.end() ? Reply(404, "{}")
                                    : Reply(200, TextOf(name, found->second));
    }
    const json body = json::parse(aRequest.body, nullptr, false);
    if (aRequest.method == "POST") {
      if (found != objects.end()) {
        return Reply(409, TextOf(name, found->second));
      }
      Object& object = objects[name];
      object.created = revision_ + 1;
      object.spec = body.value("spec", json()).dump();
      Changed(kind, name, object, false);
      record_.Line("store  " + kind + '/' + name + " created");
      return Reply(200, TextOf(name, object));
    }
    if (found == objects.end()) {
      return Reply(404, "{}");
    }
    if (aRequest.method == "DELETE") {
      Object last = found->second;
      objects.erase(found);
      Changed(kind, name, last, true);
      record_.Line("store  " + kind + '/' + name + " deleted");
      return Reply(200, TextOf(name, last));
    }
    const uint64_t expected = body.contains("metadata")
                                ? body["metadata"].value("revision", uint64_t{})
                                : 0;
    if (expected != 0 && expected != found->second.revision) {
      return Reply(409, TextOf(name, found->second));
    }
    std::string& part = isStatus ? found->second.status : found->second.spec;
    part = body.value(isStatus ? "status" : "spec", json()).dump();
    Changed(kind, name, found->second, false);
    record_.Line("store  " + kind + '/' + name + " now " + part);
    return Reply(200, TextOf(name, found->second));
  }

  std::string List(const std::string& aKind)
  {
    std::string items;
    for (const auto& [name, object] : objects_[aKind]) {
      items += (items.empty() ? "" : ",") + TextOf(name, object);
    }
    return Reply(200,
                 "{\"items\":[" + items + "],\"more\":false,\"asOf\":" +
                   std::to_string(revision_) + '}');
  }

  std::string Watch(std::unique_lock<std::mutex>& aLock,
                    const std::string& aKind,
                    const std::string& aTarget,
                    const std::string& aSince,
                    const Connection& aConnection)
  {
    const uint64_t since = std::strtoull(aSince.c_str(), nullptr, 10);
    const double end =
      Now() + std::strtod(Parameter(aTarget, "waitMs").c_str(), nullptr) / 1000;
    while (true) {
      std::string events;
      for (const Event& event : history_) {
        if (event.kind == aKind && event.revision > since) {
          events += (events.empty() ? "" : ",") + event.text;
        }
      }
      if (!events.empty() || Now() >= end || aConnection.PeerClosed()) {
        return Reply(200,
                     "{\"events\":[" + events +
                       "],\"asOf\":" + std::to_string(revision_) + '}');
      }
      changed_.wait_for(
        aLock,
        std::chrono::duration<double>(std::min(0.05, end - Now() + 0.0005)));
    }
  }

  static std::string Reply(int aStatus, const std::string& aBody)
  {
    return FormatResponse(aStatus, "Content-Type: application/json\r\n", aBody);
  }

  Record& record_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, int> calls_;
  double silentFrom_ = 0;
  double silentUntil_ = 0;
  std::map<std::string, std::map<std::string, Object>> objects_;
  std::vector<Event> history_;
  uint64_t revision_ = 1;
  std::vector<std::unique_ptr<Server>> servers_;
};

/// @brief A runner. It rejects what is meant for another one; the test says
/// what it does with the rest.
class Runner
{
public:
  using Work = std::function<void(Runner&, Connection&, const Message&)>;

  Runner(std::string aId,
         std::string aService,
         std::string aZone,
         Endpoint aEndpoint,
         Work aWork)
    : id(std::move(aId))
    , service(std::move(aService))
    , zone(std::move(aZone))
    , endpoint(std::move(aEndpoint))
    , work_(std::move(aWork))
    , server_(std::make_unique<Server>(endpoint, [this](Connection& aOne) {
      while (const auto request = aOne.Read(true)) {
        if (!request->complete) {
          return;
        }
        if (request->Header("Request-Id").empty()) {
          aOne.Write(FormatResponse(200, "Instance: " + id + "\r\n", ""));
        } else if (!request->Header("Expect-Instance").empty() &&
                   request->Header("Expect-Instance") != id) {
          aOne.Write(FormatResponse(421, "Not-Executed: 1\r\n", ""));
        } else {
          work_(*this, aOne, *request);
        }
        if (request->Header("Connection") == "close") {
          return;
        }
      }
    }))
  {
  }

  /// @brief Its entry in the store.
  std::string Entry(const std::string& aState, int aSlots = 16) const
  {
    return json{
      { "service", service },   { "address", endpoint.Text() },
      { "zone", zone },         { "version", "v1" },
      { "slots", aSlots },      { "state", aState },
      { "coldRemainingMs", 0 }, { "born", 1764900000000 },
      { "sequence", 1 }
    }.dump();
  }

  /// @brief Ends its process.
  void Stop() { server_->Stop(); }

  const std::string id;
  const std::string service;
  const std::string zone;
  const Endpoint endpoint;

private:
  Work work_;
  std::unique_ptr<Server> server_;
};

struct EntryOptions
{
  std::string name;
  std::string zone;
  int index = 0;
  json extra = json::object(); ///< Merged into the settings.
};

/// @brief An entry process, started as the deploy file says.
class Entry
{
public:
  Entry(EntryOptions aOptions, Endpoint aStore, std::string aFolder)
    : options_(std::move(aOptions))
    , store_(std::move(aStore))
    , ip_(LoopbackIp(options_.index))
    , front_{ ip_, FreePort(ip_) }
    , ready_{ ip_, FreePort(ip_) }
    , file_(std::move(aFolder) + '/' + options_.name + ".json")
  {
    const uint16_t peers = FreePeerPorts();
    json settings = {
      { "nodeName", options_.name },
      { "role", "entry" },
      { "machineClass", "front" },
      { "serves", { "front", "control" } },
      { "ip", ip_ },
      { "zone", options_.zone },
      { "region", "region" },
      { "zones",
        { { "zone-a", "region" },
          { "zone-b", "region" },
          { "zone-c", "region" } } },
      { "listen",
        { { "front", front_.Text() },
          { "ready", ready_.Text() },
          { "control", ip_ + ':' + std::to_string(FreePort(ip_)) } } },
      { "portRange", { peers, peers + 5 } },
      { "seeds", json::array() },
      { "bootstrap", true },
      { "limits",
        { { "cpuShare", 0.25 },
          { "cores", 1 },
          { "memoryMb", 110 },
          { "maxFds", 4100 },
          { "linkMbps", 1000.0 },
          { "diskMb", 0 } } },
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
          { "retryBudgetMin", 54 },
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
        { { "address", store_.Text() },
          { "form", "objects" },
          { "writesPerS", 400 },
          { "readsPerS", 2000 },
          { "historyS", 20 },
          { "valueBytes", 1048576 },
          { "ttlMinMs", 1000 } } }
    };
    settings.merge_patch(options_.extra);
    std::ofstream(file_) << settings.dump(2);
  }

  ~Entry() { Kill(); }
  Entry(const Entry&) = delete;
  Entry& operator=(const Entry&) = delete;

  void Start(const std::string& aProgram)
  {
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    const std::string log = file_ + ".log";
    posix_spawn_file_actions_addopen(&actions,
                                     STDOUT_FILENO,
                                     log.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND,
                                     0644);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    std::string program = aProgram;
    std::string role = "entry";
    std::string settings = "HIBISCUSNOTCH_CONFIG=" + file_;
    std::vector<char*> words{ program.data(), role.data(), nullptr };
    std::vector<char*> variables{ settings.data(), nullptr };
    if (posix_spawn(&pid_,
                    program.c_str(),
                    &actions,
                    nullptr,
                    words.data(),
                    variables.data()) != 0) {
      std::perror(program.c_str());
      std::exit(2);
    }
    posix_spawn_file_actions_destroy(&actions);
    // For the script, which ends what a failed test leaves.
    std::ofstream(std::filesystem::path(file_).parent_path() / "pids",
                  std::ios::app)
      << pid_ << '\n';
  }

  void Signal(int aSignal) const
  {
    if (pid_ > 0) {
      kill(pid_, aSignal);
    }
  }

  /// @brief True if the process has ended.
  bool Ended()
  {
    int status = 0;
    if (pid_ > 0 && waitpid(pid_, &status, WNOHANG) == pid_) {
      pid_ = 0;
    }
    return pid_ == 0;
  }

  void Kill()
  {
    if (pid_ > 0) {
      kill(pid_, SIGKILL);
      waitpid(pid_, nullptr, 0);
      pid_ = 0;
    }
  }

  /// @brief One question of the balancer.
  bool Ready() const
  {
    const auto connection = Connect(ready_, 0.5);
    if (!connection) {
      return false;
    }
    SetReadTimeout(*connection, 1.0);
    if (!connection->Write("GET /ready HTTP/1.1\r\nHost: " + ip_ +
                           "\r\nConnection: close\r\n\r\n")) {
      return false;
    }
    const auto response = connection->Read(false);
    return response && response->status == 200;
  }

  bool AwaitReady(double aSeconds) const
  {
    const double end = Now() + aSeconds;
    while (Now() < end) {
      if (Ready()) {
        return true;
      }
      Sleep(0.1);
    }
    return false;
  }

  const Endpoint& Front() const { return front_; }
  const Endpoint& StoreAddress() const { return store_; }
  const std::string& Name() const { return options_.name; }

private:
  /// The first of two neighbouring free ports.
  uint16_t FreePeerPorts() const
  {
    while (true) {
      const uint16_t port = FreePort(ip_);
      const int next = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
      sockaddr_in address = AddressOf({ ip_, static_cast<uint16_t>(port + 1) });
      const bool free =
        port < 65000 &&
        ::bind(next, reinterpret_cast<sockaddr*>(&address), sizeof address) ==
          0;
      close(next);
      if (free) {
        return port;
      }
    }
  }

  EntryOptions options_;
  Endpoint store_;
  std::string ip_;
  Endpoint front_;
  Endpoint ready_;
  std::string file_;
  pid_t pid_ = 0;
};

/// @brief The folder of the case, of the program and of temporary files, and
/// whether the disruption happens.
struct Run
{
  std::string caseFolder;
  std::string program;
  std::string temporary;
  bool trouble = true;

  static Run FromArguments(int aCount, char** aValues)
  {
    if (aCount != 4) {
      std::fprintf(stderr, "usage: CASE-FOLDER PROGRAM TEMPORARY-FOLDER\n");
      std::exit(2);
    }
    std::signal(SIGPIPE, SIG_IGN);
    Run run{ aValues[1], aValues[2], aValues[3], true };
    const char* trouble = std::getenv("TROUBLE");
    run.trouble = !trouble || std::string(trouble) != "0";
    Now();
    return run;
  }

  /// @brief Ends the test; the processes must have been ended.
  [[noreturn]] static void Finish(Record& aRecord,
                                  int aCode,
                                  const std::string& aText)
  {
    const char* words = aCode == 0   ? "HELD: "
                        : aCode == 1 ? "BROKEN: "
                                     : "COULD NOT RUN: ";
    aRecord.Line(words + aText);
    std::printf("%s%s\n", words, aText.c_str());
    std::fflush(stdout);
    std::_Exit(aCode);
  }
};

/// @brief Sends one request on a connection of its own.
inline std::optional<Message>
SendOnce(const Endpoint& aTo, const std::string& aRequest, double aTimeout)
{
  const auto connection = Connect(aTo, 1.0);
  if (!connection) {
    return std::nullopt;
  }
  SetReadTimeout(*connection, aTimeout);
  if (!connection->Write(aRequest)) {
    return std::nullopt;
  }
  return connection->Read(false);
}

} // namespace review
