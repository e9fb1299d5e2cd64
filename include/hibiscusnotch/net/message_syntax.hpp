/// @file
/// @brief Rules of HTTP/1.1 messages that Beast's parsers do not check.
#pragma once

namespace hibiscusnotch::net {

/// @brief True if a response may have the status code, which is from 100 to 599
/// (RFC 9110, section 15).
bool
IsValidStatus(int aStatus);

} // namespace hibiscusnotch::net
