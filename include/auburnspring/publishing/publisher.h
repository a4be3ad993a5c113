#ifndef AUBURNSPRING_PUBLISHING_PUBLISHER_H
#define AUBURNSPRING_PUBLISHING_PUBLISHER_H

#include "auburnspring/config/configuration.h"
#include "auburnspring/decision/key_value_store.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace auburnspring {

enum class PublishStatus {
  /// Recorded in the head's history as `generation`.
  Accepted,
  /// Equal to the configuration in force; nothing was written.
  Unchanged,
  /// Another publish changed the head first; `conflicts` lists its records.
  Conflict,
  /// Not applied, and guaranteed not to be applied later.
  NotAccepted,
  /// The key-value service did not respond within the allowed attempts, and the
  /// write may still take effect. A retry with the same publish id resolves it.
  Unsettled,
  /// The files have faults.
  Faulty,
};

const char *toString(PublishStatus status);

struct PublishResult {
  PublishStatus status = PublishStatus::NotAccepted;
  std::uint64_t generation = 0;
  /// On Conflict: the publishes after the expected generation.
  std::vector<PublishRecord> conflicts;
  Faults faults;
  /// On NotAccepted: the error, or empty if the head could not be written.
  std::string detail;
};

struct PublishRequest {
  /// File name to contents.
  std::map<std::string, std::string> files;
  /// Removes every file that is not in `files`.
  bool replaceAll = false;
  /// Refuses the publish unless this generation is in force; empty to accept
  /// any.
  std::optional<std::uint64_t> base;
  std::string publishId;
  std::string author;
  WallTime time{0};
};

/// Publishes configuration changes: first the route files, each under its
/// digest, then the head by compare-and-swap. If the response to the head write
/// is lost, the write is retried at the same revision: either the retry takes
/// effect, which rules out the first write, or it conflicts. After a conflict
/// neither can take effect any more, and the history shows whether the first
/// write already did.
class Publisher {
public:
  struct Options {
    std::string keyPrefix = "auburnspring/";
    /// Attempts per key-value operation, and per setDrained on conflicts.
    int maxAttempts = 8;
    /// Called after each failed attempt to wait for the backoff time; the
    /// default does not wait.
    std::function<void(int attempt)> waitBeforeRetry = [](int) {};
  };

  Publisher(Options options, KeyValueStore *store);

  PublishResult publish(const PublishRequest &request);

  /// Takes an upstream out of service or puts it back. Unlike publish, a
  /// conflict is resolved by reapplying the change to the new head.
  PublishResult setDrained(const std::string &upstream, bool drained,
                           const std::string &publishId,
                           const std::string &author, WallTime time);

  struct HeadReadResult {
    bool ok = false;
    ConfigurationHead head;
    std::int64_t revision = 0;
    std::string detail;
  };
  HeadReadResult readHead();

  /// The head with the contents of all its route files.
  absl::StatusOr<ConfigurationBundle> readBundle();

private:
  struct SwapResult {
    PublishStatus status = PublishStatus::Unsettled;
    HeadReadResult current;
  };

  KvReply getWithRetries(const std::string &key);
  absl::Status writeFiles(const std::map<std::string, std::string> &files);
  absl::Status writeFile(const std::string &text);
  SwapResult swapHead(const ConfigurationHead &next, std::int64_t revision,
                      const std::string &publishId);
  PublishResult makeResult(const SwapResult &swap,
                           const ConfigurationHead &base,
                           const ConfigurationHead &next) const;
  static void addHistory(ConfigurationHead *head, PublishRecord record);

  Options options_;
  KeyValueStore *store_;
};

} // namespace auburnspring

#endif
