/// @file
/// @brief Writes responses to callers, counts and logs them.
#pragma once

#include "exchange.hpp"
#include "hibiscusnotch/entry/event_log.hpp"
#include "hibiscusnotch/entry/fleet_state.hpp"
#include "request_admission.hpp"

#include <map>
#include <string>

namespace hibiscusnotch::entry {

class ResponseWriter
{
public:
  /// @brief A whole response that this instance gives itself.
  struct LocalReply
  {
    ExchangeKey key;
    int status = 0;
    net::Headers headers;
    std::string body;
  };

  explicit ResponseWriter(const RouterDependencies& aDependencies);

  void SetListener(RequestOrigin aOrigin, relay::Listener& aListener);
  relay::Listener& ListenerOf(const ExchangeKey& aKey) const;

  /// @brief Starts a streamed response with the head of the current attempt.
  void StartStream(const Exchange& aExchange);
  /// @brief Writes a whole response except for its end. The listener may report
  /// that the caller has left meanwhile, which removes the exchange.
  void WriteWhole(const Exchange& aExchange,
                  const relay::ResponseHead& aHead,
                  const std::string& aBody);
  /// @brief Counts and logs the response that is about to end.
  void RecordAnswer(const Exchange& aExchange);
  /// @brief Counts and logs a refusal and returns the response.
  LocalReply MakeRefusal(const Exchange& aExchange, Refusal aRefusal);
  void Write(const LocalReply& aReply);
  /// @brief Counts and logs that a started response cannot be completed.
  void RecordAbort(const Exchange& aExchange, core::Reason aReason);

private:
  static observe::MetricLabels LabelsOf(const Exchange& aExchange);

  relay::Timers& timers_;
  const HeaderCodec& headerCodec_;
  FleetState& fleet_;
  EventLog& log_;
  observe::Metrics& metrics_;
  std::map<RequestOrigin, relay::Listener*> listeners_;
};

} // namespace hibiscusnotch::entry
