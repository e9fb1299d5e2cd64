/// @file
/// @brief Parses http://ADDRESS:PORT.
#pragma once

#include "hibiscusnotch/core/settings.hpp"

#include <optional>
#include <string>

namespace hibiscusnotch::cli {

/// @brief The URL's endpoint, or nothing if the URL has another form.
std::optional<core::Endpoint>
ParseEndpointUrl(const std::string& aUrl);

} // namespace hibiscusnotch::cli
