#include "hibiscusnotch/relay/body_budget.hpp"

#include <utility>

namespace hibiscusnotch::relay {

BodyBudget::BodyBudget(std::size_t aLimit, std::function<void()> aOnExhausted)
  : limit_(aLimit)
  , onExhausted_(std::move(aOnExhausted))
{
}

bool
BodyBudget::TryTake(std::size_t aBytes)
{
  if (!waiters_.empty() || !Fits(aBytes)) {
    return false;
  }
  held_ += aBytes;
  return true;
}

BodyBudget::WaiterId
BodyBudget::Wait(std::size_t aBytes, std::function<void()> aOnTaken)
{
  if (waiters_.empty()) {
    onExhausted_();
  }
  waiters_[++lastWaiter_] = { aBytes, std::move(aOnTaken) };
  return lastWaiter_;
}

void
BodyBudget::CancelWait(WaiterId aWaiter)
{
  if (waiters_.erase(aWaiter) > 0) {
    AdmitWaiters(); // those behind a long body may fit
  }
}

void
BodyBudget::Release(std::size_t aBytes)
{
  held_ -= aBytes;
  AdmitWaiters();
}

bool
BodyBudget::Fits(std::size_t aBytes) const
{
  return limit_ == 0 || held_ == 0 || held_ + aBytes <= limit_;
}

void
BodyBudget::AdmitWaiters()
{
  while (!waiters_.empty() && Fits(waiters_.begin()->second.bytes)) {
    const auto next = waiters_.extract(waiters_.begin());
    held_ += next.mapped().bytes;
    next.mapped().onTaken();
  }
}

} // namespace hibiscusnotch::relay
