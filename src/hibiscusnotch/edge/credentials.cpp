#include "hibiscusnotch/edge/credentials.hpp"

#include <array>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <span>

namespace hibiscusnotch::edge {

namespace {

constexpr std::string_view kBearer = "Bearer ";

std::string
ToHex(std::span<const unsigned char> aBytes)
{
  static constexpr std::string_view kDigits = "0123456789abcdef";
  std::string text;
  text.reserve(aBytes.size() * 2);
  for (const unsigned char byte : aBytes) {
    text += kDigits[byte >> 4];
    text += kDigits[byte & 0x0f];
  }
  return text;
}

std::string
Signature(const core::Settings& aSettings,
          core::OrganisationId aOrganisation,
          std::string_view aSession,
          std::string_view aVersion)
{
  // Length prefixes keep different field values from concatenating to the
  // same signed text.
  const std::string& organisation = aSettings.At(aOrganisation).name;
  std::string text = std::to_string(organisation.size()) + ":" + organisation +
                     std::to_string(aSession.size()) + ":";
  text += aSession;
  text += aVersion;
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  unsigned int size = 0;
  HMAC(EVP_sha256(),
       aSettings.tokenSecret.data(),
       static_cast<int>(aSettings.tokenSecret.size()),
       reinterpret_cast<const unsigned char*>(text.data()),
       text.size(),
       digest.data(),
       &size);
  return ToHex(std::span(digest).first(size));
}

} // namespace

std::string
Sha256Hex(std::string_view aText)
{
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  unsigned int size = 0;
  EVP_Digest(
    aText.data(), aText.size(), digest.data(), &size, EVP_sha256(), nullptr);
  return ToHex(std::span(digest).first(size));
}

bool
EqualInConstantTime(std::string_view aLeft, std::string_view aRight)
{
  return aLeft.size() == aRight.size() &&
         CRYPTO_memcmp(aLeft.data(), aRight.data(), aLeft.size()) == 0;
}

std::string_view
BearerKey(std::string_view aAuthorization)
{
  if (!aAuthorization.starts_with(kBearer)) {
    return {};
  }
  aAuthorization.remove_prefix(kBearer.size());
  return aAuthorization;
}

std::optional<core::OrganisationId>
OrganisationOf(const core::Settings& aSettings, std::string_view aKey)
{
  if (aKey.empty()) {
    return std::nullopt;
  }
  const std::string hash = Sha256Hex(aKey);
  std::optional<core::OrganisationId> found;
  for (uint32_t i = 0; i < aSettings.organisations.size(); ++i) {
    for (const std::string& known : aSettings.organisations[i].keyHashes) {
      if (EqualInConstantTime(known, hash)) {
        found = core::OrganisationId{ i };
      }
    }
  }
  return found;
}

std::string
SignSessionToken(const core::Settings& aSettings,
                 core::OrganisationId aOrganisation,
                 std::string_view aSession,
                 core::VersionId aVersion)
{
  const std::string& version = aSettings.At(aVersion).name;
  return version + "." + Signature(aSettings, aOrganisation, aSession, version);
}

std::optional<core::VersionId>
VerifySessionToken(const core::Settings& aSettings,
                   core::OrganisationId aOrganisation,
                   std::string_view aSession,
                   std::string_view aToken)
{
  const std::size_t dot = aToken.rfind('.');
  if (dot == std::string_view::npos) {
    return std::nullopt;
  }
  const std::string_view version = aToken.substr(0, dot);
  const std::string expected =
    Signature(aSettings, aOrganisation, aSession, version);
  if (!EqualInConstantTime(expected, aToken.substr(dot + 1))) {
    return std::nullopt;
  }
  return core::FindByName<core::VersionId>(
    std::span<const core::Version>(aSettings.versions), version);
}

} // namespace hibiscusnotch::edge
