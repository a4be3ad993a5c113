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

/// Counters, gauges and latency histograms of a serving host.
class ServingMetrics {
public:
  ServingMetrics();

  /// Counts a finished request.
  void countRequest(const std::string &route, const std::string &outcome,
                    Duration elapsed);
  /// Records the time from a request to the first event of its stream.
  void observeFirstEvent(const std::string &route, Duration elapsed);
  void countAttempt(const std::string &pool, const std::string &end);
  void observeStage(const std::string &pool, Duration elapsed);
  void countRefusal(const std::string &reason);
  /// Counts a stream whose caller's connection was closed before its end.
  void countAbortedStream(const std::string &reason);
  /// Counts a request that resumes a stream: went on, or why it did not.
  void countResumption(const std::string &outcome);
  /// Counts a change of a prompt part's quarantine.
  void countQuarantine(const std::string &change);
  /// Counts a permit that was asked for, to send a request to an upstream that
  /// names a limit.
  void countPermit(const std::string &pool, bool granted);
  /// Counts a request that a host without reach and a peer deal with: `sent` to
  /// a peer, `taken` from one, or `refused` to one.
  void countHandOver(const std::string &side);
  /// Sets a gauge that is updated on each scrape.
  void set(const std::string &name, double value);

  /// Returns the metrics in Prometheus text format.
  std::string text() const;

private:
  prometheus::Registry registry_;
  prometheus::Family<prometheus::Counter> *requests_;
  prometheus::Family<prometheus::Histogram> *latency_;
  prometheus::Family<prometheus::Histogram> *firstEvent_;
  prometheus::Family<prometheus::Counter> *attempts_;
  prometheus::Family<prometheus::Histogram> *stages_;
  prometheus::Family<prometheus::Counter> *refusals_;
  prometheus::Family<prometheus::Counter> *abortedStreams_;
  prometheus::Family<prometheus::Counter> *resumptions_;
  prometheus::Family<prometheus::Counter> *quarantines_;
  prometheus::Family<prometheus::Counter> *permits_;
  prometheus::Family<prometheus::Counter> *handOvers_;
  prometheus::Family<prometheus::Gauge> *state_;
};

} // namespace auburnspring

#endif
