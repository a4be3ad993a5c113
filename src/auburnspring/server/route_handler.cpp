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

constexpr Duration HangUpCheck = std::chrono::milliseconds(100);
constexpr std::size_t MaxKeyBytes = 256;
constexpr std::int64_t MaxDeadlineMillis = 600000;

constexpr int BadRequest = 400;
constexpr int Unauthorized = 401;
constexpr int NotFound = 404;
constexpr int PayloadTooLarge = 413;
constexpr int ServiceUnavailable = 503;
constexpr int GatewayTimeout = 504;

// The peer's end of a connection is seen as readable with nothing to read.
bool hasHungUp(Poco::Net::HTTPServerRequest &request) {
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

void setOutcome(const AnswerCaller &answer,
                Poco::Net::HTTPServerResponse *response) {
  response->set("X-Outcome", toString(answer.outcome));
  if (answer.retryAfter.count() <= 0)
    return;
  // Whole seconds by the standard; the exact time stands beside it.
  const std::int64_t millis = (answer.retryAfter.count() + 999) / 1000;
  response->set("Retry-After", std::to_string((millis + 999) / 1000));
  response->set("X-Retry-After-Ms", std::to_string(millis));
}

void sendAnswer(const AnswerCaller &answer, int status,
                Poco::Net::HTTPServerResponse *response) {
  response->setStatusAndReason(
      static_cast<Poco::Net::HTTPResponse::HTTPStatus>(status));
  response->setContentType(answer.outcome == Outcome::Complete
                               ? "text/plain; charset=utf-8"
                               : "application/json");
  setOutcome(answer, response);
  const std::string body = bodyOf(answer);
  response->setContentLength(static_cast<std::streamsize>(body.size()));
  response->send() << body << std::flush;
}

std::string sse(const char *event, const nlohmann::json &data) {
  return fmt::format(
      "event: {}\ndata: {}\n\n", event,
      data.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
}

// The caller's own id, so that a request can be followed from host to host, or
// a new one.
std::string requestName(const Poco::Net::HTTPServerRequest &request) {
  constexpr std::size_t MaxBytes = 64;
  std::string given = request.get("X-Request-Id", "");
  const bool usable =
      !given.empty() && given.size() <= MaxBytes &&
      std::all_of(given.begin(), given.end(), [](unsigned char c) {
        return std::isalnum(c) != 0 || c == '-' || c == '_' || c == '.';
      });
  if (usable)
    return given;
  return Poco::UUIDGenerator::defaultGenerator().createRandom().toString();
}

nlohmann::json finalJson(const AnswerCaller &answer) {
  nlohmann::json json = {{"outcome", toString(answer.outcome)},
                         {"reason", answer.reason}};
  if (answer.retryAfter.count() > 0)
    json["retry_after_ms"] = (answer.retryAfter.count() + 999) / 1000;
  return json;
}

} // namespace

int statusOf(const AnswerCaller &answer) {
  switch (answer.outcome) {
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

std::string bodyOf(const AnswerCaller &answer) {
  if (answer.outcome == Outcome::Complete)
    return answer.body;
  return finalJson(answer).dump(-1, ' ', false,
                                nlohmann::json::error_handler_t::replace) +
         "\n";
}

RouteHandler::RouteHandler(HostShell *shell, const TokenCheck *tokens,
                           std::string route)
    : shell_(shell), tokens_(tokens), route_(std::move(route)) {}

std::string RouteHandler::read(Poco::Net::HTTPServerRequest &request,
                               RequestArrived *arrived, int *status) const {
  *status = Unauthorized;
  const Organisation *organisation =
      tokens_->organisation(request.get("Authorization", ""));
  if (organisation == nullptr)
    return "Authorization: wanted \"Bearer TOKEN\" of an organisation";
  const std::string named = request.get("X-Organisation", organisation->name);
  if (named != organisation->name)
    return "X-Organisation: the token belongs to another organisation";
  *status = BadRequest;
  arrived->organisation = organisation->name;
  arrived->weight = organisation->weight;
  arrived->route = route_;
  arrived->key = request.get("Idempotency-Key", "");
  arrived->firstTry = request.get("X-First-Try", "") == "true";
  if (arrived->key.size() > MaxKeyBytes)
    return fmt::format("Idempotency-Key: found {} bytes, allowed are {}",
                       arrived->key.size(), MaxKeyBytes);
  if (request.has("X-Deadline-Ms")) {
    std::int64_t millis = 0;
    const std::string text = request.get("X-Deadline-Ms");
    if (!absl::SimpleAtoi(text, &millis) || millis < 1 ||
        millis > MaxDeadlineMillis)
      return fmt::format("X-Deadline-Ms: wanted 1 to {}", MaxDeadlineMillis);
    arrived->deadline = std::chrono::milliseconds(millis);
  }
  arrived->stream =
      request.get("Accept", "").find("text/event-stream") != std::string::npos;
  const auto maxBytes =
      static_cast<std::size_t>(shell_->settings().maxBodyBytes);
  if (!readBody(request.stream(), maxBytes, &arrived->body)) {
    *status = PayloadTooLarge;
    return fmt::format("body: allowed are {} bytes", maxBytes);
  }
  const std::streamsize announced = request.getContentLength();
  const bool cut =
      announced != Poco::Net::HTTPMessage::UNKNOWN_CONTENT_LENGTH &&
      announced != static_cast<std::streamsize>(arrived->body.size());
  return cut ? "body: it was cut short" : "";
}

void RouteHandler::handleRequest(Poco::Net::HTTPServerRequest &request,
                                 Poco::Net::HTTPServerResponse &response) {
  RequestArrived arrived;
  int status = BadRequest;
  const std::string wrong = read(request, &arrived, &status);
  if (!wrong.empty()) {
    AnswerCaller rejected;
    rejected.outcome = Outcome::Rejected;
    rejected.reason = wrong;
    // What is left of the body is not read, so the connection can't go on.
    response.setKeepAlive(false);
    return sendAnswer(rejected, status, &response);
  }
  const bool stream = arrived.stream;
  const std::string name = requestName(request);
  response.set("X-Request-Id", name);
  const std::string organisation = arrived.organisation;
  const RequestId id = shell_->submit(std::move(arrived));
  logEvent(LogLevel::Info, "request_arrived",
           {{"request", id},
            {"request_id", name},
            {"route", route_},
            {"organisation", organisation}});
  try {
    if (stream)
      serveStream(id, request, response);
    else
      serveWhole(id, request, response);
  } catch (const Poco::Exception &) {
    // The connection broke while the answer was written.
    shell_->finish(id, true);
  }
}

void RouteHandler::serveWhole(RequestId id,
                              Poco::Net::HTTPServerRequest &request,
                              Poco::Net::HTTPServerResponse &response) {
  while (true) {
    const CallerDesk::Delivery delivery = shell_->wait(id, HangUpCheck);
    if (delivery.answer) {
      const bool missing = delivery.answer->outcome == Outcome::Rejected &&
                           delivery.answer->reason.rfind("no route", 0) == 0;
      sendAnswer(*delivery.answer,
                 missing ? NotFound : statusOf(*delivery.answer), &response);
      return shell_->finish(id, false);
    }
    if (hasHungUp(request))
      return shell_->finish(id, true);
  }
}

void RouteHandler::serveStream(RequestId id,
                               Poco::Net::HTTPServerRequest &request,
                               Poco::Net::HTTPServerResponse &response) {
  std::ostream *out = nullptr;
  std::string sent;
  while (true) {
    const CallerDesk::Delivery delivery = shell_->wait(id, HangUpCheck);
    const bool refused = out == nullptr && delivery.answer &&
                         delivery.answer->outcome != Outcome::Complete;
    if (refused) {
      sendAnswer(*delivery.answer, statusOf(*delivery.answer), &response);
      return shell_->finish(id, false);
    }
    const bool something = delivery.answer || !delivery.streamed.empty();
    if (out == nullptr && something) {
      response.setContentType("text/event-stream");
      response.setChunkedTransferEncoding(true);
      response.setKeepAlive(false);
      out = &response.send();
    }
    if (!delivery.streamed.empty()) {
      sent += delivery.streamed;
      *out << sse("text", {{"text", delivery.streamed}}) << std::flush;
    }
    if (delivery.answer) {
      nlohmann::json last = finalJson(*delivery.answer);
      if (delivery.answer->outcome == Outcome::Complete) {
        // What was not streamed comes with the final event.
        const std::string &whole = delivery.answer->body;
        if (whole.size() > sent.size())
          *out << sse("text", {{"text", whole.substr(sent.size())}});
        last["bytes"] = whole.size();
      }
      *out << sse("final", last) << std::flush;
      return shell_->finish(id, false);
    }
    if (hasHungUp(request) || (out != nullptr && out->bad()))
      return shell_->finish(id, true);
  }
}

} // namespace auburnspring
