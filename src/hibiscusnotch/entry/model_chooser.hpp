/// @file
/// @brief Chooses between the models of a request's route.
#pragma once

#include "attempt_planner.hpp"
#include "exchange.hpp"
#include "hibiscusnotch/entry/fleet_state.hpp"
#include "hibiscusnotch/entry/request_router.hpp"
#include "hibiscusnotch/routing/head_waits.hpp"
#include "hibiscusnotch/routing/model_cascade.hpp"
#include "hibiscusnotch/routing/model_timing.hpp"

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace hibiscusnotch::entry {

class ModelChooser
{
public:
  ModelChooser(const RouterOptions& aOptions,
               const FleetState& aFleet,
               const AttemptPlanner& aPlanner,
               const relay::Timers& aTimers);

  /// @brief Index of the route's model that runs first.
  std::size_t FirstModel(const Exchange& aExchange) const;

  /// @brief What becomes of a smaller model's answer, and why.
  struct Judgement
  {
    /// @brief Index of the larger model to run; nothing if the answer is kept.
    std::optional<std::size_t> next;
    int minConfidence = 0; ///< Answers of at least this one are kept.
    double crowding = 0;   ///< Or the load, for models without prices.
    bool isPoor = false;   ///< Without load a larger model is asked.
    routing::ThresholdCause cause =
      routing::ThresholdCause::None; ///< If it is poor.
  };

  /// @brief Judges the answer of the exchange's attempt; nothing if there is no
  /// larger model or no confidence.
  /// @param aRetryBudgetUsed Fraction of the service's budget.
  std::optional<Judgement> Judge(const Exchange& aExchange,
                                 double aRetryBudgetUsed) const;

  /// @brief Records that an attempt is sent for the exchange.
  void RecordSend(const Exchange& aExchange, Attempt& aAttempt);
  /// @brief Records the response head of the exchange's attempt.
  void RecordHead(const Exchange& aExchange);
  /// @brief Records that an attempt ended.
  void RecordEnd(const Attempt& aAttempt);
  /// @brief Records whether the answer of a first attempt was escalated.
  void RecordDecision(const Exchange& aExchange, bool aEscalated);

private:
  /// Prices of the route's models per token; empty if not all are stated.
  std::vector<double> PricesOf(const Exchange& aExchange) const;
  /// Time that a typical request now waits for its response head.
  Duration TypicalHeadWait() const;
  routing::CascadeView ViewOf(const Exchange& aExchange,
                              const std::vector<double>& aPrices) const;

  const RouterOptions& options_;
  const FleetState& fleet_;
  const AttemptPlanner& planner_;
  const relay::Timers& timers_;
  std::map<std::string, routing::ModelTiming> timings_; ///< By route.
  routing::HeadWaits headWaits_;
};

} // namespace hibiscusnotch::entry
