#include "hibiscusnotch/store/mirrored_store.hpp"

#include "hibiscusnotch/relay/fetcher.hpp"
#include "hibiscusnotch/store/mirror.hpp"

#include <algorithm>
#include <map>
#include <vector>

namespace hibiscusnotch::store {

namespace {

constexpr int kOk = 200;
constexpr int kGone = 410;
constexpr Duration kConnectTimeout{ 250'000 }; // within a zone
constexpr Duration kPollSlack{ 450'000 };      // beyond the wait that was asked
constexpr Duration kListTimeout{ 600'000 };

class MirroredStore : public ObjectStore
{
public:
  MirroredStore(ObjectStore& aDirect,
                relay::OutboundClient& aCaller,
                relay::Timers& aTimers,
                MirroredStoreOptions aOptions,
                MirroredStoreObserver aObserver)
    : direct_(aDirect)
    , timers_(aTimers)
    , options_(std::move(aOptions))
    , observer_(std::move(aObserver))
    , fetcher_(aCaller, aTimers)
    , startedAt_(aTimers.Now())
  {
  }

  void List(const std::string& aKind,
            const std::string& aAfter,
            ReplyCallback<ListPage> aReply) override
  {
    const auto peer = aAfter.empty() ? ChoosePeer() : std::nullopt;
    if (!peer) {
      if (Held(aKind)) {
        Decline<ListPage>(aReply);
        return;
      }
      direct_.List(aKind, aAfter, Noting<ListPage>(aKind, aReply));
      return;
    }
    Ask(
      *peer,
      { aKind, std::nullopt, Duration::zero() },
      kListTimeout,
      [this, peer = peer->name, aReply](int aStatus, const std::string& aBody) {
        auto page = aStatus == kOk ? ReadMirrorPage(aBody) : std::nullopt;
        Finish(peer, aStatus, std::move(page), aReply);
      });
  }

  void Watch(const std::string& aKind,
             uint64_t aSince,
             Duration aWait,
             ReplyCallback<ChangeBatch> aReply) override
  {
    const auto peer = ChoosePeer();
    if (!peer) {
      if (Held(aKind)) {
        Decline<ChangeBatch>(aReply);
        return;
      }
      direct_.Watch(aKind, aSince, aWait, Noting<ChangeBatch>(aKind, aReply));
      return;
    }
    Ask(
      *peer,
      { aKind, aSince, aWait },
      aWait + kPollSlack,
      [this, peer = peer->name, aReply](int aStatus, const std::string& aBody) {
        if (aStatus == kGone) {
          aReply(std::nullopt, StoreError::HistoryGone);
          return;
        }
        auto batch = aStatus == kOk ? ReadMirrorBatch(aBody) : std::nullopt;
        Finish(peer, aStatus, std::move(batch), aReply);
      });
  }

  void Get(const std::string& aKind,
           const std::string& aName,
           ReplyCallback<Object> aReply) override
  {
    direct_.Get(aKind, aName, std::move(aReply));
  }
  void Create(const std::string& aKind,
              const Object& aObject,
              ReplyCallback<Object> aReply) override
  {
    direct_.Create(aKind, aObject, std::move(aReply));
  }
  void PutStatus(const std::string& aKind,
                 const Object& aObject,
                 ReplyCallback<Object> aReply) override
  {
    direct_.PutStatus(aKind, aObject, std::move(aReply));
  }
  void Delete(const std::string& aKind,
              const std::string& aName,
              ReplyCallback<Object> aReply) override
  {
    direct_.Delete(aKind, aName, std::move(aReply));
  }
  uint64_t CallCount() const override { return direct_.CallCount(); }

private:
  std::optional<MirrorPeer> ChoosePeer()
  {
    std::vector<MirrorPeer> peers = observer_.peers();
    readsMirrors_ = !peers.empty();
    for (MirrorPeer& peer : peers) {
      const auto avoided = avoidUntil_.find(peer.name);
      if (avoided == avoidUntil_.end() || timers_.Now() >= avoided->second) {
        return std::move(peer);
      }
    }
    return std::nullopt;
  }

  /// While the store fails, one kind's calls find out when it is back.
  bool Held(const std::string& aKind) const
  {
    if (!probeFailed_) {
      return false;
    }
    return aKind != options_.probeKind ||
           (readsMirrors_ && timers_.Now() < nextProbe_);
  }

  template<class Result>
  void Decline(const ReplyCallback<Result>& aReply)
  {
    timers_.After(Duration::zero(),
                  [aReply] { aReply(std::nullopt, StoreError::Refused); });
  }

  /// Passes a direct answer on and notes what the probe kind's say.
  template<class Result>
  ReplyCallback<Result> Noting(const std::string& aKind,
                               ReplyCallback<Result> aReply)
  {
    if (aKind != options_.probeKind) {
      return aReply;
    }
    return [this, aReply](std::optional<Result> aResult, StoreError aFault) {
      NoteProbe(aFault == StoreError::Refused ||
                aFault == StoreError::NoResponse);
      aReply(std::move(aResult), aFault);
    };
  }

  void NoteProbe(bool aFailed)
  {
    probeFailed_ = aFailed;
    if (!aFailed) {
      probePause_ = options_.probePause;
      return;
    }
    nextProbe_ = timers_.Now() + probePause_;
    probePause_ = std::min(options_.longestProbePause, probePause_ * 2);
  }

  template<class Result>
  void Finish(const std::string& aPeer,
              int aStatus,
              std::optional<Result> aResult,
              const ReplyCallback<Result>& aReply)
  {
    if (aStatus != 0) {
      unreachable_[aPeer] = 0;
    }
    if (aResult && aResult->age <= options_.oldestCopy) {
      aReply(std::move(aResult), StoreError::None);
      return;
    }
    if (aStatus == kOk ||
        timers_.Now() - startedAt_ >= options_.startPatience) {
      Avoid(aPeer, aStatus == 0);
    }
    aReply(std::nullopt, StoreError::MirrorFailed);
  }

  void Avoid(const std::string& aPeer, bool aUnreachable)
  {
    const TimePoint now = timers_.Now();
    TimePoint& until = avoidUntil_[aPeer];
    if (until > now) {
      return;
    }
    until = now + (aUnreachable ? options_.avoidFor : options_.declinedFor);
    unreachable_[aPeer] += aUnreachable ? 1 : 0;
    observer_.onPeerLost(aPeer, unreachable_[aPeer]);
    // What else waits at that peer turns to another source now.
    std::vector<relay::FetchId> waiting;
    for (const auto& [id, peer] : polls_) {
      if (peer == aPeer) {
        waiting.push_back(id);
      }
    }
    for (const relay::FetchId id : waiting) {
      fetcher_.Abandon(id);
    }
  }

  void Ask(const MirrorPeer& aPeer,
           const MirrorQuery& aQuery,
           Duration aTimeout,
           const relay::FetchCallback& aDone)
  {
    relay::OutboundCall call;
    call.to = aPeer.endpoint;
    call.connectTimeout = kConnectTimeout;
    call.message = "GET " + WriteMirrorTarget(aQuery) +
                   " HTTP/1.1\r\nHost: " + aPeer.endpoint.address +
                   "\r\nConnection: close\r\n\r\n";
    const auto id = std::make_shared<relay::FetchId>(0);
    *id =
      fetcher_.Start(std::move(call),
                     aTimeout,
                     [this, id, aDone](int aStatus, const std::string& aBody) {
                       polls_.erase(*id);
                       aDone(aStatus, aBody);
                     });
    polls_.emplace(*id, aPeer.name);
  }

  ObjectStore& direct_;
  relay::Timers& timers_;
  MirroredStoreOptions options_;
  MirroredStoreObserver observer_;
  std::map<std::string, TimePoint> avoidUntil_;
  std::map<std::string, uint32_t> unreachable_;
  relay::Fetcher fetcher_;
  std::map<relay::FetchId, std::string> polls_; ///< Open ones, by peer.
  TimePoint startedAt_;
  bool readsMirrors_ = false;
  bool probeFailed_ = false;
  TimePoint nextProbe_{};
  Duration probePause_ = options_.probePause;
};

} // namespace

std::unique_ptr<ObjectStore>
MakeMirroredStore(ObjectStore& aDirect,
                  relay::OutboundClient& aCaller,
                  relay::Timers& aTimers,
                  MirroredStoreOptions aOptions,
                  MirroredStoreObserver aObserver)
{
  return std::make_unique<MirroredStore>(
    aDirect, aCaller, aTimers, std::move(aOptions), std::move(aObserver));
}

} // namespace hibiscusnotch::store
