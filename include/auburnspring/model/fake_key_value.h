#ifndef AUBURNSPRING_MODEL_FAKE_KEY_VALUE_H
#define AUBURNSPRING_MODEL_FAKE_KEY_VALUE_H

#include "auburnspring/decision/key_value_store.h"
#include "auburnspring/model/event_queue.h"

#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace auburnspring {

/// An in-memory key-value service on the virtual clock, with injected faults.
class FakeKeyValue : public KeyValueStore {
public:
  struct Faults {
    /// While set, calls get no response and have no effect.
    bool down = false;
    /// While set, calls get no response; they take effect on thaw().
    bool frozen = false;
    /// Share of writes that take effect but whose response is lost.
    double loseResponse = 0;
    /// Share of writes lost before they take effect.
    double loseWrite = 0;
    /// Share of writes that take effect only after their call has timed out.
    double applyLate = 0;
    /// Share of reads that return the previous value.
    double staleRead = 0;
    Duration delay = std::chrono::milliseconds(2);
  };

  using ReplyCallback = std::function<void(KvReply reply)>;

  FakeKeyValue(EventQueue *queue, std::uint64_t seed);

  /// Performs the call and passes the response to `onReply` on the virtual
  /// clock, or a failure after `timeout` if the response is lost.
  void submit(const KvOperation &operation, Duration timeout,
              const ReplyCallback &onReply);

  /// Performs the call synchronously and without faults, for operators.
  KvReply call(const KvOperation &operation) override;

  /// Clears `frozen` and applies the deferred calls.
  void thaw();

  Faults faults;
  std::uint64_t reads = 0;
  std::uint64_t writes = 0;
  std::uint64_t bytesWritten = 0;

private:
  struct Value {
    std::string text;
    std::string previousText;
    std::int64_t revision = 0;
    std::int64_t previousRevision = 0;
  };

  KvReply apply(const KvOperation &operation);
  KvReply readStale(const KvOperation &operation) const;
  bool withProbability(double probability);

  EventQueue *queue_;
  std::mt19937_64 random_;
  std::map<std::string, Value> values_;
  std::int64_t revision_ = 0;
  std::vector<std::function<void()>> deferredCalls_;
};

} // namespace auburnspring

#endif
