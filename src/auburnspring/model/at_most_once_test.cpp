// Thousands of seeded runs with random faults, each checked for a key that was
// executed twice, a false not-run, and an answer that is not the request's own.
#include "auburnspring/model/naive_host.h"
#include "auburnspring/model/world.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <cstdlib>
#include <random>

using namespace auburnspring;

namespace {

constexpr const char *Booking = R"({"name":"booking","owner":"o",
"deadline_ms":2000,"repeat":"never",
"stages":[{"kind":"call","pool":"grants","expected_ms":50}]})";
constexpr const char *Checked = R"({"name":"checked","owner":"o",
"deadline_ms":2000,"repeat":"never",
"stages":[{"kind":"encode","pool":"encoders","expected_ms":10},
{"kind":"call","pool":"grants","expected_ms":50}]})";

constexpr int Keys = 6;
constexpr Duration Span = std::chrono::seconds(6);

// One world with its own random faults and calls, all drawn from the seed.
class FaultyRun {
public:
  FaultyRun(std::uint64_t seed, World::HostFactory makeHost)
      : random_(seed), world_(options(seed, std::move(makeHost))) {
    addUpstream("grants-1", "grants", StageKind::Call, 60);
    addUpstream("grants-2", "grants", StageKind::Call, 60);
    addUpstream("encoders-1", "encoders", StageKind::Encode, 8);
  }

  std::vector<std::string> violations() {
    world_.start();
    world_.publish({{"b", Booking}, {"c", Checked}});
    world_.runFor(std::chrono::seconds(3));
    setShares();
    for (int i = 0; i < Keys; ++i)
      planKey(i);
    for (int i = 0; i < 4; ++i)
      planFault();
    world_.runFor(Span);
    heal();
    world_.runFor(std::chrono::seconds(40));
    return world_.violations();
  }

