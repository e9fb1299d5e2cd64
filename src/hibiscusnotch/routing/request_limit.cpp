#include "hibiscusnotch/routing/request_limit.hpp"

#include <algorithm>

namespace hibiscusnotch::routing {

namespace {

// Several, so that the limit is used though one of them has no requests or
// cannot reach the upstream.
constexpr std::size_t kMinSenders = 3;
// Requests per second of each further sender.
constexpr double kRatePerSender = 2;
// In requests per second. A limit of zero still lets a request through now and
// then, as only a response can lift it.
constexpr double kMinLimit = 0.1;
// How early a request may be sent, so that sends that come late do not lower
// the rate.
constexpr Duration kTolerance{ 100'000 };

} // namespace

std::size_t
LimitHolderCount(double aLimit, std::size_t aInstances)
{
  return std::min(
    aInstances,
    std::max(kMinSenders, static_cast<std::size_t>(aLimit / kRatePerSender)));
}

double
RequestLimitShare(double aLimit,
                  std::string_view aUpstream,
                  std::string_view aSelf,
                  std::span<const Sender> aSenders)
{
  const auto rank = SenderRank(aUpstream, aSelf, aSenders);
  const double limit = std::max(aLimit, kMinLimit);
  const std::size_t holders = LimitHolderCount(limit, aSenders.size());
  return rank && *rank < holders ? limit / static_cast<double>(holders) : 0;
}

void
SendPacer::SetRate(double aPerSecond, TimePoint aNow)
{
  const bool hadRate = rate_ > 0;
  rate_ = aPerSecond;
  if (rate_ <= 0) {
    return;
  }
  const TimePoint next = aNow + Interval();
  due_ = hadRate ? std::min(due_, next) : std::max(due_, next);
}

bool
SendPacer::IsOpen(TimePoint aNow) const
{
  return aNow >= OpensAt();
}

TimePoint
SendPacer::OpensAt() const
{
  return rate_ > 0 ? due_ - kTolerance : TimePoint::max();
}

void
SendPacer::RecordSend(TimePoint aNow)
{
  if (rate_ > 0) {
    due_ = std::max(due_, aNow) + Interval();
  }
}

Duration
SendPacer::Interval() const
{
  return core::FromSeconds(1 / rate_);
}

} // namespace hibiscusnotch::routing
