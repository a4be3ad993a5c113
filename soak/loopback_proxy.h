#ifndef AUBURNSPRING_SOAK_LOOPBACK_PROXY_H
#define AUBURNSPRING_SOAK_LOOPBACK_PROXY_H

#include "auburnspring/base/time.h"
#include "auburnspring/config/settings.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

#include <memory>
#include <random>
#include <unordered_set>

namespace auburnspring::soak {

/// How a link forwards traffic.
enum class LinkState {
  Open,
  /// Bytes are forwarded after a delay.
  Delayed,
  /// Bytes toward the target, from it, or both are held until the link opens.
  CutForward,
  CutBack,
  Cut,
  /// Open and new connections are reset.
  Reset,
};

/// TCP proxy between two processes on the loopback that injects link faults.
class LoopbackProxy {
public:
  LoopbackProxy(asio::io_context &io, const Endpoint &target);
  ~LoopbackProxy();
  LoopbackProxy(const LoopbackProxy &) = delete;
  LoopbackProxy &operator=(const LoopbackProxy &) = delete;

  /// Where to connect instead of the target.
  Endpoint endpoint() const;

  void setState(LinkState state);
  LinkState state() const { return state_; }
  /// Resets open connections; new ones are forwarded.
  void resetConnections();
  /// Stops forwarding on open connections for good, without closing them; new
  /// ones are forwarded.
  void blackholeConnections();
  /// Swallows what comes on one open connection from now on, toward the target
  /// or both ways; new ones are forwarded.
  void silenceOneConnection(std::mt19937_64 *random, bool isOneWay);
  /// Resets the silent connections, as an operating system does once what was
  /// sent has not been acknowledged for long.
  void resetSilentConnections();

private:
  class Pipe;
  void accept();

  asio::io_context &io_;
  asio::ip::tcp::endpoint target_;
  asio::ip::tcp::acceptor acceptor_;
  LinkState state_ = LinkState::Open;
  std::unordered_set<std::shared_ptr<Pipe>> pipes_;
};

} // namespace auburnspring::soak

#endif
