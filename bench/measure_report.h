#ifndef BENCH_MEASURE_REPORT_H
#define BENCH_MEASURE_REPORT_H

#include "auburnspring/model/simulation.h"

#include <cstdint>
#include <map>
#include <string>

namespace bench {

/// Results of one run of one version.
struct Report {
  std::size_t requests = 0;
  /// Share of requests completed in time: of all organisations, and of all but
  /// the large one.
  double attainment = 0;
  double smallAttainment = 0;
  /// Attempts started per request.
  double attemptsPerRequest = 0;
  /// Share of upstream time that did not contribute to a response in time.
  double wastedShare = 0;
  /// Upstream milliseconds per response in time, by pool and in total.
  std::map<std::string, double> costByPool;
  double costPerResponse = 0;
  /// Time to first token of streamed responses, in milliseconds.
  double firstTokenMedian = 0;
  double firstTokenP95 = 0;
  /// Time from request to refusal, in milliseconds.
  double refusalP95 = 0;
  std::size_t violations = 0;
};

/// Deadlines by route name.
using Deadlines = std::map<std::string, auburnspring::Duration>;

/// Summarises a finished run. `slack` is the network round trip between client
/// and host, which deadlines don't include.
Report makeReport(auburnspring::Simulation *simulation,
                  const Deadlines &deadlines, auburnspring::Duration slack,
                  const std::string &largeOrganisation);

} // namespace bench

#endif
