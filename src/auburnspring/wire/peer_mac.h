#ifndef AUBURNSPRING_WIRE_PEER_MAC_H
#define AUBURNSPRING_WIRE_PEER_MAC_H

#include <absl/strings/string_view.h>

#include <array>
#include <cstddef>

namespace auburnspring {

constexpr std::size_t MacBytes = 32;
using Mac = std::array<unsigned char, MacBytes>;

/// HMAC-SHA256 of `bytes`.
Mac computeMac(absl::string_view bytes, absl::string_view key);

} // namespace auburnspring

#endif
