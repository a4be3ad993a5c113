#include "auburnspring/http/message_reader.h"
#include "raw_upstream.h"

#include <catch2/catch.hpp>

#include <string>
#include <utility>
#include <vector>

using namespace auburnspring;
using namespace auburnspring::http;

namespace {

const std::string Ok = "HTTP/1.1 200 OK\r\n";
const std::string Sized = "Content-Length: 2\r\n\r\nok";
const std::string ChunkedOk = Ok + "Transfer-Encoding: chunked\r\n\r\n";
const std::string OneChunk = "2\r\nok\r\n0\r\n\r\n";

const std::vector<std::string> MalformedStatusLines = {
    "HTTP/1.1 000 Broken\r\n", "HTTP/1.1 099 Broken\r\n",
    "HTTP/1.1 600 Broken\r\n", "HTTP/1.1 999 Broken\r\n",
    "HTTP/1.1 20 OK\r\n",      "HTTP/1.1 0200 OK\r\n",
    "HTTP/1.1 2000 OK\r\n",    "HTTP/1.1 2x0 OK\r\n",
    "HTTP/1.1  200 OK\r\n",    "HTTP/1.1 200OK\r\n",
    "HTTP/9.1 200 OK\r\n",     "HTTP/0.9 200 OK\r\n",
    "HTTP/1 200 OK\r\n",       "HTTP/1.1 200 O\x01K\r\n",
    "HTTP/1.1 200 OK\n",       "HTTP/1.1 -200 OK\r\n"};

const std::vector<std::string> MalformedLines = {
    "no field\r\n",        "nofield\r\n",
    ": no name\r\n",       " folded\r\n",
    "A: b\r\n folded\r\n", "A: b\r\n\tfolded\r\n",
    "A:\r\n folded\r\n",   "A B: c\r\n",
    "A : c\r\n",           "A\tB: c\r\n",
    "A\x01: c\r\n",        "A\x7f: c\r\n",
    "A\xc3\xa4: c\r\n",    std::string("A\0: c\r\n", 7),
    "A(B): c\r\n",         "A: \x01 c\r\n",
    "A: b\x1f\r\n",        std::string("A: b\0c\r\n", 8),
    "A: b\rc\r\n",         "A: b\n"};

const std::vector<std::string> MalformedFraming = {
    "Content-Length:\r\n\r\nok",
    "Content-Length: \r\n\r\nok",
    "Content-Length: x\r\n\r\nok",
    "Content-Length: 2x\r\n\r\nok",
    "Content-Length: x2\r\n\r\nok",
    "Content-Length: +2\r\n\r\nok",
    "Content-Length: -2\r\n\r\nok",
    "Content-Length: 0x2\r\n\r\nok",
    "Content-Length: 2.0\r\n\r\nok",
    "Content-Length: 2, 2\r\n\r\nok",
    "Content-Length: 2 2\r\n\r\nok",
    "Content-Length: 2\r\nContent-Length: 3\r\n\r\nok",
    "Content-Length: 99999999999999999999\r\n\r\nok",
    "Content-Length : 2\r\n\r\nok",
    "Content Length: 2\r\n\r\nok",
    "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n" + OneChunk,
    "Transfer-Encoding:\r\n\r\n" + OneChunk,
    "Transfer-Encoding: chunkee\r\n\r\n" + OneChunk,
    "Transfer-Encoding: chunked, x\r\n\r\n" + OneChunk,
    "Transfer-Encoding: x, chunked\r\n\r\n" + OneChunk,
    "Transfer-Encoding: gzip\r\n\r\nok",
    "Transfer-Encoding: identity\r\n\r\nok",
    "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n" +
        OneChunk,
    "Transfer-Encoding: gzip\r\nContent-Length: 2\r\n\r\nok",
    "Transfer-Encoding: chunked\r\n\rx" + OneChunk};

/// Chunked bodies of two bytes whose framing is damaged.
const std::vector<std::string> MalformedChunks = {
    "2\r\nokXY0\r\n\r\n",
    "2\r\nok\r\r0\r\n\r\n",
    "2\rXok\r\n0\r\n\r\n",
    "2\nok\r\n0\r\n\r\n",
    "-2\r\nok\r\n0\r\n\r\n",
    "\r\nok\r\n0\r\n\r\n",
    "x\r\nok\r\n0\r\n\r\n",
    "2x\r\nok\r\n0\r\n\r\n",
    "1\r\nok\r\n0\r\n\r\n",
    "3\r\nok\r\n0\r\n\r\n",
    "fffffffffffffffff\r\nok\r\n0\r\n\r\n",
    "2\r\nok\r\n0\r\nno field\r\n\r\n",
    "2\r\nok\r\n0\r\nA B: c\r\n\r\n",
    "2\r\nok\r\n0\r\nA: b\r\n folded\r\n\r\n"};

/// Reads a response one byte at a time; returns the body if it is complete.
std::optional<std::string> readBytewise(const std::string &response) {
  std::string body;
  bool isComplete = false;
  MessageReader reader(MessageKind::Response, 64 << 10,
                       {nullptr,
                        [&](std::string_view bytes) { body.append(bytes); },
                        [&] { isComplete = true; }});
  for (std::size_t i = 0; i < response.size() && !isComplete; ++i)
    if (!reader.feed(std::string_view(response).substr(i, 1)).ok())
      return std::nullopt;
  if (!isComplete && !reader.finish().ok())
    return std::nullopt;
  return isComplete ? std::make_optional(body) : std::nullopt;
}

void checkRefused(const std::string &response) {
  INFO(response);
  const CallResult result = callOnce(response);
  CHECK(result.status == CallStatus::Failed);
  CHECK(result.head.status == 0);
  CHECK(result.body.empty());
  CHECK_FALSE(readBytewise(response));
}

} // namespace

