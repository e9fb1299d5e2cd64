/// @file
/// @brief Chooses among a model's sizes by the confidence of an answer.
#pragma once

#include <cstddef>
#include <optional>

namespace hibiscusnotch::routing {

struct SizeLadderOptions
{
  /// @brief Least confidence, 0 to 100, at which a smaller model's answer is
  /// kept. Source: runs of 40, 50, 60 and 70 (docs/PLATFORM.md).
  int keepFrom = 50;
};

/// @brief The size to ask first.
std::size_t
FirstSize(std::size_t aSizes);

/// @brief The size to ask next; nothing when the answer is kept.
/// @param aSizes How many sizes there are, smallest first.
/// @param aConfidence The engine's opinion of its answer, if it gave one.
std::optional<std::size_t>
NextSize(const SizeLadderOptions& aOptions,
         std::size_t aSizes,
         std::size_t aCurrent,
         std::optional<int> aConfidence);

} // namespace hibiscusnotch::routing
