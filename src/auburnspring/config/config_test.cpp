#include "auburnspring/config/configuration.h"
#include "auburnspring/config/route_parser.h"
#include "auburnspring/config/settings.h"

#include "auburnspring/base/digest.h"

#include <catch2/catch.hpp>

using namespace auburnspring;

namespace {

constexpr const char *ValidRoute = R"({
  // A comment.
  "name": "grant-booking",
  "owner": "bathrooms",
  "deadline_ms": 3000,
  "repeat": "never",
  "stages": [
    { "kind": "encode", "pool": "encoders" },
    { "kind": "call", "pool": "grants" }
  ]
})";

std::string firstFault(const std::string &text) {
  Faults faults;
  REQUIRE_FALSE(parseRoute("r.json", text, &faults));
  REQUIRE_FALSE(faults.empty());
  return toString(faults.front());
}

std::string replaced(std::string text, const std::string &from,
                     const std::string &to) {
  return text.replace(text.find(from), from.size(), to);
}

} // namespace

TEST_CASE("a valid route parses") {
  Faults faults;
  const auto route = parseRoute("r.json", ValidRoute, &faults);
  REQUIRE(route);
  CHECK(route->stages.size() == 2);
  CHECK(route->runsAtMostOnce(route->stages[1]));
  CHECK_FALSE(route->runsAtMostOnce(route->stages[0]));
}

TEST_CASE(
    "a fault names the file, line and field and the found and allowed values") {
  CHECK(firstFault(replaced(ValidRoute, "3000", "\"3s\"")) ==
        "r.json:5: deadline_ms: found \"3s\", wanted a whole number");
  CHECK(firstFault(replaced(ValidRoute, "3000", "5")) ==
        "r.json:5: deadline_ms: found 5, allowed are 10 to 600000");
  CHECK(firstFault(replaced(ValidRoute, "\"repeat\"", "\"repaet\"")) ==
        "r.json:1: repeat: the field is required");
  CHECK(firstFault(replaced(ValidRoute, "\"call\"", "\"cal\"")) ==
        "r.json:9: stages[1].kind: found \"cal\", allowed are encode, "
        "retrieve, rerank, generate, call");
  CHECK(firstFault(replaced(ValidRoute, "\"owner\"", "\"ownre\": 1, \"owner\""))
            .find("did you mean \"owner\"") != std::string::npos);
  CHECK(firstFault(replaced(ValidRoute, "3000,", "3000"))
            .rfind("r.json:6: ", 0) == 0);
}

TEST_CASE("all faults of a file are reported at once") {
  Faults faults;
  CHECK_FALSE(
      parseRoute("r.json", R"({"name": 1, "deadline_ms": -1})", &faults));
  CHECK(faults.size() == 5);
}

TEST_CASE("a non-retryable route must have exactly one call stage") {
  CHECK(firstFault(
            replaced(ValidRoute, "\"encode\"", "\"call\", \"name\": \"x\""))
            .find("exactly one call stage, found 2") != std::string::npos);
}

TEST_CASE("faults in settings do not contain secrets") {
  Faults faults;
  CHECK_FALSE(parseSettings("s.json", R"({"peer_key": "geheim"})", &faults));
  for (const Fault &fault : faults)
    CHECK(toString(fault).find("geheim") == std::string::npos);
}

TEST_CASE("an endpoint is an IPv4 address with a port") {
  CHECK(parseEndpoint("127.0.0.1:80")->port == 80);
  CHECK_FALSE(parseEndpoint("localhost:80"));
  CHECK_FALSE(parseEndpoint("127.0.0.1:70000"));
  CHECK_FALSE(parseEndpoint("127.0.0.1"));
}

TEST_CASE(
    "a head round-trips through encoding and modified contents are refused") {
  ConfigurationBundle bundle;
  bundle.head.generation = 7;
  bundle.head.fileDigests["r.json"] = digestHex(ValidRoute);
  bundle.head.drained = {"engine-1"};
  bundle.head.history.push_back({7, "id", "ann", WallTime(5), "routes"});
  const auto head = decodeHead(encodeHead(bundle.head));
  REQUIRE(head.ok());
  CHECK(head->generation == 7);
  CHECK(head->history.front().publishId == "id");
  bundle.fileContents[digestHex(ValidRoute)] = ValidRoute;
  CHECK(buildRoutes(bundle).ok());
  bundle.fileContents[digestHex(ValidRoute)] += " ";
  CHECK(buildRoutes(bundle).status().code() == absl::StatusCode::kDataLoss);
  CHECK_FALSE(decodeHead("{}").ok());
}