// Each guards against a damaged response that is passed on as an answer
// (MIXED).

TEST_CASE("a response with a malformed status line is none") {
  for (const std::string &line : MalformedStatusLines)
    checkRefused(line + Sized);
}

TEST_CASE("a response with a line in its head that is no field is none") {
  for (const std::string &line : MalformedLines) {
    checkRefused(Ok + line + Sized);
    checkRefused(Ok + "A: b\r\n" + line + Sized);
    checkRefused(Ok + line + "Transfer-Encoding: chunked\r\n\r\n" + OneChunk);
  }
}

TEST_CASE("a response whose head does not tell where its body ends is none") {
  for (const std::string &framing : MalformedFraming) {
    checkRefused(Ok + framing);
    checkRefused(Ok + "A: b\r\n" + framing);
  }
}

TEST_CASE("a response with a body where its status allows none is none") {
  checkRefused("HTTP/1.1 204 No Content\r\n" + Sized);
  checkRefused("HTTP/1.1 204 No Content\r\nTransfer-Encoding: chunked\r\n\r\n" +
               OneChunk);
  checkRefused("HTTP/1.1 100 Continue\r\n" + Sized + Ok + Sized);
}

TEST_CASE("a chunked body with damaged framing is not complete") {
  for (const std::string &chunks : MalformedChunks) {
    INFO(chunks);
    CHECK(callOnce(ChunkedOk + chunks).status == CallStatus::Failed);
    CHECK_FALSE(readBytewise(ChunkedOk + chunks));
  }
}

TEST_CASE("a damaged response after an interim or another's one is none") {
  const std::string other = Ok + "Id: other\r\nContent-Length: 3\r\n\r\nold";
  const std::string damaged = "HTTP/1.1 000 Broken\r\nId: mine\r\n" + Sized;
  for (const std::string &first :
       {std::string("HTTP/1.1 100 Continue\r\n\r\n"), other}) {
    INFO(first);
    const CallResult result = callOnce(first + damaged, false, "mine");
    CHECK(result.status == CallStatus::Failed);
    CHECK(result.head.status == 0);
  }
}

TEST_CASE("unusual responses that the grammar allows are read") {
  const std::vector<std::pair<std::string, std::string>> responses = {
      {"HTTP/1.1 200\r\n" + Sized, "ok"},
      {"HTTP/1.1 200 \r\n" + Sized, "ok"},
      {"HTTP/1.0 200 OK\r\n" + Sized, "ok"},
      {"HTTP/1.1 200 Tr\xc3\xa8s bien\r\n" + Sized, "ok"},
      {"HTTP/1.1 599 Odd\r\n" + Sized, "ok"},
      {Ok + "A:\r\nB:b\r\nC: \t c\t \r\n!#$%&'*+-.^_`|~0: \xff\r\n" + Sized,
       "ok"},
      {Ok + "Content-Length:2\r\n\r\nok", "ok"},
      {Ok + "content-length:  002 \r\n\r\nok", "ok"},
      {Ok + "transfer-encoding: Chunked \r\n\r\n" + OneChunk, "ok"},
      {ChunkedOk + "1;name=value\r\no\r\n001 \r\nk\r\n00\r\nA: b\r\n\r\n",
       "ok"},
      {ChunkedOk + "A\r\n0123456789\r\n0\r\n\r\n", "0123456789"},
      {ChunkedOk + "0\r\n\r\n", ""},
      {Ok + "Content-Length: 0\r\n\r\n", ""},
      {"HTTP/1.1 204 No Content\r\n\r\n", ""},
      {"HTTP/1.1 204 No Content\r\nContent-Length: 0\r\n\r\n", ""},
      {"HTTP/1.1 304 Not Modified\r\nContent-Length: 2\r\n\r\n", ""},
      {Ok + "\r\nok", "ok"}};
  for (const auto &response : responses) {
    INFO(response.first);
    const CallResult result = callOnce(response.first);
    CHECK(result.status == CallStatus::Complete);
    CHECK(result.body == response.second);
    CHECK(readBytewise(response.first) == response.second);
  }
}
