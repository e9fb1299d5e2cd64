/// @file
/// @brief The figures of one run.
#pragma once

#include "hibiscusnotch/replay/checker.hpp"

#include <cstdint>
#include <map>
#include <nlohmann/json_fwd.hpp>
#include <span>
#include <string>

namespace hibiscusnotch::replay {

/// @brief Exact quantiles, in milliseconds.
struct Quantiles
{
  double p50 = 0;
  double p95 = 0;
  double p99 = 0;
  std::size_t samples = 0;
};

Quantiles
QuantilesOf(std::vector<double> aMilliseconds);

/// @brief What one run came to.
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

/// @brief Works out the figures from what was seen.
RunStatistics
ComputeStatistics(const core::Settings& aSettings,
                  std::span<const standin::Observation> aSeen,
                  double aCost);

/// @brief The figures as the report's JSON.
nlohmann::ordered_json
ToJson(const RunStatistics& aFigures);

/// @brief Holds figures against a trace's stated outcomes.
/// @return One line for each outcome that does not hold.
std::vector<std::string>
CheckExpectations(const nlohmann::json& aExpected,
                  const RunStatistics& aFigures);

/// @brief A summary for people.
std::string
Summary(const RunStatistics& aFigures);

} // namespace hibiscusnotch::replay
