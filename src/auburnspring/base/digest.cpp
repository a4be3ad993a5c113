#include "auburnspring/base/digest.h"

#include <fmt/format.h>
#include <xxhash.h>

namespace auburnspring {

std::string digestHex(absl::string_view text) {
  const XXH128_hash_t hash = XXH3_128bits(text.data(), text.size());
  return fmt::format("{:016x}{:016x}", hash.high64, hash.low64);
}

std::uint64_t stableHash(absl::string_view text, std::uint64_t seed) {
  return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

} // namespace auburnspring
