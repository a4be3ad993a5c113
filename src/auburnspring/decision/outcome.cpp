#include "auburnspring/decision/outcome.h"

#include "auburnspring/decision/cost_counters.h"

#include <iterator>

namespace auburnspring {

namespace {

constexpr const char *Names[] = {"complete", "not-run", "incomplete", "unknown",
                                 "rejected"};
static_assert(std::size(Names) == OutcomeCount);

} // namespace

const char *toString(Outcome outcome) {
  return Names[static_cast<std::size_t>(outcome)];
}

bool parseOutcome(absl::string_view text, Outcome *outcome) {
  for (std::size_t i = 0; i < OutcomeCount; ++i) {
    if (text != Names[i])
      continue;
    *outcome = static_cast<Outcome>(i);
    return true;
  }
  return false;
}

} // namespace auburnspring
