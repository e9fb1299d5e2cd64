/// @file
/// @brief Carries claims and bills to their homes and to the platform.
#pragma once

#include "router_state.hpp"

namespace hibiscusnotch::core {

/// @brief Asks the bucket's home for a claim.
/// @param aAttempt Zero for the first; later tries go to later homes.
void
RequestClaim(RouterState& aState, ClaimRequest aRequest, int aAttempt);

/// @brief Tells the bucket's home how a claim ended.
void
EndClaimAtHome(RouterState& aState, ClaimEnd aEnd);

/// @brief Sends the own bills that are due to a home in another instance.
void
SendDueBills(RouterState& aState);

/// @brief Holds a peer's bills, or this instance's own when it is alone.
void
StoreBills(RouterState& aState, InstanceId aOrigin, const BillBatch& aBatch);

/// @brief Takes in a holder's receipt; backups of committed bills are dropped.
void
HandleBillReceipt(RouterState& aState,
                  InstanceId aFrom,
                  const BillReceipt& aReceipt);

/// @brief How many other instances should hold a bill before it counts as safe.
std::size_t
RequiredBillHolders(const RouterState& aState);

/// @brief Starts the platform calls that are due, within the budget.
void
StartJournalCalls(RouterState& aState);

/// @brief Takes in an answer; true when it was a journal's.
bool
HandleJournalResponse(RouterState& aState, const PlatformResponse& aResponse);

/// @brief Sends claim replies to the instances that asked.
void
SendClaimReplies(RouterState& aState,
                 std::vector<AddressedClaimReply> aReplies);

} // namespace hibiscusnotch::core
