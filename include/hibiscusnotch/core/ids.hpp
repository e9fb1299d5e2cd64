/// @file
/// @brief Typed indexes into the tables of the settings.
#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <limits>

namespace hibiscusnotch::core {

/// @brief An index into one table; ids of different tables are distinct types.
template<class Tag>
struct Id
{
  uint32_t value = std::numeric_limits<uint32_t>::max();

  /// @brief True when the id refers to an entry.
  bool Valid() const { return value != std::numeric_limits<uint32_t>::max(); }
  auto operator<=>(const Id&) const = default;
};

using OrganisationId = Id<struct OrganisationTag>;
using ClassId = Id<struct ClassTag>;
using ServiceId = Id<struct ServiceTag>;
using VersionId = Id<struct VersionTag>;
using UpstreamId = Id<struct UpstreamTag>;
using ZoneId = Id<struct ZoneTag>;
using InstanceId = Id<struct InstanceTag>;

/// @brief One caller's request at this instance.
using RequestHandle = uint64_t;
/// @brief One attempt at a request; unique over all instances and restarts.
using AttemptId = uint64_t;
/// @brief One call to the platform's object API.
using CallId = uint64_t;
/// @brief One request of an operator.
using AdminHandle = uint64_t;

} // namespace hibiscusnotch::core

template<class Tag>
struct std::hash<hibiscusnotch::core::Id<Tag>>
{
  std::size_t operator()(const hibiscusnotch::core::Id<Tag>& aId) const noexcept
  {
    return std::hash<uint32_t>{}(aId.value);
  }
};
