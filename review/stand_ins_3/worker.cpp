#include "worker.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <chrono>
#include <stdexcept>
#include <utility>

namespace auburnspring::review {

namespace {

constexpr Duration HeartbeatInterval = std::chrono::milliseconds(1200);

} // namespace

Worker::Worker(asio::io_context &io, platform::FakeStoreServer *store,
               Options options, Handler handler)
    : store_(store), options_(std::move(options)), handler_(std::move(handler)),
      server_(io,
              [this](const std::shared_ptr<http::Exchange> &exchange) {
                onRequest(exchange);
              }),
      beatTimer_(io),
      born_(std::chrono::duration_cast<std::chrono::milliseconds>(
                std::chrono::system_clock::now().time_since_epoch())
                .count()) {
  const absl::Status status = server_.listen({"127.0.0.1", 0});
  if (!status.ok())
    throw std::runtime_error(std::string(status.message()));
}

std::string Worker::entry() {
  return nlohmann::json({{"Service", options_.service},
                         {"Address", toString(server_.endpoint())},
                         {"Zone", options_.zone},
                         {"Version", "v1"},
                         {"Slots", options_.slots},
                         {"State", "ready"},
                         {"ColdRemainingMs", 0},
                         {"Sequence", ++sequence_},
                         {"born", born_}})
      .dump();
}

void Worker::beat() {
  store_->put("servers/" + options_.id, entry());
  beatTimer_.startAfter(HeartbeatInterval, [this] { beat(); });
}

void Worker::onRequest(const std::shared_ptr<http::Exchange> &exchange) {
  const std::string expected = header(*exchange, "Expected-Instance");
  if (!expected.empty() && expected != options_.id) {
    http::ResponseHead head{421, {}};
    head.headers.add("Instance-Id", options_.id);
    return exchange->respond(std::move(head), "");
  }
  handler_(exchange);
}

http::ResponseHead Worker::signedHead(const http::Exchange &exchange,
                                      int status) const {
  http::ResponseHead head{status, {}};
  const std::string id = header(exchange, "Attempt-Id");
  head.headers.add("Attempt-Id", id);
  head.headers.add("Response-Signature", fmt::format("{}.{}", options_.id, id));
  return head;
}

std::string header(const http::Exchange &exchange, const char *name) {
  const std::string *value = exchange.head.headers.find(name);
  return value == nullptr ? std::string() : *value;
}

} // namespace auburnspring::review
