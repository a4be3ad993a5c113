#ifndef AUBURNSPRING_DECISION_REQUEST_RUN_H
#define AUBURNSPRING_DECISION_REQUEST_RUN_H

#include "auburnspring/decision/run_context.h"
#include "auburnspring/decision/step.h"

#include <memory>
#include <string>
#include <vector>

namespace auburnspring {

/// One request from its arrival to its one final answer, and on until its last
/// attempt has ended. Its host calls it under the lock of the request's table.
class RequestRun {
public:
  RequestRun(RequestArrived arrived, std::shared_ptr<const LiveRoute> route,
             Instant now);

  void start(const RunContext &context, Step *step);
  void onSlot(const SlotGranted &granted, const RunContext &context,
              Step *step);
  void onSucceeded(const AttemptSucceeded &event, const RunContext &context,
                   Step *step);
  void onFailed(const AttemptFailed &event, const RunContext &context,
                Step *step);
  void onProgress(const AttemptProgress &event, Step *step);
  void onClaim(const ClaimDecided &event, const RunContext &context,
               Step *step);
  void onCallerGone(const RunContext &context, Step *step);
  void onTime(const RunContext &context, Step *step);

  /// True when the host may forget the run.
  bool isOver() const;

  /// True until the caller has its final answer.
  bool isOpen() const { return !answered_; }

  /// When onTime has something to do next.
  TimePoint wakeAt() const;

  /// Attempts that have not ended, for drains and dumps.
  void collectUpstreams(std::vector<std::string> *names) const;

private:
  struct LiveAttempt {
    AttemptId id;
    WorkerPtr worker;
    std::shared_ptr<PoolState> pool;
    TimePoint startedAt;
    bool once = false;
    bool cancelled = false;
    /// Text received by stream, from the start of the part's answer.
    std::string received;
    /// A gap in the stream was seen; only the final text counts.
    bool gap = false;
  };

  struct PartRun {
    bool done = false;
    std::uint32_t attempts = 0;
    std::string result;
    /// Text kept from an attempt that broke off; the next continues after it.
    std::string kept;
    std::vector<std::string> failedOn;
    TimePoint hedgeAt = TimePoint::max();
  };

  enum class Phase { Claiming, AwaitingOther, Running, Finished };

  const Route &route() const { return *live_->route; }
  const Stage &stage() const { return route().stages[stage_]; }
  bool isOnceStage() const { return route().runsOnce(stage()); }
  static void cancel(LiveAttempt *attempt, Step *step);
  std::shared_ptr<const Pool> pool(const std::string &name,
                                   const RunContext &context) const;

  Duration expectedFrom(std::size_t stage, double quantile) const;
  bool cannotFinish(TimePoint now, double quantile) const;
  double startQuantile() const;
  Duration expectedWait(const RunContext &context) const;
  std::size_t liveOn(std::uint32_t part) const;

  void admit(const RunContext &context, Step *step);
  void askForClaim(bool refresh, const RunContext &context, Step *step);
  void lookAgainLater(Step *step);
  void relay(const ClaimDecided &event, const RunContext &context, Step *step);
  void beginStage(std::size_t index, const RunContext &context, Step *step);
  void askForSlot(std::uint32_t part, const RunContext &context, Step *step);
  SlotRequest slotRequest(std::uint32_t part) const;
  void dispatch(std::uint32_t part, const RunContext &context, Step *step);
  StartAttempt attemptAction(const LiveAttempt &attempt) const;
  void setHedge(PartRun *part, TimePoint now) const;
  LiveAttempt *find(const AttemptId &id);
  LiveAttempt end(LiveAttempt *attempt, Step *step);
  void finishPart(std::uint32_t part, std::string text,
                  const RunContext &context, Step *step);
  void joinStage(const RunContext &context, Step *step);
  void noteEnd(const LiveAttempt &attempt, const AttemptFailed &event,
               Step *step) const;
  void retryPart(const LiveAttempt &attempt, const RunContext &context,
                 Step *step);
  void hedge(std::uint32_t part, const RunContext &context, Step *step);
  void cancelPart(std::uint32_t part, Step *step);
  void cancelAll(Step *step);
  void complete(const RunContext &context, Step *step);
  void giveUp(const std::string &reason, const RunContext &context, Step *step);
  void reject(const std::string &reason, const RunContext &context, Step *step);
  void answer(AnswerCaller answer, const RunContext &context, Step *step);
  void settle(const RunContext &context, Step *step);
  bool mayHaveRunEarlier() const;
  Duration comeBackAfter(const RunContext &context) const;
  void countCost(const LiveAttempt &attempt, const Usage &usage, bool useful);
  StageCost &costOf(const AttemptId &id) const;

  RequestArrived arrived_;
  std::shared_ptr<const LiveRoute> live_;
  std::string scopedKey_;
  std::string nonce_;
  std::string bodyDigest_;
  TimePoint arrivedAt_;
  TimePoint deadline_;
  Phase phase_ = Phase::Running;
  std::size_t stage_ = 0;
  std::shared_ptr<PoolState> stagePool_;
  std::vector<PartRun> parts_;
  std::vector<LiveAttempt> attempts_;
  /// Joined result of the stage before.
  std::string context_;
  bool answered_ = false;
  /// The ledger holds a claim for this run that is not settled.
  bool claimed_ = false;
  bool claimPending_ = false;
  /// The ledger has shown that no earlier call with the key has run.
  bool keyIsFresh_ = false;
  /// Another host holds the key and may run or have run it.
  bool otherMayRun_ = false;
  /// Attempts that have or may have run.
  int mayHaveRun_ = 0;
  bool onceMayHaveRun_ = false;
  std::uint64_t streamedBytes_ = 0;
  TimePoint lookAgainAt_ = TimePoint::max();
  Duration lookAgainWait_{0};
};

} // namespace auburnspring

#endif
