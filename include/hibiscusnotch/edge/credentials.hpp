/// @file
/// @brief Bearer keys and signed session tokens.
#pragma once

#include "hibiscusnotch/core/settings.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace hibiscusnotch::edge {

/// @brief SHA-256 in lower-case hex.
std::string
Sha256Hex(std::string_view aText);

/// @brief Compares in a time that does not depend on the contents.
bool
EqualInConstantTime(std::string_view aLeft, std::string_view aRight);

/// @brief The key of an "Authorization: Bearer KEY" header; empty if none.
std::string_view
BearerKey(std::string_view aAuthorization);

/// @brief The organisation that a bearer key belongs to.
std::optional<core::OrganisationId>
OrganisationOf(const core::Settings& aSettings, std::string_view aKey);

/// @brief Signs that the session is pinned to the version.
std::string
SignSessionToken(const core::Settings& aSettings,
                 core::OrganisationId aOrganisation,
                 std::string_view aSession,
                 core::VersionId aVersion);

/// @brief The version of a token that is signed for that very session.
std::optional<core::VersionId>
VerifySessionToken(const core::Settings& aSettings,
                   core::OrganisationId aOrganisation,
                   std::string_view aSession,
                   std::string_view aToken);

} // namespace hibiscusnotch::edge
