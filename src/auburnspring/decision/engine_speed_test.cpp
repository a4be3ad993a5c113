#include "auburnspring/decision/engine_speed.h"

#include <catch2/catch.hpp>

#include <random>

using namespace auburnspring;

namespace {

constexpr double BaseMillis = 60;

/// Lets the estimator observe requests of an engine that prefills
/// `tokensPerMs`.
void serve(EngineSpeedEstimator *speed, double tokensPerMs, int requests,
           std::mt19937_64 *random) {
  std::lognormal_distribution<double> tokens(8, 1);
  std::uniform_real_distribution<double> noise(0.9, 1.1);
  for (int i = 0; i < requests; ++i) {
    const double prompt = std::min(tokens(*random), 50000.0);
    const double millis = (BaseMillis + prompt / tokensPerMs) * noise(*random);
    speed->observe(static_cast<std::int64_t>(prompt),
                   Duration(static_cast<std::int64_t>(millis * 1000)));
  }
}

} // namespace

TEST_CASE("speed: engines of any speed are predicted after fifty requests") {
  for (const double tokensPerMs : {38.0, 112.0, 400.0}) {
    std::mt19937_64 random(7);
    EngineSpeedEstimator speed;
    serve(&speed, tokensPerMs, 50, &random);
    for (const std::int64_t tokens : {2000, 8000, 20000}) {
      const double expected =
          BaseMillis + static_cast<double>(tokens) / tokensPerMs;
      CHECK(toMillis(speed.firstEventDuration(tokens)) ==
            Approx(expected).epsilon(0.2));
    }
    CHECK(speed.relativeError() < 0.2);
  }
}

TEST_CASE("speed: engines that become slower or faster are followed") {
  for (const auto &[before, after] :
       {std::pair(112.0, 38.0), std::pair(38.0, 400.0)}) {
    std::mt19937_64 random(11);
    EngineSpeedEstimator speed;
    serve(&speed, before, 200, &random);
    serve(&speed, after, 80, &random);
    CHECK(toMillis(speed.firstEventDuration(20000)) ==
          Approx(BaseMillis + 20000 / after).epsilon(0.2));
  }
}

TEST_CASE(
    "pattern: long prompts meet on few engines, and their queueing is not "
    "taken for slowness") {
  std::mt19937_64 random(13);
  std::uniform_real_distribution<double> uniform(0, 1);
  EngineSpeedEstimator speed;
  for (int i = 0; i < 400; ++i) {
    const bool isLong = uniform(random) < 0.2;
    const double prompt =
        isLong ? 20000 + 20000 * uniform(random) : 500 + 6000 * uniform(random);
    // Half of the long ones wait for others, up to their own time three times.
    const double factor =
        isLong && uniform(random) < 0.5 ? 1 + 3 * uniform(random) : 1;
    const double millis =
        (BaseMillis + prompt / 112) * factor + 40 * uniform(random);
    speed.observe(static_cast<std::int64_t>(prompt),
                  Duration(static_cast<std::int64_t>(millis * 1000)));
  }
  CHECK(1 / speed.millisPerToken() == Approx(112).epsilon(0.35));
}

TEST_CASE("speed: prompts of one size say nothing about the rate") {
  EngineSpeedEstimator speed;
  for (int i = 0; i < 50; ++i)
    speed.observe(3000, std::chrono::milliseconds(500));
  CHECK(speed.millisPerToken() ==
        Approx(EngineSpeedEstimator::InitialMillisPerToken));
  CHECK(speed.firstEventDuration(3000) == std::chrono::milliseconds(500));
}

TEST_CASE("speed: a request that had to queue for long counts little") {
  std::mt19937_64 random(3);
  EngineSpeedEstimator speed;
  serve(&speed, 112, 100, &random);
  speed.observe(9000, std::chrono::seconds(10));
  CHECK(toMillis(speed.prefillDuration(11200)) == Approx(100).epsilon(0.5));
}
