#ifndef AUBURNSPRING_SERVER_HTTP_SERVER_H
#define AUBURNSPRING_SERVER_HTTP_SERVER_H

#include "auburnspring/shell/host_runtime.h"

#include <absl/status/status.h>

#include <memory>

namespace auburnspring {

/// Serves callers and operators over HTTP/1.1.
///
/// | path | client | purpose |
/// | --- | --- | --- |
/// | POST /v1/routes/{route} | callers | one request |
/// | GET /healthz | anyone | 200 while the process runs |
/// | GET /readyz | load balancer | 200 while new requests are accepted |
/// | GET /metrics | anyone | Prometheus text |
/// | GET /dump | operators | the whole state as JSON |
/// | GET /v1/operator/status | operators | summary of the state as JSON |
/// | GET /v1/operator/upstreams/{name} | operators | attempts in flight |
class HttpServer {
public:
  explicit HttpServer(HostRuntime *runtime);
  ~HttpServer();
  HttpServer(const HttpServer &) = delete;
  HttpServer &operator=(const HttpServer &) = delete;

  absl::Status start();

  /// Stops accepting connections and waits for those being served.
  void stop();

private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

} // namespace auburnspring

#endif
