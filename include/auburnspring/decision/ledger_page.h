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

namespace auburnspring {

/// What the ledger knows of one key.
struct LedgerRecord {
  /// Chosen by the claimant for this one request; tells its claim from others.
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

/// One shard of the ledger: one value of the key-value service.
struct LedgerPage {
  absl::btree_map<std::string, LedgerRecord> records;

  /// Forgets records made before `oldest`.
  void prune(WallTime oldest);
};

std::string encodePage(const LedgerPage &page);

/// Reads what encodePage wrote. An empty text is an empty page; anything else
/// that is not a page is an error, never an empty page.
absl::StatusOr<LedgerPage> decodePage(absl::string_view text);

/// The key under which a caller's key stands in the ledger: scoped by
/// organisation and route, and of one length for any caller's key.
std::string scopedKey(absl::string_view organisation, absl::string_view route,
                      absl::string_view key);

/// Shard that a scoped key belongs to, of `shards` in all.
std::size_t ledgerShard(absl::string_view scopedKey, std::size_t shards);

/// Key of a shard's page in the key-value service.
std::string ledgerPageKey(absl::string_view prefix, std::size_t shard);

} // namespace auburnspring

#endif
