/// @file
/// @brief Keeps the request rate that an upstream takes from all instances
/// together.
#pragma once

#include "hibiscusnotch/core/time.hpp"
#include "hibiscusnotch/routing/sender_rank.hpp"

#include <span>
#include <string_view>

namespace hibiscusnotch::routing {

using core::Duration;
using core::TimePoint;

/// @brief How many instances share an upstream's limit.
std::size_t
LimitHolderCount(double aLimit, std::size_t aInstances);

/// @brief This instance's share of an upstream's limit, in requests per second.
///
/// A few instances divide the limit and the others send nothing: shares of all
/// instances would be too small to use, and a first request of each would
/// already exceed a small limit. Every instance computes the shares by itself.
double
RequestLimitShare(double aLimit,
                  std::string_view aUpstream,
                  std::string_view aSelf,
                  std::span<const Sender> aSenders);

/// @brief Paces one instance's sends to one upstream.
class SendPacer
{
public:
  /// @brief Sets the rate in requests per second; zero for no sends. A rate
  /// after none starts without credit, as the former sender may just have sent.
  void SetRate(double aPerSecond, TimePoint aNow);
  double Rate() const { return rate_; }

  bool IsOpen(TimePoint aNow) const;
  /// @brief When the next request may be sent; the latest time if the rate is
  /// zero.
  TimePoint OpensAt() const;
  void RecordSend(TimePoint aNow);

private:
  Duration Interval() const;

  double rate_ = 0;
  TimePoint due_{}; ///< Of the next send at an even pace.
};

} // namespace hibiscusnotch::routing
