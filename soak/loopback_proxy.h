#ifndef AUBURNSPRING_SOAK_LOOPBACK_PROXY_H
#define AUBURNSPRING_SOAK_LOOPBACK_PROXY_H

#include "auburnspring/base/time.h"
#include "auburnspring/config/settings.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

#include <memory>
#include <unordered_set>

namespace auburnspring::soak {

/// How a link treats what passes through it.
enum class LinkState {
  Open,
  /// Bytes pass after a delay.
  Delayed,
  /// Bytes toward the target, back from it, or both wait until the link opens.
  CutForward,
  CutBack,
  Cut,
  /// Open connections are reset, and each new one.
  Reset,
};

/// Stands between two processes on the loopback and harms what passes.
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
  /// Open connections are reset; new ones pass.
  void resetOpen();
  /// Open connections fall silent for good; new ones pass.
  void silenceOpen();

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
