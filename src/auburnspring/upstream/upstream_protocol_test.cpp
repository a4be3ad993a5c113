#include "auburnspring/upstream/upstream_protocol.h"

#include <catch2/catch.hpp>

using namespace auburnspring;

namespace {

FailureKind failureOf(int status, const std::string &body) {
  return std::get<AttemptFailed>(parseStageResponse({}, status, body)).kind;
}

} // namespace

TEST_CASE("an error response is classified by its body, whatever its types") {
  CHECK(failureOf(503, R"({"outcome":"not-run"})") == FailureKind::Refused);
  CHECK(failureOf(503, R"({"outcome":"not-run","leaving":true})") ==
        FailureKind::Leaving);
  for (const char *body :
       {R"({"outcome":7})", R"({"outcome":["not-run"]})", "[]", "3", "{"})
    CHECK(failureOf(503, body) == FailureKind::UpstreamFailed);
  CHECK(failureOf(503, R"({"outcome":"not-run","leaving":"yes"})") ==
        FailureKind::Refused);
  CHECK(failureOf(422, R"({"outcome":null})") == FailureKind::Rejected);
}
