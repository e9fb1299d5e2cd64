/// @file
/// @brief Delivers upstreams' answers to callers, with their bills.
#pragma once

#include "router_state.hpp"

#include <span>

namespace hibiscusnotch::core {

/// @brief Handles a chunk of an upstream's answer.
void
HandleChunk(RouterState& aState, AttemptChunk aChunk);

/// @brief Records that an instance holds bills; finishes the answers whose
/// bills have enough holders.
void
RecordBillHolder(RouterState& aState,
                 InstanceId aHolder,
                 std::span<const uint64_t> aSequences);

/// @brief Finishes the answers that wait for these bills.
void
FinishBilledAnswers(RouterState& aState, std::span<const uint64_t> aSequences);

} // namespace hibiscusnotch::core
