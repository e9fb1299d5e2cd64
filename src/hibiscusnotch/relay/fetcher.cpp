#include "hibiscusnotch/relay/fetcher.hpp"

#include <algorithm>

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
    AppendBody(id, aBytes);
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
Fetcher::AppendBody(FetchId aFetch, std::string_view aBytes)
{
  std::string& body = pending_.at(aFetch).response.body;
  if (body.size() + aBytes.size() > kMaxBodyBytes) {
    End(aFetch, false);
    return;
  }
  body.append(aBytes);
  bodyBytes_ += aBytes.size();
  while (bodyBytes_ > kMaxBodyBytes) {
    End(LongestBody(), false);
  }
}

FetchId
Fetcher::LongestBody() const
{
  return std::ranges::max_element(pending_,
                                  {},
                                  [](const auto& aEntry) {
                                    return aEntry.second.response.body.size();
                                  })
    ->first;
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
  bodyBytes_ -= response.body.size();
  if (!aComplete) {
    response.status = 0;
  }
  pending.mapped().done(response);
}

} // namespace hibiscusnotch::relay
