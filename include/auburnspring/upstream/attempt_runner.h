#ifndef AUBURNSPRING_UPSTREAM_ATTEMPT_RUNNER_H
#define AUBURNSPRING_UPSTREAM_ATTEMPT_RUNNER_H

#include "auburnspring/decision/action.h"
#include "auburnspring/decision/event.h"

#include <functional>
#include <memory>

namespace auburnspring {

/// Sends attempts to upstreams, each on its own thread and connection, and
/// reports exactly one AttemptSucceeded or AttemptFailed for each, the latter
/// at its deadline if no response has arrived. Silence alone ends no attempt.
class AttemptRunner {
public:
  struct Options {
    int maxThreads = 512;
    Duration connectTimeout = std::chrono::milliseconds(500);
    /// Limit on a body, on the text of a stream, and on what a stream sends
    /// between two events with text. Time bounds all else: an attempt fails
    /// shortly after its deadline, also while bytes trickle.
    std::size_t maxResponseBytes = 8 << 20;
  };

  using EventCallback = std::function<void(Event event)>;

  AttemptRunner(Options options, EventCallback onEvent);
  ~AttemptRunner();
  AttemptRunner(const AttemptRunner &) = delete;
  AttemptRunner &operator=(const AttemptRunner &) = delete;

  void start(StartAttempt attempt);
  void cancel(const CancelAttempt &attempt);

  /// Blocks until all attempts have finished.
  void join();

private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

} // namespace auburnspring

#endif
