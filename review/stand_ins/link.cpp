#include "link.h"

#include <asio/write.hpp>

#include <algorithm>

namespace review {

namespace {

const asio::ip::address_v4 Loopback = asio::ip::address_v4::loopback();

} // namespace

Link::Link(asio::io_context &io, std::uint16_t target,
           std::size_t bytesPerSecond)
    : io_(io), acceptor_(io, {Loopback, 0}), target_(target),
      bytesPerSecond_(bytesPerSecond) {
  accept();
}

void Link::accept() {
  const auto connection = std::make_shared<Connection>(io_);
  acceptor_.async_accept(
      connection->outside, [this, connection](asio::error_code error) {
        if (error)
          return;
        connection->inside.async_connect(
            {Loopback, target_}, [this, connection](asio::error_code failure) {
              if (failure)
                return close(connection);
              readIn(connection);
              readOut(connection);
            });
        accept();
      });
}

void Link::close(const ConnectionPtr &connection) {
  asio::error_code ignored;
  connection->timer.cancel();
  connection->outside.close(ignored);
  connection->inside.close(ignored);
}

void Link::readIn(const ConnectionPtr &connection) {
  connection->outside.async_read_some(
      asio::buffer(connection->in),
      [this, connection](asio::error_code error, std::size_t bytes) {
        if (error)
          return close(connection);
        const auto now = std::chrono::steady_clock::now();
        freeAt_ = std::max(freeAt_, now) +
                  std::chrono::microseconds(bytes * 1000000 / bytesPerSecond_);
        connection->timer.expires_at(freeAt_);
        connection->timer.async_wait(
            [this, connection, bytes](asio::error_code cancelled) {
              if (cancelled)
                return;
              asio::async_write(
                  connection->inside, asio::buffer(connection->in, bytes),
                  [this, connection](asio::error_code failure, std::size_t) {
                    failure ? close(connection) : readIn(connection);
                  });
            });
      });
}

void Link::readOut(const ConnectionPtr &connection) {
  connection->inside.async_read_some(
      asio::buffer(connection->out),
      [this, connection](asio::error_code error, std::size_t bytes) {
        if (error)
          return close(connection);
        asio::async_write(
            connection->outside, asio::buffer(connection->out, bytes),
            [this, connection](asio::error_code failure, std::size_t) {
              failure ? close(connection) : readOut(connection);
            });
      });
}

} // namespace review
