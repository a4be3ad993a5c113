#include "auburnspring/decision/request_urgency.h"

namespace auburnspring {

namespace {

constexpr int Usual = 5;
constexpr int LittleSlack = 3;
constexpr int Long = 6;
constexpr int Late = 7;
/// Slack below this share of the target is little.
constexpr std::int64_t LittleSlackDivisor = 4;

} // namespace

int requestUrgency(const UrgencyInput &input) {
  if (input.target <= Duration(0))
    return Usual;
  const Duration slack = input.timeToTarget - input.firstEvent;
  if (slack < Duration(0))
    return Late;
  if (slack < input.target / LittleSlackDivisor)
    return LittleSlack;
  const bool isLong =
      input.eventGap > Duration(0) && input.firstEvent > input.eventGap;
  return isLong ? Long : Usual;
}

} // namespace auburnspring
