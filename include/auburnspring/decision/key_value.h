#ifndef AUBURNSPRING_DECISION_KEY_VALUE_H
#define AUBURNSPRING_DECISION_KEY_VALUE_H

#include <cstdint>
#include <string>

namespace auburnspring {

/// Order in which calls that wait for the host's call budget are made.
enum class KvPriority { Lease, Claim, Configuration };

enum class KvVerb { Get, PutIf, Delete };

/// One call to the key-value service.
struct KvOperation {
  KvVerb verb = KvVerb::Get;
  std::string key;
  /// PutIf only. A Delete is unconditional, and only for keys that nothing
  /// references any more.
  std::string value;
  /// PutIf writes only if the key is at this revision; 0 means absent.
  std::int64_t expectedRevision = 0;
};

enum class KvStatus {
  /// The Get was served, or the PutIf or Delete took effect.
  Ok,
  /// A PutIf found another revision; the reply carries the current value.
  Conflict,
  /// The response was lost; a PutIf may or may not have taken effect, or may
  /// still take effect.
  Unknown,
  /// The call was not made or was rejected; it has no effect.
  Unavailable,
};

struct KvReply {
  KvStatus status = KvStatus::Unavailable;
  /// Current value after Ok or Conflict, if `revision` is not 0.
  std::string value;
  /// Revision of the key's last change; 0 if the key is absent.
  std::int64_t revision = 0;
};

} // namespace auburnspring

#endif
