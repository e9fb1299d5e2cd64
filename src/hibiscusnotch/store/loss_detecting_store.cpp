#include "hibiscusnotch/store/loss_detecting_store.hpp"

#include <algorithm>
#include <map>
#include <set>
#include <span>
#include <utility>
#include <vector>

namespace hibiscusnotch::store {

namespace {

/// Revisions of the store that the responses have brought.
class RevisionLedger
{
public:
  /// The latest revision that a response has named.
  uint64_t Latest() const { return latest_; }
  /// All changes up to this revision have been brought or given up.
  uint64_t Complete() const { return complete_; }

  void StartAt(uint64_t aRevision)
  {
    latest_ = aRevision;
    complete_ = aRevision;
    received_.clear();
  }

  void AddChange(uint64_t aRevision)
  {
    if (aRevision > complete_) {
      received_.insert(aRevision);
    }
  }

  void SetLatest(uint64_t aRevision)
  {
    latest_ = std::max(latest_, aRevision);
    SkipReceived();
  }

  void GiveUpTo(uint64_t aRevision)
  {
    complete_ = std::max(complete_, aRevision);
    received_.erase(received_.begin(), received_.upper_bound(complete_));
    SkipReceived();
  }

private:
  void SkipReceived()
  {
    while (!received_.empty() && *received_.begin() == complete_ + 1) {
      ++complete_;
      received_.erase(received_.begin());
    }
  }

  uint64_t latest_ = 0;
  uint64_t complete_ = 0;
  std::set<uint64_t> received_; ///< Those above the complete ones.
};

class LossDetectingStore : public ObjectStore
{
public:
  LossDetectingStore(ObjectStore& aStore,
                     relay::Timers& aTimers,
                     LossDetectionOptions aOptions,
                     LossDetectionObserver aObserver)
    : store_(aStore)
    , timers_(aTimers)
    , options_(aOptions)
    , observer_(std::move(aObserver))
  {
  }

  void List(const std::string& aKind,
            const std::string& aAfter,
            ReplyCallback<ListPage> aReply) override
  {
    store_.List(aKind,
                aAfter,
                [this, sentAt = timers_.Now(), aReply = std::move(aReply)](
                  std::optional<ListPage> aPage, StoreError aError) {
                  std::vector<WatchId> lost;
                  if (aPage) {
                    std::vector<uint64_t> revisions;
                    for (const Object& object : aPage->items) {
                      revisions.push_back(object.revision);
                    }
                    lost = OnResponse(aPage->asOf, revisions);
                    aPage->restoreTimeLeft = RestoreTimeLeft();
                  } else {
                    OnFailure(aError, sentAt);
                  }
                  aReply(std::move(aPage), aError);
                  EndWatches(lost);
                });
  }

  void Watch(const std::string& aKind,
             StoreVersion aSince,
             Duration aWait,
             ReplyCallback<ChangeBatch> aReply) override
  {
    const WatchId id = ++lastWatch_;
    OpenWatch& watch = watches_[id];
    watch.kind = aKind;
    watch.since = aSince;
    watch.sentAt = timers_.Now();
    watch.due = watch.sentAt + aWait;
    // The store responds at once to a watch that lacks changes.
    watch.checkedUpTo = std::max(aSince.revision, ledger_.Latest());
    watch.reply = std::move(aReply);
    store_.Watch(
      aKind,
      aSince,
      aWait,
      [this, id](std::optional<ChangeBatch> aBatch, StoreError aError) {
        OnWatchReply(id, std::move(aBatch), aError);
      });
  }

  void Get(const std::string& aKind,
           const std::string& aName,
           ReplyCallback<Object> aReply) override
  {
    store_.Get(aKind, aName, std::move(aReply));
  }
  void Create(const std::string& aKind,
              const Object& aObject,
              ReplyCallback<Object> aReply) override
  {
    store_.Create(aKind, aObject, std::move(aReply));
  }
  void PutStatus(const std::string& aKind,
                 const Object& aObject,
                 ReplyCallback<Object> aReply) override
  {
    store_.PutStatus(aKind, aObject, std::move(aReply));
  }
  void Delete(const std::string& aKind,
              const std::string& aName,
              ReplyCallback<Object> aReply) override
  {
    store_.Delete(aKind, aName, std::move(aReply));
  }
  uint64_t CallCount() const override { return store_.CallCount(); }
  uint64_t Era() const override { return store_.Era(); }

private:
  using WatchId = uint64_t;

  struct OpenWatch
  {
    std::string kind;
    StoreVersion since;
    TimePoint sentAt{};
    TimePoint due{};
    /// Changes up to this revision would have been in an immediate response.
    uint64_t checkedUpTo = 0;
    ReplyCallback<ChangeBatch> reply;
    WatchLoss loss = WatchLoss::Outage; ///< Why it is ended.
  };

  void OnWatchReply(WatchId aId,
                    std::optional<ChangeBatch> aBatch,
                    StoreError aError)
  {
    auto watch = watches_.extract(aId);
    if (watch.empty()) {
      return; // ended before; its reader has sent another one
    }
    std::vector<WatchId> lost;
    if (aBatch) {
      std::vector<uint64_t> revisions;
      for (const Change& change : aBatch->changes) {
        revisions.push_back(change.object.revision);
      }
      lost = OnResponse(aBatch->asOf, revisions);
      aBatch->restoreTimeLeft = RestoreTimeLeft();
    } else {
      OnFailure(aError, watch.mapped().sentAt);
    }
    watch.mapped().reply(std::move(aBatch), aError);
    EndWatches(lost);
  }

