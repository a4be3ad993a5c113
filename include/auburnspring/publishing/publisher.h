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
  /// In the head's history as `generation`.
  Accepted,
  /// Nothing differs from what is in force.
  Unchanged,
  /// Another operator was faster; `rivals` says what changed.
  Conflict,
  /// Not in the history, and proved not to land later.
  NotAccepted,
  /// The service did not answer for as long as was allowed; the publish may
  /// land. Asking again with the same publish id settles it.
  Unsettled,
  /// The files have faults.
  Faulty,
};

const char *toString(PublishStatus status);

struct PublishResult {
  PublishStatus status = PublishStatus::NotAccepted;
  std::uint64_t generation = 0;
  std::vector<PublishRecord> rivals;
  Faults faults;
  std::string detail;
};

struct PublishRequest {
  /// File name to text.
  std::map<std::string, std::string> files;
  /// Remove every file that is not given.
  bool replaceAll = false;
  /// Refuse unless this generation is in force; empty for whichever is.
  std::optional<std::uint64_t> base;
  std::string publishId;
  std::string author;
  WallTime time{0};
};

/// Puts changes in force: pieces first, each under its digest, then the head
/// by compare-and-swap. An answer that is lost is settled by reading the
/// history back, and by writing again at the same revision, which either lands
/// or proves that the first write can't.
class Publisher {
public:
  struct Options {
    std::string keyPrefix = "auburnspring/";
    /// Calls for one step before it counts as unsettled.
    int maxTries = 8;
    /// Called between tries; the shell sleeps, a test does nothing.
    std::function<void(int attempt)> pause = [](int) {};
  };

  Publisher(Options options, KeyValueStore *store);

  PublishResult publish(const PublishRequest &request);

  /// Takes an upstream out of service or puts it back. Unlike publish, it
  /// applies itself anew to whatever a rival has put in force.
  PublishResult setDrained(const std::string &upstream, bool drained,
                           const std::string &publishId,
                           const std::string &author, WallTime time);

  struct HeadReading {
    bool ok = false;
    ConfigurationHead head;
    std::int64_t revision = 0;
    std::string detail;
  };
  HeadReading readHead();

  /// The head with all texts; the status says what could not be read.
  absl::StatusOr<ConfigurationBundle> readBundle();

private:
  struct Swap {
    PublishStatus status = PublishStatus::Unsettled;
    HeadReading present;
  };

  KvReply get(const std::string &key);
  absl::Status writePieces(const std::map<std::string, std::string> &files);
  absl::Status writePiece(const std::string &text);
  Swap swapHead(const ConfigurationHead &next, std::int64_t revision,
                const std::string &publishId);
  PublishResult resultOf(const Swap &swap, const ConfigurationHead &base,
                         const ConfigurationHead &next) const;
  static void addHistory(ConfigurationHead *head, PublishRecord record);

  Options options_;
  KeyValueStore *store_;
};

} // namespace auburnspring

#endif
