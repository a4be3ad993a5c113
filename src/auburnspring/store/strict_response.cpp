#include "auburnspring/store/strict_response.h"

#include "auburnspring/http/head_validator.h"

#include <Poco/Net/NetException.h>

#include <istream>
#include <sstream>
#include <string>

namespace auburnspring {

namespace {

constexpr std::size_t MaxHeadBytes = 64 << 10;

void check(const absl::Status &status) {
  if (!status.ok())
    throw Poco::Net::MessageException(std::string(status.message()));
}

/// Reads one byte at a time, since the body follows in the same stream.
std::string readHead(std::istream *stream) {
  http::HeadValidator validator(http::MessageKind::Response);
  std::string head;
  while (!validator.isDone()) {
    char c = 0;
    if (!stream->get(c))
      throw Poco::Net::NoMessageException("the response ended in its head");
    head.push_back(c);
    if (head.size() > MaxHeadBytes)
      throw Poco::Net::MessageException("the head exceeds the size limit");
    check(validator.feed({&c, 1}).status());
  }
  return head;
}

} // namespace

void StrictResponse::read(std::istream &stream) {
  std::istringstream head(readHead(&stream));
  HTTPResponse::read(head);
  http::HeaderList headers;
  for (const auto &field : *this)
    headers.add(field.first, field.second);
  check(http::validateFraming(static_cast<int>(getStatus()), headers));
}

} // namespace auburnspring
