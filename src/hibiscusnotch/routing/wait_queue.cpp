#include "hibiscusnotch/routing/wait_queue.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace hibiscusnotch::routing {

namespace {

constexpr Duration kBucketTime{ 100'000 };
// Fewer starts, or starts of a shorter time, give no useful rate.
constexpr uint32_t kMinStarts = 4;
constexpr Duration kMinMeasuredTime{ 300'000 };
// Compensates for rounding in sums of the floors.
constexpr double kFullCredit = 1 - 1e-9;
// Bounds the time of one check; the rest is found by the next one.
constexpr std::size_t kMaxTooLate = 64;
// A later return would leave capacity unused if the shortage ends before.
constexpr Duration kMaxStagger{ 5'000'000 };

int64_t
BucketOf(TimePoint aTime)
{
  return aTime.time_since_epoch() / kBucketTime;
}

Duration
StartsTime(double aStarts, double aPerSecond)
{
  constexpr double kNeverSeconds = 1e6; // bounds the result of tiny rates
  return core::FromSeconds(aPerSecond > 0
                             ? std::min(aStarts / aPerSecond, kNeverSeconds)
                             : kNeverSeconds);
}

} // namespace

WaitQueue::WaitQueue(const WaitQueueOptions& aOptions)
  : options_(aOptions)
{
}

WaitTicket
WaitQueue::Add(const WaitingRequest& aRequest, TimePoint aNow)
{
  if (entries_.empty()) {
    busySince_ = aNow;
  }
  auto index = organisationIndexes_.find(aRequest.organisation);
  if (index == organisationIndexes_.end()) {
    index = organisationIndexes_
              .emplace(std::string(aRequest.organisation),
                       static_cast<OrganisationIndex>(organisations_.size()))
              .first;
    organisations_.emplace_back();
  }
  const WaitTicket ticket = ++lastTicket_;
  Entry& entry = entries_[ticket];
  entry = {
    aRequest.rank,        index->second,     aRequest.work, aRequest.arrivedAt,
    aRequest.latestStart, aRequest.deadline, false,         false
  };
  entry.isLate = entry.latestStart < aNow;
  byDeadline_.emplace(entry.deadline, ticket);
  byArrival_.emplace(entry.arrivedAt, ticket);
  Insert(ticket, entry);
  return ticket;
}

void
WaitQueue::Remove(WaitTicket aTicket)
{
  const auto found = entries_.find(aTicket);
  if (found == entries_.end()) {
    return;
  }
  const Entry entry = found->second;
  if (!entry.isAside) {
    Extract(aTicket, entry);
  }
  byDeadline_.erase({ entry.deadline, aTicket });
  byArrival_.erase({ entry.arrivedAt, aTicket });
  entries_.erase(found);
  if (entries_.empty()) {
    Clear();
  }
}

void
WaitQueue::Insert(WaitTicket aTicket, const Entry& aEntry)
{
  Rank& rank = ranks_[aEntry.rank];
  Flow& flow = rank.flows[aEntry.organisation];
  Organisation& organisation = organisations_[aEntry.organisation];
  if (flow.Size() == 0) {
    // An organisation that did not wait has not saved up a share.
    flow.virtualStart = std::max(flow.virtualStart, rank.virtualTime);
    rank.active.emplace(flow.virtualStart, aEntry.organisation);
    if (organisation.ranks.empty()) {
      byStartedWork_.emplace(organisation.startedWork, aEntry.organisation);
    }
    organisation.ranks.insert(aEntry.rank);
  }
  if (rank.count == 0) {
    activeRanks_.insert(aEntry.rank);
  }
  (aEntry.isLate ? flow.late : flow.inTime).emplace(aEntry.arrivedAt, aTicket);
  if (!aEntry.isLate) {
    byLatestStart_.emplace(aEntry.latestStart, aTicket);
  }
  flow.work += aEntry.work;
  rank.work += aEntry.work;
  ++rank.count;
}

void
WaitQueue::Extract(WaitTicket aTicket, const Entry& aEntry)
{
  Rank& rank = ranks_[aEntry.rank];
  Flow& flow = rank.flows[aEntry.organisation];
  (aEntry.isLate ? flow.late : flow.inTime)
    .erase({ aEntry.arrivedAt, aTicket });
  if (!aEntry.isLate) {
    byLatestStart_.erase({ aEntry.latestStart, aTicket });
  }
  flow.work -= aEntry.work;
  rank.work -= aEntry.work;
  --rank.count;
  if (rank.count == 0) {
    activeRanks_.erase(aEntry.rank);
  }
  if (flow.Size() == 0) {
    rank.active.erase({ flow.virtualStart, aEntry.organisation });
    Organisation& organisation = organisations_[aEntry.organisation];
    organisation.ranks.erase(aEntry.rank);
    if (organisation.ranks.empty()) {
      byStartedWork_.erase({ organisation.startedWork, aEntry.organisation });
    }
  }
}

void
WaitQueue::MarkLate(TimePoint aNow)
{
  while (!byLatestStart_.empty() && byLatestStart_.begin()->first < aNow) {
    const WaitTicket ticket = byLatestStart_.begin()->second;
    Entry& entry = entries_[ticket];
    Flow& flow = ranks_[entry.rank].flows[entry.organisation];
    byLatestStart_.erase(byLatestStart_.begin());
    flow.inTime.erase({ entry.arrivedAt, ticket });
    flow.late.emplace(entry.arrivedAt, ticket);
    entry.isLate = true;
  }
}

WaitTicket
WaitQueue::FirstOf(int aRank, OrganisationIndex aOrganisation) const
{
  const Flow& flow = ranks_.at(aRank).flows.at(aOrganisation);
  return (flow.inTime.empty() ? flow.late : flow.inTime).begin()->second;
}

std::optional<WaitTicket>
WaitQueue::Next(TimePoint aNow)
{
  MarkLate(aNow);
  if (activeRanks_.empty()) {
    return std::nullopt;
  }
  int rank = *activeRanks_.begin();
  if (rankCredit_ >= kFullCredit) {
    rank = *activeRanks_.rbegin();
  } else if (organisationCredit_ >= kFullCredit) {
    const OrganisationIndex smallest = byStartedWork_.begin()->second;
    return FirstOf(*organisations_[smallest].ranks.begin(), smallest);
  }
  return FirstOf(rank, ranks_.at(rank).active.begin()->second);
}

void
WaitQueue::SetAside(WaitTicket aTicket)
{
  const auto found = entries_.find(aTicket);
  if (found != entries_.end() && !found->second.isAside) {
    Extract(aTicket, found->second);
    found->second.isAside = true;
    aside_.push_back(aTicket);
  }
}

void
WaitQueue::RestoreAside()
{
  for (const WaitTicket ticket : std::exchange(aside_, {})) {
    const auto found = entries_.find(ticket);
    if (found != entries_.end() && found->second.isAside) {
      found->second.isAside = false;
      Insert(ticket, found->second);
    }
  }
}

void
WaitQueue::Start(WaitTicket aTicket, TimePoint aNow)
{
  const auto found = entries_.find(aTicket);
  if (found == entries_.end()) {
    return;
  }
  const Entry entry = found->second;
  UpdateCredits(entry);
  CountStart(entry, aNow);
  Remove(aTicket);
}

void
WaitQueue::UpdateCredits(const Entry& aEntry)
{
  const auto update = [](double& aCredit, double aFloor, bool aServed) {
    aCredit = std::clamp(aCredit + aFloor - (aServed ? 1 : 0), 0.0, 1.0);
  };
  if (!activeRanks_.empty() && (*activeRanks_.begin() != aEntry.rank ||
                                *activeRanks_.rbegin() != aEntry.rank)) {
    update(
      rankCredit_, options_.rankFloor, aEntry.rank >= *activeRanks_.rbegin());
  }
  const bool othersWait =
    byStartedWork_.size() > 1 ||
    (byStartedWork_.size() == 1 &&
     byStartedWork_.begin()->second != aEntry.organisation);
  if (othersWait) {
    update(organisationCredit_,
           options_.organisationFloor,
           organisations_[aEntry.organisation].startedWork <=
             byStartedWork_.begin()->first);
  }
}

void
WaitQueue::CountStart(const Entry& aEntry, TimePoint aNow)
{
  Rank& rank = ranks_[aEntry.rank];
  Flow& flow = rank.flows[aEntry.organisation];
  Organisation& organisation = organisations_[aEntry.organisation];
  const bool wasActive =
    rank.active.erase({ flow.virtualStart, aEntry.organisation }) > 0;
  // Those that are served by a floor may be behind others of their rank.
  rank.virtualTime = std::max(rank.virtualTime, flow.virtualStart);
  flow.virtualStart += aEntry.work;
  if (wasActive) {
    rank.active.emplace(flow.virtualStart, aEntry.organisation);
  }
  const bool isListed =
    byStartedWork_.erase({ organisation.startedWork, aEntry.organisation }) > 0;
  organisation.startedWork += aEntry.work;
  if (isListed) {
    byStartedWork_.emplace(organisation.startedWork, aEntry.organisation);
  }
  const int64_t bucket = BucketOf(aNow);
  const int64_t passed =
    std::min<int64_t>(bucket - lastBucket_, static_cast<int64_t>(kBuckets));
  for (int64_t step = 0; step < passed; ++step) {
    starts_.at(static_cast<std::size_t>(bucket - step) % kBuckets) = 0;
  }
  lastBucket_ = bucket;
  ++starts_.at(static_cast<std::size_t>(bucket) % kBuckets);
}

std::optional<StartPace>
WaitQueue::MeasuredPace(TimePoint aNow) const
{
  const Duration busy = aNow - busySince_;
  if (entries_.empty() || busy < kMinMeasuredTime) {
    return std::nullopt;
  }
  const int64_t bucket = BucketOf(aNow);
  uint32_t starts = 0;
  for (int64_t age = bucket - lastBucket_; age < static_cast<int64_t>(kBuckets);
       ++age) {
    starts += starts_.at(static_cast<std::size_t>(bucket - age) % kBuckets);
  }
  if (starts < kMinStarts) {
    return std::nullopt;
  }
  const Duration inBucket = aNow.time_since_epoch() % kBucketTime;
  const Duration window =
    kBucketTime * static_cast<int64_t>(kBuckets - 1) + inBucket;
  return StartPace{
    aNow, static_cast<double>(starts) / core::Seconds(std::min(busy, window))
  };
}

double
WaitQueue::PlaceInRank(const Rank& aRank,
                       const Flow& aFlow,
                       std::size_t aOwnAhead)
{
  const auto own = static_cast<double>(aOwnAhead);
  const auto others = static_cast<double>(aRank.count - aFlow.Size());
  const double othersWork = aRank.work - aFlow.work;
  if (others <= 0 || othersWork <= 0) {
    return own;
  }
  // The other organisations start as much work as this one, and first what this
  // one has started beyond them.
  const double lead = std::max(0.0, aFlow.virtualStart - aRank.virtualTime);
  const double ownWork =
    own * aFlow.work /
    static_cast<double>(std::max<std::size_t>(aFlow.Size(), 1));
  const double ahead =
    (ownWork + lead) * static_cast<double>(aRank.active.size() - 1);
  return own + others * std::min(1.0, ahead / othersWork);
}

double
WaitQueue::PlaceAmongRanks(int aRank, double aUrgent, double aInRank) const
{
  const bool isLowest =
    !activeRanks_.empty() && aRank >= *activeRanks_.rbegin();
  if (isLowest && options_.rankFloor > 0) {
    return std::min(aUrgent + aInRank, (aInRank + 1) / options_.rankFloor);
  }
  return aUrgent + aInRank;
}

double
WaitQueue::Place(WaitTicket aTicket) const
{
  const auto found = entries_.find(aTicket);
  if (found == entries_.end() || found->second.isAside) {
    return 0;
  }
  const Entry& entry = found->second;
  double urgent = 0;
  for (const auto& [number, rank] : ranks_) {
    if (number < entry.rank) {
      urgent += static_cast<double>(rank.count);
    }
  }
  const Rank& rank = ranks_.at(entry.rank);
  const Flow& flow = rank.flows.at(entry.organisation);
  const auto& part = entry.isLate ? flow.late : flow.inTime;
  const auto at = part.find({ entry.arrivedAt, aTicket });
  // The newest, which is asked about most often, needs no search.
  const auto before =
    std::next(at) == part.end()
      ? part.size() - 1
      : static_cast<std::size_t>(std::distance(part.begin(), at));
  const std::size_t ownAhead = before + (entry.isLate ? flow.inTime.size() : 0);
  return PlaceAmongRanks(entry.rank, urgent, PlaceInRank(rank, flow, ownAhead));
}

TimePoint
WaitQueue::ExpectedStartOf(WaitTicket aTicket,
                           const StartPace& aPace,
                           TimePoint aNow) const
{
  return std::max(aPace.from, aNow) +
         StartsTime(Place(aTicket), aPace.perSecond);
}

std::vector<ExpectedStart>
WaitQueue::StartingTooLate(const StartPace& aPace, TimePoint aNow) const
{
  std::vector<ExpectedStart> tooLate;
  const TimePoint from = std::max(aPace.from, aNow);
  double urgent = 0;
  for (const auto& entry : ranks_) {
    const auto& number = entry.first;
    const auto& rank = entry.second;
    const std::size_t before = tooLate.size();
    for (const auto& [virtualStart, organisation] : rank.active) {
      const Flow& flow = rank.flows.at(organisation);
      std::size_t ahead = flow.Size();
      const auto isTooLate = [&](const TimedTicket& aTicket) {
        --ahead;
        const TimePoint at =
          from + StartsTime(PlaceAmongRanks(
                              number, urgent, PlaceInRank(rank, flow, ahead)),
                            aPace.perSecond);
        if (tooLate.size() >= kMaxTooLate ||
            at <= entries_.at(aTicket.second).deadline) {
          return false;
        }
        tooLate.push_back({ aTicket.second, at });
        return true;
      };
      if (std::all_of(flow.late.rbegin(), flow.late.rend(), isTooLate)) {
        (void)std::all_of(flow.inTime.rbegin(), flow.inTime.rend(), isTooLate);
      }
    }
    urgent += static_cast<double>(rank.count - (tooLate.size() - before));
  }
  return tooLate;
}

std::vector<WaitTicket>
WaitQueue::Expired(TimePoint aNow) const
{
  std::vector<WaitTicket> expired;
  for (const auto& [deadline, ticket] : byDeadline_) {
    if (deadline > aNow) {
      break;
    }
    expired.push_back(ticket);
  }
  return expired;
}

std::optional<TimePoint>
WaitQueue::NextDeadline() const
{
  return byDeadline_.empty() ? std::nullopt
                             : std::optional(byDeadline_.begin()->first);
}

std::optional<TimePoint>
WaitQueue::OldestArrival() const
{
  return byArrival_.empty() ? std::nullopt
                            : std::optional(byArrival_.begin()->first);
}

Duration
WaitQueue::RetryAfter(TimePoint aExpectedStart,
                      double aPerSecond,
                      TimePoint aNow)
{
  const Duration interval = std::isfinite(aPerSecond) && aPerSecond > 0
                              ? std::min(StartsTime(1, aPerSecond), kMaxStagger)
                              : Duration::zero();
  TimePoint at = std::max(aExpectedStart, lastReturn_ + interval);
  if (at - aExpectedStart > kMaxStagger) {
    at = aExpectedStart; // begins the next round
  }
  lastReturn_ = at;
  return std::max(at - aNow, Duration::zero());
}

void
WaitQueue::Clear()
{
  // Shares begin anew when nobody waits.
  ranks_.clear();
  organisationIndexes_.clear();
  organisations_.clear();
  byStartedWork_.clear();
  aside_.clear();
  rankCredit_ = 0;
  organisationCredit_ = 0;
  starts_ = {};
}

} // namespace hibiscusnotch::routing
