#ifndef AUBURNSPRING_DECISION_KEY_VALUE_STORE_H
#define AUBURNSPRING_DECISION_KEY_VALUE_STORE_H

#include "auburnspring/decision/key_value.h"

namespace auburnspring {

/// Client interface of the platform's key-value service. Thread-safe.
class KeyValueStore {
public:
  virtual ~KeyValueStore() = default;

  /// Makes one call and blocks until its reply.
  virtual KvReply call(const KvOperation &operation) = 0;
};

} // namespace auburnspring

#endif
