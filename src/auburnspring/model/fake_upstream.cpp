#include "auburnspring/model/fake_upstream.h"

#include "auburnspring/base/digest.h"

#include <fmt/format.h>

#include <algorithm>

namespace auburnspring {

namespace {

constexpr std::size_t BytesPerToken = 4;
constexpr std::size_t PrefixBytes = 256;
constexpr Duration FastErrorDelay = std::chrono::milliseconds(1);
constexpr std::int64_t MaxStreamChunks = 8;

std::string tokenAt(std::uint64_t hash, std::int64_t n) {
  const std::uint64_t mixed =
      (hash ^ static_cast<std::uint64_t>(n) * 0x9e3779b97f4a7c15ULL) *
      0xbf58476d1ce4e5b9ULL;
  return fmt::format("{:03x} ", (mixed >> 40) & 0xfff);
}

std::string generatedText(const std::string &prompt, std::int64_t tokens,
                          const std::string &version) {
  const std::uint64_t hash = version.empty()
                                 ? stableHash(prompt)
                                 : stableHash(prompt, stableHash(version));
  std::string text;
  for (std::int64_t n = 0; n < tokens; ++n)
    text += tokenAt(hash, n);
  return text;
}

std::string fullPrompt(const std::string &input, const std::string &context) {
  return context.empty() ? input : input + "\n" + context;
}

} // namespace

std::string stageResult(StageKind kind, const std::string &input,
                        const std::string &context, std::uint32_t part,
                        std::int64_t maxTokens, const std::string &version) {
  if (kind == StageKind::Generate)
    return generatedText(fullPrompt(input, context), maxTokens, version);
  return fmt::format("{}:{:016x}:{}", toString(kind),
                     stableHash(input + "|" + context), part);
}

std::string executionKey(const std::string &organisation,
                         const std::string &route, const std::string &key) {
  return organisation + "/" + route + "/" + key;
}

FakeUpstream::FakeUpstream(Options options, EventQueue *queue)
    : options_(std::move(options)), queue_(queue), random_(options_.seed) {}

bool FakeUpstream::withProbability(double probability) {
  if (probability <= 0)
    return false;
  return std::uniform_real_distribution<double>(0, 1)(random_) < probability;
}

// Defers `work` until thaw() while the upstream is frozen.
void FakeUpstream::runOrDefer(const std::function<void()> &work) {
  if (faults.frozen)
    deferredWork_.push_back(work);
  else
    work();
}

void FakeUpstream::thaw() {
  faults.frozen = false;
  const std::vector<std::function<void()>> work = std::move(deferredWork_);
  deferredWork_.clear();
  for (const auto &item : work)
    item();
}

bool FakeUpstream::accept(const StartAttempt &attempt, EventSink deliver) {
  if (faults.dead)
    return false;
  ++attemptsReceived;
  auto job = std::make_shared<Job>();
  job->attempt = attempt;
  job->deliver = std::move(deliver);
  job->sequence = ++lastSequence_;
  runOrDefer([this, job] {
    if (faults.leaving)
      return fail(job, FailureKind::Leaving, "leaving");
    if (withProbability(faults.failFast))
      return queue_->after(FastErrorDelay, [this, job] {
        fail(job, FailureKind::UpstreamFailed, "injected fault");
      });
    if (queued_.size() >= options_.maxQueued)
      return fail(job, FailureKind::Refused, "the queue is full");
    queued_.push_back(job);
    startNext();
  });
  return true;
}

void FakeUpstream::startNext() {
  while (!queued_.empty() &&
         static_cast<std::int64_t>(running_.size()) < options_.slots) {
    const auto next = std::min_element(
        queued_.begin(), queued_.end(), [](const JobPtr &a, const JobPtr &b) {
          return a->attempt.priority != b->attempt.priority
                     ? a->attempt.priority < b->attempt.priority
                     : a->sequence < b->sequence;
        });
    const JobPtr job = *next;
    queued_.erase(next);
    running_.push_back(job);
    run(job);
  }
}

bool FakeUpstream::touchPrefixCache(const std::string &prompt) {
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

Duration FakeUpstream::drawDuration(Job *job) {
  std::uniform_real_distribution<double> jitter(0.75, 1.25);
  double micros = static_cast<double>(options_.serviceTime.count());
  if (job->attempt.kind == StageKind::Generate) {
    const bool hit =
        touchPrefixCache(fullPrompt(job->attempt.input, job->attempt.context));
    job->cachedTokens = hit ? PrefixBytes / BytesPerToken : 0;
    const auto resumed = static_cast<std::int64_t>(
        job->attempt.resumeText.size() / BytesPerToken);
    const std::int64_t tokens =
        std::max<std::int64_t>(0, job->attempt.maxTokens - resumed);
    // Decoding slows down as the batch fills.
    const double batchSlowdown = 1 + 0.5 *
                                         static_cast<double>(running_.size()) /
                                         static_cast<double>(options_.slots);
    micros =
        static_cast<double>(options_.prefill.count()) * (hit ? 0.3 : 1) +
        static_cast<double>(options_.perToken.count() * tokens) * batchSlowdown;
  }
  micros *= jitter(random_) * faults.slowdown;
  if (withProbability(options_.slowShare))
    micros *= 4;
  return Duration(static_cast<std::int64_t>(micros));
}

void FakeUpstream::run(const JobPtr &job) {
  job->startedAt = queue_->now();
  job->duration = drawDuration(job.get());
  if (job->attempt.kind == StageKind::Generate) {
    if (withProbability(faults.pauseShare))
      job->pause = faults.pause;
    scheduleStream(job);
  }
  if (withProbability(faults.connectionLost)) {
    const bool beforeExecution = withProbability(0.5);
    return queue_->after(job->duration / 2, [this, job, beforeExecution] {
      runOrDefer([this, job, beforeExecution] {
        if (job->ended)
          return;
        if (!beforeExecution)
          execute(*job);
        fail(job, FailureKind::ResponseLost, "connection lost");
      });
    });
  }
  queue_->after(job->duration + job->pause,
                [this, job] { runOrDefer([this, job] { finish(job); }); });
}

// As in production, a resumed generation is the text to resume after and what
// this upstream adds to it, whether or not they fit together.
std::string FakeUpstream::resultOf(const StartAttempt &attempt) const {
  const std::string own =
      stageResult(attempt.kind, attempt.input, attempt.context, attempt.part,
                  attempt.maxTokens, options_.version);
  const std::size_t resumed = attempt.resumeText.size();
  if (resumed >= own.size())
    return resumed == 0 ? own : attempt.resumeText;
  return attempt.resumeText + own.substr(resumed);
}

void FakeUpstream::scheduleStream(const JobPtr &job) {
  const std::string fullText = resultOf(job->attempt);
  const std::size_t start = job->attempt.resumeText.size();
  const std::size_t remaining =
      fullText.size() > start ? fullText.size() - start : 0;
  const std::size_t chunk =
      std::max<std::size_t>(BytesPerToken, remaining / MaxStreamChunks);
  for (std::size_t offset = start; offset < fullText.size(); offset += chunk) {
    const double fraction =
        static_cast<double>(offset + chunk - start) /
        static_cast<double>(std::max<std::size_t>(remaining, 1));
    const Duration pause = fraction > 0.5 ? job->pause : Duration(0);
    const Duration delay =
        pause + Duration(static_cast<std::int64_t>(
                    static_cast<double>(job->duration.count()) *
                    std::min(fraction, 1.0) * 0.99));
    const AttemptProgress progress{job->attempt.attempt, offset,
                                   fullText.substr(offset, chunk)};
    queue_->after(delay, [this, job, progress] {
      runOrDefer([job, progress] {
        if (!job->ended)
          job->deliver(progress);
      });
    });
  }
}

void FakeUpstream::execute(const Job &job) {
  executions.push_back(job.attempt.attempt);
  if (!job.attempt.atMostOnce)
    return;
  const std::string key = executionKey(job.attempt.organisation,
                                       job.attempt.route, job.attempt.key);
  ++executionsByKey[key];
  firstExecutionByKey.emplace(key,
                              Execution{job.attempt.attempt, queue_->now()});
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
  if (job->ended)
    return;
  job->ended = true;
  running_.erase(std::find(running_.begin(), running_.end(), job));
  const Usage usage = usageOf(*job);
  attemptCosts.push_back({job->attempt.attempt, usage.busy});
  execute(*job);
  AttemptSucceeded succeeded;
  succeeded.attempt = job->attempt.attempt;
  succeeded.text = resultOf(job->attempt);
  succeeded.usage = usage;
  if (!withProbability(faults.responseLost)) {
    job->deliver(succeeded);
    if (withProbability(faults.duplicate))
      job->deliver(succeeded);
  }
  startNext();
}

void FakeUpstream::fail(const JobPtr &job, FailureKind kind,
                        const char *detail) {
  job->ended = true;
  const auto found = std::find(running_.begin(), running_.end(), job);
  Usage usage;
  if (found != running_.end()) {
    usage = usageOf(*job);
    usage.generatedTokens = 0;
    attemptCosts.push_back({job->attempt.attempt, usage.busy});
    running_.erase(found);
  }
  job->deliver(AttemptFailed{job->attempt.attempt, kind, detail, usage});
  startNext();
}

// Cancellation is best effort: a running non-retryable attempt completes.
void FakeUpstream::cancel(const AttemptId &attempt) {
  runOrDefer([this, attempt] {
    for (const JobPtr &job : running_) {
      if (!(job->attempt.attempt == attempt) || job->attempt.atMostOnce)
        continue;
      return fail(JobPtr(job), FailureKind::Cancelled, "cancelled");
    }
    const auto found =
        std::find_if(queued_.begin(), queued_.end(), [&](const JobPtr &job) {
          return job->attempt.attempt == attempt;
        });
    if (found == queued_.end())
      return;
    const JobPtr job = *found;
    queued_.erase(found);
    fail(job, FailureKind::Cancelled, "cancelled");
  });
}

LoadReport FakeUpstream::report() const {
  LoadReport report;
  report.upstream = options_.name;
  report.incarnation = std::to_string(incarnation);
  report.running = static_cast<std::int64_t>(running_.size());
  report.queued = static_cast<std::int64_t>(queued_.size());
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
  listed.version = options_.version;
  listed.leaving = faults.leaving;
  listed.slots = options_.slots;
  return listed;
}

} // namespace auburnspring
