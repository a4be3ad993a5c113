#include "auburnspring/serving/serving_metrics.h"

#include <prometheus/text_serializer.h>

namespace auburnspring {

namespace {

/// Upper bounds in seconds, from a plain call to the longest deadline.
const prometheus::Histogram::BucketBoundaries latencyBuckets = {
    0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.2, 1.6, 2, 3, 5, 8, 12, 20};

double seconds(Duration span) {
  return static_cast<double>(span.count()) / 1e6;
}

} // namespace

ServingMetrics::ServingMetrics()
    : requests_(&prometheus::BuildCounter()
                     .Name("auburnspring_requests_total")
                     .Help("Requests by route and outcome")
                     .Register(registry_)),
      latency_(&prometheus::BuildHistogram()
                    .Name("auburnspring_request_seconds")
                    .Help("Time from a request to the end of its response")
                    .Register(registry_)),
      firstEvent_(&prometheus::BuildHistogram()
                       .Name("auburnspring_first_event_seconds")
                       .Help("Time from a request to its first event")
                       .Register(registry_)),
      attempts_(&prometheus::BuildCounter()
                     .Name("auburnspring_attempts_total")
                     .Help("Attempts at upstreams by pool and end")
                     .Register(registry_)),
      stages_(&prometheus::BuildHistogram()
                   .Name("auburnspring_stage_seconds")
                   .Help("Time of one stage of one request")
                   .Register(registry_)),
      refusals_(&prometheus::BuildCounter()
                     .Name("auburnspring_refusals_total")
                     .Help("Requests refused, by reason")
                     .Register(registry_)),
      abortedStreams_(&prometheus::BuildCounter()
                           .Name("auburnspring_aborted_streams_total")
                           .Help("Streams closed before their end, by reason")
                           .Register(registry_)),
      resumptions_(&prometheus::BuildCounter()
                        .Name("auburnspring_resumptions_total")
                        .Help("Requests that resume a stream, by outcome")
                        .Register(registry_)),
      quarantines_(
          &prometheus::BuildCounter()
               .Name("auburnspring_part_quarantines_total")
               .Help("Changes of the quarantine of prompt parts, by change")
               .Register(registry_)),
      permits_(&prometheus::BuildCounter()
                    .Name("auburnspring_permits_total")
                    .Help("Permits asked for to send a request to an upstream "
                          "that names a limit, by pool")
                    .Register(registry_)),
      handOvers_(&prometheus::BuildCounter()
                      .Name("auburnspring_hand_overs_total")
                      .Help("Requests that hosts without reach hand to peers")
                      .Register(registry_)),
      state_(&prometheus::BuildGauge()
                  .Name("auburnspring_state")
                  .Help("Current state of the host")
                  .Register(registry_)) {}

void ServingMetrics::countRequest(const std::string &route,
                                  const std::string &outcome,
                                  Duration elapsed) {
  requests_->Add({{"route", route}, {"outcome", outcome}}).Increment();
  latency_->Add({{"route", route}}, latencyBuckets).Observe(seconds(elapsed));
}

void ServingMetrics::observeFirstEvent(const std::string &route,
                                       Duration elapsed) {
  firstEvent_->Add({{"route", route}}, latencyBuckets)
      .Observe(seconds(elapsed));
}

void ServingMetrics::countAttempt(const std::string &pool,
                                  const std::string &end) {
  attempts_->Add({{"pool", pool}, {"end", end}}).Increment();
}

void ServingMetrics::observeStage(const std::string &pool, Duration elapsed) {
  stages_->Add({{"pool", pool}}, latencyBuckets).Observe(seconds(elapsed));
}

void ServingMetrics::countRefusal(const std::string &reason) {
  refusals_->Add({{"reason", reason}}).Increment();
}

void ServingMetrics::countAbortedStream(const std::string &reason) {
  abortedStreams_->Add({{"reason", reason}}).Increment();
}

void ServingMetrics::countResumption(const std::string &outcome) {
  resumptions_->Add({{"outcome", outcome}}).Increment();
}

void ServingMetrics::countQuarantine(const std::string &change) {
  quarantines_->Add({{"change", change}}).Increment();
}

void ServingMetrics::countHandOver(const std::string &side) {
  handOvers_->Add({{"side", side}}).Increment();
}

void ServingMetrics::countPermit(const std::string &pool, bool granted) {
  permits_->Add({{"pool", pool}, {"granted", granted ? "yes" : "no"}})
      .Increment();
}

void ServingMetrics::set(const std::string &name, double value) {
  state_->Add({{"of", name}}).Set(value);
}

std::string ServingMetrics::text() const {
  return prometheus::TextSerializer().Serialize(registry_.Collect());
}

} // namespace auburnspring
