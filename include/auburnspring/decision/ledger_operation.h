#ifndef AUBURNSPRING_DECISION_LEDGER_OPERATION_H
#define AUBURNSPRING_DECISION_LEDGER_OPERATION_H

#include "auburnspring/decision/event.h"
#include "auburnspring/decision/ledger_page.h"

#include <cstdint>
#include <optional>
#include <string>

namespace auburnspring {

enum class LedgerVerb : std::uint8_t { Claim, Record, Release };

/// One change that a request wants in the ledger.
struct LedgerOperation {
  LedgerVerb verb = LedgerVerb::Claim;
  /// From scopedKey().
  std::string key;
  /// Claim and Record: what is to stand under the key. Release: its nonce.
  LedgerRecord record;
  /// Claim: the request that waits for the verdict.
  RequestId request = 0;
  /// Claim: the verdict is Unavailable if none is known by then.
  TimePoint answerBy;
  /// When the operation was added here.
  TimePoint since;
  /// Release: another host may still write the claim, so a mark stays behind
  /// that refuses it.
  bool leavesMark = false;
  /// Host that forwarded the operation and its number there; empty if the
  /// operation is this host's own.
  std::string origin;
  std::uint64_t originNumber = 0;

  /// Part of the write that is under way.
  bool inWrite = false;
  /// Revision that a lost write of this operation expected; such a write can
  /// still land while the shard is at that revision.
  std::optional<std::int64_t> lostAt;
  bool done = false;
};

/// How an operation ended.
struct LedgerVerdict {
  LedgerOperation operation;
  /// Claims only.
  ClaimVerdict verdict = ClaimVerdict::Granted;
  /// The record that stands under the key, if the verdict is Taken.
  std::optional<LedgerRecord> present;
};

} // namespace auburnspring

#endif
