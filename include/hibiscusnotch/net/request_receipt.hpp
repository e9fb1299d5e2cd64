/// @file
/// @brief Whether a peer has taken a request that it answers.
#pragma once

#include <cstddef>
#include <optional>

namespace hibiscusnotch::net {

/// @brief True if a peer may answer a request of that many bytes before it has
/// read all of it; shorter ones arrive with their head.
bool
MayBeAnsweredUnread(std::size_t aRequestBytes);

/// @brief The written bytes that the peer's kernel has not acknowledged;
/// nothing if the connection was reset, has timed out or is closed.
/// @param aSocket Descriptor of a TCP socket. Its pending error is taken.
std::optional<std::size_t>
UnacknowledgedBytes(int aSocket);

} // namespace hibiscusnotch::net
