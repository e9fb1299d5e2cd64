#include "hibiscusnotch/routing/retry_budget.hpp"

#include <algorithm>

namespace hibiscusnotch::routing {

namespace {

constexpr core::Duration kBucketLength{ 1'000'000 };
// Leaves room for requests in flight at the edges of a window.
constexpr double kSafetyFactor = 0.9;

int64_t
BucketNumber(core::TimePoint aNow)
{
  return aNow.time_since_epoch() / kBucketLength;
}

} // namespace

RetryBudget::Bucket&
RetryBudget::BucketAt(core::TimePoint aNow)
{
  const int64_t number = BucketNumber(aNow);
  Bucket& bucket = buckets_[static_cast<std::size_t>(number) % kBuckets];
  if (bucket.number != number) {
    bucket = Bucket{ number, 0, 0 };
  }
  return bucket;
}

void
RetryBudget::RecordRequest(core::TimePoint aNow)
{
  ++BucketAt(aNow).requests;
}

RetryBudget::Usage
RetryBudget::UsageAt(const RetryBudgetLimits& aLimits,
                     std::size_t aInstances,
                     core::TimePoint aNow) const
{
  const int64_t oldest = BucketNumber(aNow - aLimits.window);
  uint32_t requests = 0;
  uint32_t retries = 0;
  for (const Bucket& bucket : buckets_) {
    if (bucket.number >= oldest) {
      requests += bucket.requests;
      retries += bucket.retries;
    }
  }
  const double share =
    aLimits.minRetries /
    static_cast<double>(std::max<std::size_t>(1, aInstances));
  return { static_cast<double>(retries),
           kSafetyFactor * (aLimits.ratio * requests + share) };
}

bool
RetryBudget::TryAcquire(const RetryBudgetLimits& aLimits,
                        std::size_t aInstances,
                        double aShare,
                        core::TimePoint aNow)
{
  const Usage usage = UsageAt(aLimits, aInstances, aNow);
  if (usage.retries + 1 > aShare * usage.allowed) {
    return false;
  }
  ++BucketAt(aNow).retries;
  return true;
}

double
RetryBudget::Used(const RetryBudgetLimits& aLimits,
                  std::size_t aInstances,
                  core::TimePoint aNow) const
{
  const Usage usage = UsageAt(aLimits, aInstances, aNow);
  return usage.allowed > 0 ? std::min(1.0, usage.retries / usage.allowed) : 1;
}

} // namespace hibiscusnotch::routing
