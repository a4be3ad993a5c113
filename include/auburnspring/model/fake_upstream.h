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

/// What an attempt's answer must be, so that a whole answer can be checked
/// byte by byte.
std::string stageResult(StageKind kind, const std::string &input,
                        const std::string &context, std::uint32_t part,
                        std::int64_t maxTokens);

/// How executions of a caller's key are counted: keys of two organisations or
/// routes are different keys.
std::string executionKey(const std::string &organisation,
                         const std::string &route, const std::string &key);

/// One upstream on the virtual clock: slots, a queue by priority, and the
/// faults that upstreams have.
class FakeUpstream {
public:
  struct Options {
    std::string name;
    std::string pool;
    std::string dataCentre;
    StageKind kind = StageKind::Call;
    std::int64_t slots = 8;
    std::size_t maxQueued = 64;
    /// Mean time of an attempt but for generation.
    Duration service = std::chrono::milliseconds(20);
    /// Generation: prefill of a prompt that is not cached, and each token.
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
    /// Share of attempts answered at once with an error.
    double failFast = 0;
    /// Share of attempts whose connection falls silent after execution.
    double silent = 0;
    /// Share of attempts that are cut before they end; a call has had its
    /// effect by then, or has not.
    double cut = 0;
    /// Share of answers delivered twice.
    double duplicate = 0;
  };

  /// Receives the events of an attempt, in order.
  using Deliver = std::function<void(Event event)>;

  FakeUpstream(Options options, EventQueue *queue);

  /// An attempt arrives; false if the upstream takes no connection.
  bool arrive(const StartAttempt &attempt, Deliver deliver);
  void cancel(const AttemptId &attempt);
  void thaw();

  LoadReport report() const;
  ListedUpstream listed() const;
  const Options &options() const { return options_; }

  Faults faults;
  /// A new life starts with a new count.
  std::uint64_t incarnation = 1;
  /// Attempts that were sent here, whatever became of them.
  std::uint64_t arrivals = 0;
  /// Attempts that have had their effect, in order.
  std::vector<AttemptId> executions;
  /// Executions of once-only attempts by executionKey().
  std::map<std::string, int> executionsByKey;
  /// The first execution of each key.
  struct Execution {
    AttemptId attempt;
    TimePoint at;
  };
  std::map<std::string, Execution> firstExecution;
  /// What each attempt took, whether or not it ended well.
  struct Spent {
    AttemptId attempt;
    Duration busy;
  };
  std::vector<Spent> spent;

private:
  struct Job {
    StartAttempt attempt;
    Deliver deliver;
    std::uint64_t order = 0;
    TimePoint startedAt;
    Duration takes{0};
    std::int64_t cachedTokens = 0;
    bool cancelled = false;
  };
  using JobPtr = std::shared_ptr<Job>;

  void startNext();
  void run(const JobPtr &job);
  void finish(const JobPtr &job);
  void stream(const JobPtr &job);
  void fail(const JobPtr &job, FailureKind kind, const char *detail);
  void execute(const Job &job);
  Duration timeOf(Job *job);
  bool useCache(const std::string &prompt);
  Usage usageOf(const Job &job) const;
  bool happens(double share);
  void later(const std::function<void()> &work);

  Options options_;
  EventQueue *queue_;
  std::mt19937_64 random_;
  std::uint64_t order_ = 0;
  std::vector<JobPtr> waiting_;
  std::vector<JobPtr> running_;
  std::list<std::uint64_t> cache_;
  std::vector<std::function<void()>> frozenWork_;
};

} // namespace auburnspring

#endif
