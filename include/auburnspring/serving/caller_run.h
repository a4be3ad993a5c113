#ifndef AUBURNSPRING_SERVING_CALLER_RUN_H
#define AUBURNSPRING_SERVING_CALLER_RUN_H

#include "auburnspring/decision/stage_plan.h"
#include "auburnspring/http/exchange.h"
#include "auburnspring/serving/attempt.h"
#include "auburnspring/serving/event_splitter.h"
#include "auburnspring/serving/serving_context.h"

#include <asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace auburnspring {

/// One request of a caller from its arrival to its final answer: stages first,
/// then one attempt at a time at the upstreams of its route. A repeatable plain
/// call may have a second attempt beside a slow first one.
class CallerRun : public std::enable_shared_from_this<CallerRun> {
public:
  using Finished = std::function<void(CallerRun *)>;

  /// When a caller may come back after a refusal without a better estimate.
  static constexpr Duration DefaultReturn = std::chrono::milliseconds(300);

  CallerRun(ServingContext *context, std::shared_ptr<http::Exchange> exchange,
            Finished finished);

  void start();
  /// The host is about to stop: the caller gets the best answer there is.
  void endWithHost();

private:
  // Arrival.
  bool admit();
  void chooseUpstreamPool();
  void onCallerGone();
  void onDeadline();
  void endNow(int statusIfRun, std::string_view reason);

  // Stages.
  void startStages();
  void submitReady();
  void onStage(PieceOutcome outcome, const std::string &pool, TimePoint since);
  PieceJob jobFor(std::uint32_t stage);
  Duration stageTime(std::uint32_t stage) const;
  Duration restAfter(std::uint32_t stage) const;
  Duration returnAfter(Duration backlog) const;
  double density(std::uint32_t stage) const;
  std::string dataCentreFor(std::uint32_t stage);
  void releaseResults(const std::vector<std::string> &results);

  // Attempts.
  void dispatch();
  ServedUpstreamPtr place(const std::vector<std::string> &inputs);
  void startAttempt(const ServedUpstreamPtr &upstream);
  UpstreamTerms termsFor(const ServedUpstream &upstream) const;
  void onBody(Attempt *attempt, std::string_view bytes);
  void onEvents(Attempt *attempt, std::string_view bytes);
  void onAttemptEnd(Attempt *attempt);
  void onStreamEnd(Attempt *attempt);
  void redoInputs(Attempt *attempt);
  void next(const AttemptReport &report, Attempt *attempt);
  void noteHealth(Attempt *attempt);
  void armHedge();
  void onHedge();
  void armStall();
  void onStall();
  bool spendRepeat();
  bool hasLiveAttempt() const;

  // Answers.
  void relay(Attempt *attempt);
  void refuse(int status, std::string_view reason,
              std::optional<Duration> retryAfter = std::nullopt);
  void abortStream(std::string_view reason);
  void finish(const std::string &outcome, int status, std::string_view reason);
  Duration timeLeft() const;

  ServingContext *context_;
  std::shared_ptr<http::Exchange> exchange_;
  Finished finished_;
  std::shared_ptr<const RoutingTable> table_;
  const ServedRoute *route_ = nullptr;
  const ServedPool *pool_ = nullptr;
  std::string poolName_;
  std::string organisation_;
  std::int64_t priority_ = 0;
  CallerRequest request_;
  TimePoint deadline_;
  /// An answer, or a stream's first event, is in time up to here.
  TimePoint goalAt_;
  StagePlan plan_;
  TimePoint stagesDoneAt_;
  std::vector<std::unique_ptr<Attempt>> attempts_;
  std::vector<std::string> tried_;
  std::int64_t ran_ = 0;
  asio::steady_timer deadlineTimer_;
  asio::steady_timer paceTimer_;
  EventSplitter splitter_;
  std::optional<std::int64_t> lastEvent_;
  bool streamBegun_ = false;
  bool callerGone_ = false;
  bool done_ = false;
};

} // namespace auburnspring

#endif
