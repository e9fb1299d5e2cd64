/// @file
/// @brief One entry instance: the core with its sockets and timers.
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
  std::function<void()> onExit; ///< All work is done after a drain.
};

class EntryInstance
{
public:
  virtual ~EntryInstance() = default;

  /// @brief Takes no new request, ends the open ones, then calls onExit.
  virtual void Drain() = 0;
  /// @brief Ends at once: every connection is reset.
  virtual void Kill() = 0;
  virtual const core::Router& Core() const = 0;
  /// @brief Requests that callers still wait for.
  virtual std::size_t OpenRequests() const = 0;
};

/// @brief Listens at once; throws when an endpoint cannot be had.
/// @param aSettings Outlives the instance.
std::unique_ptr<EntryInstance>
MakeEntryInstance(boost::asio::io_context& aContext,
                  const core::Settings& aSettings,
                  EntryOptions aOptions);

/// @brief An incarnation that grows from one start of a process to the next.
uint64_t
NewIncarnation();

} // namespace hibiscusnotch::edge
