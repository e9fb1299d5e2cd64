#include "hibiscusnotch/replay/trace_generator.hpp"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>
#include <ostream>
#include <random>
#include <vector>

namespace hibiscusnotch::replay {

namespace {

using Json = nlohmann::ordered_json;

constexpr double kSessionShare = 0.25;
constexpr double kResendShare = 0.03;
constexpr int kPrefixesPerOrganisation = 3;
constexpr double kBookingShare = 0.08;
constexpr double kLookupShare = 0.3;
/// Time constant of the backlog's decay, as a share of the trace's duration.
constexpr double kBacklogDecayShare = 0.25;

struct TimedLine
{
  double atMs = 0;
  Json line;
};

class Generator
{
public:
  Generator(const core::Settings& aSettings, const GeneratorOptions& aOptions)
    : settings_(aSettings)
    , options_(aOptions)
    , random_(aOptions.seed)
  {
  }

  std::vector<TimedLine> Generate()
  {
    double at = 0;
    const double end = options_.seconds * 1000;
    while (true) {
      const double decay = std::exp(-at / (end * kBacklogDecayShare));
      const double rate =
        options_.requestsPerSecond * (1 + options_.backlog * decay) / 1000;
      at += std::exponential_distribution<double>(rate)(random_);
      if (at >= end) {
        break;
      }
      AddRequest(at);
    }
    if (options_.faults) {
      AddFaults(end);
    }
    std::stable_sort(
      lines_.begin(), lines_.end(), [](const auto& aLeft, const auto& aRight) {
        return aLeft.atMs < aRight.atMs;
      });
    return std::move(lines_);
  }

private:
  double UniformDraw()
  {
    return std::uniform_real_distribution<double>(0, 1)(random_);
  }

  std::size_t UniformBelow(std::size_t aCount)
  {
    return std::uniform_int_distribution<std::size_t>(0, aCount - 1)(random_);
  }

  const core::Organisation& PickOrganisation()
  {
    std::vector<double> weights;
    for (const core::Organisation& organisation : settings_.organisations) {
      weights.push_back(organisation.weight);
    }
    weights.front() *= options_.greedyFactor;
    std::discrete_distribution<std::size_t> pick(weights.begin(),
                                                 weights.end());
    return settings_.organisations[pick(random_)];
  }

  /// Bookings and lookups have fixed shares; model requests get the rest.
  const core::RequestClass& PickClass()
  {
    std::vector<double> weights;
    for (const core::RequestClass& requestClass : settings_.classes) {
      const bool plain =
        settings_.At(requestClass.service).kind == core::ServiceKind::Plain;
      const double engineShare = 1 - kBookingShare - kLookupShare;
      const double share = !requestClass.repeatable ? kBookingShare
                           : plain                  ? kLookupShare
                                                    : engineShare / 2;
      weights.push_back(share);
    }
    std::discrete_distribution<std::size_t> pick(weights.begin(),
                                                 weights.end());
    return settings_.classes[pick(random_)];
  }

  void AddRequest(double aAtMs)
  {
    const core::Organisation& organisation = PickOrganisation();
    const core::RequestClass& requestClass = PickClass();
    const bool plain =
      settings_.At(requestClass.service).kind == core::ServiceKind::Plain;
    Json line;
    line["at_ms"] = std::round(aAtMs);
    line["organisation"] = organisation.name;
    line["service"] = settings_.At(requestClass.service).name;
    line["class"] = requestClass.name;
    line["request_id"] = "r" + std::to_string(++requests_);
    line["repeatable"] = requestClass.repeatable;
    line["prompt_tokens"] = plain ? 0 : 80 + UniformBelow(400);
    const std::size_t extraTokens = requestClass.critical ? 50 : 160;
    line["output_tokens"] = plain ? 1 : 24 + UniformBelow(extraTokens);
    if (!plain) {
      AddModelFields(line, organisation, requestClass);
    }
    lines_.push_back(TimedLine{ std::round(aAtMs), line });
    if (UniformDraw() <
        (requestClass.repeatable ? kResendShare / 3 : kResendShare * 3)) {
      line["at_ms"] = std::round(aAtMs + 900 + UniformDraw() * 1500);
      lines_.push_back(TimedLine{ line["at_ms"].get<double>(), line });
    }
  }

  void AddModelFields(Json& aLine,
                      const core::Organisation& aOrganisation,
                      const core::RequestClass& aClass)
  {
    aLine["prefix"] = aOrganisation.name + "-" +
                      std::to_string(UniformBelow(kPrefixesPerOrganisation));
    // Most requests are easy; critical ones are harder on average.
    const double minDifficulty = aClass.critical ? 0.15 : 0.0;
    const double draw = std::pow(UniformDraw(), 1.6);
    aLine["difficulty"] =
      std::round((minDifficulty + draw * (1.0 - minDifficulty)) * 1000) / 1000;
    if (!aClass.critical && UniformDraw() < kSessionShare) {
      aLine["session"] =
        "s-" + aOrganisation.name + "-" + std::to_string(UniformBelow(24));
    }
  }

