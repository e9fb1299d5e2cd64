#include "response_check.hpp"

namespace hibiscusnotch::entry {

namespace {

constexpr int kBadGateway = 502;
constexpr int kGatewayTimeout = 504;

} // namespace

bool
IsValidSuccess(const Exchange& aExchange, const Attempt& aAttempt)
{
  const int status = aAttempt.head->status;
  return status / 100 == 2 && aAttempt.metadata.sealed &&
         aAttempt.metadata.requestId == aExchange.metadata.requestId &&
         net::FindHeader(aAttempt.head->headers, "Content-Encoding").empty();
}

bool
IsForAnotherRequest(const Exchange& aExchange, const Attempt& aAttempt)
{
  const std::string& named = aAttempt.metadata.requestId;
  return !named.empty() && !aExchange.metadata.requestId.empty() &&
         named != aExchange.metadata.requestId;
}

bool
IsRefusalOfPeer(const Attempt& aAttempt)
{
  const int status = aAttempt.head->status;
  return !aAttempt.metadata.sealed && status / 100 != 2 &&
         status != kBadGateway && status != kGatewayTimeout;
}

bool
IsTruncated(const Exchange& aExchange, const Attempt& aAttempt)
{
  return aExchange.events.HasPartialEvent() ||
         (!aAttempt.head->isSelfDelimited &&
          aExchange.events.EventCount() == aAttempt.eventsBefore);
}

} // namespace hibiscusnotch::entry
