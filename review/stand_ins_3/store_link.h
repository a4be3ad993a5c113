#ifndef AUBURNSPRING_REVIEW_STAND_INS_3_STORE_LINK_H
#define AUBURNSPRING_REVIEW_STAND_INS_3_STORE_LINK_H

#include "record.h"

#include "auburnspring/http/client_call.h"
#include "auburnspring/http/server.h"
#include "auburnspring/http/timer.h"

#include <asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace auburnspring::review {

/// Stands before the store. It passes calls on at once, but for writes that are
/// chosen to be late: they are not answered, and done after the delay.
class StoreLink {
public:
  /// The delay of a late write; not set for all other calls.
  using Choice =
      std::function<std::optional<Duration>(const http::Exchange &exchange)>;

  StoreLink(asio::io_context &io, Record *record, Endpoint store,
            Choice choice);

  Endpoint endpoint() const { return server_.endpoint(); }

private:
  struct Call {
    explicit Call(asio::io_context &io) : timer(io) {}
    std::shared_ptr<http::Exchange> exchange;
    bool isLate = false;
    std::unique_ptr<http::ClientCall> http;
    http::Timer timer;
    http::ResponseHead head;
    std::string body;
  };

  void onCall(const std::shared_ptr<http::Exchange> &exchange);
  void pass(std::uint64_t number);
  void end(std::uint64_t number, http::CallStatus status);

  asio::io_context &io_;
  Record *record_;
  Endpoint store_;
  Choice choice_;
  std::map<std::uint64_t, std::shared_ptr<Call>> calls_;
  std::uint64_t nextCall_ = 1;
  /// Ends first: the ends of its channels refer to the calls.
  http::Server server_;
};

} // namespace auburnspring::review

#endif
