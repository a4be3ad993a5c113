// Sends the same requests through the product and the naive host: where both
// complete, the responses are equal, and the product completes no fewer.
#include "auburnspring/model/naive_host.h"
#include "auburnspring/model/simulation.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>

using namespace auburnspring;

namespace {

constexpr const char *DraftRoute = R"({"name":"draft","owner":"o",
"deadline_ms":3000,"repeat":"always","stages":[
{"kind":"encode","pool":"encoders","expected_ms":10},
{"kind":"retrieve","pool":"retrievers","parts":3,"expected_ms":15},
{"kind":"generate","pool":"engines","model":"m","max_tokens":20,
 "expected_ms":250}]})";
constexpr const char *CountRoute = R"({"name":"count","owner":"o",
"deadline_ms":1000,"repeat":"always",
"stages":[{"kind":"call","pool":"encoders","expected_ms":10}]})";

std::vector<CallerRecord> runWith(std::uint64_t seed,
                                  Simulation::HostFactory makeHost) {
  Simulation::Options options;
  options.seed = seed;
  options.makeHost = std::move(makeHost);
  Simulation simulation(options);
  const auto add = [&simulation](const char *pool, StageKind kind, int count) {
    for (int i = 1; i <= count; ++i) {
      FakeUpstream::Options upstream;
      upstream.name = fmt::format("{}-{}", pool, i);
      upstream.pool = pool;
      upstream.kind = kind;
      simulation.addUpstream(upstream);
    }
  };
  add("encoders", StageKind::Encode, 3);
  add("retrievers", StageKind::Retrieve, 3);
  add("engines", StageKind::Generate, 4);
  simulation.start();
  simulation.publish({{"draft", DraftRoute}, {"count", CountRoute}});
  simulation.runFor(std::chrono::seconds(3));
  FakeUpstream::Faults &faulty = simulation.upstream("engines-2").faults;
  faulty.connectionLost = seed % 3 == 0 ? 0.5 : 0;
  faulty.failFast = seed % 3 == 1 ? 0.5 : 0;
  simulation.upstream("retrievers-1").faults.duplicate = 0.3;
  for (int i = 0; i < 120; ++i)
    simulation.queue().after(
        std::chrono::milliseconds(i * 25), [&simulation, i] {
          simulation.call(static_cast<std::size_t>(i) % simulation.hostCount(),
                          i % 4 == 0 ? "count" : "draft", "org", "",
                          fmt::format("body {}", i));
        });
  simulation.runFor(std::chrono::seconds(10));
  return simulation.records();
}

bool isComplete(const CallerRecord &record) {
  return record.response && record.response->outcome == Outcome::Complete;
}

} // namespace

TEST_CASE("the product and the naive host give equal responses") {
  int bothCompleted = 0;
  int productCompleted = 0;
  int naiveCompleted = 0;
  for (std::uint64_t seed = 1; seed <= 30; ++seed) {
    const auto productRecords = runWith(seed, makeEntryHost);
    const auto naiveRecords = runWith(seed, makeNaiveHost);
    REQUIRE(productRecords.size() == naiveRecords.size());
    for (std::size_t i = 0; i < productRecords.size(); ++i) {
      productCompleted += isComplete(productRecords[i]);
      naiveCompleted += isComplete(naiveRecords[i]);
      if (!isComplete(productRecords[i]) || !isComplete(naiveRecords[i]))
        continue;
      ++bothCompleted;
      INFO("seed " << seed << " request " << i);
      REQUIRE(productRecords[i].response->body ==
              naiveRecords[i].response->body);
    }
  }
  WARN("complete: product " << productCompleted << ", naive " << naiveCompleted
                            << ", both " << bothCompleted << " of "
                            << 30 * 120);
  CHECK(bothCompleted > 3000);
  CHECK(productCompleted >= naiveCompleted);
}
