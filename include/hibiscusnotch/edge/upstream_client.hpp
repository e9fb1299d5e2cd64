/// @file
/// @brief Sends attempts and load polls to upstreams over HTTP.
#pragma once

#include "hibiscusnotch/core/action.hpp"
#include "hibiscusnotch/core/event.hpp"
#include "hibiscusnotch/core/settings.hpp"
#include "hibiscusnotch/net/http_client.hpp"

#include <functional>
#include <memory>
#include <string>

namespace hibiscusnotch::edge {

/// @brief The parts of a caller's request that are sent to the upstream.
struct UpstreamRequest
{
  std::string target;
  std::string body;
  std::string requestId;
  core::OrganisationId organisation;
  uint64_t prefix = 0;
  int priority = 0;
  bool repeatable = true;
};

class UpstreamClient
{
public:
  virtual ~UpstreamClient() = default;

  virtual void Start(const core::StartAttempt& aAttempt,
                     const UpstreamRequest& aRequest) = 0;
  virtual void Cancel(core::AttemptId aAttempt) = 0;
  /// @brief Pauses or resumes reading an attempt's response (flow control).
  virtual void SetPaused(core::AttemptId aAttempt, bool aPaused) = 0;
  virtual void Probe(const core::ProbeUpstream& aProbe) = 0;
};

/// @param aOnEvent Receives events for the router core; never called from
/// within a member function of the client.
std::unique_ptr<UpstreamClient>
MakeUpstreamClient(net::HttpClient& aClient,
                   const core::Settings& aSettings,
                   std::function<void(core::Event)> aOnEvent);

} // namespace hibiscusnotch::edge
