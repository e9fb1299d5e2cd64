/// @file
/// @brief Decides by the latest configuration whether a request may be served.
#pragma once

#include "exchange.hpp"
#include "hibiscusnotch/core/verdict.hpp"
#include "hibiscusnotch/entry/fleet_state.hpp"

#include <optional>

namespace hibiscusnotch::entry {

/// @brief A final response of this instance.
struct Refusal
{
  int status = 0;
  core::Reason reason = core::Reason::NoUpstream;
  Duration retryAfter{ 0 };
};

/// @brief Responses are sent this long before the caller's or the route's
/// timeout.
constexpr Duration kDeadlineMargin{ 40'000 };
/// @brief No upstream can answer in less time.
constexpr Duration kMinRemainingTime{ 30'000 };
/// @brief About one request's duration.
constexpr Duration kRetryAfterBusy{ 500'000 };

/// @brief True if the configuration is recent enough to accept API keys.
bool
KeysAreFresh(const RouterOptions& aOptions,
             const FleetState& aFleet,
             TimePoint aNow);

/// @brief Sets the request's route, organisation, priority and deadline.
/// Returns the refusal if it may not be served. There must be a configuration.
std::optional<Refusal>
AdmitExchange(Exchange& aExchange,
              const RouterOptions& aOptions,
              const FleetState& aFleet,
              TimePoint aNow);

/// @brief True if the request may be sent once more, by its executions, sends
/// and time left, and by the part of a response that its caller has.
bool
MayRetry(const Exchange& aExchange, TimePoint aNow);

} // namespace hibiscusnotch::entry
