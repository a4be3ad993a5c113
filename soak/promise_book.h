#ifndef AUBURNSPRING_SOAK_PROMISE_BOOK_H
#define AUBURNSPRING_SOAK_PROMISE_BOOK_H

#include "soak/calm_record.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace auburnspring::soak {

/// What a request asks for and how often it may run.
enum class CallKind { Once, Repeatable, Stream, OnceStream };

/// One request as its caller sent it.
struct SentCall {
  std::string id;
  CallKind kind = CallKind::Once;
  std::string host;
  /// Start of that host's process; tells its lives apart.
  std::uint64_t life = 0;
  /// Configuration whose route it names; 0 for a route that all have.
  std::int64_t version = 0;
  TimePoint sentAt;
  /// When it must have a final answer.
  TimePoint deadline;
};

/// How a request ended for its caller.
struct CallAnswer {
  /// 0 if the connection ended without an answer.
  int status = 0;
  bool isWhole = false;
  /// The whole body is the worker's answer to this very request.
  bool isOwnBody = false;
  bool isSigned = false;
  /// The caller closed its connection before the end.
  bool isAbandoned = false;
};

/// Bounds of the promises, as the users' pages state them.
struct PromiseBounds {
  Duration settle = std::chrono::milliseconds(3000);
  Duration drain = std::chrono::milliseconds(2000);
  Duration configuration = std::chrono::milliseconds(2000);
  Duration rollback = std::chrono::milliseconds(250);
  /// From a request's last byte to its passing on, at a planned stop.
  Duration lossSlack = std::chrono::milliseconds(200);
  Duration answerSlack = std::chrono::milliseconds(500);
  double retryRatio = 0.2;
  std::int64_t retrySlack = 40;
  Duration retryWindow = std::chrono::seconds(10);
};

/// Holds what callers and workers see of a run against what was promised.
///
/// Bounds of time hold only for hosts in touch: undisturbed, like the store,
/// from the settling time before.
class PromiseBook {
public:
  explicit PromiseBook(const PromiseBounds &bounds) : bounds_(bounds) {}

  CalmRecord &calm() { return calm_; }

  void onSent(const SentCall &call);
  /// A worker begins to work on the request.
  void onRun(const std::string &id, const std::string &pool, TimePoint at);
  /// A worker gets the request, whether or not it runs it.
  void onArrival(const std::string &id, const std::string &pool,
                 const std::string &worker, TimePoint at);
  void onAnswer(const std::string &id, const CallAnswer &answer, TimePoint at);

  /// The store has accepted a configuration, or that a worker leaves.
  void onConfiguration(std::int64_t version, TimePoint at);
  void onWorkerLeaves(const std::string &worker, TimePoint at);

  /// The host's process got SIGTERM, and ended.
  void onStopAsked(const std::string &host, TimePoint at);
  void onStopped(const std::string &host, TimePoint at);

  void breach(const std::string &promise, const std::string &what);

  /// Checks what can be told only at the end. Requests sent after `calmFrom`
  /// met no disruption.
  void close(TimePoint calmFrom);

  const std::vector<std::string> &breaches() const { return breaches_; }
  std::size_t sentCount() const { return calls_.size(); }
  std::size_t servedCount() const { return served_; }
  /// Share served of what was sent after `calmFrom`.
  double calmShare() const { return calmShare_; }

private:
  struct Call {
    SentCall sent;
    CallAnswer answer;
    bool isAnswered = false;
    TimePoint answeredAt;
    std::int64_t runs = 0;
    TimePoint firstRunAt;
    std::int64_t arrivals = 0;
  };

  bool inTouch(const std::string &host, TimePoint at) const;
  bool inTouch(const std::string &host, TimePoint from, TimePoint to) const;
  void checkRefusal(const Call &call);
  void checkBody(const Call &call);
  void checkConfiguration(const Call &call, TimePoint at, bool isServed);
  void checkCut(const Call &call);
  void checkBudget();

  PromiseBounds bounds_;
  CalmRecord calm_;
  std::map<std::string, Call> calls_;
  std::map<std::int64_t, TimePoint> configurations_;
  std::map<std::string, TimePoint> leaving_;
  /// Newest version that each life of a host has served, and when.
  std::map<std::pair<std::string, std::uint64_t>,
           std::pair<std::int64_t, TimePoint>>
      seen_;
  struct Arrival {
    TimePoint at;
    bool isRepeat;
  };
  std::map<std::string, std::vector<Arrival>> arrivals_;
  std::vector<std::string> breaches_;
  std::size_t served_ = 0;
  std::size_t held_ = 0;
  std::size_t late_ = 0;
  std::size_t cutWhenCalm_ = 0;
  double calmShare_ = 1;
};

} // namespace auburnspring::soak

#endif
