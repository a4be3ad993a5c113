#include "auburnspring/http/timer.h"

#include "auburnspring/base/clock.h"

#include <asio/io_context.hpp>
#include <asio/post.hpp>
#include <catch2/catch.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <thread>

using namespace auburnspring;

namespace {

using std::chrono::milliseconds;

/// Two timers that expire in one turn of the event loop, the first of which
/// does something to the second.
int runsOfSecond(const std::function<void(std::optional<http::Timer> *)> &act) {
  asio::io_context io;
  http::Timer first(io);
  std::optional<http::Timer> second;
  second.emplace(io);
  int runs = 0;
  first.startAfter(milliseconds(1), [&] { act(&second); });
  second->startAfter(milliseconds(2), [&] { ++runs; });
  std::this_thread::sleep_for(milliseconds(10));
  io.run();
  return runs;
}

} // namespace

// Each guards against LOST: a handler that was queued as its timer was
// cancelled ran on what no longer existed, and ended the process.

TEST_CASE("an expired timer whose handler is queued can be cancelled") {
  CHECK(runsOfSecond([](auto *) {}) == 1);
  CHECK(runsOfSecond([](auto *second) { (*second)->cancel(); }) == 0);
}

TEST_CASE("a timer that is destroyed takes its queued handler back") {
  CHECK(runsOfSecond([](auto *second) { second->reset(); }) == 0);
}

TEST_CASE("a timer that is started again has one handler") {
  int runs = 0;
  const int former = runsOfSecond([&](auto *second) {
    (*second)->startAfter(milliseconds(1), [&] { ++runs; });
  });
  CHECK(former == 0);
  CHECK(runs == 1);
}

TEST_CASE("a timer's handler may destroy the timer, or start it again") {
  asio::io_context io;
  auto timer = std::make_unique<http::Timer>(io);
  int runs = 0;
  timer->startAt(steadyNow(), [&] {
    ++runs;
    timer->startAfter(milliseconds(1), [&] {
      ++runs;
      timer.reset();
    });
  });
  io.run();
  CHECK(runs == 2);
  CHECK_FALSE(timer);
}

TEST_CASE("a bound handler runs as long as its scope") {
  asio::io_context io;
  int sum = 0;
  std::optional<HandlerScope> scope;
  scope.emplace();
  const std::function<void(int)> add =
      scope->bind([&](int value) { sum += value; });
  add(1);
  // Queued before the scope ends.
  asio::post(io, scope->bind([&] { sum += 10; }));
  scope->reset();
  add(100);
  asio::post(io, scope->bind([&] { sum += 1000; }));
  io.poll();
  CHECK(sum == 1001);
  asio::post(io, scope->bind([&] { sum += 10000; }));
  scope.reset();
  io.restart();
  io.poll();
  CHECK(sum == 1001);
}

TEST_CASE("a bound handler that can only be moved takes moved arguments") {
  HandlerScope scope;
  std::unique_ptr<int> kept;
  auto keep = scope.bind(
      [&, extra = std::make_unique<int>(1)](std::unique_ptr<int> value) {
        kept = std::move(value);
        *kept += *extra;
      });
  keep(std::make_unique<int>(4));
  REQUIRE(kept);
  CHECK(*kept == 5);
}
