#include "auburnspring/http/head_validator.h"

#include <absl/strings/ascii.h>
#include <absl/strings/string_view.h>

#include <algorithm>

namespace auburnspring::http {

namespace {

/// The status line up to the status code: 'd' stands for a digit, 'c' for the
/// class of a status.
constexpr std::string_view StatusLine = "HTTP/1.d cdd";

bool isDigit(char c) { return c >= '0' && c <= '9'; }

bool isTokenCharacter(char c) {
  constexpr std::string_view Punctuation = "!#$%&'*+-.^_`|~";
  return absl::ascii_isalnum(static_cast<unsigned char>(c)) ||
         Punctuation.find(c) != std::string_view::npos;
}

/// Visible characters, also beyond ASCII, blanks and tabs.
bool isTextCharacter(char c) {
  const auto byte = static_cast<unsigned char>(c);
  return c == '\t' || (byte >= ' ' && byte != 0x7f);
}

absl::string_view trim(const std::string &value) {
  return absl::StripAsciiWhitespace(value);
}

bool hasNoBody(int status) { return status / 100 == 1 || status == 204; }

} // namespace

HeadValidator::HeadValidator(MessageKind kind) : kind_(kind) { beginHead(); }

void HeadValidator::beginHead() {
  step_ = &HeadValidator::beforeStartLine;
  matched_ = 0;
  isDone_ = false;
}

void HeadValidator::beginTrailer() {
  step_ = &HeadValidator::lineStart;
  isDone_ = false;
}

absl::StatusOr<std::size_t> HeadValidator::feed(std::string_view bytes) {
  std::size_t consumed = 0;
  while (consumed < bytes.size() && !isDone_) {
    const Step step = step_;
    if ((this->*step)(bytes[consumed++]))
      continue;
    const bool isStartLine = step == &HeadValidator::statusLine ||
                             step == &HeadValidator::afterStatusCode ||
                             step == &HeadValidator::beforeStartLine;
    return absl::InvalidArgumentError(isStartLine ? "malformed status line"
                                                  : "malformed header line");
  }
  return consumed;
}

bool HeadValidator::beforeStartLine(char c) {
  if (c == '\r' || c == '\n')
    return true;
  step_ = kind_ == MessageKind::Response ? &HeadValidator::statusLine
                                         : &HeadValidator::restOfLine;
  return (this->*step_)(c);
}

bool HeadValidator::statusLine(char c) {
  const char expected = StatusLine[matched_++];
  if (matched_ == StatusLine.size())
    step_ = &HeadValidator::afterStatusCode;
  if (expected == 'd')
    return isDigit(c);
  if (expected == 'c')
    return c >= '1' && c <= '5';
  return c == expected;
}

bool HeadValidator::afterStatusCode(char c) {
  step_ = c == '\r' ? &HeadValidator::lineFeed : &HeadValidator::restOfLine;
  return c == '\r' || c == ' ';
}

bool HeadValidator::restOfLine(char c) {
  if (c == '\r')
    step_ = &HeadValidator::lineFeed;
  return c == '\r' || isTextCharacter(c);
}

bool HeadValidator::lineStart(char c) {
  step_ = c == '\r' ? &HeadValidator::finalLineFeed : &HeadValidator::fieldName;
  return c == '\r' || isTokenCharacter(c);
}

bool HeadValidator::fieldName(char c) {
  if (c == ':')
    step_ = &HeadValidator::restOfLine;
  return c == ':' || isTokenCharacter(c);
}

bool HeadValidator::lineFeed(char c) {
  step_ = &HeadValidator::lineStart;
  return c == '\n';
}

bool HeadValidator::finalLineFeed(char c) {
  isDone_ = true;
  return c == '\n';
}

absl::Status validateFraming(int status, const HeaderList &headers) {
  std::size_t lengths = 0;
  std::size_t codings = 0;
  bool isEmpty = true;
  for (const Header &field : headers.all()) {
    const absl::string_view value = trim(field.value);
    if (equalsIgnoringCase(field.name, "Content-Length")) {
      ++lengths;
      isEmpty = value == "0";
      if (value.empty() || !std::all_of(value.begin(), value.end(), isDigit))
        return absl::InvalidArgumentError("malformed Content-Length");
    } else if (equalsIgnoringCase(field.name, "Transfer-Encoding")) {
      ++codings;
      isEmpty = false;
      if (!equalsIgnoringCase({value.data(), value.size()}, "chunked"))
        return absl::InvalidArgumentError("unknown transfer coding");
    }
  }
  if (lengths + codings > 1)
    return absl::InvalidArgumentError("ambiguous framing");
  if (hasNoBody(status) && !isEmpty)
    return absl::InvalidArgumentError("a body where the status allows none");
  return absl::OkStatus();
}

} // namespace auburnspring::http
