#include "auburnspring/config/route_parser.h"

#include "auburnspring/config/field_reader.h"

#include <fmt/format.h>

#include <set>

namespace auburnspring {

namespace {

constexpr const char *KindNames[] = {"encode", "retrieve", "rerank", "generate",
                                     "call"};
constexpr const char *RepeatNames[] = {"always", "never"};
constexpr std::int64_t MaxDeadlineMillis = 600000;
constexpr std::int64_t MaxParts = 64;
constexpr std::int64_t MaxTokens = 32768;
constexpr std::size_t MaxStages = 16;

Stage readStage(FieldReader *reader) {
  Stage stage;
  std::size_t kind = 0;
  reader->choice("kind", KindNames, &kind, Presence::Required);
  stage.kind = static_cast<StageKind>(kind);
  stage.name = KindNames[kind];
  reader->text("name", &stage.name, Presence::Optional, 64);
  reader->text("pool", &stage.pool, Presence::Required, 64);
  reader->text("model", &stage.model, Presence::Optional, 64);
  reader->integer("parts", &stage.parts, 1, MaxParts, Presence::Optional);
  reader->integer("max_tokens", &stage.maxTokens, 1, MaxTokens,
                  Presence::Optional);
  reader->millis("expected_ms", &stage.expected, 1, MaxDeadlineMillis,
                 Presence::Optional);
  if (stage.kind == StageKind::Generate && stage.model.empty())
    reader->fault("model", "the field is required for a generate stage");
  if (stage.parts > 1 && stage.kind != StageKind::Retrieve)
    reader->fault("parts", "only a retrieve stage may have several parts");
  reader->finish();
  return stage;
}

void checkStages(const Route &route, FieldReader *reader) {
  if (route.stages.empty())
    reader->fault("stages", "found no stage, wanted at least one");
  std::set<std::string> names;
  Duration expected{0};
  int onceStages = 0;
  for (const Stage &stage : route.stages) {
    if (!names.insert(stage.name).second)
      reader->fault("stages",
                    fmt::format("the stage name \"{}\" is used twice; give "
                                "each stage its own \"name\"",
                                stage.name));
    expected += stage.expected;
    if (route.runsOnce(stage))
      ++onceStages;
  }
  if (expected > route.deadline)
    reader->fault("deadline_ms",
                  fmt::format("the stages expect {} ms together, which is "
                              "over the deadline of {} ms",
                              toMillis(expected), toMillis(route.deadline)));
  if (route.repeat == RepeatRule::Never && onceStages != 1)
    reader->fault("repeat",
                  fmt::format("a route that is never repeated has exactly one "
                              "call stage, found {}",
                              onceStages));
}

} // namespace

const char *toString(StageKind kind) {
  return KindNames[static_cast<std::size_t>(kind)];
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
  std::size_t repeat = 0;
  reader.choice("repeat", RepeatNames, &repeat, Presence::Required);
  route.repeat = static_cast<RepeatRule>(repeat);
  reader.integer("priority", &route.priority, 0, 9, Presence::Optional);
  reader.number("attainment_weight", &route.attainmentWeight, 0, 1,
                Presence::Optional);
  for (FieldReader &stage :
       reader.objects("stages", Presence::Required, MaxStages))
    route.stages.push_back(readStage(&stage));
  reader.finish();
  if (faults->size() == before)
    checkStages(route, &reader);
  if (faults->size() > before)
    return std::nullopt;
  return route;
}

} // namespace auburnspring
