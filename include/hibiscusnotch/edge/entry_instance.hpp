/// @file
/// @brief One entry instance: the router core with its sockets and timers.
#pragma once

#include "hibiscusnotch/core/router.hpp"
#include "hibiscusnotch/core/settings.hpp"

#include <functional>
#include <memory>

namespace boost::asio {
class io_context;
}

namespace hibiscusnotch::edge {

struct EntryOptions
{
  core::RouterOptions router;
  std::function<void()> onExit; ///< Called when a drain has completed.
};

class EntryInstance
{
public:
  virtual ~EntryInstance() = default;

  /// @brief Rejects new requests, completes the open ones, calls onExit.
  virtual void Drain() = 0;
  /// @brief Simulates a crash: resets every connection at once.
  virtual void Kill() = 0;
  virtual const core::Router& Core() const = 0;
  /// @brief The number of requests without a complete response.
  virtual std::size_t OpenRequests() const = 0;
};

/// @brief Starts listening; throws when an endpoint cannot be bound.
/// @param aSettings Must outlive the instance.
std::unique_ptr<EntryInstance>
MakeEntryInstance(boost::asio::io_context& aContext,
                  const core::Settings& aSettings,
                  EntryOptions aOptions);

/// @brief An incarnation number from the clock; restarts get a higher one.
uint64_t
NewIncarnation();

} // namespace hibiscusnotch::edge
