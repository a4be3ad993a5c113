#ifndef AUBURNSPRING_DECISION_KEY_VALUE_H
#define AUBURNSPRING_DECISION_KEY_VALUE_H

#include <cstdint>
#include <string>

namespace auburnspring {

/// Calls are made in this order when the host's budget is short.
enum class KvPriority { Lease, Claim, Configuration };

enum class KvVerb { Get, PutIf, Delete };

/// One call to the key-value service.
struct KvOperation {
  KvVerb verb = KvVerb::Get;
  std::string key;
  /// PutIf only. A Delete is unconditional and used only for keys that nothing
  /// refers to any more.
  std::string value;
  /// PutIf writes only if the key is still at this revision; 0 is absent.
  std::int64_t expectedRevision = 0;
};

enum class KvStatus {
  /// Done: a Get was answered or a PutIf took effect.
  Ok,
  /// A PutIf found another revision; the reply carries the present value.
  Conflict,
  /// The answer was lost; a PutIf may or may not have taken effect, or may
  /// still take effect.
  Unknown,
  /// The call was not made or was refused; it has no effect.
  Unavailable,
};

struct KvReply {
  KvStatus status = KvStatus::Unavailable;
  /// Present value after Ok or Conflict, if `revision` is not 0.
  std::string value;
  /// Revision of the key's last change; 0 if the key is absent.
  std::int64_t revision = 0;
};

} // namespace auburnspring

#endif
