#include "hibiscusnotch/relay/fetcher.hpp"

namespace hibiscusnotch::relay {

Fetcher::Fetcher(OutboundClient& aClient, Timers& aTimers)
  : client_(aClient)
  , timers_(aTimers)
{
}

FetchId
Fetcher::Start(OutboundCall aCall, Duration aTimeout, FetchCallback aDone)
{
  const FetchId id = ++lastId_;
  CallObserver observer;
  observer.onHead = [this, id](const ResponseHead& aHead) {
    FetchedResponse& response = pending_.at(id).response;
    response.status = aHead.status;
    response.headers = aHead.headers;
  };
  observer.onBody = [this, id](std::string_view aBytes) {
    std::string& body = pending_.at(id).response.body;
    if (body.size() + aBytes.size() > kMaxBodyBytes) {
      End(id, false);
    } else {
      body.append(aBytes);
    }
  };
  observer.onEnd = [this, id](CallOutcome aEnd, std::string_view) {
    End(id, aEnd == CallOutcome::Complete);
  };
  PendingFetch& pending = pending_[id];
  pending.done = std::move(aDone);
  pending.timer = timers_.After(aTimeout, [this, id] { End(id, false); });
  pending.call = client_.Start(std::move(aCall), std::move(observer));
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
  auto pending = pending_.extract(aFetch);
  if (pending.empty()) {
    return;
  }
  timers_.Cancel(pending.mapped().timer);
  client_.Cancel(pending.mapped().call);
  FetchedResponse& response = pending.mapped().response;
  if (!aComplete) {
    response.status = 0;
  }
  pending.mapped().done(response);
}

} // namespace hibiscusnotch::relay
