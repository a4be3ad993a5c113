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
  /// True once the peer has closed its end.
  std::function<bool()> hungUp;
};

struct Reply {
  int status = 200;
  std::string body;
  std::map<std::string, std::string> headers;
  /// If set, the answer is chunked and this writes it.
  std::function<void(std::ostream &out)> stream;
};

Reply jsonReply(const nlohmann::json &json, int status = 200);

/// A small HTTP server that obeys POST /control and GET /control; all else
/// goes to handle(), past the faults that are set.
class StandIn {
public:
  virtual ~StandIn() = default;

  /// Answers one request. Several threads call it.
  virtual Reply handle(const Request &request) = 0;

  /// Counters that GET /control shows beside the faults.
  virtual nlohmann::json counters() { return nlohmann::json::object(); }

  /// True for a path that faults don't touch.
  virtual bool isBeyondFaults(const std::string &path) const {
    return path == "/healthz";
  }

  /// Whether a request takes one of a counted number of faults. Load reports
  /// come at any time and would take one that is meant for a call.
  virtual bool usesUpFaults(const std::string &path) const {
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
