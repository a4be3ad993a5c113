#ifndef AUBURNSPRING_UPSTREAM_ATTEMPT_RUNNER_H
#define AUBURNSPRING_UPSTREAM_ATTEMPT_RUNNER_H

#include "auburnspring/decision/action.h"
#include "auburnspring/decision/event.h"

#include <functional>
#include <memory>

namespace auburnspring {

/// Carries out attempts against upstreams, each on a thread and a connection
/// of its own, and reports for each exactly one AttemptSucceeded or
/// AttemptFailed.
class AttemptRunner {
public:
  struct Options {
    int maxThreads = 512;
    Duration connectTimeout = std::chrono::milliseconds(500);
    /// A stream that brings nothing for this long is given up; the connection
    /// is dead even if the upstream is not.
    Duration streamStall = std::chrono::milliseconds(1500);
    std::size_t maxAnswerBytes = 8 << 20;
  };

  using Report = std::function<void(Event event)>;

  AttemptRunner(Options options, Report report);
  ~AttemptRunner();
  AttemptRunner(const AttemptRunner &) = delete;
  AttemptRunner &operator=(const AttemptRunner &) = delete;

  void start(StartAttempt attempt);
  void cancel(const CancelAttempt &attempt);

  /// Waits until every attempt has ended.
  void join();

private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

} // namespace auburnspring

#endif
