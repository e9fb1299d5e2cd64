/// @file
/// @brief Lists and watches one kind, across failures of its sources.
#pragma once

#include "hibiscusnotch/relay/clock.hpp"
#include "hibiscusnotch/store/object_store.hpp"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace hibiscusnotch::store {

struct WatcherOptions
{
  std::string kind;
  /// @brief How long the store may hold a watch without a change.
  Duration watchTimeout{ 10'000'000 };
  /// @brief Timeout of the watch that follows a change. A change confirms the
  /// state only as of its request; a short watch confirms it sooner.
  Duration watchTimeoutAfterChange{ 10'000'000 };
  /// @brief The same after a failure or an outage, so that the state is
  /// confirmed soon.
  Duration watchTimeoutAfterFailure{ 500'000 };
  /// @brief Delay after a change, so that one call fetches several changes. It
  /// is small against the shortest propagation bound, which is two seconds.
  Duration batchDelay{ 250'000 };
  /// @brief Both for a reader that no mirror serves. When many readers lose
  /// their mirrors at once, all of them call the store.
  Duration fallbackBatchDelay{ 1'000'000 };
  Duration fallbackWatchTimeout{ 10'000'000 };
};

struct WatcherObserver
{
  /// @brief The complete list, after a start or a gap in the history.
  std::function<void(const std::vector<Object>&, StoreVersion aAsOf)> onList;
  std::function<void(const Change&, StoreVersion aAsOf)> onChange;
  /// @brief All changes up to the time have been reported.
  std::function<void(TimePoint)> onConfirmed;
  /// @brief The first failure after a success.
  std::function<void(StoreError)> onDisconnected;
  /// @brief The first success after a failure.
  std::function<void()> onReconnected;
};

class Watcher
{
public:
  virtual ~Watcher() = default;
  /// @brief Until when entries that expired in the last outage may return; in
  /// the past if there was none.
  virtual TimePoint RestoreEnd() const = 0;
  /// @brief Sets the timeout of the next watch.
  virtual void SetWatchTimeout(Duration aWait) = 0;
  /// @brief True if the last call failed or no list has succeeded yet.
  virtual bool Disconnected() const = 0;
};

std::unique_ptr<Watcher>
MakeWatcher(ObjectStore& aStore,
            relay::Timers& aTimers,
            WatcherOptions aOptions,
            WatcherObserver aObserver);

} // namespace hibiscusnotch::store
