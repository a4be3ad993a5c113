#ifndef AUBURNSPRING_DECISION_STORE_ITEM_H
#define AUBURNSPRING_DECISION_STORE_ITEM_H

#include <cstdint>
#include <string>

namespace auburnspring {

/// A write or removal of one item in the platform's store.
struct StoreChange {
  std::string key;
  std::string value;
  std::int64_t revision = 0;
  bool removed = false;
};

} // namespace auburnspring

#endif
