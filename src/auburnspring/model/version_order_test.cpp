// Seeded runs with engines of several versions whose attempts fail in many
// ways. Each is checked for responses and streams that join two versions, and
// their completions are compared with those of engines of one version.
#include "auburnspring/model/naive_host.h"
#include "auburnspring/model/simulation.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <random>

using namespace auburnspring;

namespace {

constexpr const char *DraftRoute = R"({"name":"draft","owner":"o",
"deadline_ms":4000,"repeat":"always","attainment_weight":0.9,"stages":[
{"kind":"encode","pool":"encoders","expected_ms":10},
{"kind":"generate","pool":"engines","model":"m","max_tokens":24,
 "expected_ms":280}]})";

constexpr std::uint64_t Seeds = 60;
constexpr int CallsPerSeed = 100;
constexpr Duration CallInterval = std::chrono::milliseconds(25);
constexpr int EngineCount = 6;

// The engines' faults come from the seed.
class VersionRun {
public:
  VersionRun(std::uint64_t seed, std::uint64_t versions,
             Simulation::HostFactory makeHost)
      : random_(seed), simulation_(options(seed, std::move(makeHost))) {
    add("encoders", StageKind::Encode, 2, 1);
    add("engines", StageKind::Generate, EngineCount, versions);
  }

  std::vector<std::string> violations() {
    simulation_.start();
    simulation_.publish({{"draft", DraftRoute}});
    simulation_.runFor(std::chrono::seconds(3));
    for (int i = 1; i <= EngineCount; ++i)
      setFault(&simulation_.upstream(fmt::format("engines-{}", i)));
    for (int i = 0; i < CallsPerSeed; ++i)
      simulation_.queue().after(CallInterval * i, [this, i] {
        simulation_.call(static_cast<std::size_t>(i) % simulation_.hostCount(),
                         "draft", "org", "", fmt::format("body {}", i),
                         i % 2 == 0);
      });
    simulation_.runFor(std::chrono::seconds(12));
    return simulation_.violations();
  }

  int completed() const {
    return static_cast<int>(std::count_if(
        simulation_.records().begin(), simulation_.records().end(),
        [](const CallerRecord &record) {
          return record.response &&
                 record.response->outcome == Outcome::Complete;
        }));
  }

private:
  static Simulation::Options options(std::uint64_t seed,
                                     Simulation::HostFactory makeHost) {
    Simulation::Options options;
    options.seed = seed;
    options.makeHost = std::move(makeHost);
    return options;
  }

  void add(const char *pool, StageKind kind, int count,
           std::uint64_t versions) {
    for (int i = 1; i <= count; ++i) {
      FakeUpstream::Options upstream;
      upstream.name = fmt::format("{}-{}", pool, i);
      upstream.pool = pool;
      upstream.kind = kind;
      if (versions > 1)
        upstream.version =
            std::to_string(static_cast<std::uint64_t>(i) % versions);
      simulation_.addUpstream(upstream);
    }
  }

  void setFault(FakeUpstream *engine) {
    switch (random_() % 6) {
    case 0:
      engine->faults.connectionLost = 0.5;
      break;
    case 1:
      engine->faults.failFast = 0.4;
      break;
    case 2:
      engine->faults.responseLost = 0.3;
      break;
    case 3:
      simulation_.queue().after(std::chrono::seconds(1), [engine] {
        engine->faults.connectionLost = 0.5;
        engine->faults.leaving = true;
      });
      break;
    case 4:
      engine->faults.slowdown = 3;
      break;
    default:
      break;
    }
  }

  std::mt19937_64 random_;
  Simulation simulation_;
};

} // namespace

// Guards against responses that two software versions wrote parts of.
TEST_CASE("no response and no stream joins two versions") {
  int completed = 0;
  int completedAtOneVersion = 0;
  for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
    VersionRun run(seed, 2 + seed % 2, makeEntryHost);
    const std::vector<std::string> violations = run.violations();
    completed += run.completed();
    VersionRun oneVersion(seed, 1, makeEntryHost);
    oneVersion.violations();
    completedAtOneVersion += oneVersion.completed();
    INFO("seed " << seed);
    for (const std::string &violation : violations)
      UNSCOPED_INFO(violation);
    REQUIRE(violations.empty());
  }
  WARN("complete: " << completed << ", with one version "
                    << completedAtOneVersion << ", of "
                    << Seeds * CallsPerSeed);
  // Guards against faults that leave few responses to check, and against
  // versions that cost more than the continuations they rule out.
  CHECK(completed > static_cast<int>(Seeds) * CallsPerSeed * 8 / 10);
  CHECK(completed * 100 >= completedAtOneVersion * 98);
}

TEST_CASE("the naive host, which resumes nothing, joins no versions either") {
  int completed = 0;
  for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
    VersionRun run(seed, 2 + seed % 2, makeNaiveHost);
    for (const std::string &violation : run.violations()) {
      INFO("seed " << seed << ": " << violation);
      CHECK(violation.find("expected") == std::string::npos);
    }
    completed += run.completed();
  }
  CHECK(completed > 0);
}
