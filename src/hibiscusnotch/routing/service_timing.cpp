#include "hibiscusnotch/routing/service_timing.hpp"

#include <algorithm>
#include <cmath>

namespace hibiscusnotch::routing {

namespace {

// Long enough for a few dozen responses at an instance that receives two
// requests in a second.
constexpr double kMemorySeconds = 30;
// For a slope to be told from noise.
constexpr double kMinSlopeObservations = 8;
constexpr double kMinBatchVariance = 0.5;

double
DecaySince(TimePoint aThen, TimePoint aNow)
{
  return std::exp(-core::Seconds(aNow - aThen) / kMemorySeconds);
}

/// Requests beyond the slots wait for whole rounds of the others.
double
PlainRounds(const SendObservation& aSent)
{
  return std::max(1.0, (aSent.load + 1) / aSent.slots);
}

} // namespace

void
DecayingRatio::Add(double aTime, double aAmount, TimePoint aNow)
{
  const double decay = DecaySince(updatedAt_, aNow);
  time_ = time_ * decay + aTime;
  amount_ = amount_ * decay + aAmount;
  updatedAt_ = aNow;
}

std::optional<double>
DecayingRatio::Ratio() const
{
  if (amount_ <= 0) {
    return std::nullopt;
  }
  return time_ / amount_;
}

void
DecayingSlope::Add(double aBatch, double aTime, TimePoint aNow)
{
  const double decay = DecaySince(updatedAt_, aNow);
  count_ = count_ * decay + 1;
  batch_ = batch_ * decay + aBatch;
  time_ = time_ * decay + aTime;
  batchSquared_ = batchSquared_ * decay + aBatch * aBatch;
  product_ = product_ * decay + aBatch * aTime;
  updatedAt_ = aNow;
}

std::optional<double>
DecayingSlope::Slope() const
{
  if (count_ < kMinSlopeObservations) {
    return std::nullopt;
  }
  const double mean = batch_ / count_;
  const double variance = batchSquared_ / count_ - mean * mean;
  if (variance < kMinBatchVariance) {
    return std::nullopt;
  }
  return (product_ / count_ - mean * time_ / count_) / variance;
}

void
ServiceTimings::RecordHead(std::string_view aService,
                           std::string_view aModel,
                           const SendObservation& aSent,
                           Duration aTook,
                           TimePoint aNow)
{
  const double took = core::Seconds(aTook);
  if (aModel.empty()) {
    if (Sums* sums = Entry(aService, {})) {
      sums->plain.Add(took, PlainRounds(aSent), aNow);
    }
    return;
  }
  const double tokens = aSent.queuedTokens + aSent.ownTokens;
  if (aSent.load + 1 > aSent.slots || tokens <= 0) {
    return; // the time includes the wait for a slot
  }
  for (const std::string_view model : { std::string_view(), aModel }) {
    if (Sums* sums = Entry(aService, model)) {
      sums->prompt.Add(took, tokens, aNow);
    }
  }
}

void
ServiceTimings::RecordEnd(std::string_view aService,
                          std::string_view aModel,
                          const SendObservation& aSent,
                          Duration aSinceHead,
                          Duration aSinceSend,
                          TimePoint aNow)
{
  if (aModel.empty()) {
    return;
  }
  if (Sums* sums = Entry(aService, {})) {
    sums->holding.Add(core::Seconds(aSinceSend), 1, aNow);
  }
  if (aSent.outputTokens <= 0) {
    return;
  }
  for (const std::string_view model : { std::string_view(), aModel }) {
    if (Sums* sums = Entry(aService, model)) {
      const double took = core::Seconds(aSinceHead);
      sums->output.Add(took, aSent.outputTokens, aNow);
      sums->outputSlope.Add(aSent.load, took / aSent.outputTokens, aNow);
    }
  }
}

std::optional<double>
ServiceTimings::ExpectedHead(std::string_view aService,
                             std::string_view aModel,
                             const SendObservation& aSent) const
{
  const TimeEstimates estimates = For(aService, aModel);
  if (aModel.empty()) {
    return estimates.perPlainRequest
             ? std::optional(*estimates.perPlainRequest * PlainRounds(aSent))
             : std::nullopt;
  }
  if (!estimates.perPromptToken || !estimates.perQueuedToken ||
      aSent.load + 1 > aSent.slots) {
    return std::nullopt;
  }
  return aSent.queuedTokens * *estimates.perQueuedToken +
         aSent.ownTokens * *estimates.perPromptToken;
}

TimeEstimates
ServiceTimings::For(std::string_view aService, std::string_view aModel) const
{
  TimeEstimates estimates;
  const Sums* all = Find(aService, {});
  if (!all) {
    return estimates;
  }
  estimates.perQueuedToken = all->prompt.Ratio();
  estimates.perPlainRequest = all->plain.Ratio();
  estimates.slotHolding = all->holding.Ratio();
  const Sums* own = Find(aService, aModel);
  const auto orAll = [](std::optional<double> aOwn,
                        std::optional<double> aAll) {
    return aOwn ? aOwn : aAll;
  };
  if (!own) {
    own = all;
  }
  estimates.perPromptToken =
    orAll(own->prompt.Ratio(), estimates.perQueuedToken);
  estimates.perOutputToken = orAll(own->output.Ratio(), all->output.Ratio());
  estimates.perOutputTokenSlope =
    orAll(own->outputSlope.Slope(), all->outputSlope.Slope());
  return estimates;
}

ServiceTimings::Sums*
ServiceTimings::Entry(std::string_view aService, std::string_view aModel)
{
  auto service = sums_.find(aService);
  if (service != sums_.end()) {
    const auto found = service->second.find(aModel);
    if (found != service->second.end()) {
      return &found->second;
    }
  }
  if (entryCount_ >= kMaxEntries) {
    return nullptr;
  }
  ++entryCount_;
  if (service == sums_.end()) {
    service = sums_.emplace(std::string(aService), SumsByModel{}).first;
  }
  return &service->second[std::string(aModel)];
}

const ServiceTimings::Sums*
ServiceTimings::Find(std::string_view aService, std::string_view aModel) const
{
  const auto service = sums_.find(aService);
  if (service == sums_.end()) {
    return nullptr;
  }
  const auto found = service->second.find(aModel);
  return found == service->second.end() ? nullptr : &found->second;
}

} // namespace hibiscusnotch::routing
