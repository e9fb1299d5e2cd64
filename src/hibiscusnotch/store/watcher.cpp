#include "hibiscusnotch/store/watcher.hpp"

#include <algorithm>
#include <random>

namespace hibiscusnotch::store {

namespace {

constexpr Duration kInitialBackoff{ 100'000 };
// Well within the shortest propagation bound.
constexpr Duration kMaxBackoff{ 400'000 };
constexpr Duration kRelistDelay{ 10'000 };  // after a lost history
constexpr Duration kRewatchDelay{ 20'000 }; // after a lost watch
// Shorter than a backoff: the next call goes to another source.
constexpr Duration kMirrorSwitchDelay{ 50'000 };

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

  TimePoint RestoreEnd() const override { return restoreEnd_; }

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
      listPages_ = 0;
      listAge_ = Duration::zero();
      listSentAt_ = timers_.Now();
    }
    store_.List(options_.kind,
                aAfter,
                [this](std::optional<ListPage> aPage, StoreError aError) {
                  OnPage(std::move(aPage), aError);
                });
  }

  /// The next page follows this name; unreadable items may have none.
  static std::string LastName(const std::vector<Object>& aItems)
  {
    const auto last =
      std::find_if(aItems.rbegin(), aItems.rend(), [](const Object& aObject) {
        return !aObject.name.empty();
      });
    return last == aItems.rend() ? std::string() : last->name;
  }

  void OnPage(std::optional<ListPage> aPage, StoreError aError)
  {
    if (!aPage) {
      OnFailure(aError, true);
      return;
    }
    if (listPages_++ == 0) {
      // The watch starts at the first page's revision, so that it also reports
      // changes made while later pages were read.
      listStartVersion_ = aPage->asOf;
    }
    if (aPage->asOf.era != listStartVersion_.era) {
      OnFailure(StoreError::HistoryGone, true); // restored between two pages
      return;
    }
    if (aPage->asOf.era < knownVersion_.era) {
      // This mirror has not noticed yet that the store was restored.
      OnFailure(StoreError::MirrorFailed, true);
      return;
    }
    if (aPage->asOf < knownVersion_) {
      // This list of a lagging mirror would undo known changes; skip it, but
      // watch the mirror for later ones.
      OnSuccess(aPage->restoreTimeLeft);
      observer_.onConfirmed(listSentAt_ - aPage->age);
      Watch(options_.watchTimeout);
      return;
    }
    listAge_ = std::max(listAge_, aPage->age);
    const std::string last = LastName(aPage->items);
    std::ranges::move(aPage->items, std::back_inserter(listedObjects_));
    if (aPage->more && !listedObjects_.empty()) {
      if (last.empty()) {
        OnFailure(StoreError::NoResponse, true); // no name to go on from
      } else {
        ListFrom(last);
      }
      return;
    }
    OnSuccess(aPage->restoreTimeLeft);
    knownVersion_ = listStartVersion_;
    listedOnce_ = true;
    for (Object& object : listedObjects_) {
      object.era = knownVersion_.era;
    }
    observer_.onList(listedObjects_, knownVersion_);
    listedObjects_.clear();
    observer_.onConfirmed(listSentAt_ - listAge_);
    Watch(options_.watchTimeout);
  }

  void Watch(Duration aTimeout)
  {
    const TimePoint sentAt = timers_.Now();
    store_.Watch(options_.kind,
                 knownVersion_,
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
    if (aBatch && aBatch->asOf.era != knownVersion_.era) {
      // The same revision names another change now.
      OnFailure(StoreError::HistoryGone, true);
      return;
    }
    if (!aBatch) {
      OnFailure(aError, aError == StoreError::HistoryGone);
      return;
    }
    OnSuccess(aBatch->restoreTimeLeft);
    knownVersion_ = std::max(knownVersion_, aBatch->asOf);
    for (Change& change : aBatch->changes) {
      change.object.era = knownVersion_.era;
      observer_.onChange(change, knownVersion_);
    }
    if (!aBatch->changes.empty()) {
      observer_.onConfirmed(aSentAt - aBatch->age);
      const bool fallback = aBatch->isFallback;
      timers_.After(
        fallback ? options_.fallbackBatchDelay : options_.batchDelay,
        [this, fallback] {
          Watch(fallback ? options_.fallbackWatchTimeout
                         : std::min(options_.watchTimeout,
                                    options_.watchTimeoutAfterChange));
        });
      return;
    }
    // If the store held the call for the whole wait, there was no change until
    // its end; an earlier empty response confirms only the time of the request.
    const TimePoint now = timers_.Now();
    const bool fullWait = !aBatch->fromMirror && now - aSentAt >= aTimeout;
    observer_.onConfirmed((fullWait ? aSentAt + aTimeout : aSentAt) -
                          aBatch->age);
    if (fullWait || aBatch->fromMirror) {
      Watch(aBatch->isFallback ? options_.fallbackWatchTimeout
                               : options_.watchTimeout);
    } else {
      timers_.After(kInitialBackoff, [this] { Watch(options_.watchTimeout); });
    }
  }

  void OnFailure(StoreError aError, bool aListAgain)
  {
    if (aError == StoreError::MirrorFailed) {
      // A peer's mirror goes on from the known version if it can; lists are
      // long, and all readers of a lost mirror would ask for one at once.
      std::uniform_real_distribution<double> jitter(0.5, 1.5);
      timers_.After(
        core::FromSeconds(core::Seconds(kMirrorSwitchDelay) * jitter(random_)),
        [this, aListAgain] {
          if (aListAgain) {
            ListFrom("");
          } else {
            Watch(std::min(options_.watchTimeout,
                           options_.watchTimeoutAfterChange));
          }
        });
      return;
    }
    if (aError == StoreError::WatchLost ||
        aError == StoreError::WatchOutdated) {
      // The store responds. After an outage, a short watch confirms the state.
      const bool outage = aError == StoreError::WatchLost;
      std::uniform_real_distribution<double> jitter(0.5, 1.5);
      timers_.After(
        core::FromSeconds(core::Seconds(kRewatchDelay) * jitter(random_)),
        [this, outage] {
          Watch(outage ? options_.watchTimeoutAfterFailure
                       : options_.watchTimeout);
        });
      return;
    }
    if (aError == StoreError::HistoryGone) {
      // The source responds; its readers must not lose it over a new list.
      std::uniform_real_distribution<double> jitter(0.7, 1.3);
      timers_.After(
        core::FromSeconds(core::Seconds(kRelistDelay) * jitter(random_)),
        [this] { ListFrom(""); });
      return;
    }
    if (!disconnected_) {
      disconnected_ = true;
      observer_.onDisconnected(aError);
    }
    backoff_ = backoff_ == Duration::zero()
                 ? kInitialBackoff
                 : std::min(kMaxBackoff, backoff_ * 2);
    std::uniform_real_distribution<double> jitter(0.7, 1.3);
    const Duration delay =
      core::FromSeconds(core::Seconds(backoff_) * jitter(random_));
    timers_.After(delay, [this, aListAgain] {
      if (aListAgain) {
        ListFrom("");
      } else {
        Watch(options_.watchTimeoutAfterFailure);
      }
    });
  }

  void OnSuccess(Duration aRestoreTimeLeft)
  {
    backoff_ = Duration::zero();
    if (aRestoreTimeLeft > Duration::zero()) {
      restoreEnd_ = std::max(restoreEnd_, timers_.Now() + aRestoreTimeLeft);
    }
    if (disconnected_) {
      disconnected_ = false;
      observer_.onReconnected();
    }
  }

  ObjectStore& store_;
  relay::Timers& timers_;
  WatcherOptions options_;
  WatcherObserver observer_;
  std::minstd_rand random_;
  std::vector<Object> listedObjects_;
  std::size_t listPages_ = 0;
  TimePoint listSentAt_{};
  StoreVersion listStartVersion_;
  StoreVersion knownVersion_;
  Duration backoff_{ 0 };
  Duration listAge_{ 0 };
  bool listedOnce_ = false;
  bool disconnected_ = false;
  TimePoint restoreEnd_{}; ///< Removed entries may return until then.
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
