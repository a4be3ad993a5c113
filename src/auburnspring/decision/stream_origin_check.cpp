#include "auburnspring/decision/stream_origin_check.h"

#include <utility>

namespace auburnspring {

StreamOriginCheck::StreamOriginCheck(
    std::string self, const std::optional<StreamOrigins::Found> &known,
    absl::Span<const std::string> asked)
    : self_(std::move(self)), missing_(asked.begin(), asked.end()) {
  if (!known)
    return;
  consider(known->origin, known->recorder);
  hasRecorderReplied_ = known->source == StreamOrigins::Source::Own;
}

void StreamOriginCheck::consider(const StreamOrigin &origin,
                                 const std::string &recorder) {
  const bool isSame = best_ && !origin.replaces(*best_) &&
                      !best_->replaces(origin) &&
                      origin.softwareVersion == best_->softwareVersion;
  if (isSame) {
    if (recorder_.empty())
      recorder_ = recorder;
  } else if (!best_ || origin.replaces(*best_)) {
    best_ = origin;
    recorder_ = recorder;
    hasRecorderReplied_ = false;
  } else {
    return;
  }
  // This host may have forgotten it in a restart.
  if (!recorder_.empty() && recorder_ != self_ &&
      replied_.count(recorder_) == 0)
    missing_.insert(recorder_);
}

void StreamOriginCheck::onReply(
    const std::string &from, const std::optional<StreamOrigins::Found> &found) {
  missing_.erase(from);
  replied_.insert(from);
  if (!found)
    return;
  consider(found->origin, found->recorder);
  // A recorder that has started again may know less than another host.
  if (from == recorder_ && best_ && !best_->replaces(found->origin))
    hasRecorderReplied_ = true;
}

std::optional<StreamOrigin> StreamOriginCheck::origin() const {
  return best_ && (best_->isBound || hasRecorderReplied_) ? best_
                                                          : std::nullopt;
}

} // namespace auburnspring
