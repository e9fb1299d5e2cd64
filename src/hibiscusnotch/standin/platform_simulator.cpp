#include "hibiscusnotch/standin/platform_simulator.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace hibiscusnotch::standin {

namespace {

using core::PlatformOperation;
using core::PlatformResponse;
using core::PlatformStatus;

constexpr core::Duration kWatchTime{ 5'000'000 };
constexpr core::Duration kLostAfter{ 1'000'000 };
constexpr std::size_t kMaxObjectBytes = 1024 * 1024;
constexpr std::string_view kConfiguration = "configuration";
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
PlatformSimulator::TakeToken(double& aTokens, double aRate, TimePoint aNow)
{
  const double passed = core::Seconds(aNow - refilledAt_);
  writeTokens_ = std::min(options_.writesPerSecond,
                          writeTokens_ + passed * options_.writesPerSecond);
  readTokens_ = std::min(options_.readsPerSecond,
                         readTokens_ + passed * options_.readsPerSecond);
  refilledAt_ = aNow;
  if (aRate <= 0 || aTokens < 1) {
    return false;
  }
  aTokens -= 1;
  return true;
}

std::optional<TimedAnswer>
PlatformSimulator::Call(TimePoint aNow,
                        uint64_t aTag,
                        const core::CallPlatform& aCall,
                        Observations& aSeen)
{
  if (out_) {
    return TimedAnswer{ aNow + kLostAfter,
                        PlatformResponse{
                          aCall.call, PlatformStatus::Lost, 0, {} } };
  }
  const bool write = aCall.operation == PlatformOperation::Create ||
                     aCall.operation == PlatformOperation::Update;
  const bool granted =
    write ? TakeToken(writeTokens_, options_.writesPerSecond, aNow)
          : TakeToken(readTokens_, options_.readsPerSecond, aNow);
  if (!granted) {
    return TimedAnswer{ aNow + options_.latency,
                        PlatformResponse{
                          aCall.call, PlatformStatus::Unavailable, 0, {} } };
  }
  const auto object = objects_.find(aCall.key);
  const uint64_t version =
    object == objects_.end() ? 0 : object->second.version;
  if (aCall.operation == PlatformOperation::Watch && version <= aCall.version) {
    watches_.push_back(PendingWatch{
      aTag, aCall.call, aCall.key, aCall.version, aNow + kWatchTime });
    return std::nullopt;
  }
  TimedAnswer timed{ aNow + options_.latency, Execute(aNow, aCall, aSeen) };
  std::uniform_real_distribution<double> unit(0, 1);
  if (write && unit(random_) < options_.lostResponseShare) {
    timed.at = aNow + kLostAfter;
    timed.answer = PlatformResponse{ aCall.call, PlatformStatus::Lost, 0, {} };
  }
  return timed;
}

PlatformResponse
PlatformSimulator::Execute(TimePoint aNow,
                           const core::CallPlatform& aCall,
                           Observations& aSeen)
{
  const bool write = aCall.operation == PlatformOperation::Create ||
                     aCall.operation == PlatformOperation::Update;
  if (write) {
    ++writes_;
    return Store(aNow, aCall, aSeen);
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
                         Observations& aSeen)
{
  const auto object = objects_.find(aCall.key);
  const uint64_t version =
    object == objects_.end() ? 0 : object->second.version;
  const bool create = aCall.operation == PlatformOperation::Create;
  const bool holds = create ? version == 0 : version == aCall.version;
  if (!holds || aCall.body.size() > kMaxObjectBytes) {
    return PlatformResponse{
      aCall.call, PlatformStatus::Conflict, version, {}
    };
  }
  objects_[aCall.key] = StoredObject{ ++lastVersion_, aCall.body };
  if (aCall.key == kConfiguration) {
    std::string reason;
    const auto state =
      core::DecodeConfiguration(settings_, aCall.body, lastVersion_, reason);
    if (state) {
      aSeen.push_back(ConfigurationStored{ aNow, *state });
    }
  }
  return PlatformResponse{ aCall.call, PlatformStatus::Ok, lastVersion_, {} };
}

std::vector<std::pair<uint64_t, TimedAnswer>>
PlatformSimulator::DueWatches(TimePoint aNow)
{
  std::vector<std::pair<uint64_t, TimedAnswer>> due;
  if (out_) {
    return due;
  }
  std::erase_if(watches_, [&](const PendingWatch& aWatch) {
    const auto object = objects_.find(aWatch.key);
    const bool exists = object != objects_.end();
    const bool news = exists && object->second.version > aWatch.version;
    if (!news && aNow < aWatch.expires) {
      return false;
    }
    ++reads_;
    PlatformResponse answer{ aWatch.call, PlatformStatus::NotFound, 0, {} };
    if (exists) {
      answer.status = PlatformStatus::Ok;
      answer.version = object->second.version;
      answer.body = object->second.body;
    }
    due.emplace_back(aWatch.tag,
                     TimedAnswer{ aNow + options_.latency, answer });
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
