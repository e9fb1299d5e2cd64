/// @file
/// @brief The event queue of a discrete-event simulation.
#pragma once

#include "hibiscusnotch/core/time.hpp"

#include <cstdint>
#include <functional>
#include <queue>
#include <utility>
#include <vector>

namespace hibiscusnotch::replay {

/// @brief Callbacks ordered by time; FIFO among equal times.
class EventQueue
{
public:
  void Push(core::TimePoint aAt, std::function<void()> aCallback)
  {
    queue_.push(ScheduledEvent{ aAt, sequence_++, std::move(aCallback) });
  }

  bool Empty() const { return queue_.empty(); }

  /// @brief The time of the next event; the queue must not be empty.
  core::TimePoint NextAt() const { return queue_.top().at; }

  /// @brief Removes and returns the next callback.
  std::function<void()> Pop()
  {
    // The element is popped right after, so moving from it is safe.
    auto callback =
      std::move(const_cast<ScheduledEvent&>(queue_.top()).callback);
    queue_.pop();
    return callback;
  }

private:
  struct ScheduledEvent
  {
    core::TimePoint at;
    uint64_t sequence = 0;
    std::function<void()> callback;
  };

  struct Later
  {
    bool operator()(const ScheduledEvent& aLeft,
                    const ScheduledEvent& aRight) const
    {
      return std::pair(aLeft.at, aLeft.sequence) >
             std::pair(aRight.at, aRight.sequence);
    }
  };

  std::priority_queue<ScheduledEvent, std::vector<ScheduledEvent>, Later>
    queue_;
  uint64_t sequence_ = 0;
};

} // namespace hibiscusnotch::replay
