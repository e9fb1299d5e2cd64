/// @file
/// @brief Timers whose clock advances only when the test says so.
#pragma once

#include "hibiscusnotch/relay/clock.hpp"

#include <map>

namespace hibiscusnotch::testing {

class ManualTimers : public relay::Timers
{
public:
  core::TimePoint Now() const override { return now_; }

  relay::TimerId At(core::TimePoint aTime, std::function<void()> aCall) override
  {
    const relay::TimerId id = ++last_;
    queue_.emplace(std::pair(aTime, id), std::move(aCall));
    times_.emplace(id, aTime);
    return id;
  }

  void Cancel(relay::TimerId aTimer) override
  {
    const auto time = times_.extract(aTimer);
    if (!time.empty()) {
      queue_.erase({ time.mapped(), aTimer });
    }
  }

  /// @brief Advances the clock and runs due callbacks in order of time.
  void Advance(core::Duration aDelay)
  {
    const core::TimePoint end = now_ + aDelay;
    while (!queue_.empty() && queue_.begin()->first.first <= end) {
      auto due = queue_.extract(queue_.begin());
      times_.erase(due.key().second);
      now_ = std::max(now_, due.key().first);
      due.mapped()();
    }
    now_ = end;
  }

  /// @brief Advances the clock without callbacks, as if the machine had been
  /// suspended.
  void Suspend(core::Duration aDelay) { now_ += aDelay; }

private:
  core::TimePoint now_{ core::Duration{ 1'000'000'000 } };
  std::map<std::pair<core::TimePoint, relay::TimerId>, std::function<void()>>
    queue_;
  std::map<relay::TimerId, core::TimePoint> times_; ///< Of the queued ones.
  relay::TimerId last_ = 0;
};

} // namespace hibiscusnotch::testing
