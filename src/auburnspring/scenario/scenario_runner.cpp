#include "auburnspring/scenario/scenario_runner.h"

#include "auburnspring/publishing/publisher.h"

#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_join.h>
#include <fmt/format.h>

#include <algorithm>
#include <cmath>

namespace auburnspring {

namespace {

constexpr Duration WarmUp = std::chrono::seconds(3);
constexpr Duration ConcurrentFaultDelay = std::chrono::milliseconds(500);

Simulation::Options simulationOptions(const Scenario &scenario,
                                      Simulation::HostFactory makeHost) {
  Simulation::Options options;
  options.seed = scenario.seed;
  options.hosts = scenario.hosts;
  options.makeHost = std::move(makeHost);
  return options;
}

bool readShare(const std::string &word, double *out) {
  const std::optional<double> share = parseShare(word);
  if (!share)
    return false;
  *out = *share;
  return true;
}

bool readPause(const std::vector<std::string> &words,
               FakeUpstream::Faults *faults) {
  const std::optional<Duration> pause = parseDuration(words[3]);
  if (!pause)
    return false;
  faults->pause = *pause;
  return readShare(words[4], &faults->pauseShare);
}

} // namespace

const ScenarioRunner::VerbEntry ScenarioRunner::verbs[] = {
    {"call", &ScenarioRunner::call},
    {"load", &ScenarioRunner::load},
    {"kill", &ScenarioRunner::kill},
    {"restart", &ScenarioRunner::restart},
    {"freeze", &ScenarioRunner::freeze},
    {"thaw", &ScenarioRunner::thaw},
    {"stop", &ScenarioRunner::stop},
    {"hang-up", &ScenarioRunner::disconnectCaller},
    {"cut", &ScenarioRunner::cut},
    {"heal", &ScenarioRunner::heal},
    {"kv", &ScenarioRunner::keyValue},
    {"upstream", &ScenarioRunner::upstream},
    {"list", &ScenarioRunner::list},
    {"publish", &ScenarioRunner::publish},
    {"drain", &ScenarioRunner::drain},
    {"undrain", &ScenarioRunner::drain},
    {"expect", &ScenarioRunner::expect},
};

ScenarioRunner::ScenarioRunner(const Scenario &scenario,
                               ConcurrentFault concurrentFault,
                               Simulation::HostFactory makeHost)
    : scenario_(scenario), concurrentFault_(concurrentFault),
      simulation_(std::make_unique<Simulation>(
          simulationOptions(scenario, std::move(makeHost)))) {
  for (const ScenarioPool &pool : scenario_.pools) {
    for (std::size_t i = 0; i < pool.upstreamCount; ++i) {
      FakeUpstream::Options options = pool.options;
      options.name = fmt::format("{}-{}", options.pool, i + 1);
      options.dataCentre = fmt::format("dc-{}", i % 4 + 1);
      if (!pool.versions.empty())
        options.version = pool.versions[i % pool.versions.size()];
      simulation_->addUpstream(options);
    }
  }
}

ScenarioRunner::~ScenarioRunner() = default;

ScenarioResult ScenarioRunner::run() {
  simulation_->start();
  std::map<std::string, std::string> files;
  for (const ScenarioRoute &route : scenario_.routes)
    if (!route.publishedLater)
      files[route.name + ".route.json"] = route.text;
  simulation_->publish(files);
  simulation_->runFor(WarmUp);
  start_ = simulation_->now();
  if (concurrentFault_ == ConcurrentFault::KeyValueDown)
    simulation_->queue().after(ConcurrentFaultDelay, [this] {
      simulation_->keyValue().faults.down = true;
    });
  if (concurrentFault_ == ConcurrentFault::HostFrozen)
    simulation_->queue().after(ConcurrentFaultDelay, [this] {
      simulation_->freeze(simulation_->hostCount() - 1);
    });
  for (const ScenarioStep &step : scenario_.steps) {
    simulation_->queue().runUntil(start_ + step.at);
    runStep(step);
  }
  simulation_->queue().runUntil(start_ + scenario_.length);
  ScenarioResult result;
  result.failures = failures_;
  for (const std::string &violation : simulation_->violations())
    result.failures.push_back("0: " + violation);
  result.summary = summary();
  return result;
}

void ScenarioRunner::runStep(const ScenarioStep &step) {
  line_ = step.line;
  stepText_ = absl::StrJoin(step.words, " ");
  for (const VerbEntry &entry : verbs) {
    if (step.words.front() != entry.name)
      continue;
    if (!(this->*entry.verb)(step.words))
      failures_.push_back(
          fmt::format("{}: invalid arguments: {}", line_, stepText_));
    return;
  }
  failures_.push_back(fmt::format("{}: unknown verb: {}", line_, stepText_));
}

std::size_t ScenarioRunner::hostIndex(const std::string &word) const {
  std::size_t number = 1;
  if (!absl::SimpleAtoi(word, &number) || number < 1 ||
      number > simulation_->hostCount())
    return 0;
  return number - 1;
}

// call NAME ROUTE host N [key K] [body B] [organisation O] [first] [stream]
bool ScenarioRunner::call(const Words &words) {
  if (words.size() < 5)
    return false;
  std::string key;
  std::string body = "body of " + words[1];
  std::string organisation = "org";
  std::size_t host = 0;
  const auto has = [&words](const char *word) {
    return std::find(words.begin(), words.end(), word) != words.end();
  };
  for (std::size_t i = 3; i + 1 < words.size(); i += 2) {
    if (words[i] == "stream" || words[i] == "first")
      break;
    if (words[i] == "host")
      host = hostIndex(words[i + 1]);
    else if (words[i] == "key")
      key = words[i + 1];
    else if (words[i] == "body")
      body = words[i + 1];
    else if (words[i] == "organisation")
      organisation = words[i + 1];
    else
      return false;
  }
  calls_[words[1]] = simulation_->call(host, words[2], organisation, key, body,
                                       has("stream"), has("first"));
  return true;
}

// load ROUTE rate N for T [organisation O]: N requests/s, spread evenly over
// the hosts.
bool ScenarioRunner::load(const Words &words) {
  if (words.size() < 6)
    return false;
  double rate = 0;
  const std::optional<Duration> span = parseDuration(words[5]);
  if (!absl::SimpleAtod(words[3], &rate) || rate <= 0 || !span)
    return false;
  const std::string organisation = words.size() > 7 ? words[7] : "org";
  const auto count = static_cast<std::uint64_t>(
      rate * static_cast<double>(span->count()) / 1e6);
  for (std::uint64_t i = 0; i < count; ++i) {
    const Duration when(
        static_cast<std::int64_t>(1e6 * static_cast<double>(i) / rate));
    const std::uint64_t number = ++loadCount_;
    simulation_->queue().after(
        when, [this, route = words[1], organisation, number] {
          simulation_->call(number % simulation_->hostCount(), route,
                            organisation, fmt::format("load-{}", number),
                            fmt::format("load {}", number));
        });
  }
  return true;
}

bool ScenarioRunner::kill(const Words &words) {
  simulation_->kill(hostIndex(words.back()));
  return words.size() == 3;
}

bool ScenarioRunner::restart(const Words &words) {
  simulation_->restart(hostIndex(words.back()));
  return words.size() == 3;
}

bool ScenarioRunner::freeze(const Words &words) {
  simulation_->freeze(hostIndex(words.back()));
  return words.size() == 3;
}

bool ScenarioRunner::thaw(const Words &words) {
  simulation_->thaw(hostIndex(words.back()));
  return words.size() == 3;
}

bool ScenarioRunner::stop(const Words &words) {
  simulation_->stop(hostIndex(words.back()));
  return words.size() == 3;
}

bool ScenarioRunner::disconnectCaller(const Words &words) {
  const auto found = calls_.find(words.back());
  if (found == calls_.end())
    return false;
  simulation_->disconnectCaller(found->second);
  return true;
}

bool ScenarioRunner::cut(const Words &words) {
  if (words.size() != 4)
    return false;
  simulation_->setLinkDown(hostIndex(words[2]), hostIndex(words[3]), true);
  return true;
}

bool ScenarioRunner::heal(const Words &words) {
  if (words.size() != 4)
    return false;
  simulation_->setLinkDown(hostIndex(words[2]), hostIndex(words[3]), false);
  return true;
}

bool ScenarioRunner::keyValue(const Words &words) {
  FakeKeyValue::Faults &faults = simulation_->keyValue().faults;
  const std::string &command = words.at(1);
  if (command == "down" || command == "up") {
    faults.down = command == "down";
    return true;
  }
  if (command == "frozen") {
    faults.frozen = true;
    return true;
  }
  if (command == "thaw") {
    simulation_->keyValue().thaw();
    return true;
  }
  if (words.size() != 3)
    return false;
  if (command == "delay") {
    const std::optional<Duration> delay = parseDuration(words[2]);
    faults.delay = delay.value_or(faults.delay);
    return delay.has_value();
  }
  if (command == "lose-after")
    return readShare(words[2], &faults.loseResponse);
  if (command == "lose-before")
    return readShare(words[2], &faults.loseWrite);
  if (command == "land-late")
    return readShare(words[2], &faults.applyLate);
  if (command == "stale")
    return readShare(words[2], &faults.staleRead);
  return false;
}

// upstream NAME|POOL-* FAULT [SHARE], or upstream NAME|POOL-* pause T SHARE
bool ScenarioRunner::upstream(const Words &words) {
  if (words.size() < 3)
    return false;
  std::vector<FakeUpstream *> selected;
  if (absl::EndsWith(words[1], "-*"))
    selected = simulation_->pool(words[1].substr(0, words[1].size() - 2));
  else
    selected = {&simulation_->upstream(words[1])};
  for (FakeUpstream *target : selected) {
    FakeUpstream::Faults &faults = target->faults;
    const std::string &command = words[2];
    const std::string share = words.size() > 3 ? words[3] : "1";
    bool valid = true;
    if (command == "dead")
      faults.dead = true;
    else if (command == "alive")
      faults.dead = false;
    else if (command == "frozen")
      faults.frozen = true;
    else if (command == "thaw")
      target->thaw();
    else if (command == "leaving")
      faults.leaving = true;
    else if (command == "reborn") {
      faults = FakeUpstream::Faults();
      ++target->incarnation;
    } else if (command == "slowdown")
      valid = readShare(share, &faults.slowdown);
    else if (command == "fail-fast")
      valid = readShare(share, &faults.failFast);
    else if (command == "silent")
      valid = readShare(share, &faults.responseLost);
    else if (command == "cut")
      valid = readShare(share, &faults.connectionLost);
    else if (command == "duplicate")
      valid = readShare(share, &faults.duplicate);
    else if (command == "pause")
      valid = words.size() == 5 && readPause(words, &faults);
    else
      valid = false;
    if (!valid)
      return false;
  }
  return true;
}

bool ScenarioRunner::list(const Words &words) {
  const std::string &command = words.at(1);
  simulation_->setHostListFaults(command == "stuck", command == "empty");
  return command == "stuck" || command == "empty" || command == "normal";
}

bool ScenarioRunner::publish(const Words &words) {
  std::map<std::string, std::string> files;
  for (const ScenarioRoute &route : scenario_.routes)
    if (std::find(words.begin() + 1, words.end(), route.name) != words.end())
      files[route.name + ".route.json"] = route.text;
  if (files.empty())
    return false;
  simulation_->publish(files);
  return true;
}

bool ScenarioRunner::drain(const Words &words) {
  if (words.size() != 2)
    return false;
  Publisher publisher({}, &simulation_->keyValue());
  publisher.setDrained(words[1], words[0] == "drain",
                       fmt::format("drain-{}", ++drainCount_), "operator",
                       WallTime(0));
  return true;
}

void ScenarioRunner::check(bool holds, const std::string &found) {
  // A concurrent fault changes the outcomes; only violations count then.
  if (holds || concurrentFault_ != ConcurrentFault::None)
    return;
  failures_.push_back(fmt::format("{}: {}: found {}", line_, stepText_, found));
}

bool ScenarioRunner::expect(const Words &words) {
  if (words.size() < 3)
    return false;
  if (words[1] == "executions")
    return expectExecutions(words);
  if (words[1] == "attainment")
    return expectAttainment(words);
  if (words[1] == "generation")
    return expectGeneration(words);
  if (words[1] == "quiet")
    return expectNoNewAttempts(words);
  if (words[1] == "members")
    return expectMembers(words);
  return expectOutcome(words);
}

// expect NAME open, or expect NAME OUTCOME[|OUTCOME...] [within T]
bool ScenarioRunner::expectOutcome(const Words &words) {
  const auto call = calls_.find(words[1]);
  if (call == calls_.end())
    return false;
  const CallerRecord &record = simulation_->records()[call->second];
  const std::string found =
      record.response
          ? fmt::format("{} ({}) after {} ms",
                        toString(record.response->outcome),
                        record.response->reason,
                        toMillis(record.respondedAt - record.sentAt))
          : "open";
  if (words[2] == "open") {
    check(!record.response, found);
    return true;
  }
  const std::string outcome =
      record.response ? toString(record.response->outcome) : "open";
  bool matches = false;
  for (std::size_t from = 0; from <= words[2].size();) {
    const std::size_t bar = std::min(words[2].find('|', from), words[2].size());
    matches = matches || words[2].substr(from, bar - from) == outcome;
    from = bar + 1;
  }
  if (words.size() == 5 && words[3] == "within") {
    const std::optional<Duration> limit = parseDuration(words[4]);
    if (!limit)
      return false;
    matches = matches && record.respondedAt - record.sentAt <= *limit;
  }
  check(matches, found);
  return true;
}

// expect executions KEY is|at-most N
bool ScenarioRunner::expectExecutions(const Words &words) {
  int wanted = 0;
  if (words.size() != 5 || !absl::SimpleAtoi(words[4], &wanted))
    return false;
  int found = 0;
  for (const ScenarioPool &pool : scenario_.pools)
    for (const FakeUpstream *target : simulation_->pool(pool.options.pool))
      for (const auto &[key, count] : target->executionsByKey)
        found += absl::EndsWith(key, "/" + words[2]) ? count : 0;
  check(words[3] == "is" ? found == wanted : found <= wanted,
        std::to_string(found));
  return words[3] == "is" || words[3] == "at-most";
}

// expect attainment ROUTE at-least SHARE
bool ScenarioRunner::expectAttainment(const Words &words) {
  double wanted = 0;
  if (words.size() != 5 || !readShare(words[4], &wanted))
    return false;
  double total = 0;
  double completed = 0;
  for (const CallerRecord &record : simulation_->records()) {
    if (record.route != words[2])
      continue;
    ++total;
    completed +=
        record.response && record.response->outcome == Outcome::Complete;
  }
  check(total > 0 && completed / total >= wanted,
        fmt::format("{} of {}", completed, total));
  return true;
}

// expect generation N on all|HOST
bool ScenarioRunner::expectGeneration(const Words &words) {
  if (words.size() != 5)
    return false;
  const Instant now{simulation_->now(), WallTime(0)};
  for (std::size_t i = 0; i < simulation_->hostCount(); ++i) {
    const bool selected = words[4] == "all" || hostIndex(words[4]) == i;
    if (!selected || simulation_->host(i) == nullptr)
      continue;
    const std::string found = simulation_->host(i)
                                  ->dump(now)
                                  .at("configuration")
                                  .at("generation")
                                  .dump();
    check(found == words[2], fmt::format("{} on entry-{}", found, i + 1));
  }
  return true;
}

// expect quiet NAME: no attempts since the previous such check, if any.
bool ScenarioRunner::expectNoNewAttempts(const Words &words) {
  const std::uint64_t now = simulation_->upstream(words[2]).attemptsReceived;
  const auto before = attemptsReceivedAt_.find(words[2]);
  if (before != attemptsReceivedAt_.end())
    check(before->second == now,
          fmt::format("{} more attempts sent", now - before->second));
  attemptsReceivedAt_[words[2]] = now;
  return true;
}

// expect members N on HOST: members it reports alive or suspect, including
// itself.
bool ScenarioRunner::expectMembers(const Words &words) {
  if (words.size() != 5)
    return false;
  const HostUnderTest *host = simulation_->host(hostIndex(words[4]));
  if (host == nullptr)
    return false;
  int alive = 0;
  const Instant now{simulation_->now(), WallTime(0)};
  const nlohmann::json dump = host->dump(now);
  for (const nlohmann::json &member : dump.at("members"))
    alive += member.at("state") == "alive" || member.at("state") == "suspect";
  check(std::to_string(alive) == words[2], std::to_string(alive));
  return true;
}

std::string ScenarioRunner::summary() const {
  std::map<std::string, std::map<std::string, int>> counts;
  for (const CallerRecord &record : simulation_->records())
    ++counts[record.route]
            [record.response ? toString(record.response->outcome) : "open"];
  std::string text;
  for (const auto &[route, outcomes] : counts) {
    text += fmt::format("  {}:", route);
    for (const auto &[outcome, count] : outcomes)
      text += fmt::format(" {} {}", count, outcome);
    text += "\n";
  }
  return text;
}

} // namespace auburnspring
