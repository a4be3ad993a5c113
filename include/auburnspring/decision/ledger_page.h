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

/// What the ledger knows of one key.
struct LedgerRecord {
  /// Chosen for this one claim; tells it from every other.
  std::string nonce;
  /// Digest of the request's body.
  std::string bodyDigest;
  /// Host that made the claim.
  std::string claimant;
  WallTime time{0};
  /// Empty while the claimant runs the request.
  std::optional<Outcome> outcome;
  /// Answer body of a complete request, if it was short enough to keep.
  std::string answer;
  bool answerKept = false;
};

/// A page of ended records that will not change any more.
struct SealedPage {
  /// Digest of the page's text and part of its key.
  std::string digest;
  /// Time of its newest record.
  WallTime newest{0};
};

/// The head of one shard of the ledger: one value of the key-value service.
/// Ended records move to sealed pages, so that a write stays small.
struct LedgerPage {
  absl::btree_map<std::string, LedgerRecord> records;
  std::vector<SealedPage> sealed;
  /// Nonces of claims that were given up while another host might still write
  /// them, with the time of that.
  absl::btree_map<std::string, WallTime> withdrawn;

  /// Forgets what is older than `oldest`; the sealed pages that fall away are
  /// added to `dropped`.
  void prune(WallTime oldest, std::vector<SealedPage> *dropped);
};

std::string encodePage(const LedgerPage &page);

/// Reads what encodePage wrote. An empty text is an empty page; anything else
/// that is not a page is an error, never an empty page.
absl::StatusOr<LedgerPage> decodePage(absl::string_view text);

/// One record as a page holds it, for the way between hosts.
std::string encodeRecord(const LedgerRecord &record);
absl::StatusOr<LedgerRecord> decodeRecord(absl::string_view text);

/// The key under which a caller's key stands in the ledger: scoped by
/// organisation and route, and of one length for any caller's key.
std::string scopedKey(absl::string_view organisation, absl::string_view route,
                      absl::string_view key);

/// Shard that a scoped key belongs to, of `shards` in all.
std::size_t ledgerShard(absl::string_view scopedKey, std::size_t shards);

/// Keys in the key-value service of a shard's head and of a sealed page.
std::string ledgerPageKey(absl::string_view prefix, std::size_t shard);
std::string ledgerSealedKey(absl::string_view prefix, std::size_t shard,
                            absl::string_view digest);

} // namespace auburnspring

#endif
