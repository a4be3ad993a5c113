#ifndef AUBURNSPRING_HTTP_HEAD_VALIDATOR_H
#define AUBURNSPRING_HTTP_HEAD_VALIDATOR_H

#include "auburnspring/http/message.h"

#include <absl/status/statusor.h>

#include <cstddef>
#include <string_view>

namespace auburnspring::http {

/// Checks the head of a message byte by byte against the grammar of RFC 9112,
/// in constant memory. Parsers tolerate heads that deviate from it, and a head
/// that was damaged then means what it never said. Folded lines and lines that
/// end with a bare LF, which the RFC lets a recipient refuse, are malformed.
/// Empty lines before the start line are skipped.
class HeadValidator {
public:
  explicit HeadValidator(MessageKind kind);

  /// Begins the next head, or with `beginTrailer` the fields after a chunked
  /// body.
  void beginHead();
  void beginTrailer();

  /// Consumes bytes up to the end of the head and returns how many, or
  /// InvalidArgument with the fault found. After a fault a new head must be
  /// begun.
  absl::StatusOr<std::size_t> feed(std::string_view bytes);

  /// True once the empty line that ends the head has been consumed.
  bool isDone() const { return isDone_; }

private:
  /// Returns whether the grammar allows the byte, and sets the next step.
  using Step = bool (HeadValidator::*)(char);

  bool beforeStartLine(char c);
  bool statusLine(char c);
  bool afterStatusCode(char c);
  /// A reason phrase, a request line, whose syntax the parser checks, or the
  /// value of a field.
  bool restOfLine(char c);
  bool lineStart(char c);
  bool fieldName(char c);
  bool lineFeed(char c);
  bool finalLineFeed(char c);

  MessageKind kind_;
  Step step_;
  /// Bytes of the status line that have been matched.
  std::size_t matched_ = 0;
  bool isDone_ = false;
};

/// Checks the framing that a head states: a length in digits or the chunked
/// transfer coding alone, and neither where the status rules a body out. The
/// status is 0 for requests. Returns InvalidArgument with the fault found.
absl::Status validateFraming(int status, const HeaderList &headers);

} // namespace auburnspring::http

#endif
