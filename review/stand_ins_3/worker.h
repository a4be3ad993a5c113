#ifndef AUBURNSPRING_REVIEW_STAND_INS_3_WORKER_H
#define AUBURNSPRING_REVIEW_STAND_INS_3_WORKER_H

#include "auburnspring/http/exchange.h"
#include "auburnspring/http/server.h"
#include "auburnspring/http/timer.h"
#include "platform/testing/fake_store_server.h"

#include <asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace auburnspring::review {

/// A worker: it has an entry in the store, which it writes at its heartbeat
/// interval, and answers requests as its handler does. It turns away requests
/// that expect another instance.
class Worker {
public:
  using Handler = std::function<void(const std::shared_ptr<http::Exchange> &)>;

  struct Options {
    std::string id;
    std::string service;
    std::string zone;
    int slots = 8;
  };

  Worker(asio::io_context &io, platform::FakeStoreServer *store,
         Options options, Handler handler);

  const std::string &id() const { return options_.id; }
  std::string entry();
  /// Writes the entry now, and again at each heartbeat.
  void beat();

  /// Head of a response of this worker with its signature.
  http::ResponseHead signedHead(const http::Exchange &exchange,
                                int status = 200) const;

private:
  void onRequest(const std::shared_ptr<http::Exchange> &exchange);

  platform::FakeStoreServer *store_;
  Options options_;
  Handler handler_;
  http::Server server_;
  http::Timer beatTimer_;
  std::int64_t born_;
  std::int64_t sequence_ = 0;
};

/// Value of a request's header; empty if there is none.
std::string header(const http::Exchange &exchange, const char *name);

} // namespace auburnspring::review

#endif
