/// @file
/// @brief Bounds the memory of responses that wait for slow clients.
#pragma once

#include "hibiscusnotch/core/time.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>

namespace hibiscusnotch::relay {

using core::Duration;
using core::TimePoint;

/// @brief An exchange that was ended as the budget was used up.
struct EndedExchange
{
  std::size_t bytes = 0; ///< That it held.
  Duration unread{ 0 };  ///< Since its client last took bytes.
};

/// @brief One budget of unsent bytes for all connections of a process. When it
/// is used up, the one that has gone unread longest is ended.
class UnsentBudget
{
public:
  using HolderId = uint64_t;

  /// @param aLimit In bytes; zero for no bound.
  UnsentBudget(std::size_t aLimit,
               std::function<void(const EndedExchange&)> aOnEnded);

  /// @brief Adds a connection that begins to hold unsent bytes.
  /// @param aEnd Ends its exchange; called from SetHeld, also that of another
  /// holder.
  HolderId Add(std::function<void()> aEnd, TimePoint aNow);
  /// @brief Releases what the connection holds; without effect if it was ended.
  void Remove(HolderId aHolder);
  /// @brief Its client took bytes.
  void RecordProgress(HolderId aHolder, TimePoint aNow);
  /// @brief Sets what the connection holds and ends exchanges while the budget
  /// is exceeded.
  void SetHeld(HolderId aHolder, std::size_t aBytes, TimePoint aNow);

  std::size_t HeldBytes() const { return held_; }
  uint64_t EndedCount() const { return endedCount_; }

private:
  struct Holder
  {
    std::function<void()> end;
    std::size_t bytes = 0;
    TimePoint unreadSince{};
  };

  void EndLongestUnread(TimePoint aNow);

  std::size_t limit_;
  std::function<void(const EndedExchange&)> onEnded_;
  std::map<HolderId, Holder> holders_;
  HolderId lastHolder_ = 0;
  std::size_t held_ = 0;
  uint64_t endedCount_ = 0;
};

} // namespace hibiscusnotch::relay
