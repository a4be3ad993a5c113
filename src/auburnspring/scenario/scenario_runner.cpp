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
constexpr Duration SecondCauseAt = std::chrono::milliseconds(500);

World::Options worldOptions(const Scenario &scenario,
                            World::HostFactory makeHost) {
  World::Options options;
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

} // namespace

const ScenarioRunner::VerbEntry ScenarioRunner::verbs[] = {
    {"call", &ScenarioRunner::call},
    {"load", &ScenarioRunner::load},
    {"kill", &ScenarioRunner::kill},
    {"restart", &ScenarioRunner::restart},
    {"freeze", &ScenarioRunner::freeze},
    {"thaw", &ScenarioRunner::thaw},
    {"stop", &ScenarioRunner::stop},
    {"hang-up", &ScenarioRunner::hangUp},
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

ScenarioRunner::ScenarioRunner(const Scenario &scenario, SecondCause cause,
                               World::HostFactory makeHost)
    : scenario_(scenario), cause_(cause),
      world_(std::make_unique<World>(
          worldOptions(scenario, std::move(makeHost)))) {
  for (const ScenarioPool &pool : scenario_.pools) {
    for (std::size_t i = 0; i < pool.workers; ++i) {
      FakeUpstream::Options options = pool.options;
      options.name = fmt::format("{}-{}", options.pool, i + 1);
      options.dataCentre = fmt::format("dc-{}", i % 4 + 1);
      world_->addUpstream(options);
    }
  }
}

ScenarioRunner::~ScenarioRunner() = default;

ScenarioResult ScenarioRunner::run() {
  world_->start();
  std::map<std::string, std::string> files;
  for (const ScenarioRoute &route : scenario_.routes)
    if (!route.later)
      files[route.name + ".route.json"] = route.text;
  world_->publish(files);
  world_->runFor(WarmUp);
  start_ = world_->now();
  if (cause_ == SecondCause::KeyValueDown)
    world_->queue().after(SecondCauseAt,
                          [this] { world_->keyValue().faults.down = true; });
  if (cause_ == SecondCause::HostFrozen)
    world_->queue().after(SecondCauseAt,
                          [this] { world_->freeze(world_->hostCount() - 1); });
  for (const ScenarioStep &step : scenario_.steps) {
    world_->queue().runUntil(start_ + step.at);
    act(step);
  }
  world_->queue().runUntil(start_ + scenario_.length);
  ScenarioResult result;
  result.failures = failures_;
  for (const std::string &wrong : world_->violations())
    result.failures.push_back("0: " + wrong);
  result.summary = summary();
  return result;
}

void ScenarioRunner::act(const ScenarioStep &step) {
  line_ = step.line;
  shown_ = absl::StrJoin(step.words, " ");
  for (const VerbEntry &entry : verbs) {
    if (step.words.front() != entry.name)
      continue;
    if (!(this->*entry.verb)(step.words))
      failures_.push_back(fmt::format("{}: not understood: {}", line_, shown_));
    return;
  }
  failures_.push_back(fmt::format("{}: unknown verb: {}", line_, shown_));
}

std::size_t ScenarioRunner::hostOf(const std::string &word) const {
  std::size_t number = 1;
  if (!absl::SimpleAtoi(word, &number) || number < 1 ||
      number > world_->hostCount())
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
      host = hostOf(words[i + 1]);
    else if (words[i] == "key")
      key = words[i + 1];
    else if (words[i] == "body")
      body = words[i + 1];
    else if (words[i] == "organisation")
      organisation = words[i + 1];
    else
      return false;
  }
  calls_[words[1]] = world_->call(host, words[2], organisation, key, body,
                                  has("stream"), has("first"));
  return true;
}

// load ROUTE rate N for T [organisation O]: requests spread over the hosts.
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
    world_->queue().after(when, [this, route = words[1], organisation, number] {
      world_->call(number % world_->hostCount(), route, organisation,
                   fmt::format("load-{}", number),
                   fmt::format("load {}", number));
    });
  }
  return true;
}

bool ScenarioRunner::kill(const Words &words) {
  world_->kill(hostOf(words.back()));
  return words.size() == 3;
}

bool ScenarioRunner::restart(const Words &words) {
  world_->restart(hostOf(words.back()));
  return words.size() == 3;
}

