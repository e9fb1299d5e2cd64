/// @file
/// @brief Store access that notices watches whose response was lost.
#pragma once

#include "hibiscusnotch/relay/clock.hpp"
#include "hibiscusnotch/store/object_store.hpp"

#include <functional>
#include <memory>
#include <string>

namespace hibiscusnotch::store {

struct LossDetectionOptions
{
  /// @brief How long a change that the store has made may be missing in the
  /// responses before the open watches count as lost. Longer than the pause
  /// between two watches of one kind.
  Duration maxRevisionLag{ 1'500'000 };
  /// @brief A watch that is due within this time is left to its own timeout.
  Duration minTimeLeft{ 500'000 };
  /// @brief Entries that expired in an outage return within this time after it.
  Duration restoreTime{ 2'500'000 };
  /// @brief The same at most, after the last call that failed was sent: the
  /// store was not back before. Shorter than the time after which an instance
  /// counts as in touch with the store again, and as bound by removals.
  Duration maxRestoreTime{ 2'900'000 };
};

/// @brief Why a watch was ended before its response or timeout.
enum class WatchLoss
{
  Outage,   ///< A call got no response, and the store responds again.
  Revision, ///< The store has made a change that no response has brought.
  Restored, ///< The store has been restored from a copy.
};

/// @brief The name of a reason in the log.
const char*
WatchLossName(WatchLoss aReason);

struct LossDetectionObserver
{
  /// @param aOpen How long the watch had been open.
  std::function<
    void(const std::string& aKind, WatchLoss aReason, Duration aOpen)>
    onWatchLost;
};

/// @brief Wraps a direct store client and ends watches that will get no
/// response: a store that was silent for a moment keeps their connections open
/// and says nothing any more.
///
/// What shows it are the responses to the other calls. They carry the revision
/// of the whole store, so a change of any kind appears there even if the
/// watch that should have reported it was lost. A watch is ended with
/// WatchLost, WatchOutdated or HistoryGone, and its reader watches again. In
/// a store that does not fail this takes no additional calls.
///
/// Responses after an outage say how much longer entries that expired in it may
/// return, whichever kind's calls have noticed it.
std::unique_ptr<ObjectStore>
MakeLossDetectingStore(ObjectStore& aStore,
                       relay::Timers& aTimers,
                       LossDetectionOptions aOptions,
                       LossDetectionObserver aObserver);

} // namespace hibiscusnotch::store
