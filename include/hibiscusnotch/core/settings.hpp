/// @file
/// @brief What operators declare, as plain tables indexed by typed ids.
#pragma once

#include "hibiscusnotch/core/ids.hpp"
#include "hibiscusnotch/core/time.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace hibiscusnotch::core {

/// @brief A host and a TCP port.
struct Endpoint
{
  std::string address;
  uint16_t port = 0;
};

struct Zone
{
  std::string name;
  std::string region;
};

/// @brief A version of a model, or the only version of a plain service.
struct Version
{
  std::string name;
  std::string model;
  double pricePerThousandTokens = 0; ///< In the deployment's currency.
  double initialExposure = 1;        ///< Share of new work, 0 to 1.
};

enum class ServiceKind
{
  Engine, ///< Streams generated tokens.
  Plain,  ///< Responds with a single body.
};

struct Service
{
  std::string name;
  ServiceKind kind = ServiceKind::Engine;
};

/// @brief A class of request, with its quality target and limits.
struct RequestClass
{
  std::string name;
  ServiceId service;
  double qualityTarget = 0;        ///< Share of good answers, 0 to 1.
  Duration firstTokenTarget{ 0 };  ///< At the 95th percentile.
  Duration deadline{ 0 };          ///< From arrival to the last byte.
  int priority = 0;                ///< Larger goes first.
  bool repeatable = true;          ///< False: must run at most once.
  bool critical = false;           ///< True: no version still on trial.
  std::vector<VersionId> versions; ///< Cheapest first; the last is the best.
};

struct Organisation
{
  std::string name;
  std::vector<std::string> keyHashes; ///< SHA-256 in lower-case hex.
  double weight = 1;                  ///< Share of a contended service.
  std::vector<VersionId> versions;    ///< Allowed versions.
};

struct Upstream
{
  std::string name;
  ServiceId service;
  ZoneId zone;
  Endpoint endpoint;
  std::vector<VersionId> versions; ///< Loaded versions.
  uint32_t capacity = 8;           ///< Concurrent requests when warm.
  uint32_t coldFloor = 2;          ///< Concurrent requests right after a start.
  Duration coldRamp{ 0 };          ///< Time from the floor to the capacity.
  bool checksFencing = true;
};

struct Instance
{
  std::string name;
  ZoneId zone;
  Endpoint callers;
  Endpoint mesh;
};

struct JournalSettings
{
  uint32_t claimBuckets = 16;
  Duration claimWriteInterval{ 20'000 };    ///< Between writes of one bucket.
  Duration billWriteInterval{ 500'000 };    ///< Between bill writes of a home.
  Duration repeatWindow{ 600'000'000 };     ///< How long outcomes are kept.
  uint32_t maxQueuedBills = 100'000;        ///< During a platform outage.
  std::size_t maxObjectBytes = 1024 * 1024; ///< The platform's limit.
};

struct MeshSettings
{
  Duration heartbeatInterval{ 100'000 };
  Duration suspectAfter{ 500'000 };
  Duration confirmAfter{ 1'500'000 };
  uint32_t fanOut = 24; ///< Peers that get each heartbeat.
};

struct PlatformSettings
{
  Endpoint endpoint;
  double callsPerSecond = 60; ///< Budget of one instance.
};

struct LimitSettings
{
  uint32_t maxQueuePerOrganisation = 2000;
  double retryShare = 0.1;                ///< Retries per first attempt.
  Duration progressDeadline{ 2'500'000 }; ///< Without a chunk: sends a probe.
  Duration drainGrace{ 1'500'000 }; ///< Accepts requests until balancers react.
  Duration drainLimit{ 60'000'000 };
  std::size_t maxHeaderBytes = 16 * 1024;
  std::size_t maxBodyBytes = 1024 * 1024;
  Duration idleTimeout{ 30'000'000 };
};

enum class LogLayout
{
  Plain,
  Json,
};

struct LogSettings
{
  LogLayout layout = LogLayout::Plain;
  std::string level = "info"; ///< debug, info, warning or error.
};

/// @brief All settings that one base file and one overlay declare.
struct Settings
{
  std::string deployment;
  std::vector<Zone> zones;
  std::vector<Version> versions;
  std::vector<Service> services;
  std::vector<RequestClass> classes;
  std::vector<Organisation> organisations;
  std::vector<Upstream> upstreams;
  std::vector<Instance> instances;
  JournalSettings journal;
  MeshSettings mesh;
  PlatformSettings platform;
  Endpoint rater;
  LimitSettings limits;
  LogSettings log;
  std::string tokenSecret; ///< Signs session tokens.
  std::string operatorKeyHash;
  InstanceId self;

  const Zone& At(ZoneId aId) const { return zones[aId.value]; }
  const Version& At(VersionId aId) const { return versions[aId.value]; }
  const Service& At(ServiceId aId) const { return services[aId.value]; }
  const RequestClass& At(ClassId aId) const { return classes[aId.value]; }
  const Organisation& At(OrganisationId aId) const
  {
    return organisations[aId.value];
  }
  const Upstream& At(UpstreamId aId) const { return upstreams[aId.value]; }
  const Instance& At(InstanceId aId) const { return instances[aId.value]; }
};

/// @brief The id of the entry with that name, if there is one.
template<class IdType, class Row>
std::optional<IdType>
FindByName(std::span<const Row> aRows, std::string_view aName)
{
  for (std::size_t i = 0; i < aRows.size(); ++i) {
    if (aRows[i].name == aName) {
      return IdType{ static_cast<uint32_t>(i) };
    }
  }
  return std::nullopt;
}

/// @brief True when the list contains the id; it need not be sorted.
template<class IdType>
bool
Contains(std::span<const IdType> aIds, IdType aId)
{
  for (const IdType id : aIds) {
    if (id == aId) {
      return true;
    }
  }
  return false;
}

} // namespace hibiscusnotch::core
