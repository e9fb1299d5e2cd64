#include "hibiscusnotch/routing/head_waits.hpp"

#include <algorithm>
#include <vector>

namespace hibiscusnotch::routing {

namespace {

constexpr std::size_t kMaxSends = 64;   // bounds memory and time
constexpr std::size_t kUsualSends = 12; // a few hung ones are a minority
constexpr std::size_t kMinSends = 4;    // fewer may all be hung
// More sends than usual count if they are as recent as this.
constexpr Duration kRecent{ 1'000'000 };
constexpr Duration kMaxAge{ 5'000'000 }; // older ones say nothing of now

struct Wait
{
  Duration lasted{ 0 };
  bool headCame = false;
};

} // namespace

HeadWaitId
HeadWaits::Add(core::UpstreamId aUpstream, TimePoint aSentAt, TimePoint aLostAt)
{
  sends_.push_back({ aUpstream, aSentAt, aLostAt });
  if (sends_.size() > kMaxSends) {
    sends_.pop_front();
  }
  return nextId_++;
}

void
HeadWaits::RecordHead(HeadWaitId aId, TimePoint aNow)
{
  Finish(aId, State::HeadCame, aNow);
}

void
HeadWaits::RecordEnd(HeadWaitId aId, TimePoint aNow)
{
  Finish(aId, State::Ended, aNow);
}

void
HeadWaits::Finish(HeadWaitId aId, State aState, TimePoint aNow)
{
  const HeadWaitId oldest = nextId_ - sends_.size();
  if (aId < oldest || aId >= nextId_) {
    return; // no longer kept
  }
  Send& send = sends_[aId - oldest];
  if (send.state == State::Awaited) {
    send.state = aState;
    send.endedAt = aNow;
  }
}

Duration
HeadWaits::Median(TimePoint aNow,
                  const std::function<bool(core::UpstreamId)>& aIsIgnored) const
{
  std::vector<Wait> waits;
  for (auto send = sends_.rbegin(); send != sends_.rend(); ++send) {
    const Duration age = aNow - send->sentAt;
    if (age > kMaxAge || (waits.size() >= kUsualSends && age > kRecent)) {
      break;
    }
    const bool isAwaited = send->state == State::Awaited;
    if ((isAwaited && aNow > send->lostAt) || aIsIgnored(send->upstream)) {
      continue;
    }
    waits.push_back({ (isAwaited ? aNow : send->endedAt) - send->sentAt,
                      send->state == State::HeadCame });
  }
  if (waits.size() < kMinSends) {
    return Duration::zero();
  }
  std::ranges::sort(waits, {}, &Wait::lasted);
  double stillWaiting = 1; // estimated share after the time
  for (std::size_t index = 0; index < waits.size(); ++index) {
    if (waits[index].headCame) {
      stillWaiting *= 1 - 1 / static_cast<double>(waits.size() - index);
    }
    if (stillWaiting <= 0.5) {
      return waits[index].lasted;
    }
  }
  return waits.back().lasted; // most still wait
}

} // namespace hibiscusnotch::routing
