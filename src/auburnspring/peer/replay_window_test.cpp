#include "auburnspring/peer/replay_window.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <set>

using namespace auburnspring;

// Guards against a large reply that is dropped as a replay, since smaller
// messages on a newer connection have overtaken it (CONFIG).
TEST_CASE("a message that others have overtaken is new if it may arrive late") {
  ReplayWindow window(7);
  CHECK(window.accept(5, false));
  CHECK(window.accept(9, false));
  CHECK_FALSE(window.accept(8, false));
  CHECK(window.accept(7, true));
  CHECK_FALSE(window.accept(7, true));
  CHECK_FALSE(window.accept(5, true));
  CHECK_FALSE(window.accept(9, true));
  CHECK(window.accept(8, true));
}

TEST_CASE("a message older than the window is a replay") {
  ReplayWindow window(7);
  CHECK(window.accept(ReplayWindow::Size + 10, false));
  CHECK_FALSE(window.accept(10, true));
  CHECK(window.accept(11, true));
  CHECK(window.accept(5 * ReplayWindow::Size, false));
  CHECK(window.accept(5 * ReplayWindow::Size - 1, true));
}

TEST_CASE("no message is new twice, and one that is newest always is") {
  CHECK(rc::check([](const std::vector<std::uint16_t> &sequences,
                     const std::vector<bool> &late) {
    ReplayWindow window;
    std::set<std::uint64_t> accepted;
    std::uint64_t highest = 0;
    for (std::size_t i = 0; i < sequences.size(); ++i) {
      const std::uint64_t sequence = 1U + sequences[i];
      const bool isNew = window.accept(sequence, i < late.size() && late[i]);
      // RC_ASSERT evaluates both sides of an operator.
      const bool isFirst = !isNew || accepted.insert(sequence).second;
      RC_ASSERT(isFirst);
      RC_ASSERT(isNew || sequence <= highest);
      highest = std::max(highest, sequence);
    }
  }));
}
