#include "soak/stream_checker.h"

#include <fmt/format.h>

#include <algorithm>

namespace auburnspring::soak {

namespace {

/// Streams of two software versions that a run may have, as documented for
/// users.
constexpr std::size_t MixedLimit = 2;
/// Resumed streams violate the guarantee from this count on, if the share that
/// goes on is below this part of the share of new streams that begin.
constexpr std::size_t ResumedLimit = 12;
constexpr double MinResumedPart = 0.5;
/// Serving upstreams of a stream's version that make it count.
constexpr std::size_t MinUpstreamsOfVersion = 2;

} // namespace

double StreamChecker::Share::value() const {
  return sent == 0 ? 0 : static_cast<double>(begun) / static_cast<double>(sent);
}

void StreamChecker::onEvent(const SentCall &call, int number,
                            std::string_view version) {
  std::vector<Segment> &segments = streams_[call.streamId()];
  const int last = segments.empty() ? 0 : segments.back().last;
  if (number != last + 1)
    misordered_.push_back(fmt::format(
        "ORDER: {} got event {} of stream {} after event {}, from {}", call.id,
        number, call.streamId(), last, call.host));
  if (segments.empty() || segments.back().id != call.id ||
      segments.back().version != version)
    segments.push_back(
        {call.id, call.host, std::string(version), number, number});
  segments.back().last = number;
}

void StreamChecker::onRun(const SentCall &call, std::string_view version) {
  const auto stream = streams_.find(call.streamId());
  if (call.resumedId.empty() || stream == streams_.end() ||
      stream->second.front().version == version)
    return;
  misplacedRuns_.push_back(
      fmt::format("{} ran at {}, but goes on with stream {} of {}", call.id,
                  version, call.streamId(), stream->second.front().version));
}

void StreamChecker::onOutcome(const SentCall &call, const CallOutcome &outcome,
                              bool isConnected, TimePoint at) {
  const bool leftEarly = outcome.isAbandoned && at < call.deadline;
  const bool isResumed = !call.resumedId.empty();
  const auto stream = streams_.find(call.streamId());
  const bool hasEvents =
      stream != streams_.end() && stream->second.back().id == call.id;
  if (call.kind != CallKind::Stream || !isConnected ||
      (leftEarly && !hasEvents) ||
      (isResumed && call.upstreamsOfVersion < MinUpstreamsOfVersion))
    return;
  Share &share = isResumed ? resumedStreams_ : newStreams_;
  ++share.sent;
  if (hasEvents || (outcome.status == 200 && outcome.isComplete))
    ++share.begun;
}

std::vector<std::string> StreamChecker::mixedStreams() const {
  std::vector<std::string> lines;
  for (const auto &[id, segments] : streams_) {
    const std::string &version = segments.front().version;
    if (std::all_of(segments.begin(), segments.end(), [&](const Segment &part) {
          return part.version == version;
        }))
      continue;
    std::string line = "stream " + id + " holds";
    for (const Segment &part : segments)
      line += fmt::format(" {}-{} of {} ({} at {})", part.first, part.last,
                          part.version, part.id, part.host);
    lines.push_back(std::move(line));
  }
  return lines;
}

std::vector<std::string> StreamChecker::violations() const {
  std::vector<std::string> found = misordered_;
  const std::vector<std::string> mixed = mixedStreams();
  if (mixed.size() > MixedLimit)
    found.push_back(
        fmt::format("ORDER: {} streams hold events of two software versions, "
                    "the first: {}",
                    mixed.size(), mixed.front()));
  if (misplacedRuns_.size() > MixedLimit)
    found.push_back(fmt::format("ORDER: {} resumed streams ran at another "
                                "software version, the first: {}",
                                misplacedRuns_.size(), misplacedRuns_.front()));
  if (resumedStreams_.sent >= ResumedLimit &&
      resumedStreams_.value() < MinResumedPart * newStreams_.value())
    found.push_back(fmt::format(
        "LOST: of {} resumed streams {} went on, of {} new ones {} began",
        resumedStreams_.sent, resumedStreams_.begun, newStreams_.sent,
        newStreams_.begun));
  return found;
}

std::string StreamChecker::summary() const {
  return fmt::format("begun={}/{} resumed={}/{} mixed={}", newStreams_.begun,
                     newStreams_.sent, resumedStreams_.begun,
                     resumedStreams_.sent, mixedStreams().size());
}

} // namespace auburnspring::soak
