#include "hibiscusnotch/replay/report.hpp"

#include <algorithm>
#include <cmath>
#include <iomanip>
#include <nlohmann/json.hpp>
#include <sstream>

namespace hibiscusnotch::replay {

namespace {

using namespace standin;
using Json = nlohmann::ordered_json;

double
QuantileAt(const std::vector<double>& aSorted, double aShare)
{
  const double rank = std::ceil(aShare * static_cast<double>(aSorted.size()));
  const std::size_t index = static_cast<std::size_t>(std::max(1.0, rank)) - 1;
  return aSorted[std::min(index, aSorted.size() - 1)];
}

double
Rounded(double aValue)
{
  return std::round(aValue * 1000) / 1000;
}

Json
ToJson(const std::map<std::string, Quantiles>& aQuantiles)
{
  Json json = Json::object();
  for (const auto& [name, quantiles] : aQuantiles) {
    json[name] = { { "p50", Rounded(quantiles.p50) },
                   { "p95", Rounded(quantiles.p95) },
                   { "p99", Rounded(quantiles.p99) },
                   { "samples", quantiles.samples } };
  }
  return json;
}

/// Samples by class or organisation name.
using Samples = std::map<std::string, std::vector<double>>;

std::map<std::string, Quantiles>
ToQuantiles(const Samples& aSamples)
{
  std::map<std::string, Quantiles> json;
  for (const auto& [name, samples] : aSamples) {
    json[name] = QuantilesOf(samples);
  }
  return json;
}

/// Aggregates submission records into statistics.
class StatisticsBuilder
{
public:
  explicit StatisticsBuilder(const core::Settings& aSettings)
    : settings_(aSettings)
  {
  }

  void Add(const SubmissionRecord& aRecord)
  {
    const std::string key =
      settings_.At(aRecord.organisation).name + "/" + aRecord.requestId;
    CallerOutcome& best =
      outcomes_.try_emplace(key, CallerOutcome::ConnectionLost).first->second;
    if (OutcomeRank(aRecord.outcome) > OutcomeRank(best)) {
      best = aRecord.outcome;
    }
    if (aRecord.reason != core::Reason::None) {
      ++statistics_.refusalReasons[std::string(core::ToString(aRecord.reason))];
    }
    if (aRecord.outcome == CallerOutcome::Answered) {
      AddAnswer(aRecord);
    }
  }

  RunStatistics Finish()
  {
    statistics_.requests = outcomes_.size();
    for (const auto& [key, outcome] : outcomes_) {
      statistics_.answered += outcome == CallerOutcome::Answered ? 1 : 0;
      statistics_.refusedNotRun += outcome == CallerOutcome::NotRun ? 1 : 0;
      statistics_.mayHaveRun += outcome == CallerOutcome::MayHaveRun ? 1 : 0;
      statistics_.lost += outcome == CallerOutcome::ConnectionLost ? 1 : 0;
    }
    double good = 0;
    double all = 0;
    for (const auto& [name, samples] : qualitySamples_) {
      double classGood = 0;
      for (const double sample : samples) {
        classGood += sample;
      }
      good += classGood;
      all += static_cast<double>(samples.size());
      statistics_.qualityByClass[name] =
        classGood / static_cast<double>(samples.size());
    }
    statistics_.quality = all > 0 ? good / all : 0;
    statistics_.firstTokenByClass = ToQuantiles(firstTokenByClass_);
    statistics_.firstTokenByOrganisation =
      ToQuantiles(firstTokenByOrganisation_);
    statistics_.latencyByClass = ToQuantiles(latencyByClass_);
    statistics_.latencyByOrganisation = ToQuantiles(latencyByOrganisation_);
    return std::move(statistics_);
  }

private:
  static int OutcomeRank(CallerOutcome aOutcome)
  {
    switch (aOutcome) {
      case CallerOutcome::Answered:
        return 3;
      case CallerOutcome::MayHaveRun:
        return 2;
      case CallerOutcome::NotRun:
        return 1;
      case CallerOutcome::ConnectionLost:
        return 0;
    }
    return 0;
  }

