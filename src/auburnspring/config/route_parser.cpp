#include "auburnspring/config/route_parser.h"

#include "auburnspring/config/field_reader.h"

#include <fmt/format.h>

#include <set>

namespace auburnspring {

namespace {

constexpr const char *StageKindNames[] = {"encode", "retrieve", "rerank",
                                          "generate", "call"};
constexpr const char *RetryPolicyNames[] = {"always", "never"};
constexpr std::int64_t MaxDeadlineMillis = 600000;
constexpr std::int64_t MaxParts = 64;
constexpr std::int64_t MaxTokens = 32768;
constexpr std::size_t MaxStages = 16;

Stage readStage(FieldReader *reader) {
  Stage stage;
  std::size_t kind = 0;
  reader->choice("kind", StageKindNames, &kind, Presence::Required);
  stage.kind = static_cast<StageKind>(kind);
  stage.name = StageKindNames[kind];
  reader->text("name", &stage.name, Presence::Optional, 64);
  reader->text("pool", &stage.pool, Presence::Required, 64);
  reader->text("model", &stage.model, Presence::Optional, 64);
  reader->integer("parts", &stage.parts, 1, MaxParts, Presence::Optional);
  reader->integer("max_tokens", &stage.maxTokens, 1, MaxTokens,
                  Presence::Optional);
  reader->millis("expected_ms", &stage.expectedDuration, 1, MaxDeadlineMillis,
                 Presence::Optional);
  if (stage.kind == StageKind::Generate && stage.model.empty())
    reader->addFault("model", "the field is required in a generate stage");
  if (stage.parts > 1 && stage.kind != StageKind::Retrieve)
    reader->addFault("parts",
                     "only a retrieve stage may have more than one part");
  reader->rejectUnknownFields();
  return stage;
}

void checkStages(const Route &route, FieldReader *reader) {
  if (route.stages.empty())
    reader->addFault("stages", "at least one stage is required");
  std::set<std::string> names;
  Duration expected{0};
  int atMostOnceStages = 0;
  for (const Stage &stage : route.stages) {
    if (!names.insert(stage.name).second)
      reader->addFault("stages",
                       fmt::format("duplicate stage name \"{}\"; give each "
                                   "stage a different \"name\"",
                                   stage.name));
    expected += stage.expectedDuration;
    if (route.runsAtMostOnce(stage))
      ++atMostOnceStages;
  }
  if (expected > route.deadline)
    reader->addFault("deadline_ms",
                     fmt::format("the expected stage times add up to {} ms, "
                                 "more than the deadline of {} ms",
                                 toMillis(expected), toMillis(route.deadline)));
  if (route.retryPolicy == RetryPolicy::Never && atMostOnceStages != 1)
    reader->addFault("repeat",
                     fmt::format("a route with \"repeat\": \"never\" must have "
                                 "exactly one call stage, found {}",
                                 atMostOnceStages));
}

} // namespace

const char *toString(StageKind kind) {
  return StageKindNames[static_cast<std::size_t>(kind)];
}

std::optional<Route> parseRoute(absl::string_view file, absl::string_view text,
                                Faults *faults) {
  const std::size_t before = faults->size();
  const LocatedJson document = parseLocatedJson(file, text, faults);
  if (faults->size() > before)
    return std::nullopt;
  Route route;
  FieldReader reader(document, document.root, "", faults);
  reader.text("name", &route.name, Presence::Required, 64);
  reader.text("owner", &route.owner, Presence::Required, 64);
  reader.millis("deadline_ms", &route.deadline, 10, MaxDeadlineMillis,
                Presence::Required);
  std::size_t retryPolicy = 0;
  reader.choice("repeat", RetryPolicyNames, &retryPolicy, Presence::Required);
  route.retryPolicy = static_cast<RetryPolicy>(retryPolicy);
  reader.integer("priority", &route.priority, 0, 9, Presence::Optional);
  reader.number("attainment_weight", &route.attainmentWeight, 0, 1,
                Presence::Optional);
  for (FieldReader &stage :
       reader.objects("stages", Presence::Required, MaxStages))
    route.stages.push_back(readStage(&stage));
  reader.rejectUnknownFields();
  if (faults->size() == before)
    checkStages(route, &reader);
  if (faults->size() > before)
    return std::nullopt;
  return route;
}

} // namespace auburnspring
