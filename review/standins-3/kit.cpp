#include "kit.hpp"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <stdexcept>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

namespace {

using Clock = std::chrono::steady_clock;

const Clock::time_point kStart = Clock::now();
constexpr double kStoreAnswerMs = 4;

sockaddr_in
SocketAddress(const std::string& aAddress, uint16_t aPort)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(aPort);
  inet_pton(AF_INET, aAddress.c_str(), &address.sin_addr);
  return address;
}

bool
SameName(const std::string& aLeft, const std::string& aRight)
{
  return strcasecmp(aLeft.c_str(), aRight.c_str()) == 0;
}

std::string
Parameter(const std::string& aTarget, const std::string& aName)
{
  const std::size_t question = aTarget.find('?');
  if (question == std::string::npos) {
    return "";
  }
  const std::string query = '&' + aTarget.substr(question + 1) + '&';
  const std::size_t at = query.find('&' + aName + '=');
  if (at == std::string::npos) {
    return "";
  }
  const std::size_t from = at + aName.size() + 2;
  return query.substr(from, query.find('&', from) - from);
}

} // namespace

double
Now()
{
  return std::chrono::duration<double, std::milli>(Clock::now() - kStart)
    .count();
}

void
SleepMs(double aMilliseconds)
{
  if (aMilliseconds > 0) {
    std::this_thread::sleep_for(
      std::chrono::duration<double, std::milli>(aMilliseconds));
  }
}

void
SleepUntil(double aTime)
{
  SleepMs(aTime - Now());
}

Record::Record(const std::string& aFile)
  : file_(std::fopen(aFile.c_str(), "w"))
{
}

Record::~Record()
{
  if (file_) {
    std::fclose(file_);
  }
}

void
Record::Line(const std::string& aText)
{
  const std::lock_guard lock(mutex_);
  if (file_) {
    std::fprintf(file_, "%10.1f %s\n", Now(), aText.c_str());
    std::fflush(file_);
  }
}

std::string
Message::Header(const std::string& aName) const
{
  for (const auto& [name, value] : headers) {
    if (SameName(name, aName)) {
      return value;
    }
  }
  return "";
}

int
Message::Status() const
{
  const std::size_t space = start.find(' ');
  return space == std::string::npos ? 0 : std::atoi(start.c_str() + space + 1);
}

std::string
Message::Method() const
{
  return start.substr(0, start.find(' '));
}

std::string
Message::Target() const
{
  const std::size_t from = start.find(' ') + 1;
  return start.substr(from, start.find(' ', from) - from);
}

Connection::~Connection()
{
  close(socket_);
}

void
Connection::Shut()
{
  shutdown(socket_, SHUT_RDWR);
}

void
Connection::SetReadTimeout(double aMilliseconds) const
{
  timeval time{};
  time.tv_sec = static_cast<time_t>(aMilliseconds / 1000);
  time.tv_usec = static_cast<suseconds_t>(
    (aMilliseconds - static_cast<double>(time.tv_sec) * 1000) * 1000);
  setsockopt(socket_, SOL_SOCKET, SO_RCVTIMEO, &time, sizeof time);
}

