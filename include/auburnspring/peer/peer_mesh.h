#ifndef AUBURNSPRING_PEER_PEER_MESH_H
#define AUBURNSPRING_PEER_PEER_MESH_H

#include "auburnspring/base/time.h"
#include "auburnspring/wire/peer_codec.h"

#include <absl/status/status.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace auburnspring {

/// Carries peer messages over websockets. Connections are opened when there
/// is something to send, kept for a short while and bounded in number, so that
/// their count does not grow with the mesh and none stays silent for long. A
/// message may be lost; the protocols above it allow for that.
class PeerMesh {
public:
  struct Options {
    std::string host;
    std::uint64_t incarnation = 1;
    Endpoint listen;
    std::string peerKey;
    std::size_t maxConnections = 24;
    /// A connection is replaced after this time, so that one that has gone
    /// silent is not used for long.
    Duration maxConnectionAge = std::chrono::seconds(5);
    /// A connection on which sent bytes stay unacknowledged for this long ends;
    /// zero leaves that to the system.
    Duration unacknowledgedLimit{0};
    /// False if a new life of a host may bear a lower incarnation than the one
    /// before, since its wall clock may have been set back.
    bool incarnationsGrow = true;
    /// Told on the mesh's own thread when a connection to a host can't be
    /// opened, or ends without having been closed here.
    std::function<void(const std::string &host)> onLost;
  };

  struct Counters {
    std::uint64_t messagesSent = 0;
    std::uint64_t bytesSent = 0;
    std::uint64_t messagesReceived = 0;
    std::uint64_t bytesReceived = 0;
    std::uint64_t refused = 0;
  };

  using Receive =
      std::function<void(const std::string &from, PeerMessage message)>;

  PeerMesh(Options options, Receive receive);
  ~PeerMesh();
  PeerMesh(const PeerMesh &) = delete;
  PeerMesh &operator=(const PeerMesh &) = delete;

  /// Starts to listen. `receive` is called on the mesh's own thread.
  absl::Status start();
  void stop();

  /// Any thread may call it; it does not wait.
  void send(const std::string &host, const Endpoint &endpoint,
            PeerMessage message);

  Counters counters() const;

private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

} // namespace auburnspring

#endif
