#include "hibiscusnotch/relay/descriptor_reserve.hpp"

#include <algorithm>
#include <boost/asio/error.hpp>
#include <fcntl.h>
#include <unistd.h>
#include <utility>

namespace hibiscusnotch::relay {

namespace {

// One to refuse callers and the others for connections that must be served,
// such as readiness checks.
constexpr std::size_t kHeldDescriptors = 4;
// A shortage has ended once connections have been opened for this long.
constexpr Duration kRegainedAfter{ 2'000'000 };

int
OpenDescriptor()
{
  return open("/dev/null", O_RDONLY | O_CLOEXEC);
}

bool
HasFreeDescriptor()
{
  const int descriptor = OpenDescriptor();
  return descriptor >= 0 && close(descriptor) == 0;
}

} // namespace

bool
IsShortage(const boost::system::error_code& aError)
{
  namespace errc = boost::system::errc;
  return aError == errc::too_many_files_open ||
         aError == errc::too_many_files_open_in_system ||
         aError == errc::no_buffer_space || aError == errc::not_enough_memory;
}

DescriptorReserve::DescriptorReserve(Timers& aTimers,
                                     ShortageObserver aObserver)
  : timers_(aTimers)
  , observer_(std::move(aObserver))
{
}

DescriptorReserve::~DescriptorReserve()
{
  timers_.Cancel(endTimer_);
  for (const int descriptor : held_) {
    close(descriptor);
  }
}

DescriptorReserve::SourceId
DescriptorReserve::AddSource(CloseIdle aCloseIdle)
{
  sources_.emplace(++lastSource_, std::move(aCloseIdle));
  return lastSource_;
}

void
DescriptorReserve::RemoveSource(SourceId aSource)
{
  sources_.erase(aSource);
}

bool
DescriptorReserve::MakeRoom()
{
  RecordFailure();
  const bool closed = std::ranges::any_of(
    sources_, [](const auto& aSource) { return aSource.second(); });
  shortage_.closedIdle += closed ? 1 : 0;
  return closed;
}

bool
DescriptorReserve::TakeHeld(bool aToRefuse)
{
  RecordFailure();
  if (held_.size() <= (aToRefuse ? 0 : 1)) {
    return false;
  }
  close(held_.back());
  held_.pop_back();
  return true;
}

void
DescriptorReserve::Refill()
{
  while (held_.size() < kHeldDescriptors) {
    const int descriptor = OpenDescriptor();
    if (descriptor < 0) {
      return;
    }
    held_.push_back(descriptor);
  }
}

void
DescriptorReserve::RecordRefusal()
{
  ++shortage_.refused;
}

void
DescriptorReserve::RecordFailure()
{
  lastFailureAt_ = timers_.Now();
  if (shortSince_) {
    return;
  }
  shortSince_ = lastFailureAt_;
  shortage_ = {};
  ++shortageCount_;
  endTimer_ = timers_.After(kRegainedAfter, [this] { EndShortage(); });
  observer_.onBegin();
}

void
DescriptorReserve::EndShortage()
{
  Refill();
  const TimePoint end = lastFailureAt_ + kRegainedAfter;
  if (timers_.Now() < end || held_.size() < kHeldDescriptors ||
      !HasFreeDescriptor()) {
    endTimer_ = timers_.At(std::max(end, timers_.Now() + kRegainedAfter),
                           [this] { EndShortage(); });
    return;
  }
  endTimer_ = 0;
  shortage_.lasted = lastFailureAt_ - *std::exchange(shortSince_, std::nullopt);
  observer_.onEnd(shortage_);
}

} // namespace hibiscusnotch::relay
