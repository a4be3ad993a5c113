#ifndef AUBURNSPRING_SOAK_CALL_OUTCOME_H
#define AUBURNSPRING_SOAK_CALL_OUTCOME_H

namespace auburnspring::soak {

/// How a request ended for its caller.
struct CallOutcome {
  /// 0 if the connection ended without a response.
  int status = 0;
  bool isComplete = false;
  /// The whole body is the upstream's response to this request.
  bool bodyMatches = false;
  bool isSigned = false;
  /// The caller closed its connection before the end.
  bool isAbandoned = false;
};

} // namespace auburnspring::soak

#endif
