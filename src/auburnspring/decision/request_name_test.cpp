#include "auburnspring/decision/request_name.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <tuple>

using namespace auburnspring;

TEST_CASE("a request is the same by its target, caller and body") {
  const std::string name = requestName("/a/1", "bozi", "body");
  CHECK(name == requestName("/a/1", "bozi", "body"));
  CHECK(name != requestName("/a/2", "bozi", "body"));
  CHECK(name != requestName("/a/1", "mide", "body"));
  CHECK(name != requestName("/a/1", "bozi", ""));
  CHECK(isRequestName(name));
  CHECK_FALSE(isRequestName("5c1e07a2"));
  CHECK(isRequestName(stageName(name, 2)));
  CHECK(stageName(name, 1) != stageName(name, 2));
  CHECK(name.size() <= 64);
}

TEST_CASE("no two requests share a name", "[property]") {
  CHECK(
      rc::check([](const std::tuple<std::string, std::string, std::string> &a,
                   const std::tuple<std::string, std::string, std::string> &b) {
        const auto name = [](const auto &request) {
          return requestName(std::get<0>(request), std::get<1>(request),
                             std::get<2>(request));
        };
        RC_ASSERT((a == b) == (name(a) == name(b)));
      }));
}
