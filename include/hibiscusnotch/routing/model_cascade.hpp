/// @file
/// @brief Escalates low-confidence answers of small models to larger ones.
#pragma once

#include <cstddef>
#include <optional>

namespace hibiscusnotch::routing {

/// @brief Thresholds of the cascade; docs/PLATFORM.md explains the defaults.
struct ModelCascadeOptions
{
  /// @brief Minimum confidence, 0 to 100, to keep a smaller model's answer
  /// while load is low.
  int minConfidence = 50;
  /// @brief The same at full load, where one run of the largest model displaces
  /// many runs of the smallest.
  int minConfidenceAtFullLoad = 0;
  /// @brief Running and waiting requests per engine slot up to which load is
  /// low.
  double lowLoad = 0.1;
  /// @brief Requests per slot at which load is full.
  double fullLoad = 0.6;
};

/// @brief Index of the model to run first.
std::size_t
FirstModel(std::size_t aModelCount);

/// @brief Minimum confidence to keep an answer, interpolated between low and
/// full load.
/// @param aLoad Requests per engine slot.
int
MinConfidence(const ModelCascadeOptions& aOptions, double aLoad);

/// @brief Index of the model to run next; nothing if the answer is kept.
/// @param aModelCount Number of models, smallest first.
/// @param aConfidence Confidence that the engine reports for its answer, if
/// any.
/// @param aLoad As for MinConfidence.
std::optional<std::size_t>
NextModel(const ModelCascadeOptions& aOptions,
          std::size_t aModelCount,
          std::size_t aCurrent,
          std::optional<int> aConfidence,
          double aLoad);

} // namespace hibiscusnotch::routing
