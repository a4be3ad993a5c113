#include "chunk_validator.h"

#include <absl/strings/ascii.h>

#include <algorithm>

namespace auburnspring::http {

namespace {

/// Larger chunks are malformed, long before their size overflows.
constexpr std::uint64_t MaxChunkBytes = std::uint64_t{1} << 48;

int hexValue(char c) {
  if (c >= '0' && c <= '9')
    return c - '0';
  const char lower = absl::ascii_tolower(static_cast<unsigned char>(c));
  return lower >= 'a' && lower <= 'f' ? lower - 'a' + 10 : -1;
}

} // namespace

void ChunkValidator::begin() {
  step_ = &ChunkValidator::firstSizeDigit;
  size_ = 0;
  dataLeft_ = 0;
  inTrailer_ = false;
}

absl::Status ChunkValidator::feed(std::string_view bytes) {
  while (!bytes.empty() && !inTrailer_) {
    const auto data = static_cast<std::size_t>(
        std::min<std::uint64_t>(dataLeft_, bytes.size()));
    dataLeft_ -= data;
    bytes.remove_prefix(data);
    if (bytes.empty())
      break;
    if (!(this->*step_)(bytes.front()))
      return absl::InvalidArgumentError("malformed chunk");
    bytes.remove_prefix(1);
  }
  return inTrailer_ ? trailer_.feed(bytes).status() : absl::OkStatus();
}

bool ChunkValidator::firstSizeDigit(char c) {
  size_ = 0;
  step_ = &ChunkValidator::size;
  return hexValue(c) >= 0 && size(c);
}

bool ChunkValidator::size(char c) {
  if (hexValue(c) >= 0) {
    size_ = size_ * 16 + static_cast<std::uint64_t>(hexValue(c));
    return size_ <= MaxChunkBytes;
  }
  step_ =
      c == '\r' ? &ChunkValidator::sizeLineFeed : &ChunkValidator::extension;
  // Some servers pad the size with blanks.
  return c == '\r' || c == ';' || c == ' ' || c == '\t';
}

bool ChunkValidator::extension(char c) {
  if (c == '\r')
    step_ = &ChunkValidator::sizeLineFeed;
  return c != '\n';
}

bool ChunkValidator::sizeLineFeed(char c) {
  if (size_ == 0) {
    inTrailer_ = true;
    trailer_.beginTrailer();
  }
  dataLeft_ = size_;
  step_ = &ChunkValidator::dataReturn;
  return c == '\n';
}

bool ChunkValidator::dataReturn(char c) {
  step_ = &ChunkValidator::dataLineFeed;
  return c == '\r';
}

bool ChunkValidator::dataLineFeed(char c) {
  step_ = &ChunkValidator::firstSizeDigit;
  return c == '\n';
}

} // namespace auburnspring::http
