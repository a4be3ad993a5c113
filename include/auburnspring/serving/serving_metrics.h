#ifndef AUBURNSPRING_SERVING_SERVING_METRICS_H
#define AUBURNSPRING_SERVING_SERVING_METRICS_H

#include "auburnspring/base/time.h"

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <memory>
#include <string>

namespace auburnspring {

/// Counters and latency histograms of a serving host.
class ServingMetrics {
public:
  ServingMetrics();

  /// A request has its final answer.
  void countRequest(const std::string &route, const std::string &outcome,
                    Duration took);
  /// A stream's first event has been handed to its caller.
  void observeFirstEvent(const std::string &route, Duration took);
  void countAttempt(const std::string &pool, const std::string &end);
  void observeStage(const std::string &pool, Duration took);
  void countRefusal(const std::string &reason);
  /// A figure that is read when the metrics are asked for.
  void set(const std::string &name, double value);

  /// Prometheus text.
  std::string text() const;

private:
  prometheus::Registry registry_;
  prometheus::Family<prometheus::Counter> *requests_;
  prometheus::Family<prometheus::Histogram> *latency_;
  prometheus::Family<prometheus::Histogram> *firstEvent_;
  prometheus::Family<prometheus::Counter> *attempts_;
  prometheus::Family<prometheus::Histogram> *stages_;
  prometheus::Family<prometheus::Counter> *refusals_;
  prometheus::Family<prometheus::Gauge> *state_;
};

} // namespace auburnspring

#endif
