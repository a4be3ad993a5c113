#ifndef AUBURNSPRING_DECISION_STORE_ITEM_H
#define AUBURNSPRING_DECISION_STORE_ITEM_H

#include <cstdint>
#include <string>

namespace auburnspring {

/// One item of the platform's store as it was written, or its removal.
struct StoreChange {
  std::string key;
  std::string value;
  std::int64_t revision = 0;
  bool removed = false;
};

} // namespace auburnspring

#endif
