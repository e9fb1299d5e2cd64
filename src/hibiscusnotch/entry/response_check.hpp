/// @file
/// @brief What a response shows about its request.
#pragma once

#include "exchange.hpp"

namespace hibiscusnotch::entry {

/// @brief True for a success that is proven to be the upstream's response to
/// this request.
bool
IsValidSuccess(const Exchange& aExchange, const Attempt& aAttempt);

/// @brief True if the response names another request. An upstream may have
/// written an earlier response once more.
bool
IsForAnotherRequest(const Exchange& aExchange, const Attempt& aAttempt);

/// @brief True if an instance answered itself that the request has not run.
bool
IsRefusalOfPeer(const Attempt& aAttempt);

/// @brief True if the stream's end is that of its upstream: within an event, or
/// with its connection before any event.
bool
IsTruncated(const Exchange& aExchange, const Attempt& aAttempt);

} // namespace hibiscusnotch::entry
