/// @file
/// @brief An outbound client whose responses are given by the test.
#pragma once

#include "hibiscusnotch/relay/outbound_client.hpp"

#include <map>
#include <set>
#include <vector>

namespace hibiscusnotch::testing {

class FakeOutboundClient : public relay::OutboundClient
{
public:
  struct SentCall
  {
    relay::CallId id = 0;
    relay::OutboundCall call;
    relay::CallObserver observer;
  };

  relay::CallId Start(relay::OutboundCall aCall,
                      relay::CallObserver aObserver) override
  {
    const relay::CallId id = ++last_;
    sent.push_back({ id, std::move(aCall), std::move(aObserver) });
    open_.insert(id);
    return id;
  }

  void Cancel(relay::CallId aCall) override
  {
    if (open_.erase(aCall) > 0) {
      cancelled.insert(aCall);
    }
  }

  void SetLivenessCheck(relay::CallId aCall,
                        relay::LivenessCheck aCheck) override
  {
    livenessChecks[aCall] = std::move(aCheck);
  }

  void SetPaused(relay::CallId aCall, bool aPaused) override
  {
    paused[aCall] = aPaused;
  }

  void Probe(const core::Endpoint& aPeer,
             core::Duration /*aTimeout*/,
             std::function<void(relay::Reachability)> aReport) override
  {
    ++probes;
    if (probeResult) {
      aReport(probeResult(aPeer));
      return;
    }
    aReport(refusing.contains(aPeer.address) ? relay::Reachability::Refuses
                                             : relay::Reachability::Accepts);
  }

  std::size_t Open() const override { return open_.size(); }

  /// True if no process listens at the address of the call.
  bool IsRefused(std::size_t aIndex) const
  {
    return refusing.contains(sent.at(aIndex).call.to.address);
  }

  bool IsOpen(std::size_t aIndex) const
  {
    return open_.contains(sent.at(aIndex).id);
  }

  void Head(std::size_t aIndex, const relay::ResponseHead& aHead)
  {
    const auto report = sent.at(aIndex).observer.onHead;
    report(aHead);
  }

  void Body(std::size_t aIndex, std::string_view aBytes)
  {
    if (IsOpen(aIndex)) {
      const auto report = sent.at(aIndex).observer.onBody;
      report(aBytes);
    }
  }

  void End(std::size_t aIndex, relay::CallOutcome aEnd)
  {
    if (open_.erase(sent.at(aIndex).id) > 0) {
      const auto report = sent.at(aIndex).observer.onEnd;
      report(aEnd, "");
    }
  }

  std::vector<SentCall> sent;
  std::set<relay::CallId> cancelled;
  std::map<relay::CallId, bool> paused;
  std::map<relay::CallId, relay::LivenessCheck> livenessChecks;
  std::set<std::string> refusing; ///< Addresses without a process.
  /// @brief In place of `refusing`, if set.
  std::function<relay::Reachability(const core::Endpoint&)> probeResult;
  std::size_t probes = 0;

private:
  std::set<relay::CallId> open_;
  relay::CallId last_ = 0;
};

} // namespace hibiscusnotch::testing
