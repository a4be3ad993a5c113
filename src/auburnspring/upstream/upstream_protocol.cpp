#include "auburnspring/upstream/upstream_protocol.h"

#include <absl/strings/str_cat.h>
#include <nlohmann/json.hpp>

#include <cmath>

namespace auburnspring {

namespace {

constexpr int Ok = 200;
constexpr int FirstClientError = 400;
constexpr int FirstServerError = 500;

constexpr const char *Paths[] = {"/v1/encode", "/v1/retrieve", "/v1/rerank",
                                 "/v1/completions", "/v1/call"};

Duration fromMillis(double millis) {
  return Duration(std::llround(millis * 1000));
}

Usage parseUsage(const nlohmann::json &json) {
  Usage usage;
  usage.busy = fromMillis(json.value("busy_ms", 0.0));
  const nlohmann::json tokens = json.value("usage", nlohmann::json::object());
  usage.promptTokens = tokens.value("prompt_tokens", std::int64_t{0});
  usage.cachedTokens = tokens.value("cached_tokens", std::int64_t{0});
  usage.generatedTokens = tokens.value("completion_tokens", std::int64_t{0});
  return usage;
}

FailureKind classifyFailure(int status, const nlohmann::json &json) {
  const auto hasField = [&json](const char *name, const nlohmann::json &value) {
    const auto found = json.is_object() ? json.find(name) : json.end();
    return found != json.end() && *found == value;
  };
  const bool notRun = hasField("outcome", "not-run");
  if (notRun && hasField("leaving", true))
    return FailureKind::Leaving;
  if (notRun)
    return FailureKind::Refused;
  if (status >= FirstClientError && status < FirstServerError)
    return FailureKind::Rejected;
  return FailureKind::UpstreamFailed;
}

} // namespace

std::string attemptPath(StageKind kind) {
  return Paths[static_cast<std::size_t>(kind)];
}

std::string attemptBody(const StartAttempt &attempt) {
  nlohmann::json json = {{"attempt", toString(attempt.attempt)},
                         {"organisation", attempt.organisation},
                         {"route", attempt.route},
                         {"priority", attempt.priority}};
  if (attempt.kind == StageKind::Generate) {
    json["model"] = attempt.model;
    json["prompt"] = attempt.context.empty()
                         ? attempt.input
                         : absl::StrCat(attempt.input, "\n", attempt.context);
    json["max_tokens"] = attempt.maxTokens;
    json["stream"] = true;
    json["resume_text"] = attempt.resumeText;
  } else {
    json["input"] = attempt.input;
    json["context"] = attempt.context;
    json["part"] = attempt.part;
    json["parts"] = attempt.parts;
  }
  if (!attempt.key.empty())
    json["key"] = attempt.key;
  return json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::optional<CompletionEvent> parseCompletionEvent(absl::string_view data) {
  const nlohmann::json json =
      nlohmann::json::parse(data.begin(), data.end(), nullptr, false);
  if (json.is_discarded())
    return std::nullopt;
  try {
    CompletionEvent event;
    event.attempt = json.at("attempt").get<std::string>();
    event.offset = json.at("offset").get<std::uint64_t>();
    const nlohmann::json &choice = json.at("choices").at(0);
    event.text = choice.at("text").get<std::string>();
    const auto reason = choice.find("finish_reason");
    event.done = reason != choice.end() && reason->is_string();
    if (event.done)
      event.usage = parseUsage(json);
    return event;
  } catch (const nlohmann::json::exception &) {
    return std::nullopt;
  }
}

Event parseStageResponse(const AttemptId &attempt, int status,
                         const std::string &body) {
  const nlohmann::json json = nlohmann::json::parse(body, nullptr, false);
  if (status != Ok) {
    AttemptFailed failed;
    failed.attempt = attempt;
    failed.kind = classifyFailure(status, json);
    failed.detail = absl::StrCat("status ", status);
    if (json.is_object() && json.contains("error") &&
        json.at("error").is_string())
      absl::StrAppend(&failed.detail, ": ",
                      json.at("error").get<std::string>());
    return failed;
  }
  try {
    if (json.at("attempt").get<std::string>() != toString(attempt))
      return AttemptFailed{attempt, FailureKind::ResponseLost,
                           "the response has the id of another attempt",
                           Usage()};
    AttemptSucceeded succeeded;
    succeeded.attempt = attempt;
    succeeded.text = json.at("result").get<std::string>();
    succeeded.usage = parseUsage(json);
    return succeeded;
  } catch (const nlohmann::json::exception &) {
    return AttemptFailed{attempt, FailureKind::ResponseLost,
                         "malformed response", Usage()};
  }
}

} // namespace auburnspring
