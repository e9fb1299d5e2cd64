/// @file
/// @brief Authentication with bearer keys, and signed session tokens.
#pragma once

#include "hibiscusnotch/core/settings.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace hibiscusnotch::edge {

/// @brief The SHA-256 digest of a text in lower-case hex.
std::string
Sha256Hex(std::string_view aText);

/// @brief Constant-time comparison; prevents timing attacks on secrets.
bool
EqualInConstantTime(std::string_view aLeft, std::string_view aRight);

/// @brief The key of an "Authorization: Bearer KEY" header; empty if none.
std::string_view
BearerKey(std::string_view aAuthorization);

/// @brief The organisation that owns a bearer key, if any.
std::optional<core::OrganisationId>
OrganisationOf(const core::Settings& aSettings, std::string_view aKey);

/// @brief A token "VERSION.SIGNATURE" that pins the session to the version.
std::string
SignSessionToken(const core::Settings& aSettings,
                 core::OrganisationId aOrganisation,
                 std::string_view aSession,
                 core::VersionId aVersion);

/// @brief The pinned version, if the token is signed for this session.
std::optional<core::VersionId>
VerifySessionToken(const core::Settings& aSettings,
                   core::OrganisationId aOrganisation,
                   std::string_view aSession,
                   std::string_view aToken);

} // namespace hibiscusnotch::edge
