#ifndef AUBURNSPRING_DECISION_IDS_H
#define AUBURNSPRING_DECISION_IDS_H

#include <cstdint>
#include <string>

namespace auburnspring {

/// Number of a request, unique on the host that received it.
using RequestId = std::uint64_t;

/// Identifies one dispatch of one part of one stage. Responses are matched by
/// it alone, not by the connection they arrive on.
struct AttemptId {
  /// Incarnation of the host that started the attempt.
  std::uint64_t incarnation = 0;
  RequestId request = 0;
  std::uint32_t stage = 0;
  std::uint32_t part = 0;
  /// Number of the attempt among those of its part, from 1.
  std::uint32_t number = 0;
};

inline bool operator==(const AttemptId &a, const AttemptId &b) {
  return a.incarnation == b.incarnation && a.request == b.request &&
         a.stage == b.stage && a.part == b.part && a.number == b.number;
}

inline bool operator<(const AttemptId &a, const AttemptId &b) {
  if (a.request != b.request)
    return a.request < b.request;
  if (a.stage != b.stage)
    return a.stage < b.stage;
  if (a.part != b.part)
    return a.part < b.part;
  if (a.number != b.number)
    return a.number < b.number;
  return a.incarnation < b.incarnation;
}

/// "INCARNATION-REQUEST-STAGE-PART-NUMBER", as sent to upstreams.
std::string toString(const AttemptId &id);

/// Component of the host that issued a key-value call.
enum class KvOwner : std::uint8_t { Ledger, Configuration };

struct KvCallId {
  KvOwner owner = KvOwner::Ledger;
  std::uint64_t number = 0;
};

} // namespace auburnspring

#endif