  Json& AddEvent(double aAtMs, const std::string& aName)
  {
    Json line;
    line["at_ms"] = std::round(aAtMs);
    line["event"] = aName;
    lines_.push_back(TimedLine{ std::round(aAtMs), std::move(line) });
    return lines_.back().line;
  }

  const core::Upstream& EngineOf(std::size_t aZone, std::size_t aNumber)
  {
    std::vector<const core::Upstream*> engines;
    for (const core::Upstream& upstream : settings_.upstreams) {
      const bool engine =
        settings_.At(upstream.service).kind == core::ServiceKind::Engine;
      if (engine && upstream.zone.value == aZone % settings_.zones.size()) {
        engines.push_back(&upstream);
      }
    }
    return *engines[aNumber % engines.size()];
  }

  /// The version to roll out: one without initial exposure, if there is any.
  const core::Version* NewVersion() const
  {
    for (const core::Version& version : settings_.versions) {
      if (version.initialExposure <= 0) {
        return &version;
      }
    }
    return nullptr;
  }

  void AddRollOut(double aEnd)
  {
    const core::Version* version = NewVersion();
    if (!version) {
      return;
    }
    for (const auto& [share, exposure] :
         { std::pair(0.05, 0.2), { 0.25, 0.5 }, { 0.4, 1.0 } }) {
      Json& step = AddEvent(aEnd * share, "rollout");
      step["version"] = version->name;
      step["exposure"] = exposure;
    }
    AddEvent(aEnd * 0.42, "version_bad")["version"] = version->name;
    AddEvent(aEnd * 0.8, "withdraw")["version"] = version->name;
  }

  void AddPoison(double aAtMs)
  {
    for (const auto& requestClass : settings_.classes) {
      if (settings_.At(requestClass.service).kind !=
          core::ServiceKind::Engine) {
        continue;
      }
      Json line;
      line["at_ms"] = std::round(aAtMs);
      line["organisation"] = settings_.organisations.front().name;
      line["service"] = settings_.At(requestClass.service).name;
      line["class"] = requestClass.name;
      line["request_id"] = "poison";
      line["repeatable"] = true;
      line["prompt_tokens"] = 200;
      line["output_tokens"] = 60;
      line["crashes"] = true;
      lines_.push_back(TimedLine{ std::round(aAtMs), line });
      line["at_ms"] = std::round(aAtMs + 1500);
      line["request_id"] = "poison-again";
      lines_.push_back(TimedLine{ std::round(aAtMs + 1500), line });
      return;
    }
  }

  void AddFaults(double aEnd)
  {
    const std::size_t zones = settings_.zones.size();
    const std::size_t last = settings_.instances.size() - 1;
    AddRollOut(aEnd);
    AddEvent(aEnd * 0.12, "upstream_leave")["upstream"] = EngineOf(1, 1).name;
    AddEvent(aEnd * 0.18, "instance_replace")["instance"] =
      settings_.instances[1].name;
    AddEvent(aEnd * 0.22, "upstream_restart")["upstream"] = EngineOf(0, 0).name;
    AddPoison(aEnd * 0.3);
    const std::string& zone = settings_.zones[zones - 1].name;
    AddEvent(aEnd * 0.48, "zone_out")["zone"] = zone;
    AddEvent(aEnd * 0.62, "zone_in")["zone"] = zone;
    AddEvent(aEnd * 0.54, "instance_kill")["instance"] =
      settings_.instances[last].name;
    AddEvent(aEnd * 0.66, "silence")["upstream"] = EngineOf(0, 1).name;
    AddEvent(aEnd * 0.68, "crossed")["upstream"] = EngineOf(1, 0).name;
    AddEvent(aEnd * 0.72, "platform_out")["duration_ms"] =
      std::round(aEnd * 0.05);
    Json& cut = AddEvent(aEnd * 0.86, "zone_cut");
    cut["zone"] = settings_.zones[zones > 1 ? 1 : 0].name;
    cut["duration_ms"] = std::round(aEnd * 0.08);
  }

  const core::Settings& settings_;
  GeneratorOptions options_;
  std::mt19937_64 random_;
  std::vector<TimedLine> lines_;
  uint64_t requests_ = 0;
};

} // namespace

void
GenerateTrace(const core::Settings& aSettings,
              const GeneratorOptions& aOptions,
              std::ostream& aStream)
{
  for (const TimedLine& timed : Generator(aSettings, aOptions).Generate()) {
    aStream << timed.line.dump() << '\n';
  }
}

} // namespace hibiscusnotch::replay
