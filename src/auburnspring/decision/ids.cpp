#include "auburnspring/decision/ids.h"

#include <fmt/format.h>

namespace auburnspring {

std::string toString(const AttemptId &id) {
  return fmt::format("{:x}-{}-{}-{}-{}", id.incarnation, id.request, id.stage,
                     id.part, id.number);
}

} // namespace auburnspring
