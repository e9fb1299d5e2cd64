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

/// @brief What one instance knows about an upstream's process.
struct UpstreamStatus
{
  UpstreamId upstream;
  uint64_t incarnation = 0;
  bool lost = false;    ///< The sender just lost its connections to it.
  uint32_t running = 0; ///< The sender's requests that run on it.
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
  bool accepted = false; ///< The caller received this answer.
  bool good = false;
};

/// @brief The sender's latest knowledge of a third instance's liveness.
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

/// @brief A configuration that is newer than the receiver's.
struct ConfigurationUpdate
{
  uint64_t revision = 0;
  std::string body;
};

struct ConfigurationRequest
{};

/// @brief Asks the home of a bucket to grant one owner the claim on a
/// request.
struct ClaimRequest
{
  std::string key;   ///< Organisation and request id.
  std::string owner; ///< The only attempt that may run it.
};

enum class ClaimState
{
  Granted,    ///< Only the owner may run the request.
  InProgress, ///< Another owner holds the claim; its outcome is unknown.
  Done,       ///< The outcome is known and returned.
  Unavailable ///< The platform could not be read; nothing is decided.
};

struct ClaimReply
{
  std::string key;
  std::string owner;
  ClaimState state = ClaimState::Unavailable;
  std::string outcome;
  uint64_t microUnits = 0; ///< The charge for the outcome.
};

/// @brief Completes a claim with an outcome, or releases it when the request
/// did not run.
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
  std::string key; ///< Organisation and request id; charged once.
  uint64_t microUnits = 0;
  uint64_t sequence = 0; ///< Assigned by the instance that made it.
};

struct BillBatch
{
  std::vector<Bill> bills;
  bool backup = false; ///< Written only if no BillsCommitted comes.
};

/// @brief The platform stores these bills, so their backups can be dropped.
struct BillsCommitted
{
  std::vector<uint64_t> sequences;
};

/// @brief The sender stores copies of these bills, or the platform committed
/// them.
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
  RequestHandle request = 0; ///< Zero: a copy for another home.
  bool broken = false;       ///< The session's previous version was withdrawn.
};

/// @brief Tells peers how many upstreams were lost while running a request.
struct UpstreamLossNotice
{
  uint64_t fingerprint = 0;
  uint32_t losses = 0;
};

/// @brief Pins for an instance that is one of their homes.
struct PinBatch
{
  std::vector<PinReply> pins;
};

/// @brief Answer statistics of one class, for one organisation or all of them,
/// and for one version or model.
struct AnswerStatisticsRow
{
  uint64_t key = 0;
  double answers = 0;
  double tokens = 0;
  std::vector<double> answersByBin; ///< By confidence bin, as are the next two.
  std::vector<double> ratedByBin;
  std::vector<double> goodByBin;
};

/// @brief The state of one version's trial, for an instance that joins.
struct TrialRow
{
  VersionId version;
  double cumulativeSum = 0;
  uint32_t good = 0;
};

/// @brief One model's usual share of bad answers to a class, in one confidence
/// bin.
struct BadAnswerRateRow
{
  std::string model;
  ClassId requestClass;
  uint8_t confidenceBin = 0;
  double bad = 0;
  double rated = 0;
};

/// @brief What a joining instance cannot know yet; a peer sends it.
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
