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
  return record.answer && record.answer->outcome == Outcome::Complete &&
         record.answeredAt - record.sentAt <=
             deadlines.at(record.route) + slack;
}

// Upstream time by pool, and the part of it that an answer in time came of:
// for each stage's part the longest attempt of such a request.
struct Spending {
  std::map<std::string, double> byPool;
  double all = 0;
  double useful = 0;
};

Spending sumSpending(World *world, const std::set<RequestKey> &answered) {
  Spending sum;
  std::map<std::tuple<std::uint64_t, RequestId, std::uint32_t, std::uint32_t>,
           double>
      used;
  for (FakeUpstream *upstream : world->upstreams()) {
    for (const FakeUpstream::Spent &spent : upstream->spent) {
      const AttemptId &id = spent.attempt;
      const double millis = toMillis(spent.busy);
      sum.all += millis;
      sum.byPool[upstream->options().pool] += millis;
      if (answered.count({id.incarnation, id.request}) == 0)
        continue;
      double &longest = used[{id.incarnation, id.request, id.stage, id.part}];
      longest = std::max(longest, millis);
    }
  }
  for (const auto &[part, millis] : used)
    sum.useful += millis;
  return sum;
}

} // namespace

Report makeReport(World *world, const Deadlines &deadlines, Duration slack,
                  const std::string &largeOrganisation) {
  Report report;
  std::set<RequestKey> answered;
  std::vector<double> firstTokens;
  std::vector<double> refusals;
  double inTime = 0;
  double small = 0;
  double smallInTime = 0;
  for (const CallerRecord &record : world->records()) {
    const bool good = isInTime(record, deadlines, slack);
    inTime += good;
    if (good)
      answered.insert({record.incarnation, record.request});
    if (record.organisation != largeOrganisation) {
      ++small;
      smallInTime += good;
    }
    if (record.firstToken && !record.streamed.empty())
      firstTokens.push_back(toMillis(*record.firstToken - record.sentAt));
    if (record.answer && record.answer->outcome == Outcome::NotRun)
      refusals.push_back(toMillis(record.answeredAt - record.sentAt));
  }
  report.requests = world->records().size();
  report.attainment = inTime / static_cast<double>(report.requests);
  report.smallAttainment = small > 0 ? smallInTime / small : 0;
  report.attemptsPerRequest = static_cast<double>(world->attemptsStarted) /
                              static_cast<double>(report.requests);
  const Spending spending = sumSpending(world, answered);
  report.wastedShare =
      spending.all > 0 ? 1 - spending.useful / spending.all : 0;
  for (const auto &[pool, millis] : spending.byPool)
    report.costByPool[pool] = millis / std::max(inTime, 1.0);
  report.costPerAnswer = spending.all / std::max(inTime, 1.0);
  report.firstTokenMedian = quantile(firstTokens, 0.5);
  report.firstTokenP95 = quantile(firstTokens, 0.95);
  report.refusalP95 = quantile(refusals, 0.95);
  report.violations = world->violations().size();
  return report;
}

} // namespace bench
