#include "route_handler.h"

#include "auburnspring/base/log.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/Timespan.h>
#include <Poco/UUIDGenerator.h>
#include <absl/strings/numbers.h>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <cctype>
#include <istream>
#include <ostream>

namespace auburnspring {

namespace {

constexpr Duration DisconnectPollInterval = std::chrono::milliseconds(100);
constexpr std::size_t MaxKeyBytes = 256;
constexpr std::int64_t MaxDeadlineMillis = 600000;

constexpr int BadRequest = 400;
constexpr int Unauthorized = 401;
constexpr int NotFound = 404;
constexpr int PayloadTooLarge = 413;
constexpr int ServiceUnavailable = 503;
constexpr int GatewayTimeout = 504;

// A connection that the client has closed polls as readable and yields no
// bytes.
bool isClientDisconnected(Poco::Net::HTTPServerRequest &request) {
  try {
    auto &impl = dynamic_cast<Poco::Net::HTTPServerRequestImpl &>(request);
    Poco::Net::StreamSocket &socket = impl.socket();
    if (!socket.poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ))
      return false;
    char byte = 0;
    return socket.receiveBytes(&byte, 1, MSG_PEEK) == 0;
  } catch (const Poco::Exception &) {
    return true;
  }
}

bool readBody(std::istream &stream, std::size_t maxBytes, std::string *body) {
  char buffer[16384];
  while (stream.read(buffer, sizeof buffer) || stream.gcount() > 0) {
    body->append(buffer, static_cast<std::size_t>(stream.gcount()));
    if (body->size() > maxBytes)
      return false;
  }
  return true;
}

void setOutcomeHeaders(const RespondToCaller &result,
                       Poco::Net::HTTPServerResponse *response) {
  response->set("X-Outcome", toString(result.outcome));
  if (result.retryAfter.count() <= 0)
    return;
  // Retry-After has whole seconds; X-Retry-After-Ms has the exact time.
  const std::int64_t millis = (result.retryAfter.count() + 999) / 1000;
  response->set("Retry-After", std::to_string((millis + 999) / 1000));
  response->set("X-Retry-After-Ms", std::to_string(millis));
}

void sendResponse(const RespondToCaller &result, int status,
                  Poco::Net::HTTPServerResponse *response) {
  response->setStatusAndReason(
      static_cast<Poco::Net::HTTPResponse::HTTPStatus>(status));
  response->setContentType(result.outcome == Outcome::Complete
                               ? "text/plain; charset=utf-8"
                               : "application/json");
  setOutcomeHeaders(result, response);
  const std::string body = responseBody(result);
  response->setContentLength(static_cast<std::streamsize>(body.size()));
  response->send() << body << std::flush;
}

std::string formatSseEvent(const char *event, const nlohmann::json &data) {
  return fmt::format(
      "event: {}\ndata: {}\n\n", event,
      data.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
}

// Returns the caller's X-Request-Id, so that a request can be traced across
// hosts, or a new one if it is absent or invalid.
std::string requestIdFrom(const Poco::Net::HTTPServerRequest &request) {
  constexpr std::size_t MaxBytes = 64;
  std::string callerId = request.get("X-Request-Id", "");
  const bool isValid =
      !callerId.empty() && callerId.size() <= MaxBytes &&
      std::all_of(callerId.begin(), callerId.end(), [](unsigned char c) {
        return std::isalnum(c) != 0 || c == '-' || c == '_' || c == '.';
      });
  if (isValid)
    return callerId;
  return Poco::UUIDGenerator::defaultGenerator().createRandom().toString();
}

nlohmann::json outcomeJson(const RespondToCaller &result) {
  nlohmann::json json = {{"outcome", toString(result.outcome)},
                         {"reason", result.reason}};
  if (result.retryAfter.count() > 0)
    json["retry_after_ms"] = (result.retryAfter.count() + 999) / 1000;
  return json;
}

} // namespace

int httpStatus(const RespondToCaller &result) {
  switch (result.outcome) {
  case Outcome::Complete:
    return 200;
  case Outcome::NotRun:
  case Outcome::Incomplete:
    return ServiceUnavailable;
  case Outcome::Unknown:
    return GatewayTimeout;
  case Outcome::Rejected:
    return BadRequest;
  }
  return GatewayTimeout;
}

std::string responseBody(const RespondToCaller &result) {
  if (result.outcome == Outcome::Complete)
    return result.body;
  return outcomeJson(result).dump(-1, ' ', false,
                                  nlohmann::json::error_handler_t::replace) +
         "\n";
}

RouteHandler::RouteHandler(HostRuntime *runtime,
                           const TokenAuthenticator *authenticator,
                           std::string route)
    : runtime_(runtime), authenticator_(authenticator),
      route_(std::move(route)) {}

std::string RouteHandler::parseRequest(Poco::Net::HTTPServerRequest &request,
                                       RequestArrived *arrived,
                                       int *status) const {
  *status = Unauthorized;
  const Organisation *organisation =
      authenticator_->organisation(request.get("Authorization", ""));
  if (organisation == nullptr)
    return "Authorization: expected \"Bearer TOKEN\" with an organisation's "
           "token";
  const std::string claimedName =
      request.get("X-Organisation", organisation->name);
  if (claimedName != organisation->name)
    return "X-Organisation: the token belongs to another organisation";
  *status = BadRequest;
  arrived->organisation = organisation->name;
  arrived->weight = organisation->weight;
  arrived->route = route_;
  arrived->key = request.get("Idempotency-Key", "");
  arrived->firstTry = request.get("X-First-Try", "") == "true";
  if (arrived->key.size() > MaxKeyBytes)
    return fmt::format(
        "Idempotency-Key: found {} bytes, at most {} are allowed",
        arrived->key.size(), MaxKeyBytes);
  if (request.has("X-Deadline-Ms")) {
    std::int64_t millis = 0;
    const std::string text = request.get("X-Deadline-Ms");
    if (!absl::SimpleAtoi(text, &millis) || millis < 1 ||
        millis > MaxDeadlineMillis)
      return fmt::format("X-Deadline-Ms: expected a whole number from 1 to {}",
                         MaxDeadlineMillis);
    arrived->deadline = std::chrono::milliseconds(millis);
  }
  arrived->stream =
      request.get("Accept", "").find("text/event-stream") != std::string::npos;
  const auto maxBytes =
      static_cast<std::size_t>(runtime_->settings().maxBodyBytes);
  if (!readBody(request.stream(), maxBytes, &arrived->body)) {
    *status = PayloadTooLarge;
    return fmt::format("body: at most {} bytes are allowed", maxBytes);
  }
  const std::streamsize contentLength = request.getContentLength();
  const bool isTruncated =
      contentLength != Poco::Net::HTTPMessage::UNKNOWN_CONTENT_LENGTH &&
      contentLength != static_cast<std::streamsize>(arrived->body.size());
  return isTruncated ? "body: truncated" : "";
}

void RouteHandler::handleRequest(Poco::Net::HTTPServerRequest &request,
                                 Poco::Net::HTTPServerResponse &response) {
  RequestArrived arrived;
  int status = BadRequest;
  const std::string requestError = parseRequest(request, &arrived, &status);
  if (!requestError.empty()) {
    RespondToCaller rejected;
    rejected.outcome = Outcome::Rejected;
    rejected.reason = requestError;
    // The rest of the body is unread, so the connection can't be reused.
    response.setKeepAlive(false);
    return sendResponse(rejected, status, &response);
  }
  const bool stream = arrived.stream;
  const std::string requestId = requestIdFrom(request);
  response.set("X-Request-Id", requestId);
  const std::string organisation = arrived.organisation;
  const RequestId id = runtime_->submit(std::move(arrived));
  logEvent(LogLevel::Info, "request_arrived",
           {{"request", id},
            {"request_id", requestId},
            {"route", route_},
            {"organisation", organisation}});
  try {
    if (stream)
      serveStream(id, request, response);
    else
      serveBuffered(id, request, response);
  } catch (const Poco::Exception &) {
    // The connection was lost while the response was written.
    runtime_->finish(id, true);
  }
}

void RouteHandler::serveBuffered(RequestId id,
                                 Poco::Net::HTTPServerRequest &request,
                                 Poco::Net::HTTPServerResponse &response) {
  while (true) {
    const ResponseDispatcher::Delivery delivery =
        runtime_->wait(id, DisconnectPollInterval);
    if (delivery.response) {
      const bool routeNotFound =
          delivery.response->outcome == Outcome::Rejected &&
          delivery.response->reason.rfind("no route", 0) == 0;
      sendResponse(*delivery.response,
                   routeNotFound ? NotFound : httpStatus(*delivery.response),
                   &response);
      return runtime_->finish(id, false);
    }
    if (isClientDisconnected(request))
      return runtime_->finish(id, true);
  }
}

void RouteHandler::serveStream(RequestId id,
                               Poco::Net::HTTPServerRequest &request,
                               Poco::Net::HTTPServerResponse &response) {
  std::ostream *out = nullptr;
  std::string sent;
  while (true) {
    const ResponseDispatcher::Delivery delivery =
        runtime_->wait(id, DisconnectPollInterval);
    const bool failedBeforeStream =
        out == nullptr && delivery.response &&
        delivery.response->outcome != Outcome::Complete;
    if (failedBeforeStream) {
      sendResponse(*delivery.response, httpStatus(*delivery.response),
                   &response);
      return runtime_->finish(id, false);
    }
    const bool hasOutput = delivery.response || !delivery.streamed.empty();
    if (out == nullptr && hasOutput) {
      response.setContentType("text/event-stream");
      response.setChunkedTransferEncoding(true);
      response.setKeepAlive(false);
      out = &response.send();
    }
    if (!delivery.streamed.empty()) {
      sent += delivery.streamed;
      *out << formatSseEvent("text", {{"text", delivery.streamed}})
           << std::flush;
    }
    if (delivery.response) {
      nlohmann::json finalEvent = outcomeJson(*delivery.response);
      if (delivery.response->outcome == Outcome::Complete) {
        // Send the text that has not been streamed yet.
        const std::string &fullText = delivery.response->body;
        if (fullText.size() > sent.size())
          *out << formatSseEvent("text",
                                 {{"text", fullText.substr(sent.size())}});
        finalEvent["bytes"] = fullText.size();
      }
      *out << formatSseEvent("final", finalEvent) << std::flush;
      return runtime_->finish(id, false);
    }
    if (isClientDisconnected(request) || (out != nullptr && out->bad()))
      return runtime_->finish(id, true);
  }
}

} // namespace auburnspring
