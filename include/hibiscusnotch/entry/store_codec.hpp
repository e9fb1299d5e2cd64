/// @file
/// @brief Reads the store's objects into typed rows, and writes them back.
#pragma once

#include "hibiscusnotch/routing/configuration.hpp"
#include "hibiscusnotch/routing/rollout.hpp"
#include "hibiscusnotch/routing/upstream_table.hpp"
#include "hibiscusnotch/store/object_store.hpp"

#include <optional>
#include <string>

namespace hibiscusnotch::entry {

/// @brief Where each sort of object is kept.
struct StoreKinds
{
  std::string configuration;
  std::string upstreams;
  std::string rollouts;
  std::string evacuations; ///< One object for each zone that is out.
  std::string instances;   ///< One object for each of this system's own.
};

/// @brief Every reader gives nothing, and the reason, for what it cannot read.
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
