#include "hibiscusnotch/relay/fetcher.hpp"

namespace hibiscusnotch::relay {

Fetcher::Fetcher(OutboundClient& aCaller, Timers& aTimers)
  : caller_(aCaller)
  , timers_(aTimers)
{
}

FetchId
Fetcher::Start(OutboundCall aCall, Duration aTimeout, FetchCallback aDone)
{
  const FetchId id = ++last_;
  CallObserver observer;
  observer.onHead = [this, id](const ResponseHead& aHead) {
    rows_.at(id).status = aHead.status;
  };
  observer.onBody = [this, id](std::string_view aBytes) {
    rows_.at(id).body.append(aBytes);
  };
  observer.onEnd = [this, id](CallOutcome aEnd, std::string_view) {
    End(id, aEnd == CallOutcome::Complete);
  };
  Row& row = rows_[id];
  row.done = std::move(aDone);
  row.timer = timers_.After(aTimeout, [this, id] { End(id, false); });
  row.call = caller_.Start(std::move(aCall), std::move(observer));
  return id;
}

void
Fetcher::Abandon(FetchId aFetch)
{
  End(aFetch, false);
}

void
Fetcher::End(FetchId aFetch, bool aComplete)
{
  auto row = rows_.extract(aFetch);
  if (row.empty()) {
    return;
  }
  timers_.Cancel(row.mapped().timer);
  caller_.Cancel(row.mapped().call);
  row.mapped().done(aComplete ? row.mapped().status : 0, row.mapped().body);
}

} // namespace hibiscusnotch::relay
