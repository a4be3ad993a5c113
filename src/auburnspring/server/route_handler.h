#ifndef AUBURNSPRING_SERVER_ROUTE_HANDLER_H
#define AUBURNSPRING_SERVER_ROUTE_HANDLER_H

#include "auburnspring/server/token_authenticator.h"
#include "auburnspring/shell/host_runtime.h"

#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>

#include <string>

namespace auburnspring {

/// Handles one POST /v1/routes/{route} request.
class RouteHandler : public Poco::Net::HTTPRequestHandler {
public:
  RouteHandler(HostRuntime *runtime, const TokenAuthenticator *authenticator,
               std::string route);

  void handleRequest(Poco::Net::HTTPServerRequest &request,
                     Poco::Net::HTTPServerResponse &response) override;

private:
  /// Fills `arrived` from the request. Returns an error message and sets
  /// `status`, or returns "" if the request is valid.
  std::string parseRequest(Poco::Net::HTTPServerRequest &request,
                           RequestArrived *arrived, int *status) const;
  void serveBuffered(RequestId id, Poco::Net::HTTPServerRequest &request,
                     Poco::Net::HTTPServerResponse &response);
  void serveStream(RequestId id, Poco::Net::HTTPServerRequest &request,
                   Poco::Net::HTTPServerResponse &response);

  HostRuntime *runtime_;
  const TokenAuthenticator *authenticator_;
  std::string route_;
};

/// HTTP status code of a result.
int httpStatus(const RespondToCaller &result);

/// Response body of a result: the bare text if it is complete, else JSON.
std::string responseBody(const RespondToCaller &result);

} // namespace auburnspring

#endif
