#include "soak/limit_checker.h"

#include <fmt/format.h>

namespace auburnspring::soak {

void LimitChecker::onLimit(const std::string &upstream,
                           std::optional<double> perSecond, TimePoint at) {
  limited_.erase(upstream);
  if (!perSecond)
    return;
  ++limits_;
  limited_[upstream].perSecond = *perSecond;
  limited_[upstream].since = at;
}

void LimitChecker::onNamed(const std::string &upstream, const std::string &host,
                           TimePoint at) {
  const auto found = limited_.find(upstream);
  if (found != limited_.end())
    found->second.namedAt.emplace(host, at);
}

void LimitChecker::onArrival(const std::string &upstream,
                             const std::string &host, bool isConnected,
                             TimePoint at) {
  const auto found = limited_.find(upstream);
  if (found == limited_.end())
    return;
  Limited &limited = found->second;
  const auto named = limited.namedAt.find(host);
  if (!isConnected || at < limited.since + SettlingTime ||
      named == limited.namedAt.end() || at < named->second + NamedTime)
    return;
  ++counted_;
  limited.window.push_back(at);
  while (limited.window.front() + Window < at)
    limited.window.pop_front();
  const double allowed = 1.5 * limited.perSecond * 4 + 5;
  if (static_cast<double>(limited.window.size()) > allowed)
    violations_.push_back(
        fmt::format("LIMIT: {} named {} a second and got {} requests in 4 s",
                    upstream, limited.perSecond, limited.window.size()));
}

std::string LimitChecker::summary() const {
  return fmt::format("limits={} under_limit={}", limits_, counted_);
}

} // namespace auburnspring::soak
