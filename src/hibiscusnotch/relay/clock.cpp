#include "hibiscusnotch/relay/clock.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <ctime>
#include <map>
#include <unordered_map>

namespace hibiscusnotch::relay {

namespace {

constexpr long kNanosecondsPerMicrosecond = 1000;
constexpr int64_t kMicrosecondsPerSecond = 1'000'000;
// The shortest wait; callbacks that are due within it run in one wake-up.
constexpr Duration kMinTimerDelay{ 1'000 };

class LoopTimers : public Timers
{
public:
  LoopTimers(boost::asio::io_context& aContext, Clock aClock)
    : timer_(aContext)
    , clock_(std::move(aClock))
  {
  }

  TimePoint Now() const override { return clock_(); }

  TimerId At(TimePoint aTime, std::function<void()> aCall) override
  {
    const TimerId id = ++last_;
    queue_.emplace(Key{ aTime, id }, std::move(aCall));
    times_.emplace(id, aTime);
    Arm();
    return id;
  }

  void Cancel(TimerId aTimer) override
  {
    const auto time = times_.find(aTimer);
    if (time != times_.end()) {
      queue_.erase(Key{ time->second, aTimer });
      times_.erase(time);
    }
  }

private:
  using Key = std::pair<TimePoint, TimerId>;

  void Arm()
  {
    if (queue_.empty()) {
      return;
    }
    const TimePoint next = queue_.begin()->first.first;
    if (armed_ && armedFor_ <= next) {
      return;
    }
    armed_ = true;
    armedFor_ = next;
    const Duration wait = std::max(next - Now(), kMinTimerDelay);
    timer_.expires_after(wait);
    timer_.async_wait([this](const boost::system::error_code& aError) {
      if (!aError) {
        Fire();
      }
    });
  }

  void Fire()
  {
    armed_ = false;
    const TimePoint now = Now();
    while (!queue_.empty() && queue_.begin()->first.first <= now) {
      auto due = queue_.extract(queue_.begin());
      times_.erase(due.key().second);
      due.mapped()();
    }
    Arm();
  }

  boost::asio::steady_timer timer_;
  Clock clock_;
  std::map<Key, std::function<void()>> queue_;
  std::unordered_map<TimerId, TimePoint> times_;
  TimerId last_ = 0;
  bool armed_ = false;
  TimePoint armedFor_{};
};

} // namespace

Clock
BootClock()
{
  return [] {
    timespec now{};
    clock_gettime(CLOCK_BOOTTIME, &now);
    return TimePoint{ Duration{ now.tv_sec * kMicrosecondsPerSecond +
                                now.tv_nsec / kNanosecondsPerMicrosecond } };
  };
}

std::unique_ptr<Timers>
MakeTimers(boost::asio::io_context& aContext, Clock aClock)
{
  return std::make_unique<LoopTimers>(aContext, std::move(aClock));
}

} // namespace hibiscusnotch::relay
