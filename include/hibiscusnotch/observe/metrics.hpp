/// @file
/// @brief Prometheus metrics of one instance.
#pragma once

#include "hibiscusnotch/core/time.hpp"
#include "hibiscusnotch/core/verdict.hpp"

#include <cstdint>
#include <memory>
#include <string>

namespace hibiscusnotch::observe {

/// @brief Labels of a request's samples.
struct MetricLabels
{
  std::string organisation;
  std::string requestClass;
};

enum class LatencyMetric
{
  TimeToFirstToken,
  InterTokenLatency,
  ResponseDuration,
  QueueWait,
};

enum class Gauge
{
  OpenRequests,
  QueuedRequests,
  ConfigurationRevision,
  LiveInstances,
  StoreEra,
  UplinksLost,
  LimitedUpstreams,
  UnsentBytes,
  BufferedResponseBytes,
  RequestBodyBytes,
  UnreadableObjects,
};

enum class Counter
{
  Attempts,
  Retries,
  Escalations,
  CrossedChunks,
  PlatformCalls,
  MeshBytesSent,
  MeshBytesReceived,
  ForwardedRequests,
  SlowReadersEnded,
  DescriptorShortages,
  ExpectedCachedTokens,
  MissedCachedTokens,
};

/// @brief Histograms and counters by organisation and request class, and gauges
/// of the whole instance.
class Metrics
{
public:
  virtual ~Metrics() = default;

  virtual void Observe(LatencyMetric aMetric,
                       const MetricLabels& aLabels,
                       core::Duration aTime) = 0;
  virtual void CountAnswer(const MetricLabels& aLabels,
                           const std::string& aVersion) = 0;
  virtual void CountRefusal(const MetricLabels& aLabels,
                            const core::Refusal& aRefusal) = 0;
  virtual void Set(Gauge aGauge, double aValue) = 0;
  /// @brief How long ago this instance's list of a kind of object was last
  /// known to match the store.
  virtual void SetListAge(const std::string& aKind, core::Duration aAge) = 0;
  /// @brief Raises a counter to a total that is counted elsewhere.
  virtual void RaiseTo(Counter aCounter, uint64_t aTotal) = 0;
  /// @brief All metrics in the Prometheus text exposition format.
  virtual std::string PrometheusText() const = 0;
};

std::unique_ptr<Metrics>
MakeMetrics();

} // namespace hibiscusnotch::observe
