#ifndef AUBURNSPRING_WIRE_PEER_CODEC_H
#define AUBURNSPRING_WIRE_PEER_CODEC_H

#include "auburnspring/decision/peer_message.h"

#include <absl/status/statusor.h>
#include <absl/strings/string_view.h>

#include <cstdint>
#include <string>

namespace auburnspring {

/// A peer message on its way, with who sent it to whom.
struct PeerEnvelope {
  std::string from;
  std::string to;
  /// Life of the sender, and a count that grows within it; an envelope that
  /// is not newer than the last one of the sender is a replay.
  std::uint64_t incarnation = 0;
  std::uint64_t count = 0;
  PeerMessage message;
};

/// Largest envelope that is sent or taken, in bytes.
constexpr std::size_t MaxEnvelopeBytes = 4 << 20;

/// CBOR with a leading HMAC-SHA256 under the shared peer key.
std::string encodeEnvelope(const PeerEnvelope &envelope,
                           absl::string_view peerKey);

/// Refuses an envelope that is too large, has another key's HMAC, another
/// version or a malformed field.
absl::StatusOr<PeerEnvelope> decodeEnvelope(absl::string_view bytes,
                                            absl::string_view peerKey);

} // namespace auburnspring

#endif
