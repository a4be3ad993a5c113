#include "auburnspring/decision/placement.h"
#include "auburnspring/decision/retry_decision.h"
#include "auburnspring/decision/retry_quota.h"
#include "auburnspring/decision/stage_plan.h"
#include "auburnspring/decision/store_replica.h"
#include "auburnspring/decision/upstream_health.h"
#include "auburnspring/decision/upstream_registry.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace auburnspring;

namespace {

constexpr Duration Milli = std::chrono::milliseconds(1);

TimePoint at(std::int64_t millis) { return TimePoint() + Milli * millis; }

UpstreamEntry entry(const std::string &id, std::uint16_t port = 80,
                    std::int64_t incarnation = 1) {
  UpstreamEntry entry;
  entry.id = id;
  entry.pool = "p";
  entry.endpoint = {"10.0.0.1", port};
  entry.startedAtMillis = incarnation;
  return entry;
}

ServedRoute route(RetryPolicy policy, std::int64_t maxAttempts = 2) {
  ServedRoute route;
  route.retryPolicy = policy;
  route.maxAttempts = maxAttempts;
  return route;
}

} // namespace

TEST_CASE("retry: only requests that can't have run are retried or reported "
          "not run") {
  const ServedRoute nonRetryable = route(RetryPolicy::Never);
  const AttemptVerdict notSent = AttemptVerdict::NotSent;
  CHECK(decideRetry(nonRetryable, notSent, {0, 1, true}) ==
        RetryDecision::RetryElsewhere);
  CHECK(decideRetry(nonRetryable, notSent, {0, MaxAttemptsPerRequest, true}) ==
        RetryDecision::ReportNotRun);
  CHECK(decideRetry(nonRetryable, notSent, {0, 1, false}) ==
        RetryDecision::ReportNotRun);
  const AttemptVerdict refused = AttemptVerdict::NotRun;
  CHECK(decideRetry(nonRetryable, refused, {0, 1, true}) ==
        RetryDecision::RetryElsewhere);
  CHECK(decideWithoutRetry(refused, 0) == RetryDecision::ReportNotRun);
  CHECK(decideWithoutRetry(refused, 1) == RetryDecision::ReportUnknown);
  const AttemptVerdict connectionLost = AttemptVerdict::Broken;
  CHECK(decideRetry(nonRetryable, connectionLost, {1, 1, true}) ==
        RetryDecision::ReportUnknown);
  const AttemptVerdict unsignedOk = AttemptVerdict::Unusable;
  CHECK(decideRetry(nonRetryable, unsignedOk, {1, 1, true}) ==
        RetryDecision::ReportUnknown);
  const AttemptVerdict serverError = AttemptVerdict::ServerError;
  CHECK(decideRetry(nonRetryable, serverError, {1, 1, true}) ==
        RetryDecision::RelayResponse);
  const AttemptVerdict succeeded = AttemptVerdict::Answered;
  CHECK(decideRetry(nonRetryable, succeeded, {1, 1, true}) ==
        RetryDecision::RelayResponse);
}

TEST_CASE("retry: a retryable request is retried up to its attempt limit") {
  const ServedRoute retryable = route(RetryPolicy::Always);
  const AttemptVerdict connectionLost = AttemptVerdict::Broken;
  const AttemptVerdict serverError = AttemptVerdict::ServerError;
  CHECK(decideRetry(retryable, connectionLost, {1, 1, true}) ==
        RetryDecision::RetryElsewhere);
  CHECK(decideRetry(retryable, serverError, {1, 1, true}) ==
        RetryDecision::RetryElsewhere);
  CHECK(decideRetry(retryable, connectionLost, {2, 2, true}) ==
        RetryDecision::ReportUnknown);
  CHECK(decideRetry(retryable, serverError, {2, 2, true}) ==
        RetryDecision::RelayResponse);
  ServedRoute stream = route(RetryPolicy::Never);
  stream.isStream = stream.isResumable = true;
  CHECK(decideRetry(stream, connectionLost, {1, 1, true}) ==
        RetryDecision::RetryElsewhere);
}

