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
  /// Differs between two incarnations of an upstream at one address.
  std::string incarnation;
  /// Version of the software that it runs; "" is a version of its own.
  std::string version;
  bool leaving = false;
  /// Requests that it runs concurrently.
  std::int64_t slots = 1;
  /// Models that a model engine serves; empty for other upstreams.
  std::vector<std::string> models;
};

/// The platform's host list as last read.
struct HostList {
  /// The list's own version, which grows with each change.
  std::uint64_t version = 0;
  std::vector<ListedUpstream> upstreams;
};

/// An upstream's report of its own load, which may be out of date.
struct LoadReport {
  std::string upstream;
  std::string incarnation;
  std::int64_t running = 0;
  std::int64_t queued = 0;
  bool leaving = false;
};

} // namespace auburnspring

#endif
