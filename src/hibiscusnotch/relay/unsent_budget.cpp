#include "hibiscusnotch/relay/unsent_budget.hpp"

#include <algorithm>
#include <utility>

namespace hibiscusnotch::relay {

UnsentBudget::UnsentBudget(std::size_t aLimit,
                           std::function<void(const EndedExchange&)> aOnEnded)
  : limit_(aLimit)
  , onEnded_(std::move(aOnEnded))
{
}

UnsentBudget::HolderId
UnsentBudget::Add(std::function<void()> aEnd, TimePoint aNow)
{
  const HolderId id = ++lastHolder_;
  holders_[id] = { std::move(aEnd), 0, aNow };
  return id;
}

void
UnsentBudget::Remove(HolderId aHolder)
{
  const auto found = holders_.find(aHolder);
  if (found != holders_.end()) {
    held_ -= found->second.bytes;
    holders_.erase(found);
  }
}

void
UnsentBudget::RecordProgress(HolderId aHolder, TimePoint aNow)
{
  const auto found = holders_.find(aHolder);
  if (found != holders_.end()) {
    found->second.unreadSince = aNow;
  }
}

void
UnsentBudget::SetHeld(HolderId aHolder, std::size_t aBytes, TimePoint aNow)
{
  const auto found = holders_.find(aHolder);
  if (found == holders_.end()) {
    return;
  }
  held_ += aBytes - found->second.bytes;
  found->second.bytes = aBytes;
  while (limit_ > 0 && held_ > limit_) {
    EndLongestUnread(aNow);
  }
}

void
UnsentBudget::EndLongestUnread(TimePoint aNow)
{
  // Of those that have waited equally long, the one that holds most.
  const auto longest = std::ranges::min_element(
    holders_, [](const auto& aLeft, const auto& aRight) {
      const Holder& left = aLeft.second;
      const Holder& right = aRight.second;
      return left.unreadSince != right.unreadSince
               ? left.unreadSince < right.unreadSince
               : left.bytes > right.bytes;
    });
  const Holder holder = std::move(longest->second);
  holders_.erase(longest);
  held_ -= holder.bytes;
  ++endedCount_;
  if (onEnded_) {
    onEnded_({ holder.bytes, aNow - holder.unreadSince });
  }
  holder.end();
}

} // namespace hibiscusnotch::relay
