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
At(const std::vector<double>& aSorted, double aShare)
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
ToJson(const std::map<std::string, Quantiles>& aRows)
{
  Json rows = Json::object();
  for (const auto& [name, quantiles] : aRows) {
    rows[name] = { { "p50", Rounded(quantiles.p50) },
                   { "p95", Rounded(quantiles.p95) },
                   { "p99", Rounded(quantiles.p99) },
                   { "samples", quantiles.samples } };
  }
  return rows;
}

/// Collects samples by name.
using Samples = std::map<std::string, std::vector<double>>;

std::map<std::string, Quantiles>
ToQuantiles(const Samples& aSamples)
{
  std::map<std::string, Quantiles> rows;
  for (const auto& [name, samples] : aSamples) {
    rows[name] = QuantilesOf(samples);
  }
  return rows;
}

/// Sorts the callers' observations into figures.
class FigureMaker
{
public:
  explicit FigureMaker(const core::Settings& aSettings)
    : settings_(aSettings)
  {
  }

  void Add(const SubmissionRecord& aRecord)
  {
    const std::string key =
      settings_.At(aRecord.organisation).name + "/" + aRecord.requestId;
    CallerOutcome& best =
      outcomes_.try_emplace(key, CallerOutcome::ConnectionLost).first->second;
    if (Rank(aRecord.outcome) > Rank(best)) {
      best = aRecord.outcome;
    }
    if (aRecord.reason != core::Reason::None) {
      ++figures_.refusalReasons[std::string(core::ToString(aRecord.reason))];
    }
    if (aRecord.outcome == CallerOutcome::Answered) {
      AddAnswer(aRecord);
    }
  }

  RunStatistics Finish()
  {
    figures_.requests = outcomes_.size();
    for (const auto& [key, outcome] : outcomes_) {
      figures_.answered += outcome == CallerOutcome::Answered ? 1 : 0;
      figures_.refusedNotRun += outcome == CallerOutcome::NotRun ? 1 : 0;
      figures_.mayHaveRun += outcome == CallerOutcome::MayHaveRun ? 1 : 0;
      figures_.lost += outcome == CallerOutcome::ConnectionLost ? 1 : 0;
    }
    double good = 0;
    double all = 0;
    for (const auto& [name, marks] : marks_) {
      double classGood = 0;
      for (const double mark : marks) {
        classGood += mark;
      }
      good += classGood;
      all += static_cast<double>(marks.size());
      figures_.qualityByClass[name] =
        classGood / static_cast<double>(marks.size());
    }
    figures_.quality = all > 0 ? good / all : 0;
    figures_.firstTokenByClass = ToQuantiles(firstByClass_);
    figures_.firstTokenByOrganisation = ToQuantiles(firstByOrganisation_);
    figures_.latencyByClass = ToQuantiles(lastByClass_);
    figures_.latencyByOrganisation = ToQuantiles(lastByOrganisation_);
    return std::move(figures_);
  }

private:
  static int Rank(CallerOutcome aOutcome)
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
    const core::RequestClass& row = settings_.At(aRecord.requestClass);
    const std::string& organisation = settings_.At(aRecord.organisation).name;
    const double first = core::Milliseconds(aRecord.firstToken - aRecord.sent);
    const double last = core::Milliseconds(aRecord.ended - aRecord.sent);
    firstByClass_[row.name].push_back(first);
    lastByClass_[row.name].push_back(last);
    firstByOrganisation_[organisation].push_back(first);
    lastByOrganisation_[organisation].push_back(last);
    if (settings_.At(row.service).kind == core::ServiceKind::Engine) {
      marks_[row.name].push_back(aRecord.good ? 1 : 0);
    }
    const bool bad = aRecord.badVersion && !aRecord.good;
    figures_.badVersionAnswers += bad ? 1 : 0;
    figures_.badVersionCritical += bad && row.critical ? 1 : 0;
  }

  const core::Settings& settings_;
  RunStatistics figures_;
  std::map<std::string, CallerOutcome> outcomes_;
  Samples marks_;
  Samples firstByClass_;
  Samples firstByOrganisation_;
  Samples lastByClass_;
  Samples lastByOrganisation_;
};

void
Require(std::vector<std::string>& aFailures,
        bool aHolds,
        const std::string& aName,
        double aSeen,
        double aStated)
{
  if (aHolds) {
    return;
  }
  std::ostringstream line;
  line << aName << ": " << aSeen << ", stated " << aStated;
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
  return Quantiles{ At(aMilliseconds, 0.5),
                    At(aMilliseconds, 0.95),
                    At(aMilliseconds, 0.99),
                    aMilliseconds.size() };
}

