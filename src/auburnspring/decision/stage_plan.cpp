#include "auburnspring/decision/stage_plan.h"

#include <algorithm>
#include <utility>

namespace auburnspring {

StagePlan::StagePlan(std::vector<PieceStage> stages,
                     std::vector<std::uint32_t> pieces)
    : stages_(std::move(stages)), states_(stages_.size()) {
  for (std::size_t i = 0; i < stages_.size(); ++i)
    states_[i].pieces = i < pieces.size() ? pieces[i] : 0;
  skipEmptyStages();
}

void StagePlan::skipEmptyStages() {
  for (State &state : states_)
    if (state.pieces == 0)
      state.started = state.done = true;
}

std::vector<std::uint32_t> StagePlan::takeReady() {
  std::vector<std::uint32_t> ready;
  for (std::uint32_t i = 0; i < stages_.size(); ++i) {
    if (states_[i].started)
      continue;
    const bool canStart = std::all_of(stages_[i].dependencies.begin(),
                                      stages_[i].dependencies.end(),
                                      [this](std::uint32_t predecessor) {
                                        return states_[predecessor].done;
                                      });
    if (!canStart)
      continue;
    states_[i].started = true;
    ready.push_back(i);
  }
  return ready;
}

std::vector<std::string> StagePlan::inputsOf(std::uint32_t stage) const {
  std::vector<std::string> inputs;
  for (const std::uint32_t predecessor : stages_[stage].dependencies)
    inputs.insert(inputs.end(), states_[predecessor].results.begin(),
                  states_[predecessor].results.end());
  return inputs;
}

bool StagePlan::hasExclusiveInputs(std::uint32_t stage) const {
  for (std::uint32_t i = 0; i < stages_.size(); ++i)
    for (const std::uint32_t predecessor : stages_[stage].dependencies)
      if (i != stage && states_[i].pieces > 0 &&
          std::find(stages_[i].dependencies.begin(),
                    stages_[i].dependencies.end(),
                    predecessor) != stages_[i].dependencies.end())
        return false;
  return !stages_[stage].dependencies.empty();
}

bool StagePlan::isFinal(std::uint32_t stage) const {
  return std::none_of(
      stages_.begin(), stages_.end(), [stage](const PieceStage &later) {
        return std::find(later.dependencies.begin(), later.dependencies.end(),
                         stage) != later.dependencies.end();
      });
}

std::vector<std::string>
StagePlan::onStageDone(std::uint32_t stage, std::uint32_t attempt,
                       std::vector<std::string> results) {
  if (stage >= states_.size() || states_[stage].attempt != attempt ||
      states_[stage].done)
    return results;
  states_[stage].done = true;
  states_[stage].results = std::move(results);
  std::vector<std::string> toFree;
  for (const std::uint32_t predecessor : stages_[stage].dependencies) {
    if (isFinal(predecessor) || states_[predecessor].released)
      continue;
    const bool isNeeded =
        std::any_of(stages_.begin(), stages_.end(), [&](const PieceStage &s) {
          const auto i = static_cast<std::size_t>(&s - stages_.data());
          return !states_[i].done &&
                 std::find(s.dependencies.begin(), s.dependencies.end(),
                           predecessor) != s.dependencies.end();
        });
    if (isNeeded)
      continue;
    states_[predecessor].released = true;
    std::vector<std::string> freed = std::move(states_[predecessor].results);
    states_[predecessor].results.clear();
    toFree.insert(toFree.end(), freed.begin(), freed.end());
  }
  return toFree;
}

bool StagePlan::canRestart(std::uint32_t stage) const {
  const State &state = states_[stage];
  if (state.pieces == 0)
    return true;
  const std::uint32_t next = state.attempt + (state.done ? 1 : 0);
  return next < MaxStageAttempts && canProvideInputs(stage);
}

bool StagePlan::canProvideInputs(std::uint32_t stage) const {
  const auto &dependencies = stages_[stage].dependencies;
  return std::all_of(dependencies.begin(), dependencies.end(),
                     [this](std::uint32_t predecessor) {
                       const State &state = states_[predecessor];
                       return (state.done && !state.released) ||
                              canRestart(predecessor);
                     });
}

void StagePlan::restartStage(std::uint32_t stage) {
  State &state = states_[stage];
  if (state.pieces == 0)
    return;
  if (state.done) {
    ++state.attempt;
    state.started = state.done = state.released = false;
    state.results.clear();
  }
  for (const std::uint32_t predecessor : stages_[stage].dependencies)
    if (states_[predecessor].released)
      restartStage(predecessor);
}

bool StagePlan::onInputsGone(std::uint32_t stage, std::uint32_t attempt) {
  if (!isCurrent(stage, attempt))
    return true;
  State &state = states_[stage];
  ++state.attempt;
  const auto &dependencies = stages_[stage].dependencies;
  const bool mayRun = state.attempt < MaxStageAttempts &&
                      std::all_of(dependencies.begin(), dependencies.end(),
                                  [this](std::uint32_t predecessor) {
                                    return canRestart(predecessor);
                                  });
  if (!mayRun) {
    state.attempt = MaxStageAttempts;
    return false;
  }
  state.started = false;
  for (const std::uint32_t predecessor : dependencies)
    restartStage(predecessor);
  return true;
}

void StagePlan::onStageFailed(std::uint32_t stage, std::uint32_t attempt) {
  if (!isCurrent(stage, attempt))
    return;
  State &state = states_[stage];
  ++state.attempt;
  state.started = state.attempt >= MaxStageAttempts;
}

bool StagePlan::isCurrent(std::uint32_t stage, std::uint32_t attempt) const {
  return stage < states_.size() && states_[stage].attempt == attempt &&
         !states_[stage].done;
}

bool StagePlan::canRestartFinalStages() const {
  for (std::uint32_t i = 0; i < stages_.size(); ++i)
    if (isFinal(i) && !canRestart(i))
      return false;
  return true;
}

bool StagePlan::restartFinalStages() {
  if (!canRestartFinalStages())
    return false;
  for (std::uint32_t i = 0; i < stages_.size(); ++i)
    if (isFinal(i))
      restartStage(i);
  return true;
}

bool StagePlan::isDone() const {
  return std::all_of(states_.begin(), states_.end(),
                     [](const State &state) { return state.done; });
}

bool StagePlan::holdsFinalResults() const {
  for (std::uint32_t i = 0; i < stages_.size(); ++i)
    if (isFinal(i) && states_[i].released)
      return false;
  return isDone();
}

std::vector<std::string> StagePlan::finalResults() const {
  std::vector<std::string> results;
  for (std::uint32_t i = 0; i < stages_.size(); ++i)
    if (isFinal(i))
      results.insert(results.end(), states_[i].results.begin(),
                     states_[i].results.end());
  return results;
}

std::vector<std::string> StagePlan::takeHeldResults() {
  std::vector<std::string> held;
  for (State &state : states_) {
    held.insert(held.end(), state.results.begin(), state.results.end());
    if (state.done && state.pieces > 0)
      state.released = true;
    state.results.clear();
  }
  return held;
}

std::uint32_t StagePlan::pieces(std::uint32_t stage) const {
  return states_[stage].pieces;
}

std::uint32_t StagePlan::donePieces() const {
  std::uint32_t pieces = 0;
  for (const State &state : states_)
    pieces += state.done ? state.pieces : 0;
  return pieces;
}

std::uint32_t StagePlan::longestPathFrom(std::uint32_t stage) const {
  std::uint32_t longest = 0;
  for (std::uint32_t i = 0; i < stages_.size(); ++i)
    if (states_[i].pieces > 0 &&
        std::find(stages_[i].dependencies.begin(),
                  stages_[i].dependencies.end(),
                  stage) != stages_[i].dependencies.end())
      longest = std::max(longest, longestPathFrom(i));
  return longest + 1;
}

} // namespace auburnspring
