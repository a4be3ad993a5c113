// Simulates two deployments at their present sizes and compares the product
// with the naive host under load and faults: attainment, time to first token
// and cost by stage.
#include "measure_report.h"

#include "auburnspring/model/naive_host.h"

#include <fmt/format.h>

#include <cstdlib>
#include <cstring>
#include <functional>
#include <random>
#include <vector>

namespace {

using namespace auburnspring;
using bench::Report;

constexpr std::uint64_t Seed = 4711;
constexpr Duration WarmUpDuration = std::chrono::seconds(8);
constexpr Duration LoadDuration = std::chrono::seconds(25);
constexpr Duration DrainDuration = std::chrono::seconds(12);

struct MixEntry {
  const char *route;
  const char *organisation;
  double share;
};

// One deployment: its size, routes and request mix.
struct Deployment {
  const char *name;
  std::size_t hosts;
  std::size_t engines;
  Duration internalLatency;
  Duration clientLatency;
  std::map<std::string, std::string> routes;
  bench::Deadlines deadlines;
  std::vector<MixEntry> mix;
  const char *largeOrganisation;
  /// Requests a second that saturate the engines at this mix.
  double capacity;
};

struct Route {
  const char *name;
  int deadlineMillis;
  int priority;
  double weight;
  int tokens;
  /// Pools of the stages before generation, or the single pool of a call.
  std::vector<std::string> pools;
  bool isCall = false;
  bool isNonRetryable = false;
};

std::string stageText(const std::string &pool, std::size_t index) {
  const std::string kind = pool == "encoders"     ? "encode"
                           : pool == "retrievers" ? "retrieve"
                           : pool == "rerankers"  ? "rerank"
                                                  : "call";
  const int parts = pool == "retrievers" ? 3 : 1;
  return fmt::format(R"({{"name":"s{}","kind":"{}","pool":"{}","parts":{},)"
                     R"("expected_ms":20}})",
                     index, kind, pool, parts);
}

std::string routeText(const Route &route) {
  std::string stages;
  for (std::size_t i = 0; i < route.pools.size(); ++i)
    stages += (i > 0 ? "," : "") + stageText(route.pools[i], i);
  if (!route.isCall)
    stages += fmt::format(R"(,{{"name":"generate","kind":"generate",)"
                          R"("pool":"engines","model":"m","max_tokens":{},)"
                          R"("expected_ms":{}}})",
                          route.tokens, 150 + route.tokens * 24);
  return fmt::format(R"({{"name":"{}","owner":"o","deadline_ms":{},)"
                     R"("repeat":"{}","priority":{},"attainment_weight":{},)"
                     R"("stages":[{}]}})",
                     route.name, route.deadlineMillis,
                     route.isNonRetryable ? "never" : "always", route.priority,
                     route.weight, stages);
}

// Slot seconds that one request takes on a fully loaded engine.
double engineSeconds(const Route &route) {
  if (route.isCall)
    return 0;
  return (0.150 + route.tokens * 0.020 * 1.5) * 1.06;
}

Deployment makeDeployment(const char *name, std::size_t hosts,
                          std::size_t engines, int internalMicros,
                          int clientMicros, const std::vector<Route> &routes,
                          std::vector<MixEntry> mix, const char *large) {
  Deployment deployment;
  deployment.name = name;
  deployment.hosts = hosts;
  deployment.engines = engines;
  deployment.internalLatency = Duration(internalMicros);
  deployment.clientLatency = Duration(clientMicros);
  deployment.largeOrganisation = large;
  double seconds = 0;
  for (const Route &route : routes) {
    deployment.routes[std::string(route.name) + ".route.json"] =
        routeText(route);
    deployment.deadlines[route.name] =
        std::chrono::milliseconds(route.deadlineMillis);
    for (const MixEntry &entry : mix)
      if (std::strcmp(entry.route, route.name) == 0)
        seconds += entry.share * engineSeconds(route);
  }
  deployment.mix = std::move(mix);
  deployment.capacity = static_cast<double>(engines) * 8 / seconds;
  return deployment;
}

Deployment bathrooms() {
  return makeDeployment(
      "bathrooms", 9, 20, 1000, 1000,
      {{"survey", 5000, 3, 0.9, 90, {"encoders", "retrievers", "rerankers"}},
       {"question", 4000, 4, 0.7, 45, {"encoders", "retrievers", "rerankers"}},
       {"tag", 2000, 6, 0.5, 6, {"encoders"}},
       {"booking", 3000, 1, 0.5, 0, {"grants"}, true, true}},
      {{"survey", "survey", 0.25},
       {"question", "questions", 0.3},
       {"tag", "enquiries", 0.35},
       {"booking", "grants", 0.05},
       {"question", "rota", 0.05}},
      "survey");
}

Deployment lobster() {
  return makeDeployment(
      "lobster", 8, 10, 500, 3000,
      {{"report", 5000, 6, 0.2, 100, {"encoders", "retrievers", "rerankers"}},
       {"note", 4000, 4, 0.5, 40, {"encoders", "retrievers"}},
       {"flag", 2000, 2, 0.7, 6, {"encoders"}},
       {"reservation", 3000, 1, 0.5, 0, {"stock"}, true, true},
       {"count", 1000, 2, 0.8, 0, {"stock"}, true, false}},
      {{"report", "pounds", 0.2},
       {"note", "buyers", 0.25},
       {"flag", "dispatch", 0.25},
       {"reservation", "agents", 0.1},
       {"count", "depots", 0.2}},
      "pounds");
}

// A load and the fault injected during it.
struct Case {
  const char *name;
  double load;
  std::function<void(Simulation *simulation)> fault;
  /// Factor on the request rate of the large organisation.
  double burst = 1;
  Duration reportInterval = std::chrono::milliseconds(500);
};

void failTenthOfEngines(Simulation *simulation) {
  const std::vector<FakeUpstream *> engines = simulation->pool("engines");
  for (std::size_t i = 0; i < engines.size(); i += 10) {
    engines[i]->faults.failFast = 0.3;
    engines[i]->faults.connectionLost = 0.3;
  }
}

std::vector<Case> cases() {
  return {
      {"steady, 0.7 of capacity", 0.7, nullptr},
      {"1.3 times capacity", 1.3, nullptr},
      {"2 times capacity", 2, nullptr},
      {"burst of the large organisation", 0.6, nullptr, 6},
      {"rerankers 6 times slower", 0.6,
       [](Simulation *simulation) {
         for (FakeUpstream *reranker : simulation->pool("rerankers"))
           reranker->faults.slowdown = 6;
       }},
      {"a tenth of engines failing", 0.7, failTenthOfEngines},
      {"one engine answers fast with errors", 0.7,
       [](Simulation *simulation) {
         simulation->pool("engines")[0]->faults.failFast = 1;
       }},
      {"key-value service down", 0.7,
       [](Simulation *simulation) {
         simulation->keyValue().faults.down = true;
       }},
      {"load reports 5 s old", 0.9, nullptr, 1, std::chrono::seconds(5)},
      {"connections of two engines silent", 0.7,
       [](Simulation *simulation) {
         simulation->pool("engines")[0]->faults.responseLost = 0.5;
         simulation->pool("engines")[1]->faults.responseLost = 0.5;
       }},
      {"an entry host killed", 0.7,
       [](Simulation *simulation) { simulation->kill(0); }},
      {"1.3 times and a tenth failing", 1.3, failTenthOfEngines},
  };
}

void addPool(Simulation *simulation, const char *pool, StageKind kind,
             std::size_t count, int millis, int slots) {
  for (std::size_t i = 0; i < count; ++i) {
    FakeUpstream::Options options;
    options.name = fmt::format("{}-{:02}", pool, i + 1);
    options.pool = pool;
    options.kind = kind;
    options.dataCentre = fmt::format("dc-{}", i % 4 + 1);
    options.slots = slots;
    options.serviceTime = std::chrono::milliseconds(millis);
    options.prefill = std::chrono::milliseconds(150);
    options.perToken = std::chrono::milliseconds(20);
    simulation->addUpstream(options);
  }
}

void scheduleLoad(Simulation *simulation, const Deployment &deployment,
                  const Case &testCase) {
  std::mt19937_64 random(Seed);
  const double seconds = static_cast<double>(LoadDuration.count()) / 1e6;
  std::uniform_real_distribution<double> arrivalMicros(
      0, static_cast<double>(LoadDuration.count()));
  std::uint64_t number = 0;
  for (const MixEntry &entry : deployment.mix) {
    const bool large =
        std::strcmp(entry.organisation, deployment.largeOrganisation) == 0;
    const double rate = deployment.capacity * testCase.load * entry.share *
                        (large ? testCase.burst : 1);
    const auto count = static_cast<std::uint64_t>(rate * seconds);
    for (std::uint64_t i = 0; i < count; ++i) {
      const Duration at(static_cast<std::int64_t>(arrivalMicros(random)));
      const std::uint64_t id = ++number;
      const std::size_t host = random() % simulation->hostCount();
      simulation->queue().after(at, [simulation, entry, id, host] {
        // The load balancer sends no requests to a host that is down.
        std::size_t up = host;
        while (simulation->host(up) == nullptr)
          up = (up + 1) % simulation->hostCount();
        simulation->call(up, entry.route, entry.organisation,
                         fmt::format("key-{}", id), fmt::format("body {}", id),
                         true, true);
      });
    }
  }
}

Report run(const Deployment &deployment, const Case &testCase,
           const Simulation::HostFactory &makeHost) {
  Simulation::Options options;
  options.seed = Seed;
  options.hosts = deployment.hosts;
  options.hostToUpstream = deployment.internalLatency;
  options.hostToHost = deployment.internalLatency;
  options.callerToHost = deployment.clientLatency;
  options.loadReportInterval = testCase.reportInterval;
  options.makeHost = makeHost;
  Simulation simulation(options);
  addPool(&simulation, "engines", StageKind::Generate, deployment.engines, 0,
          8);
  addPool(&simulation, "encoders", StageKind::Encode, 5, 10, 16);
  addPool(&simulation, "retrievers", StageKind::Retrieve, 5, 15, 32);
  addPool(&simulation, "rerankers", StageKind::Rerank, 5, 20, 16);
  addPool(&simulation, "grants", StageKind::Call, 5, 30, 8);
  addPool(&simulation, "stock", StageKind::Call, 5, 15, 8);
  simulation.start();
  simulation.publish(deployment.routes);
  simulation.runFor(WarmUpDuration);
  scheduleLoad(&simulation, deployment, testCase);
  if (testCase.fault)
    simulation.queue().after(std::chrono::seconds(5), [&simulation, &testCase] {
      testCase.fault(&simulation);
    });
  simulation.runFor(LoadDuration + DrainDuration);
  return bench::makeReport(&simulation, deployment.deadlines,
                           deployment.clientLatency * 2,
                           deployment.largeOrganisation);
}

void print(const char *version, const Report &report, double bound) {
  fmt::print(
      "  {:<8} {:>6.1f}% {:>6.1f}% {:>6.1f}% {:>5.2f} {:>6.1f}% {:>8.0f} "
      "{:>6.0f} {:>6.0f} {:>8.1f} {:>5}\n",
      version, 100 * report.attainment, 100 * bound,
      100 * report.smallAttainment, report.attemptsPerRequest,
      100 * report.wastedShare, report.costPerResponse, report.firstTokenMedian,
      report.firstTokenP95, report.refusalP95, report.violations);
}

void printCost(const Report &product, const Report &naive) {
  fmt::print("  cost by stage, ms an answer (product/naive):");
  for (const auto &[pool, millis] : product.costByPool) {
    const auto other = naive.costByPool.find(pool);
    fmt::print(" {} {:.0f}/{:.0f}", pool, millis,
               other == naive.costByPool.end() ? 0 : other->second);
  }
  fmt::print("\n");
}

void measure(const Deployment &deployment) {
  fmt::print("{}: {} hosts, {} engines, capacity {:.0f} req/s, seed {}\n",
             deployment.name, deployment.hosts, deployment.engines,
             deployment.capacity, Seed);
  fmt::print("  {:<8} {:>7} {:>7} {:>7} {:>5} {:>7} {:>8} {:>6} {:>6} {:>8} "
             "{:>5}\n",
             "version", "attain", "bound", "small", "att/r", "wasted", "ms/ans",
             "ft50", "ft95", "refuse95", "wrong");
  for (const Case &testCase : cases()) {
    double offered = 0;
    for (const MixEntry &entry : deployment.mix)
      offered += entry.share * (std::strcmp(entry.organisation,
                                            deployment.largeOrganisation) == 0
                                    ? testCase.burst
                                    : 1);
    // The engines can complete at most this share of the offered requests.
    const double bound = std::min(1.0, 1 / (testCase.load * offered));
    const Report product = run(deployment, testCase, makeEntryHost);
    const Report naive = run(deployment, testCase, makeNaiveHost);
    fmt::print(" {} ({} requests), attainment {:.2f} times the naive one\n",
               testCase.name, product.requests,
               product.attainment / std::max(naive.attainment, 0.001));
    print("product", product, bound);
    print("naive", naive, bound);
    printCost(product, naive);
  }
}

} // namespace

int main() {
  measure(bathrooms());
  measure(lobster());
  return EXIT_SUCCESS;
}
