#include "hibiscusnotch/entry/speed_aggregator.hpp"

#include <algorithm>

namespace hibiscusnotch::entry {

namespace {

// The sums have decayed to a hundredth by then.
constexpr Duration kMaxSpeedAge{ 45'000'000 };
constexpr Duration kExpiryInterval{ 5'000'000 };
// More instances than a zone has.
constexpr std::size_t kMaxReceivers = 1024;
// Half of the unit that reports use.
constexpr double kMinReportedSeconds = 0.0005;

} // namespace

std::vector<SpeedReport>
SpeedRotation::Next(const std::map<uint32_t, SpeedReport>& aAll,
                    std::size_t aMaxCount)
{
  std::vector<SpeedReport> next;
  auto at = aAll.upper_bound(last_);
  for (std::size_t count = std::min(aMaxCount, aAll.size()); count > 0;
       --count) {
    if (at == aAll.end()) {
      at = aAll.begin();
    }
    next.push_back(at->second);
    last_ = at->first;
    ++at;
  }
  return next;
}

std::map<uint32_t, SpeedReport>
LocalSpeeds(const FleetState& aFleet, TimePoint aNow)
{
  std::map<uint32_t, SpeedReport> speeds;
  for (const auto& [id, upstream] : aFleet.upstreams.Rows()) {
    if (upstream.removed || upstream.ownSpeed.expected <= 0) {
      continue;
    }
    const routing::SpeedSums sums = upstream.ownSpeed.At(aNow);
    if (sums.expected >= kMinReportedSeconds) {
      const uint32_t hash = IncarnationHash(upstream.entry);
      speeds[hash] = { hash, sums.observed, sums.expected };
    }
  }
  return speeds;
}

void
ApplyPeerSpeeds(const std::vector<SpeedReport>& aReports,
                FleetState& aFleet,
                TimePoint aNow)
{
  if (aReports.empty()) {
    return;
  }
  std::map<uint32_t, const SpeedReport*> byIncarnation;
  for (const SpeedReport& report : aReports) {
    byIncarnation.emplace(report.incarnation, &report);
  }
  for (const auto& [id, upstream] : aFleet.upstreams.Rows()) {
    const auto found = byIncarnation.find(IncarnationHash(upstream.entry));
    if (found != byIncarnation.end()) {
      aFleet.upstreams.RecordPeerSpeed(
        id, { found->second->observed, found->second->expected, aNow });
    }
  }
}

void
SpeedAggregator::DropExpired(TimePoint aNow)
{
  if (aNow < nextExpiry_) {
    return;
  }
  nextExpiry_ = aNow + kExpiryInterval;
  for (auto next = entries_.begin(); next != entries_.end();) {
    Entry& entry = next->second;
    std::erase_if(entry.bySender, [aNow](const auto& aSender) {
      return aNow - aSender.second.at > kMaxSpeedAge;
    });
    // Anew, so that rounding errors do not add up.
    entry.total = { 0, 0, aNow };
    for (const auto& [sender, sums] : entry.bySender) {
      const routing::SpeedSums now = sums.At(aNow);
      entry.total.observed += now.observed;
      entry.total.expected += now.expected;
    }
    next = entry.bySender.empty() ? entries_.erase(next) : std::next(next);
  }
}

void
SpeedAggregator::SetReport(std::string_view aSender,
                           const std::vector<SpeedReport>& aReports,
                           TimePoint aNow)
{
  DropExpired(aNow);
  for (const SpeedReport& report : aReports) {
    Entry& entry = entries_[report.incarnation];
    auto sender = entry.bySender.find(aSender);
    if (sender == entry.bySender.end()) {
      sender =
        entry.bySender.emplace(std::string(aSender), routing::SpeedSums{})
          .first;
    }
    const routing::SpeedSums former = sender->second.At(aNow);
    entry.total = entry.total.At(aNow);
    entry.total.observed += report.observed - former.observed;
    entry.total.expected += report.expected - former.expected;
    sender->second = { report.observed, report.expected, aNow };
  }
}

std::vector<SpeedReport>
SpeedAggregator::NextTotals(std::string_view aReceiver,
                            std::size_t aMaxCount,
                            TimePoint aNow)
{
  DropExpired(aNow);
  auto sent = sent_.find(aReceiver);
  if (sent == sent_.end()) {
    if (sent_.size() >= kMaxReceivers) {
      sent_.clear();
    }
    sent = sent_.emplace(std::string(aReceiver), 0).first;
  }
  std::vector<SpeedReport> totals;
  auto at = entries_.upper_bound(sent->second);
  for (std::size_t count = std::min(aMaxCount, entries_.size()); count > 0;
       --count) {
    if (at == entries_.end()) {
      at = entries_.begin();
    }
    const auto& [incarnation, entry] = *at;
    sent->second = incarnation;
    ++at;
    const routing::SpeedSums total = entry.total.At(aNow);
    const auto own = entry.bySender.find(aReceiver);
    const routing::SpeedSums ownSums =
      own == entry.bySender.end() ? routing::SpeedSums{} : own->second.At(aNow);
    const double expected = total.expected - ownSums.expected;
    if (expected >= kMinReportedSeconds) {
      totals.push_back({ incarnation,
                         std::max(0.0, total.observed - ownSums.observed),
                         expected });
    }
  }
  return totals;
}

} // namespace hibiscusnotch::entry
