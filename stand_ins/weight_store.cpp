// Stands in for the weight store: hands out a model's weights at a limited
// rate and refuses beyond it.
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
      : perMinute_(loadsPerMinute) {}

  Reply handle(const Request &request) override {
    const std::lock_guard<std::mutex> lock(mutex_);
    const Clock::time_point now = Clock::now();
    if (now - windowBegan_ > std::chrono::minutes(1)) {
      windowBegan_ = now;
      used_ = 0;
    }
    if (used_ >= perMinute_)
      return jsonReply({{"error", "too many loads"}}, 429);
    ++used_;
    return jsonReply({{"weights", request.path}});
  }

private:
  std::int64_t perMinute_;
  std::mutex mutex_;
  Clock::time_point windowBegan_{};
  std::int64_t used_ = 0;
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
