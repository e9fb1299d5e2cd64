/// @file
/// @brief A store with history that can fall silent, on the paused clock.
#pragma once

#include "hibiscusnotch/relay/clock.hpp"
#include "hibiscusnotch/store/object_store.hpp"

#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace hibiscusnotch::testing {

/// @brief Holds watches until there is a change. While it is silent, requests
/// and responses are lost and the calls run into their timeouts.
class SimulatedStore : public store::ObjectStore
{
public:
  static constexpr core::Duration kLatency{ 4'000 };
  static constexpr core::Duration kListTimeout{ 1'200'000 };
  static constexpr core::Duration kWatchMargin{ 900'000 };

  explicit SimulatedStore(relay::Timers& aTimers)
    : timers_(aTimers)
  {
  }

  void Put(const std::string& aKind, const std::string& aName)
  {
    store::Object object;
    object.name = aName;
    object.revision = ++revision_;
    object.creationRevision = object.revision;
    object.era = era_;
    objects_[aKind][aName] = object;
    AddEvent(aKind, { object, false });
  }

  void Remove(const std::string& aKind, const std::string& aName)
  {
    store::Object object = objects_[aKind].extract(aName).mapped();
    object.revision = ++revision_;
    AddEvent(aKind, { object, true });
  }

  void GoSilent(core::Duration aDuration)
  {
    silentUntil_ = timers_.Now() + aDuration;
  }

  /// @brief The store becomes a copy of itself in a new era; its watches stay
  /// open and say nothing.
  void Restore()
  {
    ++era_;
    events_.clear();
    watches_.clear();
  }

  std::size_t CallsOf(const std::string& aKind) const
  {
    const auto found = calls_.find(aKind);
    return found == calls_.end() ? 0 : found->second;
  }

  void List(const std::string& aKind,
            const std::string& /*aAfter*/,
            store::ReplyCallback<store::ListPage> aReply) override
  {
    ++calls_[aKind];
    const auto call = Open(std::move(aReply), kListTimeout);
    Receive([this, aKind, call] {
      store::ListPage page;
      for (const auto& [name, object] : objects_[aKind]) {
        page.items.push_back(object);
      }
      page.asOf = { era_, revision_ };
      Respond(call, std::move(page));
    });
  }

  void Watch(const std::string& aKind,
             store::StoreVersion aSince,
             core::Duration aWait,
             store::ReplyCallback<store::ChangeBatch> aReply) override
  {
    ++calls_[aKind];
    const auto call = Open(std::move(aReply), aWait + kWatchMargin);
    Receive([this, aKind, aSince, aWait, call] {
      const std::size_t id = ++lastWatch_;
      watches_[id] = { aKind, aSince, call };
      timers_.After(aWait, [this, id] { AnswerWatch(id, true); });
      AnswerWatch(id, false);
    });
  }

  void Get(const std::string&,
           const std::string&,
           store::ReplyCallback<store::Object>) override
  {
  }
  void Create(const std::string&,
              const store::Object&,
              store::ReplyCallback<store::Object>) override
  {
  }
  void PutStatus(const std::string&,
                 const store::Object&,
                 store::ReplyCallback<store::Object>) override
  {
  }
  void Delete(const std::string&,
              const std::string&,
              store::ReplyCallback<store::Object>) override
  {
  }
  uint64_t CallCount() const override
  {
    uint64_t total = 0;
    for (const auto& [kind, count] : calls_) {
      total += count;
    }
    return total;
  }
  uint64_t Era() const override { return era_; }

private:
  template<class Result>
  struct Call
  {
    store::ReplyCallback<Result> reply;
    relay::TimerId timer = 0;
  };
  template<class Result>
  using CallHandle = std::shared_ptr<Call<Result>>;

  struct HeldWatch
  {
    std::string kind;
    store::StoreVersion since;
    CallHandle<store::ChangeBatch> call;
  };

  bool IsSilent() const { return timers_.Now() < silentUntil_; }

  template<class Result>
  CallHandle<Result> Open(store::ReplyCallback<Result> aReply,
                          core::Duration aTimeout)
  {
    auto call = std::make_shared<Call<Result>>();
    call->reply = std::move(aReply);
    call->timer = timers_.After(aTimeout, [call] {
      const auto reply = std::exchange(call->reply, nullptr);
      reply(std::nullopt, store::StoreError::NoResponse);
    });
    return call;
  }

  void Receive(std::function<void()> aWork)
  {
    timers_.After(kLatency / 2, [this, aWork = std::move(aWork)] {
      if (!IsSilent()) {
        aWork();
      }
    });
  }

  template<class Result>
  void Respond(const CallHandle<Result>& aCall, Result aResult)
  {
    if (IsSilent()) {
      return; // the connection stays open and says nothing any more
    }
    timers_.After(kLatency / 2, [this, aCall, aResult = std::move(aResult)] {
      if (aCall->reply) {
        timers_.Cancel(aCall->timer);
        const auto reply = std::exchange(aCall->reply, nullptr);
        reply(aResult, store::StoreError::None);
      }
    });
  }

  void AddEvent(const std::string& aKind, const store::Change& aChange)
  {
    events_.emplace_back(aKind, aChange);
    std::vector<std::size_t> due;
    for (const auto& [id, watch] : watches_) {
      due.push_back(id);
    }
    for (const std::size_t id : due) {
      AnswerWatch(id, false);
    }
  }

  void AnswerWatch(std::size_t aId, bool aTimedOut)
  {
    const auto watch = watches_.find(aId);
    if (watch == watches_.end()) {
      return;
    }
    store::ChangeBatch batch;
    batch.asOf = { era_, revision_ };
    for (const auto& [kind, change] : events_) {
      if (kind == watch->second.kind &&
          change.object.revision > watch->second.since.revision) {
        batch.changes.push_back(change);
      }
    }
    if (!batch.changes.empty() || aTimedOut) {
      const auto call = watch->second.call;
      watches_.erase(watch);
      Respond(call, std::move(batch));
    }
  }

  relay::Timers& timers_;
  std::map<std::string, std::map<std::string, store::Object>> objects_;
  std::vector<std::pair<std::string, store::Change>> events_;
  std::map<std::size_t, HeldWatch> watches_;
  std::map<std::string, std::size_t> calls_;
  std::size_t lastWatch_ = 0;
  uint64_t revision_ = 0;
  uint64_t era_ = 1;
  core::TimePoint silentUntil_{};
};

} // namespace hibiscusnotch::testing
