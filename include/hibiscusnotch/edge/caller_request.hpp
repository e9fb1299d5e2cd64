/// @file
/// @brief Turns a caller's HTTP request into one for the core.
#pragma once

#include "hibiscusnotch/core/event.hpp"
#include "hibiscusnotch/core/settings.hpp"
#include "hibiscusnotch/net/http_types.hpp"

#include <optional>
#include <string>

namespace hibiscusnotch::edge {

/// @brief Why a request is refused before the core sees it.
struct RequestError
{
  int status = 400;
  core::Reason reason = core::Reason::MalformedRequest;
  std::string detail;
};

/// @brief A request that the core may decide on.
struct CallerRequest
{
  core::RequestArrived arrived;
  bool streaming = false;
  std::string target; ///< For the upstream.
  std::string body;   ///< For the upstream, as the caller sent it.
};

/// @brief Checks and reads a request; otherwise the fault says what is wrong.
std::optional<CallerRequest>
ReadCallerRequest(const core::Settings& aSettings,
                  const net::HttpRequest& aRequest,
                  RequestError& aFault);

/// @brief The JSON body of every refusal.
std::string
RefusalBody(const core::Refusal& aRefusal, const std::string& aDetail);

/// @brief The HTTP status that goes with a refusal.
int
HttpStatusOf(const core::Refusal& aRefusal);

} // namespace hibiscusnotch::edge
