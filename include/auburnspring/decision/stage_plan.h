#ifndef AUBURNSPRING_DECISION_STAGE_PLAN_H
#define AUBURNSPRING_DECISION_STAGE_PLAN_H

#include "auburnspring/decision/routing_table.h"

#include <cstdint>
#include <string>
#include <vector>

namespace auburnspring {

/// How far a request has come through the stages of its route. A stage without
/// pieces is passed over, and a result that is gone sends its stage, and those
/// before it, back to the start.
class StagePlan {
public:
  /// Rounds that one stage may take.
  static constexpr std::uint32_t MaxRounds = 4;

  StagePlan() = default;
  /// `pieces` has the number of pieces of each stage; a stage that it lacks
  /// has none.
  StagePlan(std::vector<PieceStage> stages, std::vector<std::uint32_t> pieces);

  /// Stages whose predecessors are done and that have not begun; they count as
  /// begun from now on.
  std::vector<std::uint32_t> takeReady();

  /// Results that a stage works on, in order of stage and piece.
  std::vector<std::string> inputsOf(std::uint32_t stage) const;

  /// True if no other stage works on the same results.
  bool ownsInputs(std::uint32_t stage) const;

  /// Records a stage's results. Returns results of earlier stages that no
  /// later stage needs any more. A round that is over is ignored.
  std::vector<std::string> onDone(std::uint32_t stage, std::uint32_t round,
                                  std::vector<std::string> results);

  /// A result that the stage needs is gone: its predecessors start again.
  /// False if they have started too often.
  bool onInputsGone(std::uint32_t stage, std::uint32_t round);

  /// Starts everything again whose results the request itself needs.
  bool restart();

  bool isDone() const;
  /// Results that the request itself needs, in order of stage and piece.
  std::vector<std::string> finalInputs() const;
  /// Every result that is still held, and forgets them.
  std::vector<std::string> takeHeld();

  std::uint32_t pieces(std::uint32_t stage) const;
  /// Pieces of all stages that are done.
  std::uint32_t donePieces() const;
  std::uint32_t round(std::uint32_t stage) const {
    return states_[stage].round;
  }
  const std::vector<PieceStage> &stages() const { return stages_; }
  bool isStageDone(std::uint32_t stage) const { return states_[stage].done; }

  /// Longest chain of stages from this one to the end, this one included.
  std::uint32_t chainFrom(std::uint32_t stage) const;

private:
  struct State {
    std::uint32_t pieces = 0;
    std::uint32_t round = 0;
    bool begun = false;
    bool done = false;
    bool released = false;
    std::vector<std::string> results;
  };

  bool isFinal(std::uint32_t stage) const;
  bool restartStage(std::uint32_t stage);
  void passEmpty();

  std::vector<PieceStage> stages_;
  std::vector<State> states_;
};

} // namespace auburnspring

#endif
