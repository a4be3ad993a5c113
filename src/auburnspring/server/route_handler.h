#ifndef AUBURNSPRING_SERVER_ROUTE_HANDLER_H
#define AUBURNSPRING_SERVER_ROUTE_HANDLER_H

#include "auburnspring/server/token_check.h"
#include "auburnspring/shell/host_shell.h"

#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>

#include <string>

namespace auburnspring {

/// Serves one POST /v1/routes/{route}.
class RouteHandler : public Poco::Net::HTTPRequestHandler {
public:
  RouteHandler(HostShell *shell, const TokenCheck *tokens, std::string route);

  void handleRequest(Poco::Net::HTTPServerRequest &request,
                     Poco::Net::HTTPServerResponse &response) override;

private:
  /// Fills `arrived` from the request; a text that says what is wrong with it,
  /// or "" if nothing is.
  std::string read(Poco::Net::HTTPServerRequest &request,
                   RequestArrived *arrived, int *status) const;
  void serveWhole(RequestId id, Poco::Net::HTTPServerRequest &request,
                  Poco::Net::HTTPServerResponse &response);
  void serveStream(RequestId id, Poco::Net::HTTPServerRequest &request,
                   Poco::Net::HTTPServerResponse &response);

  HostShell *shell_;
  const TokenCheck *tokens_;
  std::string route_;
};

/// Status code of a final answer.
int statusOf(const AnswerCaller &answer);

/// Body of a final answer: the bare text if it is complete, else JSON.
std::string bodyOf(const AnswerCaller &answer);

} // namespace auburnspring

#endif
