#include "auburnspring/decision/prompt_bands.h"

#include <algorithm>
#include <cmath>

namespace auburnspring {

namespace {

/// Factor by which the weight of a prompt falls with each later one.
constexpr double Retention = 0.995;
constexpr double SmallestTokens = 128;
constexpr double ClassesPerOctave = 2;
/// A band has at least so many engines on either side of its middle.
constexpr double MinEngines = 1.5;

} // namespace

std::size_t PromptBands::classOf(std::int64_t promptTokens) {
  const double octaves =
      std::log2(std::max(static_cast<double>(promptTokens), SmallestTokens) /
                SmallestTokens);
  return std::min(static_cast<std::size_t>(octaves * ClassesPerOctave),
                  Classes - 1);
}

void PromptBands::observe(std::int64_t promptTokens, std::int64_t maxTokens) {
  for (double &work : work_)
    work *= Retention;
  prompts_ = prompts_ * Retention + 1;
  work_[classOf(promptTokens)] +=
      static_cast<double>(std::min(promptTokens, maxTokens));
}

PromptBand PromptBands::band(std::int64_t promptTokens,
                             std::size_t engines) const {
  double before = 0;
  double total = 0;
  const std::size_t own = classOf(promptTokens);
  for (std::size_t i = 0; i < Classes; ++i) {
    total += work_[i];
    if (i < own)
      before += work_[i];
  }
  if (total <= 0 || engines == 0)
    return {};
  const double margin = std::max(1 / std::sqrt(prompts_),
                                 MinEngines / static_cast<double>(engines));
  return {before / total - margin, (before + work_[own]) / total + margin};
}

} // namespace auburnspring
