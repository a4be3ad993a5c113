// The same requests through the product and the naive host: where both
// complete, the answers are equal; the product completes no fewer.
#include "auburnspring/model/naive_host.h"
#include "auburnspring/model/world.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>

using namespace auburnspring;

namespace {

constexpr const char *Draft = R"({"name":"draft","owner":"o",
"deadline_ms":3000,"repeat":"always","stages":[
{"kind":"encode","pool":"encoders","expected_ms":10},
{"kind":"retrieve","pool":"retrievers","parts":3,"expected_ms":15},
{"kind":"generate","pool":"engines","model":"m","max_tokens":20,
 "expected_ms":250}]})";
constexpr const char *Count = R"({"name":"count","owner":"o",
"deadline_ms":1000,"repeat":"always",
"stages":[{"kind":"call","pool":"encoders","expected_ms":10}]})";

std::vector<CallerRecord> runWith(std::uint64_t seed,
                                  World::HostFactory makeHost) {
  World::Options options;
  options.seed = seed;
  options.makeHost = std::move(makeHost);
  World world(options);
  const auto add = [&world](const char *pool, StageKind kind, int count) {
    for (int i = 1; i <= count; ++i) {
      FakeUpstream::Options upstream;
      upstream.name = fmt::format("{}-{}", pool, i);
      upstream.pool = pool;
      upstream.kind = kind;
      world.addUpstream(upstream);
    }
  };
  add("encoders", StageKind::Encode, 3);
  add("retrievers", StageKind::Retrieve, 3);
  add("engines", StageKind::Generate, 4);
  world.start();
  world.publish({{"draft", Draft}, {"count", Count}});
  world.runFor(std::chrono::seconds(3));
  FakeUpstream::Faults &sick = world.upstream("engines-2").faults;
  sick.cut = seed % 3 == 0 ? 0.5 : 0;
  sick.failFast = seed % 3 == 1 ? 0.5 : 0;
  world.upstream("retrievers-1").faults.duplicate = 0.3;
  for (int i = 0; i < 120; ++i)
    world.queue().after(std::chrono::milliseconds(i * 25), [&world, i] {
      world.call(static_cast<std::size_t>(i) % world.hostCount(),
                 i % 4 == 0 ? "count" : "draft", "org", "",
                 fmt::format("body {}", i));
    });
  world.runFor(std::chrono::seconds(10));
  return world.records();
}

bool isComplete(const CallerRecord &record) {
  return record.answer && record.answer->outcome == Outcome::Complete;
}

} // namespace

TEST_CASE("the product and the naive host give equal answers") {
  int both = 0;
  int product = 0;
  int naive = 0;
  for (std::uint64_t seed = 1; seed <= 30; ++seed) {
    const auto ours = runWith(seed, makeEntryHost);
    const auto theirs = runWith(seed, makeNaiveHost);
    REQUIRE(ours.size() == theirs.size());
    for (std::size_t i = 0; i < ours.size(); ++i) {
      product += isComplete(ours[i]);
      naive += isComplete(theirs[i]);
      if (!isComplete(ours[i]) || !isComplete(theirs[i]))
        continue;
      ++both;
      INFO("seed " << seed << " request " << i);
      REQUIRE(ours[i].answer->body == theirs[i].answer->body);
    }
  }
  WARN("complete: product " << product << ", naive " << naive << ", both "
                            << both << " of " << 30 * 120);
  CHECK(both > 3000);
  CHECK(product >= naive);
}
