#ifndef AUBURNSPRING_DECISION_STREAM_ORIGIN_CHECK_H
#define AUBURNSPRING_DECISION_STREAM_ORIGIN_CHECK_H

#include "auburnspring/decision/stream_origins.h"

#include <absl/types/span.h>

#include <optional>
#include <set>
#include <string>

namespace auburnspring {

/// Finds out where a stream began from what hosts reply. A correction of an
/// origin that is not bound may have been lost on the way to the hosts that
/// hold it, so such an origin counts only if the host that recorded it has
/// replied.
class StreamOriginCheck {
public:
  /// Starts from what this host has learned, and the hosts to be asked.
  StreamOriginCheck(std::string self,
                    const std::optional<StreamOrigins::Found> &known,
                    absl::Span<const std::string> asked);

  /// The host knows this, or nothing. Its recorder is the host itself, or
  /// empty if the host does not say.
  void onReply(const std::string &from,
               const std::optional<StreamOrigins::Found> &found);

  /// Hosts that are to reply, among them the recorder once it is known.
  const std::set<std::string> &missing() const { return missing_; }
  /// Nothing more is to be expected.
  bool isOver() const { return origin().has_value() || missing_.empty(); }
  /// The origin, if it is certain.
  std::optional<StreamOrigin> origin() const;

private:
  void consider(const StreamOrigin &origin, const std::string &recorder);

  std::string self_;
  std::optional<StreamOrigin> best_;
  /// Who recorded the best one; empty if it is not known.
  std::string recorder_;
  bool hasRecorderReplied_ = false;
  std::set<std::string> missing_;
  std::set<std::string> replied_;
};

} // namespace auburnspring

#endif
