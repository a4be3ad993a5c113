#ifndef AUBURNSPRING_DECISION_PROMPT_BANDS_H
#define AUBURNSPRING_DECISION_PROMPT_BANDS_H

#include <array>
#include <cstddef>
#include <cstdint>

namespace auburnspring {

/// Part of a pool, from 0 to 1, whose engines serve prompts of some length.
struct PromptBand {
  double from = 0;
  double to = 1;

  bool contains(double position) const {
    return position >= from && position <= to;
  }
  /// Distance of a position from the band; 0 within it.
  double distance(double position) const {
    return position < from ? from - position
                           : (position > to ? position - to : 0);
  }
};

/// Divides a pool by prompt length, so that each band has its share of the
/// prefill work. It follows the lengths of the prompts that this host sends.
class PromptBands {
public:
  /// Records a prompt. Beyond `maxTokens` its length adds no weight.
  void observe(std::int64_t promptTokens, std::int64_t maxTokens);
  /// The band of a prompt in a pool of so many engines. It is the wider, the
  /// less is known of the mix.
  PromptBand band(std::int64_t promptTokens, std::size_t engines) const;

private:
  /// Two classes of length an octave, from 128 tokens.
  static constexpr std::size_t Classes = 24;
  static std::size_t classOf(std::int64_t promptTokens);

  /// Prefill work by class of length, in tokens; old prompts count less.
  std::array<double, Classes> work_{};
  double prompts_ = 0;
};

} // namespace auburnspring

#endif
