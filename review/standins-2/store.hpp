/// @file
/// @brief A sound metadata store of the platform: objects by kind and name,
/// conditional writes, lists, watches and an era that rises with a restore.
#pragma once

#include "net.hpp"

#include <condition_variable>
#include <deque>
#include <nlohmann/json.hpp>

namespace review {

using nlohmann::json;

class Store
{
public:
  explicit Store(const Address& aAddress)
    : server_(aAddress, [this](int aFd) { Serve(aFd); })
  {
  }

  const Address& At() const { return server_.At(); }

  /// The operator or a runner writes; the return is the acknowledgement.
  uint64_t Put(const std::string& aKind,
               const std::string& aName,
               const json& aSpec)
  {
    const std::scoped_lock lock(mutex_);
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
    Commit(aKind, object, false);
    return revision_;
  }

  void Remove(const std::string& aKind, const std::string& aName)
  {
    const std::scoped_lock lock(mutex_);
    auto& kind = objects_[aKind];
    const auto found = kind.find(aName);
    if (found != kind.end()) {
      json last = found->second;
      kind.erase(found);
      Commit(aKind, last, true);
    }
  }

  json Get(const std::string& aKind, const std::string& aName)
  {
    const std::scoped_lock lock(mutex_);
    const auto& kind = objects_[aKind];
    const auto found = kind.find(aName);
    return found == kind.end() ? json() : found->second;
  }

  std::size_t Count(const std::string& aKind)
  {
    const std::scoped_lock lock(mutex_);
    return objects_[aKind].size();
  }

private:
  struct Event
  {
    uint64_t revision = 0;
    std::string kind;
    bool removed = false;
    json object;
  };

  void Commit(const std::string& aKind, json& aObject, bool aRemoved)
  {
    aObject["metadata"]["revision"] = ++revision_;
    history_.push_back({ revision_, aKind, aRemoved, aObject });
    changed_.notify_all();
  }

  static uint64_t Parameter(const std::string& aQuery, const std::string& aName)
  {
    const std::size_t at = ('&' + aQuery).find('&' + aName + '=');
    return at == std::string::npos
             ? 0
             : std::strtoull(
                 aQuery.c_str() + at + aName.size() + 1, nullptr, 10);
  }

  static std::string Unescape(const std::string& aText)
  {
    std::string text;
    for (std::size_t at = 0; at < aText.size(); ++at) {
      if (aText[at] == '%' && at + 2 < aText.size()) {
        text += static_cast<char>(
          std::strtoul(aText.substr(at + 1, 2).c_str(), nullptr, 16));
        at += 2;
      } else {
        text += aText[at];
      }
    }
    return text;
  }

  void Serve(int aFd)
  {
    Reader reader(aFd);
    Message request;
    while (reader.Read(request, false)) {
      SleepMs(4); // the sheet's time for an answer
      int status = 200;
      json body;
      const std::string target = request.Target();
      const std::size_t question = target.find('?');
      const std::string query =
        question == std::string::npos ? "" : target.substr(question + 1);
      std::vector<std::string> parts;
      std::string path = target.substr(0, question);
      for (std::size_t at = 1; at <= path.size();) {
        const std::size_t slash = std::min(path.find('/', at), path.size());
        parts.push_back(Unescape(path.substr(at, slash - at)));
        at = slash + 1;
      }
      if (parts.size() < 2 || parts[0] != "objects") {
        status = 404;
      } else if (request.Method() == "GET") {
        Read(parts, query, status, body);
      } else {
        Write(parts, query, request, status, body);
      }
      const bool last =
        strcasecmp(Find(request.headers, "Connection").c_str(), "close") == 0;
      if (!SendAll(aFd,
                   FormatMessage("HTTP/1.1 " + std::to_string(status) + " -",
                                 { { "Content-Type", "application/json" },
                                   { "Store-Era", "1" } },
                                 body.dump())) ||
          last) {
        return;
      }
      request = {};
    }
  }

  void Read(const std::vector<std::string>& aParts,
            const std::string& aQuery,
            int& aStatus,
            json& aBody)
  {
    std::unique_lock lock(mutex_);
    const std::string& kind = aParts[1];
    if (aParts.size() > 2) {
      const auto found = objects_[kind].find(aParts[2]);
      aStatus = found == objects_[kind].end() ? 404 : 200;
      aBody = found == objects_[kind].end() ? json::object() : found->second;
      return;
    }
    if (aQuery.find("watch=") == std::string::npos) {
      json items = json::array();
      for (const auto& [name, object] : objects_[kind]) {
        items.push_back(object);
      }
      aBody = { { "items", items }, { "more", false }, { "asOf", revision_ } };
      return;
    }
    const uint64_t since = Parameter(aQuery, "watch");
    const auto until = std::chrono::steady_clock::now() +
                       std::chrono::milliseconds(Parameter(aQuery, "waitMs"));
    json events = json::array();
    while (true) {
      for (const Event& event : history_) {
        if (event.kind == kind && event.revision > since) {
          events.push_back(
            { { "object", event.object }, { "removed", event.removed } });
        }
      }
      if (!events.empty() ||
          changed_.wait_until(lock, until) == std::cv_status::timeout) {
        break;
      }
    }
    aBody = { { "events", events }, { "asOf", revision_ } };
  }

  void Write(const std::vector<std::string>& aParts,
             const std::string& aQuery,
             const Message& aRequest,
             int& aStatus,
             json& aBody)
  {
    const json sent = json::parse(aRequest.body, nullptr, false);
    const std::scoped_lock lock(mutex_);
    auto& kind = objects_[aParts[1]];
    std::string name = aParts.size() > 2 ? aParts[2] : std::string();
    if (name.empty() && sent.is_object()) {
      name = sent["metadata"]["name"].get<std::string>();
    }
    const auto found = kind.find(name);
    const bool isStatus = aParts.size() > 3 && aParts[3] == "status";
    if (aRequest.Method() == "POST") {
      if (found != kind.end()) {
        aStatus = 409;
        aBody = found->second;
        return;
      }
      json object = { { "metadata",
                        { { "name", name },
                          { "createRev", revision_ + 1 },
                          { "finalizers", json::array() },
                          { "deleting", false } } },
                      { "spec", sent.value("spec", json()) },
                      { "status", nullptr } };
      Commit(aParts[1], object, false);
      kind[name] = object;
      aBody = object;
      return;
    }
    if (found == kind.end()) {
      aStatus = 404;
      aBody = json::object();
      return;
    }
    uint64_t condition = Parameter(aQuery, "revision");
    if (sent.is_object() && sent.contains("metadata")) {
      condition = sent["metadata"].value("revision", condition);
    }
    if (condition != 0 && condition != found->second["metadata"]["revision"]) {
      aStatus = 409;
      aBody = found->second;
      return;
    }
    if (aRequest.Method() == "DELETE") {
      json last = found->second;
      kind.erase(found);
      Commit(aParts[1], last, true);
      aBody = last;
      return;
    }
    json& object = found->second;
    const char* const part = isStatus ? "status" : "spec";
    if (object[part] != sent.value(part, json())) {
      object[part] = sent.value(part, json());
      Commit(aParts[1], object, false);
    }
    aBody = object;
  }

  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, std::map<std::string, json>> objects_;
  std::deque<Event> history_;
  uint64_t revision_ = 100;
  Server server_; // last: its threads use the members above
};

} // namespace review
