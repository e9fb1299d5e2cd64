/// @file
/// @brief Converts the store's objects from and to the module's types.
#pragma once

#include "hibiscusnotch/routing/configuration.hpp"
#include "hibiscusnotch/routing/rollout.hpp"
#include "hibiscusnotch/routing/upstream_table.hpp"
#include "hibiscusnotch/store/object_store.hpp"

#include <optional>
#include <string>

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

/// @brief All readers return nothing and set the reason for a malformed object.
class StoreCodec
{
public:
  virtual ~StoreCodec() = default;

  virtual const StoreKinds& Kinds() const = 0;
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
