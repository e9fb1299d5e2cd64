/// @file
/// @brief Statistics and the report of one run.
#pragma once

#include "hibiscusnotch/replay/checker.hpp"

#include <cstdint>
#include <map>
#include <nlohmann/json_fwd.hpp>
#include <span>
#include <string>

namespace hibiscusnotch::replay {

/// @brief Exact sample quantiles, in milliseconds.
struct Quantiles
{
  double p50 = 0;
  double p95 = 0;
  double p99 = 0;
  std::size_t samples = 0;
};

Quantiles
QuantilesOf(std::vector<double> aMilliseconds);

/// @brief Outcomes, violations, cost, quality and latencies of one run.
struct RunStatistics
{
  uint64_t requests = 0; ///< Distinct request ids.
  uint64_t answered = 0;
  uint64_t refusedNotRun = 0;
  uint64_t mayHaveRun = 0;
  uint64_t lost = 0;
  Violations violations;
  double cost = 0;
  double quality = 0;
  std::map<std::string, double> qualityByClass;
  uint64_t badVersionAnswers = 0;
  uint64_t badVersionCritical = 0;
  std::map<std::string, Quantiles> firstTokenByClass;
  std::map<std::string, Quantiles> firstTokenByOrganisation;
  std::map<std::string, Quantiles> latencyByClass;
  std::map<std::string, Quantiles> latencyByOrganisation;
  std::map<std::string, uint64_t> refusalReasons;
};

/// @brief Computes the statistics from the observations of a run.
RunStatistics
ComputeStatistics(const core::Settings& aSettings,
                  std::span<const standin::Observation> aObservations,
                  double aCost);

/// @brief The statistics as the JSON of the report.
nlohmann::ordered_json
ToJson(const RunStatistics& aStatistics);

/// @brief Compares statistics with the expected outcomes of a trace.
/// @return One line for each expectation that is not met.
std::vector<std::string>
CheckExpectations(const nlohmann::json& aExpected,
                  const RunStatistics& aStatistics);

/// @brief A summary as plain text.
std::string
Summary(const RunStatistics& aStatistics);

} // namespace hibiscusnotch::replay
