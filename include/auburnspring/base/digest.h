#ifndef AUBURNSPRING_BASE_DIGEST_H
#define AUBURNSPRING_BASE_DIGEST_H

#include <absl/strings/string_view.h>

#include <cstdint>
#include <string>

namespace auburnspring {

/// The XXH3 128-bit digest of a text as 32 hexadecimal characters. Identifies
/// configuration files and request bodies. Not cryptographic: it detects
/// corruption, not tampering.
std::string digestHex(absl::string_view text);

/// A 64-bit hash that is the same on every host and in every build.
std::uint64_t stableHash(absl::string_view text, std::uint64_t seed = 0);

} // namespace auburnspring

#endif
