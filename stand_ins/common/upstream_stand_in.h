#ifndef STAND_INS_COMMON_UPSTREAM_STAND_IN_H
#define STAND_INS_COMMON_UPSTREAM_STAND_IN_H

#include "common/stand_in.h"

#include <chrono>
#include <condition_variable>
#include <mutex>
#include <set>

namespace standin {

/// Common base of the simulated upstreams: execution slots, a priority queue, a
/// delayed load report, and rejection of work while leaving.
class UpstreamStandIn : public StandIn {
public:
  explicit UpstreamStandIn(const StandInOptions &options);

  Reply handle(const Request &request) final;
  nlohmann::json counters() override;

  /// Executes one attempt while holding a slot.
  virtual Reply execute(const Request &request, const nlohmann::json &body) = 0;

  /// Handles any request that is not an attempt.
  virtual Reply handleOther(const Request &request) = 0;

  /// Releases the slot of an attempt; the stream function of a streamed
  /// response calls it at its end.
  void releaseSlot();

  const std::string &incarnation() const { return incarnation_; }
  const std::string &version() const { return version_; }

protected:
  std::mutex mutex_;
  std::uint64_t executed_ = 0;

private:
  bool acquireSlot(std::int64_t priority, const Request &request);
  Reply loadReport();

  std::string incarnation_;
  std::string version_;
  std::int64_t slots_;
  std::int64_t maxQueued_;
  std::chrono::milliseconds reportLag_;
  std::condition_variable slotFreed_;
  // All members below are guarded by mutex_.
  std::int64_t running_ = 0;
  std::uint64_t arrivals_ = 0;
  std::set<std::pair<std::int64_t, std::uint64_t>> queue_;
  std::chrono::steady_clock::time_point reportedAt_;
  nlohmann::json report_;
};

} // namespace standin

#endif
