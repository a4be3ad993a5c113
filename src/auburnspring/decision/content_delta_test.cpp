#include "auburnspring/decision/content_delta.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <numeric>
#include <random>

using namespace auburnspring;

namespace {

std::string randomText(std::size_t bytes, std::uint64_t seed) {
  std::mt19937_64 random(seed);
  std::string text(bytes, ' ');
  for (char &c : text)
    c = static_cast<char>(random() % 256);
  return text;
}

std::size_t sentBytes(const ContentDelta &delta) {
  return std::accumulate(delta.pieces.begin(), delta.pieces.end(),
                         std::size_t{0},
                         [](std::size_t sum, const ContentDelta::Piece &piece) {
                           return sum + piece.bytes.size();
                         });
}

/// The value after it went from one host to another that holds `held`.
std::optional<std::string> transfer(std::string_view value,
                                    std::string_view held) {
  ContentSplitter sender;
  ContentSplitter receiver;
  const auto delta = sender.difference(value, receiver.describe("k", held));
  return delta ? receiver.apply(*delta, held) : std::string(value);
}

} // namespace

// Guards against a large configuration that is sent whole for each of its
// changes, which a slow link can't pass in time (CONFIG).
TEST_CASE("an insertion in a large value is sent without what stays") {
  const std::string before = randomText(650000, 1);
  for (const std::size_t place : {std::size_t{0}, std::size_t{1000},
                                  std::size_t{300000}, before.size()}) {
    std::string after = before;
    after.insert(place, randomText(230, 2));
    ContentSplitter sender;
    ContentSplitter receiver;
    const HeldContent held = receiver.describe("k", before);
    CHECK(held.parts.size() <
          2 * before.size() / ContentSplitter::MeanPartBytes);
    const auto delta = sender.difference(after, held);
    REQUIRE(delta);
    CHECK(sentBytes(*delta) <= 3 * ContentSplitter::MaxPartBytes);
    CHECK(delta->pieces.size() <= 3);
    CHECK(receiver.apply(*delta, before) == after);
  }
}

TEST_CASE("a value of which nothing is held has no difference") {
  ContentSplitter splitter;
  CHECK_FALSE(splitter.difference(
      randomText(100000, 1), splitter.describe("k", randomText(100000, 2))));
  CHECK_FALSE(splitter.difference("", splitter.describe("k", "")));
}

TEST_CASE("a difference to another value than the one held is refused") {
  const std::string before = randomText(100000, 1);
  const std::string after = before + randomText(10, 2);
  ContentSplitter splitter;
  const auto delta = splitter.difference(after, splitter.describe("k", before));
  REQUIRE(delta);
  CHECK(splitter.apply(*delta, before));
  CHECK_FALSE(splitter.apply(*delta, after));
  ContentDelta damaged = *delta;
  damaged.pieces.back().bytes += "x";
  CHECK_FALSE(splitter.apply(damaged, before));
  damaged = *delta;
  damaged.pieces.front().count += 1000;
  CHECK_FALSE(splitter.apply(damaged, before));
}

TEST_CASE("whatever is held, a value arrives as it was") {
  CHECK(rc::check([] {
    const auto seed = *rc::gen::inRange(0, 1000);
    std::string held =
        randomText(static_cast<std::size_t>(*rc::gen::inRange(0, 60000)), 17);
    // Parts that come several times.
    if (*rc::gen::arbitrary<bool>())
      held += held;
    std::string value = held;
    const auto edits = *rc::gen::inRange(0, 4);
    for (int i = 0; i < edits && !value.empty(); ++i) {
      const auto place = static_cast<std::size_t>(
          *rc::gen::inRange<std::size_t>(0, value.size()));
      const auto length = static_cast<std::size_t>(*rc::gen::inRange(0, 9000));
      if (*rc::gen::arbitrary<bool>())
        value.erase(place, length);
      else
        value.insert(place,
                     randomText(length, static_cast<std::uint64_t>(seed + i)));
    }
    RC_ASSERT(transfer(value, held) == value);
  }));
}
