#ifndef AUBURNSPRING_SERVING_METADATA_STORE_H
#define AUBURNSPRING_SERVING_METADATA_STORE_H

#include "auburnspring/base/time.h"
#include "auburnspring/decision/store_item.h"
#include "auburnspring/decision/store_version.h"

#include <absl/status/statusor.h>

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace auburnspring {

/// Items or changes, and the version of the store at which they were read.
struct StoreRead {
  std::vector<StoreChange> changes;
  StoreVersion version;
};

/// Asynchronous client of the platform's store. Callbacks run on the event
/// loop's thread. OutOfRange means that the requested history is no longer
/// kept, NotFound that the lease has expired, FailedPrecondition that a
/// condition did not hold; after any other error a change may or may not have
/// been made.
class MetadataStore {
public:
  template <typename T> using Callback = std::function<void(absl::StatusOr<T>)>;

  /// Called with the era of the store that a response states, before the
  /// callback of its call.
  using EraHandler = std::function<void(std::int64_t era)>;

  virtual ~MetadataStore() = default;

  virtual void setEraHandler(EraHandler handler) = 0;

  /// Whether a read may return a state of the store that is some seconds old,
  /// which costs less. Its version says which.
  enum class ReadMode { Current, MayBeStale };

  /// Reads every item whose key has the prefix.
  virtual void readAll(const std::string &prefix, ReadMode mode,
                       Callback<StoreRead> callback) = 0;
  /// Returns the changes after a revision as soon as there is one, or an empty
  /// list after `timeout`.
  virtual void watch(const std::string &prefix, std::int64_t after,
                     Duration timeout, Callback<StoreRead> callback) = 0;
  /// Returns the changes after a revision at once, or fails within a few
  /// hundred milliseconds.
  virtual void poll(const std::string &prefix, std::int64_t after,
                    Callback<StoreRead> callback) = 0;
  virtual void createLease(Duration ttl, Callback<std::int64_t> callback) = 0;
  virtual void renewLease(std::int64_t lease, Callback<Duration> callback) = 0;
  /// Writes a key that is removed when the lease expires.
  virtual void put(const std::string &key, const std::string &value,
                   std::int64_t lease, Callback<std::int64_t> callback) = 0;
  virtual void remove(const std::string &key,
                      Callback<std::int64_t> callback) = 0;
};

} // namespace auburnspring

#endif
