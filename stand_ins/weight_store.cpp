// Simulates the weight store: serves model weights up to a number of loads a
// minute and rejects further ones with status 429.
#include "common/stand_in.h"

#include <chrono>
#include <mutex>

namespace {

using standin::jsonReply;
using standin::Reply;
using standin::Request;
using Clock = std::chrono::steady_clock;

class WeightStoreStandIn : public standin::StandIn {
public:
  explicit WeightStoreStandIn(std::int64_t loadsPerMinute)
      : loadsPerMinute_(loadsPerMinute) {}

  Reply handle(const Request &request) override {
    const std::lock_guard<std::mutex> lock(mutex_);
    const Clock::time_point now = Clock::now();
    if (now - windowStart_ > std::chrono::minutes(1)) {
      windowStart_ = now;
      loadsInWindow_ = 0;
    }
    if (loadsInWindow_ >= loadsPerMinute_)
      return jsonReply({{"error", "too many loads"}}, 429);
    ++loadsInWindow_;
    return jsonReply({{"weights", request.path}});
  }

private:
  std::int64_t loadsPerMinute_;
  std::mutex mutex_;
  Clock::time_point windowStart_{};
  std::int64_t loadsInWindow_ = 0;
};

} // namespace

int main(int argc, char **argv) {
  const standin::StandInOptions options =
      standin::parseStandInOptions(argc, argv,
                                   "stand_in_weight_store - the weight store\n"
                                   "values: loads_per_minute (30)");
  WeightStoreStandIn standIn(options.number("loads_per_minute", 30));
  return standIn.run(options);
}