TEST_CASE("retry: a request that may have run is never reported not run") {
  CHECK(rc::check([](bool isGenuine, bool needsOk, int status,
                     std::int64_t possibleRuns, std::int64_t attemptCount,
                     bool hasTime) {
    AttemptEvidence sent;
    sent.end = *rc::gen::element(ResponseEnd::Lost, ResponseEnd::TimedOut,
                                 ResponseEnd::Closed, ResponseEnd::Framed);
    sent.content = *rc::gen::element(
        ContentEnd::Opaque, ContentEnd::AtBoundary, ContentEnd::InsideEvent,
        ContentEnd::NoEvent, ContentEnd::NoFurtherEvent, ContentEnd::Malformed);
    sent.status = status;
    sent.isGenuine = isGenuine;
    sent.needsOk = needsOk;
    const AttemptVerdict verdict = judgeAttempt(sent);
    for (const RetryPolicy policy : {RetryPolicy::Never, RetryPolicy::Always}) {
      const RetryDecision decision = decideRetry(
          route(policy), verdict, {possibleRuns, attemptCount, hasTime});
      RC_ASSERT(decision != RetryDecision::ReportNotRun);
      if (policy == RetryPolicy::Never)
        RC_ASSERT(decision != RetryDecision::RetryElsewhere);
    }
  }));
}

TEST_CASE(
    "registry: leaving and removed upstreams are no longer in their pool") {
  UpstreamRegistry registry;
  CHECK(registry.put("s/a", entry("a"), at(0)) ==
        UpstreamRegistry::Change::Joined);
  registry.put("s/b", entry("b", 81), at(0));
  REQUIRE(registry.pool("p").size() == 2);
  UpstreamEntry leaving = entry("a");
  leaving.isLeaving = true;
  CHECK(registry.put("s/a", leaving, at(0)) == UpstreamRegistry::Change::Left);
  CHECK(registry.pool("p").size() == 1);
  CHECK(registry.remove("s/b", at(5000)) == UpstreamRegistry::Change::Left);
  CHECK(registry.pool("p").empty());
}

TEST_CASE(
    "registry: entries that expire in an outage stay until the grace ends") {
  UpstreamRegistry registry;
  registry.put("s/a", entry("a"), at(0));
  registry.put("s/b", entry("b", 81), at(0));
  registry.onStoreUnavailable();
  CHECK(registry.remove("s/a", at(1000)) == UpstreamRegistry::Change::Expired);
  CHECK(registry.pool("p").size() == 2);
  CHECK(registry.dropExpired(at(9000)).empty());
  registry.onStoreAvailable(at(9000));
  CHECK(registry.remove("s/b", at(9100)) == UpstreamRegistry::Change::Expired);
  CHECK(registry.put("s/b", entry("b", 81), at(0)) ==
        UpstreamRegistry::Change::Updated);
  CHECK(registry.dropExpired(at(10900)).empty());
  CHECK(registry.dropExpired(at(11400)) == std::vector<std::string>{"s/a"});
  REQUIRE(registry.pool("p").size() == 1);
  CHECK(registry.pool("p")[0]->entry.id == "b");
}

TEST_CASE(
    "registry: a removal that a connected peer confirms takes effect at once") {
  UpstreamRegistry registry;
  registry.put("s/a", entry("a"), at(0));
  registry.put("s/b", entry("b", 81), at(0));
  CHECK(registry.isStoreStable(at(5000)));
  registry.onStoreUnavailable();
  CHECK_FALSE(registry.isStoreStable(at(5000)));
  CHECK(registry.remove("s/a", at(5000)) == UpstreamRegistry::Change::Expired);
  CHECK(registry.remove("s/b", at(5000), true) ==
        UpstreamRegistry::Change::Left);
  CHECK(registry.pool("p").size() == 1);
  registry.onStoreAvailable(at(6000));
  CHECK_FALSE(registry.isStoreStable(at(7000)));
  CHECK(registry.isStoreStable(at(8300)));
}

TEST_CASE("registry: a new incarnation does not inherit an ejection") {
  UpstreamRegistry registry;
  registry.put("s/a", entry("a", 80, 1), at(0));
  const UpstreamStatePtr old = registry.byId("a");
  recordUnreachable(old.get(), at(1000));
  CHECK_FALSE(old->acceptsWork(at(1000)));
  registry.put("s/a", entry("a", 80, 2), at(0));
  CHECK(registry.byId("a")->acceptsWork(at(1000)));
  CHECK(old->isLeaving);
}

TEST_CASE("retry quota: a ratio of first attempts plus a share of the slack") {
  RetryQuota quota;
  quota.setLimits({0.2, 50, std::chrono::seconds(10)});
  quota.setSharingHosts(10);
  int granted = 0;
  while (quota.spend("p", 1, at(1000)))
    ++granted;
  CHECK(granted == 3);
  quota.recordFirstAttempts("p", 100, at(1000));
  while (quota.spend("p", 1, at(1000)))
    ++granted;
  CHECK(granted == 17);
  CHECK_FALSE(quota.spend("p", 1, at(10900)));
  CHECK(quota.spend("p", 1, at(11100)));
}

