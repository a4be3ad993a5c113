#ifndef AUBURNSPRING_DECISION_IDS_H
#define AUBURNSPRING_DECISION_IDS_H

#include <cstdint>
#include <string>

namespace auburnspring {

/// A request's number on the host that received it.
using RequestId = std::uint64_t;

/// Identity of one dispatch of one part of one stage. Answers are matched by
/// it alone, never by the connection they arrive on.
struct AttemptId {
  /// Differs between two lives of a host.
  std::uint64_t incarnation = 0;
  RequestId request = 0;
  std::uint32_t stage = 0;
  std::uint32_t part = 0;
  /// Counts the attempts of the part from 1.
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

/// Which component of the host made a key-value call.
enum class KvOwner : std::uint8_t { Ledger, Configuration };

struct KvCallId {
  KvOwner owner = KvOwner::Ledger;
  std::uint64_t number = 0;
};

} // namespace auburnspring

#endif
