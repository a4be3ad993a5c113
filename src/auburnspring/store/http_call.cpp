#include "auburnspring/store/http_call.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/Timespan.h>
#include <absl/strings/str_cat.h>

#include <istream>
#include <ostream>

namespace auburnspring {

namespace {

Poco::Timespan toTimespan(Duration span) {
  return Poco::Timespan(std::max<std::int64_t>(span.count(), 1000));
}

// Reads to the end and holds the length against what was announced, since a
// stream that is cut off ends like one that is whole.
absl::StatusOr<std::string> readWhole(std::istream &stream,
                                      const Poco::Net::HTTPResponse &response,
                                      std::size_t maxBytes) {
  std::string body;
  char buffer[16384];
  while (stream.read(buffer, sizeof buffer) || stream.gcount() > 0) {
    body.append(buffer, static_cast<std::size_t>(stream.gcount()));
    if (body.size() > maxBytes)
      return absl::DataLossError("the answer is larger than allowed");
  }
  const std::streamsize announced = response.getContentLength();
  const bool cut =
      announced != Poco::Net::HTTPMessage::UNKNOWN_CONTENT_LENGTH &&
      static_cast<std::streamsize>(body.size()) != announced;
  if (cut)
    return absl::DataLossError("the answer was cut short");
  return body;
}

absl::StatusOr<HttpAnswer> exchange(Poco::Net::HTTPClientSession *session,
                                    const Endpoint &endpoint,
                                    const HttpCall &call) {
  Poco::Net::HTTPRequest request(call.method, call.path,
                                 Poco::Net::HTTPMessage::HTTP_1_1);
  request.setHost(endpoint.ip, endpoint.port);
  for (const auto &[name, value] : call.headers)
    request.set(name, value);
  request.setContentLength(static_cast<std::streamsize>(call.body.size()));
  request.setKeepAlive(false);
  session->sendRequest(request) << call.body << std::flush;
  Poco::Net::HTTPResponse response;
  std::istream &stream = session->receiveResponse(response);
  absl::StatusOr<std::string> body =
      readWhole(stream, response, call.maxAnswerBytes);
  if (!body.ok())
    return body.status();
  HttpAnswer answer;
  answer.status = static_cast<int>(response.getStatus());
  answer.body = *std::move(body);
  for (const auto &[name, value] : response)
    answer.headers[name] = value;
  return answer;
}

} // namespace

absl::StatusOr<HttpAnswer> callHttp(const Endpoint &endpoint,
                                    const HttpCall &call) {
  Poco::Net::StreamSocket socket;
  try {
    socket.connect(Poco::Net::SocketAddress(endpoint.ip, endpoint.port),
                   toTimespan(call.connectTimeout));
    socket.setNoDelay(true);
  } catch (const Poco::Exception &error) {
    return absl::UnavailableError(absl::StrCat(
        "can't connect to ", toString(endpoint), ": ", error.displayText()));
  }
  try {
    // A session made from a socket knows no host and so can't reconnect.
    Poco::Net::HTTPClientSession session(socket);
    session.setKeepAlive(false);
    session.setTimeout(toTimespan(call.answerTimeout));
    return exchange(&session, endpoint, call);
  } catch (const Poco::Exception &error) {
    return absl::DataLossError(absl::StrCat("the exchange with ",
                                            toString(endpoint),
                                            " broke: ", error.displayText()));
  } catch (const std::exception &error) {
    return absl::DataLossError(absl::StrCat(
        "the exchange with ", toString(endpoint), " broke: ", error.what()));
  }
}

bool wasNotSent(const absl::Status &status) {
  return absl::IsUnavailable(status);
}

} // namespace auburnspring
