/// @file
/// @brief Chooses among a model's sizes by the confidence of an answer.
#pragma once

#include <cstddef>
#include <optional>

namespace hibiscusnotch::routing {

/// @brief Sources of all defaults: runs side by side (docs/PLATFORM.md).
struct ModelCascadeOptions
{
  /// @brief Least confidence, 0 to 100, at which a smaller model's answer is
  /// kept while the engines have room.
  int minConfidence = 50;
  /// @brief The same when they have none: a run of the largest model takes the
  /// place of many of the smallest.
  int minConfidenceAtFullLoad = 0;
  /// @brief Running and waiting requests a slot, up to which there is room.
  double lowLoad = 0.1;
  /// @brief The same from which on there is none.
  double fullLoad = 0.6;
};

/// @brief The size to ask first.
std::size_t
FirstModel(std::size_t aModelCount);

/// @brief Least confidence at which an answer is kept.
/// @param aLoad Requests for each slot of the engines.
int
MinConfidence(const ModelCascadeOptions& aOptions, double aLoad);

/// @brief The size to ask next; nothing when the answer is kept.
/// @param aModelCount How many sizes there are, smallest first.
/// @param aConfidence The engine's opinion of its answer, if it gave one.
/// @param aLoad As for MinConfidence.
std::optional<std::size_t>
NextModel(const ModelCascadeOptions& aOptions,
          std::size_t aModelCount,
          std::size_t aCurrent,
          std::optional<int> aConfidence,
          double aLoad);

} // namespace hibiscusnotch::routing
