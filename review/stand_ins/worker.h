#ifndef AUBURNSPRING_REVIEW_WORKER_H
#define AUBURNSPRING_REVIEW_WORKER_H

#include "record.h"

#include "auburnspring/http/server.h"
#include "platform/testing/fake_store_server.h"

#include <asio/steady_timer.hpp>

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace review {

using auburnspring::Duration;
using auburnspring::Endpoint;
using Store = auburnspring::platform::FakeStoreServer;
using Exchange = std::shared_ptr<auburnspring::http::Exchange>;

/// Results of stages that are held, by handle.
using HeldResults = std::map<std::string, Clock::time_point>;

/// What all workers of a service have in common.
struct Service {
  std::string name;
  enum class Kind { Calls, Stage, Model } kind = Kind::Calls;
  int slots = 6;
  int queue = 24;
  /// Calls: work of one request. Model: time to the first event, events, and
  /// the pause between them.
  Duration work = std::chrono::milliseconds(15);
  int events = 10;
  Duration gap = std::chrono::milliseconds(50);
  /// Stage: time of a call, and of each piece.
  Duration call = std::chrono::milliseconds(240);
  Duration piece = std::chrono::milliseconds(21);
  /// While it is cold, a worker crashes under more than this many requests a
  /// second, over two seconds; 0: it bears any number.
  int coldCrashesAbove = 0;
  /// It is cold for this long after a start.
  Duration coldTime{0};
};

/// A worker that behaves as the pages say, and registers itself in the store.
class Worker {
public:
  Worker(asio::io_context &io, Store *store, Record *record, Service service,
         std::string id, std::string zone, HeldResults *results);

  /// Writes its entry.
  void publish();
  const std::string &id() const { return id_; }
  std::string address() const;

  /// Works this many times as long.
  void setSlowness(double factor) { slowness_ = factor; }
  double slowness() const { return slowness_; }
  /// Becomes cold for this long, and says so in its entry and its health
  /// responses.
  void becomeCold(Duration span);
  bool isCold() const { return Clock::now() < coldUntil_; }

  /// Called when a request begins to run.
  std::function<void(const std::string &id)> onRun;
  /// Called when a request arrives that is no health check.
  std::function<void(const std::string &id)> onArrival;
  std::function<void()> onCrash;

private:
  struct Call {
    Exchange exchange;
    std::string id;
  };

  void handle(const Exchange &exchange);
  void admit(const Exchange &exchange, const std::string &id);
  void startNext();
  void run(const Call &call);
  void runPieces(const Call &call);
  void runStream(const Call &call);
  void writeEvent(const Call &call, int number);
  void end(const Call &call);
  void after(Duration span, std::function<void()> action);
  void reject(const Exchange &exchange, int status) const;
  void countWhileCold();
  void crash();
  bool holdsInputs(const Exchange &exchange) const;
  auburnspring::http::ResponseHead signedHead(const std::string &id) const;

  asio::io_context &io_;
  Store *store_;
  Record *record_;
  Service service_;
  std::string id_;
  std::string zone_;
  HeldResults *results_;
  std::unique_ptr<auburnspring::http::Server> server_;
  Endpoint endpoint_;
  std::int64_t startedAtMillis_;
  std::int64_t sequence_ = 1;
  double slowness_ = 1;
  Clock::time_point coldUntil_;
  std::deque<Clock::time_point> coldArrivals_;
  bool isDown_ = false;
  std::deque<Call> waiting_;
  std::set<Exchange> running_;
  std::uint64_t nextHandle_ = 1;
  /// Grows with each crash; what was begun before has no effect.
  std::uint64_t lifetime_ = 0;
};

} // namespace review

#endif