TEST_CASE("retry quota: all hosts together stay within the pool's budget") {
  CHECK(rc::check([](std::uint8_t hostCount, std::uint16_t firsts) {
    const std::size_t hosts = hostCount % 40 + 1;
    double granted = 0;
    for (std::size_t i = 0; i < hosts; ++i) {
      RetryQuota quota;
      quota.setLimits({0.2, 58, std::chrono::seconds(10)});
      quota.setSharingHosts(hosts);
      quota.recordFirstAttempts("p", firsts, at(0));
      while (quota.spend("p", 1, at(100)))
        ++granted;
    }
    RC_ASSERT(granted <= 0.2 * firsts * static_cast<double>(hosts) + 58);
  }));
}

TEST_CASE("plan: stages run in dependency order and empty ones are skipped") {
  StagePlan plan({{"a", {}, 0}, {"a", {}, 0}, {"b", {1}, 0}, {"c", {2}, 0}},
                 {0, 1, 4, 2});
  CHECK(plan.takeReady() == std::vector<std::uint32_t>{1});
  CHECK(plan.longestPathFrom(1) == 3);
  CHECK(plan.onStageDone(1, 0, {"r1"}).empty());
  CHECK(plan.takeReady() == std::vector<std::uint32_t>{2});
  CHECK(plan.inputsOf(2) == std::vector<std::string>{"r1"});
  CHECK(plan.onStageDone(2, 0, {"r2", "r3", "r4", "r5"}) ==
        std::vector<std::string>{"r1"});
  CHECK(plan.takeReady() == std::vector<std::uint32_t>{3});
  plan.onStageDone(3, 0, {"r6", "r7"});
  CHECK(plan.isDone());
  CHECK(plan.finalResults() == std::vector<std::string>{"r6", "r7"});
  CHECK(plan.takeHeldResults() == std::vector<std::string>{"r6", "r7"});
}

TEST_CASE("plan: a lost input restarts its chain of stages") {
  StagePlan plan({{"a", {}, 0}, {"b", {0}, 0}, {"c", {1}, 0}}, {1, 1, 1});
  plan.takeReady();
  plan.onStageDone(0, 0, {"x"});
  plan.takeReady();
  plan.onStageDone(1, 0, {"y"});
  CHECK(plan.takeReady() == std::vector<std::uint32_t>{2});
  REQUIRE(plan.onInputsGone(2, 0));
  CHECK(plan.takeReady() == std::vector<std::uint32_t>{0});
  // A late result of the previous attempt is not accepted for the new one.
  CHECK(plan.onStageDone(0, 0, {"late"}) == std::vector<std::string>{"late"});
  plan.onStageDone(0, plan.attempt(0), {"x2"});
  CHECK(plan.takeReady() == std::vector<std::uint32_t>{1});
  CHECK(plan.inputsOf(1) == std::vector<std::string>{"x2"});
}

TEST_CASE("plan: the number of restarts is bounded") {
  StagePlan plan({{"a", {}, 0}, {"b", {0}, 0}}, {1, 1});
  bool mayRestart = true;
  for (int i = 0; i < 10 && mayRestart; ++i) {
    plan.takeReady();
    plan.onStageDone(0, plan.attempt(0), {"x"});
    plan.takeReady();
    mayRestart = plan.onInputsGone(1, plan.attempt(1));
  }
  CHECK_FALSE(mayRestart);
}

// Guards against a final stage that is sent without its inputs (MIXED).
TEST_CASE("a stage plan whose attempts are spent starts no stage without its "
          "inputs") {
  StagePlan plan({{"a", {}, 0}, {"b", {0}, 0}, {"c", {1}, 0}}, {1, 1, 1});
  const auto finish = [&plan](std::uint32_t stage) {
    plan.takeReady();
    plan.onStageDone(stage, plan.attempt(stage), {"r"});
  };
  finish(0);
  for (int i = 0; i < 2; ++i) {
    plan.takeReady();
    REQUIRE(plan.onInputsGone(1, plan.attempt(1)));
    finish(0);
  }
  finish(1);
  finish(2);
  plan.takeHeldResults();
  REQUIRE(plan.restartFinalStages());
  finish(0);
  finish(1);
  finish(2);
  plan.takeHeldResults();
  CHECK_FALSE(plan.restartFinalStages());
  CHECK_FALSE(plan.restartFinalStages());
  CHECK(plan.takeReady().empty());
}

