/// @file
/// @brief The part of the configuration that operators change at run time.
#pragma once

#include "hibiscusnotch/core/settings.hpp"
#include "hibiscusnotch/core/verdict.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace hibiscusnotch::core {

/// @brief One accepted configuration; a higher revision replaces a lower one
/// entirely.
struct LiveConfiguration
{
  uint64_t revision = 0; ///< The platform's version of the object.
  /// Write ids, newest last; detects a write whose response was lost.
  std::vector<std::string> recentWrites;
  std::string changedBy;
  std::set<ZoneId> zonesOut;
  std::set<UpstreamId> upstreamsLeaving;
  std::set<VersionId> withdrawn;
  std::map<VersionId, double> exposure; ///< Overrides the initial exposure.

  /// @brief The share of new work that the version may get, 0 to 1.
  double Exposure(const Settings& aSettings, VersionId aVersion) const;
};

struct TakeZoneOut
{
  ZoneId zone;
};
struct BringZoneBack
{
  ZoneId zone;
};
struct WithdrawVersion
{
  VersionId version;
};
/// @brief Sets a version's exposure; it also lifts a withdrawal.
struct RollOutVersion
{
  VersionId version;
  double exposure = 0;
};
struct MarkUpstreamLeaving
{
  UpstreamId upstream;
};
struct MarkUpstreamServing
{
  UpstreamId upstream;
};

using ConfigurationChange = std::variant<TakeZoneOut,
                                         BringZoneBack,
                                         WithdrawVersion,
                                         RollOutVersion,
                                         MarkUpstreamLeaving,
                                         MarkUpstreamServing>;

/// @brief Returns the configuration with the change applied; the revision is
/// kept.
LiveConfiguration
Apply(LiveConfiguration aState, const ConfigurationChange& aChange);

/// @brief Encodes the platform object's body: JSON with names in place of ids.
std::string
EncodeConfiguration(const Settings& aSettings, const LiveConfiguration& aState);

/// @brief Decodes a body; std::nullopt when it is unreadable, with the reason
/// in aLastReason.
std::optional<LiveConfiguration>
DecodeConfiguration(const Settings& aSettings,
                    std::string_view aBody,
                    uint64_t aRevision,
                    std::string& aLastReason);

/// @brief Decodes one operator's change, e.g. {"change":"zone_out","zone":"a"}.
std::optional<ConfigurationChange>
DecodeChange(const Settings& aSettings,
             std::string_view aBody,
             std::string& aLastReason);

} // namespace hibiscusnotch::core
