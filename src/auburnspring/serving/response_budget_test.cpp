#include "auburnspring/serving/response_share.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <memory>
#include <numeric>
#include <vector>

using namespace auburnspring;

namespace {

constexpr std::size_t Capacity = 1000;

} // namespace

TEST_CASE("a response alone may hold half of the budget") {
  ResponseBudget budget(Capacity);
  ResponseShare share(&budget);
  CHECK(share.resize(Capacity / 2));
  CHECK_FALSE(share.resize(Capacity / 2 + 1));
  CHECK(budget.heldBytes() == Capacity / 2);
}

TEST_CASE("responses that grow without end leave room for a small one") {
  ResponseBudget budget(Capacity);
  std::vector<std::unique_ptr<ResponseShare>> endless;
  for (int i = 0; i < 9; ++i)
    endless.push_back(std::make_unique<ResponseShare>(&budget));
  for (std::size_t bytes = 1; bytes <= Capacity; ++bytes)
    for (auto &share : endless)
      share->resize(bytes);
  CHECK(budget.heldBytes() <= Capacity * 9 / 10 + endless.size());
  ResponseShare small(&budget);
  CHECK(small.resize(Capacity / 20));
}

TEST_CASE("what shares hold is never more than the budget, and is returned") {
  CHECK(rc::check([] {
    ResponseBudget budget(Capacity);
    std::vector<std::size_t> held(5, 0);
    {
      std::vector<std::unique_ptr<ResponseShare>> shares;
      for (std::size_t i = 0; i < held.size(); ++i)
        shares.push_back(std::make_unique<ResponseShare>(&budget));
      const auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
          rc::gen::pair(rc::gen::inRange(0, 5), rc::gen::inRange(0, 700)));
      for (const auto &step : steps) {
        const auto i = static_cast<std::size_t>(step.first);
        const auto bytes = static_cast<std::size_t>(step.second);
        const bool isGranted = shares[i]->resize(bytes);
        RC_ASSERT(isGranted || bytes > held[i]);
        if (isGranted)
          held[i] = bytes;
        RC_ASSERT(budget.heldBytes() ==
                  std::accumulate(held.begin(), held.end(), std::size_t{0}));
        RC_ASSERT(budget.heldBytes() <= Capacity);
      }
    }
    RC_ASSERT(budget.heldBytes() == 0U);
  }));
}
