/// @file
/// @brief Takes answers from upstreams to callers and to their bills.
#pragma once

#include "router_state.hpp"

#include <span>

namespace hibiscusnotch::core {

/// @brief Takes in a part of an upstream's answer.
void
HandleChunk(RouterState& aState, AttemptChunk aChunk);

/// @brief Counts a holder of bills; enough holders make a bill safe.
void
RecordBillHolder(RouterState& aState,
                 InstanceId aHolder,
                 std::span<const uint64_t> aSequences);

/// @brief Sends the last chunks whose bills are safe.
void
FinishBilledAnswers(RouterState& aState, std::span<const uint64_t> aSequences);

} // namespace hibiscusnotch::core
