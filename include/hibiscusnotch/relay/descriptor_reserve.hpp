/// @file
/// @brief Keeps a process that has used up its descriptors able to answer.
#pragma once

#include "hibiscusnotch/relay/clock.hpp"

#include <boost/system/error_code.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace hibiscusnotch::relay {

/// @brief True if this machine or process lacks descriptors or memory for a
/// connection, which says nothing about the peer.
bool
IsShortage(const boost::system::error_code& aError);

/// @brief A time in which connections could not be opened for lack of
/// descriptors.
struct Shortage
{
  Duration lasted{ 0 };
  uint64_t closedIdle = 0; ///< Kept connections that were given up.
  uint64_t refused = 0;    ///< New connections that were closed.
};

struct ShortageObserver
{
  std::function<void()> onBegin;
  std::function<void(const Shortage&)> onEnd;
};

/// @brief Descriptors that are held back for moments in which none is left,
/// shared by all connections of a process.
class DescriptorReserve
{
public:
  using SourceId = uint64_t;
  /// @brief Closes the connection that has been idle longest; false if none
  /// can be given up.
  using CloseIdle = std::function<bool()>;

  /// @brief Holds nothing back before the first Refill: a start needs them
  /// itself.
  DescriptorReserve(Timers& aTimers, ShortageObserver aObserver);
  ~DescriptorReserve();

  DescriptorReserve(const DescriptorReserve&) = delete;
  DescriptorReserve& operator=(const DescriptorReserve&) = delete;

  /// @brief Adds a server whose idle connections may be given up.
  SourceId AddSource(CloseIdle aCloseIdle);
  void RemoveSource(SourceId aSource);

  /// @brief Frees a descriptor after a failed attempt by closing an idle
  /// connection; false if there is none.
  bool MakeRoom();
  /// @brief Frees a held descriptor; false if none is left. Those of the last
  /// kind only refuse connections.
  bool TakeHeld(bool aToRefuse);
  /// @brief Holds descriptors back again, as far as there are any.
  void Refill();
  /// @brief Counts a connection that was closed for lack of descriptors.
  void RecordRefusal();

  uint64_t ShortageCount() const { return shortageCount_; }

private:
  void RecordFailure();
  void EndShortage();

  Timers& timers_;
  ShortageObserver observer_;
  std::map<SourceId, CloseIdle> sources_;
  SourceId lastSource_ = 0;
  std::vector<int> held_;
  std::optional<TimePoint> shortSince_;
  TimePoint lastFailureAt_{};
  Shortage shortage_;
  uint64_t shortageCount_ = 0;
  TimerId endTimer_ = 0;
};

} // namespace hibiscusnotch::relay
