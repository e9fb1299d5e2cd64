/// @file
/// @brief A model engine or plain service without I/O.
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

/// @brief One request as an upstream gets it.
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
  bool crashes = false; ///< Takes the process down that runs it.
};

/// @brief What comes back: a chunk, or the loss of the connection.
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

/// @brief Continuous batching with a cold start, a prefix cache and faults.
class EngineSimulator
{
public:
  EngineSimulator(const core::Settings& aSettings,
                  core::UpstreamId aId,
                  std::vector<VersionBehaviour> aBehaviours,
                  TimePoint aStartedAt);

  /// @brief Offers a request; a cold process may fall over at once.
  SubmitResult Submit(TimePoint aNow,
                      const EngineRequest& aRequest,
                      Observations& aSeen);
  void Cancel(TimePoint aNow, core::AttemptId aAttempt);

  /// @brief Everything that comes out up to the time.
  std::vector<EngineOutput> Advance(TimePoint aNow);

  /// @brief When something comes out next.
  std::optional<TimePoint> Next() const;

  /// @brief The load report, as old as the report lag.
  core::UpstreamLoadReport Report(TimePoint aNow);

  /// @brief Ends the process and starts a new one; all work is lost.
  void Restart(TimePoint aNow);
  void SetLeaving(bool aLeaving) { leaving_ = aLeaving; }
  /// @brief Open connections go silent; new ones work.
  void SilenceOpen();
  /// @brief The next chunk of each running request comes twice and late.
  void CrossChunks() { crossed_ = true; }
  void SetDown(bool aDown) { down_ = aDown; }
  bool Down() const { return down_; }

  uint64_t Incarnation() const { return incarnation_; }
  std::size_t Running() const { return running_.size(); }
  bool Leaving() const { return leaving_; }
  /// @brief The price of all work so far, finished or not.
  double Cost() const { return cost_; }

private:
  struct Work
  {
    EngineRequest request;
    TimePoint nextAt;
    uint32_t done = 0;
    bool silent = false;
  };

  double Bears(TimePoint aNow) const;
  core::Duration ChunkTime(const Work& aWork) const;
  double Price(const EngineRequest& aRequest, uint32_t aTokens) const;
  core::Duration PrefillTime(const EngineRequest& aRequest);
  void Admit(TimePoint aNow);
  void Start(TimePoint aNow, const EngineRequest& aRequest);
  EngineOutput Emit(Work& aWork, TimePoint aAt);

  const core::Settings& settings_;
  core::UpstreamId id_;
  const core::Upstream& declared_;
  std::vector<VersionBehaviour> behaviours_;
  bool plain_ = false;
  TimePoint startedAt_;
  uint64_t incarnation_ = 1;
  bool leaving_ = false;
  bool crossed_ = false;
  bool down_ = false;
  double cost_ = 0;
  std::map<core::AttemptId, Work> running_;
  std::deque<EngineRequest> queue_;
  std::deque<uint64_t> cache_;
  std::vector<EngineOutput> due_;
  core::UpstreamLoadReport lastReport_;
  TimePoint reportedAt_;
};

} // namespace hibiscusnotch::standin