  void OnFailure(StoreError aError, TimePoint aSentAt)
  {
    responseMissing_ = responseMissing_ || aError == StoreError::NoResponse;
    if (aError == StoreError::NoResponse || aError == StoreError::Refused) {
      isFailing_ = true;
      lastFailedCallAt_ = std::max(lastFailedCallAt_, aSentAt);
    }
  }

  Duration RestoreTimeLeft() const
  {
    return std::max(Duration::zero(), restoreEnd_ - timers_.Now());
  }

  /// Returns the watches that the response shows to be lost.
  std::vector<WatchId> OnResponse(StoreVersion aAsOf,
                                  std::span<const uint64_t> aRevisions)
  {
    std::vector<WatchId> lost;
    if (std::exchange(isFailing_, false)) {
      restoreEnd_ = std::min(timers_.Now() + options_.restoreTime,
                             lastFailedCallAt_ + options_.maxRestoreTime);
    }
    if (std::exchange(responseMissing_, false)) {
      MarkLost(WatchLoss::Outage, lost, [this](const OpenWatch& aWatch) {
        return HasTimeLeft(aWatch);
      });
    }
    if (!started_ || aAsOf.era > era_) {
      started_ = true;
      era_ = aAsOf.era;
      ledger_.StartAt(aAsOf.revision);
      MarkLost(WatchLoss::Restored, lost, [&aAsOf](const OpenWatch& aWatch) {
        return aWatch.since.era < aAsOf.era;
      });
    } else if (aAsOf.era == era_) {
      for (const uint64_t revision : aRevisions) {
        ledger_.AddChange(revision);
      }
      ledger_.SetLatest(aAsOf.revision);
      ScheduleCheck();
    }
    return lost;
  }

  template<class Predicate>
  void MarkLost(WatchLoss aReason,
                std::vector<WatchId>& aLost,
                const Predicate& aIsLost)
  {
    for (auto& [id, watch] : watches_) {
      if (aIsLost(watch)) {
        watch.loss = aReason;
        aLost.push_back(id);
      }
    }
  }

  bool HasTimeLeft(const OpenWatch& aWatch) const
  {
    return aWatch.due - timers_.Now() > options_.minTimeLeft;
  }

  void ScheduleCheck()
  {
    if (checkScheduled_ || ledger_.Complete() >= ledger_.Latest()) {
      return;
    }
    checkScheduled_ = true;
    timers_.After(
      options_.maxRevisionLag, [this, era = era_, revision = ledger_.Latest()] {
        checkScheduled_ = false;
        if (era == era_ && ledger_.Complete() < revision) {
          std::vector<WatchId> lost;
          MarkLost(WatchLoss::Revision, lost, [&](const OpenWatch& aWatch) {
            return aWatch.checkedUpTo < revision && HasTimeLeft(aWatch);
          });
          ledger_.GiveUpTo(revision);
          EndWatches(lost);
        }
        ScheduleCheck();
      });
  }

  void EndWatches(std::span<const WatchId> aIds)
  {
    for (const WatchId id : aIds) {
      auto watch = watches_.extract(id);
      if (watch.empty()) {
        continue;
      }
      const OpenWatch& ended = watch.mapped();
      observer_.onWatchLost(
        ended.kind, ended.loss, timers_.Now() - ended.sentAt);
      ended.reply(std::nullopt, ErrorOf(ended.loss));
    }
  }

  static StoreError ErrorOf(WatchLoss aReason)
  {
    switch (aReason) {
      case WatchLoss::Outage:
        return StoreError::WatchLost;
      case WatchLoss::Revision:
        return StoreError::WatchOutdated;
      case WatchLoss::Restored:
        return StoreError::HistoryGone;
    }
    return StoreError::WatchLost;
  }

  ObjectStore& store_;
  relay::Timers& timers_;
  LossDetectionOptions options_;
  LossDetectionObserver observer_;
  std::map<WatchId, OpenWatch> watches_;
  WatchId lastWatch_ = 0;
  RevisionLedger ledger_;
  uint64_t era_ = 0;
  bool started_ = false; ///< A response has named a version.
  bool responseMissing_ = false;
  bool isFailing_ = false;       ///< No call has succeeded since one failed.
  TimePoint lastFailedCallAt_{}; ///< When it was sent.
  TimePoint restoreEnd_{};
  bool checkScheduled_ = false;
};

} // namespace

const char*
WatchLossName(WatchLoss aReason)
{
  switch (aReason) {
    case WatchLoss::Outage:
      return "outage";
    case WatchLoss::Revision:
      return "revision";
    case WatchLoss::Restored:
      return "restored";
  }
  return "outage";
}

std::unique_ptr<ObjectStore>
MakeLossDetectingStore(ObjectStore& aStore,
                       relay::Timers& aTimers,
                       LossDetectionOptions aOptions,
                       LossDetectionObserver aObserver)
{
  return std::make_unique<LossDetectingStore>(
    aStore, aTimers, aOptions, std::move(aObserver));
}

} // namespace hibiscusnotch::store
