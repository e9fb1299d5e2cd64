/// @file
/// @brief HTTP client of the platform's object store, for the core's calls.
#pragma once

#include "hibiscusnotch/core/action.hpp"
#include "hibiscusnotch/core/event.hpp"
#include "hibiscusnotch/core/settings.hpp"
#include "hibiscusnotch/net/http_client.hpp"

#include <functional>

namespace hibiscusnotch::platform {

/// @brief Sends one call; calls back exactly once.
///
/// An object has the path /objects/KEY, and its version is its entity tag. A
/// create sends If-None-Match: *, an update sends If-Match, and a watch (a long
/// poll) sends ?watch=VERSION.
void
SendCall(net::HttpClient& aClient,
         const core::Endpoint& aPlatform,
         const core::CallPlatform& aCall,
         std::function<void(core::PlatformResponse)> aDone);

} // namespace hibiscusnotch::platform
