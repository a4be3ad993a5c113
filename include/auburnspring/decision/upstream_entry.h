#ifndef AUBURNSPRING_DECISION_UPSTREAM_ENTRY_H
#define AUBURNSPRING_DECISION_UPSTREAM_ENTRY_H

#include "auburnspring/config/settings.h"

#include <cstdint>
#include <string>

namespace auburnspring {

/// An upstream's registration in the platform's store.
struct UpstreamEntry {
  /// Name of the upstream; a later incarnation may use it again.
  std::string id;
  std::string pool;
  Endpoint endpoint;
  std::string dataCentre;
  /// Version of the software that it runs, not of a model's weights. Upstreams
  /// of several may serve side by side in one pool.
  std::string softwareVersion;
  std::int64_t slots = 1;
  bool isLeaving = false;
  /// Remaining warm-up time, in which it is slower.
  Duration warmupRemaining{0};
  /// Start time (wall clock, ms); distinguishes incarnations with the same id.
  std::int64_t startedAtMillis = 0;
};

} // namespace auburnspring

#endif