// Guards against a request that waits for a stage that nothing runs.
TEST_CASE("a failed stage runs again while it has attempts left") {
  StagePlan plan({{"a", {}, 0}, {"b", {0}, 0}}, {1, 1});
  plan.takeReady();
  plan.onStageDone(0, plan.attempt(0), {"r"});
  for (std::uint32_t i = 0; i < StagePlan::MaxStageAttempts; ++i) {
    CHECK(plan.canRestartFinalStages());
    REQUIRE(plan.takeReady() == std::vector<std::uint32_t>{1});
    CHECK(plan.inputsOf(1) == std::vector<std::string>{"r"});
    plan.onStageFailed(1, plan.attempt(1));
  }
  CHECK_FALSE(plan.canRestartFinalStages());
  CHECK(plan.takeReady().empty());
}

TEST_CASE("placement: a shared prompt stays on one engine until that is busy") {
  std::vector<UpstreamStatePtr> engines;
  for (int i = 0; i < 12; ++i) {
    engines.push_back(std::make_shared<UpstreamState>());
    engines.back()->entry = entry("e" + std::to_string(i));
  }
  std::mt19937_64 random(1);
  const std::vector<PromptPart> prompt = {
      {"system", 500}, {"session", 4800}, {"own", 900}};
  PlacementRequest request;
  request.prompt = prompt;
  request.promptTokens = 6200;
  const EngineLimits limits{48, 700000};
  const UpstreamStatePtr first =
      placeOnEngine(engines, limits, request, at(0), &random);
  for (int i = 0; i < 20; ++i)
    CHECK(placeOnEngine(engines, limits, request, at(0), &random) == first);
  first->prefillTokens = 60000;
  const UpstreamStatePtr second =
      placeOnEngine(engines, limits, request, at(0), &random);
  CHECK(second != first);
  first->prefillTokens = 0;
  first->inFlight = 48;
  CHECK(placeOnEngine(engines, limits, request, at(0), &random) != first);
  first->inFlight = 0;
  first->peers["other"] = {48, 0, 0, at(0)};
  CHECK(placeOnEngine(engines, limits, request, at(100), &random) != first);
  CHECK(placeOnEngine(engines, limits, request, at(9000), &random) == first);
}

TEST_CASE("placement: failing upstreams are avoided unless all are ejected") {
  std::vector<UpstreamStatePtr> plain;
  for (int i = 0; i < 2; ++i) {
    plain.push_back(std::make_shared<UpstreamState>());
    plain.back()->entry = entry("p" + std::to_string(i));
  }
  for (int i = 0; i < 20; ++i)
    recordUpstreamFailure(plain[0].get(), at(i * 10));
  std::mt19937_64 random(1);
  PlacementRequest request;
  for (int i = 0; i < 50; ++i)
    CHECK(placeOnUpstream(plain, request, at(200), &random) == plain[1]);
  recordUnreachable(plain[1].get(), at(200));
  // With every upstream ejected one of them is still used.
  CHECK(placeOnUpstream(plain, request, at(201), &random) != nullptr);
  const std::vector<std::string> avoid = {"p0", "p1"};
  request.avoid = avoid;
  CHECK(placeOnUpstream(plain, request, at(201), &random) == nullptr);
}

TEST_CASE(
    "placement: only a long cached prefix justifies a wait for its engine") {
  std::vector<UpstreamStatePtr> engines;
  for (int i = 0; i < 20; ++i) {
    engines.push_back(std::make_shared<UpstreamState>());
    engines.back()->entry = entry("e" + std::to_string(i));
  }
  std::mt19937_64 random(1);
  const EngineLimits limits{12, 400000};
  const auto choose = [&](std::int64_t shared) {
    const std::vector<PromptPart> prompt = {{"doc", shared}, {"own", 600}};
    PlacementRequest request;
    request.prompt = prompt;
    request.promptTokens = shared + 600;
    return placeOnEngine(engines, limits, request, at(0), &random);
  };
  const UpstreamStatePtr cachedEngine = choose(5000);
  CHECK(choose(200) == cachedEngine);
  // The engine is busy with a prefill for 120 ms.
  cachedEngine->prefillTokens = 12000;
  CHECK(choose(5000) == cachedEngine);
  CHECK(choose(200) != cachedEngine);
  // Overflow goes to one other engine, so that only that one caches the prefix
  // too.
  cachedEngine->inFlight = 12;
  const UpstreamStatePtr second = choose(5000);
  CHECK(second != cachedEngine);
  for (int i = 0; i < 20; ++i)
    CHECK(choose(5000) == second);
}
