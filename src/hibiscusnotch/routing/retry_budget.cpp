#include "hibiscusnotch/routing/retry_budget.hpp"

#include <algorithm>

namespace hibiscusnotch::routing {

namespace {

constexpr core::Duration kSlotLength{ 1'000'000 };
// Kept free for requests that are in flight when a window begins or ends.
constexpr double kSafety = 0.8;

int64_t
SlotNumber(core::TimePoint aNow)
{
  return aNow.time_since_epoch() / kSlotLength;
}

} // namespace

RetryBudget::Slot&
RetryBudget::SlotAt(core::TimePoint aNow)
{
  const int64_t number = SlotNumber(aNow);
  Slot& slot = slots_[static_cast<std::size_t>(number) % kSlots];
  if (slot.number != number) {
    slot = Slot{ number, 0, 0 };
  }
  return slot;
}

void
RetryBudget::CountRequest(core::TimePoint aNow)
{
  ++SlotAt(aNow).requests;
}

bool
RetryBudget::Take(const RetryBudgetLimits& aLimits,
                  std::size_t aInstances,
                  double aShare,
                  core::TimePoint aNow)
{
  const int64_t oldest = SlotNumber(aNow - aLimits.window);
  uint32_t requests = 0;
  uint32_t repeats = 0;
  for (const Slot& slot : slots_) {
    if (slot.number >= oldest) {
      requests += slot.requests;
      repeats += slot.repeats;
    }
  }
  const double allowed =
    kSafety * aShare *
    (aLimits.ratio * requests +
     aLimits.minRetries /
       static_cast<double>(std::max<std::size_t>(1, aInstances)));
  if (repeats + 1 > allowed) {
    return false;
  }
  ++SlotAt(aNow).repeats;
  return true;
}

} // namespace hibiscusnotch::routing
