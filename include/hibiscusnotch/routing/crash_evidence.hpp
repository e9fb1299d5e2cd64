/// @file
/// @brief Finds what the requests that crash upstreams have in common.
#pragma once

#include "hibiscusnotch/core/time.hpp"

#include <cstdint>
#include <limits>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <vector>

namespace hibiscusnotch::routing {

using core::Duration;
using core::TimePoint;

/// @brief Something that requests may have in common: their whole content, or a
/// part of their prompts.
struct RequestTrait
{
  /// @brief Specificity of a request's whole content.
  static constexpr uint32_t kWholeRequest =
    std::numeric_limits<uint32_t>::max();

  uint64_t hash = 0;
  /// @brief Position of the part in its prompt; fewer requests share later
  /// parts.
  uint32_t specificity = 0;
};

/// @brief A request with the trait was under way at an upstream that crashed.
struct LostTrait
{
  RequestTrait trait;
  TimePoint lostAt{};
  /// @brief It was sent there after it had lost another upstream, so the two
  /// crashes did not have one cause from outside.
  bool isRepeated = false;
};

/// @brief One crash, as instances tell each other.
struct ReportedCrash
{
  Duration age{ 0 };
  bool isRepeated = false;
};

/// @brief What instances tell each other about one trait.
struct TraitReport
{
  RequestTrait trait;
  /// @brief Time since an answer to a request with the trait was completed.
  std::optional<Duration> sinceCompletion;
  std::map<uint32_t, ReportedCrash> crashes; ///< By the incarnation's hash.
};

/// @brief A trait whose requests are refused from now on, or no longer.
struct QuarantineChange
{
  RequestTrait trait;
  bool quarantined = false;
  std::size_t crashes = 0;
};

/// @brief Collects crashes of upstreams by the traits of the requests that were
/// under way there, and quarantines the traits that explain them.
///
/// A crash makes all requests of its upstream suspect. The fatal trait is the
/// one that is part of every crash and of no completed answer. So completed
/// answers clear a trait; of the others the one with the most crashes is
/// quarantined, and its crashes no longer count for the rest.
///
/// Evidence of several instances is merged by union, so it may arrive in any
/// order and repeatedly.
class CrashEvidence
{
public:
  /// @brief Crashes after which a trait is quarantined.
  static constexpr std::size_t kMaxCrashes = 3;
  /// @brief The same for a trait whose requests were completed shortly before.
  static constexpr std::size_t kMaxCrashesAfterCompletion = 6;
  /// @brief Crashes closer together count as one, unless a request came to one
  /// from the other: upstreams may be killed at the same moment.
  static constexpr Duration kSimultaneous{ 300'000 };
  /// @brief How long crashes and completions are remembered.
  static constexpr Duration kMemory{ 120'000'000 };
  /// @brief How long a quarantined trait is remembered after its last crash.
  static constexpr Duration kQuarantineMemory{ 600'000'000 };
  /// @brief Time from a quarantined trait's last crash to its first trial;
  /// doubles with each further crash.
  static constexpr Duration kMinTrialInterval{ 20'000'000 };
  static constexpr std::size_t kMaxSuspects = 128;
  /// @brief Bounds the time of a decision.
  static constexpr std::size_t kMaxQuarantined = 32;
  static constexpr std::size_t kMaxCompletions = 4096;
  /// @brief Keeps a report within one packet.
  static constexpr std::size_t kMaxReportedTraits = 16;

  /// @brief An upstream's incarnation crashed while requests with the traits
  /// were under way there.
  void RecordCrash(uint32_t aIncarnation,
                   std::span<const LostTrait> aTraits,
                   TimePoint aNow);
  /// @brief A request with the traits was answered completely.
  void RecordCompletion(std::span<const RequestTrait> aTraits, TimePoint aNow);

  /// @brief True if requests with the trait must not be sent.
  bool IsQuarantined(uint64_t aTrait) const;
  bool AnyQuarantined() const;
  /// @brief True if a quarantined trait may be tried with one request; counts
  /// that request if so. Only one instance of the fleet may ask.
  bool TryTrial(uint64_t aTrait, TimePoint aNow);

  /// @brief What other instances should know, most important first.
  std::vector<TraitReport> Report(TimePoint aNow) const;
  void Merge(std::span<const TraitReport> aReports, TimePoint aNow);

  /// @brief Forgets old evidence.
  void Sweep(TimePoint aNow);
  /// @brief Changes since the last call, for the log.
  std::vector<QuarantineChange> TakeChanges();
  std::size_t SuspectCount() const { return suspects_.size(); }

private:
  struct Crash
  {
    TimePoint at{};
    bool isRepeated = false;
  };
  using Crashes = std::map<uint32_t, Crash>;
  struct Suspect
  {
    uint32_t specificity = 0;
    Crashes crashes; ///< After the last completion.
    std::optional<TimePoint> completedAt;
    std::optional<TimePoint> trialAt;
    bool quarantined = false;
    bool released = false; ///< Quarantined before its last completion.
    bool explained = false;
  };
  using Suspects = std::map<uint64_t, Suspect>;

  static std::size_t Count(const Crashes& aCrashes,
                           const std::set<uint32_t>& aExplained);
  static TimePoint LastCrash(const Crashes& aCrashes);

  /// Returns false if the crash was known or came before a completion.
  static bool AddCrash(Suspect& aSuspect,
                       uint32_t aIncarnation,
                       const Crash& aCrash);
  Suspect* FindOrAdd(const RequestTrait& aTrait, TimePoint aNow);
  void ApplyCompletion(Suspect& aSuspect, TimePoint aCompletedAt);
  void Decide(TimePoint aNow);

  Suspects suspects_;
  std::map<uint64_t, TimePoint> completions_;
  std::vector<QuarantineChange> changes_;
};

} // namespace hibiscusnotch::routing
