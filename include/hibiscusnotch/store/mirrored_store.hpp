/// @file
/// @brief Store access that reads from peers' mirrors where possible.
#pragma once

#include "hibiscusnotch/core/settings.hpp"
#include "hibiscusnotch/relay/outbound_client.hpp"
#include "hibiscusnotch/store/object_store.hpp"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace hibiscusnotch::store {

/// @brief A peer that serves mirrors.
struct MirrorPeer
{
  std::string name;
  core::Endpoint endpoint;
};

struct MirroredStoreOptions
{
  /// @brief The kind whose calls probe whether a failing store has recovered.
  std::string probeKind;
  /// @brief Older data of the probe kind from a mirror is not used.
  Duration maxCopyAge{ 1'700'000 };
  /// @brief The same for the other kinds. A mirror's source confirms them as
  /// often as the store ends their watches.
  Duration maxHeldCopyAge{ 10'000'000 };
  /// @brief Added to the time that a mirror may hold a watch of these kinds, so
  /// that the mirror's own confirmation ends it rather than the timeout.
  Duration heldWatchSlack{ 1'000'000 };
  /// @brief A watch of the store that has stood in for a mirror for this time
  /// ends when a mirror responds again.
  Duration minFallbackTime{ 2'000'000 };
  /// @brief A mirror that did not respond is probed until it responds again;
  /// this is the pause between two probes, and how long each may take. A
  /// process that was frozen responds as soon as it goes on.
  Duration probePause{ 300'000 };
  Duration probeTimeout{ 2'000'000 };
  /// @brief A mirror counts as unreachable once more at most this often.
  Duration unreachableInterval{ 2'900'000 };
  /// @brief An instance without a response of any mirror for this time does not
  /// count them as unreachable.
  Duration cutOffTime{ 3'000'000 };
  /// @brief Backoff of a mirror that refused because it is disconnected. It is
  /// shorter, because asking such a mirror costs no call to the store.
  Duration refusedBackoff{ 300'000 };
  /// @brief After a start, mirrors that do not serve yet are retried for this
  /// time. Instances that start together do so within 0.3 s.
  Duration startupGrace{ 900'000 };
  /// @brief How long a mirror may take beyond the requested wait. A mirror on a
  /// busy machine is late; leaving it moves its load to the next one.
  Duration responseMargin{ 900'000 };
  /// @brief A mirror that has not responded for this time is asked for a
  /// response that is due at once, before a watch waits there. Longer than a
  /// watch of the probe kind takes.
  Duration maxSilence{ 2'000'000 };
  Duration firstResponseTimeout{ 250'000 };
  Duration listTimeout{ 1'500'000 };
  /// @brief Backoff between the probes of a failing store by an instance that
  /// can read mirrors; it doubles up to the maximum. The first mirror has no
  /// other mirror to read, probes without it and notices the recovery first.
  Duration initialProbeBackoff{ 800'000 };
  Duration maxProbeBackoff{ 3'200'000 };
  /// @brief Applied to the objects that mirrors send; may be empty.
  ObjectReducer reduceObject;
};

struct MirroredStoreObserver
{
  /// @brief The mirrors to ask, in order; empty to read from the store.
  std::function<std::vector<MirrorPeer>()> peers;
  /// @brief A peer is in backoff.
  /// @param aUnreachable Number of consecutive queries without a response
  /// while other mirrors responded.
  std::function<void(const std::string& aPeer, uint32_t aUnreachable)>
    onPeerAvoided;
};

/// @brief Wraps a direct store client, which writes and fallback reads use.
std::unique_ptr<ObjectStore>
MakeMirroredStore(ObjectStore& aDirect,
                  relay::OutboundClient& aClient,
                  relay::Timers& aTimers,
                  MirroredStoreOptions aOptions,
                  MirroredStoreObserver aObserver);

} // namespace hibiscusnotch::store
