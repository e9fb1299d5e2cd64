#include "hibiscusnotch/routing/upstream_table.hpp"

#include <algorithm>
#include <cmath>

namespace hibiscusnotch::routing {

namespace {

constexpr Duration kFirstSuspicion{ 400'000 }; // one connect timeout and more
constexpr Duration kLongestSuspicion{ 3'000'000 }; // about a restart
constexpr double kOutcomeWeight = 0.15; // about the last seven outcomes
constexpr double kMaxOutcomes = 20;

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
      row.lapsed.reset();
      row.coldUntil = std::max(row.coldUntil, aNow + aEntry.coldRemaining);
      if (aEntry.coldRemaining == Duration::zero()) {
        row.coldUntil = std::min(row.coldUntil, aNow);
      }
      return known->second;
    }
    row.gone = true;
    byName_.erase(known);
  }
  const UpstreamId id{ next_++ };
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
    if (!row.lapsed) {
      row.lapsed = aNow;
    }
    return;
  }
  row.gone = true;
  byName_.erase(known);
}

void
UpstreamTable::Sweep(TimePoint aNow)
{
  for (auto row = rows_.begin(); row != rows_.end();) {
    Upstream& upstream = row->second;
    if (!upstream.gone && upstream.lapsed &&
        aNow - *upstream.lapsed >= kLapseGrace) {
      upstream.gone = true;
      byName_.erase(upstream.entry.name);
    }
    row = upstream.gone && upstream.inFlight == 0 ? rows_.erase(row)
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
UpstreamTable::CountSend(UpstreamId aId, double aPromptTokens, TimePoint aNow)
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
UpstreamTable::CountFirstOutput(UpstreamId aId, double aPromptTokens)
{
  if (Upstream* row = Find(aId)) {
    row->pendingTokens = std::max(0.0, row->pendingTokens - aPromptTokens);
  }
}

void
UpstreamTable::CountEnd(UpstreamId aId)
{
  if (Upstream* row = Find(aId); row && row->inFlight > 0) {
    --row->inFlight;
  }
}

void
UpstreamTable::CountLoad(UpstreamId aId,
                         const ReportedLoad& aLoad,
                         TimePoint aNow)
{
  if (Upstream* row = Find(aId)) {
    const double total = aLoad.running + aLoad.waiting;
    row->othersLoad = std::max(0.0, total - row->inFlight);
    row->othersLoadAt = aNow;
  }
}

void
UpstreamTable::CountOutcome(UpstreamId aId, bool aGood)
{
  if (Upstream* row = Find(aId)) {
    row->failureShare +=
      kOutcomeWeight * ((aGood ? 0.0 : 1.0) - row->failureShare);
    row->outcomes = std::min(kMaxOutcomes, row->outcomes + 1);
  }
}

void
UpstreamTable::CountUnreachable(UpstreamId aId,
                                Duration aColdStart,
                                TimePoint aNow)
{
  if (Upstream* row = Find(aId)) {
    const uint32_t doublings = std::min<uint32_t>(row->failuresInRow, 4);
    ++row->failuresInRow;
    row->suspectUntil =
      aNow + std::min(kLongestSuspicion, kFirstSuspicion * (1U << doublings));
    // It may have restarted without notice: treat it as cold when it is back.
    if (row->failuresInRow > 1) {
      row->coldUntil = std::max(row->coldUntil, row->suspectUntil + aColdStart);
    }
  }
}

void
UpstreamTable::CountReachable(UpstreamId aId)
{
  if (Upstream* row = Find(aId)) {
    row->failuresInRow = 0;
    row->suspectUntil = TimePoint{};
  }
}

void
UpstreamTable::CountPeers(UpstreamId aId,
                          uint32_t aRequests,
                          double aPendingTokens,
                          TimePoint aNow)
{
  if (Upstream* row = Find(aId)) {
    row->peerRequests = aRequests;
    row->peerPendingTokens = aPendingTokens;
    row->peersAt = aNow;
  }
}

double
UpstreamTable::PendingTokens(const Upstream& aUpstream, TimePoint aNow)
{
  const bool told = aNow - aUpstream.peersAt < kLoadMemory;
  return aUpstream.pendingTokens + (told ? aUpstream.peerPendingTokens : 0);
}

double
UpstreamTable::Load(const Upstream& aUpstream, TimePoint aNow)
{
  const double age =
    core::Seconds(aNow - aUpstream.othersLoadAt) / core::Seconds(kLoadMemory);
  const double reported = aUpstream.othersLoad / (1 + age * age);
  const bool told = aNow - aUpstream.peersAt < kLoadMemory;
  return aUpstream.inFlight +
         std::max(reported,
                  told ? static_cast<double>(aUpstream.peerRequests) : 0.0);
}

} // namespace hibiscusnotch::routing
