#ifndef BENCH_MEASURE_REPORT_H
#define BENCH_MEASURE_REPORT_H

#include "auburnspring/model/world.h"

#include <cstdint>
#include <map>
#include <string>

namespace bench {

/// What one run of one version has shown.
struct Report {
  std::size_t requests = 0;
  /// Share answered whole in time, of all and of the small organisations.
  double attainment = 0;
  double smallAttainment = 0;
  /// Attempts started for each request.
  double attemptsPerRequest = 0;
  /// Share of upstream time that no answer in time came of.
  double wastedShare = 0;
  /// Upstream milliseconds by pool for each answer in time.
  std::map<std::string, double> costByPool;
  double costPerAnswer = 0;
  /// Of streamed answers, in milliseconds.
  double firstTokenMedian = 0;
  double firstTokenP95 = 0;
  /// Time until a refusal, in milliseconds.
  double refusalP95 = 0;
  std::size_t violations = 0;
};

/// Deadline of a route by its name.
using Deadlines = std::map<std::string, auburnspring::Duration>;

/// Sums up a finished run. `slack` is the callers' own way there and back.
Report makeReport(auburnspring::World *world, const Deadlines &deadlines,
                  auburnspring::Duration slack,
                  const std::string &largeOrganisation);

} // namespace bench

#endif
