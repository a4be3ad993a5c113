#include "auburnspring/decision/placement.h"

#include <catch2/catch.hpp>

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
  return request;
}

const EngineLimits Limits{16, 500000};

} // namespace

TEST_CASE(
    "the wait for a cached prefix that is worth it does not depend on the "
    "speed of the engines") {
  for (const double tokensPerMs : {38.0, 112.0, 400.0}) {
    const auto list = engines(12);
    std::mt19937_64 random(5);
    const std::vector<PromptPart> prompt = {{"session", 5000}, {"own", 700}};
    const UpstreamStatePtr first = placeOnEngine(
        list, Limits, request(prompt, tokensPerMs), at(0), &random);
    first->prefillTokens = 6000;
    CHECK(placeOnEngine(list, Limits, request(prompt, tokensPerMs), at(0),
                        &random) == first);
    // A queue that takes longer than prefilling the prefix again.
    first->prefillTokens = 80000;
    CHECK(placeOnEngine(list, Limits, request(prompt, tokensPerMs), at(0),
                        &random) != first);
  }
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
