#include "hibiscusnotch/store/mirror_server.hpp"

#include "hibiscusnotch/relay/listener.hpp"

#include <algorithm>
#include <map>
#include <vector>

namespace hibiscusnotch::store {

namespace {

using relay::ExchangeId;

constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kGone = 410;
constexpr int kUnavailable = 503;
constexpr Duration kMaxPollWait{ 10'000'000 };
// A confirmation that is newer by less than this is not worth a response.
constexpr Duration kMinConfirmationStep{ 400'000 };

struct LongPoll
{
  std::string kind;
  StoreVersion since;
  TimePoint receivedAt{};
  relay::TimerId timer = 0;
};

class HttpMirrorServer : public MirrorServer
{
public:
  HttpMirrorServer(boost::asio::io_context& aContext,
                   relay::Timers& aTimers,
                   core::Endpoint aEndpoint)
    : timers_(aTimers)
  {
    relay::ListenerOptions options;
    options.endpoint = std::move(aEndpoint);
    listener_ = relay::MakeListener(
      aContext,
      aTimers,
      options,
      { [this](ExchangeId aId, const net::HttpRequest& aRequest) {
         OnRequest(aId, aRequest);
       },
        [this](ExchangeId aId) { RemovePoll(aId); },
        [](ExchangeId) {} });
  }

  Mirror& MirrorOf(const std::string& aKind) override
  {
    return mirrors_[aKind];
  }

  void Publish(const std::string& aKind) override
  {
    std::vector<ExchangeId> due;
    for (const auto& [id, poll] : longPolls_) {
      if (poll.kind == aKind && mirrors_[aKind].IsNewerThan(poll.since)) {
        due.push_back(id);
      }
    }
    std::ranges::for_each(due, [this](ExchangeId aId) { CompletePoll(aId); });
  }

  void ConfirmUpTo(const std::string& aKind, TimePoint aTime) override
  {
    confirmedAt_ = std::max(confirmedAt_, aTime);
    if (confirmedAt_ - publishedConfirmation_ < kMinConfirmationStep) {
      return;
    }
    publishedConfirmation_ = confirmedAt_;
    std::vector<ExchangeId> due;
    for (const auto& [id, poll] : longPolls_) {
      if (poll.kind == aKind) {
        due.push_back(id);
      }
    }
    std::ranges::for_each(due, [this](ExchangeId aId) { CompletePoll(aId); });
  }

  void SetConnected(bool aConnected) override
  {
    connected_ = aConnected;
    if (connected_) {
      return;
    }
    std::vector<ExchangeId> due;
    for (const auto& [id, poll] : longPolls_) {
      due.push_back(id);
    }
    for (const ExchangeId id : due) {
      RemovePoll(id);
      Respond(id, kUnavailable, "");
    }
  }

  void SetRecentOutage(bool aRecentOutage) override
  {
    recentOutage_ = aRecentOutage;
  }

private:
  void OnRequest(ExchangeId aId, const net::HttpRequest& aRequest)
  {
    const auto query = ParseMirrorTarget(aRequest.target);
    const auto found = query ? mirrors_.find(query->kind) : mirrors_.end();
    if (found == mirrors_.end()) {
      Respond(aId, kNotFound, "");
      return;
    }
    Mirror& mirror = found->second;
    const bool behind = query->since && query->since->era > mirror.AsOf().era;
    if (!connected_ || !mirror.HasSnapshot() || behind) {
      Respond(aId, kUnavailable, "");
      return;
    }
    if (!query->since) {
      Respond(aId,
              kOk,
              EncodeMirrorResponse({ mirror.AsOf(), Age(), recentOutage_ },
                                   mirror.EncodedItems()));
      return;
    }
    LongPoll& poll = longPolls_[aId];
    poll.kind = query->kind;
    poll.since = *query->since;
    poll.receivedAt = timers_.Now();
    const auto changes = mirror.ChangesSince(poll.since);
    if (!changes || !changes->changes.empty()) {
      CompletePoll(aId);
      return;
    }
    poll.timer = timers_.After(std::min(query->wait, kMaxPollWait),
                               [this, aId] { CompletePoll(aId); });
  }

  Duration Age() const
  {
    return std::max(Duration::zero(), timers_.Now() - confirmedAt_);
  }

  void CompletePoll(ExchangeId aId)
  {
    const auto found = longPolls_.find(aId);
    if (found == longPolls_.end()) {
      return;
    }
    const LongPoll poll = found->second;
    Mirror& mirror = mirrors_[poll.kind];
    RemovePoll(aId);
    const std::string* changes = mirror.EncodedChangesSince(poll.since);
    if (!changes) {
      Respond(aId, kGone, "");
      return;
    }
    const Duration held = timers_.Now() - poll.receivedAt;
    Respond(
      aId,
      kOk,
      EncodeMirrorResponse(
        { std::max(mirror.AsOf(), poll.since), Age() - held, recentOutage_ },
        *changes));
  }

  void RemovePoll(ExchangeId aId)
  {
    const auto found = longPolls_.find(aId);
    if (found != longPolls_.end()) {
      timers_.Cancel(found->second.timer);
      longPolls_.erase(found);
    }
  }

  void Respond(ExchangeId aId, int aStatus, const std::string& aBody)
  {
    listener_->Start(aId,
                     aStatus,
                     aStatus == kOk ? "OK" : "Unavailable",
                     { { "Content-Length", std::to_string(aBody.size()) } },
                     relay::Framing::Length);
    listener_->Write(aId, aBody);
    listener_->Finish(aId);
  }

  relay::Timers& timers_;
  std::unique_ptr<relay::Listener> listener_;
  std::map<std::string, Mirror> mirrors_;
  std::map<ExchangeId, LongPoll> longPolls_;
  TimePoint confirmedAt_{};
  TimePoint publishedConfirmation_{};
  bool connected_ = false;
  bool recentOutage_ = false;
};

} // namespace

std::unique_ptr<MirrorServer>
MakeMirrorServer(boost::asio::io_context& aContext,
                 relay::Timers& aTimers,
                 core::Endpoint aEndpoint)
{
  return std::make_unique<HttpMirrorServer>(
    aContext, aTimers, std::move(aEndpoint));
}

} // namespace hibiscusnotch::store
