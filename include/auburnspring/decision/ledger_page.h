#ifndef AUBURNSPRING_DECISION_LEDGER_PAGE_H
#define AUBURNSPRING_DECISION_LEDGER_PAGE_H

#include "auburnspring/base/time.h"
#include "auburnspring/decision/outcome.h"

#include <absl/container/btree_map.h>
#include <absl/status/statusor.h>
#include <absl/strings/string_view.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace auburnspring {

/// State of one idempotency key.
struct LedgerRecord {
  /// Unique to this claim.
  std::string nonce;
  /// Digest of the request's body.
  std::string bodyDigest;
  /// Host that made the claim.
  std::string claimant;
  WallTime time{0};
  /// Empty while the claimant executes the request.
  std::optional<Outcome> outcome;
  /// Response body of a complete request, if it was short enough to store.
  std::string response;
  bool responseStored = false;
};

/// Reference to an immutable page of ended records.
struct SealedPageRef {
  /// Digest of the encoded page, and part of its key.
  std::string digest;
  /// Time of its newest record.
  WallTime newest{0};
};

/// A page of one shard, stored as one value of the key-value service. The head
/// page is rewritten by every change; ended records move from it to sealed
/// pages, so that writes stay small.
struct LedgerPage {
  absl::btree_map<std::string, LedgerRecord> records;
  std::vector<SealedPageRef> sealed;
  /// Nonces of claims that were released while another host might still write
  /// them, with the claim's time. A claim with such a nonce is rejected.
  absl::btree_map<std::string, WallTime> tombstones;

  /// Removes entries older than `oldest`; removed references to sealed pages
  /// are appended to `dropped`.
  void prune(WallTime oldest, std::vector<SealedPageRef> *dropped);
};

std::string encodePage(const LedgerPage &page);

/// Inverse of encodePage. An empty text is an empty page; any other text that
/// is not a valid page is an error, never an empty page.
absl::StatusOr<LedgerPage> decodePage(absl::string_view text);

/// Encodes one record as in a page, for messages between hosts.
std::string encodeRecord(const LedgerRecord &record);
absl::StatusOr<LedgerRecord> decodeRecord(absl::string_view text);

/// The ledger's key for a caller's idempotency key: scoped by organisation and
/// route, and of fixed length.
std::string scopedKey(absl::string_view organisation, absl::string_view route,
                      absl::string_view key);

/// Index of the shard that holds a scoped key, below `shards`.
std::size_t ledgerShard(absl::string_view scopedKey, std::size_t shards);

/// Keys in the key-value service of a shard's head page and of a sealed page.
std::string ledgerPageKey(absl::string_view prefix, std::size_t shard);
std::string ledgerSealedKey(absl::string_view prefix, std::size_t shard,
                            absl::string_view digest);

} // namespace auburnspring

#endif