  void AddAnswer(const SubmissionRecord& aRecord)
  {
    const core::RequestClass& requestClass = settings_.At(aRecord.requestClass);
    const std::string& organisation = settings_.At(aRecord.organisation).name;
    const double firstTokenMs =
      core::Milliseconds(aRecord.firstToken - aRecord.sent);
    const double latencyMs = core::Milliseconds(aRecord.ended - aRecord.sent);
    firstTokenByClass_[requestClass.name].push_back(firstTokenMs);
    latencyByClass_[requestClass.name].push_back(latencyMs);
    firstTokenByOrganisation_[organisation].push_back(firstTokenMs);
    latencyByOrganisation_[organisation].push_back(latencyMs);
    if (settings_.At(requestClass.service).kind == core::ServiceKind::Engine) {
      qualitySamples_[requestClass.name].push_back(aRecord.good ? 1 : 0);
    }
    const bool bad = aRecord.badVersion && !aRecord.good;
    statistics_.badVersionAnswers += bad ? 1 : 0;
    statistics_.badVersionCritical += bad && requestClass.critical ? 1 : 0;
  }

  const core::Settings& settings_;
  RunStatistics statistics_;
  std::map<std::string, CallerOutcome> outcomes_;
  Samples qualitySamples_;
  Samples firstTokenByClass_;
  Samples firstTokenByOrganisation_;
  Samples latencyByClass_;
  Samples latencyByOrganisation_;
};

void
AddFailureUnless(std::vector<std::string>& aFailures,
                 bool aHolds,
                 const std::string& aName,
                 double aActual,
                 double aExpected)
{
  if (aHolds) {
    return;
  }
  std::ostringstream line;
  line << aName << ": " << aActual << ", expected " << aExpected;
  aFailures.push_back(line.str());
}

} // namespace

Quantiles
QuantilesOf(std::vector<double> aMilliseconds)
{
  if (aMilliseconds.empty()) {
    return {};
  }
  std::sort(aMilliseconds.begin(), aMilliseconds.end());
  return Quantiles{ QuantileAt(aMilliseconds, 0.5),
                    QuantileAt(aMilliseconds, 0.95),
                    QuantileAt(aMilliseconds, 0.99),
                    aMilliseconds.size() };
}

RunStatistics
ComputeStatistics(const core::Settings& aSettings,
                  std::span<const Observation> aObservations,
                  double aCost)
{
  StatisticsBuilder builder(aSettings);
  for (const Observation& observation : aObservations) {
    if (const auto* record = std::get_if<SubmissionRecord>(&observation)) {
      builder.Add(*record);
    }
  }
  RunStatistics statistics = builder.Finish();
  statistics.cost = aCost;
  statistics.violations = CheckGuarantees(aSettings, aObservations);
  return statistics;
}

nlohmann::ordered_json
ToJson(const RunStatistics& aStatistics)
{
  Json violations = Json::object();
  for (const auto& [name, count] : ViolationCounts(aStatistics.violations)) {
    violations[name] = count;
  }
  Json quality = Json::object();
  for (const auto& [name, share] : aStatistics.qualityByClass) {
    quality[name] = Rounded(share);
  }
  Json json;
  json["requests"] = aStatistics.requests;
  json["answered"] = aStatistics.answered;
  json["refused_not_run"] = aStatistics.refusedNotRun;
  json["may_have_run"] = aStatistics.mayHaveRun;
  json["lost"] = aStatistics.lost;
  json["violations"] = violations;
  json["violation_details"] = aStatistics.violations.details;
  json["cost"] = Rounded(aStatistics.cost);
  json["quality"] = Rounded(aStatistics.quality);
  json["quality_by_class"] = quality;
  json["bad_version_answers"] = aStatistics.badVersionAnswers;
  json["bad_version_answers_critical"] = aStatistics.badVersionCritical;
  json["refusal_reasons"] = aStatistics.refusalReasons;
  json["ttft_ms"] = { { "class", ToJson(aStatistics.firstTokenByClass) },
                      { "organisation",
                        ToJson(aStatistics.firstTokenByOrganisation) } };
  json["latency_ms"] = { { "class", ToJson(aStatistics.latencyByClass) },
                         { "organisation",
                           ToJson(aStatistics.latencyByOrganisation) } };
  return json;
}

std::vector<std::string>
CheckExpectations(const nlohmann::json& aExpected,
                  const RunStatistics& aStatistics)
{
  std::vector<std::string> failures;
  const double allowed = aExpected.value("violations_at_most", 0.0);
  for (const auto& [name, count] : ViolationCounts(aStatistics.violations)) {
    AddFailureUnless(failures,
                     static_cast<double>(count) <= allowed,
                     "violations." + name,
                     static_cast<double>(count),
                     allowed);
  }
  const double lost = aExpected.value("lost_at_most", 0.0);
  AddFailureUnless(failures,
                   static_cast<double>(aStatistics.lost) <= lost,
                   "lost",
                   static_cast<double>(aStatistics.lost),
                   lost);
  const double share = aStatistics.requests == 0
                         ? 1
                         : static_cast<double>(aStatistics.answered) /
                             static_cast<double>(aStatistics.requests);
  const double answered = aExpected.value("answered_share_at_least", 0.0);
  AddFailureUnless(
    failures, share >= answered, "answered share", share, answered);
  const auto quality =
    aExpected.value("quality_at_least", nlohmann::json::object());
  for (const auto& [name, expected] : quality.items()) {
    const auto found = aStatistics.qualityByClass.find(name);
    const double actual =
      found == aStatistics.qualityByClass.end() ? 0 : found->second;
    AddFailureUnless(failures,
                     actual >= expected.get<double>(),
                     "quality of " + name,
                     actual,
                     expected.get<double>());
  }
  const auto firstToken =
    aExpected.value("ttft_p95_ms_at_most", nlohmann::json::object());
  for (const auto& [name, expected] : firstToken.items()) {
    const auto found = aStatistics.firstTokenByClass.find(name);
    const bool measured = found != aStatistics.firstTokenByClass.end();
    AddFailureUnless(failures,
                     measured && found->second.p95 <= expected.get<double>(),
                     "first token p95 of " + name,
                     measured ? found->second.p95 : -1,
                     expected.get<double>());
  }
  return failures;
}

std::string
Summary(const RunStatistics& aStatistics)
{
  std::ostringstream text;
  text << std::fixed << std::setprecision(3);
  text << "  requests " << aStatistics.requests << ", answered "
       << aStatistics.answered << ", refused not_run "
       << aStatistics.refusedNotRun << ", may_have_run "
       << aStatistics.mayHaveRun << ", lost " << aStatistics.lost << "\n";
  text << "  cost " << aStatistics.cost << ", quality " << aStatistics.quality
       << ", bad answers of a bad version " << aStatistics.badVersionAnswers
       << "\n";
  for (const auto& [name, quantiles] : aStatistics.firstTokenByClass) {
    text << "  " << std::left << std::setw(18) << name << " first token p50 "
         << std::right << std::setw(9) << quantiles.p50 << " ms, p95 "
         << std::setw(9) << quantiles.p95 << " ms";
    const auto quality = aStatistics.qualityByClass.find(name);
    if (quality != aStatistics.qualityByClass.end()) {
      text << ", quality " << quality->second;
    }
    text << "\n";
  }
  text << "  violations: " << aStatistics.violations.Total() << "\n";
  for (const std::string& detail : aStatistics.violations.details) {
    text << "    " << detail << "\n";
  }
  return text.str();
}

} // namespace hibiscusnotch::replay
