#ifndef AUBURNSPRING_STORE_KEY_VALUE_CALLER_H
#define AUBURNSPRING_STORE_KEY_VALUE_CALLER_H

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

/// Makes key-value calls on its own threads, within a budget of calls a
/// second and in order of priority. A call that waits too long for its turn is
/// answered Unavailable without having been made.
class KeyValueCaller {
public:
  struct Options {
    std::int64_t callsPerSecond = 60;
    /// Calls that may be saved up for a burst.
    std::int64_t burst = 30;
    std::size_t threads = 4;
    std::size_t maxWaiting = 256;
    Duration maxWait = std::chrono::milliseconds(500);
  };

  using Answer = std::function<void(KvCallId call, KvReply reply)>;

  KeyValueCaller(Options options, KeyValueStore *store, Answer answer);
  ~KeyValueCaller();
  KeyValueCaller(const KeyValueCaller &) = delete;
  KeyValueCaller &operator=(const KeyValueCaller &) = delete;

  void submit(CallKeyValue call);
  void stop();

  struct Counters {
    std::uint64_t made = 0;
    std::uint64_t refused = 0;
    std::uint64_t failed = 0;
  };
  Counters counters() const;

private:
  using Clock = std::chrono::steady_clock;
  struct Waiting {
    CallKeyValue call;
    Clock::time_point since;
  };
  static constexpr std::size_t Priorities = 3;

  void work();
  bool next(CallKeyValue *call, std::vector<KvCallId> *overdue);
  void refill(Clock::time_point now);
  void dropOverdue(Clock::time_point now, std::vector<KvCallId> *overdue);

  Options options_;
  KeyValueStore *store_;
  Answer answer_;
  mutable std::mutex mutex_;
  std::condition_variable wake_;
  // All below but the threads are guarded by mutex_.
  std::array<std::deque<Waiting>, Priorities> queues_;
  double tokens_;
  Clock::time_point refilledAt_;
  bool stopping_ = false;
  Counters counters_;
  std::vector<std::thread> threads_;
};

} // namespace auburnspring

#endif
