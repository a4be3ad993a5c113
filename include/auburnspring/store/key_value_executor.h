#ifndef AUBURNSPRING_STORE_KEY_VALUE_EXECUTOR_H
#define AUBURNSPRING_STORE_KEY_VALUE_EXECUTOR_H

#include "auburnspring/base/time.h"
#include "auburnspring/decision/action.h"
#include "auburnspring/decision/key_value_store.h"

#include <array>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace auburnspring {

/// Executes key-value calls on its own threads in order of priority, limited
/// by a token bucket. A call that is queued for longer than maxQueueTime, or
/// that finds its queue full, completes as Unavailable without being sent.
class KeyValueExecutor {
public:
  struct Options {
    std::int64_t callsPerSecond = 60;
    /// Capacity of the token bucket, in calls.
    std::int64_t burst = 30;
    std::size_t threads = 4;
    std::size_t maxQueued = 256;
    Duration maxQueueTime = std::chrono::milliseconds(500);
  };

  using Callback = std::function<void(KvCallId call, KvReply reply)>;

  KeyValueExecutor(Options options, KeyValueStore *store, Callback callback);
  ~KeyValueExecutor();
  KeyValueExecutor(const KeyValueExecutor &) = delete;
  KeyValueExecutor &operator=(const KeyValueExecutor &) = delete;

  void submit(CallKeyValue call);
  void stop();

  struct Counters {
    std::uint64_t issued = 0;
    std::uint64_t refused = 0;
    std::uint64_t failed = 0;
  };
  Counters counters() const;

private:
  using Clock = std::chrono::steady_clock;
  struct QueuedCall {
    CallKeyValue call;
    Clock::time_point queuedAt;
  };
  static constexpr std::size_t PriorityCount = 3;

  void executeLoop();
  bool takeNext(CallKeyValue *call, std::vector<KvCallId> *overdue);
  void refill(Clock::time_point now);
  void dropOverdue(Clock::time_point now, std::vector<KvCallId> *overdue);

  Options options_;
  KeyValueStore *store_;
  Callback callback_;
  mutable std::mutex mutex_;
  std::condition_variable wake_;
  // Guarded by mutex_, except threads_.
  std::array<std::deque<QueuedCall>, PriorityCount> queues_;
  double tokens_;
  Clock::time_point refilledAt_;
  bool stopping_ = false;
  Counters counters_;
  std::vector<std::thread> threads_;
};

} // namespace auburnspring

#endif
