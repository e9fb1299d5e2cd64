#include "configuration_system.hpp"

#include "hibiscusnotch/core/rendezvous.hpp"
#include "request_system.hpp"

#include <algorithm>

namespace hibiscusnotch::core {

namespace {

constexpr std::string_view kConfigurationKey = "configuration";
constexpr std::string_view kGuardName = "rollout-guard";
constexpr Duration kWatchTimeout{ 8'000'000 };
constexpr Duration kMaxConfigurationWait{ 3'000'000 };
constexpr Duration kMaxResyncTime{ 500'000 };
constexpr Duration kWatchRetryDelay{ 300'000 };
constexpr Duration kChangeRetryDelay{ 200'000 };
constexpr std::size_t kWatchersPerZone = 2;
constexpr std::size_t kMaxRecentWrites = 32;

bool
IsWatcher(const RouterState& aState)
{
  const auto ranked =
    RankInstances(StableHash(kConfigurationKey), aState.members.LiveInZone());
  const std::size_t count = std::min(kWatchersPerZone, ranked.size());
  const auto end = ranked.begin() + static_cast<std::ptrdiff_t>(count);
  return std::find(ranked.begin(), end, aState.options.self) != end;
}

CallId
CallConfigurationObject(RouterState& aState,
                        PlatformOperation aOperation,
                        uint64_t aVersion,
                        std::string aBody)
{
  const CallId call = aState.nextCall++;
  ++aState.counters.platformCalls;
  aState.Emit(CallPlatform{ call,
                            aOperation,
                            std::string(kConfigurationKey),
                            aVersion,
                            std::move(aBody) });
  return call;
}

void
ShareConfiguration(RouterState& aState)
{
  const ConfigurationTable& table = aState.configuration;
  for (const InstanceId peer : aState.members.HeartbeatTargets()) {
    aState.Send(peer, ConfigurationUpdate{ table.live.revision, table.body });
  }
}

void
FinishChange(RouterState& aState, bool aAccepted, std::string aDetail)
{
  ConfigurationTable& table = aState.configuration;
  const PendingChange change = std::move(table.changes.front());
  table.changes.pop_front();
  table.stage = ChangeStage::Idle;
  aState.EmitLog(aAccepted ? EventNumber::ConfigurationAccepted
                           : EventNumber::ConfigurationConflict,
                 "operator=" + change.operatorName + " " + aDetail);
  if (change.handle != 0) {
    aState.Emit(ReplyToAdmin{
      change.handle, aAccepted, table.live.revision, std::move(aDetail) });
  }
}

/// Encodes the configuration that results from applying the first pending
/// change.
std::string
ChangedBody(RouterState& aState, const LiveConfiguration& aBase)
{
  const PendingChange& change = aState.configuration.changes.front();
  LiveConfiguration next = Apply(aBase, change.change);
  next.changedBy = change.operatorName;
  next.recentWrites.push_back(change.writeId);
  if (next.recentWrites.size() > kMaxRecentWrites) {
    next.recentWrites.erase(next.recentWrites.begin());
  }
  return EncodeConfiguration(aState.settings, next);
}

void
WriteChange(RouterState& aState)
{
  ConfigurationTable& table = aState.configuration;
  const PlatformOperation operation = table.baseRevision == 0
                                        ? PlatformOperation::Create
                                        : PlatformOperation::Update;
  table.stage = ChangeStage::Writing;
  table.changeCall = CallConfigurationObject(
    aState, operation, table.baseRevision, table.changedBody);
}

void
RetryChange(RouterState& aState, ChangeStage aStage)
{
  aState.configuration.stage = aStage;
  aState.configuration.nextChange = aState.now + kChangeRetryDelay;
}

/// True when the configuration that was read contains this write.
bool
ContainsWrite(const LiveConfiguration& aState, const std::string& aWriteId)
{
  return std::find(aState.recentWrites.begin(),
                   aState.recentWrites.end(),
                   aWriteId) != aState.recentWrites.end();
}

void
HandleChangeRead(RouterState& aState, const PlatformResponse& aResponse)
{
  ConfigurationTable& table = aState.configuration;
  const ChangeStage stage = table.stage;
  const bool absent = aResponse.status == PlatformStatus::NotFound;
  if (aResponse.status != PlatformStatus::Ok && !absent) {
    RetryChange(aState, stage);
    return;
  }
  LiveConfiguration read;
  if (!absent) {
    ApplyConfiguration(aState, aResponse.version, aResponse.body);
    std::string reason;
    const auto decoded = DecodeConfiguration(
      aState.settings, aResponse.body, aResponse.version, reason);
    if (!decoded) {
      FinishChange(aState, false, "unreadable configuration: " + reason);
      return;
    }
    read = *decoded;
  }
  const PendingChange& change = table.changes.front();
  if (ContainsWrite(read, change.writeId)) {
    FinishChange(aState, true, "revision=" + std::to_string(read.revision));
    return;
  }
  const bool overtaken =
    stage != ChangeStage::Reading && read.revision != table.baseRevision;
  if (overtaken && change.handle != 0) {
    FinishChange(aState, false, "winner=" + read.changedBy);
    return;
  }
  table.baseRevision = read.revision;
  table.changedBody = ChangedBody(aState, read);
  WriteChange(aState);
}

void
HandleChangeWritten(RouterState& aState, const PlatformResponse& aResponse)
{
  ConfigurationTable& table = aState.configuration;
  switch (aResponse.status) {
    case PlatformStatus::Ok:
      ApplyConfiguration(aState, aResponse.version, table.changedBody);
      FinishChange(
        aState, true, "revision=" + std::to_string(aResponse.version));
      return;
    case PlatformStatus::Unavailable:
      RetryChange(aState, ChangeStage::Reading);
      return;
    case PlatformStatus::Conflict:
    case PlatformStatus::NotFound:
      RetryChange(aState, ChangeStage::ReadingWinner);
      table.nextChange = aState.now;
      return;
    case PlatformStatus::Lost:
      RetryChange(aState, ChangeStage::Verifying);
      return;
  }
}

void
HandleWatchResponse(RouterState& aState, const PlatformResponse& aResponse)
{
  ConfigurationTable& table = aState.configuration;
  table.watchCall = 0;
  if (aResponse.status == PlatformStatus::Ok) {
    table.known = true;
    if (aResponse.version > table.live.revision) {
      ApplyConfiguration(aState, aResponse.version, aResponse.body);
    }
    return;
  }
  if (aResponse.status == PlatformStatus::NotFound) {
    table.known = true;
    return;
  }
  table.nextWatch = aState.now + kWatchRetryDelay;
}

} // namespace

bool
ConfigurationReady(const RouterState& aState)
{
  return aState.configuration.known ||
         aState.now - aState.firstEventAt > kMaxConfigurationWait;
}

void
StartResync(RouterState& aState)
{
  aState.resyncUntil = aState.now + kMaxResyncTime;
  for (const InstanceId peer : aState.members.HeartbeatTargets()) {
    aState.Send(peer, ConfigurationRequest{});
  }
  aState.configuration.nextWatch = aState.now;
}

bool
IsResyncing(const RouterState& aState)
{
  return aState.now < aState.resyncUntil;
}

void
ApplyConfiguration(RouterState& aState,
                   uint64_t aRevision,
                   const std::string& aBody)
{
  ConfigurationTable& table = aState.configuration;
  if (aRevision <= table.live.revision) {
    return;
  }
  std::string reason;
  auto next = DecodeConfiguration(aState.settings, aBody, aRevision, reason);
  if (!next) {
    aState.EmitLog(EventNumber::ConfigurationUnreadable,
                   "revision=" + std::to_string(aRevision) + " " + reason);
    return;
  }
  const std::set<VersionId> before = table.live.withdrawn;
  table.live = std::move(*next);
  table.body = aBody;
  table.known = true;
  aState.resyncUntil = aState.now;
  aState.EmitLog(EventNumber::ConfigurationApplied,
                 "revision=" + std::to_string(aRevision));
  ShareConfiguration(aState);
  for (const VersionId version : before) {
    if (!table.live.withdrawn.contains(version)) {
      aState.rolloutGuard.Resume(version);
    }
  }
  for (const VersionId version : table.live.withdrawn) {
    ReplanQueue(aState, version);
  }
}

void
QueueChange(RouterState& aState, AdminChange aChange)
{
  ConfigurationTable& table = aState.configuration;
  const std::string writeId = aState.settings.At(aState.options.self).name +
                              "." + std::to_string(aState.options.incarnation) +
                              "." + std::to_string(++table.writes);
  table.changes.push_back(PendingChange{
    aChange.handle, aChange.change, std::move(aChange.operatorName), writeId });
}

void
HaltVersion(RouterState& aState, VersionId aVersion, bool aPropose)
{
  aState.rolloutGuard.Halt(aVersion);
  aState.EmitLog(EventNumber::VersionHalted,
                 "version=" + aState.settings.At(aVersion).name);
  aState.nextHeartbeat = aState.now;
  ReplanQueue(aState, aVersion);
  if (aPropose || IsWatcher(aState)) {
    QueueChange(
      aState,
      AdminChange{ 0, WithdrawVersion{ aVersion }, std::string(kGuardName) });
  }
}

void
AdvanceConfiguration(RouterState& aState)
{
  ConfigurationTable& table = aState.configuration;
  if (table.watchCall != 0 && aState.now >= table.watchTimeout) {
    table.watchCall = 0;
  }
  const bool wantsWatch = IsWatcher(aState) || !table.known;
  if (table.watchCall == 0 && wantsWatch && aState.now >= table.nextWatch) {
    const PlatformOperation operation =
      table.known ? PlatformOperation::Watch : PlatformOperation::Read;
    table.watchCall =
      CallConfigurationObject(aState, operation, table.live.revision, {});
    table.watchTimeout = aState.now + kWatchTimeout;
  }
  if (table.changes.empty() || aState.now < table.nextChange ||
      table.changeCall != 0) {
    return;
  }
  const PendingChange& change = table.changes.front();
  const auto* withdraw = std::get_if<WithdrawVersion>(&change.change);
  const bool alreadyWithdrawn =
    change.handle == 0 && withdraw &&
    table.live.withdrawn.contains(withdraw->version);
  if (alreadyWithdrawn) {
    table.changes.pop_front();
    table.stage = ChangeStage::Idle;
    return;
  }
  if (table.stage == ChangeStage::Idle) {
    table.stage = ChangeStage::Reading;
  }
  table.changeCall =
    CallConfigurationObject(aState, PlatformOperation::Read, 0, {});
}

bool
HandleConfigurationResponse(RouterState& aState,
                            const PlatformResponse& aResponse)
{
  ConfigurationTable& table = aState.configuration;
  if (aResponse.call == table.watchCall && table.watchCall != 0) {
    HandleWatchResponse(aState, aResponse);
    return true;
  }
  if (aResponse.call != table.changeCall || table.changeCall == 0) {
    return false;
  }
  table.changeCall = 0;
  if (table.stage == ChangeStage::Writing) {
    HandleChangeWritten(aState, aResponse);
  } else {
    HandleChangeRead(aState, aResponse);
  }
  return true;
}

} // namespace hibiscusnotch::core
