#include "auburnspring/decision/stream_origin_check.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <random>
#include <string>
#include <vector>

using namespace auburnspring;

namespace {

using Found = StreamOrigins::Found;
using Hosts = std::vector<std::string>;

Found learned(const std::string &version, std::uint64_t revision,
              const std::string &recorder, bool isBound = false) {
  return {{"r", "models", version, revision, std::chrono::seconds(20), isBound},
          StreamOrigins::Source::Peer,
          recorder};
}

std::string versionOf(const StreamOriginCheck &check) {
  return check.origin() ? check.origin()->softwareVersion : "";
}

} // namespace

// Each guards against ORDER: a correction may have been lost on the way to the
// hosts that reply.

TEST_CASE("an origin that is not bound counts once its recorder has replied") {
  StreamOriginCheck check("self", learned("v1", 1, "a"), Hosts{"a", "b"});
  CHECK_FALSE(check.isOver());
  check.onReply("b", learned("v1", 1, "a"));
  CHECK_FALSE(check.isOver());
  check.onReply("a", learned("v2", 2, "a"));
  CHECK(check.isOver());
  CHECK(versionOf(check) == "v2");
}

TEST_CASE("a bound origin counts whoever replies with it") {
  StreamOriginCheck check("self", learned("v1", 1, "a"), Hosts{"a", "b"});
  check.onReply("b", learned("v2", 2, "a", true));
  CHECK(check.isOver());
  CHECK(versionOf(check) == "v2");
}

TEST_CASE("the recorder is asked once a holder has named it") {
  StreamOriginCheck check("self", std::nullopt, Hosts{"b", "c"});
  check.onReply("b", learned("v1", 1, "a"));
  CHECK(check.missing() == std::set<std::string>{"a", "c"});
  check.onReply("c", std::nullopt);
  CHECK_FALSE(check.isOver());
  check.onReply("a", learned("v1", 1, "a"));
  CHECK(versionOf(check) == "v1");
}

TEST_CASE("an origin whose recorder does not know it counts for nothing") {
  StreamOriginCheck check("self", learned("v1", 1, "a"), Hosts{"a", "b"});
  check.onReply("a", std::nullopt);
  CHECK_FALSE(check.isOver());
  check.onReply("b", learned("v1", 1, "a"));
  CHECK(check.isOver());
  CHECK_FALSE(check.origin());
}

TEST_CASE("an origin of an unknown recorder is not taken for the sender's") {
  StreamOriginCheck check("self", std::nullopt, Hosts{"b"});
  check.onReply("b", learned("v1", 1, ""));
  CHECK(check.isOver());
  CHECK_FALSE(check.origin());
}

TEST_CASE("a host that has forgotten its own record does not ask itself") {
  StreamOriginCheck check("self", std::nullopt, Hosts{"b"});
  check.onReply("b", learned("v1", 1, "self"));
  CHECK(check.isOver());
  CHECK_FALSE(check.origin());
}

TEST_CASE("a recorder that knows less than another host does not count") {
  StreamOriginCheck check("self", std::nullopt, Hosts{"a", "b"});
  check.onReply("b", learned("v2", 2, "a"));
  check.onReply("a", learned("v1", 1, "a"));
  CHECK(check.isOver());
  CHECK_FALSE(check.origin());
}

TEST_CASE("no order of replies, of which some get lost, brings an origin that "
          "has been corrected") {
  CHECK(rc::check([] {
    // Host 0 recorded v1 and corrected it; the others know any part of that.
    const auto corrections = *rc::gen::inRange<std::uint64_t>(0, 3);
    const bool isBound = *rc::gen::arbitrary<bool>();
    const auto version = [](std::uint64_t revision) {
      return "v" + std::to_string(revision);
    };
    const std::uint64_t latest = corrections + 1;
    Hosts order = {"a", "b", "c", "d"};
    const Hosts hosts = order;
    std::mt19937 random(*rc::gen::arbitrary<std::uint32_t>());
    std::shuffle(order.begin(), order.end(), random);
    const auto known = *rc::gen::inRange<std::uint64_t>(0, latest + 1);
    StreamOriginCheck check(
        "self",
        known > 0 ? std::make_optional(learned(version(known), known, "a"))
                  : std::nullopt,
        hosts);
    for (const std::string &host : order) {
      if (*rc::gen::inRange(0, 4) == 0)
        continue;
      const auto revision =
          host == "a" ? latest
                      : *rc::gen::inRange<std::uint64_t>(0, latest + 1);
      check.onReply(host, revision == 0 ? std::nullopt
                                        : std::make_optional(learned(
                                              version(revision), revision, "a",
                                              isBound && revision == latest)));
    }
    if (check.origin())
      RC_ASSERT(check.origin()->softwareVersion == version(latest));
  }));
}
