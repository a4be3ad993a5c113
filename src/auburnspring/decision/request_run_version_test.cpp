#include "auburnspring/base/digest.h"
#include "auburnspring/decision/entry_host.h"
#include "auburnspring/decision/upstream_selection.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <random>

using namespace auburnspring;

namespace {

constexpr const char *RouteText =
    R"({"name":"draft","owner":"o","deadline_ms":60000,"repeat":"always",)"
    R"("stages":[{"kind":"generate","pool":"engines","model":"m",)"
    R"("expected_ms":500}]})";

constexpr Duration EventInterval = std::chrono::milliseconds(1);

struct EngineCounts {
  std::size_t versionOne = 0;
  std::size_t versionTwo = 0;
};

// One host with one route and engines of two versions, named one-N and two-N.
class VersionFixture {
public:
  VersionFixture(EngineCounts engines, std::uint64_t seed)
      : host_(options(seed)) {
    ConfigurationBundle bundle;
    bundle.head.generation = 1;
    bundle.head.fileDigests["draft"] = digestHex(RouteText);
    bundle.fileContents[digestHex(RouteText)] = RouteText;
    handle(PeerMessageReceived{"entry-2", BundleReply{bundle}});
    list(engines);
  }

  void list(EngineCounts engines) {
    HostList list;
    list.version = ++listVersion_;
    for (std::size_t i = 0; i < engines.versionOne; ++i)
      list.upstreams.push_back(engine(fmt::format("one-{}", i), "1"));
    for (std::size_t i = 0; i < engines.versionTwo; ++i)
      list.upstreams.push_back(engine(fmt::format("two-{}", i), "2"));
    handle(HostListRead{list});
  }

  Actions call(RequestId request) {
    RequestArrived arrived;
    arrived.request = request;
    arrived.organisation = "org";
    arrived.route = "draft";
    arrived.body = fmt::format("body {}", request);
    arrived.stream = true;
    return handle(arrived);
  }

  Actions progress(const StartAttempt &start, std::uint64_t offset,
                   const std::string &text) {
    return handle(AttemptProgress{start.attempt, offset, text});
  }

  Actions lose(const StartAttempt &start) {
    return handle(AttemptFailed{start.attempt, FailureKind::ResponseLost,
                                "connection lost", Usage()});
  }

  Actions handle(Event event) {
    now_ += EventInterval;
    return host_.handle(std::move(event), {now_, WallTime(1000)});
  }

private:
  static EntryHost::Options options(std::uint64_t seed) {
    EntryHost::Options options;
    options.host = "entry-1";
    options.seed = seed;
    return options;
  }

  static ListedUpstream engine(std::string name, std::string version) {
    ListedUpstream upstream;
    upstream.name = std::move(name);
    upstream.pool = "engines";
    upstream.incarnation = "1";
    upstream.version = std::move(version);
    upstream.slots = 2;
    return upstream;
  }

  EntryHost host_;
  std::uint64_t listVersion_ = 0;
  TimePoint now_ = TimePoint(std::chrono::hours(1));
};

const StartAttempt *startOf(const Actions &actions) {
  for (const Action &action : actions)
    if (const auto *start = std::get_if<StartAttempt>(&action))
      return start;
  return nullptr;
}

const RespondToCaller *responseOf(const Actions &actions) {
  for (const Action &action : actions)
    if (const auto *response = std::get_if<RespondToCaller>(&action))
      return response;
  return nullptr;
}

// The part of an engine's name that stands for its version.
std::string versionOf(const StartAttempt &start) {
  return start.upstream.substr(0, 3);
}

constexpr std::uint64_t Seeds = 50;

// An upstream of version 0, 1 or 2 in a random state.
TrackedUpstreamPtr randomUpstream(std::size_t number, TimePoint now,
                                  std::mt19937_64 *random) {
  ListedUpstream listed;
  listed.name = fmt::format("engine-{}", number);
  listed.version = std::to_string((*random)() % 3);
  auto upstream = std::make_shared<TrackedUpstream>(listed);
  upstream->leaving = (*random)() % 5 == 0;
  upstream->drained = (*random)() % 5 == 0;
  upstream->inFlight = static_cast<std::int32_t>((*random)() % 9);
  // More than half, so that ejections are often ignored.
  if ((*random)() % 5 < 3)
    upstream->ejectedUntilMicros = toMicros(now) + 1000000;
  return upstream;
}

} // namespace

// Guards against text of one version that another version continues.
TEST_CASE("a generation continues at an upstream of the same version") {
  for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
    VersionFixture fixture({2, 6}, seed);
    const Actions called = fixture.call(seed);
    const StartAttempt *first = startOf(called);
    REQUIRE(first != nullptr);
    fixture.progress(*first, 0, "abc ");
    const Actions lost = fixture.lose(*first);
    const StartAttempt *second = startOf(lost);
    REQUIRE(second != nullptr);
    CHECK(second->resumeText == "abc ");
    REQUIRE(versionOf(*second) == versionOf(*first));
  }
}

