#include "hibiscusnotch/observe/metrics.hpp"

#include <array>
#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace hibiscusnotch::observe {

namespace {

struct MetricDescription
{
  const char* name;
  const char* help;
};

constexpr std::array kLatencyMetrics{
  MetricDescription{ "hibiscusnotch_first_token_seconds",
                     "Time from arrival to the first token" },
  MetricDescription{ "hibiscusnotch_between_tokens_seconds",
                     "Time between two tokens" },
  MetricDescription{ "hibiscusnotch_answer_seconds",
                     "Time from arrival to the last token" },
  MetricDescription{ "hibiscusnotch_queue_wait_seconds",
                     "Time from arrival to the first attempt" },
};
constexpr std::array kGauges{
  MetricDescription{ "hibiscusnotch_open_requests",
                     "Requests not yet answered" },
  MetricDescription{ "hibiscusnotch_queued_requests",
                     "Requests that wait for an upstream" },
  MetricDescription{ "hibiscusnotch_configuration_revision",
                     "Revision of the configuration in force" },
  MetricDescription{ "hibiscusnotch_live_instances",
                     "Instances that count as alive here" },
  MetricDescription{ "hibiscusnotch_store_era",
                     "Era of the store; rises when it is restored" },
  MetricDescription{ "hibiscusnotch_uplinks_lost",
                     "1 while no upstream can be reached" },
  MetricDescription{ "hibiscusnotch_limited_upstreams",
                     "Upstreams that state a limit on their requests" },
  MetricDescription{ "hibiscusnotch_unsent_bytes",
                     "Bytes held for callers that have not read them" },
  MetricDescription{ "hibiscusnotch_buffered_response_bytes",
                     "Memory of upstreams' responses until they are passed "
                     "on" },
  MetricDescription{ "hibiscusnotch_request_body_bytes",
                     "Bytes of the bodies of open requests" },
  MetricDescription{ "hibiscusnotch_unreadable_objects",
                     "Objects of the store that cannot be read and are "
                     "ignored" },
};
constexpr std::array kCounters{
  MetricDescription{ "hibiscusnotch_attempts_total",
                     "Attempts sent to upstreams" },
  MetricDescription{ "hibiscusnotch_retries_total",
                     "Attempts after a failed one" },
  MetricDescription{ "hibiscusnotch_escalations_total",
                     "Answers that a better version replaced" },
  MetricDescription{ "hibiscusnotch_crossed_chunks_total",
                     "Chunks that came late, doubled or crossed" },
  MetricDescription{ "hibiscusnotch_platform_calls_total",
                     "Calls to the platform's object API" },
  MetricDescription{ "hibiscusnotch_mesh_sent_bytes_total",
                     "Bytes of messages sent to other instances" },
  MetricDescription{ "hibiscusnotch_mesh_received_bytes_total",
                     "Bytes of messages received from other instances" },
  MetricDescription{ "hibiscusnotch_forwarded_requests_total",
                     "Requests sent through another instance" },
  MetricDescription{ "hibiscusnotch_slow_readers_ended_total",
                     "Exchanges ended as the budget of unsent bytes was used "
                     "up" },
  MetricDescription{ "hibiscusnotch_descriptor_shortages_total",
                     "Times in which connections could not be opened for lack "
                     "of descriptors or memory" },
  MetricDescription{ "hibiscusnotch_expected_cached_tokens_total",
                     "Prompt tokens that upstreams were expected to cache" },
  MetricDescription{ "hibiscusnotch_missed_cached_tokens_total",
                     "Those whose response time showed that they were not" },
};

const prometheus::Histogram::BucketBoundaries kLatencyBucketsSeconds{
  0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25,
  0.5,   1,      1.7,   2.5,  5,     10,   20,  60
};

class MetricsImplementation : public Metrics
{
public:
  MetricsImplementation()
  {
    for (const MetricDescription& description : kLatencyMetrics) {
      latencyFamilies_.push_back(&prometheus::BuildHistogram()
                                    .Name(description.name)
                                    .Help(description.help)
                                    .Register(registry_));
    }
    for (const MetricDescription& description : kGauges) {
      gauges_.push_back(&prometheus::BuildGauge()
                           .Name(description.name)
                           .Help(description.help)
                           .Register(registry_)
                           .Add({}));
    }
    for (const MetricDescription& description : kCounters) {
      counters_.push_back(&prometheus::BuildCounter()
                             .Name(description.name)
                             .Help(description.help)
                             .Register(registry_)
                             .Add({}));
    }
    listAges_ = &prometheus::BuildGauge()
                   .Name("hibiscusnotch_list_age_seconds")
                   .Help("Time since a list of objects was last known to match "
                         "the store, by kind")
                   .Register(registry_);
    answers_ = &prometheus::BuildCounter()
                  .Name("hibiscusnotch_answers_total")
                  .Help("Answered requests")
                  .Register(registry_);
    refusals_ = &prometheus::BuildCounter()
                   .Name("hibiscusnotch_refusals_total")
                   .Help("Refused requests by verdict and reason")
                   .Register(registry_);
  }

  void Observe(LatencyMetric aMetric,
               const MetricLabels& aLabels,
               core::Duration aTime) override
  {
    latencyFamilies_[static_cast<std::size_t>(aMetric)]
      ->Add({ { "organisation", aLabels.organisation },
              { "class", aLabels.requestClass } },
            kLatencyBucketsSeconds)
      .Observe(core::Seconds(aTime));
  }

  void CountAnswer(const MetricLabels& aLabels,
                   const std::string& aVersion) override
  {
    answers_
      ->Add({ { "organisation", aLabels.organisation },
              { "class", aLabels.requestClass },
              { "version", aVersion } })
      .Increment();
  }

  void CountRefusal(const MetricLabels& aLabels,
                    const core::Refusal& aRefusal) override
  {
    refusals_
      ->Add({ { "organisation", aLabels.organisation },
              { "class", aLabels.requestClass },
              { "verdict", std::string(core::ToString(aRefusal.verdict)) },
              { "reason", std::string(core::ToString(aRefusal.reason)) } })
      .Increment();
  }

  void Set(Gauge aGauge, double aValue) override
  {
    gauges_[static_cast<std::size_t>(aGauge)]->Set(aValue);
  }

  void SetListAge(const std::string& aKind, core::Duration aAge) override
  {
    listAges_->Add({ { "kind", aKind } }).Set(core::Seconds(aAge));
  }

  void RaiseTo(Counter aCounter, uint64_t aTotal) override
  {
    prometheus::Counter& counter =
      *counters_[static_cast<std::size_t>(aCounter)];
    counter.Increment(static_cast<double>(aTotal) - counter.Value());
  }

  std::string PrometheusText() const override
  {
    return prometheus::TextSerializer().Serialize(registry_.Collect());
  }

private:
  prometheus::Registry registry_;
  std::vector<prometheus::Family<prometheus::Histogram>*> latencyFamilies_;
  std::vector<prometheus::Gauge*> gauges_;
  std::vector<prometheus::Counter*> counters_;
  prometheus::Family<prometheus::Gauge>* listAges_ = nullptr;
  prometheus::Family<prometheus::Counter>* answers_ = nullptr;
  prometheus::Family<prometheus::Counter>* refusals_ = nullptr;
};

} // namespace

std::unique_ptr<Metrics>
MakeMetrics()
{
  return std::make_unique<MetricsImplementation>();
}

} // namespace hibiscusnotch::observe
