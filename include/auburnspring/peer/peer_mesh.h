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

/// Sends and receives peer messages over WebSocket. Connections are opened on
/// demand, replaced after a maximum age and bounded in number, so that their
/// count does not grow with the mesh and a stalled connection is soon replaced.
/// Delivery is best effort; the protocols on top tolerate lost messages.
class PeerMesh {
public:
  struct Options {
    std::string host;
    std::uint64_t incarnation = 1;
    Endpoint listen;
    std::string peerKey;
    std::size_t maxConnections = 24;
    /// A connection is replaced after this time, so that a stalled one is not
    /// used for long.
    Duration maxConnectionAge = std::chrono::seconds(5);
    /// A connection is closed if sent data stays unacknowledged for this long
    /// (TCP_USER_TIMEOUT); zero keeps the system default.
    Duration tcpUserTimeout{0};
    /// False if a restarted host may have a lower incarnation than before,
    /// since its wall clock may have been set back.
    bool incarnationsIncrease = true;
    /// Called on the mesh's I/O thread when messages to a host may be lost: a
    /// connection can't be opened, is lost, or ends without the host having
    /// confirmed that it read all of it, or after a message was dropped.
    std::function<void(const std::string &host)> onConnectionLost;
  };

  struct Counters {
    std::uint64_t messagesSent = 0;
    std::uint64_t bytesSent = 0;
    std::uint64_t messagesReceived = 0;
    std::uint64_t bytesReceived = 0;
    std::uint64_t messagesRejected = 0;
    /// Messages that were not sent, since they are too large, the connection
    /// has too many bytes waiting, or there is none.
    std::uint64_t messagesDropped = 0;
  };

  using Receive =
      std::function<void(const std::string &from, PeerMessage message)>;

  PeerMesh(Options options, Receive receive);
  ~PeerMesh();
  PeerMesh(const PeerMesh &) = delete;
  PeerMesh &operator=(const PeerMesh &) = delete;

  /// Starts listening. `receive` is called on the mesh's I/O thread.
  absl::Status start();
  void stop();

  /// Thread-safe and non-blocking.
  void send(const std::string &host, const Endpoint &endpoint,
            PeerMessage message);

  Counters counters() const;

private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

} // namespace auburnspring

#endif
