#ifndef AUBURNSPRING_SERVING_RESPONSE_END_H
#define AUBURNSPRING_SERVING_RESPONSE_END_H

#include "auburnspring/decision/attempt_verdict.h"
#include "auburnspring/http/client_call.h"

namespace auburnspring {

/// How the transport ended the response to a call.
inline ResponseEnd responseEnd(http::CallStatus status, bool isCloseDelimited) {
  switch (status) {
  case http::CallStatus::NotSent:
    return ResponseEnd::NotSent;
  case http::CallStatus::Failed:
    return ResponseEnd::Lost;
  case http::CallStatus::Complete:
    return isCloseDelimited ? ResponseEnd::Closed : ResponseEnd::Framed;
  }
  return ResponseEnd::Lost;
}

} // namespace auburnspring

#endif