bool
Connection::PeerHasClosed() const
{
  char byte = 0;
  const ssize_t got = recv(socket_, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return got == 0 || (got < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

Message
Connection::Read(bool aIsResponse)
{
  Message message;
  constexpr std::size_t kChunk = 65536;
  const auto more = [this] {
    std::string bytes(kChunk, '\0');
    const ssize_t got = recv(socket_, bytes.data(), bytes.size(), 0);
    if (got <= 0) {
      return false;
    }
    buffer_.append(bytes.data(), static_cast<std::size_t>(got));
    return true;
  };
  std::size_t end = std::string::npos;
  while ((end = buffer_.find("\r\n\r\n")) == std::string::npos) {
    if (!more()) {
      return message;
    }
  }
  const std::string head = buffer_.substr(0, end + 2);
  buffer_.erase(0, end + 4);
  std::size_t at = head.find("\r\n");
  message.start = head.substr(0, at);
  for (at += 2; at < head.size();) {
    const std::size_t next = head.find("\r\n", at);
    const std::string line = head.substr(at, next - at);
    const std::size_t colon = line.find(':');
    std::size_t value = colon + 1;
    while (value < line.size() && line[value] == ' ') {
      ++value;
    }
    message.headers.emplace_back(line.substr(0, colon), line.substr(value));
    at = next + 2;
  }
  if (SameName(message.Header("Transfer-Encoding"), "chunked")) {
    while (true) {
      while ((end = buffer_.find("\r\n")) == std::string::npos) {
        if (!more()) {
          return message;
        }
      }
      const std::size_t size =
        std::strtoul(buffer_.substr(0, end).c_str(), nullptr, 16);
      buffer_.erase(0, end + 2);
      while (buffer_.size() < size + 2) {
        if (!more()) {
          return message;
        }
      }
      message.body += buffer_.substr(0, size);
      buffer_.erase(0, size + 2);
      if (size == 0) {
        message.complete = true;
        return message;
      }
    }
  }
  const std::string length = message.Header("Content-Length");
  if (length.empty() && aIsResponse) {
    message.body = std::exchange(buffer_, "");
    while (more()) {
      message.body += std::exchange(buffer_, "");
    }
    message.complete = true;
    return message;
  }
  const std::size_t size = std::strtoul(length.c_str(), nullptr, 10);
  while (buffer_.size() < size) {
    if (!more()) {
      message.body = std::exchange(buffer_, "");
      return message;
    }
  }
  message.body = buffer_.substr(0, size);
  buffer_.erase(0, size);
  message.complete = true;
  return message;
}

bool
Connection::Write(const std::string& aBytes)
{
  std::size_t written = 0;
  while (written < aBytes.size()) {
    const ssize_t sent = send(
      socket_, aBytes.data() + written, aBytes.size() - written, MSG_NOSIGNAL);
    if (sent <= 0) {
      return false;
    }
    written += static_cast<std::size_t>(sent);
  }
  return true;
}

std::shared_ptr<Connection>
Connect(const std::string& aAddress, uint16_t aPort, double aTimeoutMs)
{
  const int handle = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  auto connection = std::make_shared<Connection>(handle);
  const int on = 1;
  setsockopt(handle, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  const sockaddr_in address = SocketAddress(aAddress, aPort);
  const int flags = fcntl(handle, F_GETFL, 0);
  fcntl(handle, F_SETFL, flags | O_NONBLOCK);
  if (connect(handle,
              reinterpret_cast<const sockaddr*>(&address),
              sizeof address) != 0) {
    if (errno != EINPROGRESS) {
      return nullptr;
    }
    pollfd waiting{ handle, POLLOUT, 0 };
    if (poll(&waiting, 1, static_cast<int>(aTimeoutMs)) != 1) {
      return nullptr;
    }
    int error = 0;
    socklen_t size = sizeof error;
    getsockopt(handle, SOL_SOCKET, SO_ERROR, &error, &size);
    if (error != 0) {
      return nullptr;
    }
  }
  fcntl(handle, F_SETFL, flags);
  return connection;
}

Server::Server(std::string aAddress,
               uint16_t aPort,
               std::function<void(Connection&)> aHandler)
  : socket_(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
  , handler_(std::move(aHandler))
{
  const int on = 1;
  setsockopt(socket_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  const sockaddr_in address = SocketAddress(aAddress, aPort);
  if (bind(socket_,
           reinterpret_cast<const sockaddr*>(&address),
           sizeof address) != 0 ||
      listen(socket_, 1024) != 0) {
    throw std::runtime_error("cannot listen on " + aAddress);
  }
  acceptor_ = std::thread([this] { Accept(); });
}

Server::~Server()
{
  Stop();
}

void
Server::Accept()
{
  while (true) {
    const int handle = accept4(socket_, nullptr, nullptr, SOCK_CLOEXEC);
    if (handle < 0) {
      if (stopping_) {
        return;
      }
      continue;
    }
    const int on = 1;
    setsockopt(handle, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    const std::lock_guard lock(mutex_);
    if (stopping_) {
      close(handle);
      return;
    }
    Served& served = served_.emplace_back();
    served.connection = std::make_unique<Connection>(handle);
    served.thread = std::thread([this, connection = served.connection.get()] {
      handler_(*connection);
      connection->Shut();
    });
  }
}

void
Server::Stop()
{
  if (stopping_.exchange(true)) {
    return;
  }
  shutdown(socket_, SHUT_RDWR);
  acceptor_.join();
  close(socket_);
  std::vector<Served> served;
  {
    const std::lock_guard lock(mutex_);
    served.swap(served_);
  }
  for (const Served& one : served) {
    one.connection->Shut();
  }
  for (Served& one : served) {
    one.thread.join();
  }
}

std::string
Response(int aStatus, const std::string& aBody, const std::string& aHeaders)
{
  return "HTTP/1.1 " + std::to_string(aStatus) + " Status\r\n" + aHeaders +
         "Content-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
}

Store::Store(std::string aAddress, uint16_t aPort, Record& aRecord)
  : record_(aRecord)
{
  server_ = std::make_unique<Server>(
    std::move(aAddress), aPort, [this](Connection& aConnection) {
      Handle(aConnection);
    });
}

Store::~Store()
{
  {
    const std::lock_guard lock(mutex_);
    ending_ = true;
  }
  changed_.notify_all();
  server_->Stop();
}

double
Store::Put(const std::string& aKind,
           const std::string& aName,
           const json& aSpec)
{
  {
    const std::lock_guard lock(mutex_);
    json& object = objects_[aKind][aName];
    if (object.is_null()) {
      object = { { "metadata",
                   { { "name", aName },
                     { "createRev", revision_ + 1 },
                     { "finalizers", json::array() },
                     { "deleting", false } } },
                 { "status", nullptr } };
    }
    object["spec"] = aSpec;
    object["metadata"]["revision"] = ++revision_;
    history_.push_back({ revision_, aKind, false, object });
  }
  changed_.notify_all();
  return Now();
}

double
Store::Remove(const std::string& aKind, const std::string& aName)
{
  {
    const std::lock_guard lock(mutex_);
    auto& kind = objects_[aKind];
    const auto found = kind.find(aName);
    if (found != kind.end()) {
      history_.push_back({ ++revision_, aKind, true, found->second });
      kind.erase(found);
    }
  }
  changed_.notify_all();
  return Now();
}

json
Store::Get(const std::string& aKind, const std::string& aName)
{
  const std::lock_guard lock(mutex_);
  const auto found = objects_[aKind].find(aName);
  return found == objects_[aKind].end() ? json() : found->second;
}

void
Store::SetSilent(bool aSilent)
{
  {
    const std::lock_guard lock(mutex_);
    silent_ = aSilent;
  }
  changed_.notify_all();
}

bool
Store::MayAnswer(std::unique_lock<std::mutex>& aLock)
{
  if (!silent_) {
    return true;
  }
  changed_.wait(aLock, [this] { return ending_ || !silent_; });
  return false;
}

void
Store::Handle(Connection& aConnection)
{
  while (true) {
    const Message request = aConnection.Read();
    if (!request.complete) {
      return;
    }
    SleepMs(kStoreAnswerMs);
    {
      std::unique_lock lock(mutex_);
      if (!MayAnswer(lock)) {
        return;
      }
    }
    const std::string target = request.Target();
    std::string path = target.substr(0, target.find('?'));
    const std::string prefix = "/objects/";
    if (path.compare(0, prefix.size(), prefix) != 0) {
      aConnection.Write(Response(404, "{}"));
      continue;
    }
    path.erase(0, prefix.size());
    const std::size_t slash = path.find('/');
    const std::string kind = path.substr(0, slash);
    std::string name = slash == std::string::npos ? "" : path.substr(slash + 1);
    const std::size_t status = name.find("/status");
    if (status != std::string::npos) {
      name.erase(status);
    }
    const std::string watch = Parameter(target, "watch");
    if (!watch.empty()) {
      const std::string wait = Parameter(target, "waitMs");
      if (!Watch(aConnection,
                 kind,
                 std::stoull(watch),
                 wait.empty() ? 0 : std::stod(wait))) {
        return;
      }
      continue;
    }
    int code = 200;
    json answer;
    if (request.Method() == "GET" && name.empty()) {
      const std::lock_guard lock(mutex_);
      json items = json::array();
      const std::string after = Parameter(target, "after");
      for (const auto& [key, object] : objects_[kind]) {
        if (after.empty() || key > after) {
          items.push_back(object);
        }
      }
      answer = { { "items", items }, { "more", false }, { "asOf", revision_ } };
    } else if (request.Method() == "GET") {
      answer = Get(kind, name);
      code = answer.is_null() ? 404 : 200;
    } else {
      json body;
      try {
        body = json::parse(request.body.empty() ? "{}" : request.body);
      } catch (const std::exception&) {
        code = 400;
      }
      if (code == 200) {
        std::tie(code, answer) = Change(
          request.Method(), kind, name, status != std::string::npos, body);
        record_.Line("store: " + request.Method() + ' ' + kind + '/' + name +
                     " -> " + std::to_string(code));
      }
    }
    if (!aConnection.Write(Response(code,
                                    answer.is_null() ? "{}" : answer.dump(),
                                    "Content-Type: application/json\r\n"))) {
      return;
    }
  }
}

std::pair<int, json>
Store::Change(const std::string& aMethod,
              const std::string& aKind,
              const std::string& aName,
              bool aStatus,
              const json& aBody)
{
  std::pair<int, json> result{ 200, json() };
  {
    const std::lock_guard lock(mutex_);
    auto& kind = objects_[aKind];
    const auto found = kind.find(aName);
    const json metadata = aBody.value("metadata", json::object());
    if (aMethod == "POST") {
      if (found != kind.end()) {
        return { 409, found->second };
      }
      json object = { { "metadata",
                        { { "name", aName },
                          { "createRev", revision_ + 1 },
                          { "revision", revision_ + 1 },
                          { "finalizers", json::array() },
                          { "deleting", false } } },
                      { "spec", aBody.value("spec", json()) },
                      { "status", nullptr } };
      ++revision_;
      kind[aName] = object;
      history_.push_back({ revision_, aKind, false, object });
      result.second = object;
    } else if (found == kind.end()) {
      return { 404, json() };
    } else if (metadata.contains("revision") &&
               metadata["revision"] != found->second["metadata"]["revision"]) {
      return { 409, found->second };
    } else if (aMethod == "DELETE") {
      history_.push_back({ ++revision_, aKind, true, found->second });
      kind.erase(found);
    } else {
      const char* const part = aStatus ? "status" : "spec";
      const json value = aBody.value(part, json());
      if (found->second[part] != value) {
        found->second[part] = value;
        found->second["metadata"]["revision"] = ++revision_;
        history_.push_back({ revision_, aKind, false, found->second });
      }
      result.second = found->second;
    }
  }
  changed_.notify_all();
  return result;
}

bool
Store::Watch(Connection& aConnection,
             const std::string& aKind,
             uint64_t aSince,
             double aWaitMs)
{
  const double end = Now() + aWaitMs;
  json answer;
  {
    std::unique_lock lock(mutex_);
    json events = json::array();
    while (true) {
      if (ending_ || !MayAnswer(lock)) {
        return false;
      }
      for (const Event& event : history_) {
        if (event.kind == aKind && event.revision > aSince) {
          events.push_back(
            { { "removed", event.removed }, { "object", event.object } });
        }
      }
      const double left = end - Now();
      if (!events.empty() || left <= 0) {
        break;
      }
      changed_.wait_for(
        lock, std::chrono::duration<double, std::milli>(std::min(left, 50.0)));
      if (aConnection.PeerHasClosed()) {
        return false;
      }
    }
    answer = { { "events", events }, { "asOf", revision_ } };
  }
  return aConnection.Write(
    Response(200, answer.dump(), "Content-Type: application/json\r\n"));
}

Runner::Runner(RunnerOptions aOptions, Store& aStore, Record& aRecord)
  : options_(std::move(aOptions))
  , store_(aStore)
  , record_(aRecord)
  , born_(std::chrono::duration_cast<std::chrono::milliseconds>(
            std::chrono::system_clock::now().time_since_epoch())
            .count())
{
  server_ = std::make_unique<Server>(
    options_.address, options_.port, [this](Connection& aConnection) {
      Handle(aConnection);
    });
}

Runner::~Runner()
{
  Exit();
}

double
Runner::Announce(const std::string& aState)
{
  draining_ = aState == "draining";
  const double at = store_.Put(
    "servers",
    options_.id,
    { { "service", options_.service },
      { "address", options_.address + ':' + std::to_string(options_.port) },
      { "zone", options_.zone },
      { "version", "v1" },
      { "slots", options_.slots },
      { "state", aState },
      { "coldRemainingMs", sequence_ == 0 ? options_.coldMs : 0 },
      { "born", born_ },
      { "sequence", ++sequence_ } });
  if (announcedAt_ == 0) {
    announcedAt_ = at;
  }
  record_.Line("runner " + options_.id + ": entry " + aState + " acknowledged");
  return at;
}

void
Runner::Exit()
{
  server_->Stop();
}

std::vector<Run>
Runner::Runs()
{
  const std::lock_guard lock(mutex_);
  return runs_;
}

void
Runner::Handle(Connection& aConnection)
{
  while (true) {
    const Message request = aConnection.Read();
    if (!request.complete) {
      return;
    }
    const std::string load = "Runner-Load: " + std::to_string(running_.load()) +
                             ",0," + std::to_string(options_.slots) + "\r\n";
    const std::string self = "Instance: " + options_.id + "\r\n" + load;
    if (request.Target() == "/healthz") {
      const json body = { { "born", born_ } };
      aConnection.Write(Response(draining_ ? 503 : 200, body.dump(), self));
      continue;
    }
    const std::string id = request.Header("Request-Id");
    const std::string expected = request.Header("Expect-Instance");
    if (!expected.empty() && expected != options_.id) {
      aConnection.Write(Response(421, "", self));
      continue;
    }
    if (running_.fetch_add(1) >= options_.slots) {
      --running_;
      aConnection.Write(Response(
        503, "", "Not-Executed: 1\r\nRequest-Id: " + id + "\r\n" + load));
      continue;
    }
    {
      const std::lock_guard lock(mutex_);
      runs_.push_back({ id, options_.id, Now() });
    }
    record_.Line("runner " + options_.id + ": runs " + id);
    SleepMs(options_.workMs);
    --running_;
    std::string body(options_.answerBytes, 'x');
    body.replace(0, std::min(body.size(), id.size()), id);
    if (!aConnection.Write(Response(200,
                                    body,
                                    "Request-Id: " + id +
                                      "\r\nResponse-Seal: seal." + id + "\r\n" +
                                      load))) {
      return;
    }
  }
}

Entry::Entry(EntryOptions aOptions,
             const std::string& aRoot,
             const std::string& aFolder)
  : options_(std::move(aOptions))
{
  const std::string& ip = options_.address;
  const json settings = {
    { "nodeName", options_.name },
    { "role", "entry" },
    { "machineClass", "front" },
    { "serves", { "front", "control" } },
    { "ip", ip },
    { "zone", options_.zone },
    { "region", "ga-south" },
    { "zones",
      { { "macon", "ga-south" },
        { "valdosta", "ga-south" },
        { "albany", "ga-south" } } },
    { "listen",
      { { "front", ip + ":8227" },
        { "ready", ip + ":8220" },
        { "control", ip + ":8229" } } },
    { "portRange", { 7340, 7355 } },
    { "seeds", options_.seeds },
    { "bootstrap", options_.bootstrap },
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
      { { "address", options_.store },
        { "form", "objects" },
        { "writesPerS", 400 },
        { "readsPerS", 2000 },
        { "historyS", 20 },
        { "valueBytes", 1048576 },
        { "ttlMinMs", 1000 } } }
  };
  const std::string file = aFolder + '/' + options_.name + ".json";
  std::ofstream(file) << settings.dump(1);
  const std::string log = aFolder + '/' + options_.name + ".log";
  const std::string program = aRoot + "/target/hibiscusnotch";
  const std::string setting = "HIBISCUSNOTCH_CONFIG=" + file;
  const std::string path = "PATH=/usr/local/bin:/usr/bin:/bin";
  pid_ = fork();
  if (pid_ == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL); // also if the test itself is killed
    if (chdir(aRoot.c_str()) != 0) {
      _exit(126);
    }
    const int out =
      open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    dup2(out, 1);
    dup2(out, 2);
    std::string argument = "entry";
    std::string first = program;
    std::array<char*, 3> arguments{ first.data(), argument.data(), nullptr };
    std::string variable = setting;
    std::string search = path;
    std::array<char*, 3> environment{ variable.data(), search.data(), nullptr };
    execve(program.c_str(), arguments.data(), environment.data());
    _exit(127);
  }
}

Entry::~Entry()
{
  if (!ended_ && pid_ > 0) {
    kill(pid_, SIGCONT);
    kill(pid_, SIGKILL);
    waitpid(pid_, nullptr, 0);
  }
}

void
Entry::Signal(int aSignal) const
{
  kill(pid_, aSignal);
}

bool
Entry::IsReady() const
{
  const auto connection = Connect(options_.address, kReadyPort, 500);
  if (!connection) {
    return false;
  }
  connection->SetReadTimeout(500);
  connection->Write("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n");
  return connection->Read(true).Status() == 200;
}

bool
Entry::AwaitReady(double aMilliseconds) const
{
  const double end = Now() + aMilliseconds;
  while (Now() < end) {
    if (IsReady()) {
      return true;
    }
    SleepMs(50);
  }
  return false;
}

bool
Entry::AwaitEnd(double aMilliseconds)
{
  const double end = Now() + aMilliseconds;
  while (!ended_ && Now() < end) {
    ended_ = waitpid(pid_, nullptr, WNOHANG) == pid_;
    SleepMs(10);
  }
  return ended_;
}

Scene::Scene(const std::string& aRoot, const std::string& aCase)
  : root(aRoot)
  , record(aCase + "/record.txt")
{
  std::signal(SIGPIPE, SIG_IGN);
  const char* setting = std::getenv("TROUBLE");
  trouble = !setting || std::string(setting) != "0";
  network_ = getpid() % 16000;
  std::string name =
    (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
  if (!mkdtemp(name.data())) {
    throw std::runtime_error("no temporary folder");
  }
  folder = name;
}

Scene::~Scene()
{
  if (!std::getenv("KEEP_LOGS")) {
    std::error_code ignored;
    std::filesystem::remove_all(folder, ignored);
  } else {
    std::fprintf(stderr, "logs: %s\n", folder.c_str());
  }
}

std::string
Scene::Address(int aNumber) const
{
  return "127." + std::to_string(60 + network_ / 250) + '.' +
         std::to_string(1 + network_ % 250) + '.' + std::to_string(aNumber);
}

json
PlainConfiguration(int aVersion)
{
  const auto route = [](const char* aName,
                        const char* aPrefix,
                        const char* aKind,
                        int aAttempts) {
    return json{ { "name", aName },
                 { "hostname", "shop.example" },
                 { "pathPrefix", aPrefix },
                 { "kind", aKind },
                 { "timeoutMs", 1500 },
                 { "targetLatencyMs", 300 },
                 { "priority", 2 },
                 { "service", "order-app" },
                 { "maxAttempts", aAttempts },
                 { "authExempt", false },
                 { "stickySessions", false },
                 { "resumable", false } };
  };
  return { { "version", aVersion },
           { "routes",
             { route("order-book", "/order/", "unsafe", 1),
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
             { { { "name", "shop" },
                 { "apiKeys", { "key-1" } },
                 { "priority", 1 } } } } };
}

} // namespace review
