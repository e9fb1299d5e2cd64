/// @file
/// @brief Rules of HTTP/1.1 messages that Beast's parsers do not check.
#pragma once

#include "hibiscusnotch/net/http_types.hpp"

#include <string_view>

namespace hibiscusnotch::net {

/// @brief True if a response may have the status code, which is from 100 to 599
/// (RFC 9110, section 15).
bool
IsValidStatus(int aStatus);

/// @brief True if every line ends in CR LF, no line is folded (RFC 9112,
/// section 5.2) and there is no NUL.
/// @param aLines Whole lines of a head.
bool
HasStrictLines(std::string_view aLines);

/// @brief True if the head names no transfer coding but chunks, the only one
/// that a recipient takes without asking for it (RFC 9112, section 7.4).
bool
HasKnownCoding(const Headers& aHeaders);

} // namespace hibiscusnotch::net
