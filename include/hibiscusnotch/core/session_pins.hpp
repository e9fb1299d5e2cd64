/// @file
/// @brief Session affinity: the version that each session is pinned to.
#pragma once

#include "hibiscusnotch/core/ids.hpp"
#include "hibiscusnotch/core/time.hpp"

#include <cstdint>
#include <optional>
#include <unordered_map>

namespace hibiscusnotch::core {

/// @brief Pins by session hash.
class SessionPins
{
public:
  /// @brief The session's version, if it is known here.
  std::optional<VersionId> Find(uint64_t aSession) const
  {
    const auto found = pins_.find(aSession);
    return found == pins_.end() ? std::nullopt : std::optional(found->second);
  }

  /// @brief Pins the session unless it is pinned; returns the resulting pin.
  VersionId PinIfAbsent(uint64_t aSession, VersionId aVersion)
  {
    return pins_.try_emplace(aSession, aVersion).first->second;
  }

  /// @brief Replaces a pin whose version was withdrawn.
  void Replace(uint64_t aSession, VersionId aVersion)
  {
    pins_[aSession] = aVersion;
  }

  const std::unordered_map<uint64_t, VersionId>& All() const { return pins_; }

private:
  std::unordered_map<uint64_t, VersionId> pins_;
};

} // namespace hibiscusnotch::core
