/// @file
/// @brief Encodes peer messages in CBOR, as arrays of fields without names.
#pragma once

#include "hibiscusnotch/core/peer_message.hpp"

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace hibiscusnotch::mesh {

/// @brief Encodes a message, without a length prefix.
std::vector<uint8_t>
EncodeMessage(const core::PeerMessage& aMessage);

/// @brief Decodes a message; returns nothing and sets the reason on failure.
std::optional<core::PeerMessage>
DecodeMessage(std::span<const uint8_t> aBytes, std::string& aReason);

} // namespace hibiscusnotch::mesh
