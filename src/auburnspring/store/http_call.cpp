#include "auburnspring/store/http_call.h"

#include "auburnspring/store/strict_response.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/Timespan.h>
#include <absl/strings/str_cat.h>

#include <istream>
#include <ostream>

namespace auburnspring {

namespace {

Poco::Timespan toTimespan(Duration duration) {
  return Poco::Timespan(std::max<std::int64_t>(duration.count(), 1000));
}

// Reads to the end of the stream and compares the size with Content-Length,
// since a connection that closes early also ends the stream without an error.
absl::StatusOr<std::string> readBody(std::istream &stream,
                                     const Poco::Net::HTTPResponse &response,
                                     std::size_t maxBytes) {
  std::string body;
  char buffer[16384];
  while (stream.read(buffer, sizeof buffer) || stream.gcount() > 0) {
    body.append(buffer, static_cast<std::size_t>(stream.gcount()));
    if (body.size() > maxBytes)
      return absl::DataLossError("the response exceeds the size limit");
  }
  const std::streamsize contentLength = response.getContentLength();
  const bool isTruncated =
      contentLength != Poco::Net::HTTPMessage::UNKNOWN_CONTENT_LENGTH &&
      static_cast<std::streamsize>(body.size()) != contentLength;
  // A body without a length may end with its connection, but not by a reset.
  if (isTruncated || stream.bad())
    return absl::DataLossError("the response was truncated");
  return body;
}

absl::StatusOr<HttpResponse> exchange(Poco::Net::HTTPClientSession *session,
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
  StrictResponse response;
  std::istream &stream = session->receiveResponse(response);
  absl::StatusOr<std::string> body =
      readBody(stream, response, call.maxResponseBytes);
  if (!body.ok())
    return body.status();
  HttpResponse result;
  result.status = static_cast<int>(response.getStatus());
  result.body = *std::move(body);
  for (const auto &[name, value] : response)
    result.headers[name] = value;
  return result;
}

} // namespace

absl::StatusOr<HttpResponse> callHttp(const Endpoint &endpoint,
                                      const HttpCall &call) {
  Poco::Net::StreamSocket socket;
  try {
    socket.connect(Poco::Net::SocketAddress(endpoint.ip, endpoint.port),
                   toTimespan(call.connectTimeout));
    socket.setNoDelay(true);
    // POCO ignores the timeouts of a session that is built from a socket.
    socket.setSendTimeout(toTimespan(call.responseTimeout));
    socket.setReceiveTimeout(toTimespan(call.responseTimeout));
  } catch (const Poco::Exception &error) {
    return absl::UnavailableError(absl::StrCat(
        "can't connect to ", toString(endpoint), ": ", error.displayText()));
  }
  try {
    // A session that is built from a socket has no host and can't reconnect.
    Poco::Net::HTTPClientSession session(socket);
    session.setKeepAlive(false);
    return exchange(&session, endpoint, call);
  } catch (const Poco::Exception &error) {
    return absl::DataLossError(absl::StrCat("the call to ", toString(endpoint),
                                            " failed: ", error.displayText()));
  } catch (const std::exception &error) {
    return absl::DataLossError(absl::StrCat("the call to ", toString(endpoint),
                                            " failed: ", error.what()));
  }
}

bool wasNotSent(const absl::Status &status) {
  return absl::IsUnavailable(status);
}

} // namespace auburnspring
