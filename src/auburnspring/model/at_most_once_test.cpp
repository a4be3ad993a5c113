// Thousands of seeded runs with random faults. Each is checked for a key
// executed twice, a false not-run outcome and a response that does not belong
// to its request.
#include "auburnspring/model/naive_host.h"
#include "auburnspring/model/simulation.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <cstdlib>
#include <random>

using namespace auburnspring;

namespace {

constexpr const char *BookingRoute = R"({"name":"booking","owner":"o",
"deadline_ms":2000,"repeat":"never",
"stages":[{"kind":"call","pool":"grants","expected_ms":50}]})";
constexpr const char *CheckedRoute = R"({"name":"checked","owner":"o",
"deadline_ms":2000,"repeat":"never",
"stages":[{"kind":"encode","pool":"encoders","expected_ms":10},
{"kind":"call","pool":"grants","expected_ms":50}]})";

constexpr int KeyCount = 6;
constexpr Duration FaultPeriod = std::chrono::seconds(6);

// One simulation whose faults and calls are drawn from the seed.
class RandomFaultRun {
public:
  RandomFaultRun(std::uint64_t seed, Simulation::HostFactory makeHost)
      : random_(seed), simulation_(options(seed, std::move(makeHost))) {
    addUpstream("grants-1", "grants", StageKind::Call, 60);
    addUpstream("grants-2", "grants", StageKind::Call, 60);
    addUpstream("encoders-1", "encoders", StageKind::Encode, 8);
  }

  std::vector<std::string> violations() {
    simulation_.start();
    simulation_.publish({{"b", BookingRoute}, {"c", CheckedRoute}});
    simulation_.runFor(std::chrono::seconds(3));
    setFaultRates();
    for (int i = 0; i < KeyCount; ++i)
      scheduleCalls(i);
    for (int i = 0; i < 4; ++i)
      scheduleFault();
    simulation_.runFor(FaultPeriod);
    clearFaults();
    simulation_.runFor(std::chrono::seconds(40));
    return simulation_.violations();
  }

  int completed() const {
    int count = 0;
    for (const CallerRecord &record : simulation_.records())
      count += record.response && record.response->outcome == Outcome::Complete;
    return count;
  }

private:
  static Simulation::Options options(std::uint64_t seed,
                                     Simulation::HostFactory makeHost) {
    Simulation::Options options;
    options.seed = seed;
    options.makeHost = std::move(makeHost);
    // In every second run, ledger pages are sealed after two or three records.
    if (seed % 2 == 0)
      options.adjustOptions = [](EntryHost::Options *host) {
        host->ledger.shards = 2;
        host->ledger.shard.sealBytes = 500;
      };
    return options;
  }

  void addUpstream(const char *name, const char *pool, StageKind kind,
                   int millis) {
    FakeUpstream::Options options;
    options.name = name;
    options.pool = pool;
    options.kind = kind;
    options.serviceTime = std::chrono::milliseconds(millis);
    simulation_.addUpstream(options);
  }

  double draw(double high) {
    return std::uniform_real_distribution<double>(0, high)(random_);
  }
  bool coin() { return draw(1) < 0.5; }
  std::size_t drawIndex(std::size_t count) { return random_() % count; }
  Duration drawDelay() {
    return Duration(static_cast<std::int64_t>(
        draw(static_cast<double>(FaultPeriod.count()) * 0.8)));
  }

  void setFaultRates() {
    FakeKeyValue::Faults &kv = simulation_.keyValue().faults;
    kv.loseResponse = coin() ? draw(0.3) : 0;
    kv.loseWrite = coin() ? draw(0.2) : 0;
    kv.applyLate = coin() ? draw(0.2) : 0;
    kv.staleRead = coin() ? draw(0.3) : 0;
    kv.delay = Duration(static_cast<std::int64_t>(1000 + draw(40000)));
    for (const char *name : {"grants-1", "grants-2"}) {
      FakeUpstream::Faults &faults = simulation_.upstream(name).faults;
      faults.connectionLost = coin() ? draw(0.3) : 0;
      faults.responseLost = coin() ? draw(0.3) : 0;
      faults.failFast = coin() ? draw(0.3) : 0;
      faults.duplicate = coin() ? draw(0.5) : 0;
    }
  }

