#include "hibiscusnotch/standin/engine_simulator.hpp"

#include <algorithm>
#include <cmath>

namespace hibiscusnotch::standin {

namespace {

constexpr uint32_t kTokensPerChunk = 8;
/// Relative increase of the time per token when the batch is full.
constexpr double kFullBatchSlowdown = 0.8;
constexpr double kPrefillSecondsPerToken = 0.0003;
constexpr double kCachedPrefillFactor = 0.2;
constexpr std::size_t kMaxCachedPrefixes = 12;
constexpr std::size_t kMaxQueuedRequests = 32;
/// A cold process crashes above this multiple of its current capacity.
constexpr double kColdCrashFactor = 1.5;
constexpr core::Duration kPlainServiceTime{ 30'000 };
constexpr core::Duration kReportInterval{ 500'000 };
constexpr core::Duration kCrashDelay{ 20'000 };

} // namespace

EngineSimulator::EngineSimulator(const core::Settings& aSettings,
                                 core::UpstreamId aId,
                                 std::vector<VersionBehaviour> aBehaviours,
                                 TimePoint aStartedAt)
  : settings_(aSettings)
  , id_(aId)
  , upstream_(aSettings.At(aId))
  , behaviours_(std::move(aBehaviours))
  , plain_(aSettings.At(upstream_.service).kind == core::ServiceKind::Plain)
  , startedAt_(aStartedAt)
{
  lastReport_.upstream = aId;
  lastReport_.incarnation = incarnation_;
}

double
EngineSimulator::CapacityAt(TimePoint aNow) const
{
  const double ramp = core::Seconds(upstream_.coldRamp);
  const double age = core::Seconds(aNow - startedAt_);
  if (age >= ramp) {
    return upstream_.capacity;
  }
  const double room = upstream_.capacity - upstream_.coldFloor;
  return upstream_.coldFloor + room * std::max(0.0, age / ramp);
}

SubmitResult
EngineSimulator::Submit(TimePoint aNow,
                        const EngineRequest& aRequest,
                        Observations& aObservations)
{
  if (leaving_) {
    return SubmitResult::Leaving;
  }
  if (queue_.size() >= kMaxQueuedRequests) {
    return SubmitResult::Busy;
  }
  const bool cold = aNow - startedAt_ < upstream_.coldRamp;
  const std::size_t requestCount = running_.size() + queue_.size() + 1;
  aObservations.push_back(
    ExecutionStarted{ aNow,
                      id_,
                      aRequest.version,
                      aRequest.organisation,
                      aRequest.requestId,
                      static_cast<uint32_t>(requestCount),
                      static_cast<uint32_t>(CapacityAt(aNow)),
                      cold });
  if (cold &&
      static_cast<double>(requestCount) > CapacityAt(aNow) * kColdCrashFactor) {
    StartRequest(aNow, aRequest);
    Restart(aNow);
    return SubmitResult::Accepted;
  }
  if (running_.size() < upstream_.capacity) {
    StartRequest(aNow, aRequest);
    return SubmitResult::Accepted;
  }
  const auto position =
    std::find_if(queue_.begin(), queue_.end(), [&](const auto& aWaiting) {
      return aWaiting.priority < aRequest.priority;
    });
  queue_.insert(position, aRequest);
  return SubmitResult::Accepted;
}

core::Duration
EngineSimulator::PrefillTime(const EngineRequest& aRequest)
{
  if (plain_) {
    return kPlainServiceTime;
  }
  double seconds = aRequest.promptTokens * kPrefillSecondsPerToken;
  const auto cached =
    std::find(prefixCache_.begin(), prefixCache_.end(), aRequest.prefix);
  if (aRequest.prefix != 0 && cached != prefixCache_.end()) {
    seconds *= kCachedPrefillFactor;
    prefixCache_.erase(cached);
  }
  if (aRequest.prefix != 0) {
    prefixCache_.push_back(aRequest.prefix);
  }
  if (prefixCache_.size() > kMaxCachedPrefixes) {
    prefixCache_.pop_front();
  }
  return core::FromSeconds(seconds);
}

core::Duration
EngineSimulator::ChunkTime(const ActiveRequest& aActive) const
{
  if (plain_) {
    return core::Duration(0);
  }
  const double load = static_cast<double>(running_.size()) / upstream_.capacity;
  const double perToken =
    behaviours_[aActive.request.version.value].secondsPerToken *
    (1 + kFullBatchSlowdown * load);
  const uint32_t remainingTokens =
    aActive.request.outputTokens - aActive.emittedTokens;
  return core::FromSeconds(perToken *
                           std::min(remainingTokens, kTokensPerChunk));
}

void
EngineSimulator::StartRequest(TimePoint aNow, const EngineRequest& aRequest)
{
  ActiveRequest active{ aRequest, aNow, aRequest.resumeOffset, false };
  const core::Duration prefill =
    aRequest.crashes ? kCrashDelay : PrefillTime(aRequest);
  active.nextChunkAt = aNow + prefill + ChunkTime(active);
  cost_ += Price(aRequest, aRequest.promptTokens);
  running_[aRequest.attempt] = std::move(active);
}

double
EngineSimulator::Price(const EngineRequest& aRequest, uint32_t aTokens) const
{
  const double price = settings_.At(aRequest.version).pricePerThousandTokens;
  return price * aTokens / 1000;
}

void
EngineSimulator::Cancel(TimePoint aNow, core::AttemptId aAttempt)
{
  running_.erase(aAttempt);
  std::erase_if(queue_, [aAttempt](const auto& aWaiting) {
    return aWaiting.attempt == aAttempt;
  });
  Admit(aNow);
}

void
EngineSimulator::Admit(TimePoint aNow)
{
  while (!queue_.empty() && running_.size() < upstream_.capacity) {
    const EngineRequest next = queue_.front();
    queue_.pop_front();
    StartRequest(aNow, next);
  }
}

EngineOutput
EngineSimulator::EmitChunk(ActiveRequest& aActive, TimePoint aAt)
{
  const EngineRequest& request = aActive.request;
  const std::string& version = settings_.At(request.version).name;
  EngineOutput output;
  output.attempt = request.attempt;
  core::AttemptChunk& chunk = output.chunk;
  chunk.attempt = request.attempt;
  chunk.offset = aActive.emittedTokens;
  const uint32_t step = plain_ ? request.outputTokens : kTokensPerChunk;
  chunk.tokens = std::min(step, request.outputTokens - aActive.emittedTokens);
  chunk.payload =
    AnswerText(request.requestId, version, chunk.offset, chunk.tokens);
  chunk.incarnation = incarnation_;
  chunk.leaving = leaving_;
  aActive.emittedTokens += chunk.tokens;
  cost_ += Price(request, chunk.tokens);
  chunk.final = aActive.emittedTokens >= request.outputTokens;
  if (chunk.final && !plain_) {
    chunk.confidence = AnswerConfidence(request.requestId,
                                        version,
                                        behaviours_[request.version.value],
                                        request.difficulty);
  }
  aActive.nextChunkAt = aAt + ChunkTime(aActive);
  return output;
}

std::vector<EngineOutput>
EngineSimulator::Advance(TimePoint aNow)
{
  std::vector<EngineOutput> outputs = std::move(pendingLosses_);
  pendingLosses_.clear();
  while (true) {
    const auto next = NextOutputAt();
    if (!next || *next > aNow) {
      return outputs;
    }
    const auto active = std::min_element(
      running_.begin(),
      running_.end(),
      [](const auto& aLeft, const auto& aRight) {
        return aLeft.second.nextChunkAt < aRight.second.nextChunkAt;
      });
    if (active->second.request.crashes) {
      Restart(*next);
      outputs.insert(
        outputs.end(), pendingLosses_.begin(), pendingLosses_.end());
      pendingLosses_.clear();
      continue;
    }
    EngineOutput output = EmitChunk(active->second, *next);
    const bool silenced = active->second.silenced;
    const bool final = output.chunk.final;
    if (final) {
      running_.erase(active);
      Admit(*next);
    }
    if (silenced) {
      continue;
    }
    if (duplicateNext_) {
      outputs.push_back(output);
      duplicateNext_ = false;
    }
    outputs.push_back(std::move(output));
  }
}

std::optional<TimePoint>
EngineSimulator::NextOutputAt() const
{
  if (!pendingLosses_.empty()) {
    return TimePoint{};
  }
  std::optional<TimePoint> next;
  for (const auto& [attempt, active] : running_) {
    if (!next || active.nextChunkAt < *next) {
      next = active.nextChunkAt;
    }
  }
  return next;
}

core::UpstreamLoadReport
EngineSimulator::Report(TimePoint aNow)
{
  if (aNow - reportedAt_ >= kReportInterval ||
      lastReport_.incarnation != incarnation_) {
    reportedAt_ = aNow;
    lastReport_.running =
      static_cast<uint32_t>(running_.size() + queue_.size());
  }
  lastReport_.incarnation = incarnation_;
  lastReport_.age = aNow - startedAt_;
  lastReport_.leaving = leaving_;
  return lastReport_;
}

void
EngineSimulator::Restart(TimePoint aNow)
{
  const auto reportLoss = [this](core::AttemptId aAttempt, bool aSilenced) {
    if (!aSilenced) {
      pendingLosses_.push_back(EngineOutput{ aAttempt, true, {} });
    }
  };
  for (const auto& [attempt, active] : running_) {
    reportLoss(attempt, active.silenced);
  }
  for (const EngineRequest& waiting : queue_) {
    reportLoss(waiting.attempt, false);
  }
  running_.clear();
  queue_.clear();
  prefixCache_.clear();
  ++incarnation_;
  startedAt_ = aNow;
}

void
EngineSimulator::SilenceOpenConnections()
{
  for (auto& [attempt, active] : running_) {
    active.silenced = true;
  }
}

} // namespace hibiscusnotch::standin