// Guards against a stream that another version goes on writing because bytes
// were missing and the attempt started afresh.
TEST_CASE("a stream with a gap goes on at the same version") {
  for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
    VersionFixture fixture({2, 6}, seed);
    const Actions called = fixture.call(seed);
    const StartAttempt *first = startOf(called);
    REQUIRE(first != nullptr);
    fixture.progress(*first, 0, "abc ");
    fixture.progress(*first, 8, "ghi ");
    const Actions lost = fixture.lose(*first);
    const StartAttempt *second = startOf(lost);
    REQUIRE(second != nullptr);
    REQUIRE(versionOf(*second) == versionOf(*first));
  }
}

// Guards against a caller that waits for a version that no upstream has.
TEST_CASE("a generation whose version is gone ends at once as incomplete") {
  for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
    VersionFixture fixture({4, 4}, seed);
    std::map<RequestId, StartAttempt> started;
    RequestId last = 0;
    // The last ones are queued, so that no slot is free for a retry.
    while (last < 30) {
      const Actions called = fixture.call(++last);
      if (const StartAttempt *start = startOf(called))
        started[last] = *start;
    }
    const auto begun =
        std::find_if(started.begin(), started.end(), [](const auto &entry) {
          return versionOf(entry.second) == "one";
        });
    REQUIRE(begun != started.end());
    REQUIRE(started.size() < last);
    fixture.progress(begun->second, 0, "abc ");
    fixture.list({0, 4});
    const Actions lost = fixture.lose(begun->second);
    const RespondToCaller *response = responseOf(lost);
    REQUIRE(response != nullptr);
    CHECK(response->request == begun->first);
    CHECK(response->outcome == Outcome::Incomplete);
    for (const Action &action : lost)
      if (const auto *start = std::get_if<StartAttempt>(&action))
        CHECK(start->attempt.request != begun->first);
  }
}

// Guards against a generation that is tied to a version before it has begun.
TEST_CASE("before its first output a generation may go to any version") {
  bool changedVersion = false;
  for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
    VersionFixture fixture({1, 1}, seed);
    const Actions called = fixture.call(seed);
    const StartAttempt *first = startOf(called);
    REQUIRE(first != nullptr);
    const Actions lost = fixture.lose(*first);
    const StartAttempt *second = startOf(lost);
    REQUIRE(second != nullptr);
    changedVersion = changedVersion || versionOf(*second) != versionOf(*first);
  }
  CHECK(changedVersion);
}

// Guards against two versions without a name that pass for different ones.
TEST_CASE("upstreams without a version count as one version") {
  for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
    VersionFixture fixture({0, 0}, seed);
    HostList list;
    list.version = 10;
    for (const char *name : {"a", "b"}) {
      ListedUpstream upstream;
      upstream.name = name;
      upstream.pool = "engines";
      list.upstreams.push_back(upstream);
    }
    fixture.handle(HostListRead{list});
    const Actions called = fixture.call(seed);
    const StartAttempt *first = startOf(called);
    REQUIRE(first != nullptr);
    fixture.progress(*first, 0, "abc ");
    const Actions lost = fixture.lose(*first);
    const StartAttempt *second = startOf(lost);
    REQUIRE(second != nullptr);
    CHECK(second->upstream != first->upstream);
  }
}

// Guards against a rule of the choice (sampling, scan, prefix, ignored
// ejections, avoided upstreams) that passes over the version.
TEST_CASE("every choice obeys the required version") {
  const TimePoint now = TimePoint(std::chrono::hours(1));
  int chosen = 0;
  for (std::uint64_t seed = 1; seed <= 5000; ++seed) {
    std::mt19937_64 random(seed);
    std::vector<TrackedUpstreamPtr> upstreams;
    for (std::size_t i = 0; i < 1 + seed % 12; ++i)
      upstreams.push_back(randomUpstream(i, now, &random));
    const std::vector<std::string> avoided = {"engine-0", "engine-1"};
    const std::string version = std::to_string(random() % 3);
    SelectionCriteria criteria;
    criteria.version = version;
    criteria.prompt = seed % 2 == 0 ? "prompt" : "";
    criteria.avoid = avoided;
    const bool possible = std::any_of(
        upstreams.begin(), upstreams.end(), [&](const auto &upstream) {
          return upstream->acceptsNewWork() &&
                 upstream->listed.version == version;
        });
    const TrackedUpstreamPtr found =
        chooseUpstream(upstreams, criteria, now, &random);
    INFO("seed " << seed);
    REQUIRE(hasCandidate(upstreams, criteria) == possible);
    REQUIRE((found != nullptr) == possible);
    if (!found)
      continue;
    REQUIRE(found->listed.version == version);
    ++chosen;
  }
  CHECK(chosen > 2000);
}
