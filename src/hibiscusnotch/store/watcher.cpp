#include "hibiscusnotch/store/watcher.hpp"

#include <algorithm>
#include <random>

namespace hibiscusnotch::store {

namespace {

constexpr Duration kFirstPause{ 100'000 };
constexpr Duration kLongestPause{ 400'000 }; // well within the shortest bound
constexpr Duration kSourcePause{ 50'000 };   // another source is asked at once
// Entries that lapse with an outage are restored within about this time.
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
    return lost_ || aNow - regainedAt_ < kRestoreTime;
  }

  void SetWatchTimeout(Duration aWait) override
  {
    options_.watchTimeout = aWait;
  }

  bool Disconnected() const override { return lost_ || !listedOnce_; }

private:
  void ListFrom(const std::string& aAfter)
  {
    if (aAfter.empty()) {
      listed_.clear();
      age_ = Duration::zero();
      listSentAt_ = timers_.Now();
    }
    store_.List(options_.kind,
                aAfter,
                [this](std::optional<ListPage> aPage, StoreError aFault) {
                  OnPage(std::move(aPage), aFault);
                });
  }

  void OnPage(std::optional<ListPage> aPage, StoreError aFault)
  {
    if (!aPage) {
      Fail(aFault, true);
      return;
    }
    if (listed_.empty()) {
      // Changes during a long listing are seen again by the watch.
      firstAsOf_ = aPage->asOf;
    }
    if (aPage->asOf < since_) {
      // A mirror that lags behind what is known here would undo it. What it
      // learns from now on still counts.
      NoteOutage(aPage->recentOutage);
      Succeed();
      observer_.onConfirmed(listSentAt_ - aPage->age);
      Watch(options_.watchTimeout);
      return;
    }
    NoteOutage(aPage->recentOutage);
    age_ = std::max(age_, aPage->age);
    const bool more = aPage->more && !aPage->items.empty();
    std::ranges::move(aPage->items, std::back_inserter(listed_));
    if (more) {
      ListFrom(listed_.back().name);
      return;
    }
    Succeed();
    since_ = firstAsOf_;
    listedOnce_ = true;
    observer_.onList(listed_, since_);
    listed_.clear();
    observer_.onConfirmed(listSentAt_ - age_);
    Watch(options_.watchTimeout);
  }

  void Watch(Duration aWait)
  {
    const TimePoint sentAt = timers_.Now();
    store_.Watch(options_.kind,
                 since_,
                 aWait,
                 [this, sentAt, aWait](std::optional<ChangeBatch> aBatch,
                                       StoreError aFault) {
                   OnBatch(sentAt, aWait, std::move(aBatch), aFault);
                 });
  }

  void OnBatch(TimePoint aSentAt,
               Duration aWait,
               std::optional<ChangeBatch> aBatch,
               StoreError aFault)
  {
    if (!aBatch) {
      Fail(aFault, aFault == StoreError::HistoryGone);
      return;
    }
    Succeed();
    NoteOutage(aBatch->recentOutage);
    since_ = std::max(since_, aBatch->asOf);
    for (const Change& change : aBatch->changes) {
      observer_.onChange(change, since_);
    }
    if (!aBatch->changes.empty()) {
      observer_.onConfirmed(aSentAt - aBatch->age);
      timers_.After(options_.batchDelay, [this] {
        Watch(
          std::min(options_.watchTimeout, options_.watchTimeoutAfterChange));
      });
      return;
    }
    // The store held the call for the whole wait and saw no change.
    const TimePoint now = timers_.Now();
    const bool held = now - aSentAt >= aWait;
    observer_.onConfirmed((held ? aSentAt + aWait : aSentAt) - aBatch->age);
    if (held) {
      Watch(options_.watchTimeout);
    } else {
      timers_.After(kFirstPause, [this] { Watch(options_.watchTimeout); });
    }
  }

  /// A source that was cut off may report entries as removed that come back.
  void NoteOutage(bool aAfterOutage)
  {
    if (aAfterOutage) {
      regainedAt_ = timers_.Now();
    }
  }

  void Fail(StoreError aFault, bool aListAgain)
  {
    if (aFault == StoreError::MirrorFailed) {
      timers_.After(kSourcePause, [this] { ListFrom(""); });
      return;
    }
    if (!lost_) {
      lost_ = true;
      observer_.onDisconnected(aFault);
    }
    pause_ = pause_ == Duration::zero() ? kFirstPause
                                        : std::min(kLongestPause, pause_ * 2);
    if (aFault == StoreError::HistoryGone) {
      pause_ = kFirstPause / 10;
    }
    std::uniform_real_distribution<double> spread(0.7, 1.3);
    const Duration pause =
      core::FromSeconds(core::Seconds(pause_) * spread(random_));
    timers_.After(pause, [this, aListAgain] {
      if (aListAgain) {
        ListFrom("");
      } else {
        Watch(options_.watchTimeoutAfterChange);
      }
    });
  }

  void Succeed()
  {
    pause_ = Duration::zero();
    if (lost_) {
      lost_ = false;
      regainedAt_ = timers_.Now();
      observer_.onReconnected();
    }
  }

  ObjectStore& store_;
  relay::Timers& timers_;
  WatcherOptions options_;
  WatcherObserver observer_;
  std::minstd_rand random_;
  std::vector<Object> listed_;
  TimePoint listSentAt_{};
  uint64_t firstAsOf_ = 0;
  uint64_t since_ = 0;
  Duration pause_{ 0 };
  Duration age_{ 0 };
  bool listedOnce_ = false;
  bool lost_ = false;
  TimePoint regainedAt_{ Duration{ -1'000'000'000 } };
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
