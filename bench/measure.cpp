// The two deployments at their sizes of today over small fakes, the product
// and the naive version side by side: attainment, first token and cost by
// stage under load and faults.
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
constexpr Duration Warm = std::chrono::seconds(8);
constexpr Duration Length = std::chrono::seconds(25);
constexpr Duration Drain = std::chrono::seconds(12);

struct MixEntry {
  const char *route;
  const char *organisation;
  double share;
};

// One deployment: its sizes, routes and the mix of its requests.
struct Deployment {
  const char *name;
  std::size_t hosts;
  std::size_t engines;
  Duration between;
  Duration fromClients;
  std::map<std::string, std::string> routes;
  bench::Deadlines deadlines;
  std::vector<MixEntry> mix;
  const char *largeOrganisation;
  /// Requests a second that the engines carry at this mix.
  double capacity;
};

struct Route {
  const char *name;
  int deadlineMillis;
  int priority;
  double weight;
  int tokens;
  /// Pools of the stages before generation, or the one pool of a call.
  std::vector<std::string> pools;
  bool call = false;
  bool never = false;
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
  if (!route.call)
    stages += fmt::format(R"(,{{"name":"generate","kind":"generate",)"
                          R"("pool":"engines","model":"m","max_tokens":{},)"
                          R"("expected_ms":{}}})",
                          route.tokens, 150 + route.tokens * 24);
  return fmt::format(R"({{"name":"{}","owner":"o","deadline_ms":{},)"
                     R"("repeat":"{}","priority":{},"attainment_weight":{},)"
                     R"("stages":[{}]}})",
                     route.name, route.deadlineMillis,
                     route.never ? "never" : "always", route.priority,
                     route.weight, stages);
}

// Slot seconds of a full engine for one request.
double engineSeconds(const Route &route) {
  if (route.call)
    return 0;
  return (0.150 + route.tokens * 0.020 * 1.5) * 1.06;
}

Deployment make(const char *name, std::size_t hosts, std::size_t engines,
                int betweenMicros, int clientMicros,
                const std::vector<Route> &routes, std::vector<MixEntry> mix,
                const char *large) {
  Deployment made;
  made.name = name;
  made.hosts = hosts;
  made.engines = engines;
  made.between = Duration(betweenMicros);
  made.fromClients = Duration(clientMicros);
  made.largeOrganisation = large;
  double seconds = 0;
  for (const Route &route : routes) {
    made.routes[std::string(route.name) + ".route.json"] = routeText(route);
    made.deadlines[route.name] =
        std::chrono::milliseconds(route.deadlineMillis);
    for (const MixEntry &entry : mix)
      if (std::strcmp(entry.route, route.name) == 0)
        seconds += entry.share * engineSeconds(route);
  }
  made.mix = std::move(mix);
  made.capacity = static_cast<double>(engines) * 8 / seconds;
  return made;
}

