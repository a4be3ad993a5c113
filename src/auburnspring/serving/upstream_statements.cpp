#include "auburnspring/serving/upstream_statements.h"

#include "auburnspring/base/log.h"

#include <algorithm>

namespace auburnspring {

namespace {

/// Another instance listens at the address. The entry may be in the store until
/// its lease ends, or be about to name a new address.
constexpr Duration ReplacedTime = std::chrono::seconds(4);

void noteReplaced(UpstreamState *upstream, TimePoint now) {
  upstream->refusesUntil = std::max(upstream->refusesUntil, now + ReplacedTime);
  logEvent(LogLevel::Info, "upstream_replaced",
           {{"upstream", upstream->entry.id},
            {"address", toString(upstream->entry.endpoint)}});
}

void markLeaving(UpstreamState *upstream, UpstreamRegistry *registry,
                 const std::string &source) {
  if (!registry->markLeaving(upstream))
    return;
  logEvent(LogLevel::Info, "upstream_changed",
           {{"upstream", upstream->entry.id},
            {"change", "left"},
            {"why", "stated in a response"},
            {"source", source}});
}

} // namespace

void applyUpstreamStatements(const ResponseInfo &response,
                             UpstreamState *upstream,
                             UpstreamRegistry *registry, TimePoint now) {
  if (response.isMisdirected)
    return noteReplaced(upstream, now);
  if (response.isLeaving)
    markLeaving(upstream, registry, "response");
  if (response.refusesFor <= Duration(0))
    return;
  upstream->refusesUntil =
      std::max(upstream->refusesUntil, now + response.refusesFor);
  logEvent(LogLevel::Info, "upstream_refuses",
           {{"upstream", upstream->entry.id},
            {"ms", toMillis(response.refusesFor)}});
}

void applyUpstreamNotice(const UpstreamNotice &notice, const std::string &from,
                         UpstreamRegistry *registry, TimePoint now) {
  const UpstreamStatePtr upstream = registry->byId(notice.upstream);
  if (!upstream || upstream->entry.startedAtMillis != notice.startedAtMillis)
    return;
  if (notice.refusesFor > Duration(0))
    upstream->refusesPeersUntil =
        std::max(upstream->refusesPeersUntil, now + notice.refusesFor);
  if (notice.isLeaving)
    markLeaving(upstream.get(), registry, from);
}

} // namespace auburnspring
