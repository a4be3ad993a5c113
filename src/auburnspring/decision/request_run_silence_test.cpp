#include "auburnspring/base/digest.h"
#include "auburnspring/decision/entry_host.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>

using namespace auburnspring;

namespace {

constexpr const char *RouteText =
    R"({"name":"draft","owner":"o","deadline_ms":20000,"repeat":"always",)"
    R"("stages":[{"kind":"generate","pool":"engines","model":"m",)"
    R"("expected_ms":500}]})";

constexpr Duration Silence = std::chrono::milliseconds(1600);
constexpr Duration LongSilence = std::chrono::milliseconds(3200);

// One host with one route, and one streamed request on it.
class SilenceFixture {
public:
  explicit SilenceFixture(std::size_t engineCount) : host_(options()) {
    ConfigurationBundle bundle;
    bundle.head.generation = 1;
    bundle.head.fileDigests["draft"] = digestHex(RouteText);
    bundle.fileContents[digestHex(RouteText)] = RouteText;
    handle(PeerMessageReceived{"entry-2", BundleReply{bundle}});
    HostList list;
    list.version = 1;
    for (std::size_t i = 0; i < engineCount; ++i) {
      ListedUpstream upstream;
      upstream.name = fmt::format("engine-{}", i);
      upstream.pool = "engines";
      upstream.slots = 8;
      list.upstreams.push_back(upstream);
    }
    handle(HostListRead{list});
    RequestArrived arrived;
    arrived.request = 1;
    arrived.route = "draft";
    arrived.body = "body";
    arrived.stream = true;
    first = startOf(handle(arrived));
  }

  Actions handle(Event event) {
    return host_.handle(std::move(event), {now_, WallTime(1000)});
  }

  // The actions at the end of a silence.
  Actions wait(Duration silence) {
    Actions all;
    const TimePoint end = now_ + silence;
    while (now_ < end) {
      now_ = std::min(
          end, std::max(now_ + std::chrono::milliseconds(1), host_.nextWake()));
      Actions actions = handle(Tick{});
      std::move(actions.begin(), actions.end(), std::back_inserter(all));
    }
    return all;
  }

  Actions progress(const StartAttempt &start, std::uint64_t offset,
                   const std::string &text) {
    return handle(AttemptProgress{start.attempt, offset, text});
  }

  Actions fail(const StartAttempt &start, FailureKind kind) {
    return handle(AttemptFailed{start.attempt, kind, "failed", Usage()});
  }

  static StartAttempt startOf(const Actions &actions) {
    for (const Action &action : actions)
      if (const auto *start = std::get_if<StartAttempt>(&action))
        return *start;
    return {};
  }

  StartAttempt first;

private:
  static EntryHost::Options options() {
    EntryHost::Options options;
    options.host = "entry-1";
    return options;
  }

  EntryHost host_;
  TimePoint now_ = TimePoint(std::chrono::hours(1));
};

template <typename T> int count(const Actions &actions) {
  int found = 0;
  for (const Action &action : actions)
    found += std::holds_alternative<T>(action);
  return found;
}

bool cancels(const Actions &actions, const StartAttempt &start) {
  for (const Action &action : actions)
    if (const auto *cancel = std::get_if<CancelAttempt>(&action))
      if (cancel->attempt == start.attempt)
        return true;
  return false;
}

} // namespace

// Guards against a stream that waits until its deadline for an upstream to
// which the connection is lost.
TEST_CASE("a replacement of a silent attempt goes on after its text") {
  SilenceFixture fixture(2);
  fixture.progress(fixture.first, 0, "abc ");
  const Actions waited = fixture.wait(Silence);
  REQUIRE(count<StartAttempt>(waited) == 1);
  CHECK(count<CancelAttempt>(waited) == 0);
  const StartAttempt second = SilenceFixture::startOf(waited);
  CHECK(second.upstream != fixture.first.upstream);
  CHECK(second.resumeText == "abc ");
  const Actions taken = fixture.progress(second, 4, "def ");
  CHECK(cancels(taken, fixture.first));
  CHECK(count<StreamToCaller>(taken) == 1);
}

// Guards against a silent attempt that is given up before its replacement has
// brought anything.
TEST_CASE("a silent attempt that goes on first keeps the response") {
  SilenceFixture fixture(2);
  fixture.progress(fixture.first, 0, "abc ");
  const StartAttempt second = SilenceFixture::startOf(fixture.wait(Silence));
  const Actions resumed = fixture.progress(fixture.first, 4, "def ");
  CHECK(cancels(resumed, second));
  CHECK_FALSE(cancels(resumed, fixture.first));
  CHECK(count<StreamToCaller>(resumed) == 1);
}

// Guards against a response that ends because its replacement fails or is
// rejected.
TEST_CASE("a replacement that fails leaves the silent attempt in place") {
  for (const FailureKind kind :
       {FailureKind::NotSent, FailureKind::Refused, FailureKind::Rejected,
        FailureKind::ResponseLost}) {
    SilenceFixture fixture(2);
    fixture.progress(fixture.first, 0, "abc ");
    const StartAttempt second = SilenceFixture::startOf(fixture.wait(Silence));
    const Actions failed = fixture.fail(second, kind);
    CHECK(count<RespondToCaller>(failed) == 0);
    CHECK(count<CancelAttempt>(failed) == 0);
    const Actions ended = fixture.handle(
        AttemptSucceeded{fixture.first.attempt, "abc def ", Usage()});
    CHECK(count<RespondToCaller>(ended) == 1);
  }
}

// Guards against a response that ends because its upstream, which nothing can
// replace, is silent for a while.
TEST_CASE("without another upstream a silent attempt is kept") {
  SilenceFixture fixture(1);
  fixture.progress(fixture.first, 0, "abc ");
  const Actions waited = fixture.wait(Silence);
  CHECK(count<StartAttempt>(waited) == 0);
  CHECK(count<CancelAttempt>(waited) == 0);
  CHECK(count<RespondToCaller>(waited) == 0);
  // Its connection may be lost; it is tried anew beside the old attempt.
  const Actions longer = fixture.wait(LongSilence - Silence);
  CHECK(count<StartAttempt>(longer) == 1);
  CHECK(count<CancelAttempt>(longer) == 0);
}

// Guards against replacements without end, and against a caller that learns
// nothing at its deadline.
TEST_CASE("silence of all attempts ends at the deadline") {
  SilenceFixture fixture(8);
  fixture.progress(fixture.first, 0, "abc ");
  const Actions waited = fixture.wait(std::chrono::seconds(21));
  CHECK(count<StartAttempt>(waited) == 3);
  REQUIRE(count<RespondToCaller>(waited) == 1);
  for (const Action &action : waited)
    if (const auto *response = std::get_if<RespondToCaller>(&action))
      CHECK(response->outcome == Outcome::Incomplete);
}

// Guards against silences that use up the retries of later failures.
TEST_CASE("replacements of silent attempts leave the retries of failures") {
  SilenceFixture fixture(8);
  fixture.progress(fixture.first, 0, "abc ");
  StartAttempt live = fixture.first;
  std::uint64_t offset = 4;
  for (int i = 0; i < 3; ++i) {
    const StartAttempt next = SilenceFixture::startOf(fixture.wait(Silence));
    fixture.progress(next, offset, "def ");
    offset += 4;
    fixture.fail(live, FailureKind::Cancelled);
    live = next;
  }
  const Actions failed = fixture.fail(live, FailureKind::ResponseLost);
  CHECK(count<StartAttempt>(failed) == 1);
  CHECK(count<RespondToCaller>(failed) == 0);
}
