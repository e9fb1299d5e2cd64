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
constexpr Duration kConnectTimeout{ 250'000 }; // mirrors are in the same zone

class MirroredStore : public ObjectStore
{
public:
  MirroredStore(ObjectStore& aDirect,
                relay::OutboundClient& aClient,
                relay::Timers& aTimers,
                MirroredStoreOptions aOptions,
                MirroredStoreObserver aObserver)
    : direct_(aDirect)
    , timers_(aTimers)
    , options_(std::move(aOptions))
    , observer_(std::move(aObserver))
    , fetcher_(aClient, aTimers)
    , startedAt_(aTimers.Now())
  {
  }

  void List(const std::string& aKind,
            const std::string& aAfter,
            ReplyCallback<ListPage> aReply) override
  {
    const auto peer = aAfter.empty() ? ChoosePeer(aKind) : std::nullopt;
    if (!peer) {
      if (DirectCallSuspended(aKind)) {
        Refuse<ListPage>(aReply);
        return;
      }
      direct_.List(aKind, aAfter, RecordingProbe<ListPage>(aKind, aReply));
      return;
    }
    Query(*peer,
          { aKind, std::nullopt, Duration::zero() },
          options_.listTimeout,
          [this, peer = peer->name, aKind, aReply](
            const relay::FetchedResponse& aGot) {
            auto page = aGot.status == kOk
                          ? DecodeMirrorPage(aGot.body, ReducerOf(aKind))
                          : std::nullopt;
            HandleMirrorResponse(
              peer, aKind, aGot.status, std::move(page), aReply);
          });
  }

  void Watch(const std::string& aKind,
             StoreVersion aSince,
             Duration aTimeout,
             ReplyCallback<ChangeBatch> aReply) override
  {
    if (aKind == options_.probeKind) {
      probeVersion_ = aSince;
    }
    const auto peer = ChoosePeer(aKind);
    if (!peer) {
      if (DirectCallSuspended(aKind)) {
        Refuse<ChangeBatch>(aReply);
        return;
      }
      direct_.Watch(aKind,
                    aSince,
                    aTimeout,
                    RecordingProbe<ChangeBatch>(aKind, AsFallback(aReply)));
      return;
    }
    const bool isKnown =
      timers_.Now() - respondedAt_[peer->name] <= options_.maxSilence;
    Duration wait{ 0 };
    if (isKnown) {
      wait = aKind == options_.probeKind ? aTimeout
                                         : aTimeout + options_.heldWatchSlack;
    }
    Query(*peer,
          { aKind, aSince, wait },
          isKnown ? wait + options_.responseMargin
                  : options_.firstResponseTimeout,
          [this, peer = peer->name, aKind, aReply](
            const relay::FetchedResponse& aGot) {
            if (aGot.status == kGone) {
              RecordResponse(peer);
              aReply(std::nullopt, StoreError::HistoryGone);
              return;
            }
            auto batch = aGot.status == kOk
                           ? DecodeMirrorBatch(aGot.body, ReducerOf(aKind))
                           : std::nullopt;
            HandleMirrorResponse(
              peer, aKind, aGot.status, std::move(batch), aReply);
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
  uint64_t Era() const override { return direct_.Era(); }

private:
  /// A peer that is avoided, and the kind if it is for that kind alone. An
  /// unreachable peer is avoided until it has responded again.
  using AvoidedMirror = std::pair<std::string, std::string>;

  struct Fallback
  {
    TimePoint sentAt{};
    ReplyCallback<ChangeBatch> reply;
  };

  std::function<void(Object&)> ReducerOf(const std::string& aKind) const
  {
    if (!options_.reduceObject) {
      return {};
    }
    return
      [this, aKind](Object& aObject) { options_.reduceObject(aKind, aObject); };
  }

  std::optional<MirrorPeer> ChoosePeer(const std::string& aKind)
  {
    std::vector<MirrorPeer> peers = observer_.peers();
    hasMirrors_ = !peers.empty();
    for (MirrorPeer& peer : peers) {
      if (!unreachable_.contains(peer.name) && !IsAvoided({ peer.name, "" }) &&
          !IsAvoided({ peer.name, aKind })) {
        return std::move(peer);
      }
    }
    return std::nullopt;
  }

  bool IsAvoided(const AvoidedMirror& aMirror) const
  {
    const auto avoided = avoidUntil_.find(aMirror);
    return avoided != avoidUntil_.end() && timers_.Now() < avoided->second;
  }

  /// While the store fails, only the probe kind's calls reach it.
  bool DirectCallSuspended(const std::string& aKind) const
  {
    if (!probeFailed_) {
      return false;
    }
    return aKind != options_.probeKind ||
           (hasMirrors_ && timers_.Now() < nextProbeAt_);
  }

  template<class Result>
  void Refuse(const ReplyCallback<Result>& aReply)
  {
    timers_.After(Duration::zero(),
                  [aReply] { aReply(std::nullopt, StoreError::Refused); });
  }

  /// Marks the batch if it stands in for one of a mirror.
  ReplyCallback<ChangeBatch> AsFallback(ReplyCallback<ChangeBatch> aReply)
  {
    if (!hasMirrors_) {
      return aReply;
    }
    const uint64_t id = ++lastFallback_;
    fallbacks_[id] = { timers_.Now(), std::move(aReply) };
    return [this, id](std::optional<ChangeBatch> aBatch, StoreError aError) {
      const auto fallback = fallbacks_.extract(id);
      if (fallback.empty()) {
        return; // ended before; its reader watches a mirror again
      }
      if (aBatch) {
        aBatch->isFallback = true;
      }
      fallback.mapped().reply(std::move(aBatch), aError);
    };
  }

  /// A mirror responds, so no watch of the store has to stand in any longer. A
  /// watch that the store has lost would hide changes that mirrors know.
  void EndFallbacks()
  {
    std::vector<uint64_t> due;
    for (const auto& [id, fallback] : fallbacks_) {
      if (timers_.Now() - fallback.sentAt >= options_.minFallbackTime) {
        due.push_back(id);
      }
    }
    for (const uint64_t id : due) {
      fallbacks_.extract(id).mapped().reply(std::nullopt,
                                            StoreError::MirrorFailed);
    }
  }

  Duration MaxAgeOf(const std::string& aKind) const
  {
    return aKind == options_.probeKind ? options_.maxCopyAge
                                       : options_.maxHeldCopyAge;
  }

  /// Wraps a callback to record the outcome of the probe kind's direct calls.
  template<class Result>
  ReplyCallback<Result> RecordingProbe(const std::string& aKind,
                                       ReplyCallback<Result> aReply)
  {
    if (aKind != options_.probeKind) {
      return aReply;
    }
    return [this, aReply](std::optional<Result> aResult, StoreError aError) {
      RecordProbe(aError == StoreError::Refused ||
                  aError == StoreError::NoResponse);
      aReply(std::move(aResult), aError);
    };
  }

  void RecordProbe(bool aFailed)
  {
    probeFailed_ = aFailed;
    if (!aFailed) {
      probeBackoff_ = options_.initialProbeBackoff;
      return;
    }
    nextProbeAt_ = timers_.Now() + probeBackoff_;
    probeBackoff_ = std::min(options_.maxProbeBackoff, probeBackoff_ * 2);
  }

  template<class Result>
  void HandleMirrorResponse(const std::string& aPeer,
                            const std::string& aKind,
                            int aStatus,
                            std::optional<Result> aResult,
                            const ReplyCallback<Result>& aReply)
  {
    if (aStatus != 0) {
      RecordResponse(aPeer);
    }
    if (aResult && aResult->age <= MaxAgeOf(aKind)) {
      aReply(std::move(aResult), StoreError::None);
      EndFallbacks();
      return;
    }
    if (aStatus == kOk && aKind != options_.probeKind) {
      AvoidMirror({ aPeer, aKind }); // its other mirrors may do
    } else if (aStatus == kOk ||
               timers_.Now() - startedAt_ >= options_.startupGrace) {
      AvoidPeer(aPeer, aStatus == 0);
    }
    aReply(std::nullopt, StoreError::MirrorFailed);
  }

  void AvoidMirror(const AvoidedMirror& aMirror)
  {
    avoidUntil_[aMirror] = timers_.Now() + options_.refusedBackoff;
  }

  void AvoidPeer(const std::string& aPeer, bool aUnreachable)
  {
    if (unreachable_.contains(aPeer) || IsAvoided({ aPeer, "" })) {
      return;
    }
    if (aUnreachable) {
      unreachable_[aPeer] = timers_.Now();
      ProbePeerLater(aPeer);
    } else {
      AvoidMirror({ aPeer, "" });
    }
    ReportAvoided(aPeer, aUnreachable);
    // Other queries to that peer fail now, and retry at another source.
    std::vector<relay::FetchId> waiting;
    for (const auto& [id, peer] : openQueries_) {
      if (peer == aPeer) {
        waiting.push_back(id);
      }
    }
    for (const relay::FetchId id : waiting) {
      fetcher_.Abandon(id);
    }
  }

  void RecordResponse(const std::string& aPeer)
  {
    unreachableCounts_[aPeer] = 0;
    lastResponseAt_ = timers_.Now();
    respondedAt_[aPeer] = lastResponseAt_;
  }

  void ReportAvoided(const std::string& aPeer, bool aUnreachable)
  {
    // If no mirror responds, this instance is the one that is cut off.
    const bool cutOff = timers_.Now() - lastResponseAt_ > options_.cutOffTime;
    unreachableCounts_[aPeer] += aUnreachable && !cutOff ? 1 : 0;
    observer_.onPeerAvoided(aPeer, unreachableCounts_[aPeer]);
  }

  void ProbePeerLater(const std::string& aPeer)
  {
    timers_.After(options_.probePause, [this, aPeer] { ProbePeer(aPeer); });
  }

  /// Asks an unreachable peer for a response that is due at once. A frozen
  /// process accepts connections, so that only a response shows that it can be
  /// read again; meanwhile no watch waits for it.
  void ProbePeer(const std::string& aName)
  {
    const std::vector<MirrorPeer> peers = observer_.peers();
    const auto peer = std::ranges::find(peers, aName, &MirrorPeer::name);
    if (peer == peers.end()) {
      unreachable_.erase(aName); // no mirror of this instance any more
      return;
    }
    Query(*peer,
          { options_.probeKind, probeVersion_, Duration::zero() },
          options_.probeTimeout,
          [this, aName](const relay::FetchedResponse& aGot) {
            if (aGot.status != 0) {
              unreachable_.erase(aName);
              RecordResponse(aName);
              return;
            }
            TimePoint& countedAt = unreachable_[aName];
            if (timers_.Now() - countedAt >= options_.unreachableInterval) {
              countedAt = timers_.Now();
              ReportAvoided(aName, true);
            }
            ProbePeerLater(aName);
          });
  }

  void Query(const MirrorPeer& aPeer,
             const MirrorQuery& aQuery,
             Duration aTimeout,
             const relay::FetchCallback& aCallback)
  {
    relay::OutboundCall call;
    call.to = aPeer.endpoint;
    call.connectTimeout = kConnectTimeout;
    call.message = "GET " + FormatMirrorTarget(aQuery) +
                   " HTTP/1.1\r\nHost: " + aPeer.endpoint.address +
                   "\r\nConnection: close\r\n\r\n";
    const auto id = std::make_shared<relay::FetchId>(0);
    *id = fetcher_.Start(
      std::move(call),
      aTimeout,
      [this, id, aCallback](const relay::FetchedResponse& aResponse) {
        openQueries_.erase(*id);
        aCallback(aResponse);
      });
    openQueries_.emplace(*id, aPeer.name);
  }

  ObjectStore& direct_;
  relay::Timers& timers_;
  MirroredStoreOptions options_;
  MirroredStoreObserver observer_;
  std::map<AvoidedMirror, TimePoint> avoidUntil_;
  /// Peers that are probed, and when they were counted as unreachable last.
  std::map<std::string, TimePoint> unreachable_;
  std::map<std::string, uint32_t> unreachableCounts_;
  StoreVersion probeVersion_; ///< Known of the probe kind.
  relay::Fetcher fetcher_;
  std::map<relay::FetchId, std::string> openQueries_; ///< Peer of each query.
  std::map<uint64_t, Fallback> fallbacks_;            ///< Open watches.
  uint64_t lastFallback_ = 0;
  TimePoint startedAt_;
  std::map<std::string, TimePoint> respondedAt_; ///< By peer.
  TimePoint lastResponseAt_{};                   ///< Of any mirror.
  bool hasMirrors_ = false;
  bool probeFailed_ = false;
  TimePoint nextProbeAt_{};
  Duration probeBackoff_ = options_.initialProbeBackoff;
};

} // namespace

std::unique_ptr<ObjectStore>
MakeMirroredStore(ObjectStore& aDirect,
                  relay::OutboundClient& aClient,
                  relay::Timers& aTimers,
                  MirroredStoreOptions aOptions,
                  MirroredStoreObserver aObserver)
{
  return std::make_unique<MirroredStore>(
    aDirect, aClient, aTimers, std::move(aOptions), std::move(aObserver));
}

} // namespace hibiscusnotch::store
