#include "auburnspring/server/metrics_text.h"

#include <prometheus/metric_family.h>
#include <prometheus/text_serializer.h>

#include <vector>

namespace auburnspring {

namespace {

using prometheus::ClientMetric;
using prometheus::MetricFamily;
using prometheus::MetricType;
using Labels = std::vector<ClientMetric::Label>;

MetricFamily makeFamily(const char *name, const char *help, MetricType type) {
  MetricFamily result;
  result.name = name;
  result.help = help;
  result.type = type;
  return result;
}

void add(MetricFamily *family, Labels labels, double value) {
  ClientMetric metric;
  metric.label = std::move(labels);
  if (family->type == MetricType::Counter)
    metric.counter.value = value;
  else
    metric.gauge.value = value;
  family->metric.push_back(std::move(metric));
}

// A metric family with one time series per route and stage.
struct StageMetric {
  const char *name;
  const char *help;
  const char *field;
  double scale;
};

constexpr StageMetric StageMetrics[] = {
    {"auburnspring_stage_attempts_total", "Attempts of a stage", "attempts", 1},
    {"auburnspring_stage_retries_total", "Retries of a stage", "retries", 1},
    {"auburnspring_stage_hedges_total", "Hedges of a stage", "hedges", 1},
    {"auburnspring_stage_failures_total", "Failed attempts", "failures", 1},
    {"auburnspring_stage_busy_seconds_total", "Upstream time spent", "busy_ms",
     0.001},
    {"auburnspring_stage_wasted_seconds_total",
     "Upstream time that no answer came to use", "wasted_ms", 0.001},
    {"auburnspring_stage_prompt_tokens_total", "Prompt tokens", "prompt_tokens",
     1},
    {"auburnspring_stage_cached_tokens_total", "Prompt tokens found cached",
     "cached_tokens", 1},
    {"auburnspring_stage_generated_tokens_total", "Tokens generated",
     "generated_tokens", 1},
};

void addStages(const nlohmann::json &dump, std::vector<MetricFamily> *out) {
  for (const StageMetric &spec : StageMetrics) {
    MetricFamily metrics =
        makeFamily(spec.name, spec.help, MetricType::Counter);
    for (const auto &route : dump.at("routes").items())
      for (const nlohmann::json &stage : route.value().at("stages"))
        add(&metrics, {{"route", route.key()}, {"stage", stage.at("name")}},
            stage.at(spec.field).get<double>() * spec.scale);
    out->push_back(std::move(metrics));
  }
}

void addRoutes(const nlohmann::json &dump, std::vector<MetricFamily> *out) {
  MetricFamily outcomes = makeFamily("auburnspring_outcomes_total",
                                     "Final answers", MetricType::Counter);
  MetricFamily attained =
      makeFamily("auburnspring_attained_total",
                 "Whole answers within their deadline", MetricType::Counter);
  for (const auto &route : dump.at("routes").items()) {
    for (const auto &outcome : route.value().at("outcomes").items())
      add(&outcomes, {{"route", route.key()}, {"outcome", outcome.key()}},
          outcome.value().get<double>());
    add(&attained, {{"route", route.key()}},
        route.value().at("attained").get<double>());
  }
  out->push_back(std::move(outcomes));
  out->push_back(std::move(attained));
}

void addPools(const nlohmann::json &dump, std::vector<MetricFamily> *out) {
  MetricFamily limit = makeFamily("auburnspring_pool_limit",
                                  "Concurrency limit", MetricType::Gauge);
  MetricFamily inUse = makeFamily("auburnspring_pool_in_flight",
                                  "Attempts in flight", MetricType::Gauge);
  MetricFamily queued = makeFamily("auburnspring_pool_queued",
                                   "Parts that wait", MetricType::Gauge);
  for (const auto &pool : dump.at("directory").at("pools").items()) {
    const Labels labels{{"pool", pool.key()}};
    add(&limit, labels, pool.value().at("limit").get<double>());
    add(&inUse, labels, pool.value().at("in_use").get<double>());
    add(&queued, labels, pool.value().at("queued").get<double>());
  }
  out->push_back(std::move(limit));
  out->push_back(std::move(inUse));
  out->push_back(std::move(queued));
}

void addScalar(const nlohmann::json &value, const char *name, const char *help,
               MetricType type, std::vector<MetricFamily> *out) {
  MetricFamily metrics = makeFamily(name, help, type);
  add(&metrics, {},
      value.is_boolean() ? (value.get<bool>() ? 1.0 : 0.0)
                         : value.get<double>());
  out->push_back(std::move(metrics));
}

} // namespace

std::string metricsText(const nlohmann::json &dump) {
  std::vector<MetricFamily> families;
  addRoutes(dump, &families);
  addStages(dump, &families);
  addPools(dump, &families);
  addScalar(dump.at("ready"), "auburnspring_ready", "Ready for requests",
            MetricType::Gauge, &families);
  addScalar(dump.at("open_requests"), "auburnspring_open_requests",
            "Requests held", MetricType::Gauge, &families);
  addScalar(dump.at("configuration").at("generation"),
            "auburnspring_generation", "Configuration in force",
            MetricType::Gauge, &families);
  addScalar(dump.at("key_value").at("made"),
            "auburnspring_key_value_calls_total", "Key-value calls made",
            MetricType::Counter, &families);
  addScalar(dump.at("key_value").at("failed"),
            "auburnspring_key_value_failures_total", "Key-value calls failed",
            MetricType::Counter, &families);
  addScalar(dump.at("peer_mesh").at("bytes_sent"),
            "auburnspring_peer_bytes_sent_total", "Bytes sent to peers",
            MetricType::Counter, &families);
  addScalar(dump.at("ledger").at("writes"), "auburnspring_ledger_writes_total",
            "Ledger writes", MetricType::Counter, &families);
  addScalar(dump.at("ledger").at("operations_written"),
            "auburnspring_ledger_operations_total",
            "Claims, outcomes and releases written", MetricType::Counter,
            &families);
  return prometheus::TextSerializer().Serialize(families);
}

} // namespace auburnspring
