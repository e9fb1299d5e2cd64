#include "hibiscusnotch/store/mirror_responder.hpp"

#include <algorithm>

namespace hibiscusnotch::store {

namespace {

constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kGone = 410;
constexpr int kUnavailable = 503;
constexpr Duration kMaxPollWait{ 10'000'000 };
// A confirmation that is newer by less than this is not worth a response.
constexpr Duration kMinConfirmationStep{ 400'000 };

} // namespace

MirrorResponder::MirrorResponder(relay::Timers& aTimers,
                                 MirrorResponse aRespond)
  : timers_(aTimers)
  , respond_(std::move(aRespond))
{
}

Mirror&
MirrorResponder::MirrorOf(const std::string& aKind)
{
  return kinds_[aKind].mirror;
}

void
MirrorResponder::OnQuery(MirrorQueryId aId, std::string_view aTarget)
{
  const auto query = ParseMirrorTarget(aTarget);
  const auto found = query ? kinds_.find(query->kind) : kinds_.end();
  if (found == kinds_.end()) {
    respond_(aId, kNotFound, "");
    return;
  }
  ServedKind& kind = found->second;
  Mirror& mirror = kind.mirror;
  const bool behind = query->since && query->since->era > mirror.AsOf().era;
  if (!connected_ || !mirror.HasSnapshot() || behind) {
    respond_(aId, kUnavailable, "");
    return;
  }
  if (!query->since) {
    respond_(
      aId,
      kOk,
      EncodeMirrorResponse({ mirror.AsOf(), AgeOf(kind), RestoreTimeLeft() },
                           mirror.EncodedItems()));
    return;
  }
  LongPoll& poll = longPolls_[aId];
  poll.kind = query->kind;
  poll.since = *query->since;
  poll.receivedAt = timers_.Now();
  const auto changes = mirror.ChangesSince(poll.since);
  if (!changes || !changes->changes.empty()) {
    Complete(aId);
    return;
  }
  poll.timer = timers_.After(std::min(query->wait, kMaxPollWait),
                             [this, aId] { Complete(aId); });
}

void
MirrorResponder::Forget(MirrorQueryId aId)
{
  const auto poll = longPolls_.extract(aId);
  if (!poll.empty()) {
    timers_.Cancel(poll.mapped().timer);
  }
}

void
MirrorResponder::Publish(const std::string& aKind)
{
  const Mirror& mirror = MirrorOf(aKind);
  CompleteWhere([&](const LongPoll& aPoll) {
    return aPoll.kind == aKind && mirror.IsNewerThan(aPoll.since);
  });
}

void
MirrorResponder::ConfirmUpTo(const std::string& aKind, TimePoint aTime)
{
  ServedKind& kind = kinds_[aKind];
  kind.confirmedAt = std::max(kind.confirmedAt, aTime);
  if (kind.confirmedAt - kind.publishedConfirmation < kMinConfirmationStep) {
    return;
  }
  kind.publishedConfirmation = kind.confirmedAt;
  CompleteWhere([&](const LongPoll& aPoll) { return aPoll.kind == aKind; });
}

void
MirrorResponder::SetConnected(bool aConnected)
{
  connected_ = aConnected;
  if (connected_) {
    return;
  }
  while (!longPolls_.empty()) {
    const MirrorQueryId id = longPolls_.begin()->first;
    Forget(id);
    respond_(id, kUnavailable, "");
  }
}

void
MirrorResponder::SetRestoreEnd(TimePoint aTime)
{
  restoreEnd_ = aTime;
}

Duration
MirrorResponder::AgeOf(const ServedKind& aKind) const
{
  return std::max(Duration::zero(), timers_.Now() - aKind.confirmedAt);
}

Duration
MirrorResponder::RestoreTimeLeft() const
{
  return std::max(Duration::zero(), restoreEnd_ - timers_.Now());
}

void
MirrorResponder::Complete(MirrorQueryId aId)
{
  const auto found = longPolls_.find(aId);
  if (found == longPolls_.end()) {
    return;
  }
  const LongPoll poll = found->second;
  ServedKind& kind = kinds_[poll.kind];
  Forget(aId);
  const std::string* changes = kind.mirror.EncodedChangesSince(poll.since);
  if (!changes) {
    respond_(aId, kGone, "");
    return;
  }
  const Duration held = timers_.Now() - poll.receivedAt;
  respond_(aId,
           kOk,
           EncodeMirrorResponse({ std::max(kind.mirror.AsOf(), poll.since),
                                  AgeOf(kind) - held,
                                  RestoreTimeLeft() },
                                *changes));
}

template<class Predicate>
void
MirrorResponder::CompleteWhere(const Predicate& aIsDue)
{
  std::vector<MirrorQueryId> due;
  for (const auto& [id, poll] : longPolls_) {
    if (aIsDue(poll)) {
      due.push_back(id);
    }
  }
  std::ranges::for_each(due, [this](MirrorQueryId aId) { Complete(aId); });
}

} // namespace hibiscusnotch::store
