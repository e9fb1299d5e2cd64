/// @file
/// @brief The core's platform calls over HTTP.
#pragma once

#include "hibiscusnotch/core/action.hpp"
#include "hibiscusnotch/core/event.hpp"
#include "hibiscusnotch/core/settings.hpp"
#include "hibiscusnotch/net/http_client.hpp"

#include <functional>

namespace hibiscusnotch::platform {

/// @brief Sends one call; the answer comes exactly once.
///
/// Objects are under /objects/KEY. A version is an entity tag: creating sends
/// If-None-Match: *, updating sends If-Match, watching sends ?watch=VERSION.
void
SendCall(net::HttpClient& aClient,
         const core::Endpoint& aPlatform,
         const core::CallPlatform& aCall,
         std::function<void(core::PlatformResponse)> aDone);

} // namespace hibiscusnotch::platform
