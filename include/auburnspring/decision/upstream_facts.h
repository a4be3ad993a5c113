#ifndef AUBURNSPRING_DECISION_UPSTREAM_FACTS_H
#define AUBURNSPRING_DECISION_UPSTREAM_FACTS_H

#include "auburnspring/config/settings.h"

#include <cstdint>
#include <string>
#include <vector>

namespace auburnspring {

/// One entry of the platform's host list.
struct ListedUpstream {
  std::string name;
  std::string pool;
  std::string dataCentre;
  Endpoint endpoint;
  /// Differs between two lives of an upstream at one address.
  std::string incarnation;
  bool leaving = false;
  /// Requests it runs side by side.
  std::int64_t slots = 1;
  /// Models that a model engine serves; empty for other upstreams.
  std::vector<std::string> models;
};

/// The host list as last read.
struct HostList {
  /// Grows with each change, by the list's own count.
  std::uint64_t version = 0;
  std::vector<ListedUpstream> upstreams;
};

/// An upstream's own report of its load, which lags behind.
struct LoadReport {
  std::string upstream;
  std::string incarnation;
  std::int64_t running = 0;
  std::int64_t queued = 0;
  bool leaving = false;
};

} // namespace auburnspring

#endif
