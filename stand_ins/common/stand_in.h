#ifndef STAND_INS_COMMON_STAND_IN_H
#define STAND_INS_COMMON_STAND_IN_H

#include "common/faults.h"
#include "common/stand_in_options.h"

#include <nlohmann/json.hpp>

#include <atomic>
#include <functional>
#include <map>
#include <ostream>
#include <string>

namespace standin {

struct Request {
  std::string method;
  std::string path;
  std::string query;
  std::string body;
  std::map<std::string, std::string> headers;
  /// True once the client has closed its end of the connection.
  std::function<bool()> peerClosed;
};

struct Reply {
  int status = 200;
  std::string body;
  std::map<std::string, std::string> headers;
  /// If set, the response is chunked and this function writes its body.
  std::function<void(std::ostream &out)> stream;
};

Reply jsonReply(const nlohmann::json &json, int status = 200);

/// A small HTTP server that simulates a dependency of the product. POST and
/// GET /control set and show faults and counters; all other requests go to
/// handle(), with the current faults applied.
class StandIn {
public:
  virtual ~StandIn() = default;

  /// Handles one request; called concurrently from several threads.
  virtual Reply handle(const Request &request) = 0;

  /// Counters that GET /control returns with the faults.
  virtual nlohmann::json counters() { return nlohmann::json::object(); }

  /// True for a path to which no faults apply.
  virtual bool isExemptFromFaults(const std::string &path) const {
    return path == "/healthz";
  }

  /// Whether a request decrements the fault counts. Load reports are polled at
  /// any time and would consume a fault meant for a call.
  virtual bool consumesFaultCounts(const std::string &path) const {
    return path != "/v1/load";
  }

  /// Listens until SIGTERM or SIGINT and returns the exit code.
  int run(const StandInOptions &options);

  Faults &faults() { return faults_; }
  bool isStopping() const { return stopping_; }

private:
  Faults faults_;
  std::atomic<bool> stopping_{false};
};

} // namespace standin

#endif
