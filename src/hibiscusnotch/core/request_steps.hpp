/// @file
/// @brief Operations on requests that several systems share.
#pragma once

#include "router_state.hpp"

namespace hibiscusnotch::core {

inline constexpr Duration kRetryAfterShort{ 1'000'000 };
inline constexpr Duration kRetryAfterUnknown{ 5'000'000 };

/// @brief The class of a request.
const RequestClass&
ClassOf(const RouterState& aState, const RequestState& aRequest);

/// @brief The version of the current step of the plan.
VersionId
CurrentVersion(const RequestState& aRequest);

/// @brief Removes an answered or refused request from all tables.
void
EraseRequest(RouterState& aState, RequestHandle aHandle);

/// @brief Ends the running attempt, if any, and releases its upstream's slot.
void
EndAttempt(RouterState& aState, RequestState& aRequest);

/// @brief Adds the bill and holds the final action back until the bill is
/// replicated or committed.
void
StartBilling(RouterState& aState, RequestState& aRequest, uint64_t aMicroUnits);

/// @brief Ends a request without a further attempt: with an earlier step's
/// answer if there is one, else with a refusal.
void
GiveUp(RouterState& aState,
       RequestHandle aHandle,
       Reason aReason,
       Duration aRetryAfter);

/// @brief Queues a request, or refuses it at once when the queue is full or the
/// estimated wait exceeds its deadline.
/// @param aFront True for a retry, which has already waited in the queue.
void
Enqueue(RouterState& aState, RequestHandle aHandle, bool aFront);

/// @brief Asks the next instance in the fallback order for the session's pin.
void
RequestPin(RouterState& aState, RequestState& aRequest);

} // namespace hibiscusnotch::core