bool ScenarioRunner::freeze(const Words &words) {
  world_->freeze(hostOf(words.back()));
  return words.size() == 3;
}

bool ScenarioRunner::thaw(const Words &words) {
  world_->thaw(hostOf(words.back()));
  return words.size() == 3;
}

bool ScenarioRunner::stop(const Words &words) {
  world_->stop(hostOf(words.back()));
  return words.size() == 3;
}

bool ScenarioRunner::hangUp(const Words &words) {
  const auto found = calls_.find(words.back());
  if (found == calls_.end())
    return false;
  world_->hangUp(found->second);
  return true;
}

bool ScenarioRunner::cut(const Words &words) {
  if (words.size() != 4)
    return false;
  world_->cut(hostOf(words[2]), hostOf(words[3]), true);
  return true;
}

bool ScenarioRunner::heal(const Words &words) {
  if (words.size() != 4)
    return false;
  world_->cut(hostOf(words[2]), hostOf(words[3]), false);
  return true;
}

bool ScenarioRunner::keyValue(const Words &words) {
  FakeKeyValue::Faults &faults = world_->keyValue().faults;
  const std::string &what = words.at(1);
  if (what == "down" || what == "up") {
    faults.down = what == "down";
    return true;
  }
  if (what == "frozen") {
    faults.frozen = true;
    return true;
  }
  if (what == "thaw") {
    world_->keyValue().thaw();
    return true;
  }
  if (words.size() != 3)
    return false;
  if (what == "delay") {
    const std::optional<Duration> delay = parseDuration(words[2]);
    faults.delay = delay.value_or(faults.delay);
    return delay.has_value();
  }
  if (what == "lose-after")
    return readShare(words[2], &faults.loseAfter);
  if (what == "lose-before")
    return readShare(words[2], &faults.loseBefore);
  if (what == "land-late")
    return readShare(words[2], &faults.landLate);
  if (what == "stale")
    return readShare(words[2], &faults.stale);
  return false;
}

// upstream NAME|POOL-* FAULT [SHARE]
bool ScenarioRunner::upstream(const Words &words) {
  if (words.size() < 3)
    return false;
  std::vector<FakeUpstream *> chosen;
  if (absl::EndsWith(words[1], "-*"))
    chosen = world_->pool(words[1].substr(0, words[1].size() - 2));
  else
    chosen = {&world_->upstream(words[1])};
  for (FakeUpstream *one : chosen) {
    FakeUpstream::Faults &faults = one->faults;
    const std::string &what = words[2];
    const std::string share = words.size() > 3 ? words[3] : "1";
    bool good = true;
    if (what == "dead")
      faults.dead = true;
    else if (what == "alive")
      faults.dead = false;
    else if (what == "frozen")
      faults.frozen = true;
    else if (what == "thaw")
      one->thaw();
    else if (what == "leaving")
      faults.leaving = true;
    else if (what == "reborn") {
      faults = FakeUpstream::Faults();
      ++one->incarnation;
    } else if (what == "slowdown")
      good = readShare(share, &faults.slowdown);
    else if (what == "fail-fast")
      good = readShare(share, &faults.failFast);
    else if (what == "silent")
      good = readShare(share, &faults.silent);
    else if (what == "cut")
      good = readShare(share, &faults.cut);
    else if (what == "duplicate")
      good = readShare(share, &faults.duplicate);
    else
      good = false;
    if (!good)
      return false;
  }
  return true;
}

bool ScenarioRunner::list(const Words &words) {
  const std::string &what = words.at(1);
  world_->setHostList(what == "stuck", what == "empty");
  return what == "stuck" || what == "empty" || what == "normal";
}

bool ScenarioRunner::publish(const Words &words) {
  std::map<std::string, std::string> files;
  for (const ScenarioRoute &route : scenario_.routes)
    if (std::find(words.begin() + 1, words.end(), route.name) != words.end())
      files[route.name + ".route.json"] = route.text;
  if (files.empty())
    return false;
  world_->publish(files);
  return true;
}

bool ScenarioRunner::drain(const Words &words) {
  if (words.size() != 2)
    return false;
  Publisher publisher({}, &world_->keyValue());
  publisher.setDrained(words[1], words[0] == "drain",
                       fmt::format("drain-{}", ++drains_), "operator",
                       WallTime(0));
  return true;
}

