#ifndef AUBURNSPRING_SERVING_PEER_NETWORK_H
#define AUBURNSPRING_SERVING_PEER_NETWORK_H

#include "auburnspring/peer/peer_mesh.h"

#include <absl/status/status.h>
#include <asio/io_context.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace auburnspring {

/// The serving hosts that this one knows of, by the store's list and by what
/// is heard from them, and the way to talk to them.
class PeerNetwork {
public:
  struct Options {
    std::string host;
    Endpoint listen;
    std::string peerKey;
    std::uint64_t incarnation = 0;
    /// Share of a processor that this host has.
    double processorShare = 1;
  };
  using Receive =
      std::function<void(const std::string &from, PeerMessage message)>;

  /// The connection to a host has ended, perhaps with the host.
  using Lost = std::function<void(const std::string &host)>;

  PeerNetwork(asio::io_context &io, Options options, Receive receive,
              Lost lost);

  absl::Status start();
  void stop();

  /// The store lists the host, or no longer does.
  void setListed(const std::string &host, const Endpoint &endpoint,
                 double processorShare, TimePoint now);
  void setUnlisted(const std::string &host, TimePoint now);
  void setLeaving(const std::string &host, bool leaving);

  /// The host has left a question unanswered; it gets no work for a while.
  void suspect(const std::string &host, TimePoint now);

  /// Hosts that take work now, this one included unless it leaves.
  std::vector<std::string> alive(TimePoint now) const;
  bool isAlive(const std::string &host, TimePoint now) const;
  /// The host is heard, whether or not it takes new work.
  bool isHeard(const std::string &host, TimePoint now) const;
  std::optional<TimePoint> lastHeard(const std::string &host) const;

  /// Host that a subject falls to among those alive, the more often the more
  /// processor it has; this host if alone.
  std::string preferred(const std::string &subject, TimePoint now) const;

  void send(const std::string &host, PeerMessage message);
  /// Sends to each known peer, or to so many successors of this host.
  void broadcast(const PeerMessage &message, std::size_t fanout);

  const std::string &self() const { return options_.host; }
  std::size_t knownCount() const { return peers_.size(); }
  PeerMesh::Counters counters() const { return mesh_.counters(); }

private:
  struct Peer {
    Endpoint endpoint;
    double processorShare = 1;
    TimePoint knownSince;
    TimePoint heardAt;
    TimePoint unlistedAt;
    TimePoint suspectUntil;
    bool isListed = false;
    bool isLeaving = false;
    bool wasHeard = false;
  };

  void onMessage(const std::string &from, PeerMessage message);
  bool isAlive(const Peer &peer, TimePoint now) const;

  asio::io_context &io_;
  Options options_;
  Receive receive_;
  Lost lost_;
  PeerMesh mesh_;
  std::map<std::string, Peer> peers_;
  bool selfLeaving_ = false;
};

} // namespace auburnspring

#endif
