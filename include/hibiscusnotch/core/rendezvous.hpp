/// @file
/// @brief Rendezvous (highest random weight) hashing of keys to instances.
#pragma once

#include "hibiscusnotch/core/ids.hpp"

#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

namespace hibiscusnotch::core {

/// @brief A 64-bit hash that is the same on all instances.
uint64_t
StableHash(std::string_view aText);

/// @brief Combines two hashes into one.
uint64_t
MixHash(uint64_t aLeft, uint64_t aRight);

/// @brief The instances in descending order of their weight for the key.
std::vector<InstanceId>
RankInstances(uint64_t aKey, std::span<const InstanceId> aInstances);

/// @brief The instance with the highest weight; invalid when the list is empty.
InstanceId
HomeOf(uint64_t aKey, std::span<const InstanceId> aInstances);

} // namespace hibiscusnotch::core
