#include "common/upstream_stand_in.h"

namespace standin {

namespace {

constexpr auto QueuePoll = std::chrono::milliseconds(20);

} // namespace

UpstreamStandIn::UpstreamStandIn(const StandInOptions &options)
    : incarnation_(options.text("incarnation", "1")),
      slots_(options.number("slots", 8)),
      maxQueued_(options.number("max_queued", 256)),
      lag_(options.number("report_lag_ms", 200)) {}

Reply UpstreamStandIn::load() {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto now = std::chrono::steady_clock::now();
  // The report is that of one lag ago at the most.
  if (report_.is_null() || now - reportedAt_ >= lag_) {
    reportedAt_ = now;
    report_ = {{"incarnation", incarnation_},
               {"running", running_},
               {"queued", waiting_.size()},
               {"leaving", faults().isLeaving()}};
  }
  return jsonReply(report_);
}

bool UpstreamStandIn::enterSlot(std::int64_t priority, const Request &request) {
  std::unique_lock<std::mutex> lock(mutex_);
  if (static_cast<std::int64_t>(waiting_.size()) >= maxQueued_)
    return false;
  const auto place = std::make_pair(priority, ++arrivals_);
  waiting_.insert(place);
  while (running_ >= slots_ || *waiting_.begin() != place) {
    freed_.wait_for(lock, QueuePoll);
    if (isStopping() || request.hungUp()) {
      waiting_.erase(place);
      freed_.notify_all();
      return false;
    }
  }
  waiting_.erase(place);
  ++running_;
  freed_.notify_all();
  return true;
}

void UpstreamStandIn::leaveSlot() {
  const std::lock_guard<std::mutex> lock(mutex_);
  --running_;
  freed_.notify_all();
}

Reply UpstreamStandIn::handle(const Request &request) {
  if (request.path == "/healthz")
    return jsonReply({{"ok", true}});
  if (request.path == "/v1/load")
    return load();
  if (request.method != "POST" || request.path == "/v1/orders")
    return other(request);
  const nlohmann::json body =
      nlohmann::json::parse(request.body, nullptr, false);
  if (!body.is_object() || !body.contains("attempt"))
    return jsonReply({{"error", "wanted a JSON object with an attempt"}}, 400);
  if (faults().isLeaving())
    return jsonReply(
        {{"error", "leaving"}, {"outcome", "not-run"}, {"leaving", true}}, 503);
  if (!enterSlot(body.value("priority", std::int64_t{5}), request))
    return jsonReply({{"error", "the queue is full"}, {"outcome", "not-run"}},
                     503);
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    ++executed_;
  }
  Reply reply = execute(request, body);
  if (!reply.stream)
    leaveSlot();
  return reply;
}

nlohmann::json UpstreamStandIn::counters() {
  const std::lock_guard<std::mutex> lock(mutex_);
  return {{"executed", executed_},
          {"running", running_},
          {"queued", waiting_.size()}};
}

} // namespace standin