void ScenarioRunner::check(bool good, const std::string &found) {
  // With a second cause the outcomes differ; only violations count then.
  if (good || cause_ != SecondCause::None)
    return;
  failures_.push_back(fmt::format("{}: {}: found {}", line_, shown_, found));
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
    return expectQuiet(words);
  if (words[1] == "members")
    return expectMembers(words);
  return expectOutcome(words);
}

// expect NAME open, or expect NAME WORD[|WORD...] [within T]
bool ScenarioRunner::expectOutcome(const Words &words) {
  const auto call = calls_.find(words[1]);
  if (call == calls_.end())
    return false;
  const CallerRecord &record = world_->records()[call->second];
  const std::string found =
      record.answer
          ? fmt::format("{} ({}) after {} ms", toString(record.answer->outcome),
                        record.answer->reason,
                        toMillis(record.answeredAt - record.sentAt))
          : "open";
  if (words[2] == "open") {
    check(!record.answer, found);
    return true;
  }
  const std::string word =
      record.answer ? toString(record.answer->outcome) : "open";
  bool good = false;
  for (std::size_t from = 0; from <= words[2].size();) {
    const std::size_t bar = std::min(words[2].find('|', from), words[2].size());
    good = good || words[2].substr(from, bar - from) == word;
    from = bar + 1;
  }
  if (words.size() == 5 && words[3] == "within") {
    const std::optional<Duration> limit = parseDuration(words[4]);
    if (!limit)
      return false;
    good = good && record.answeredAt - record.sentAt <= *limit;
  }
  check(good, found);
  return true;
}

// expect executions KEY is|at-most N
bool ScenarioRunner::expectExecutions(const Words &words) {
  int wanted = 0;
  if (words.size() != 5 || !absl::SimpleAtoi(words[4], &wanted))
    return false;
  int found = 0;
  for (const ScenarioPool &pool : scenario_.pools)
    for (const FakeUpstream *one : world_->pool(pool.options.pool))
      for (const auto &[key, count] : one->executionsByKey)
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
  double all = 0;
  double whole = 0;
  for (const CallerRecord &record : world_->records()) {
    if (record.route != words[2])
      continue;
    ++all;
    whole += record.answer && record.answer->outcome == Outcome::Complete;
  }
  check(all > 0 && whole / all >= wanted, fmt::format("{} of {}", whole, all));
  return true;
}

// expect generation N on all, or on a host
bool ScenarioRunner::expectGeneration(const Words &words) {
  if (words.size() != 5)
    return false;
  const Instant now{world_->now(), WallTime(0)};
  for (std::size_t i = 0; i < world_->hostCount(); ++i) {
    const bool chosen = words[4] == "all" || hostOf(words[4]) == i;
    if (!chosen || world_->host(i) == nullptr)
      continue;
    const std::string found =
        world_->host(i)->dump(now).at("configuration").at("generation").dump();
    check(found == words[2], fmt::format("{} on entry-{}", found, i + 1));
  }
  return true;
}

// expect quiet NAME: no work was sent there since the same line was met.
bool ScenarioRunner::expectQuiet(const Words &words) {
  const std::uint64_t now = world_->upstream(words[2]).arrivals;
  const auto before = arrivalsAt_.find(words[2]);
  if (before != arrivalsAt_.end())
    check(before->second == now,
          fmt::format("{} more attempts sent", now - before->second));
  arrivalsAt_[words[2]] = now;
  return true;
}

// expect members N on HOST: how many it takes for alive, itself included.
bool ScenarioRunner::expectMembers(const Words &words) {
  if (words.size() != 5)
    return false;
  const HostUnderTest *host = world_->host(hostOf(words[4]));
  if (host == nullptr)
    return false;
  int alive = 0;
  const Instant now{world_->now(), WallTime(0)};
  const nlohmann::json dump = host->dump(now);
  for (const nlohmann::json &member : dump.at("members"))
    alive += member.at("state") == "alive" || member.at("state") == "suspect";
  check(std::to_string(alive) == words[2], std::to_string(alive));
  return true;
}

std::string ScenarioRunner::summary() const {
  std::map<std::string, std::map<std::string, int>> counts;
  for (const CallerRecord &record : world_->records())
    ++counts[record.route]
            [record.answer ? toString(record.answer->outcome) : "open"];
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
