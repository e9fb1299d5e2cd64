/// @file
/// @brief Runs attempts and polls at upstreams over HTTP.
#pragma once

#include "hibiscusnotch/core/action.hpp"
#include "hibiscusnotch/core/event.hpp"
#include "hibiscusnotch/core/settings.hpp"
#include "hibiscusnotch/net/http_client.hpp"

#include <functional>
#include <memory>
#include <string>

namespace hibiscusnotch::edge {

/// @brief What an upstream needs to know of a request.
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
  /// @brief Stops or goes on reading the answer of an attempt.
  virtual void SetPaused(core::AttemptId aAttempt, bool aPaused) = 0;
  virtual void Probe(const core::ProbeUpstream& aProbe) = 0;
};

/// @param aReport Hears the events for the core; never from within a call.
std::unique_ptr<UpstreamClient>
MakeUpstreamClient(net::HttpClient& aClient,
                   const core::Settings& aSettings,
                   std::function<void(core::Event)> aReport);

} // namespace hibiscusnotch::edge
