/// @file
/// @brief The version that each session stays on.
#pragma once

#include "hibiscusnotch/core/ids.hpp"
#include "hibiscusnotch/core/time.hpp"

#include <cstdint>
#include <optional>
#include <unordered_map>

namespace hibiscusnotch::core {

/// @brief Pins by the session's hash.
class SessionPins
{
public:
  /// @brief The session's version, if it is known here.
  std::optional<VersionId> Find(uint64_t aSession) const
  {
    const auto found = pins_.find(aSession);
    return found == pins_.end() ? std::nullopt : std::optional(found->second);
  }

  /// @brief Keeps the first pin of a session; gives the one that holds.
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
