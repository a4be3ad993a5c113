#ifndef AUBURNSPRING_DECISION_STAGE_PLAN_H
#define AUBURNSPRING_DECISION_STAGE_PLAN_H

#include "auburnspring/decision/routing_table.h"

#include <cstdint>
#include <string>
#include <vector>

namespace auburnspring {

/// Tracks the progress of a request through the stages of its route. Stages
/// without pieces are skipped. If a result is gone, its stage runs again, and
/// so do the predecessors whose results have been released.
class StagePlan {
public:
  /// Attempts that one stage may take.
  static constexpr std::uint32_t MaxStageAttempts = 4;

  StagePlan() = default;
  /// `pieces` has the number of pieces of each stage; stages beyond its end
  /// have none.
  StagePlan(std::vector<PieceStage> stages, std::vector<std::uint32_t> pieces);

  /// Returns the stages that have not started and whose predecessors are done,
  /// and marks them as started.
  std::vector<std::uint32_t> takeReady();

  /// Results of the stage's predecessors, in order of stage and piece.
  std::vector<std::string> inputsOf(std::uint32_t stage) const;

  /// True if the stage has predecessors and no other stage uses their results.
  bool hasExclusiveInputs(std::uint32_t stage) const;

  /// Records a stage's results. Returns the results that can be freed: those of
  /// predecessors that no stage uses any more, or `results` themselves if they
  /// belong to an outdated attempt.
  std::vector<std::string> onStageDone(std::uint32_t stage,
                                       std::uint32_t attempt,
                                       std::vector<std::string> results);

  /// Runs the stage and its predecessors again because a result that it needs
  /// is gone. False if one of them has no attempts left; the stage then never
  /// runs again.
  bool onInputsGone(std::uint32_t stage, std::uint32_t attempt);

  /// A stage ended without results. It starts again with the next ready ones
  /// while it has attempts left.
  void onStageFailed(std::uint32_t stage, std::uint32_t attempt);

  /// Runs the final stages again, and those whose results they lack. False,
  /// without a change, if a stage has no attempts left.
  bool restartFinalStages();
  bool canRestartFinalStages() const;

  bool isDone() const;
  /// True if all stages are done and no result of the final ones was released.
  bool holdsFinalResults() const;
  /// Results of the final stages, in order of stage and piece.
  std::vector<std::string> finalResults() const;
  /// Removes and returns all results that have not been released.
  std::vector<std::string> takeHeldResults();

  std::uint32_t pieces(std::uint32_t stage) const;
  /// Total pieces of the stages that are done.
  std::uint32_t donePieces() const;
  std::uint32_t attempt(std::uint32_t stage) const {
    return states_[stage].attempt;
  }
  const std::vector<PieceStage> &stages() const { return stages_; }
  bool isStageDone(std::uint32_t stage) const { return states_[stage].done; }

  /// Number of stages on the longest path from this stage to the end, this one
  /// included.
  std::uint32_t longestPathFrom(std::uint32_t stage) const;

private:
  struct State {
    std::uint32_t pieces = 0;
    std::uint32_t attempt = 0;
    bool started = false;
    bool done = false;
    bool released = false;
    std::vector<std::string> results;
  };

  /// True if no stage uses the results of this one.
  bool isFinal(std::uint32_t stage) const;
  /// True if the stage is running or may run again.
  bool canRestart(std::uint32_t stage) const;
  bool canProvideInputs(std::uint32_t stage) const;
  /// Must follow a successful canRestart().
  void restartStage(std::uint32_t stage);
  /// True if the attempt of the stage is the latest one and has not ended.
  bool isCurrent(std::uint32_t stage, std::uint32_t attempt) const;
  void skipEmptyStages();

  std::vector<PieceStage> stages_;
  std::vector<State> states_;
};

} // namespace auburnspring

#endif
