/// @file
/// @brief Serves this instance's mirrors to its peers.
#pragma once

#include "hibiscusnotch/core/settings.hpp"
#include "hibiscusnotch/relay/clock.hpp"
#include "hibiscusnotch/relay/descriptor_reserve.hpp"
#include "hibiscusnotch/relay/unsent_budget.hpp"
#include "hibiscusnotch/store/mirror.hpp"

#include <memory>
#include <string>

namespace boost::asio {
class io_context;
}

namespace hibiscusnotch::store {

class MirrorServer
{
public:
  virtual ~MirrorServer() = default;

  /// @brief The mirror of one kind; created on first use.
  virtual Mirror& MirrorOf(const std::string& aKind) = 0;
  /// @brief Completes the long polls that wait for a change of the kind.
  virtual void Publish(const std::string& aKind) = 0;
  /// @brief The mirror of the kind is known to match the store as of the time.
  /// Completes the long polls for the kind, so that the age of copies does not
  /// add up along a chain of mirrors.
  virtual void ConfirmUpTo(const std::string& aKind, TimePoint aTime) = 0;
  /// @brief While disconnected from the store, peers' requests are refused at
  /// once.
  virtual void SetConnected(bool aConnected) = 0;
  /// @brief Tells peers until when entries that expired during an outage may
  /// return.
  virtual void SetRestoreEnd(TimePoint aTime) = 0;
};

/// @brief Starts to listen; throws if the endpoint cannot be bound.
/// @param aBudget Bounds what peers have not read, if given; must outlive the
/// server.
std::unique_ptr<MirrorServer>
MakeMirrorServer(boost::asio::io_context& aContext,
                 relay::Timers& aTimers,
                 core::Endpoint aEndpoint,
                 relay::UnsentBudget* aBudget = nullptr,
                 relay::DescriptorReserve* aReserve = nullptr);

} // namespace hibiscusnotch::store
