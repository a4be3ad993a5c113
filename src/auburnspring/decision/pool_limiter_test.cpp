#include "auburnspring/decision/pool_limiter.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <map>

using namespace auburnspring;

namespace {

PoolLimiter::Options optionsWithLimit(double limit) {
  PoolLimiter::Options options;
  options.initialLimit = limit;
  return options;
}

SlotRequest slotFor(const std::string &organisation, RequestId request,
                    double weight = 1) {
  SlotRequest made;
  made.organisation = organisation;
  made.request = request;
  made.weight = weight;
  return made;
}

} // namespace

TEST_CASE("requests are granted up to the limit, then queued, then refused") {
  PoolLimiter::Options options = optionsWithLimit(2);
  options.maxQueued = 1;
  options.reservedShare = 0;
  PoolLimiter limiter(options);
  CHECK(limiter.acquire(slotFor("a", 1)) == SlotResult::Granted);
  CHECK(limiter.acquire(slotFor("a", 2)) == SlotResult::Granted);
  CHECK(limiter.acquire(slotFor("a", 3)) == SlotResult::Queued);
  CHECK(limiter.acquire(slotFor("a", 4)) == SlotResult::Full);
  std::vector<SlotRequest> granted;
  limiter.release("a", &granted);
  REQUIRE(granted.size() == 1);
  CHECK(granted.front().request == 3);
}

TEST_CASE("a request removed from the queue is not granted a slot") {
  PoolLimiter::Options options = optionsWithLimit(1);
  PoolLimiter limiter(options);
  limiter.acquire(slotFor("a", 1));
  limiter.acquire(slotFor("a", 2));
  limiter.removeQueued(2);
  std::vector<SlotRequest> granted;
  limiter.release("a", &granted);
  CHECK(granted.empty());
}

TEST_CASE("reserved slots are granted to an organisation that holds few") {
  PoolLimiter limiter(optionsWithLimit(20));
  RequestId number = 0;
  for (int i = 0; i < 40; ++i)
    limiter.acquire(slotFor("large", ++number));
  CHECK(limiter.stats().inUse == 18);
  CHECK(limiter.acquire(slotFor("small", ++number)) == SlotResult::Granted);
}

TEST_CASE("organisations share slot time by weight") {
  PoolLimiter limiter(optionsWithLimit(4));
  RequestId number = 0;
  std::map<std::string, double> served;
  std::vector<std::string> running;
  std::map<std::string, int> waiting;
  // Each organisation keeps three requests queued; those of "long" take three
  // times as long, and "heavy" has twice the weight.
  const auto refill = [&] {
    for (const char *name : {"long", "short", "heavy"})
      while (waiting[name] < 3) {
        SlotRequest request = slotFor(name, ++number);
        request.cost =
            std::chrono::milliseconds(request.organisation == "long" ? 30 : 10);
        request.weight = request.organisation == "heavy" ? 2 : 1;
        if (limiter.acquire(request) == SlotResult::Granted)
          running.push_back(name);
        else
          ++waiting[name];
      }
  };
  for (int round = 0; round < 2000; ++round) {
    refill();
    const std::string ended = running.front();
    running.erase(running.begin());
    served[ended] += ended == "long" ? 30 : 10;
    std::vector<SlotRequest> granted;
    limiter.release(ended, &granted);
    for (const SlotRequest &next : granted) {
      running.push_back(next.organisation);
      --waiting[next.organisation];
    }
  }
  CHECK(served["long"] == Approx(served["short"]).epsilon(0.1));
  CHECK(served["heavy"] == Approx(2 * served["short"]).epsilon(0.1));
}

TEST_CASE("slots are neither lost nor granted twice under random operations") {
  CHECK(rc::check("slots", [](const std::vector<std::uint8_t> &moves) {
    PoolLimiter limiter(optionsWithLimit(3));
    std::map<RequestId, std::string> waiting;
    std::map<RequestId, std::string> running;
    RequestId number = 0;
    const auto start = [&](const SlotRequest &request) {
      RC_ASSERT(running.emplace(request.request, request.organisation).second);
      waiting.erase(request.request);
    };
    for (const std::uint8_t move : moves) {
      const std::string organisation(1, static_cast<char>('a' + move % 3));
      if (move % 4 != 0 || running.empty()) {
        const SlotRequest request = slotFor(organisation, ++number);
        if (limiter.acquire(request) == SlotResult::Granted)
          start(request);
        else
          waiting[request.request] = organisation;
      } else if (move % 8 == 0 && !waiting.empty()) {
        limiter.removeQueued(waiting.begin()->first);
        waiting.erase(waiting.begin());
      } else {
        const auto ended = *running.begin();
        running.erase(running.begin());
        std::vector<SlotRequest> granted;
        limiter.release(ended.second, &granted);
        for (const SlotRequest &next : granted)
          start(next);
      }
      const PoolLimiter::Stats stats = limiter.stats();
      RC_ASSERT(stats.inUse == static_cast<std::int64_t>(running.size()));
      RC_ASSERT(stats.queued == waiting.size());
      RC_ASSERT(running.size() <= 3U);
    }
  }));
}
