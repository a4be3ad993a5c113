#include "auburnspring/decision/upstream_speed.h"

#include <algorithm>
#include <cmath>

namespace auburnspring {

namespace {

/// Weight of an observation against what was known before it.
constexpr double ObservationWeight = 0.4;
/// An observation counts at most as this far (as a logarithm) from what was
/// known: three of them show a slow upstream, one that was held up does not.
constexpr double MaxStep = 0.8;
/// Two observations of different hosts within this time count alike.
constexpr Duration MergeWindow = std::chrono::seconds(1);
/// Statements pass on an observation with its age, which grows by transit.
constexpr Duration AgeTolerance = std::chrono::milliseconds(50);
/// A reported slowdown loses all but 1/e of its weight in this time, and the
/// reported number of requests in that one.
constexpr double SlowdownMillis = 300;
constexpr double RequestsMillis = 1000;
/// A response that differs by more than this factor from the reported slowdown
/// casts doubt on it.
constexpr double DoubtfulFactor = 2;
constexpr double DoubtWeight = 0.25;
constexpr double TrustWeight = 0.1;

double clampedLog(double ratio) {
  return std::log(std::clamp(ratio, 1 / UpstreamSpeed::MaxSlowdown,
                             UpstreamSpeed::MaxSlowdown));
}

double fresh(Duration age, double millis) {
  return std::exp(-std::max(toMillis(age), 0.0) / millis);
}

} // namespace

void UpstreamSpeed::observe(double ratio, TimePoint now) {
  if (!(ratio > 0))
    return;
  log_ += ObservationWeight *
          std::clamp(clampedLog(ratio) - log_, -MaxStep, MaxStep);
  observedAt_ = now;
}

bool UpstreamSpeed::onStatement(double slowdown, TimePoint observedAt,
                                TimePoint now) {
  observedAt = std::min(observedAt, now);
  if (!(slowdown > 0) ||
      (observedAt_ && observedAt <= *observedAt_ + AgeTolerance))
    return false;
  const double stated = clampedLog(slowdown);
  const bool merges = observedAt_ && observedAt < *observedAt_ + MergeWindow;
  log_ = merges ? (log_ + stated) / 2 : stated;
  observedAt_ = observedAt;
  return true;
}

void UpstreamSpeed::onReport(const ReportedLoad &load, double shown,
                             TimePoint now) {
  report_ = load;
  reportedAt_ = now;
  if (!(shown > 0) || load.slowdown == 1)
    return;
  const bool isDoubtful =
      std::abs(clampedLog(shown) - clampedLog(load.slowdown)) >
      std::log(DoubtfulFactor);
  reportTrust_ += isDoubtful ? -reportTrust_ * DoubtWeight
                             : (1 - reportTrust_) * TrustWeight;
}

double UpstreamSpeed::lasting() const { return std::exp(log_); }

double UpstreamSpeed::current(TimePoint now) const {
  if (!report_)
    return lasting();
  const double weight = reportTrust_ * fresh(now - reportedAt_, SlowdownMillis);
  return std::exp(log_ + weight * clampedLog(report_->slowdown));
}

double UpstreamSpeed::reportedRequests(TimePoint now) const {
  if (!report_)
    return 0;
  return static_cast<double>(report_->running + report_->waiting) *
         reportTrust_ * fresh(now - reportedAt_, RequestsMillis);
}

bool UpstreamSpeed::isNews() const {
  return std::abs(log_ - toldLog_) > std::log(ToldChange);
}

void UpstreamSpeed::noteTold() { toldLog_ = log_; }

} // namespace auburnspring
