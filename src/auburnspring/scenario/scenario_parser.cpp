#include "auburnspring/scenario/scenario.h"

#include <absl/strings/ascii.h>
#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>

namespace auburnspring {

namespace {

constexpr const char *StageKindNames[] = {"encode", "retrieve", "rerank",
                                          "generate", "call"};

// Parses the lines of one file. Each read function returns an error message,
// or "" on success.
class Parser {
public:
  Parser(absl::string_view file, Faults *faults) : faults_(faults) {
    scenario_.file = std::string(file);
  }

  void readLine(int line, absl::string_view text) {
    const absl::string_view content = text.substr(0, text.find('#'));
    const std::vector<std::string> words =
        absl::StrSplit(content, absl::ByAnyChar(" \t\r"), absl::SkipEmpty());
    if (words.empty())
      return;
    line_ = line;
    std::string message = readWords(words);
    if (!message.empty())
      faults_->push_back({scenario_.file, line, words.front(), message});
  }

  Scenario take() {
    std::stable_sort(scenario_.steps.begin(), scenario_.steps.end(),
                     [](const ScenarioStep &a, const ScenarioStep &b) {
                       return a.at < b.at;
                     });
    // Expectations without a time are checked at the end, in file order.
    for (ScenarioStep &step : finalExpectations_) {
      step.at = scenario_.length;
      scenario_.steps.push_back(std::move(step));
    }
    return std::move(scenario_);
  }

private:
  using Words = std::vector<std::string>;

  std::string readWords(const Words &words) {
    const std::string &verb = words.front();
    if (verb == "promise" && words.size() == 2)
      return setText(&scenario_.promise, words[1]);
    if (verb == "seed" && words.size() == 2)
      return readNumber(words[1], &scenario_.seed);
    if (verb == "hosts" && words.size() == 2)
      return readNumber(words[1], &scenario_.hosts);
    if (verb == "run" && words.size() == 2)
      return readDuration(words[1], &scenario_.length);
    if (verb == "pool")
      return readPool(words);
    if (verb == "route" || verb == "later")
      return readRoute(words);
    if (verb == "at")
      return readStep(words);
    if (verb == "expect") {
      finalExpectations_.push_back({line_, Duration(0), words});
      return "";
    }
    return "expected promise, seed, hosts, run, pool, route, later, at or "
           "expect";
  }

  static std::string setText(std::string *out, const std::string &word) {
    *out = word;
    return "";
  }

  template <typename T>
  static std::string readNumber(const std::string &word, T *out) {
    std::uint64_t value = 0;
    if (!absl::SimpleAtoi(word, &value))
      return "expected an integer, got " + word;
    *out = static_cast<T>(value);
    return "";
  }

  static std::string readDuration(const std::string &word, Duration *out) {
    const std::optional<Duration> value = parseDuration(word);
    if (!value)
      return "expected a duration such as 20ms, got " + word;
    *out = *value;
    return "";
  }

  static std::string readVersions(const std::string &word,
                                  std::vector<std::string> *out) {
    *out = absl::StrSplit(word, ',');
    const bool named = std::all_of(out->begin(), out->end(),
                                   [](const auto &v) { return !v.empty(); });
    return named ? "" : "expected versions such as 1,2, got " + word;
  }

  // pool NAME KIND [workers N] [slots N] [service T] [prefill T] [token T]
  //      [versions V,...]
  std::string readPool(const Words &words) {
    if (words.size() < 3)
      return "expected pool NAME KIND";
    ScenarioPool pool;
    pool.options.pool = words[1];
    const auto kind = std::find(std::begin(StageKindNames),
                                std::end(StageKindNames), words[2]);
    if (kind == std::end(StageKindNames))
      return "expected encode, retrieve, rerank, generate or call";
    pool.options.kind =
        static_cast<StageKind>(std::distance(std::begin(StageKindNames), kind));
    for (std::size_t i = 3; i + 1 < words.size(); i += 2) {
      const std::string &name = words[i];
      std::string message = "unknown field " + name;
      if (name == "workers")
        message = readNumber(words[i + 1], &pool.upstreamCount);
      else if (name == "slots")
        message = readNumber(words[i + 1], &pool.options.slots);
      else if (name == "service")
        message = readDuration(words[i + 1], &pool.options.serviceTime);
      else if (name == "prefill")
        message = readDuration(words[i + 1], &pool.options.prefill);
      else if (name == "token")
        message = readDuration(words[i + 1], &pool.options.perToken);
      else if (name == "versions")
        message = readVersions(words[i + 1], &pool.versions);
      if (!message.empty())
        return message;
    }
    scenario_.pools.push_back(std::move(pool));
    return "";
  }