Deployment bathrooms() {
  return make(
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
  return make(
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

// A load and what is broken during it.
struct Case {
  const char *name;
  double load;
  std::function<void(World *world)> fault;
  /// The large organisation alone sends this many times its share.
  double burst = 1;
  Duration reportInterval = std::chrono::milliseconds(500);
};

void breakTenth(World *world) {
  const std::vector<FakeUpstream *> engines = world->pool("engines");
  for (std::size_t i = 0; i < engines.size(); i += 10) {
    engines[i]->faults.failFast = 0.3;
    engines[i]->faults.cut = 0.3;
  }
}

std::vector<Case> cases() {
  return {
      {"steady, 0.7 of capacity", 0.7, nullptr},
      {"1.3 times capacity", 1.3, nullptr},
      {"2 times capacity", 2, nullptr},
      {"burst of the large organisation", 0.6, nullptr, 6},
      {"rerankers 6 times slower", 0.6,
       [](World *world) {
         for (FakeUpstream *one : world->pool("rerankers"))
           one->faults.slowdown = 6;
       }},
      {"a tenth of engines failing", 0.7, breakTenth},
      {"one engine answers fast with errors", 0.7,
       [](World *world) { world->pool("engines")[0]->faults.failFast = 1; }},
      {"key-value service down", 0.7,
       [](World *world) { world->keyValue().faults.down = true; }},
      {"load reports 5 s old", 0.9, nullptr, 1, std::chrono::seconds(5)},
      {"connections of two engines silent", 0.7,
       [](World *world) {
         world->pool("engines")[0]->faults.silent = 0.5;
         world->pool("engines")[1]->faults.silent = 0.5;
       }},
      {"an entry host killed", 0.7, [](World *world) { world->kill(0); }},
      {"1.3 times and a tenth failing", 1.3, breakTenth},
  };
}

void addPool(World *world, const char *pool, StageKind kind, std::size_t count,
             int millis, int slots) {
  for (std::size_t i = 0; i < count; ++i) {
    FakeUpstream::Options options;
    options.name = fmt::format("{}-{:02}", pool, i + 1);
    options.pool = pool;
    options.kind = kind;
    options.dataCentre = fmt::format("dc-{}", i % 4 + 1);
    options.slots = slots;
    options.service = std::chrono::milliseconds(millis);
    options.prefill = std::chrono::milliseconds(150);
    options.perToken = std::chrono::milliseconds(20);
    world->addUpstream(options);
  }
}

void planLoad(World *world, const Deployment &deployment, const Case &one) {
  std::mt19937_64 random(Seed);
  const double seconds = static_cast<double>(Length.count()) / 1e6;
  std::uniform_real_distribution<double> when(
      0, static_cast<double>(Length.count()));
  std::uint64_t number = 0;
  for (const MixEntry &entry : deployment.mix) {
    const bool large =
        std::strcmp(entry.organisation, deployment.largeOrganisation) == 0;
    const double rate =
        deployment.capacity * one.load * entry.share * (large ? one.burst : 1);
    const auto count = static_cast<std::uint64_t>(rate * seconds);
    for (std::uint64_t i = 0; i < count; ++i) {
      const Duration at(static_cast<std::int64_t>(when(random)));
      const std::uint64_t id = ++number;
      const std::size_t host = random() % world->hostCount();
      world->queue().after(at, [world, entry, id, host] {
        // The balancer sends nothing to a host that is down.
        std::size_t up = host;
        while (world->host(up) == nullptr)
          up = (up + 1) % world->hostCount();
        world->call(up, entry.route, entry.organisation,
                    fmt::format("key-{}", id), fmt::format("body {}", id), true,
                    true);
      });
    }
  }
}

Report run(const Deployment &deployment, const Case &one,
           const World::HostFactory &makeHost) {
  World::Options options;
  options.seed = Seed;
  options.hosts = deployment.hosts;
  options.hostToUpstream = deployment.between;
  options.hostToHost = deployment.between;
  options.callerToHost = deployment.fromClients;
  options.loadReportInterval = one.reportInterval;
  options.makeHost = makeHost;
  World world(options);
  addPool(&world, "engines", StageKind::Generate, deployment.engines, 0, 8);
  addPool(&world, "encoders", StageKind::Encode, 5, 10, 16);
  addPool(&world, "retrievers", StageKind::Retrieve, 5, 15, 32);
  addPool(&world, "rerankers", StageKind::Rerank, 5, 20, 16);
  addPool(&world, "grants", StageKind::Call, 5, 30, 8);
  addPool(&world, "stock", StageKind::Call, 5, 15, 8);
  world.start();
  world.publish(deployment.routes);
  world.runFor(Warm);
  planLoad(&world, deployment, one);
  if (one.fault)
    world.queue().after(std::chrono::seconds(5),
                        [&world, &one] { one.fault(&world); });
  world.runFor(Length + Drain);
  return bench::makeReport(&world, deployment.deadlines,
                           deployment.fromClients * 2,
                           deployment.largeOrganisation);
}

void print(const char *version, const Report &report, double bound) {
  fmt::print(
      "  {:<8} {:>6.1f}% {:>6.1f}% {:>6.1f}% {:>5.2f} {:>6.1f}% {:>8.0f} "
      "{:>6.0f} {:>6.0f} {:>8.1f} {:>5}\n",
      version, 100 * report.attainment, 100 * bound,
      100 * report.smallAttainment, report.attemptsPerRequest,
      100 * report.wastedShare, report.costPerAnswer, report.firstTokenMedian,
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
  for (const Case &one : cases()) {
    double offered = 0;
    for (const MixEntry &entry : deployment.mix)
      offered += entry.share * (std::strcmp(entry.organisation,
                                            deployment.largeOrganisation) == 0
                                    ? one.burst
                                    : 1);
    // At this mix no order of work answers a larger share.
    const double bound = std::min(1.0, 1 / (one.load * offered));
    const Report product = run(deployment, one, makeEntryHost);
    const Report naive = run(deployment, one, makeNaiveHost);
    fmt::print(" {} ({} requests), attainment {:.2f} times the naive one\n",
               one.name, product.requests,
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