RunStatistics
ComputeStatistics(const core::Settings& aSettings,
                  std::span<const Observation> aSeen,
                  double aCost)
{
  FigureMaker maker(aSettings);
  for (const Observation& seen : aSeen) {
    if (const auto* record = std::get_if<SubmissionRecord>(&seen)) {
      maker.Add(*record);
    }
  }
  RunStatistics figures = maker.Finish();
  figures.cost = aCost;
  figures.violations = CheckGuarantees(aSettings, aSeen);
  return figures;
}

nlohmann::ordered_json
ToJson(const RunStatistics& aFigures)
{
  Json violations = Json::object();
  for (const auto& [name, count] : ViolationCounts(aFigures.violations)) {
    violations[name] = count;
  }
  Json quality = Json::object();
  for (const auto& [name, share] : aFigures.qualityByClass) {
    quality[name] = Rounded(share);
  }
  Json json;
  json["requests"] = aFigures.requests;
  json["answered"] = aFigures.answered;
  json["refused_not_run"] = aFigures.refusedNotRun;
  json["may_have_run"] = aFigures.mayHaveRun;
  json["lost"] = aFigures.lost;
  json["violations"] = violations;
  json["violation_details"] = aFigures.violations.details;
  json["cost"] = Rounded(aFigures.cost);
  json["quality"] = Rounded(aFigures.quality);
  json["quality_by_class"] = quality;
  json["bad_version_answers"] = aFigures.badVersionAnswers;
  json["bad_version_answers_critical"] = aFigures.badVersionCritical;
  json["refusal_reasons"] = aFigures.refusalReasons;
  json["ttft_ms"] = { { "class", ToJson(aFigures.firstTokenByClass) },
                      { "organisation",
                        ToJson(aFigures.firstTokenByOrganisation) } };
  json["latency_ms"] = { { "class", ToJson(aFigures.latencyByClass) },
                         { "organisation",
                           ToJson(aFigures.latencyByOrganisation) } };
  return json;
}

std::vector<std::string>
CheckExpectations(const nlohmann::json& aExpected,
                  const RunStatistics& aFigures)
{
  std::vector<std::string> failures;
  const double allowed = aExpected.value("violations_at_most", 0.0);
  for (const auto& [name, count] : ViolationCounts(aFigures.violations)) {
    Require(failures,
            static_cast<double>(count) <= allowed,
            "violations." + name,
            static_cast<double>(count),
            allowed);
  }
  const double lost = aExpected.value("lost_at_most", 0.0);
  Require(failures,
          static_cast<double>(aFigures.lost) <= lost,
          "lost",
          static_cast<double>(aFigures.lost),
          lost);
  const double share = aFigures.requests == 0
                         ? 1
                         : static_cast<double>(aFigures.answered) /
                             static_cast<double>(aFigures.requests);
  const double answered = aExpected.value("answered_share_at_least", 0.0);
  Require(failures, share >= answered, "answered share", share, answered);
  const auto quality =
    aExpected.value("quality_at_least", nlohmann::json::object());
  for (const auto& [name, stated] : quality.items()) {
    const auto found = aFigures.qualityByClass.find(name);
    const double seen =
      found == aFigures.qualityByClass.end() ? 0 : found->second;
    Require(failures,
            seen >= stated.get<double>(),
            "quality of " + name,
            seen,
            stated.get<double>());
  }
  const auto firstToken =
    aExpected.value("ttft_p95_ms_at_most", nlohmann::json::object());
  for (const auto& [name, stated] : firstToken.items()) {
    const auto found = aFigures.firstTokenByClass.find(name);
    const bool seen = found != aFigures.firstTokenByClass.end();
    Require(failures,
            seen && found->second.p95 <= stated.get<double>(),
            "first token p95 of " + name,
            seen ? found->second.p95 : -1,
            stated.get<double>());
  }
  return failures;
}

std::string
Summary(const RunStatistics& aFigures)
{
  std::ostringstream text;
  text << std::fixed << std::setprecision(3);
  text << "  requests " << aFigures.requests << ", answered "
       << aFigures.answered << ", refused not_run " << aFigures.refusedNotRun
       << ", may_have_run " << aFigures.mayHaveRun << ", lost " << aFigures.lost
       << "\n";
  text << "  cost " << aFigures.cost << ", quality " << aFigures.quality
       << ", bad answers of a bad version " << aFigures.badVersionAnswers
       << "\n";
  for (const auto& [name, quantiles] : aFigures.firstTokenByClass) {
    text << "  " << std::left << std::setw(18) << name << " first token p50 "
         << std::right << std::setw(9) << quantiles.p50 << " ms, p95 "
         << std::setw(9) << quantiles.p95 << " ms";
    const auto quality = aFigures.qualityByClass.find(name);
    if (quality != aFigures.qualityByClass.end()) {
      text << ", quality " << quality->second;
    }
    text << "\n";
  }
  text << "  violations: " << aFigures.violations.Total() << "\n";
  for (const std::string& detail : aFigures.violations.details) {
    text << "    " << detail << "\n";
  }
  return text.str();
}

} // namespace hibiscusnotch::replay
