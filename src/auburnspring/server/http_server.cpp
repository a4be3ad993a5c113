#include "auburnspring/server/http_server.h"

#include "auburnspring/base/log.h"
#include "auburnspring/server/metrics_text.h"
#include "auburnspring/server/token_check.h"
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
// Connections beyond the admission limit still find a thread, so that every
// refusal is one of ours and says what it is.
constexpr int SpareThreads = 256;
constexpr int MaxQueuedConnections = 4096;

using Poco::Net::HTTPResponse;
using Poco::Net::HTTPServerRequest;
using Poco::Net::HTTPServerResponse;

// Answers with a fixed text.
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
    // A request whose body was not read must not share its connection.
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

// The short part of a dump, whose size doesn't grow with the upstreams.
nlohmann::json statusOf(const nlohmann::json &dump) {
  nlohmann::json status;
  for (const char *field : {"host", "data_centre", "ready", "stopping",
                            "open_requests", "members", "configuration"})
    status[field] = dump.at(field);
  return status;
}

// POCO takes over the handler that each call returns and deletes it.
class HandlerFactory : public Poco::Net::HTTPRequestHandlerFactory {
public:
  explicit HandlerFactory(HostShell *shell)
      : shell_(shell), tokens_(shell->settings()) {}

  Poco::Net::HTTPRequestHandler *
  createRequestHandler(const HTTPServerRequest &request) override {
    const std::string path =
        request.getURI().substr(0, request.getURI().find('?'));
    constexpr absl::string_view Routes = "/v1/routes/";
    if (absl::StartsWith(path, Routes)) {
      if (request.getMethod() != "POST")
        return new TextHandler(HTTPResponse::HTTP_METHOD_NOT_ALLOWED,
                               "wanted POST\n");
      return new RouteHandler(shell_, &tokens_, path.substr(Routes.size()));
    }
    if (path == "/healthz")
      return new TextHandler(HTTPResponse::HTTP_OK, "ok\n");
    if (path == "/readyz")
      return shell_->isReady()
                 ? new TextHandler(HTTPResponse::HTTP_OK, "ready\n")
                 : new TextHandler(HTTPResponse::HTTP_SERVICE_UNAVAILABLE,
                                   "not ready\n");
    if (path == "/metrics")
      return new TextHandler(HTTPResponse::HTTP_OK, metricsText(shell_->dump()),
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
      return new TextHandler(HTTPResponse::HTTP_NOT_FOUND, "no such path\n");
    if (!tokens_.isOperator(request.get("Authorization", "")))
      return new TextHandler(HTTPResponse::HTTP_UNAUTHORIZED,
                             "wanted the operator's token\n");
    if (dump)
      return jsonHandler(shell_->dump());
    if (status)
      return jsonHandler(statusOf(shell_->dump()));
    const std::string name = path.substr(Upstreams.size());
    return jsonHandler({{"upstream", name},
                        {"host", shell_->settings().host},
                        {"in_flight", shell_->inFlightAt(name)}});
  }

  HostShell *shell_;
  TokenCheck tokens_;
};

} // namespace

class HttpServer::Impl {
public:
  explicit Impl(HostShell *shell)
      : shell_(shell),
        pool_(MinThreads,
              static_cast<int>(shell->settings().maxRequests) + SpareThreads) {}

  absl::Status start() {
    const Endpoint &listen = shell_->settings().listen;
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
          new HandlerFactory(shell_), pool_, socket, params);
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
  HostShell *shell_;
  Poco::ThreadPool pool_;
  std::unique_ptr<Poco::Net::HTTPServer> server_;
};

HttpServer::HttpServer(HostShell *shell)
    : impl_(std::make_unique<Impl>(shell)) {}
HttpServer::~HttpServer() = default;
absl::Status HttpServer::start() { return impl_->start(); }
void HttpServer::stop() { impl_->stop(); }

} // namespace auburnspring
