/// @file
/// @brief Messages between entry instances.
#pragma once

#include "hibiscusnotch/core/ids.hpp"
#include "hibiscusnotch/core/time.hpp"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace hibiscusnotch::core {

/// @brief What one instance knows of an upstream's process.
struct UpstreamStatus
{
  UpstreamId upstream;
  uint64_t incarnation = 0;
  bool lost = false;    ///< Its connections to the sender just ended.
  uint32_t running = 0; ///< Requests of the sender that run there.
  bool leaving = false;
};

/// @brief One answer's rating, or an error that counts as a bad answer.
struct Rating
{
  ClassId requestClass;
  OrganisationId organisation;
  VersionId version;
  uint8_t confidenceBin = 0;
  uint8_t step = 0;      ///< Of its plan; later steps get harder requests.
  bool accepted = false; ///< The caller got this answer.
  bool good = false;
};

/// @brief A liveness claim about a third instance.
struct MemberDigest
{
  InstanceId instance;
  uint64_t incarnation = 0;
  uint64_t sequence = 0;
  bool leaving = false;
};

struct Heartbeat
{
  uint64_t incarnation = 0;
  uint64_t sequence = 0;
  uint64_t configurationRevision = 0;
  bool leaving = false;
  std::vector<UpstreamStatus> upstreams;
  std::vector<Rating> ratings;
  std::vector<VersionId> halted;
  std::vector<MemberDigest> members;
};

/// @brief The body of a newer configuration than the receiver's.
struct ConfigurationUpdate
{
  uint64_t revision = 0;
  std::string body;
};

struct ConfigurationRequest
{};

/// @brief Asks a bucket's home to claim a request for one owner.
struct ClaimRequest
{
  std::string key;   ///< Organisation and request id.
  std::string owner; ///< The only try that may run it.
};

enum class ClaimState
{
  Granted,    ///< The owner alone may run the request.
  InProgress, ///< Another owner holds the claim; its outcome is unknown.
  Done,       ///< The outcome is known and given back.
  Unavailable ///< The platform could not be asked; nothing was decided.
};

struct ClaimReply
{
  std::string key;
  std::string owner;
  ClaimState state = ClaimState::Unavailable;
  std::string outcome;
  uint64_t microUnits = 0; ///< The charge that goes with the outcome.
};

/// @brief Ends a claim: with an outcome, or released because it did not run.
struct ClaimEnd
{
  std::string key;
  std::string owner;
  bool released = false;
  std::string outcome;
  uint64_t microUnits = 0;
};

/// @brief The charge for one answered request.
struct Bill
{
  std::string key; ///< Organisation and request id; counts once.
  uint64_t microUnits = 0;
  uint64_t sequence = 0; ///< Of the instance that made it.
};

struct BillBatch
{
  std::vector<Bill> bills;
  bool backup = false; ///< To be written only if the origin does not settle.
};

/// @brief The platform has these bills; backups of them can be dropped.
struct BillsCommitted
{
  std::vector<uint64_t> sequences;
};

/// @brief The receiver holds a copy, or the platform has committed it.
struct BillReceipt
{
  std::vector<uint64_t> sequences;
  bool committed = false;
};

struct PinRequest
{
  uint64_t session = 0;
  VersionId proposal;
  RequestHandle request = 0;
};

struct PinReply
{
  uint64_t session = 0;
  VersionId version;
  RequestHandle request = 0; ///< Zero: a copy for the next home.
  bool broken = false;       ///< The session's former version was withdrawn.
};

/// @brief Tells peers how many upstreams a request has taken down.
struct UpstreamLossNotice
{
  uint64_t fingerprint = 0;
  uint32_t losses = 0;
};

/// @brief Pins for the homes that should hold them.
struct PinBatch
{
  std::vector<PinReply> pins;
};

/// @brief One row of what was learnt about answers.
struct AnswerStatisticsRow
{
  uint64_t key = 0;
  double answers = 0;
  double tokens = 0;
  std::vector<double> answersByBin; ///< Indexed by confidence bin.
  std::vector<double> ratedByBin;
  std::vector<double> goodByBin;
};

/// @brief One version's trial, for an instance that joins.
struct TrialRow
{
  VersionId version;
  double cumulativeSum = 0;
  uint32_t good = 0;
};

/// @brief One model's usual share of bad answers to a class.
struct BadAnswerRateRow
{
  std::string model;
  ClassId requestClass;
  uint8_t confidenceBin = 0;
  double bad = 0;
  double rated = 0;
};

/// @brief What an instance that joins cannot know yet.
struct StateTransfer
{
  std::vector<UpstreamLossNotice> losses;
  std::vector<AnswerStatisticsRow> answerStatistics;
  std::vector<TrialRow> trials;
  std::vector<BadAnswerRateRow> badAnswerRates;
};

using PeerMessage = std::variant<Heartbeat,
                                 ConfigurationUpdate,
                                 ConfigurationRequest,
                                 ClaimRequest,
                                 ClaimReply,
                                 ClaimEnd,
                                 BillBatch,
                                 BillReceipt,
                                 BillsCommitted,
                                 PinRequest,
                                 PinReply,
                                 UpstreamLossNotice,
                                 PinBatch,
                                 StateTransfer>;

} // namespace hibiscusnotch::core
