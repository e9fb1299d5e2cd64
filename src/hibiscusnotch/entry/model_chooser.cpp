#include "model_chooser.hpp"

#include <algorithm>

namespace hibiscusnotch::entry {

ModelChooser::ModelChooser(const RouterOptions& aOptions,
                           const FleetState& aFleet,
                           const AttemptPlanner& aPlanner,
                           const relay::Timers& aTimers)
  : options_(aOptions)
  , fleet_(aFleet)
  , planner_(aPlanner)
  , timers_(aTimers)
{
}

std::vector<double>
ModelChooser::PricesOf(const Exchange& aExchange) const
{
  const routing::Service* service =
    fleet_.configuration
      ? fleet_.configuration->FindService(planner_.ChooseService(aExchange))
      : nullptr;
  std::vector<double> prices;
  for (const std::string& model : aExchange.route.models) {
    if (!service || !service->modelPrices.contains(model)) {
      return {};
    }
    prices.push_back(service->modelPrices.find(model)->second);
  }
  return prices;
}

routing::CascadeView
ModelChooser::ViewOf(const Exchange& aExchange,
                     const std::vector<double>& aPrices) const
{
  routing::CascadeView view;
  view.prices = aPrices;
  view.priority = aExchange.priority;
  view.elapsed = timers_.Now() - aExchange.arrivedAt;
  view.latencyTarget = aExchange.route.latencyTarget;
  const auto timing = timings_.find(aExchange.route.name);
  if (timing != timings_.end()) {
    const routing::ModelTiming& seen = timing->second;
    const double tokens = aExchange.metadata.promptTokens;
    view.smallestRun = seen.ExpectedHead(0, tokens);
    view.largestRun =
      seen.ExpectedHead(aExchange.route.models.size() - 1, tokens);
    view.escalatedShare = seen.EscalatedShare();
    view.largestSufficiency = seen.LargestSufficiency();
    if (view.latencyTarget > Duration::zero()) {
      // Heads that do not come show a shortage before late ones do.
      const Duration firstHead =
        std::max(seen.MeanFirstHead(), TypicalHeadWait());
      view.crowding =
        core::Seconds(firstHead) / core::Seconds(view.latencyTarget);
    }
  }
  return view;
}

std::size_t
ModelChooser::FirstModel(const Exchange& aExchange) const
{
  const std::size_t count = aExchange.route.models.size();
  if (count < 2) {
    return 0;
  }
  const std::vector<double> prices = PricesOf(aExchange);
  return routing::FirstModel(
    options_.modelCascade, count, ViewOf(aExchange, prices));
}

std::optional<ModelChooser::Judgement>
ModelChooser::Judge(const Exchange& aExchange, double aRetryBudgetUsed) const
{
  const std::size_t count = aExchange.route.models.size();
  const Attempt& attempt = *aExchange.attempt;
  const auto& confidence = attempt.metadata.confidence;
  if (aExchange.modelIndex + 1 >= count || !confidence) {
    return std::nullopt;
  }
  const std::vector<double> prices = PricesOf(aExchange);
  routing::CascadeView view = ViewOf(aExchange, prices);
  view.retryBudgetUsed = aRetryBudgetUsed;
  if (prices.empty()) {
    view.load = planner_.ServiceLoad(attempt.service);
  }
  const routing::ModelCascadeOptions& options = options_.modelCascade;
  Judgement judgement;
  judgement.next =
    routing::NextModel(options, count, aExchange.modelIndex, confidence, view);
  judgement.minConfidence = routing::MinConfidence(options, view);
  judgement.crowding = prices.empty() ? view.load : view.crowding;
  judgement.isPoor =
    *confidence < routing::BaselineMinConfidence(options, view);
  if (judgement.isPoor) {
    judgement.cause = routing::CauseOfLowThreshold(options, view);
  }
  return judgement;
}

Duration
ModelChooser::TypicalHeadWait() const
{
  const TimePoint now = timers_.Now();
  return headWaits_.Median(now, [this, now](core::UpstreamId aId) {
    const routing::Upstream* upstream = fleet_.upstreams.Find(aId);
    return !upstream || now < upstream->suspectUntil ||
           fleet_.unreachableZones.contains(upstream->entry.zone);
  });
}

void
ModelChooser::RecordSend(const Exchange& aExchange, Attempt& aAttempt)
{
  if (!aAttempt.model.empty()) {
    aAttempt.headWait =
      headWaits_.Add(aAttempt.upstream,
                     aAttempt.sentAt,
                     aAttempt.sentAt + aExchange.route.latencyTarget);
  }
}

void
ModelChooser::RecordEnd(const Attempt& aAttempt)
{
  headWaits_.RecordEnd(aAttempt.headWait, timers_.Now());
}

void
ModelChooser::RecordHead(const Exchange& aExchange)
{
  const Attempt& attempt = *aExchange.attempt;
  headWaits_.RecordHead(attempt.headWait, timers_.Now());
  const std::size_t count = aExchange.route.models.size();
  if (count < 2 || attempt.resumed || !attempt.peer.empty()) {
    return;
  }
  routing::ModelTiming& timing = timings_[aExchange.route.name];
  timing.RecordHead(aExchange.modelIndex,
                    count,
                    attempt.promptTokens,
                    timers_.Now() - attempt.sentAt);
  if (aExchange.isEscalated && attempt.metadata.confidence) {
    timing.RecordEscalatedAnswer(routing::SufficientProbability(
      options_.modelCascade, *attempt.metadata.confidence));
  }
}

void
ModelChooser::RecordDecision(const Exchange& aExchange, bool aEscalated)
{
  if (aExchange.modelIndex == 0 && aExchange.route.models.size() > 1) {
    timings_[aExchange.route.name].RecordFirstAnswer(aEscalated);
  }
}

} // namespace hibiscusnotch::entry
