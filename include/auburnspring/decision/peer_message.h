#ifndef AUBURNSPRING_DECISION_PEER_MESSAGE_H
#define AUBURNSPRING_DECISION_PEER_MESSAGE_H

#include "auburnspring/config/configuration.h"
#include "auburnspring/config/settings.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace auburnspring {

enum class MemberState : std::uint8_t { Alive, Suspect, Dead, Left };

/// What one host says of a member of the mesh, itself included.
struct MemberRumour {
  std::string host;
  /// Where peers connect.
  Endpoint endpoint;
  /// Where callers and operators connect.
  Endpoint callers;
  std::string dataCentre;
  /// Grows with each life and with each refuted suspicion of the member.
  std::uint64_t incarnation = 0;
  MemberState state = MemberState::Alive;
};

/// A sign that an upstream is leaving, spread from host to host.
struct LeavingRumour {
  std::string upstream;
  std::string incarnation;
};

/// What every probe and its answer carry besides.
struct Gossip {
  std::uint64_t generation = 0;
  std::vector<MemberRumour> members;
  std::vector<LeavingRumour> leaving;
};

/// Asks for an Ack; `target` is empty for the receiver itself, else the member
/// that the receiver is asked to probe on the sender's behalf.
struct Ping {
  std::uint64_t sequence = 0;
  std::string target;
  Gossip gossip;
};

struct Ack {
  std::uint64_t sequence = 0;
  /// The member that was found alive.
  std::string subject;
  Gossip gossip;
};

/// Asks for a configuration that the sender has heard of.
struct BundleRequest {
  std::uint64_t generation = 0;
};

struct BundleReply {
  ConfigurationBundle bundle;
};

/// Asks the receiver to write one operation into the ledger.
struct LedgerForward {
  /// Chosen by the sender; the answer carries it.
  std::uint64_t number = 0;
  /// Index of LedgerVerb.
  std::uint8_t verb = 0;
  std::string key;
  /// From encodeRecord().
  std::string record;
  /// Time left until a claim is of no more use.
  Duration timeLeft{0};
  bool refresh = false;
  bool leavesMark = false;
};

/// How a forwarded operation ended, or that it has been received.
struct LedgerForwarded {
  std::uint64_t number = 0;
  /// The receiver has the operation; how it ended follows.
  bool queued = false;
  /// Index of ClaimVerdict.
  std::uint8_t verdict = 0;
  /// From encodeRecord() if the key is taken, else empty.
  std::string present;
};

using PeerMessage = std::variant<Ping, Ack, BundleRequest, BundleReply,
                                 LedgerForward, LedgerForwarded>;

} // namespace auburnspring

#endif
