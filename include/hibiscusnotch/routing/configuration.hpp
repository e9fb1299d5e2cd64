/// @file
/// @brief What operators declare while the instance runs, as one value.
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

/// @brief How often a request may be executed.
enum class ExecutionSemantics
{
  Idempotent, ///< Any number of times.
  AtMostOnce, ///< Never a second time.
  Stream,     ///< At most once, unless its route allows resuming.
};

/// @brief A service's share of a route's traffic.
struct TrafficShare
{
  std::string service;
  uint32_t weight = 0;
};

/// @brief Which requests go to which services, and within which limits.
struct Route
{
  std::string name;
  std::string host;
  std::string pathPrefix; ///< Starts and ends with a slash.
  ExecutionSemantics executionSemantics = ExecutionSemantics::AtMostOnce;
  Duration timeout{ 0 };
  Duration latencyTarget{ 0 }; ///< Time to a fully credited answer.
  int priority = 0;            ///< Zero is the most urgent.
  uint32_t maxAttempts = 1;
  bool authExempt = false;         ///< Served without an organisation's key.
  bool resumable = false;          ///< A stream may go on at another upstream.
  std::vector<std::string> models; ///< Smallest first; may be empty.
  std::vector<TrafficShare> services;

  /// @brief True when a second execution does no harm.
  bool RetrySafe() const
  {
    return executionSemantics == ExecutionSemantics::Idempotent ||
           (executionSemantics == ExecutionSemantics::Stream && resumable);
  }
};

/// @brief A model engine's batching.
struct Engine
{
  uint32_t slots = 1;
};

struct Service
{
  std::string name;
  Duration coldStart{ 0 };
  double coldRequestsPerSecond =
    0; ///< Requests a second that a cold upstream bears.
  std::optional<Engine> engine;
};

struct Organisation
{
  std::string name;
  std::optional<int> priority; ///< Overrides the route's.
};

/// @brief What a caller may send, and how long it may take.
struct CallerLimits
{
  std::size_t maxHeaderBytes = 16 * 1024;
  std::size_t maxBodyBytes = 1024 * 1024;
  Duration headerTimeout{ 3'000'000 };
  Duration idleTimeout{ 15'000'000 };
};

/// @brief One accepted version of the configuration; never changed in place.
struct Configuration
{
  uint64_t version = 0;
  std::vector<Route> routes;
  std::map<std::string, Service, std::less<>> services;
  std::vector<Organisation> organisations;
  /// @brief Keys to rows of `organisations`.
  std::map<std::string, std::size_t, std::less<>> organisationByKey;
  CallerLimits limits;

  /// @brief The route with the longest prefix of the path on that host.
  const Route* FindRoute(std::string_view aHost, std::string_view aPath) const;

  /// @brief The organisation that holds the key.
  const Organisation* FindOrganisation(std::string_view aKey) const;

  const Service* FindService(std::string_view aName) const;

  /// @brief Builds the lookup of routes by host; call once after filling.
  void BuildRouteIndex();

private:
  std::map<std::string, std::vector<std::size_t>, std::less<>> routesByHost_;
};

} // namespace hibiscusnotch::routing
