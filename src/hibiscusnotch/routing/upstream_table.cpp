#include "hibiscusnotch/routing/upstream_table.hpp"

#include <algorithm>
#include <cmath>

namespace hibiscusnotch::routing {

namespace {

constexpr Duration kInitialSuspicion{
  400'000
};                                             // longer than a connect timeout
constexpr Duration kMaxSuspicion{ 3'000'000 }; // about the time of a restart
constexpr double kOutcomeEwmaWeight = 0.15;    // averages about seven outcomes
constexpr double kMaxOutcomeCount = 20;

} // namespace

UpstreamId
UpstreamTable::Apply(const UpstreamEntry& aEntry, TimePoint aNow)
{
  const auto known = byName_.find(aEntry.name);
  if (known != byName_.end()) {
    Upstream& row = rows_.at(known->second);
    const bool same = row.entry.incarnation == aEntry.incarnation &&
                      row.entry.endpoint.address == aEntry.endpoint.address &&
                      row.entry.endpoint.port == aEntry.endpoint.port &&
                      row.entry.service == aEntry.service;
    if (same) {
      row.entry = aEntry;
      row.lapsedAt.reset();
      row.coldUntil = std::max(row.coldUntil, aNow + aEntry.coldRemaining);
      if (aEntry.coldRemaining == Duration::zero()) {
        row.coldUntil = std::min(row.coldUntil, aNow);
      }
      return known->second;
    }
    row.removed = true;
    byName_.erase(known);
  }
  const UpstreamId id{ nextId_++ };
  Upstream row;
  row.entry = aEntry;
  row.coldUntil = aNow + aEntry.coldRemaining;
  rows_.emplace(id, std::move(row));
  byName_.emplace(aEntry.name, id);
  return id;
}

void
UpstreamTable::Remove(std::string_view aName, bool aMayReturn, TimePoint aNow)
{
  const auto known = byName_.find(aName);
  if (known == byName_.end()) {
    return;
  }
  Upstream& row = rows_.at(known->second);
  if (aMayReturn) {
    if (!row.lapsedAt) {
      row.lapsedAt = aNow;
    }
    return;
  }
  row.removed = true;
  byName_.erase(known);
}

void
UpstreamTable::Sweep(TimePoint aNow)
{
  for (auto row = rows_.begin(); row != rows_.end();) {
    Upstream& upstream = row->second;
    if (!upstream.removed && upstream.lapsedAt &&
        aNow - *upstream.lapsedAt >= kLapsedEntryGrace) {
      upstream.removed = true;
      byName_.erase(upstream.entry.name);
    }
    row = upstream.removed && upstream.inFlight == 0 ? rows_.erase(row)
                                                     : std::next(row);
  }
}

Upstream*
UpstreamTable::Find(UpstreamId aId)
{
  const auto row = rows_.find(aId);
  return row == rows_.end() ? nullptr : &row->second;
}

const Upstream*
UpstreamTable::Find(UpstreamId aId) const
{
  const auto row = rows_.find(aId);
  return row == rows_.end() ? nullptr : &row->second;
}

std::optional<UpstreamId>
UpstreamTable::FindByName(std::string_view aName) const
{
  const auto known = byName_.find(aName);
  if (known == byName_.end()) {
    return std::nullopt;
  }
  return known->second;
}

void
UpstreamTable::RecordSend(UpstreamId aId, double aPromptTokens, TimePoint aNow)
{
  if (Upstream* row = Find(aId)) {
    ++row->inFlight;
    row->pendingTokens += aPromptTokens;
    while (!row->recentSends.empty() &&
           aNow - row->recentSends.front() > Duration{ 1'000'000 }) {
      row->recentSends.pop_front();
    }
    if (aNow < row->coldUntil) {
      row->recentSends.push_back(aNow);
    }
  }
}

void
UpstreamTable::RecordFirstOutput(UpstreamId aId, double aPromptTokens)
{
  if (Upstream* row = Find(aId)) {
    row->pendingTokens = std::max(0.0, row->pendingTokens - aPromptTokens);
  }
}

void
UpstreamTable::RecordEnd(UpstreamId aId)
{
  if (Upstream* row = Find(aId); row && row->inFlight > 0) {
    --row->inFlight;
  }
}

void
UpstreamTable::RecordReportedLoad(UpstreamId aId,
                                  const ReportedLoad& aLoad,
                                  TimePoint aNow)
{
  if (Upstream* row = Find(aId)) {
    const double total = aLoad.running + aLoad.waiting;
    row->reportedPeerLoad = std::max(0.0, total - row->inFlight);
    row->reportedAt = aNow;
  }
}

void
UpstreamTable::RecordOutcome(UpstreamId aId, bool aGood)
{
  if (Upstream* row = Find(aId)) {
    row->failureRate +=
      kOutcomeEwmaWeight * ((aGood ? 0.0 : 1.0) - row->failureRate);
    row->outcomeCount = std::min(kMaxOutcomeCount, row->outcomeCount + 1);
  }
}

void
UpstreamTable::RecordUnreachable(UpstreamId aId,
                                 Duration aColdStart,
                                 TimePoint aNow)
{
  if (Upstream* row = Find(aId)) {
    const uint32_t doublings = std::min<uint32_t>(row->consecutiveFailures, 4);
    ++row->consecutiveFailures;
    row->suspectUntil =
      aNow + std::min(kMaxSuspicion, kInitialSuspicion * (1U << doublings));
    // It may have restarted unnoticed: treat it as cold when it returns.
    if (row->consecutiveFailures > 1) {
      row->coldUntil = std::max(row->coldUntil, row->suspectUntil + aColdStart);
    }
  }
}

void
UpstreamTable::RecordReachable(UpstreamId aId)
{
  if (Upstream* row = Find(aId)) {
    row->consecutiveFailures = 0;
    row->suspectUntil = TimePoint{};
  }
}

void
UpstreamTable::RecordPeerLoad(UpstreamId aId,
                              uint32_t aRequests,
                              double aPendingTokens,
                              TimePoint aNow)
{
  if (Upstream* row = Find(aId)) {
    row->peerRequests = aRequests;
    row->peerPendingTokens = aPendingTokens;
    row->peerReportAt = aNow;
  }
}

double
UpstreamTable::PendingTokens(const Upstream& aUpstream, TimePoint aNow)
{
  const bool peerReportFresh =
    aNow - aUpstream.peerReportAt < kLoadReportLifetime;
  return aUpstream.pendingTokens +
         (peerReportFresh ? aUpstream.peerPendingTokens : 0);
}

double
UpstreamTable::Load(const Upstream& aUpstream, TimePoint aNow)
{
  const double age = core::Seconds(aNow - aUpstream.reportedAt) /
                     core::Seconds(kLoadReportLifetime);
  const double reported = aUpstream.reportedPeerLoad / (1 + age * age);
  const bool peerReportFresh =
    aNow - aUpstream.peerReportAt < kLoadReportLifetime;
  return aUpstream.inFlight +
         std::max(reported,
                  peerReportFresh ? static_cast<double>(aUpstream.peerRequests)
                                  : 0.0);
}

} // namespace hibiscusnotch::routing
