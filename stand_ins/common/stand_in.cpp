#include "common/stand_in.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/ThreadPool.h>
#include <fmt/format.h>

#include <chrono>
#include <csignal>
#include <fstream>
#include <iterator>
#include <thread>

namespace standin {

namespace {

constexpr int MaxThreads = 1024;
constexpr auto FreezePollInterval = std::chrono::milliseconds(5);

using Poco::Net::HTTPServerRequest;
using Poco::Net::HTTPServerResponse;

Poco::Net::StreamSocket &socketOf(HTTPServerRequest &request) {
  return dynamic_cast<Poco::Net::HTTPServerRequestImpl &>(request).socket();
}

bool isPeerClosed(Poco::Net::StreamSocket &socket) {
  try {
    if (!socket.poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ))
      return false;
    char byte = 0;
    return socket.receiveBytes(&byte, 1, MSG_PEEK) == 0;
  } catch (const Poco::Exception &) {
    return true;
  }
}

class Handler : public Poco::Net::HTTPRequestHandler {
public:
  explicit Handler(StandIn *standIn) : standIn_(standIn) {}

  void handleRequest(HTTPServerRequest &request,
                     HTTPServerResponse &response) override {
    const Request parsed = readRequest(request);
    if (parsed.path == "/control")
      return send(control(parsed), &response);
    if (standIn_->isExemptFromFaults(parsed.path))
      return send(standIn_->handle(parsed), &response);
    FaultDecision fault =
        standIn_->faults().next(standIn_->consumesFaultCounts(parsed.path));
    std::this_thread::sleep_for(std::chrono::milliseconds(fault.delayMillis));
    while (standIn_->faults().isFrozen() && !standIn_->isStopping())
      std::this_thread::sleep_for(FreezePollInterval);
    if (fault.fail)
      return send(jsonReply({{"error", "injected fault"}}, 500), &response);
    Reply reply = standIn_->handle(parsed);
    // A freeze that starts during handle() also holds back the response.
    while (standIn_->faults().isFrozen() && !standIn_->isStopping())
      std::this_thread::sleep_for(FreezePollInterval);
    if (fault.dropResponse)
      return closeWithoutResponse(request, &response);
    if (fault.truncate && !reply.stream)
      return sendTruncated(reply, request, &response);
    send(reply, &response, fault.truncate);
  }

private:
  static Request readRequest(HTTPServerRequest &request) {
    Request parsed;
    parsed.method = request.getMethod();
    const std::string &uri = request.getURI();
    const std::size_t queryStart = uri.find('?');
    parsed.path = uri.substr(0, queryStart);
    parsed.query =
        queryStart == std::string::npos ? "" : uri.substr(queryStart + 1);
    std::istream &stream = request.stream();
    parsed.body.assign(std::istreambuf_iterator<char>(stream),
                       std::istreambuf_iterator<char>());
    for (const auto &[name, value] : request)
      parsed.headers[name] = value;
    parsed.peerClosed = [&request] { return isPeerClosed(socketOf(request)); };
    return parsed;
  }

  Reply control(const Request &request) {
    if (request.method == "POST") {
      const nlohmann::json json =
          nlohmann::json::parse(request.body, nullptr, false);
      const std::string errorText = json.is_object()
                                        ? standIn_->faults().set(json)
                                        : "expected a JSON object";
      if (!errorText.empty())
        return jsonReply({{"error", errorText}}, 400);
    }
    return jsonReply({{"faults", standIn_->faults().get()},
                      {"counters", standIn_->counters()}});
  }

  static void send(const Reply &reply, HTTPServerResponse *response,
                   bool truncateStream = false) {
    response->setStatusAndReason(
        static_cast<Poco::Net::HTTPResponse::HTTPStatus>(reply.status));
    for (const auto &[name, value] : reply.headers)
      response->set(name, value);
    response->setKeepAlive(false);
    if (!reply.stream) {
      response->setContentLength(
          static_cast<std::streamsize>(reply.body.size()));
      response->send() << reply.body << std::flush;
      return;
    }
    response->setChunkedTransferEncoding(true);
    std::ostream &out = response->send();
    if (!truncateStream)
      reply.stream(out);
  }

  static void sendTruncated(const Reply &reply, HTTPServerRequest &request,
                            HTTPServerResponse *response) {
    response->setContentLength(static_cast<std::streamsize>(reply.body.size()));
    response->send() << reply.body.substr(0, reply.body.size() / 2)
                     << std::flush;
    socketOf(request).shutdown();
  }

  static void closeWithoutResponse(HTTPServerRequest &request,
                                   HTTPServerResponse *response) {
    response->setKeepAlive(false);
    socketOf(request).shutdown();
  }

  StandIn *standIn_;
};

class HandlerFactory : public Poco::Net::HTTPRequestHandlerFactory {
public:
  explicit HandlerFactory(StandIn *standIn) : standIn_(standIn) {}

  Poco::Net::HTTPRequestHandler *
  createRequestHandler(const HTTPServerRequest & /*request*/) override {
    return new Handler(standIn_);
  }

private:
  StandIn *standIn_;
};

// Written to a temporary file and renamed, so that a reader never sees a
// partial file.
void writePort(const std::string &file, std::uint16_t port) {
  if (file.empty())
    return;
  const std::string temporary = file + ".part";
  std::ofstream(temporary) << port << "\n";
  std::rename(temporary.c_str(), file.c_str());
}

} // namespace

Reply jsonReply(const nlohmann::json &json, int status) {
  Reply reply;
  reply.status = status;
  reply.body =
      json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  reply.headers["Content-Type"] = "application/json";
  return reply;
}

int StandIn::run(const StandInOptions &options) {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
  try {
    Poco::ThreadPool pool(8, MaxThreads);
    Poco::Net::ServerSocket socket(
        Poco::Net::SocketAddress(options.listen.ip, options.listen.port), 1024);
    auto *params = new Poco::Net::HTTPServerParams();
    params->setMaxThreads(MaxThreads);
    params->setMaxQueued(4096);
    params->setKeepAlive(false);
    Poco::Net::HTTPServer server(new HandlerFactory(this), pool, socket,
                                 params);
    server.start();
    writePort(options.portFile, socket.address().port());
    fmt::print(stderr, "level=info event=listening port={}\n",
               socket.address().port());
    int signal = 0;
    sigwait(&signals, &signal);
    stopping_ = true;
    server.stopAll(true);
  } catch (const Poco::Exception &error) {
    fmt::print(stderr, "level=error event=start_failed error=\"{}\"\n",
               error.displayText());
    return 1;
  }
  return 0;
}

} // namespace standin
