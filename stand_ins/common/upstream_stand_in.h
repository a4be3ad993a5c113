#ifndef STAND_INS_COMMON_UPSTREAM_STAND_IN_H
#define STAND_INS_COMMON_UPSTREAM_STAND_IN_H

#include "common/stand_in.h"

#include <chrono>
#include <condition_variable>
#include <mutex>
#include <set>

namespace standin {

/// What every upstream has in common: slots, a queue by priority, a load
/// report that lags, and refusing work while leaving.
class UpstreamStandIn : public StandIn {
public:
  explicit UpstreamStandIn(const StandInOptions &options);

  Reply handle(const Request &request) final;
  nlohmann::json counters() override;

  /// Runs one attempt; a slot is held.
  virtual Reply execute(const Request &request, const nlohmann::json &body) = 0;

  /// Answers any other path.
  virtual Reply other(const Request &request) = 0;

  /// Called when a streamed answer has ended.
  void leaveSlot();

  const std::string &incarnation() const { return incarnation_; }

protected:
  std::mutex mutex_;
  std::uint64_t executed_ = 0;

private:
  bool enterSlot(std::int64_t priority, const Request &request);
  Reply load();

  std::string incarnation_;
  std::int64_t slots_;
  std::int64_t maxQueued_;
  std::chrono::milliseconds lag_;
  std::condition_variable freed_;
  // All below are guarded by mutex_.
  std::int64_t running_ = 0;
  std::uint64_t arrivals_ = 0;
  std::set<std::pair<std::int64_t, std::uint64_t>> waiting_;
  std::chrono::steady_clock::time_point reportedAt_;
  nlohmann::json report_;
};

} // namespace standin

#endif
