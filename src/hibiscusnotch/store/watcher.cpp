#include "hibiscusnotch/store/watcher.hpp"

#include <algorithm>
#include <random>

namespace hibiscusnotch::store {

namespace {

constexpr Duration kInitialBackoff{ 100'000 };
// Well within the shortest propagation bound.
constexpr Duration kMaxBackoff{ 400'000 };
// Shorter than a backoff: the next call goes to another source.
constexpr Duration kMirrorSwitchDelay{ 50'000 };
// Entries that expired during an outage are restored within about this time.
constexpr Duration kRestoreTime{ 2'500'000 };

class ListAndWatch : public Watcher
{
public:
  ListAndWatch(ObjectStore& aStore,
               relay::Timers& aTimers,
               WatcherOptions aOptions,
               WatcherObserver aObserver)
    : store_(aStore)
    , timers_(aTimers)
    , options_(std::move(aOptions))
    , observer_(std::move(aObserver))
    , random_(std::random_device{}())
  {
    ListFrom("");
  }

  bool HadRecentOutage(TimePoint aNow) const override
  {
    return disconnected_ || aNow - outageEndedAt_ < kRestoreTime;
  }

  void SetWatchTimeout(Duration aTimeout) override
  {
    options_.watchTimeout = aTimeout;
  }

  bool Disconnected() const override { return disconnected_ || !listedOnce_; }

private:
  void ListFrom(const std::string& aAfter)
  {
    if (aAfter.empty()) {
      listedObjects_.clear();
      listAge_ = Duration::zero();
      listSentAt_ = timers_.Now();
    }
    store_.List(options_.kind,
                aAfter,
                [this](std::optional<ListPage> aPage, StoreError aError) {
                  OnPage(std::move(aPage), aError);
                });
  }

  void OnPage(std::optional<ListPage> aPage, StoreError aError)
  {
    if (!aPage) {
      OnFailure(aError, true);
      return;
    }
    if (listedObjects_.empty()) {
      // The watch starts at the first page's revision, so that it also reports
      // changes made while later pages were read.
      listStartRevision_ = aPage->asOf;
    }
    if (aPage->asOf < knownRevision_) {
      // This list of a lagging mirror would undo known changes; skip it, but
      // watch the mirror for later ones.
      RecordMirrorOutage(aPage->recentOutage);
      OnSuccess();
      observer_.onConfirmed(listSentAt_ - aPage->age);
      Watch(options_.watchTimeout);
      return;
    }
    RecordMirrorOutage(aPage->recentOutage);
    listAge_ = std::max(listAge_, aPage->age);
    const bool more = aPage->more && !aPage->items.empty();
    std::ranges::move(aPage->items, std::back_inserter(listedObjects_));
    if (more) {
      ListFrom(listedObjects_.back().name);
      return;
    }
    OnSuccess();
    knownRevision_ = listStartRevision_;
    listedOnce_ = true;
    observer_.onList(listedObjects_, knownRevision_);
    listedObjects_.clear();
    observer_.onConfirmed(listSentAt_ - listAge_);
    Watch(options_.watchTimeout);
  }

  void Watch(Duration aTimeout)
  {
    const TimePoint sentAt = timers_.Now();
    store_.Watch(options_.kind,
                 knownRevision_,
                 aTimeout,
                 [this, sentAt, aTimeout](std::optional<ChangeBatch> aBatch,
                                          StoreError aError) {
                   OnBatch(sentAt, aTimeout, std::move(aBatch), aError);
                 });
  }

  void OnBatch(TimePoint aSentAt,
               Duration aTimeout,
               std::optional<ChangeBatch> aBatch,
               StoreError aError)
  {
    if (!aBatch) {
      OnFailure(aError, aError == StoreError::HistoryGone);
      return;
    }
    OnSuccess();
    RecordMirrorOutage(aBatch->recentOutage);
    knownRevision_ = std::max(knownRevision_, aBatch->asOf);
    for (const Change& change : aBatch->changes) {
      observer_.onChange(change, knownRevision_);
    }
    if (!aBatch->changes.empty()) {
      observer_.onConfirmed(aSentAt - aBatch->age);
      timers_.After(options_.batchDelay, [this] {
        Watch(
          std::min(options_.watchTimeout, options_.watchTimeoutAfterChange));
      });
      return;
    }
    // If the store held the call for the whole wait, there was no change until
    // its end; an earlier empty response confirms only the time of the request.
    const TimePoint now = timers_.Now();
    const bool fullWait = now - aSentAt >= aTimeout;
    observer_.onConfirmed((fullWait ? aSentAt + aTimeout : aSentAt) -
                          aBatch->age);
    if (fullWait) {
      Watch(options_.watchTimeout);
    } else {
      timers_.After(kInitialBackoff, [this] { Watch(options_.watchTimeout); });
    }
  }

  /// After a mirror's outage, entries that it reports as removed may return.
  void RecordMirrorOutage(bool aRecentOutage)
  {
    if (aRecentOutage) {
      outageEndedAt_ = timers_.Now();
    }
  }

  void OnFailure(StoreError aError, bool aListAgain)
  {
    if (aError == StoreError::MirrorFailed) {
      timers_.After(kMirrorSwitchDelay, [this] { ListFrom(""); });
      return;
    }
    if (!disconnected_) {
      disconnected_ = true;
      observer_.onDisconnected(aError);
    }
    backoff_ = backoff_ == Duration::zero()
                 ? kInitialBackoff
                 : std::min(kMaxBackoff, backoff_ * 2);
    if (aError == StoreError::HistoryGone) {
      backoff_ = kInitialBackoff / 10;
    }
    std::uniform_real_distribution<double> jitter(0.7, 1.3);
    const Duration delay =
      core::FromSeconds(core::Seconds(backoff_) * jitter(random_));
    timers_.After(delay, [this, aListAgain] {
      if (aListAgain) {
        ListFrom("");
      } else {
        Watch(options_.watchTimeoutAfterChange);
      }
    });
  }

  void OnSuccess()
  {
    backoff_ = Duration::zero();
    if (disconnected_) {
      disconnected_ = false;
      outageEndedAt_ = timers_.Now();
      observer_.onReconnected();
    }
  }

  ObjectStore& store_;
  relay::Timers& timers_;
  WatcherOptions options_;
  WatcherObserver observer_;
  std::minstd_rand random_;
  std::vector<Object> listedObjects_;
  TimePoint listSentAt_{};
  uint64_t listStartRevision_ = 0;
  uint64_t knownRevision_ = 0;
  Duration backoff_{ 0 };
  Duration listAge_{ 0 };
  bool listedOnce_ = false;
  bool disconnected_ = false;
  TimePoint outageEndedAt_{ Duration{ -1'000'000'000 } };
};

} // namespace

std::unique_ptr<Watcher>
MakeWatcher(ObjectStore& aStore,
            relay::Timers& aTimers,
            WatcherOptions aOptions,
            WatcherObserver aObserver)
{
  return std::make_unique<ListAndWatch>(
    aStore, aTimers, std::move(aOptions), std::move(aObserver));
}

} // namespace hibiscusnotch::store
