#ifndef AUBURNSPRING_DECISION_UPSTREAM_SPEED_H
#define AUBURNSPRING_DECISION_UPSTREAM_SPEED_H

#include "auburnspring/base/time.h"
#include "auburnspring/decision/reported_load.h"

#include <optional>

namespace auburnspring {

/// How long work takes at one upstream, as a multiple of what its pool usually
/// takes at equal load: what lasts, learned from responses of all hosts, and
/// what the upstream reports of this moment.
class UpstreamSpeed {
public:
  /// Slowdowns are kept within this factor of 1.
  static constexpr double MaxSlowdown = 10;
  /// A change by more than this factor is told to peers.
  static constexpr double ToldChange = 1.2;

  /// Records that work took `ratio` times as long as usual in the pool.
  void observe(double ratio, TimePoint now);
  /// Applies what a peer has learned from a response at `observedAt`. False if
  /// it is not later than what this host knows.
  bool onStatement(double slowdown, TimePoint observedAt, TimePoint now);
  /// Records what the upstream reports with a response. `shown` is how long
  /// that response took, as a multiple of what was expected of the upstream
  /// without its report; 0 if not known.
  void onReport(const ReportedLoad &load, double shown, TimePoint now);

  /// The slowdown that lasts; 1 before the first observation.
  double lasting() const;
  /// The slowdown to expect of work that starts now.
  double current(TimePoint now) const;
  /// Requests that the upstream has reported as running or waiting, each
  /// counting less the older the report.
  double reportedRequests(TimePoint now) const;
  /// How far reports are believed, 0 to 1.
  double reportTrust() const { return reportTrust_; }

  /// When the newest observation was made; not set before the first.
  std::optional<TimePoint> observedAt() const { return observedAt_; }
  /// The slowdown has changed since noteTold().
  bool isNews() const;
  void noteTold();

private:
  /// Natural logarithm of the slowdown that lasts.
  double log_ = 0;
  double toldLog_ = 0;
  std::optional<TimePoint> observedAt_;
  std::optional<ReportedLoad> report_;
  TimePoint reportedAt_;
  double reportTrust_ = 1;
};

} // namespace auburnspring

#endif
