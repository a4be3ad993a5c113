#ifndef AUBURNSPRING_MODEL_FAKE_UPSTREAM_H
#define AUBURNSPRING_MODEL_FAKE_UPSTREAM_H

#include "auburnspring/decision/action.h"
#include "auburnspring/decision/event.h"
#include "auburnspring/model/event_queue.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace auburnspring {

/// The result of an attempt as a pure function of its inputs, so that complete
/// responses can be checked byte for byte. What two versions of an engine
/// generate from the same inputs differs from the first token on.
std::string stageResult(StageKind kind, const std::string &input,
                        const std::string &context, std::uint32_t part,
                        std::int64_t maxTokens, const std::string &version);

/// The key under which executions are counted. A caller's key is scoped to its
/// organisation and route.
std::string executionKey(const std::string &organisation,
                         const std::string &route, const std::string &key);

/// An upstream on the virtual clock with a fixed number of slots, a priority
/// queue and injected faults.
class FakeUpstream {
public:
  struct Options {
    std::string name;
    std::string pool;
    std::string dataCentre;
    StageKind kind = StageKind::Call;
    /// Software version, as listed.
    std::string version;
    std::int64_t slots = 8;
    std::size_t maxQueued = 64;
    /// Mean duration of an attempt, except for generation.
    Duration serviceTime = std::chrono::milliseconds(20);
    /// Generation: prefill time of an uncached prompt, and time per token.
    Duration prefill = std::chrono::milliseconds(80);
    Duration perToken = std::chrono::milliseconds(8);
    std::size_t cachedPrefixes = 16;
    /// Share of attempts that take four times as long.
    double slowShare = 0.02;
    std::uint64_t seed = 1;
  };

  struct Faults {
    bool dead = false;
    bool frozen = false;
    bool leaving = false;
    double slowdown = 1;
    /// Share of attempts that fail immediately.
    double failFast = 0;
    /// Share of attempts that execute but get no response.
    double responseLost = 0;
    /// Share of attempts whose connection breaks half-way; half of these have
    /// executed by then.
    double connectionLost = 0;
    /// Share of responses delivered twice.
    double duplicate = 0;
    /// Share of generations in whose middle the upstream is silent for `pause`,
    /// after which it goes on.
    double pauseShare = 0;
    Duration pause{0};
  };

  /// Receives the events of an attempt, in order.
  using EventSink = std::function<void(Event event)>;

  FakeUpstream(Options options, EventQueue *queue);

  /// Queues or starts an attempt; false if the connection is refused.
  bool accept(const StartAttempt &attempt, EventSink deliver);
  void cancel(const AttemptId &attempt);
  /// Clears the `frozen` fault and runs the deferred work.
  void thaw();

  LoadReport report() const;
  ListedUpstream listed() const;
  const Options &options() const { return options_; }

  Faults faults;
  /// Incremented on each restart.
  std::uint64_t incarnation = 1;
  /// Number of attempts received, whatever their outcome.
  std::uint64_t attemptsReceived = 0;
  /// Executed attempts, in order.
  std::vector<AttemptId> executions;
  /// Executions of non-retryable attempts by executionKey().
  std::map<std::string, int> executionsByKey;
  /// The first execution of each key.
  struct Execution {
    AttemptId attempt;
    TimePoint at;
  };
  std::map<std::string, Execution> firstExecutionByKey;
  /// Busy time of each attempt, whether or not it succeeded.
  struct AttemptCost {
    AttemptId attempt;
    Duration busy;
  };
  std::vector<AttemptCost> attemptCosts;

private:
  struct Job {
    StartAttempt attempt;
    EventSink deliver;
    std::uint64_t sequence = 0;
    TimePoint startedAt;
    Duration duration{0};
    /// Silence after half of the duration.
    Duration pause{0};
    std::int64_t cachedTokens = 0;
    bool ended = false;
  };
  using JobPtr = std::shared_ptr<Job>;

  void startNext();
  void run(const JobPtr &job);
  void finish(const JobPtr &job);
  void scheduleStream(const JobPtr &job);
  void fail(const JobPtr &job, FailureKind kind, const char *detail);
  void execute(const Job &job);
  std::string resultOf(const StartAttempt &attempt) const;
  Duration drawDuration(Job *job);
  bool touchPrefixCache(const std::string &prompt);
  Usage usageOf(const Job &job) const;
  bool withProbability(double probability);
  void runOrDefer(const std::function<void()> &work);

  Options options_;
  EventQueue *queue_;
  std::mt19937_64 random_;
  std::uint64_t lastSequence_ = 0;
  std::vector<JobPtr> queued_;
  std::vector<JobPtr> running_;
  std::list<std::uint64_t> cache_;
  std::vector<std::function<void()>> deferredWork_;
};

} // namespace auburnspring

#endif
