#ifndef AUBURNSPRING_DECISION_RUN_CONTEXT_H
#define AUBURNSPRING_DECISION_RUN_CONTEXT_H

#include "auburnspring/decision/ledger.h"
#include "auburnspring/decision/rcu_cell.h"
#include "auburnspring/decision/snapshot.h"

#include <random>
#include <string>

namespace auburnspring {

/// State of the host that a RequestRun can access while it handles one event.
struct RunContext {
  const std::string &host;
  const std::string &dataCentre;
  std::uint64_t incarnation;
  const RcuCell<Snapshot> &snapshot;
  Ledger &ledger;
  /// Random generator of the request's table; guarded by the table's mutex.
  std::mt19937_64 &random;
};

} // namespace auburnspring

#endif
