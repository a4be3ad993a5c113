#include "auburnspring/decision/placement.h"

#include <catch2/catch.hpp>

#include <map>
#include <set>

using namespace auburnspring;

namespace {

TimePoint at(std::int64_t millis) {
  return TimePoint(std::chrono::milliseconds(1000000 + millis));
}

std::vector<UpstreamStatePtr> engines(int count) {
  std::vector<UpstreamStatePtr> list;
  for (int i = 0; i < count; ++i) {
    list.push_back(std::make_shared<UpstreamState>());
    list.back()->entry.id = "engine-" + std::to_string(i);
  }
  return list;
}

PlacementRequest request(const std::vector<PromptPart> &prompt,
                         double tokensPerMs) {
  PlacementRequest request;
  request.prompt = prompt;
  for (const PromptPart &part : prompt)
    request.promptTokens += part.tokens;
  request.outputTokens = 300;
  request.prefillMillisPerToken = 1 / tokensPerMs;
  request.eventGap = std::chrono::milliseconds(400);
  return request;
}

const EngineLimits Limits{16, 500000};

} // namespace

TEST_CASE("pattern: prompts of very different length share a pool, and a long "
          "one does not pause the streams of the others") {
  for (const double tokensPerMs : {38.0, 112.0, 400.0}) {
    const auto list = engines(48);
    std::mt19937_64 random(5);
    std::set<std::string> longAt;
    std::set<std::string> othersAt;
    for (int i = 0; i < 200; ++i) {
      const auto session = "s" + std::to_string(i);
      // 250 and 50 ms of prefill at any speed.
      const std::vector<PromptPart> longPrompt = {
          {session, 500},
          {"own", static_cast<std::int64_t>(250 * tokensPerMs)}};
      const std::vector<PromptPart> other = {
          {session, 500}, {"own", static_cast<std::int64_t>(50 * tokensPerMs)}};
      longAt.insert(placeOnEngine(list, Limits,
                                  request(longPrompt, tokensPerMs), at(0),
                                  &random)
                        ->entry.id);
      othersAt.insert(placeOnEngine(list, Limits, request(other, tokensPerMs),
                                    at(0), &random)
                          ->entry.id);
    }
    CHECK(longAt.size() == 6);
    CHECK(othersAt.size() > 30);
    for (const std::string &id : longAt)
      CHECK(othersAt.count(id) == 0);
  }
}

TEST_CASE("engines for long prompts take others once the rest is busy") {
  const auto list = engines(16);
  std::mt19937_64 random(5);
  const std::vector<PromptPart> prompt = {{"own", 2000}};
  std::set<std::string> before;
  for (int i = 0; i < 100; ++i)
    before.insert(
        placeOnEngine(list, Limits, request(prompt, 100), at(0), &random)
            ->entry.id);
  CHECK(before.size() == 14);
  for (const UpstreamStatePtr &engine : list)
    if (before.count(engine->entry.id) > 0)
      engine->inFlight = 16;
  for (int i = 0; i < 20; ++i)
    CHECK(before.count(
              placeOnEngine(list, Limits, request(prompt, 100), at(0), &random)
                  ->entry.id) == 0);
}

TEST_CASE("a choice tells how many tokens are prefilled before the request") {
  const auto list = engines(1);
  list[0]->prefillTokens = 3000;
  std::mt19937_64 random(5);
  const std::vector<PromptPart> prompt = {{"shared", 1000}, {"own", 700}};
  const EngineChoice choice =
      chooseEngine(list, Limits, request(prompt, 100), at(0), &random);
  CHECK(choice.engine == list[0]);
  CHECK(choice.pendingTokens == 3700);
}
