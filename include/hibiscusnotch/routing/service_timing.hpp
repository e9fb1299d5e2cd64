/// @file
/// @brief Learns from responses how long the upstreams of a service take.
#pragma once

#include "hibiscusnotch/core/time.hpp"

#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace hibiscusnotch::routing {

using core::Duration;
using core::TimePoint;

/// @brief Means of recent observations, in seconds; nothing while unknown.
struct TimeEstimates
{
  std::optional<double> perPromptToken;      ///< Of the request's model.
  std::optional<double> perQueuedToken;      ///< Of all models of the service.
  std::optional<double> perOutputToken;      ///< At the observed batches.
  std::optional<double> perOutputTokenSlope; ///< For each request in the batch.
  std::optional<double> perPlainRequest;     ///< Service without models.
  std::optional<double> slotHolding;         ///< From send to end.
};

/// @brief What an attempt found at its upstream when it was sent.
struct SendObservation
{
  double queuedTokens = 0; ///< Ahead of its own.
  double ownTokens = 0;    ///< Of its prompt, without those that are cached.
  double outputTokens = 0; ///< Expected.
  double load = 0;         ///< Requests there before it.
  double slots = 1;
};

/// @brief Weighted sums of one linear relation, which decay with time.
class DecayingRatio
{
public:
  void Add(double aTime, double aAmount, TimePoint aNow);
  std::optional<double> Ratio() const;

private:
  double time_ = 0;
  double amount_ = 0;
  TimePoint updatedAt_{};
};

/// @brief Decaying sums for the slope of a time over the batch.
class DecayingSlope
{
public:
  void Add(double aBatch, double aTime, TimePoint aNow);
  std::optional<double> Slope() const;

private:
  double count_ = 0;
  double batch_ = 0;
  double time_ = 0;
  double batchSquared_ = 0;
  double product_ = 0;
  TimePoint updatedAt_{};
};

/// @brief Observed times by service and model.
class ServiceTimings
{
public:
  /// @brief Services and models that are told apart: callers name models, so
  /// that their number has no other bound.
  static constexpr std::size_t kMaxEntries = 128;

  /// @brief A response head arrived after the time since the attempt was sent.
  void RecordHead(std::string_view aService,
                  std::string_view aModel,
                  const SendObservation& aSent,
                  Duration aTook,
                  TimePoint aNow);
  /// @brief A streamed response ended.
  void RecordEnd(std::string_view aService,
                 std::string_view aModel,
                 const SendObservation& aSent,
                 Duration aSinceHead,
                 Duration aSinceSend,
                 TimePoint aNow);
  /// @brief The seconds to the head that are usual for what an attempt found;
  /// nothing while unknown, or if it had to wait for a slot.
  std::optional<double> ExpectedHead(std::string_view aService,
                                     std::string_view aModel,
                                     const SendObservation& aSent) const;
  TimeEstimates For(std::string_view aService, std::string_view aModel) const;

private:
  struct Sums
  {
    DecayingRatio prompt;
    DecayingRatio output;
    DecayingSlope outputSlope;
    DecayingRatio plain;
    DecayingRatio holding;
  };
  using SumsByModel = std::map<std::string, Sums, std::less<>>;

  Sums* Entry(std::string_view aService, std::string_view aModel);
  const Sums* Find(std::string_view aService, std::string_view aModel) const;

  /// By service, then by model; all models together under the empty name.
  std::map<std::string, SumsByModel, std::less<>> sums_;
  std::size_t entryCount_ = 0;
};

} // namespace hibiscusnotch::routing
