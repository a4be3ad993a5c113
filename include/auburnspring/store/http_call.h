#ifndef AUBURNSPRING_STORE_HTTP_CALL_H
#define AUBURNSPRING_STORE_HTTP_CALL_H

#include "auburnspring/base/time.h"
#include "auburnspring/config/settings.h"

#include <absl/status/statusor.h>

#include <map>
#include <string>

namespace auburnspring {

/// One HTTP request, sent on its own connection.
struct HttpCall {
  std::string method = "GET";
  std::string path = "/";
  std::string body;
  std::map<std::string, std::string> headers;
  Duration connectTimeout = std::chrono::milliseconds(500);
  Duration responseTimeout = std::chrono::milliseconds(1000);
  std::size_t maxResponseBytes = 8 << 20;
};

struct HttpResponse {
  int status = 0;
  std::string body;
  std::map<std::string, std::string> headers;
};

/// Sends the request once; it is never resent on a new connection. On failure
/// the status is Unavailable if no byte was written and DataLoss if the server
/// may have received the request. A truncated or oversized response is an
/// error.
absl::StatusOr<HttpResponse> callHttp(const Endpoint &endpoint,
                                      const HttpCall &call);

/// True if the error of callHttp guarantees that nothing was sent.
bool wasNotSent(const absl::Status &status);

} // namespace auburnspring

#endif
