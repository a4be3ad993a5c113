#include "store_link.h"

#include <asio/post.hpp>
#include <fmt/format.h>

#include <stdexcept>
#include <utility>

namespace auburnspring::review {

StoreLink::StoreLink(asio::io_context &io, Record *record, Endpoint store,
                     Choice choice)
    : io_(io), record_(record), store_(std::move(store)),
      choice_(std::move(choice)),
      server_(io, [this](const std::shared_ptr<http::Exchange> &exchange) {
        onCall(exchange);
      }) {
  const absl::Status status = server_.listen({"127.0.0.1", 0});
  if (!status.ok())
    throw std::runtime_error(std::string(status.message()));
}

void StoreLink::onCall(const std::shared_ptr<http::Exchange> &exchange) {
  const std::uint64_t number = nextCall_++;
  const auto call = std::make_shared<Call>(io_);
  call->exchange = exchange;
  calls_[number] = call;
  const std::optional<Duration> delay = choice_(*exchange);
  if (!delay) {
    exchange->onDisconnect = [this, number] { calls_.erase(number); };
    return pass(number);
  }
  call->isLate = true;
  record_->add(fmt::format("store late_ms={:.0f} call={} {} {}",
                           toMillis(*delay), exchange->head.method,
                           exchange->head.target, exchange->body));
  call->timer.startAfter(*delay, [this, number, exchange] {
    record_->add(fmt::format("store does late call={}", exchange->body));
    pass(number);
  });
}

void StoreLink::pass(std::uint64_t number) {
  const std::shared_ptr<Call> call = calls_.at(number);
  http::CallOptions options;
  options.endpoint = store_;
  http::ClientCallbacks callbacks;
  callbacks.onHead = [raw = call.get()](http::ResponseHead head) {
    raw->head = std::move(head);
  };
  callbacks.onBody = [raw = call.get()](std::string_view bytes) {
    raw->body.append(bytes);
  };
  callbacks.onEnd = [this, number](http::CallStatus status, std::string_view) {
    end(number, status);
  };
  http::RequestHead head = call->exchange->head;
  head.headers.removeHopByHop();
  head.headers.remove("Content-Length");
  if (head.method == "POST")
    head.headers.add("Content-Length",
                     std::to_string(call->exchange->body.size()));
  call->http =
      std::make_unique<http::ClientCall>(io_, options, std::move(callbacks));
  call->http->start(head, call->exchange->body);
}

void StoreLink::end(std::uint64_t number, http::CallStatus status) {
  const auto found = calls_.find(number);
  if (found == calls_.end())
    return;
  const std::shared_ptr<Call> call = found->second;
  calls_.erase(found);
  // The call is in one of its own callbacks.
  asio::post(io_, [call] {});
  if (call->isLate)
    return;
  if (status != http::CallStatus::Complete)
    return call->exchange->abort();
  call->head.headers.removeHopByHop();
  call->head.headers.remove("Content-Length");
  call->exchange->respond(std::move(call->head), call->body);
}

} // namespace auburnspring::review
