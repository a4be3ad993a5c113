// Simulates a plain service, such as grant bookings or lot reservations. Counts
// the executions of each key, so that a test can detect duplicate and lost
// executions. GET /v1/executions returns the counts.
#include "common/upstream_stand_in.h"

#include <chrono>
#include <map>
#include <mutex>
#include <thread>

namespace {

using nlohmann::json;
using standin::jsonReply;
using standin::Reply;
using standin::Request;

class ServiceStandIn : public standin::UpstreamStandIn {
public:
  explicit ServiceStandIn(const standin::StandInOptions &options)
      : UpstreamStandIn(options), busyMillis_(options.number("busy_ms", 20)) {}

  Reply execute(const Request & /*request*/, const json &body) override {
    std::this_thread::sleep_for(std::chrono::milliseconds(busyMillis_));
    std::uint64_t number = 0;
    {
      const std::lock_guard<std::mutex> lock(executionsMutex_);
      ++executions_[body.value("key", "")];
      number = ++count_;
    }
    return jsonReply({{"attempt", body.at("attempt")},
                      {"result", "done " + std::to_string(number) + " for " +
                                     body.value("input", "")},
                      {"busy_ms", busyMillis_}});
  }

  Reply handleOther(const Request &request) override {
    if (request.path != "/v1/executions")
      return jsonReply({{"error", "not found"}}, 404);
    const std::lock_guard<std::mutex> lock(executionsMutex_);
    return jsonReply(executions_);
  }

  bool isExemptFromFaults(const std::string &path) const override {
    return path == "/v1/executions" || path == "/healthz";
  }

private:
  std::int64_t busyMillis_;
  std::mutex executionsMutex_;
  std::map<std::string, std::uint64_t> executions_;
  std::uint64_t count_ = 0;
};

} // namespace

int main(int argc, char **argv) {
  const standin::StandInOptions options = standin::parseStandInOptions(
      argc, argv,
      "stand_in_service - a plain service that counts executions by key\n"
      "values: busy_ms (20), slots (8), max_queued (256), report_lag_ms (200), "
      "incarnation (1), version (none)");
  ServiceStandIn standIn(options);
  return standIn.run(options);
}
