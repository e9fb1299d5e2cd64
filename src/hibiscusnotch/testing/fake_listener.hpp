/// @file
/// @brief A listener that records responses.
#pragma once

#include "hibiscusnotch/relay/listener.hpp"

#include <functional>
#include <map>
#include <set>
#include <string>

namespace hibiscusnotch::testing {

/// @brief One response as the client would receive it.
struct RecordedResponse
{
  int status = 0;
  net::Headers headers;
  std::string body;
  bool finished = false;
  bool aborted = false;

  std::string_view Header(std::string_view aName) const
  {
    return net::FindHeader(headers, aName);
  }
};

class FakeListener : public relay::Listener
{
public:
  void Start(relay::ExchangeId aId,
             int aStatus,
             std::string_view /*aReason*/,
             const net::Headers& aHeaders,
             relay::Framing /*aFraming*/) override
  {
    answers[aId].status = aStatus;
    answers[aId].headers = aHeaders;
  }
  void Write(relay::ExchangeId aId, std::string_view aBytes) override
  {
    answers[aId].body.append(aBytes);
    if (stalled.contains(aId)) {
      pending[aId] += aBytes.size();
      if (onPending) {
        onPending(aId);
      }
    }
  }
  void Finish(relay::ExchangeId aId) override { answers[aId].finished = true; }
  void Abort(relay::ExchangeId aId) override { answers[aId].aborted = true; }
  std::size_t UnsentBytes(relay::ExchangeId aId) const override
  {
    const auto found = pending.find(aId);
    return found == pending.end() ? 0 : found->second;
  }
  void SetOptions(const relay::ListenerOptions& /*aOptions*/) override {}
  void Drain() override {}
  void SetCloseAfterResponse(bool /*aClosing*/) override {}
  void StopAccepting() override {}
  std::size_t OpenExchanges() const override { return 0; }
  std::size_t OpenConnections() const override { return 0; }
  uint16_t Port() const override { return 0; }

  std::map<relay::ExchangeId, RecordedResponse> answers;
  std::map<relay::ExchangeId, std::size_t> pending;
  std::set<relay::ExchangeId> stalled; ///< Their clients have stopped reading.
  /// @brief Called as bytes for a stalled client become pending.
  std::function<void(relay::ExchangeId)> onPending;
};

} // namespace hibiscusnotch::testing
