/// @file
/// @brief Routes claims and bills to their homes and to the platform.
#pragma once

#include "router_state.hpp"

namespace hibiscusnotch::core {

/// @brief Sends a claim request to the home of its bucket.
/// @param aAttempt Zero for the first; later attempts go to the next homes.
void
RequestClaim(RouterState& aState, ClaimRequest aRequest, int aAttempt);

/// @brief Tells the bucket's home that a claim is completed or released.
void
EndClaimAtHome(RouterState& aState, ClaimEnd aEnd);

/// @brief Sends this instance's due bills to a home and a backup.
void
SendDueBills(RouterState& aState);

/// @brief Stores a peer's bills, or this instance's own if there is no peer.
void
StoreBills(RouterState& aState, InstanceId aOrigin, const BillBatch& aBatch);

/// @brief Handles a receipt; has backups of committed bills dropped.
void
HandleBillReceipt(RouterState& aState,
                  InstanceId aFrom,
                  const BillReceipt& aReceipt);

/// @brief The number of other instances that must hold a bill before it counts
/// as safe.
std::size_t
RequiredBillHolders(const RouterState& aState);

/// @brief Starts the platform calls that are due, within the call budget.
void
StartJournalCalls(RouterState& aState);

/// @brief Handles a response; true when the call was a journal's.
bool
HandleJournalResponse(RouterState& aState, const PlatformResponse& aResponse);

/// @brief Sends claim replies to the instances that asked.
void
SendClaimReplies(RouterState& aState,
                 std::vector<AddressedClaimReply> aReplies);

} // namespace hibiscusnotch::core
