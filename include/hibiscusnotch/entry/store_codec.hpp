/// @file
/// @brief Converts the store's objects from and to the module's types.
#pragma once

#include "hibiscusnotch/routing/configuration.hpp"
#include "hibiscusnotch/routing/rollout.hpp"
#include "hibiscusnotch/routing/upstream_table.hpp"
#include "hibiscusnotch/store/object_store.hpp"

#include <array>
#include <optional>
#include <string>
#include <string_view>

namespace hibiscusnotch::entry {

/// @brief The store's kind for each type of object.
struct StoreKinds
{
  std::string configuration;
  std::string upstreams;
  std::string rollouts;
  std::string evacuations; ///< One object per evacuated zone.
  std::string instances;   ///< One object per entry instance.
};

/// @brief The fields of an instance's own object in the store.
inline constexpr std::array<std::string_view, 4> kInstanceFields{ "ip",
                                                                  "port",
                                                                  "zone",
                                                                  "capacity" };

/// @brief All readers return nothing and set the reason for a malformed object.
class StoreCodec
{
public:
  virtual ~StoreCodec() = default;

  virtual const StoreKinds& Kinds() const = 0;
  /// @brief As store::ObjectReducer: a large object keeps only what its reader
  /// uses, and nothing but the reason if that is large too.
  virtual void ReduceObject(const std::string& aKind,
                            store::Object& aObject) const = 0;
  virtual std::optional<routing::Configuration> ReadConfiguration(
    const store::Object& aObject,
    std::string& aLastReason) const = 0;
  virtual std::optional<routing::UpstreamEntry> ReadUpstream(
    const store::Object& aObject,
    std::string& aLastReason) const = 0;
  virtual std::optional<routing::RolloutOrder> ReadRollout(
    const store::Object& aObject,
    std::string& aLastReason) const = 0;
  virtual nlohmann::json WriteRolloutStatus(
    const routing::RolloutOrder& aOrder,
    routing::RolloutState aState) const = 0;
};

} // namespace hibiscusnotch::entry
