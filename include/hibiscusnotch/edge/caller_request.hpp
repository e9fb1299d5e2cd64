/// @file
/// @brief Parses and validates a caller's HTTP request for the router core.
#pragma once

#include "hibiscusnotch/core/event.hpp"
#include "hibiscusnotch/core/settings.hpp"
#include "hibiscusnotch/net/http_types.hpp"

#include <optional>
#include <string>

namespace hibiscusnotch::edge {

/// @brief Why a request is refused before it reaches the router core.
struct RequestError
{
  int status = 400;
  core::Reason reason = core::Reason::MalformedRequest;
  std::string detail;
};

/// @brief A validated request, ready for the router core.
struct CallerRequest
{
  core::RequestArrived arrived;
  bool streaming = false;
  std::string target; ///< Forwarded to the upstream.
  std::string body;   ///< Forwarded to the upstream unchanged.
};

/// @brief Parses and validates a request; fills aError when it is invalid.
std::optional<CallerRequest>
ReadCallerRequest(const core::Settings& aSettings,
                  const net::HttpRequest& aRequest,
                  RequestError& aError);

/// @brief The JSON body of an error response.
std::string
RefusalBody(const core::Refusal& aRefusal, const std::string& aDetail);

/// @brief The HTTP status of a refusal, by its reason.
int
HttpStatusOf(const core::Refusal& aRefusal);

} // namespace hibiscusnotch::edge
