#include "hibiscusnotch/standin/engine_simulator.hpp"

#include <algorithm>
#include <cmath>

namespace hibiscusnotch::standin {

namespace {

constexpr uint32_t kTokensPerChunk = 8;
constexpr double kBatchSlowdown = 0.8; ///< Of the time per token, when full.
constexpr double kPrefillSecondsPerToken = 0.0003;
constexpr double kCachedPrefill = 0.2;
constexpr std::size_t kCachedPrefixes = 12;
constexpr std::size_t kQueueLimit = 32;
constexpr double kFallOver = 1.5; ///< Times what a cold process bears.
constexpr core::Duration kPlainTime{ 30'000 };
constexpr core::Duration kReportLag{ 500'000 };
constexpr core::Duration kCrashDelay{ 20'000 };

} // namespace

EngineSimulator::EngineSimulator(const core::Settings& aSettings,
                                 core::UpstreamId aId,
                                 std::vector<VersionBehaviour> aBehaviours,
                                 TimePoint aStartedAt)
  : settings_(aSettings)
  , id_(aId)
  , declared_(aSettings.At(aId))
  , behaviours_(std::move(aBehaviours))
  , plain_(aSettings.At(declared_.service).kind == core::ServiceKind::Plain)
  , startedAt_(aStartedAt)
{
  lastReport_.upstream = aId;
  lastReport_.incarnation = incarnation_;
}

double
EngineSimulator::Bears(TimePoint aNow) const
{
  const double ramp = core::Seconds(declared_.coldRamp);
  const double age = core::Seconds(aNow - startedAt_);
  if (age >= ramp) {
    return declared_.capacity;
  }
  const double room = declared_.capacity - declared_.coldFloor;
  return declared_.coldFloor + room * std::max(0.0, age / ramp);
}

SubmitResult
EngineSimulator::Submit(TimePoint aNow,
                        const EngineRequest& aRequest,
                        Observations& aSeen)
{
  if (leaving_) {
    return SubmitResult::Leaving;
  }
  if (queue_.size() >= kQueueLimit) {
    return SubmitResult::Busy;
  }
  const bool cold = aNow - startedAt_ < declared_.coldRamp;
  const std::size_t held = running_.size() + queue_.size() + 1;
  aSeen.push_back(ExecutionStarted{ aNow,
                                    id_,
                                    aRequest.version,
                                    aRequest.organisation,
                                    aRequest.requestId,
                                    static_cast<uint32_t>(held),
                                    static_cast<uint32_t>(Bears(aNow)),
                                    cold });
  if (cold && static_cast<double>(held) > Bears(aNow) * kFallOver) {
    Start(aNow, aRequest);
    Restart(aNow);
    return SubmitResult::Accepted;
  }
  if (running_.size() < declared_.capacity) {
    Start(aNow, aRequest);
    return SubmitResult::Accepted;
  }
  const auto later =
    std::find_if(queue_.begin(), queue_.end(), [&](const auto& aWaiting) {
      return aWaiting.priority < aRequest.priority;
    });
  queue_.insert(later, aRequest);
  return SubmitResult::Accepted;
}

core::Duration
EngineSimulator::PrefillTime(const EngineRequest& aRequest)
{
  if (plain_) {
    return kPlainTime;
  }
  double seconds = aRequest.promptTokens * kPrefillSecondsPerToken;
  const auto cached = std::find(cache_.begin(), cache_.end(), aRequest.prefix);
  if (aRequest.prefix != 0 && cached != cache_.end()) {
    seconds *= kCachedPrefill;
    cache_.erase(cached);
  }
  if (aRequest.prefix != 0) {
    cache_.push_back(aRequest.prefix);
  }
  if (cache_.size() > kCachedPrefixes) {
    cache_.pop_front();
  }
  return core::FromSeconds(seconds);
}

core::Duration
EngineSimulator::ChunkTime(const Work& aWork) const
{
  if (plain_) {
    return core::Duration(0);
  }
  const double load = static_cast<double>(running_.size()) / declared_.capacity;
  const double perToken =
    behaviours_[aWork.request.version.value].secondsPerToken *
    (1 + kBatchSlowdown * load);
  const uint32_t left = aWork.request.outputTokens - aWork.done;
  return core::FromSeconds(perToken * std::min(left, kTokensPerChunk));
}

void
EngineSimulator::Start(TimePoint aNow, const EngineRequest& aRequest)
{
  Work work{ aRequest, aNow, aRequest.resumeOffset, false };
  const core::Duration prefill =
    aRequest.crashes ? kCrashDelay : PrefillTime(aRequest);
  work.nextAt = aNow + prefill + ChunkTime(work);
  cost_ += Price(aRequest, aRequest.promptTokens);
  running_[aRequest.attempt] = std::move(work);
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
  while (!queue_.empty() && running_.size() < declared_.capacity) {
    const EngineRequest next = queue_.front();
    queue_.pop_front();
    Start(aNow, next);
  }
}

EngineOutput
EngineSimulator::Emit(Work& aWork, TimePoint aAt)
{
  const EngineRequest& request = aWork.request;
  const std::string& version = settings_.At(request.version).name;
  EngineOutput output;
  output.attempt = request.attempt;
  core::AttemptChunk& chunk = output.chunk;
  chunk.attempt = request.attempt;
  chunk.offset = aWork.done;
  const uint32_t step = plain_ ? request.outputTokens : kTokensPerChunk;
  chunk.tokens = std::min(step, request.outputTokens - aWork.done);
  chunk.payload =
    AnswerText(request.requestId, version, chunk.offset, chunk.tokens);
  chunk.incarnation = incarnation_;
  chunk.leaving = leaving_;
  aWork.done += chunk.tokens;
  cost_ += Price(request, chunk.tokens);
  chunk.final = aWork.done >= request.outputTokens;
  if (chunk.final && !plain_) {
    chunk.confidence = AnswerConfidence(request.requestId,
                                        version,
                                        behaviours_[request.version.value],
                                        request.difficulty);
  }
  aWork.nextAt = aAt + ChunkTime(aWork);
  return output;
}

std::vector<EngineOutput>
EngineSimulator::Advance(TimePoint aNow)
{
  std::vector<EngineOutput> outputs = std::move(due_);
  due_.clear();
  while (true) {
    const auto next = Next();
    if (!next || *next > aNow) {
      return outputs;
    }
    const auto work =
      std::min_element(running_.begin(),
                       running_.end(),
                       [](const auto& aLeft, const auto& aRight) {
                         return aLeft.second.nextAt < aRight.second.nextAt;
                       });
    if (work->second.request.crashes) {
      Restart(*next);
      outputs.insert(outputs.end(), due_.begin(), due_.end());
      due_.clear();
      continue;
    }
    EngineOutput output = Emit(work->second, *next);
    const bool silent = work->second.silent;
    const bool final = output.chunk.final;
    if (final) {
      running_.erase(work);
      Admit(*next);
    }
    if (silent) {
      continue;
    }
    if (crossed_) {
      outputs.push_back(output);
      crossed_ = false;
    }
    outputs.push_back(std::move(output));
  }
}

std::optional<TimePoint>
EngineSimulator::Next() const
{
  if (!due_.empty()) {
    return TimePoint{};
  }
  std::optional<TimePoint> next;
  for (const auto& [attempt, work] : running_) {
    if (!next || work.nextAt < *next) {
      next = work.nextAt;
    }
  }
  return next;
}

core::UpstreamLoadReport
EngineSimulator::Report(TimePoint aNow)
{
  if (aNow - reportedAt_ >= kReportLag ||
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
  const auto lose = [this](core::AttemptId aAttempt, bool aSilent) {
    if (!aSilent) {
      due_.push_back(EngineOutput{ aAttempt, true, {} });
    }
  };
  for (const auto& [attempt, work] : running_) {
    lose(attempt, work.silent);
  }
  for (const EngineRequest& waiting : queue_) {
    lose(waiting.attempt, false);
  }
  running_.clear();
  queue_.clear();
  cache_.clear();
  ++incarnation_;
  startedAt_ = aNow;
}

void
EngineSimulator::SilenceOpen()
{
  for (auto& [attempt, work] : running_) {
    work.silent = true;
  }
}

} // namespace hibiscusnotch::standin
