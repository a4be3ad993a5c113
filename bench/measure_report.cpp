#include "measure_report.h"

#include <algorithm>
#include <set>
#include <tuple>
#include <vector>

namespace bench {

using namespace auburnspring;

namespace {

using RequestKey = std::pair<std::uint64_t, RequestId>;

double quantile(std::vector<double> values, double q) {
  if (values.empty())
    return 0;
  std::sort(values.begin(), values.end());
  const auto last = static_cast<double>(values.size() - 1);
  return values[static_cast<std::size_t>(last * q)];
}

bool isInTime(const CallerRecord &record, const Deadlines &deadlines,
              Duration slack) {
  return record.response && record.response->outcome == Outcome::Complete &&
         record.respondedAt - record.sentAt <=
             deadlines.at(record.route) + slack;
}

// Upstream time by pool, in total, and the useful part of it: for each part of
// a stage of a request completed in time, its longest attempt.
struct UpstreamTime {
  std::map<std::string, double> byPool;
  double total = 0;
  double useful = 0;
};

UpstreamTime sumUpstreamTime(Simulation *simulation,
                             const std::set<RequestKey> &completedInTime) {
  UpstreamTime sum;
  std::map<std::tuple<std::uint64_t, RequestId, std::uint32_t, std::uint32_t>,
           double>
      longestAttempts;
  for (FakeUpstream *upstream : simulation->upstreams()) {
    for (const FakeUpstream::AttemptCost &spent : upstream->attemptCosts) {
      const AttemptId &id = spent.attempt;
      const double millis = toMillis(spent.busy);
      sum.total += millis;
      sum.byPool[upstream->options().pool] += millis;
      if (completedInTime.count({id.incarnation, id.request}) == 0)
        continue;
      double &longest =
          longestAttempts[{id.incarnation, id.request, id.stage, id.part}];
      longest = std::max(longest, millis);
    }
  }
  for (const auto &[part, millis] : longestAttempts)
    sum.useful += millis;
  return sum;
}

} // namespace

Report makeReport(Simulation *simulation, const Deadlines &deadlines,
                  Duration slack, const std::string &largeOrganisation) {
  Report report;
  std::set<RequestKey> completedInTime;
  std::vector<double> firstTokens;
  std::vector<double> refusals;
  double inTimeCount = 0;
  double smallCount = 0;
  double smallInTimeCount = 0;
  for (const CallerRecord &record : simulation->records()) {
    const bool attained = isInTime(record, deadlines, slack);
    inTimeCount += attained;
    if (attained)
      completedInTime.insert({record.incarnation, record.request});
    if (record.organisation != largeOrganisation) {
      ++smallCount;
      smallInTimeCount += attained;
    }
    if (record.firstTokenAt && !record.streamed.empty())
      firstTokens.push_back(toMillis(*record.firstTokenAt - record.sentAt));
    if (record.response && record.response->outcome == Outcome::NotRun)
      refusals.push_back(toMillis(record.respondedAt - record.sentAt));
  }
  report.requests = simulation->records().size();
  report.attainment = inTimeCount / static_cast<double>(report.requests);
  report.smallAttainment = smallCount > 0 ? smallInTimeCount / smallCount : 0;
  report.attemptsPerRequest = static_cast<double>(simulation->attemptsStarted) /
                              static_cast<double>(report.requests);
  const UpstreamTime upstreamTime =
      sumUpstreamTime(simulation, completedInTime);
  report.wastedShare =
      upstreamTime.total > 0 ? 1 - upstreamTime.useful / upstreamTime.total : 0;
  for (const auto &[pool, millis] : upstreamTime.byPool)
    report.costByPool[pool] = millis / std::max(inTimeCount, 1.0);
  report.costPerResponse = upstreamTime.total / std::max(inTimeCount, 1.0);
  report.firstTokenMedian = quantile(firstTokens, 0.5);
  report.firstTokenP95 = quantile(firstTokens, 0.95);
  report.refusalP95 = quantile(refusals, 0.95);
  report.violations = simulation->violations().size();
  return report;
}

} // namespace bench
