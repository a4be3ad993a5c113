#ifndef AUBURNSPRING_WIRE_PEER_CODEC_H
#define AUBURNSPRING_WIRE_PEER_CODEC_H

#include "auburnspring/decision/peer_message.h"

#include <absl/status/statusor.h>
#include <absl/strings/string_view.h>

#include <cstdint>
#include <string>

namespace auburnspring {

/// A peer message with its sender and receiver.
struct PeerEnvelope {
  std::string from;
  std::string to;
  /// Incarnation of the sender, and a sequence number that increases within it.
  /// An envelope not newer than the sender's last one is a replay.
  std::uint64_t incarnation = 0;
  std::uint64_t sequence = 0;
  PeerMessage message;
};

/// Largest envelope that is sent or accepted, in bytes.
constexpr std::size_t MaxEnvelopeBytes = 4 << 20;

/// Encodes as CBOR, prefixed with its HMAC-SHA256 under the shared peer key.
std::string encodeEnvelope(const PeerEnvelope &envelope,
                           absl::string_view peerKey);

/// Fails if the envelope is too large, its HMAC does not match `peerKey`, its
/// protocol version differs or a field is malformed.
absl::StatusOr<PeerEnvelope> decodeEnvelope(absl::string_view bytes,
                                            absl::string_view peerKey);

} // namespace auburnspring

#endif
