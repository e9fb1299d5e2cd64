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
    return id;
  }

  void Cancel(relay::TimerId aTimer) override
  {
    std::erase_if(queue_, [aTimer](const auto& aRow) {
      return aRow.first.second == aTimer;
    });
  }

  /// @brief Advances the clock and runs due callbacks in order of time.
  void Advance(core::Duration aDelay)
  {
    const core::TimePoint end = now_ + aDelay;
    while (!queue_.empty() && queue_.begin()->first.first <= end) {
      auto due = queue_.extract(queue_.begin());
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
  relay::TimerId last_ = 0;
};

} // namespace hibiscusnotch::testing