  // route NAME [repeat R] [deadline T] [priority N] [weight X] [tokens N]
  //       stages POOL[*PARTS]...
  std::string readRoute(const Words &words) {
    if (words.size() < 4)
      return "expected route NAME ... stages POOL...";
    nlohmann::json json = {{"name", words[1]},
                           {"owner", "owner"},
                           {"repeat", "always"},
                           {"deadline_ms", 3000},
                           {"stages", nlohmann::json::array()}};
    std::int64_t tokens = 32;
    std::size_t i = 2;
    for (; i + 1 < words.size() && words[i] != "stages"; i += 2) {
      std::string message =
          readRouteField(words[i], words[i + 1], &json, &tokens);
      if (!message.empty())
        return message;
    }
    for (++i; i < words.size(); ++i) {
      std::string message = addStage(words[i], tokens, &json);
      if (!message.empty())
        return message;
    }
    scenario_.routes.push_back(
        {words[1], json.dump(), words.front() == "later"});
    return "";
  }

  static std::string readRouteField(const std::string &name,
                                    const std::string &value,
                                    nlohmann::json *json,
                                    std::int64_t *tokens) {
    double parsed = 0;
    if (name == "repeat") {
      (*json)["repeat"] = value;
      return "";
    }
    if (name == "deadline") {
      Duration span{0};
      std::string message = readDuration(value, &span);
      (*json)["deadline_ms"] = span.count() / 1000;
      return message;
    }
    if (name == "tokens")
      return readNumber(value, tokens);
    if (!absl::SimpleAtod(value, &parsed))
      return "expected a number, got " + value;
    if (name == "priority")
      (*json)["priority"] = static_cast<std::int64_t>(parsed);
    else if (name == "weight")
      (*json)["attainment_weight"] = parsed;
    else
      return "unknown field " + name;
    return "";
  }

  std::string addStage(const std::string &word, std::int64_t tokens,
                       nlohmann::json *json) const {
    const std::vector<std::string> poolAndParts = absl::StrSplit(word, '*');
    const auto pool =
        std::find_if(scenario_.pools.begin(), scenario_.pools.end(),
                     [&](const ScenarioPool &p) {
                       return p.options.pool == poolAndParts[0];
                     });
    if (pool == scenario_.pools.end())
      return "no pool has the name " + poolAndParts[0];
    const auto expected = pool->options.serviceTime.count() / 1000;
    nlohmann::json stage = {
        {"name",
         fmt::format("{}-{}", poolAndParts[0], (*json)["stages"].size())},
        {"kind", StageKindNames[static_cast<std::size_t>(pool->options.kind)]},
        {"pool", poolAndParts[0]},
        {"expected_ms", std::max<std::int64_t>(1, expected)}};
    if (pool->options.kind == StageKind::Generate) {
      const Duration generationTime =
          pool->options.prefill + pool->options.perToken * tokens;
      stage["model"] = "writer";
      stage["max_tokens"] = tokens;
      stage["expected_ms"] = generationTime.count() / 1000;
    }
    if (poolAndParts.size() == 2) {
      std::int64_t parts = 1;
      std::string message = readNumber(poolAndParts[1], &parts);
      if (!message.empty())
        return message;
      stage["parts"] = parts;
    }
    (*json)["stages"].push_back(std::move(stage));
    return "";
  }

  std::string readStep(const Words &words) {
    ScenarioStep step;
    step.line = line_;
    if (words.size() < 3)
      return "expected at TIME VERB ...";
    std::string message = readDuration(words[1], &step.at);
    if (!message.empty())
      return message;
    step.words.assign(words.begin() + 2, words.end());
    scenario_.steps.push_back(std::move(step));
    return "";
  }

  Scenario scenario_;
  Faults *faults_;
  int line_ = 0;
  std::vector<ScenarioStep> finalExpectations_;
};

} // namespace

std::optional<Duration> parseDuration(absl::string_view text) {
  struct Unit {
    const char *name;
    double micros;
  };
  constexpr Unit Units[] = {
      {"us", 1}, {"ms", 1000}, {"m", 60000000}, {"s", 1000000}};
  for (const Unit &unit : Units) {
    if (!absl::EndsWith(text, unit.name))
      continue;
    double value = 0;
    const absl::string_view digits =
        text.substr(0, text.size() - std::char_traits<char>::length(unit.name));
    if (absl::SimpleAtod(digits, &value) && value >= 0)
      return Duration(static_cast<std::int64_t>(value * unit.micros));
  }
  return std::nullopt;
}

std::optional<double> parseShare(absl::string_view text) {
  double value = 0;
  if (absl::EndsWith(text, "%")) {
    if (!absl::SimpleAtod(text.substr(0, text.size() - 1), &value))
      return std::nullopt;
    return value / 100;
  }
  if (!absl::SimpleAtod(text, &value))
    return std::nullopt;
  return value;
}

std::optional<Scenario> parseScenario(absl::string_view file,
                                      absl::string_view text, Faults *faults) {
  const std::size_t before = faults->size();
  Parser parser(file, faults);
  int line = 0;
  for (const absl::string_view lineText : absl::StrSplit(text, '\n'))
    parser.readLine(++line, lineText);
  if (faults->size() > before)
    return std::nullopt;
  return parser.take();
}

} // namespace auburnspring
