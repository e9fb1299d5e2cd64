/// @file
/// @brief Reads through peers' mirrors where there are some, else directly.
#pragma once

#include "hibiscusnotch/core/settings.hpp"
#include "hibiscusnotch/relay/outbound_client.hpp"
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

struct MirroredStoreOptions
{
  /// @brief The kind whose calls find out whether the store answers again.
  std::string probeKind;
  /// @brief A mirror's copy that is older than this is not used.
  Duration oldestCopy{ 1'700'000 };
  /// @brief A mirror that did not answer is not asked again for so long.
  Duration avoidFor{ 2'000'000 };
  /// @brief The same for one that says that it is out of touch: asking it again
  /// costs no call to the store.
  Duration declinedFor{ 300'000 };
  /// @brief Mirrors that do not answer yet are waited for after a start.
  /// Source: instances that start together do so within 0.3 s.
  Duration startPatience{ 900'000 };
  /// @brief An instance that has mirrors probes a failing store itself after
  /// this pause, which doubles up to the longest one. The first mirror, which
  /// has none, finds out sooner that the store is back.
  Duration probePause{ 800'000 };
  Duration longestProbePause{ 3'200'000 };
};

struct MirroredStoreObserver
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
MakeMirroredStore(ObjectStore& aDirect,
                  relay::OutboundClient& aCaller,
                  relay::Timers& aTimers,
                  MirroredStoreOptions aOptions,
                  MirroredStoreObserver aObserver);

} // namespace hibiscusnotch::store
