#include "common/upstream_stand_in.h"

namespace standin {

namespace {

constexpr auto QueuePollInterval = std::chrono::milliseconds(20);

} // namespace

UpstreamStandIn::UpstreamStandIn(const StandInOptions &options)
    : incarnation_(options.text("incarnation", "1")),
      version_(options.text("version", "")), slots_(options.number("slots", 8)),
      maxQueued_(options.number("max_queued", 256)),
      reportLag_(options.number("report_lag_ms", 200)) {}

Reply UpstreamStandIn::loadReport() {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto now = std::chrono::steady_clock::now();
  // Refreshed at most once per report lag, so that reports are stale by up to
  // that long.
  if (report_.is_null() || now - reportedAt_ >= reportLag_) {
    reportedAt_ = now;
    report_ = {{"incarnation", incarnation_},
               {"running", running_},
               {"queued", queue_.size()},
               {"leaving", faults().isLeaving()}};
  }
  return jsonReply(report_);
}

bool UpstreamStandIn::acquireSlot(std::int64_t priority,
                                  const Request &request) {
  std::unique_lock<std::mutex> lock(mutex_);
  if (static_cast<std::int64_t>(queue_.size()) >= maxQueued_)
    return false;
  const auto ticket = std::make_pair(priority, ++arrivals_);
  queue_.insert(ticket);
  while (running_ >= slots_ || *queue_.begin() != ticket) {
    slotFreed_.wait_for(lock, QueuePollInterval);
    if (isStopping() || request.peerClosed()) {
      queue_.erase(ticket);
      slotFreed_.notify_all();
      return false;
    }
  }
  queue_.erase(ticket);
  ++running_;
  slotFreed_.notify_all();
  return true;
}

void UpstreamStandIn::releaseSlot() {
  const std::lock_guard<std::mutex> lock(mutex_);
  --running_;
  slotFreed_.notify_all();
}

Reply UpstreamStandIn::handle(const Request &request) {
  if (request.path == "/healthz")
    return jsonReply({{"ok", true}});
  if (request.path == "/v1/load")
    return loadReport();
  if (request.method != "POST" || request.path == "/v1/orders")
    return handleOther(request);
  const nlohmann::json body =
      nlohmann::json::parse(request.body, nullptr, false);
  if (!body.is_object() || !body.contains("attempt"))
    return jsonReply({{"error", "expected a JSON object with an attempt"}},
                     400);
  if (faults().isLeaving())
    return jsonReply(
        {{"error", "leaving"}, {"outcome", "not-run"}, {"leaving", true}}, 503);
  if (!acquireSlot(body.value("priority", std::int64_t{5}), request))
    return jsonReply({{"error", "the queue is full"}, {"outcome", "not-run"}},
                     503);
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    ++executed_;
  }
  Reply reply = execute(request, body);
  if (!reply.stream)
    releaseSlot();
  return reply;
}

nlohmann::json UpstreamStandIn::counters() {
  const std::lock_guard<std::mutex> lock(mutex_);
  return {{"executed", executed_},
          {"running", running_},
          {"queued", queue_.size()},
          {"version", version_}};
}

} // namespace standin
