#ifndef AUBURNSPRING_DECISION_KEY_VALUE_STORE_H
#define AUBURNSPRING_DECISION_KEY_VALUE_STORE_H

#include "auburnspring/decision/key_value.h"

namespace auburnspring {

/// The platform's key-value service as the project uses it.
class KeyValueStore {
public:
  virtual ~KeyValueStore() = default;

  /// Makes one call and waits for its reply. Any thread may call it.
  virtual KvReply call(const KvOperation &operation) = 0;
};

} // namespace auburnspring

#endif
