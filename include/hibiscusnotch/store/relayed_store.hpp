/// @file
/// @brief Reads through peers' mirrors where there are some, else directly.
#pragma once

#include "hibiscusnotch/core/settings.hpp"
#include "hibiscusnotch/relay/caller.hpp"
#include "hibiscusnotch/store/object_store.hpp"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace hibiscusnotch::store {

/// @brief A peer whose mirrors may be read.
struct MirrorPeer
{
  std::string name;
  core::Endpoint endpoint;
};

struct RelayedStoreOptions
{
  /// @brief The kind whose calls find out whether the store answers again.
  std::string probeKind;
  /// @brief A mirror's copy that is older than this is not used.
  Duration oldestCopy{ 1'700'000 };
  /// @brief A mirror that failed is not asked again for so long.
  Duration avoidFor{ 2'000'000 };
};

struct RelayedStoreObserver
{
  /// @brief The peers to ask, in order; empty for the store itself.
  std::function<std::vector<MirrorPeer>()> peers;
  /// @brief A peer is not asked for a while.
  /// @param aUnreachable How often in a row it did not answer at all.
  std::function<void(const std::string& aPeer, uint32_t aUnreachable)>
    onPeerLost;
};

/// @brief An ObjectStore over the direct client.
std::unique_ptr<ObjectStore>
MakeRelayedStore(ObjectStore& aDirect,
                 relay::Caller& aCaller,
                 relay::Timers& aTimers,
                 RelayedStoreOptions aOptions,
                 RelayedStoreObserver aObserver);

} // namespace hibiscusnotch::store
