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

/// The key-value service in memory on the virtual clock, with the faults that
/// the platform's has.
class FakeKeyValue : public KeyValueStore {
public:
  struct Faults {
    /// Calls get no answer and have no effect until it ends.
    bool down = false;
    /// Calls wait until it ends and take effect then.
    bool frozen = false;
    /// Share of writes whose answer is lost after they took effect.
    double loseAfter = 0;
    /// Share of writes lost before they take effect.
    double loseBefore = 0;
    /// Share of writes that take effect long after their answer was lost.
    double landLate = 0;
    /// Share of reads that show the value before the last.
    double stale = 0;
    Duration delay = std::chrono::milliseconds(2);
  };

  using Answer = std::function<void(KvReply reply)>;

  FakeKeyValue(EventQueue *queue, std::uint64_t seed);

  /// Makes the call and answers on the virtual clock. `timeout` is when the
  /// caller's shell gives the call up.
  void submit(const KvOperation &operation, Duration timeout,
              const Answer &answer);

  /// Makes the call at once and without a fault, for operators.
  KvReply call(const KvOperation &operation) override;

  void thaw();

  Faults faults;
  std::uint64_t reads = 0;
  std::uint64_t writes = 0;
  std::uint64_t bytesWritten = 0;

private:
  struct Value {
    std::string text;
    std::string before;
    std::int64_t revision = 0;
    std::int64_t revisionBefore = 0;
  };

  KvReply apply(const KvOperation &operation);
  KvReply readStale(const KvOperation &operation) const;
  bool happens(double share);

  EventQueue *queue_;
  std::mt19937_64 random_;
  std::map<std::string, Value> values_;
  std::int64_t revision_ = 0;
  std::vector<std::function<void()>> frozenCalls_;
};

} // namespace auburnspring

#endif
