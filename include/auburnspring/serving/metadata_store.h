#ifndef AUBURNSPRING_SERVING_METADATA_STORE_H
#define AUBURNSPRING_SERVING_METADATA_STORE_H

#include "auburnspring/base/time.h"
#include "auburnspring/decision/store_item.h"

#include <absl/status/statusor.h>

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace auburnspring {

/// Items and the store's revision at which they were read.
struct StoreRead {
  std::vector<StoreChange> changes;
  std::int64_t revision = 0;
};

/// The platform's store. Calls return at once; each answer comes on the loop's
/// thread. OutOfRange means that the history asked for is no longer kept,
/// NotFound that the lease has ended, FailedPrecondition that a condition did
/// not hold; any other failure leaves open whether a change was made.
class MetadataStore {
public:
  template <typename T> using Answer = std::function<void(absl::StatusOr<T>)>;

  virtual ~MetadataStore() = default;

  /// Every item whose key has the prefix.
  virtual void readAll(const std::string &prefix, Answer<StoreRead> answer) = 0;
  /// Changes after a revision, as soon as there is one or `wait` is over.
  virtual void watch(const std::string &prefix, std::int64_t after,
                     Duration wait, Answer<StoreRead> answer) = 0;
  virtual void createLease(Duration life, Answer<std::int64_t> answer) = 0;
  virtual void renewLease(std::int64_t lease, Answer<Duration> answer) = 0;
  /// Writes a key that lives as long as the lease.
  virtual void put(const std::string &key, const std::string &value,
                   std::int64_t lease, Answer<std::int64_t> answer) = 0;
  virtual void remove(const std::string &key, Answer<std::int64_t> answer) = 0;
};

} // namespace auburnspring

#endif
