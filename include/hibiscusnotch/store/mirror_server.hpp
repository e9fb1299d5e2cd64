/// @file
/// @brief Answers peers from this instance's mirrors.
#pragma once

#include "hibiscusnotch/core/settings.hpp"
#include "hibiscusnotch/relay/clock.hpp"
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

  /// @brief The mirror of one kind; made when it is first named.
  virtual Mirror& MirrorOf(const std::string& aKind) = 0;
  /// @brief Answers the polls that wait for a change of the kind.
  virtual void Publish(const std::string& aKind) = 0;
  /// @brief All mirrors were in step with the store at that time.
  virtual void ConfirmUpTo(TimePoint aTime) = 0;
  /// @brief While this instance is out of touch it refuses its peers at once.
  virtual void SetConnected(bool aInTouch) = 0;
  /// @brief Entries that vanish from now on may come back.
  virtual void SetRecentOutage(bool aAfterOutage) = 0;
};

/// @brief Listens at once; throws when the endpoint cannot be had.
std::unique_ptr<MirrorServer>
MakeMirrorServer(boost::asio::io_context& aContext,
                 relay::Timers& aTimers,
                 core::Endpoint aEndpoint);

} // namespace hibiscusnotch::store
