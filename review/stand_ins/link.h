#ifndef AUBURNSPRING_REVIEW_LINK_H
#define AUBURNSPRING_REVIEW_LINK_H

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>

#include <array>
#include <chrono>
#include <cstdint>
#include <memory>

namespace review {

/// A proxy before one port of 127.0.0.1. What goes to the port passes a link of
/// limited bandwidth, which all connections share.
class Link {
public:
  Link(asio::io_context &io, std::uint16_t target, std::size_t bytesPerSecond);

  std::uint16_t port() const { return acceptor_.local_endpoint().port(); }

private:
  using Socket = asio::ip::tcp::socket;
  struct Connection {
    explicit Connection(asio::io_context &io)
        : outside(io), inside(io), timer(io) {}
    Socket outside;
    Socket inside;
    asio::steady_timer timer;
    std::array<char, 16384> in{};
    std::array<char, 16384> out{};
  };
  using ConnectionPtr = std::shared_ptr<Connection>;

  void accept();
  void readIn(const ConnectionPtr &connection);
  void readOut(const ConnectionPtr &connection);
  static void close(const ConnectionPtr &connection);

  asio::io_context &io_;
  asio::ip::tcp::acceptor acceptor_;
  std::uint16_t target_;
  std::size_t bytesPerSecond_;
  std::chrono::steady_clock::time_point freeAt_;
};

} // namespace review

#endif
