/// @file
/// @brief Simulates an upstream: an inference engine or a plain service.
#pragma once

#include "hibiscusnotch/core/event.hpp"
#include "hibiscusnotch/core/settings.hpp"
#include "hibiscusnotch/standin/observation.hpp"
#include "hibiscusnotch/standin/simulated_answer.hpp"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace hibiscusnotch::standin {

/// @brief One request as received by an upstream.
struct EngineRequest
{
  core::AttemptId attempt = 0;
  std::string requestId;
  core::OrganisationId organisation;
  core::VersionId version;
  uint32_t promptTokens = 0;
  uint32_t outputTokens = 1;
  uint32_t resumeOffset = 0;
  uint64_t prefix = 0;
  int priority = 0;
  double difficulty = 0;
  bool crashes = false; ///< Poison request: crashes the upstream process.
};

/// @brief A chunk of an answer, or the loss of the connection.
struct EngineOutput
{
  core::AttemptId attempt = 0;
  bool lost = false;
  core::AttemptChunk chunk;
};

enum class SubmitResult
{
  Accepted,
  Busy,
  Leaving,
};

/// @brief Simulates continuous batching, cold starts, prefix caching, faults.
///
/// Performs no I/O and reads no clock: callers pass the time in.
class EngineSimulator
{
public:
  EngineSimulator(const core::Settings& aSettings,
                  core::UpstreamId aId,
                  std::vector<VersionBehaviour> aBehaviours,
                  TimePoint aStartedAt);

  /// @brief Submits a request; an overloaded cold process crashes at once.
  SubmitResult Submit(TimePoint aNow,
                      const EngineRequest& aRequest,
                      Observations& aObservations);
  void Cancel(TimePoint aNow, core::AttemptId aAttempt);

  /// @brief Advances the simulation and returns the outputs due until then.
  std::vector<EngineOutput> Advance(TimePoint aNow);

  /// @brief The time of the next output, if any is pending.
  std::optional<TimePoint> NextOutputAt() const;

  /// @brief The load report, refreshed only once per report interval.
  core::UpstreamLoadReport Report(TimePoint aNow);

  /// @brief Simulates a process restart; all requests are lost.
  void Restart(TimePoint aNow);
  void SetLeaving(bool aLeaving) { leaving_ = aLeaving; }
  /// @brief Stops output on open connections; new ones work.
  void SilenceOpenConnections();
  /// @brief Delivers the next chunk twice.
  void DuplicateNextChunk() { duplicateNext_ = true; }
  void SetDown(bool aDown) { down_ = aDown; }
  bool Down() const { return down_; }

  uint64_t Incarnation() const { return incarnation_; }
  std::size_t Running() const { return running_.size(); }
  bool Leaving() const { return leaving_; }
  /// @brief The price of all tokens processed, of unfinished requests too.
  double Cost() const { return cost_; }

private:
  struct ActiveRequest
  {
    EngineRequest request;
    TimePoint nextChunkAt;
    uint32_t emittedTokens = 0;
    bool silenced = false;
  };

  double CapacityAt(TimePoint aNow) const;
  core::Duration ChunkTime(const ActiveRequest& aActive) const;
  double Price(const EngineRequest& aRequest, uint32_t aTokens) const;
  core::Duration PrefillTime(const EngineRequest& aRequest);
  void Admit(TimePoint aNow);
  void StartRequest(TimePoint aNow, const EngineRequest& aRequest);
  EngineOutput EmitChunk(ActiveRequest& aActive, TimePoint aAt);

  const core::Settings& settings_;
  core::UpstreamId id_;
  const core::Upstream& upstream_;
  std::vector<VersionBehaviour> behaviours_;
  bool plain_ = false;
  TimePoint startedAt_;
  uint64_t incarnation_ = 1;
  bool leaving_ = false;
  bool duplicateNext_ = false;
  bool down_ = false;
  double cost_ = 0;
  std::map<core::AttemptId, ActiveRequest> running_;
  std::deque<EngineRequest> queue_;
  std::deque<uint64_t> prefixCache_;
  std::vector<EngineOutput> pendingLosses_;
  core::UpstreamLoadReport lastReport_;
  TimePoint reportedAt_;
};

} // namespace hibiscusnotch::standin
