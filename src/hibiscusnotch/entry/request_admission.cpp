#include "request_admission.hpp"

#include <algorithm>

namespace hibiscusnotch::entry {

namespace {

using core::Reason;

constexpr int kUnauthorized = 401;
constexpr int kNotFound = 404;
constexpr int kUnavailable = 503;
// A store outage takes seconds; callers with little time retry sooner.
constexpr Duration kRetryAfterStale{ 2'000'000 };
// Sends beyond the route's attempts, as refused sends are not executions.
constexpr uint32_t kMaxExtraSends = 3;
constexpr int kRetryAfterDivisor = 4; // of the caller's remaining time

Refusal
RefuseStale(const Exchange& aExchange)
{
  return { kUnavailable,
           Reason::KeysTooOld,
           std::min(kRetryAfterStale,
                    aExchange.metadata.timeLeft.value_or(kRetryAfterStale) /
                      kRetryAfterDivisor) };
}

/// Denies a request only if the configuration is confirmed to be current.
Refusal
RefuseUnknown(const Exchange& aExchange,
              int aStatus,
              Reason aReason,
              bool aKeysAreFresh)
{
  return aKeysAreFresh ? Refusal{ aStatus, aReason, Duration::zero() }
                       : RefuseStale(aExchange);
}

std::optional<Refusal>
AdmitByKey(Exchange& aExchange,
           const routing::Configuration& aConfiguration,
           bool aKeysAreFresh)
{
  const routing::Organisation* organisation =
    aConfiguration.FindOrganisation(aExchange.metadata.apiKey);
  if (!aKeysAreFresh) {
    return RefuseStale(aExchange);
  }
  if (!organisation) {
    return RefuseUnknown(
      aExchange, kUnauthorized, Reason::UnknownKey, aKeysAreFresh);
  }
  aExchange.organisation = organisation->name;
  aExchange.priority = organisation->priority.value_or(aExchange.priority);
  return std::nullopt;
}

} // namespace

bool
KeysAreFresh(const RouterOptions& aOptions,
             const FleetState& aFleet,
             TimePoint aNow)
{
  return !aOptions.enforceKeyRevocation ||
         aNow - aFleet.configurationConfirmedAt < aOptions.maxKeyAge;
}

std::optional<Refusal>
AdmitExchange(Exchange& aExchange,
              const RouterOptions& aOptions,
              const FleetState& aFleet,
              TimePoint aNow)
{
  const routing::Configuration& configuration = *aFleet.configuration;
  const bool keysAreFresh = KeysAreFresh(aOptions, aFleet, aNow);
  const routing::Route* route =
    configuration.FindRoute(aExchange.metadata.host, aExchange.metadata.path);
  if (!route) {
    return RefuseUnknown(
      aExchange, kNotFound, Reason::UnknownRoute, keysAreFresh);
  }
  aExchange.route = *route;
  aExchange.priority = route->priority;
  if (!route->authExempt && !configuration.organisations.empty()) {
    if (auto refusal = AdmitByKey(aExchange, configuration, keysAreFresh)) {
      return refusal;
    }
  }
  aExchange.deadline =
    aExchange.arrivedAt +
    std::min(route->timeout,
             aExchange.metadata.timeLeft.value_or(route->timeout)) -
    kDeadlineMargin;
  if (aExchange.deadline - aNow < kMinRemainingTime) {
    return Refusal{ kUnavailable, Reason::DeadlinePassed, kRetryAfterBusy };
  }
  return std::nullopt;
}

bool
MayRetry(const Exchange& aExchange, TimePoint aNow)
{
  const routing::Route& route = aExchange.route;
  return (!aExchange.mayHaveExecuted || route.RetrySafe()) &&
         (!aExchange.responseStarted || aExchange.events.IsResumable()) &&
         aExchange.executions < route.maxAttempts &&
         aExchange.sends < route.maxAttempts + kMaxExtraSends &&
         aExchange.deadline - aNow >= kMinRemainingTime;
}

} // namespace hibiscusnotch::entry
