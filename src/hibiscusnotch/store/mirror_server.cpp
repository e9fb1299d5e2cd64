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
constexpr Duration kLongestWait{ 10'000'000 }; // of a peer's poll

struct WaitingPoll
{
  std::string kind;
  uint64_t since = 0;
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
        [this](ExchangeId aId) { Forget(aId); },
        [](ExchangeId) {} });
  }

  Mirror& MirrorOf(const std::string& aKind) override
  {
    return mirrors_[aKind];
  }

  void Publish(const std::string& aKind) override
  {
    std::vector<ExchangeId> due;
    for (const auto& [id, poll] : waiting_) {
      if (poll.kind == aKind && mirrors_[aKind].AsOf() > poll.since) {
        due.push_back(id);
      }
    }
    std::ranges::for_each(due, [this](ExchangeId aId) { AnswerPoll(aId); });
  }

  void ConfirmUpTo(TimePoint aTime) override
  {
    confirmedAt_ = std::max(confirmedAt_, aTime);
  }

  void SetConnected(bool aInTouch) override
  {
    inTouch_ = aInTouch;
    if (inTouch_) {
      return;
    }
    std::vector<ExchangeId> due;
    for (const auto& [id, poll] : waiting_) {
      due.push_back(id);
    }
    for (const ExchangeId id : due) {
      Forget(id);
      Answer(id, kUnavailable, "");
    }
  }

  void SetRecentOutage(bool aAfterOutage) override
  {
    afterOutage_ = aAfterOutage;
  }

private:
  void OnRequest(ExchangeId aId, const net::HttpRequest& aRequest)
  {
    const auto query = ReadMirrorTarget(aRequest.target);
    const auto found = query ? mirrors_.find(query->kind) : mirrors_.end();
    if (found == mirrors_.end()) {
      Answer(aId, kNotFound, "");
      return;
    }
    const Mirror& mirror = found->second;
    if (!inTouch_ || !mirror.Known()) {
      Answer(aId, kUnavailable, "");
      return;
    }
    if (!query->since) {
      ListPage page = mirror.List();
      page.age = Age();
      page.recentOutage = afterOutage_;
      Answer(aId, kOk, WriteMirrorPage(page));
      return;
    }
    WaitingPoll& poll = waiting_[aId];
    poll.kind = query->kind;
    poll.since = *query->since;
    const auto changes = mirror.ChangesSince(poll.since);
    if (!changes || !changes->changes.empty()) {
      AnswerPoll(aId);
      return;
    }
    poll.timer = timers_.After(std::min(query->wait, kLongestWait),
                               [this, aId] { AnswerPoll(aId); });
  }

  Duration Age() const
  {
    return std::max(Duration::zero(), timers_.Now() - confirmedAt_);
  }

  void AnswerPoll(ExchangeId aId)
  {
    const auto found = waiting_.find(aId);
    if (found == waiting_.end()) {
      return;
    }
    const Mirror& mirror = mirrors_[found->second.kind];
    auto changes = mirror.ChangesSince(found->second.since);
    Forget(aId);
    if (!changes) {
      Answer(aId, kGone, "");
      return;
    }
    changes->age = Age();
    changes->recentOutage = afterOutage_;
    Answer(aId, kOk, WriteMirrorBatch(*changes));
  }

  void Forget(ExchangeId aId)
  {
    const auto found = waiting_.find(aId);
    if (found != waiting_.end()) {
      timers_.Cancel(found->second.timer);
      waiting_.erase(found);
    }
  }

  void Answer(ExchangeId aId, int aStatus, const std::string& aBody)
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
  std::map<ExchangeId, WaitingPoll> waiting_;
  TimePoint confirmedAt_{};
  bool inTouch_ = false;
  bool afterOutage_ = false;
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
