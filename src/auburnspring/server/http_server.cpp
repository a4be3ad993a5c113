#include "auburnspring/server/http_server.h"

#include "auburnspring/base/log.h"
#include "auburnspring/server/metrics_text.h"
#include "auburnspring/server/token_authenticator.h"
#include "route_handler.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServer.h>
#include <Poco/ThreadPool.h>
#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>

#include <ostream>

namespace auburnspring {

namespace {

constexpr int MinThreads = 8;
// Threads beyond the admission limit, so that excess requests are rejected by
// the handler with an outcome instead of by POCO.
constexpr int SpareThreads = 256;
constexpr int MaxQueuedConnections = 4096;

using Poco::Net::HTTPResponse;
using Poco::Net::HTTPServerRequest;
using Poco::Net::HTTPServerResponse;

// Sends a fixed body.
class TextHandler : public Poco::Net::HTTPRequestHandler {
public:
  TextHandler(HTTPResponse::HTTPStatus status, std::string text,
              const char *contentType = "text/plain")
      : status_(status), text_(std::move(text)), contentType_(contentType) {}

  void handleRequest(HTTPServerRequest & /*request*/,
                     HTTPServerResponse &response) override {
    response.setStatusAndReason(status_);
    response.setContentType(contentType_);
    response.setContentLength(static_cast<std::streamsize>(text_.size()));
    // The connection can't be reused after an unread request body.
    response.setKeepAlive(false);
    response.send() << text_ << std::flush;
  }

private:
  HTTPResponse::HTTPStatus status_;
  std::string text_;
  const char *contentType_;
};

Poco::Net::HTTPRequestHandler *jsonHandler(const nlohmann::json &json) {
  return new TextHandler(
      HTTPResponse::HTTP_OK,
      json.dump(2, ' ', false, nlohmann::json::error_handler_t::replace) + "\n",
      "application/json");
}

// The fields of a dump whose size doesn't grow with the number of upstreams.
nlohmann::json statusSummary(const nlohmann::json &dump) {
  nlohmann::json status;
  for (const char *field : {"host", "data_centre", "ready", "stopping",
                            "open_requests", "members", "configuration"})
    status[field] = dump.at(field);
  return status;
}

// POCO takes ownership of each returned handler.
class HandlerFactory : public Poco::Net::HTTPRequestHandlerFactory {
public:
  explicit HandlerFactory(HostRuntime *runtime)
      : runtime_(runtime), authenticator_(runtime->settings()) {}

  Poco::Net::HTTPRequestHandler *
  createRequestHandler(const HTTPServerRequest &request) override {
    const std::string path =
        request.getURI().substr(0, request.getURI().find('?'));
    constexpr absl::string_view Routes = "/v1/routes/";
    if (absl::StartsWith(path, Routes)) {
      if (request.getMethod() != "POST")
        return new TextHandler(HTTPResponse::HTTP_METHOD_NOT_ALLOWED,
                               "method not allowed; use POST\n");
      return new RouteHandler(runtime_, &authenticator_,
                              path.substr(Routes.size()));
    }
    if (path == "/healthz")
      return new TextHandler(HTTPResponse::HTTP_OK, "ok\n");
    if (path == "/readyz")
      return runtime_->isReady()
                 ? new TextHandler(HTTPResponse::HTTP_OK, "ready\n")
                 : new TextHandler(HTTPResponse::HTTP_SERVICE_UNAVAILABLE,
                                   "not ready\n");
    if (path == "/metrics")
      return new TextHandler(HTTPResponse::HTTP_OK,
                             metricsText(runtime_->dump()),
                             "text/plain; version=0.0.4");
    return operatorHandler(request, path);
  }

private:
  Poco::Net::HTTPRequestHandler *
  operatorHandler(const HTTPServerRequest &request, const std::string &path) {
    constexpr absl::string_view Upstreams = "/v1/operator/upstreams/";
    const bool dump = path == "/dump";
    const bool status = path == "/v1/operator/status";
    const bool upstream = absl::StartsWith(path, Upstreams);
    if (!dump && !status && !upstream)
      return new TextHandler(HTTPResponse::HTTP_NOT_FOUND, "path not found\n");
    if (!authenticator_.isOperator(request.get("Authorization", "")))
      return new TextHandler(HTTPResponse::HTTP_UNAUTHORIZED,
                             "operator token required\n");
    if (dump)
      return jsonHandler(runtime_->dump());
    if (status)
      return jsonHandler(statusSummary(runtime_->dump()));
    const std::string name = path.substr(Upstreams.size());
    return jsonHandler({{"upstream", name},
                        {"host", runtime_->settings().host},
                        {"in_flight", runtime_->inFlightAt(name)}});
  }

  HostRuntime *runtime_;
  TokenAuthenticator authenticator_;
};

} // namespace

class HttpServer::Impl {
public:
  explicit Impl(HostRuntime *runtime)
      : runtime_(runtime),
        pool_(MinThreads, static_cast<int>(runtime->settings().maxRequests) +
                              SpareThreads) {}

  absl::Status start() {
    const Endpoint &listen = runtime_->settings().listen;
    try {
      Poco::Net::ServerSocket socket(
          Poco::Net::SocketAddress(listen.ip, listen.port), 1024);
      auto *params = new Poco::Net::HTTPServerParams();
      params->setMaxThreads(pool_.capacity());
      params->setMaxQueued(MaxQueuedConnections);
      params->setKeepAlive(true);
      params->setMaxKeepAliveRequests(1000);
      params->setKeepAliveTimeout(Poco::Timespan(5, 0));
      params->setTimeout(Poco::Timespan(10, 0));
      server_ = std::make_unique<Poco::Net::HTTPServer>(
          new HandlerFactory(runtime_), pool_, socket, params);
      server_->start();
    } catch (const Poco::Exception &error) {
      return absl::UnavailableError(absl::StrCat(
          "can't listen on ", toString(listen), ": ", error.displayText()));
    }
    return absl::OkStatus();
  }

  void stop() {
    if (!server_)
      return;
    server_->stop();
    pool_.joinAll();
    server_.reset();
  }

private:
  HostRuntime *runtime_;
  Poco::ThreadPool pool_;
  std::unique_ptr<Poco::Net::HTTPServer> server_;
};

HttpServer::HttpServer(HostRuntime *runtime)
    : impl_(std::make_unique<Impl>(runtime)) {}
HttpServer::~HttpServer() = default;
absl::Status HttpServer::start() { return impl_->start(); }
void HttpServer::stop() { impl_->stop(); }

} // namespace auburnspring