  int completed() const {
    int count = 0;
    for (const CallerRecord &record : world_.records())
      count += record.answer && record.answer->outcome == Outcome::Complete;
    return count;
  }

private:
  static World::Options options(std::uint64_t seed,
                                World::HostFactory makeHost) {
    World::Options options;
    options.seed = seed;
    options.makeHost = std::move(makeHost);
    // Every other run seals pages after two or three records.
    if (seed % 2 == 0)
      options.adjust = [](EntryHost::Options *host) {
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
    options.service = std::chrono::milliseconds(millis);
    world_.addUpstream(options);
  }

  double draw(double high) {
    return std::uniform_real_distribution<double>(0, high)(random_);
  }
  bool coin() { return draw(1) < 0.5; }
  std::size_t pick(std::size_t count) { return random_() % count; }
  Duration when() {
    return Duration(static_cast<std::int64_t>(
        draw(static_cast<double>(Span.count()) * 0.8)));
  }

  void setShares() {
    FakeKeyValue::Faults &kv = world_.keyValue().faults;
    kv.loseAfter = coin() ? draw(0.3) : 0;
    kv.loseBefore = coin() ? draw(0.2) : 0;
    kv.landLate = coin() ? draw(0.2) : 0;
    kv.stale = coin() ? draw(0.3) : 0;
    kv.delay = Duration(static_cast<std::int64_t>(1000 + draw(40000)));
    for (const char *name : {"grants-1", "grants-2"}) {
      FakeUpstream::Faults &faults = world_.upstream(name).faults;
      faults.cut = coin() ? draw(0.3) : 0;
      faults.silent = coin() ? draw(0.3) : 0;
      faults.failFast = coin() ? draw(0.3) : 0;
      faults.duplicate = coin() ? draw(0.5) : 0;
    }
  }

  // A caller sends a key to one to three hosts, close together or apart, and
  // sends it again when it is told not-run.
  void planKey(int number) {
    const std::string key = fmt::format("key-{}", number);
    const std::string route = coin() ? "booking" : "checked";
    const Duration first = when();
    const std::size_t copies = 1 + pick(3);
    for (std::size_t i = 0; i < copies; ++i) {
      const Duration apart = coin() ? Duration(0) : when() / 4;
      world_.queue().after(first + apart, [this, key, route, copies] {
        send(key, route, 3, copies == 1);
      });
    }
  }

  void send(const std::string &key, const std::string &route, int tries,
            bool firstTry) {
    const std::size_t place =
        world_.call(pick(world_.hostCount()), route, "org", key, "body " + key,
                    false, firstTry);
    if (coin() && coin())
      world_.queue().after(when() / 8, [this, place] {
        const CallerRecord &record = world_.records()[place];
        if (!record.answer && world_.host(record.host) != nullptr)
          world_.hangUp(place);
      });
    world_.queue().after(std::chrono::milliseconds(2500), [=] {
      const CallerRecord &record = world_.records()[place];
      const bool again =
          !record.answer || record.answer->outcome == Outcome::NotRun;
      // Only an honest not-run leaves the caller without doubt.
      const bool sure = firstTry && record.answer.has_value();
      if (again && tries > 0)
        send(key, route, tries - 1, sure);
    });
  }

  void planFault() {
    const std::size_t host = pick(world_.hostCount());
    const Duration begin = when();
    const Duration lasts = when();
    switch (pick(6)) {
    case 0:
      world_.queue().after(begin, [=] { world_.kill(host); });
      world_.queue().after(begin + lasts, [=] { world_.restart(host); });
      break;
    case 1:
      world_.queue().after(begin, [=] { world_.freeze(host); });
      world_.queue().after(begin + lasts, [=] { world_.thaw(host); });
      break;
    case 2:
      world_.queue().after(begin,
                           [=] { world_.keyValue().faults.down = true; });
      world_.queue().after(begin + lasts,
                           [=] { world_.keyValue().faults.down = false; });
      break;
    case 3:
      world_.queue().after(begin,
                           [=] { world_.keyValue().faults.frozen = true; });
      world_.queue().after(begin + lasts, [=] { world_.keyValue().thaw(); });
      break;
    case 4:
      world_.queue().after(
          begin, [=] { world_.upstream("grants-1").faults.dead = true; });
      break;
    default:
      world_.queue().after(
          begin, [=] { world_.upstream("grants-2").faults.frozen = true; });
      world_.queue().after(begin + lasts,
                           [=] { world_.upstream("grants-2").thaw(); });
      break;
    }
  }

  void heal() {
    world_.keyValue().faults = FakeKeyValue::Faults();
    world_.keyValue().thaw();
    for (std::size_t i = 0; i < world_.hostCount(); ++i)
      world_.thaw(i);
    world_.upstream("grants-2").thaw();
  }

  std::mt19937_64 random_;
  World world_;
};

// Other seeds than those of CI, for a longer hunt by hand.
std::uint64_t fromEnvironment(const char *name, std::uint64_t standard) {
  const char *text = std::getenv(name);
  return text == nullptr ? standard : std::stoull(text);
}

} // namespace

TEST_CASE("no key runs twice and no not-run is false, whatever fails") {
  const std::uint64_t first = fromEnvironment("AUBURNSPRING_FIRST_SEED", 1);
  const std::uint64_t seeds = fromEnvironment("AUBURNSPRING_SEEDS", 3000);
  int completed = 0;
  for (std::uint64_t seed = first; seed < first + seeds; ++seed) {
    FaultyRun run(seed, makeEntryHost);
    const std::vector<std::string> wrong = run.violations();
    completed += run.completed();
    INFO("seed " << seed);
    for (const std::string &one : wrong)
      UNSCOPED_INFO(one);
    REQUIRE(wrong.empty());
  }
  // The runs are of use only if a good part of them gets work done.
  CHECK(completed > static_cast<int>(seeds));
}

TEST_CASE("the same runs find the faults of a host without claims") {
  int faulty = 0;
  for (std::uint64_t seed = 1; seed <= 50; ++seed)
    faulty += FaultyRun(seed, makeNaiveHost).violations().empty() ? 0 : 1;
  CHECK(faulty > 25);
}
