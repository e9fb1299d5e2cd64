#include "hibiscusnotch/core/fair_queue.hpp"

#include <algorithm>

namespace hibiscusnotch::core {

void
FairQueue::Push(const QueuedRequest& aRequest)
{
  OrganisationQueue& organisationQueue = organisations_[aRequest.organisation];
  if (organisationQueue.size == 0) {
    organisationQueue.virtualTime =
      std::max(organisationQueue.virtualTime, virtualTime_);
  }
  organisationQueue.weight = aRequest.weight;
  organisationQueue.byPriority[aRequest.priority].push_back(aRequest);
  ++organisationQueue.size;
  ++size_;
}

void
FairQueue::PushFront(const QueuedRequest& aRequest)
{
  OrganisationQueue& organisationQueue = organisations_[aRequest.organisation];
  organisationQueue.weight = aRequest.weight;
  organisationQueue.virtualTime -= aRequest.cost / aRequest.weight;
  organisationQueue.byPriority[aRequest.priority].push_front(aRequest);
  ++organisationQueue.size;
  ++size_;
}

std::optional<QueuedRequest>
FairQueue::Pop()
{
  OrganisationQueue* next = nullptr;
  for (auto& [organisation, organisationQueue] : organisations_) {
    if (organisationQueue.size > 0 &&
        (!next || organisationQueue.virtualTime < next->virtualTime)) {
      next = &organisationQueue;
    }
  }
  if (!next) {
    return std::nullopt;
  }
  auto waiting = next->byPriority.begin();
  const QueuedRequest request = waiting->second.front();
  waiting->second.pop_front();
  if (waiting->second.empty()) {
    next->byPriority.erase(waiting);
  }
  virtualTime_ = std::max(virtualTime_, next->virtualTime);
  next->virtualTime += request.cost / request.weight;
  --next->size;
  --size_;
  return request;
}

bool
FairQueue::Remove(OrganisationId aOrganisation, RequestHandle aHandle)
{
  const auto organisationQueue = organisations_.find(aOrganisation);
  if (organisationQueue == organisations_.end()) {
    return false;
  }
  for (auto& [priority, waiting] : organisationQueue->second.byPriority) {
    const auto found = std::find_if(
      waiting.begin(), waiting.end(), [aHandle](const auto& aQueued) {
        return aQueued.handle == aHandle;
      });
    if (found == waiting.end()) {
      continue;
    }
    waiting.erase(found);
    if (waiting.empty()) {
      organisationQueue->second.byPriority.erase(priority);
    }
    --organisationQueue->second.size;
    --size_;
    return true;
  }
  return false;
}

std::size_t
FairQueue::WaitingCount(OrganisationId aOrganisation) const
{
  const auto organisationQueue = organisations_.find(aOrganisation);
  return organisationQueue == organisations_.end()
           ? 0
           : organisationQueue->second.size;
}

double
FairQueue::DispatchShare(OrganisationId aOrganisation, double aWeight) const
{
  double total = aWeight;
  for (const auto& [organisation, organisationQueue] : organisations_) {
    if (organisationQueue.size > 0 && organisation != aOrganisation) {
      total += organisationQueue.weight;
    }
  }
  return aWeight / total;
}

} // namespace hibiscusnotch::core
