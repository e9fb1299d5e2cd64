/// @file
/// @brief Estimates how long a typical request now waits for its response head.
#pragma once

#include "hibiscusnotch/core/ids.hpp"
#include "hibiscusnotch/core/time.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>

namespace hibiscusnotch::routing {

using core::Duration;
using core::TimePoint;

/// @brief Identifies a recorded send; zero is none.
using HeadWaitId = uint64_t;

/// @brief The most recent sends of an instance and what became of them.
///
/// The estimate is the median of the waits, in which a send without a head
/// counts for as long as it has waited so far (Kaplan and Meier, 1958). A few
/// sends that never get a head do not move it; a shortage, in which most do not
/// get one, shows as soon as they have waited.
class HeadWaits
{
public:
  /// @param aLostAt If no head has come by then, the send counts as lost, not
  /// as slow.
  HeadWaitId Add(core::UpstreamId aUpstream,
                 TimePoint aSentAt,
                 TimePoint aLostAt);
  /// @brief The response head came.
  void RecordHead(HeadWaitId aId, TimePoint aNow);
  /// @brief The attempt ended without a valid response head.
  void RecordEnd(HeadWaitId aId, TimePoint aNow);

  /// @brief The median wait; zero while too little is known.
  /// @param aIsIgnored True for upstreams that say nothing of the others, as
  /// they are suspected to be down.
  Duration Median(
    TimePoint aNow,
    const std::function<bool(core::UpstreamId)>& aIsIgnored) const;

private:
  enum class State
  {
    Awaited,
    HeadCame,
    Ended,
  };

  struct Send
  {
    core::UpstreamId upstream;
    TimePoint sentAt{};
    TimePoint lostAt{};
    TimePoint endedAt{}; ///< Unless it is awaited.
    State state = State::Awaited;
  };

  void Finish(HeadWaitId aId, State aState, TimePoint aNow);

  std::deque<Send> sends_; ///< The oldest first.
  HeadWaitId nextId_ = 1;  ///< Of the next send.
};

} // namespace hibiscusnotch::routing
