#include "auburnspring/model/fake_upstream.h"

#include "auburnspring/base/digest.h"

#include <fmt/format.h>

#include <algorithm>

namespace auburnspring {

namespace {

constexpr std::size_t BytesPerToken = 4;
constexpr std::size_t PrefixBytes = 256;
constexpr Duration FastError = std::chrono::milliseconds(1);
// Streamed text comes in this many pieces at the most.
constexpr std::int64_t MaxPieces = 8;

std::string tokenOf(std::uint64_t hash, std::int64_t n) {
  const std::uint64_t mixed =
      (hash ^ static_cast<std::uint64_t>(n) * 0x9e3779b97f4a7c15ULL) *
      0xbf58476d1ce4e5b9ULL;
  return fmt::format("{:03x} ", (mixed >> 40) & 0xfff);
}

std::string generated(const std::string &prompt, std::int64_t tokens) {
  const std::uint64_t hash = stableHash(prompt);
  std::string text;
  for (std::int64_t n = 0; n < tokens; ++n)
    text += tokenOf(hash, n);
  return text;
}

std::string promptOf(const std::string &input, const std::string &context) {
  return context.empty() ? input : input + "\n" + context;
}

} // namespace

std::string stageResult(StageKind kind, const std::string &input,
                        const std::string &context, std::uint32_t part,
                        std::int64_t maxTokens) {
  if (kind == StageKind::Generate)
    return generated(promptOf(input, context), maxTokens);
  return fmt::format("{}:{:016x}:{}", toString(kind),
                     stableHash(input + "|" + context), part);
}

std::string executionKey(const std::string &organisation,
                         const std::string &route, const std::string &key) {
  return organisation + "/" + route + "/" + key;
}

FakeUpstream::FakeUpstream(Options options, EventQueue *queue)
    : options_(std::move(options)), queue_(queue), random_(options_.seed) {}

bool FakeUpstream::happens(double share) {
  if (share <= 0)
    return false;
  return std::uniform_real_distribution<double>(0, 1)(random_) < share;
}

// While frozen, whatever falls due waits for the thaw.
void FakeUpstream::later(const std::function<void()> &work) {
  if (faults.frozen)
    frozenWork_.push_back(work);
  else
    work();
}

void FakeUpstream::thaw() {
  faults.frozen = false;
  const std::vector<std::function<void()>> work = std::move(frozenWork_);
  frozenWork_.clear();
  for (const auto &item : work)
    item();
}

bool FakeUpstream::arrive(const StartAttempt &attempt, Deliver deliver) {
  if (faults.dead)
    return false;
  ++arrivals;
  auto job = std::make_shared<Job>();
  job->attempt = attempt;
  job->deliver = std::move(deliver);
  job->order = ++order_;
  later([this, job] {
    if (faults.leaving)
      return fail(job, FailureKind::Leaving, "leaving");
    if (happens(faults.failFast))
      return queue_->after(FastError, [this, job] {
        fail(job, FailureKind::Faulty, "a fault");
      });
    if (waiting_.size() >= options_.maxQueued)
      return fail(job, FailureKind::Refused, "the queue is full");
    waiting_.push_back(job);
    startNext();
  });
  return true;
}

void FakeUpstream::startNext() {
  while (!waiting_.empty() &&
         static_cast<std::int64_t>(running_.size()) < options_.slots) {
    const auto next = std::min_element(
        waiting_.begin(), waiting_.end(), [](const JobPtr &a, const JobPtr &b) {
          return a->attempt.priority != b->attempt.priority
                     ? a->attempt.priority < b->attempt.priority
                     : a->order < b->order;
        });
    const JobPtr job = *next;
    waiting_.erase(next);
    running_.push_back(job);
    run(job);
  }
}

bool FakeUpstream::useCache(const std::string &prompt) {
  const std::uint64_t prefix = stableHash(prompt.substr(0, PrefixBytes));
  const auto found = std::find(cache_.begin(), cache_.end(), prefix);
  const bool hit = found != cache_.end();
  if (hit)
    cache_.erase(found);
  cache_.push_front(prefix);
  if (cache_.size() > options_.cachedPrefixes)
    cache_.pop_back();
  return hit;
}

Duration FakeUpstream::timeOf(Job *job) {
  std::uniform_real_distribution<double> spread(0.75, 1.25);
  double micros = static_cast<double>(options_.service.count());
  if (job->attempt.kind == StageKind::Generate) {
    const bool hit =
        useCache(promptOf(job->attempt.input, job->attempt.context));
    job->cachedTokens = hit ? PrefixBytes / BytesPerToken : 0;
    const auto resumed = static_cast<std::int64_t>(
        job->attempt.resumeText.size() / BytesPerToken);
    const std::int64_t tokens =
        std::max<std::int64_t>(0, job->attempt.maxTokens - resumed);
    // A fuller batch decodes more slowly.
    const double crowding = 1 + 0.5 * static_cast<double>(running_.size()) /
                                    static_cast<double>(options_.slots);
    micros = static_cast<double>(options_.prefill.count()) * (hit ? 0.3 : 1) +
             static_cast<double>(options_.perToken.count() * tokens) * crowding;
  }
  micros *= spread(random_) * faults.slowdown;
  if (happens(options_.slowShare))
    micros *= 4;
  return Duration(static_cast<std::int64_t>(micros));
}

void FakeUpstream::run(const JobPtr &job) {
  job->startedAt = queue_->now();
  job->takes = timeOf(job.get());
  if (job->attempt.kind == StageKind::Generate)
    stream(job);
  if (happens(faults.cut)) {
    const bool before = happens(0.5);
    return queue_->after(job->takes / 2, [this, job, before] {
      later([this, job, before] {
        if (job->cancelled)
          return;
        if (!before)
          execute(*job);
        fail(job, FailureKind::Broken, "cut off");
      });
    });
  }
  queue_->after(job->takes,
                [this, job] { later([this, job] { finish(job); }); });
}

void FakeUpstream::stream(const JobPtr &job) {
  const std::string whole =
      stageResult(StageKind::Generate, job->attempt.input, job->attempt.context,
                  job->attempt.part, job->attempt.maxTokens);
  const std::size_t from = job->attempt.resumeText.size();
  const std::size_t left = whole.size() > from ? whole.size() - from : 0;
  const std::size_t piece =
      std::max<std::size_t>(BytesPerToken, left / MaxPieces);
  for (std::size_t offset = from; offset < whole.size(); offset += piece) {
    const double share = static_cast<double>(offset + piece - from) /
                         static_cast<double>(std::max<std::size_t>(left, 1));
    const Duration when(static_cast<std::int64_t>(
        static_cast<double>(job->takes.count()) * std::min(share, 1.0) * 0.99));
    const AttemptProgress progress{job->attempt.attempt, offset,
                                   whole.substr(offset, piece)};
    queue_->after(when, [this, job, progress] {
      later([job, progress] {
        if (!job->cancelled)
          job->deliver(progress);
      });
    });
  }
}

void FakeUpstream::execute(const Job &job) {
  executions.push_back(job.attempt.attempt);
  if (!job.attempt.once)
    return;
  const std::string key = executionKey(job.attempt.organisation,
                                       job.attempt.route, job.attempt.key);
  ++executionsByKey[key];
  firstExecution.emplace(key, Execution{job.attempt.attempt, queue_->now()});
}

Usage FakeUpstream::usageOf(const Job &job) const {
  Usage usage;
  usage.busy = queue_->now() - job.startedAt;
  usage.cachedTokens = job.cachedTokens;
  if (job.attempt.kind != StageKind::Generate)
    return usage;
  usage.promptTokens = static_cast<std::int64_t>(
      (job.attempt.input.size() + job.attempt.context.size()) / BytesPerToken);
  usage.generatedTokens = job.attempt.maxTokens;
  return usage;
}

void FakeUpstream::finish(const JobPtr &job) {
  if (job->cancelled)
    return;
  job->cancelled = true;
  running_.erase(std::find(running_.begin(), running_.end(), job));
  const Usage usage = usageOf(*job);
  spent.push_back({job->attempt.attempt, usage.busy});
  execute(*job);
  AttemptSucceeded answer;
  answer.attempt = job->attempt.attempt;
  answer.text =
      stageResult(job->attempt.kind, job->attempt.input, job->attempt.context,
                  job->attempt.part, job->attempt.maxTokens);
  answer.usage = usage;
  if (!happens(faults.silent)) {
    job->deliver(answer);
    if (happens(faults.duplicate))
      job->deliver(answer);
  }
  startNext();
}

void FakeUpstream::fail(const JobPtr &job, FailureKind kind,
                        const char *detail) {
  job->cancelled = true;
  const auto found = std::find(running_.begin(), running_.end(), job);
  Usage usage;
  if (found != running_.end()) {
    usage = usageOf(*job);
    usage.generatedTokens = 0;
    spent.push_back({job->attempt.attempt, usage.busy});
    running_.erase(found);
  }
  job->deliver(AttemptFailed{job->attempt.attempt, kind, detail, usage});
  startNext();
}

// Cancelling is a request: a call that is running ends all the same.
void FakeUpstream::cancel(const AttemptId &attempt) {
  later([this, attempt] {
    for (const JobPtr &job : running_) {
      if (!(job->attempt.attempt == attempt) || job->attempt.once)
        continue;
      return fail(JobPtr(job), FailureKind::Cancelled, "cancelled");
    }
    const auto found =
        std::find_if(waiting_.begin(), waiting_.end(), [&](const JobPtr &job) {
          return job->attempt.attempt == attempt;
        });
    if (found == waiting_.end())
      return;
    const JobPtr job = *found;
    waiting_.erase(found);
    fail(job, FailureKind::Cancelled, "cancelled");
  });
}

LoadReport FakeUpstream::report() const {
  LoadReport report;
  report.upstream = options_.name;
  report.incarnation = std::to_string(incarnation);
  report.running = static_cast<std::int64_t>(running_.size());
  report.queued = static_cast<std::int64_t>(waiting_.size());
  report.leaving = faults.leaving;
  return report;
}

ListedUpstream FakeUpstream::listed() const {
  ListedUpstream listed;
  listed.name = options_.name;
  listed.pool = options_.pool;
  listed.dataCentre = options_.dataCentre;
  listed.endpoint.ip = options_.name;
  listed.incarnation = std::to_string(incarnation);
  listed.leaving = faults.leaving;
  listed.slots = options_.slots;
  return listed;
}

} // namespace auburnspring
