#include "auburnspring/decision/slowdown_statements.h"

#include <cmath>
#include <iterator>
#include <map>

namespace auburnspring {

namespace {

/// A figure this close to 1 is what a host that has none assumes.
constexpr double UsualWithin = 1.2;

UpstreamStatement statementOf(const UpstreamState &upstream, TimePoint now) {
  return {upstream.entry.id, upstream.entry.startedAtMillis,
          StatementKind::Slowdown, upstream.speed.lasting(),
          now - *upstream.speed.observedAt()};
}

bool isUnusual(const UpstreamSpeed &speed) {
  return std::abs(std::log(speed.lasting())) > std::log(UsualWithin);
}

/// Adds statements on upstreams behind `*after`, in a ring, until `count` have
/// been added. `*after` becomes the last one.
template <typename Filter>
void addInTurn(const std::map<std::string, UpstreamStatePtr> &all,
               std::string *after, std::size_t count, Filter filter,
               TimePoint now, std::vector<UpstreamStatement> *statements) {
  auto next = all.upper_bound(*after);
  for (std::size_t i = 0; i < all.size() && count > 0; ++i, ++next) {
    if (next == all.end())
      next = all.begin();
    UpstreamState &upstream = *next->second;
    if (!upstream.speed.observedAt() || !filter(upstream.speed))
      continue;
    statements->push_back(statementOf(upstream, now));
    upstream.speed.noteTold();
    *after = next->first;
    --count;
  }
}

} // namespace

void SlowdownStatements::learn(absl::Span<const UpstreamStatement> statements,
                               TimePoint now) {
  for (const UpstreamStatement &statement : statements) {
    if (statement.kind != StatementKind::Slowdown || !statement.value)
      continue;
    const UpstreamStatePtr upstream = registry_->byId(statement.upstream);
    if (upstream &&
        upstream->entry.startedAtMillis == statement.startedAtMillis)
      upstream->speed.onStatement(*statement.value, now - statement.age, now);
  }
}

std::vector<UpstreamStatement>
SlowdownStatements::takeForHeartbeat(TimePoint now, std::mt19937_64 *random) {
  std::vector<UpstreamStatement> statements;
  const auto &all = registry_->all();
  addInTurn(
      all, &changedUpTo_, MaxChanged,
      [](const UpstreamSpeed &speed) { return speed.isNews(); }, now,
      &statements);
  if (all.empty())
    return statements;
  // Hosts that start at different places soon send all to a new host.
  std::uniform_int_distribution<std::size_t> any(0, all.size() - 1);
  std::string after =
      std::next(all.begin(), static_cast<std::ptrdiff_t>(any(*random)))->first;
  addInTurn(all, &after, MaxRepeated, isUnusual, now, &statements);
  return statements;
}

} // namespace auburnspring
