#ifndef AUBURNSPRING_REVIEW_STAND_INS_3_CALLER_H
#define AUBURNSPRING_REVIEW_STAND_INS_3_CALLER_H

#include "record.h"

#include "auburnspring/config/settings.h"
#include "auburnspring/http/client_call.h"
#include "auburnspring/http/timer.h"

#include <asio/io_context.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace auburnspring::review {

/// Sends requests to hosts, each on a channel of its own, and records how they
/// end.
class Caller {
public:
  struct Request {
    Endpoint host;
    std::string id;
    std::string method = "GET";
    std::string path;
    Duration patience{0};
    http::HeaderList headers;
    std::string body;
  };
  struct Result {
    int status = 0;
    bool isComplete = false;
    std::string body;
  };
  using Handler = std::function<void(const Request &, const Result &)>;

  Caller(asio::io_context &io, Record *record, Handler handler)
      : io_(io), record_(record), handler_(std::move(handler)) {}

  void send(const Request &request);
  std::size_t inProgress() const { return calls_.size(); }

private:
  struct Call {
    explicit Call(asio::io_context &io) : timer(io) {}
    Request request;
    Result result;
    std::unique_ptr<http::ClientCall> http;
    http::Timer timer;
  };

  void finish(const std::string &id, const std::string &why);

  asio::io_context &io_;
  Record *record_;
  Handler handler_;
  std::map<std::string, std::shared_ptr<Call>> calls_;
};

} // namespace auburnspring::review

#endif
