#include "hibiscusnotch/entry/uplink_guard.hpp"

#include <algorithm>
#include <iterator>
#include <memory>
#include <string>
#include <utility>

namespace hibiscusnotch::entry {

namespace {

// Upstreams that fail without a success in between before a check starts. One
// alone may have crashed.
constexpr std::size_t kMinFailures = 2;
constexpr std::size_t kSampleSize = 6;
// While cut off: a whole fleet may wait for upstreams to come back.
constexpr std::size_t kRecheckSampleSize = 2;
constexpr Duration kProbeTimeout{ 250'000 }; // many round trips
// Traffic usually reaches another upstream within this time.
constexpr Duration kExplainDelay{ 100'000 };
constexpr Duration kRecheckInterval{ 250'000 };

} // namespace

struct UplinkGuard::Check
{
  TimePoint startedAt{};
  std::size_t open = 0;
  std::size_t accepted = 0;
  std::size_t size = 0;
};

UplinkGuard::UplinkGuard(relay::Timers& aTimers,
                         relay::OutboundClient& aClient,
                         FleetState& aFleet,
                         EventLog& aLog)
  : timers_(aTimers)
  , client_(aClient)
  , fleet_(aFleet)
  , log_(aLog)
{
}

void
UplinkGuard::RecordFailure(core::UpstreamId aUpstream, TimePoint aSince)
{
  if (IsCutOff()) {
    return;
  }
  failed_.insert(aUpstream);
  failingSince_ = std::min(failingSince_.value_or(aSince), aSince);
  if (failed_.size() >= kMinFailures) {
    StartCheck();
  }
}

void
UplinkGuard::RecordReached(TimePoint aBegunAt)
{
  if (IsCutOff() || (failingSince_ && aBegunAt < *failingSince_)) {
    return;
  }
  failed_.clear();
  failingSince_.reset();
  Resolve(aBegunAt);
}

void
UplinkGuard::ExplainFailure(std::function<void(bool aCutOff)> aReport)
{
  if (IsCutOff()) {
    aReport(true);
    return;
  }
  pending_.push_back({ timers_.Now(), std::move(aReport) });
  if (pending_.size() == 1) {
    timers_.After(kExplainDelay, [this] {
      if (!pending_.empty()) {
        StartCheck();
      }
    });
  }
}

std::vector<core::UpstreamId>
UplinkGuard::UsableUpstreams() const
{
  std::vector<core::UpstreamId> usable;
  for (const auto& [id, upstream] : fleet_.upstreams.Rows()) {
    if (!upstream.removed && !upstream.entry.leaving &&
        !upstream.announcedLeaving) {
      usable.push_back(id);
    }
  }
  return usable;
}

std::vector<core::UpstreamId>
UplinkGuard::Sample(std::size_t aCount)
{
  const std::vector<core::UpstreamId> usable = UsableUpstreams();
  std::vector<core::UpstreamId> others;
  std::ranges::copy_if(
    usable, std::back_inserter(others), [this](core::UpstreamId aId) {
      return !failed_.contains(aId);
    });
  const auto& from = others.empty() ? usable : others;
  std::vector<core::UpstreamId> sample;
  const std::size_t count = std::min(aCount, from.size());
  for (std::size_t index = 0; index < count; ++index) {
    sample.push_back(
      from[(sampleOffset_ + index * from.size() / count) % from.size()]);
  }
  ++sampleOffset_;
  return sample;
}

void
UplinkGuard::StartCheck()
{
  if (std::exchange(checking_, true)) {
    return;
  }
  const std::vector<core::UpstreamId> sample =
    Sample(IsCutOff() ? kRecheckSampleSize : kSampleSize);
  const auto check = std::make_shared<Check>();
  check->startedAt = timers_.Now();
  check->open = sample.size();
  check->size = sample.size();
  if (sample.empty()) {
    FinishCheck(*check);
    return;
  }
  for (const core::UpstreamId id : sample) {
    client_.Probe(fleet_.upstreams.Find(id)->entry.endpoint,
                  kProbeTimeout,
                  [this, check](relay::Reachability aReachability) {
                    check->accepted +=
                      aReachability == relay::Reachability::Accepts ? 1 : 0;
                    if (--check->open == 0) {
                      FinishCheck(*check);
                    }
                  });
  }
}

void
UplinkGuard::FinishCheck(const Check& aCheck)
{
  checking_ = false;
  // A lone upstream that fails cannot be told from a cut; it is to blame.
  const bool reached =
    aCheck.accepted > 0 || UsableUpstreams().size() < kMinFailures;
  if (!IsCutOff()) {
    if (reached) {
      failed_.clear();
      failingSince_.reset();
      Resolve(aCheck.startedAt);
    } else {
      SetCutOff();
    }
    return;
  }
  // A single success may be a connection that slipped through.
  if (aCheck.accepted == aCheck.size) {
    log_.Write(core::EventNumber::UplinksRegained,
               "after_ms=" + std::to_string(
                               (timers_.Now() - *cutOffSince_).count() / 1000));
    cutOffSince_.reset();
    failed_.clear();
    failingSince_.reset();
    return;
  }
  timers_.After(kRecheckInterval, [this] { StartCheck(); });
}

void
UplinkGuard::SetCutOff()
{
  cutOffSince_ = timers_.Now();
  log_.Write(core::EventNumber::UplinksLost,
             "failed=" + std::to_string(failed_.size()) +
               " upstreams=" + std::to_string(UsableUpstreams().size()));
  failed_.clear();
  fleet_.upstreams.ForgiveFailures();
  for (const PendingReport& pending : std::exchange(pending_, {})) {
    pending.report(true);
  }
  timers_.After(kRecheckInterval, [this] { StartCheck(); });
}

void
UplinkGuard::Resolve(TimePoint aReachedAt)
{
  std::vector<PendingReport> explained;
  std::erase_if(pending_, [&](PendingReport& aPending) {
    if (aPending.failedAt > aReachedAt) {
      return false;
    }
    explained.push_back(std::move(aPending));
    return true;
  });
  for (const PendingReport& pending : explained) {
    pending.report(false);
  }
  if (!pending_.empty()) {
    timers_.After(kExplainDelay, [this] {
      if (!pending_.empty()) {
        StartCheck();
      }
    });
  }
}

} // namespace hibiscusnotch::entry
