#include "hibiscusnotch/standin/platform_simulator.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace hibiscusnotch::standin {

namespace {

using core::PlatformOperation;
using core::PlatformResponse;
using core::PlatformStatus;

constexpr core::Duration kWatchTimeout{ 5'000'000 };
constexpr core::Duration kCallTimeout{ 1'000'000 };
constexpr std::size_t kMaxObjectBytes = 1024 * 1024;
constexpr std::string_view kConfigurationKey = "configuration";
constexpr std::string_view kBillPrefix = "bills/";

} // namespace

PlatformSimulator::PlatformSimulator(const core::Settings& aSettings,
                                     PlatformOptions aOptions)
  : settings_(aSettings)
  , options_(aOptions)
  , random_(aOptions.seed)
{
}

bool
PlatformSimulator::TryTakeToken(double& aTokens, double aRate, TimePoint aNow)
{
  const double elapsed = core::Seconds(aNow - refilledAt_);
  writeTokens_ = std::min(options_.writesPerSecond,
                          writeTokens_ + elapsed * options_.writesPerSecond);
  readTokens_ = std::min(options_.readsPerSecond,
                         readTokens_ + elapsed * options_.readsPerSecond);
  refilledAt_ = aNow;
  if (aRate <= 0 || aTokens < 1) {
    return false;
  }
  aTokens -= 1;
  return true;
}

std::optional<TimedResponse>
PlatformSimulator::Call(TimePoint aNow,
                        uint64_t aTag,
                        const core::CallPlatform& aCall,
                        Observations& aObservations)
{
  if (inOutage_) {
    return TimedResponse{ aNow + kCallTimeout,
                          PlatformResponse{
                            aCall.call, PlatformStatus::Lost, 0, {} } };
  }
  const bool write = aCall.operation == PlatformOperation::Create ||
                     aCall.operation == PlatformOperation::Update;
  const bool granted =
    write ? TryTakeToken(writeTokens_, options_.writesPerSecond, aNow)
          : TryTakeToken(readTokens_, options_.readsPerSecond, aNow);
  if (!granted) {
    return TimedResponse{ aNow + options_.latency,
                          PlatformResponse{
                            aCall.call, PlatformStatus::Unavailable, 0, {} } };
  }
  const auto object = objects_.find(aCall.key);
  const uint64_t version =
    object == objects_.end() ? 0 : object->second.version;
  if (aCall.operation == PlatformOperation::Watch && version <= aCall.version) {
    watches_.push_back(PendingWatch{
      aTag, aCall.call, aCall.key, aCall.version, aNow + kWatchTimeout });
    return std::nullopt;
  }
  TimedResponse timed{ aNow + options_.latency,
                       Execute(aNow, aCall, aObservations) };
  std::uniform_real_distribution<double> unit(0, 1);
  if (write && unit(random_) < options_.lostResponseShare) {
    timed.at = aNow + kCallTimeout;
    timed.response =
      PlatformResponse{ aCall.call, PlatformStatus::Lost, 0, {} };
  }
  return timed;
}

PlatformResponse
PlatformSimulator::Execute(TimePoint aNow,
                           const core::CallPlatform& aCall,
                           Observations& aObservations)
{
  const bool write = aCall.operation == PlatformOperation::Create ||
                     aCall.operation == PlatformOperation::Update;
  if (write) {
    ++writes_;
    return Store(aNow, aCall, aObservations);
  }
  ++reads_;
  const auto object = objects_.find(aCall.key);
  if (object == objects_.end()) {
    return PlatformResponse{ aCall.call, PlatformStatus::NotFound, 0, {} };
  }
  return PlatformResponse{
    aCall.call, PlatformStatus::Ok, object->second.version, object->second.body
  };
}

PlatformResponse
PlatformSimulator::Store(TimePoint aNow,
                         const core::CallPlatform& aCall,
                         Observations& aObservations)
{
  const auto object = objects_.find(aCall.key);
  const uint64_t version =
    object == objects_.end() ? 0 : object->second.version;
  const bool create = aCall.operation == PlatformOperation::Create;
  const bool preconditionMet = create ? version == 0 : version == aCall.version;
  if (!preconditionMet || aCall.body.size() > kMaxObjectBytes) {
    return PlatformResponse{
      aCall.call, PlatformStatus::Conflict, version, {}
    };
  }
  objects_[aCall.key] = StoredObject{ ++lastVersion_, aCall.body };
  if (aCall.key == kConfigurationKey) {
    std::string reason;
    const auto state =
      core::DecodeConfiguration(settings_, aCall.body, lastVersion_, reason);
    if (state) {
      aObservations.push_back(ConfigurationStored{ aNow, *state });
    }
  }
  return PlatformResponse{ aCall.call, PlatformStatus::Ok, lastVersion_, {} };
}

std::vector<std::pair<uint64_t, TimedResponse>>
PlatformSimulator::DueWatches(TimePoint aNow)
{
  std::vector<std::pair<uint64_t, TimedResponse>> due;
  if (inOutage_) {
    return due;
  }
  std::erase_if(watches_, [&](const PendingWatch& aWatch) {
    const auto object = objects_.find(aWatch.key);
    const bool exists = object != objects_.end();
    const bool changed = exists && object->second.version > aWatch.version;
    if (!changed && aNow < aWatch.expiresAt) {
      return false;
    }
    ++reads_;
    PlatformResponse response{ aWatch.call, PlatformStatus::NotFound, 0, {} };
    if (exists) {
      response.status = PlatformStatus::Ok;
      response.version = object->second.version;
      response.body = object->second.body;
    }
    due.emplace_back(aWatch.tag,
                     TimedResponse{ aNow + options_.latency, response });
    return true;
  });
  return due;
}

std::vector<BillStored>
PlatformSimulator::Bills() const
{
  std::map<std::string, uint64_t> bills;
  for (const auto& [key, object] : objects_) {
    if (!key.starts_with(kBillPrefix)) {
      continue;
    }
    const auto body = nlohmann::json::parse(object.body);
    for (const auto& [request, units] : body.items()) {
      bills.emplace(request, units.get<uint64_t>());
    }
  }
  std::vector<BillStored> stored;
  stored.reserve(bills.size());
  for (const auto& [key, units] : bills) {
    stored.push_back(BillStored{ key, units });
  }
  return stored;
}

} // namespace hibiscusnotch::standin
