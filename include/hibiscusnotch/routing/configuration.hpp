/// @file
/// @brief The configuration of routes, services and organisations.
#pragma once

#include "hibiscusnotch/core/time.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace hibiscusnotch::routing {

using core::Duration;

/// @brief How often an upstream may execute a request.
enum class ExecutionSemantics
{
  Idempotent, ///< Repeated executions have no further effect.
  AtMostOnce, ///< Must not be executed twice.
  Stream,     ///< A streamed response; retried only if the route is resumable.
};

/// @brief A service's share of a route's traffic.
struct TrafficShare
{
  std::string service;
  uint32_t weight = 0;
};

/// @brief Assigns requests to services and limits their execution.
struct Route
{
  std::string name;
  std::string host;
  std::string pathPrefix; ///< Starts and ends with a slash.
  ExecutionSemantics executionSemantics = ExecutionSemantics::AtMostOnce;
  Duration timeout{ 0 };
  Duration latencyTarget{ 0 }; ///< Response time that earns full credit.
  int priority = 0;            ///< Zero is the most urgent.
  uint32_t maxAttempts = 1;
  bool authExempt = false; ///< Needs no API key.
  bool resumable = false;  ///< Another upstream may continue a broken stream.
  std::vector<std::string> models; ///< Smallest first; may be empty.
  std::vector<TrafficShare> services;

  /// @brief True if a second execution is harmless.
  bool RetrySafe() const
  {
    return executionSemantics == ExecutionSemantics::Idempotent ||
           (executionSemantics == ExecutionSemantics::Stream && resumable);
  }
};

/// @brief The batch capacity of a model engine.
struct Engine
{
  uint32_t slots = 1;
  /// @brief Tokens that an upstream's memory holds; nothing if not stated.
  std::optional<uint64_t> memoryTokens;
};

struct Service
{
  std::string name;
  std::string healthPath; ///< Of its upstreams; empty if not stated.
  Duration coldStart{ 0 };
  double coldRequestsPerSecond = 0; ///< A cold upstream's limit.
  std::optional<Engine> engine;
  /// @brief Prices per token by the model's name, where they are stated.
  std::map<std::string, double, std::less<>> modelPrices;
};

struct Organisation
{
  std::string name;
  std::optional<int> priority; ///< Overrides the route's priority.
};

/// @brief Size and time limits for callers' connections.
struct CallerLimits
{
  std::size_t maxHeaderBytes = 16 * 1024;
  std::size_t maxBodyBytes = 1024 * 1024;
  Duration headerTimeout{ 3'000'000 };
  Duration idleTimeout{ 15'000'000 };
};

/// @brief One version of the configuration; immutable once published.
struct Configuration
{
  uint64_t version = 0;
  std::vector<Route> routes;
  std::map<std::string, Service, std::less<>> services;
  std::vector<Organisation> organisations;
  /// @brief Index into `organisations` by API key.
  std::map<std::string, std::size_t, std::less<>> organisationByKey;
  CallerLimits limits;

  /// @brief The route of the host with the longest matching path prefix.
  const Route* FindRoute(std::string_view aHost, std::string_view aPath) const;

  /// @brief The organisation that owns the API key.
  const Organisation* FindOrganisation(std::string_view aKey) const;

  const Service* FindService(std::string_view aName) const;

  /// @brief Builds the index of routes by host; call once all routes are set.
  void BuildRouteIndex();

private:
  std::map<std::string, std::vector<std::size_t>, std::less<>> routesByHost_;
};

} // namespace hibiscusnotch::routing
