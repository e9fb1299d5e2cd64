/// @file
/// @brief What a request may have in common with others that crash upstreams.
#pragma once

#include "hibiscusnotch/entry/header_codec.hpp"
#include "hibiscusnotch/routing/crash_evidence.hpp"

#include <span>
#include <string>
#include <vector>

namespace hibiscusnotch::entry {

/// @brief The shared parts of the request's prompt, then the whole request. The
/// last part of a prompt belongs to the request alone.
std::vector<routing::RequestTrait>
TraitsOf(const net::HttpRequest& aRequest, const RequestMetadata& aMetadata);

/// @brief The hashes of the prompt's parts, for the log.
std::string
FormatPromptParts(std::span<const routing::RequestTrait> aTraits);

} // namespace hibiscusnotch::entry
