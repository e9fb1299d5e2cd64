/// @file
/// @brief Weighted fair queue of the requests that wait for a version.
#pragma once

#include "hibiscusnotch/core/ids.hpp"
#include "hibiscusnotch/core/time.hpp"

#include <cstddef>
#include <deque>
#include <map>
#include <optional>

namespace hibiscusnotch::core {

/// @brief One queued request.
struct QueuedRequest
{
  RequestHandle handle = 0;
  OrganisationId organisation;
  double weight = 1;
  int priority = 0;
  double cost = 1; ///< Relative cost; any unit.
};

/// @brief Start-time fair queueing among organisations; strict priority within
/// each.
class FairQueue
{
public:
  void Push(const QueuedRequest& aRequest);

  /// @brief Puts a popped request back at the front of its organisation's
  /// queue.
  void PushFront(const QueuedRequest& aRequest);

  /// @brief Removes and returns the next request.
  std::optional<QueuedRequest> Pop();

  /// @brief Removes one request, whatever its position.
  bool Remove(OrganisationId aOrganisation, RequestHandle aHandle);

  std::size_t Size() const { return size_; }
  std::size_t WaitingCount(OrganisationId aOrganisation) const;

  /// @brief The organisation's share of upcoming dispatches, 0 to 1.
  double DispatchShare(OrganisationId aOrganisation, double aWeight) const;

private:
  struct OrganisationQueue
  {
    std::map<int, std::deque<QueuedRequest>, std::greater<>> byPriority;
    double virtualTime = 0;
    double weight = 1;
    std::size_t size = 0;
  };

  std::map<OrganisationId, OrganisationQueue> organisations_;
  double virtualTime_ = 0;
  std::size_t size_ = 0;
};

} // namespace hibiscusnotch::core
