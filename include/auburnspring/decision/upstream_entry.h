#ifndef AUBURNSPRING_DECISION_UPSTREAM_ENTRY_H
#define AUBURNSPRING_DECISION_UPSTREAM_ENTRY_H

#include "auburnspring/config/settings.h"

#include <cstdint>
#include <string>

namespace auburnspring {

/// What an upstream says of itself in the platform's store.
struct UpstreamEntry {
  /// Name of one upstream; a later life may bear it again.
  std::string id;
  std::string pool;
  Endpoint endpoint;
  std::string dataCentre;
  std::int64_t slots = 1;
  bool isLeaving = false;
  /// How much longer it stays slow after its start.
  Duration coldFor{0};
  /// Wall clock of its start in milliseconds; tells lives of one id apart.
  std::int64_t bornMillis = 0;
};

} // namespace auburnspring

#endif
