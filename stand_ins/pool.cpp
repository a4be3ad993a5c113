// Simulates an encoder, retriever or reranker.
#include "common/upstream_stand_in.h"

#include "auburnspring/base/digest.h"

#include <chrono>
#include <thread>

namespace {

using nlohmann::json;
using standin::jsonReply;
using standin::Reply;
using standin::Request;

class PoolStandIn : public standin::UpstreamStandIn {
public:
  explicit PoolStandIn(const standin::StandInOptions &options)
      : UpstreamStandIn(options), busyMillis_(options.number("busy_ms", 10)) {}

  Reply execute(const Request &request, const json &body) override {
    std::this_thread::sleep_for(std::chrono::milliseconds(busyMillis_));
    // A digest of the inputs makes the result distinct for each request and
    // reproducible in a check.
    const std::string input = body.value("input", "");
    const std::string context = body.value("context", "");
    const std::string result =
        request.path.substr(request.path.rfind('/') + 1) + "(" +
        auburnspring::digestHex(input + "|" + context).substr(0, 8) + "#" +
        std::to_string(body.value("part", 0)) + ")";
    return jsonReply({{"attempt", body.at("attempt")},
                      {"result", result},
                      {"busy_ms", busyMillis_}});
  }

  Reply handleOther(const Request & /*request*/) override {
    return jsonReply({{"error", "not found"}}, 404);
  }

private:
  std::int64_t busyMillis_;
};

} // namespace

int main(int argc, char **argv) {
  const standin::StandInOptions options = standin::parseStandInOptions(
      argc, argv,
      "stand_in_pool - an encoder, retriever or reranker\n"
      "values: busy_ms (10), slots (8), max_queued (256), report_lag_ms (200), "
      "incarnation (1), version (none)");
  PoolStandIn standIn(options);
  return standIn.run(options);
}
