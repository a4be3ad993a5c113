#ifndef AUBURNSPRING_DECISION_LEDGER_OPERATION_H
#define AUBURNSPRING_DECISION_LEDGER_OPERATION_H

#include "auburnspring/decision/event.h"
#include "auburnspring/decision/ledger_page.h"

#include <cstdint>
#include <optional>
#include <string>

namespace auburnspring {

enum class LedgerVerb : std::uint8_t { Claim, Record, Release };

/// One change to the ledger on behalf of a request.
struct LedgerOperation {
  LedgerVerb verb = LedgerVerb::Claim;
  /// From scopedKey().
  std::string key;
  /// Claim and Record: the record to store under the key. Release: the nonce
  /// and, for the tombstone, the time of the claim.
  LedgerRecord record;
  /// Claim: the request that receives the verdict.
  RequestId request = 0;
  /// Claim: the verdict is Unavailable if it is not known by this time.
  TimePoint verdictDeadline;
  /// When the operation was enqueued on this host.
  TimePoint addedAt;
  /// Release: another host may still write the claim, so the release leaves a
  /// tombstone that rejects it.
  bool leavesTombstone = false;
  /// Host that forwarded the operation, and the number it assigned; empty if
  /// the operation originates here.
  std::string origin;
  std::uint64_t originNumber = 0;

  /// Part of the write in flight.
  bool inWrite = false;
  /// Revision expected by a write of this operation whose result is unknown;
  /// the write can still take effect while the shard is at that revision.
  std::optional<std::int64_t> unknownWriteRevision;
  bool done = false;
};

/// How an operation ended.
struct LedgerOperationResult {
  LedgerOperation operation;
  /// Meaningful for claims only.
  ClaimVerdict verdict = ClaimVerdict::Granted;
  /// The record that already holds the key, if the verdict is Taken or
  /// Mismatch.
  std::optional<LedgerRecord> existing;
};

} // namespace auburnspring

#endif
