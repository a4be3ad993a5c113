#include "worker.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <stdexcept>

namespace review {

namespace {

using auburnspring::http::ResponseHead;
using nlohmann::json;

/// Results end this long after their call.
constexpr std::chrono::seconds HandleTime(4);
/// A worker that has crashed is back after this time.
constexpr std::chrono::seconds CrashTime(2);
/// The span over which a cold worker's requests are counted.
constexpr std::chrono::seconds ColdSpan(2);

std::string headerOf(const Exchange &exchange, const char *name) {
  const std::string *found = exchange->head.headers.find(name);
  return found == nullptr ? "" : *found;
}

std::int64_t wallMillis() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

} // namespace

Worker::Worker(asio::io_context &io, Store *store, Record *record,
               Service service, std::string id, std::string zone,
               HeldResults *results)
    : io_(io), store_(store), record_(record), service_(std::move(service)),
      id_(std::move(id)), zone_(std::move(zone)), results_(results),
      // It has run for long.
      startedAtMillis_(wallMillis() - 3600 * 1000) {
  server_ = std::make_unique<auburnspring::http::Server>(
      io_, [this](const Exchange &exchange) { handle(exchange); });
  auburnspring::http::ServerLimits limits;
  limits.maxBodyBytes = 16 << 20;
  server_->setLimits(limits);
  const absl::Status status = server_->listen({"127.0.0.1", 0});
  if (!status.ok())
    throw std::runtime_error(std::string(status.message()));
  endpoint_ = server_->endpoint();
}

std::string Worker::address() const { return toString(endpoint_); }

void Worker::publish() {
  const auto cold = std::chrono::duration_cast<std::chrono::milliseconds>(
      coldUntil_ - Clock::now());
  const json entry = {
      {"Service", service_.name},
      {"Address", toString(endpoint_)},
      {"Zone", zone_},
      {"Version", "v1"},
      {"Slots", service_.slots},
      {"State", "ready"},
      {"ColdRemainingMs", std::max<std::int64_t>(0, cold.count())},
      {"Sequence", sequence_++},
      {"born", startedAtMillis_}};
  store_->put("servers/" + id_, entry.dump());
}

void Worker::becomeCold(Duration span) {
  coldUntil_ = Clock::now() + span;
  record_->say(fmt::format("worker {} is cold for {:.0f} ms", id_,
                           auburnspring::toMillis(span)));
  publish();
}

void Worker::after(Duration span, std::function<void()> action) {
  const auto timer = std::make_shared<asio::steady_timer>(io_, span);
  timer->async_wait([this, timer, lifetime = lifetime_,
                     action = std::move(action)](asio::error_code error) {
    if (!error && lifetime == lifetime_)
      action();
  });
}

void Worker::reject(const Exchange &exchange, int status) const {
  ResponseHead head{status, {}};
  head.headers.add("Not-Executed", "1");
  exchange->respond(std::move(head), "");
}

ResponseHead Worker::signedHead(const std::string &id) const {
  ResponseHead head{200, {}};
  if (!id.empty())
    head.headers.add("Attempt-Id", id);
  head.headers.add("Response-Signature", "stamp." + id_);
  head.headers.add("Server-Load", fmt::format("{},{},{}", running_.size(),
                                              waiting_.size(), service_.slots));
  return head;
}

void Worker::handle(const Exchange &exchange) {
  if (isDown_)
    return exchange->abort();
  const std::string &path = exchange->head.target;
  if (path == "/health") {
    ResponseHead head{200, {}};
    head.headers.add("Instance-Id", id_);
    const auto cold = std::chrono::duration_cast<std::chrono::milliseconds>(
        coldUntil_ - Clock::now());
    if (cold.count() > 0)
      head.headers.add("Cold-Remaining-Ms", std::to_string(cold.count()));
    return exchange->respond(std::move(head), "");
  }
  const std::string expected = headerOf(exchange, "Expected-Instance");
  if (!expected.empty() && expected != id_)
    return exchange->respond({421, {}}, "");
  if (path == "/api/stage-free") {
    const json body = json::parse(exchange->body);
    for (const json &handle : body.at("Handles"))
      results_->erase(handle.get<std::string>());
    return exchange->respond({200, {}}, "");
  }
  const std::string id = headerOf(exchange, "Attempt-Id");
  if (id.empty() && service_.kind != Service::Kind::Stage)
    return reject(exchange, 400);
  admit(exchange, id);
}

void Worker::admit(const Exchange &exchange, const std::string &id) {
  if (onArrival)
    onArrival(id);
  if (isCold())
    countWhileCold();
  if (isDown_)
    return exchange->abort();
  if (running_.size() >= static_cast<std::size_t>(service_.slots) &&
      waiting_.size() >= static_cast<std::size_t>(service_.queue))
    return reject(exchange, 503);
  waiting_.push_back({exchange, id});
  startNext();
}

void Worker::countWhileCold() {
  const Clock::time_point now = Clock::now();
  coldArrivals_.push_back(now);
  while (coldArrivals_.front() + ColdSpan < now)
    coldArrivals_.pop_front();
  const auto most =
      static_cast<std::size_t>(service_.coldCrashesAbove * ColdSpan.count());
  if (service_.coldCrashesAbove > 0 && coldArrivals_.size() > most)
    crash();
}

void Worker::crash() {
  record_->say(fmt::format("worker {} crashes: {} requests within {} s while "
                           "it was cold, {} at work",
                           id_, coldArrivals_.size(), ColdSpan.count(),
                           running_.size()));
  if (onCrash)
    onCrash();
  ++lifetime_;
  isDown_ = true;
  coldArrivals_.clear();
  waiting_.clear();
  for (const Exchange &exchange : std::exchange(running_, {}))
    exchange->abort();
  after(CrashTime, [this] {
    isDown_ = false;
    startedAtMillis_ = wallMillis();
    becomeCold(service_.coldTime);
  });
}

void Worker::startNext() {
  while (!waiting_.empty() &&
         running_.size() < static_cast<std::size_t>(service_.slots)) {
    const Call call = waiting_.front();
    waiting_.pop_front();
    if (call.exchange->isDisconnected())
      continue;
    running_.insert(call.exchange);
    run(call);
  }
}

void Worker::run(const Call &call) {
  if (service_.kind == Service::Kind::Stage)
    return runPieces(call);
  if (service_.kind == Service::Kind::Model)
    return runStream(call);
  if (onRun)
    onRun(call.id);
  const auto span = Duration(static_cast<std::int64_t>(
      static_cast<double>(service_.work.count()) * slowness_));
  after(span, [this, call] {
    if (!call.exchange->isDisconnected())
      call.exchange->respond(signedHead(call.id), "answer to " + call.id);
    end(call);
  });
}

void Worker::end(const Call &call) {
  running_.erase(call.exchange);
  startNext();
}

void Worker::runPieces(const Call &call) {
  const json body = json::parse(call.exchange->body);
  const std::size_t count = body.at("Items").size();
  const double span =
      static_cast<double>(
          (service_.call + service_.piece * static_cast<std::int64_t>(count))
              .count()) *
      slowness_;
  record_->add(fmt::format("worker {} works on a call with {} pieces for "
                           "{:.1f} ms",
                           id_, count, span / 1000));
  after(Duration(static_cast<std::int64_t>(span)), [this, call, count] {
    json items = json::array();
    for (std::size_t i = 0; i < count; ++i) {
      const std::string handle =
          fmt::format("{}/{:x}", toString(endpoint_), nextHandle_++);
      (*results_)[handle] = Clock::now() + HandleTime;
      items.push_back({{"Handle", handle}});
    }
    if (!call.exchange->isDisconnected()) {
      ResponseHead head{200, {}};
      head.headers.add("Content-Type", "application/json");
      head.headers.add("Server-Load",
                       fmt::format("1,{},{}", waiting_.size(), service_.slots));
      call.exchange->respond(std::move(head),
                             json{{"Items", std::move(items)}}.dump());
    }
    end(call);
  });
}

bool Worker::holdsInputs(const Exchange &exchange) const {
  std::string text = headerOf(exchange, "Inputs");
  while (!text.empty()) {
    const std::size_t comma = text.find(',');
    const auto found = results_->find(text.substr(0, comma));
    if (found == results_->end() || found->second < Clock::now())
      return false;
    text = comma == std::string::npos ? "" : text.substr(comma + 1);
  }
  return true;
}

void Worker::runStream(const Call &call) {
  const auto isMissing = headerOf(call.exchange, "Inputs").empty();
  if (isMissing || !holdsInputs(call.exchange)) {
    reject(call.exchange, isMissing ? 400 : 409);
    return end(call);
  }
  if (onRun)
    onRun(call.id);
  after(service_.work, [this, call] {
    if (call.exchange->isDisconnected())
      return end(call);
    ResponseHead head = signedHead(call.id);
    head.headers.add("Content-Type", "text/event-stream");
    call.exchange->begin(std::move(head));
    writeEvent(call, 1);
  });
}

void Worker::writeEvent(const Call &call, int number) {
  if (call.exchange->isDisconnected())
    return end(call);
  if (number > service_.events) {
    call.exchange->end();
    return end(call);
  }
  call.exchange->write(
      fmt::format("id: {}\ndata: event {} of {}\n\n", number, number, call.id));
  after(service_.gap, [this, call, number] { writeEvent(call, number + 1); });
}

} // namespace review
