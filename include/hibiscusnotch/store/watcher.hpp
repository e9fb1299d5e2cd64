/// @file
/// @brief Follows all objects of one kind through cuts, gaps and outages.
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
  Duration watchTimeout{ 10'000'000 }; ///< How long the store may hold a watch.
  /// @brief Wait of the watch that follows a change, so that what was known
  /// before the change is confirmed soon.
  Duration watchTimeoutAfterChange{ 10'000'000 };
  /// @brief Pause after a change, so that one call brings the next few. Small
  /// against the shortest bound on a change, which is two seconds.
  Duration batchDelay{ 250'000 };
};

struct WatcherObserver
{
  /// @brief The whole list, after a start or a gap.
  std::function<void(const std::vector<Object>&, uint64_t aAsOf)> onList;
  std::function<void(const Change&, uint64_t aAsOf)> onChange;
  /// @brief All changes up to that time are known here.
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
  /// @brief Until this time lost entries may come back: an outage just ended.
  virtual bool HadRecentOutage(TimePoint aNow) const = 0;
  /// @brief How long the store may hold the next watch.
  virtual void SetWatchTimeout(Duration aWait) = 0;
  /// @brief True while the last call failed or none has succeeded.
  virtual bool Disconnected() const = 0;
};

std::unique_ptr<Watcher>
MakeWatcher(ObjectStore& aStore,
            relay::Timers& aTimers,
            WatcherOptions aOptions,
            WatcherObserver aObserver);

} // namespace hibiscusnotch::store
