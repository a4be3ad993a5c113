#ifndef AUBURNSPRING_HTTP_CHUNK_VALIDATOR_H
#define AUBURNSPRING_HTTP_CHUNK_VALIDATOR_H

#include "auburnspring/http/head_validator.h"

#include <absl/status/status.h>

#include <cstdint>
#include <string_view>

namespace auburnspring::http {

/// Checks the framing of a chunked body, and the trailer after it, against the
/// grammar of RFC 9112. The parser in use skips the bytes that delimit a chunk
/// without reading them, so that a damaged size goes unnoticed.
class ChunkValidator {
public:
  /// Begins the next body.
  void begin();

  /// Consumes bytes up to the end of the message. Returns InvalidArgument at a
  /// fault, after which a new body must be begun.
  absl::Status feed(std::string_view bytes);

private:
  /// Returns whether the grammar allows the byte, and sets the next step.
  using Step = bool (ChunkValidator::*)(char);

  bool firstSizeDigit(char c);
  bool size(char c);
  bool extension(char c);
  bool sizeLineFeed(char c);
  bool dataReturn(char c);
  bool dataLineFeed(char c);

  Step step_ = &ChunkValidator::firstSizeDigit;
  /// Size of the current chunk, and what of its data has not come yet.
  std::uint64_t size_ = 0;
  std::uint64_t dataLeft_ = 0;
  bool inTrailer_ = false;
  HeadValidator trailer_{MessageKind::Response};
};

} // namespace auburnspring::http

#endif