  // Sends a key to one to three hosts, at the same or different times, and
  // retries on a not-run outcome or without a response.
  void scheduleCalls(int number) {
    const std::string key = fmt::format("key-{}", number);
    const std::string route = coin() ? "booking" : "checked";
    const Duration firstDelay = drawDelay();
    const std::size_t copies = 1 + drawIndex(3);
    for (std::size_t i = 0; i < copies; ++i) {
      const Duration extraDelay = coin() ? Duration(0) : drawDelay() / 4;
      simulation_.queue().after(
          firstDelay + extraDelay,
          [this, key, route, copies] { send(key, route, 3, copies == 1); });
    }
  }

  void send(const std::string &key, const std::string &route, int retriesLeft,
            bool firstTry) {
    const std::size_t recordIndex =
        simulation_.call(drawIndex(simulation_.hostCount()), route, "org", key,
                         "body " + key, false, firstTry);
    if (coin() && coin())
      simulation_.queue().after(drawDelay() / 8, [this, recordIndex] {
        const CallerRecord &record = simulation_.records()[recordIndex];
        if (!record.response && simulation_.host(record.host) != nullptr)
          simulation_.disconnectCaller(recordIndex);
      });
    simulation_.queue().after(std::chrono::milliseconds(2500), [=] {
      const CallerRecord &record = simulation_.records()[recordIndex];
      const bool retry =
          !record.response || record.response->outcome == Outcome::NotRun;
      // A retry may be declared a first try only if all earlier ones were
      // reported not-run.
      const bool knownNotRun = firstTry && record.response.has_value();
      if (retry && retriesLeft > 0)
        send(key, route, retriesLeft - 1, knownNotRun);
    });
  }

  void scheduleFault() {
    const std::size_t host = drawIndex(simulation_.hostCount());
    const Duration begin = drawDelay();
    const Duration duration = drawDelay();
    switch (drawIndex(6)) {
    case 0:
      simulation_.queue().after(begin, [=] { simulation_.kill(host); });
      simulation_.queue().after(begin + duration,
                                [=] { simulation_.restart(host); });
      break;
    case 1:
      simulation_.queue().after(begin, [=] { simulation_.freeze(host); });
      simulation_.queue().after(begin + duration,
                                [=] { simulation_.thaw(host); });
      break;
    case 2:
      simulation_.queue().after(
          begin, [=] { simulation_.keyValue().faults.down = true; });
      simulation_.queue().after(begin + duration, [=] {
        simulation_.keyValue().faults.down = false;
      });
      break;
    case 3:
      simulation_.queue().after(
          begin, [=] { simulation_.keyValue().faults.frozen = true; });
      simulation_.queue().after(begin + duration,
                                [=] { simulation_.keyValue().thaw(); });
      break;
    case 4:
      simulation_.queue().after(
          begin, [=] { simulation_.upstream("grants-1").faults.dead = true; });
      break;
    default:
      simulation_.queue().after(begin, [=] {
        simulation_.upstream("grants-2").faults.frozen = true;
      });
      simulation_.queue().after(
          begin + duration, [=] { simulation_.upstream("grants-2").thaw(); });
      break;
    }
  }

  void clearFaults() {
    simulation_.keyValue().faults = FakeKeyValue::Faults();
    simulation_.keyValue().thaw();
    for (std::size_t i = 0; i < simulation_.hostCount(); ++i)
      simulation_.thaw(i);
    simulation_.upstream("grants-2").thaw();
  }

  std::mt19937_64 random_;
  Simulation simulation_;
};

// Allows longer manual runs with other seeds than in CI.
std::uint64_t fromEnvironment(const char *name, std::uint64_t fallback) {
  const char *text = std::getenv(name);
  return text == nullptr ? fallback : std::stoull(text);
}

} // namespace

TEST_CASE(
    "under random faults no key is executed twice and no not-run is false") {
  const std::uint64_t first = fromEnvironment("AUBURNSPRING_FIRST_SEED", 1);
  const std::uint64_t seeds = fromEnvironment("AUBURNSPRING_SEEDS", 3000);
  int completed = 0;
  for (std::uint64_t seed = first; seed < first + seeds; ++seed) {
    RandomFaultRun run(seed, makeEntryHost);
    const std::vector<std::string> violations = run.violations();
    completed += run.completed();
    INFO("seed " << seed);
    for (const std::string &violation : violations)
      UNSCOPED_INFO(violation);
    REQUIRE(violations.empty());
  }
  // Guards against runs in which the faults block nearly all requests.
  CHECK(completed > static_cast<int>(seeds));
}

TEST_CASE(
    "the same runs find violations by the naive host, which makes no claims") {
  int faulty = 0;
  for (std::uint64_t seed = 1; seed <= 50; ++seed)
    faulty += RandomFaultRun(seed, makeNaiveHost).violations().empty() ? 0 : 1;
  CHECK(faulty > 25);
}
