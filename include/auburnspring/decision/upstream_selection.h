#ifndef AUBURNSPRING_DECISION_UPSTREAM_SELECTION_H
#define AUBURNSPRING_DECISION_UPSTREAM_SELECTION_H

#include "auburnspring/base/time.h"
#include "auburnspring/decision/tracked_upstream.h"

#include <absl/strings/string_view.h>
#include <absl/types/span.h>

#include <optional>
#include <random>
#include <string>

namespace auburnspring {

/// Criteria for the selection of an upstream.
struct SelectionCriteria {
  /// Model that the upstream must serve; empty for any.
  absl::string_view model;
  /// Prompt whose prefix a model engine may have cached; empty for none.
  absl::string_view prompt;
  absl::string_view dataCentre;
  /// Software version that the upstream must run; none if any will do. "" is
  /// the version of the upstreams that are listed without one.
  std::optional<absl::string_view> version;
  /// Names of upstreams that have already failed this part of the stage.
  absl::Span<const std::string> avoid;
  /// Avoided upstreams won't do even if there is no other.
  bool avoidStrictly = false;
};

/// Selects the upstream with the lowest expected finish time among two random
/// ones (power of two choices) and the one that the prompt's prefix hashes to.
/// Ties are broken at random. Null if no upstream accepts new work.
TrackedUpstreamPtr
chooseUpstream(absl::Span<const TrackedUpstreamPtr> upstreams,
               const SelectionCriteria &criteria, TimePoint now,
               std::mt19937_64 *random);

/// True if chooseUpstream would find an upstream.
bool hasCandidate(absl::Span<const TrackedUpstreamPtr> upstreams,
                  const SelectionCriteria &criteria);

/// Expected time until a new attempt on the upstream ends.
Duration expectedFinish(const TrackedUpstream &upstream, TimePoint now);

/// Records the end of an attempt in the upstream's health statistics.
void recordAttemptSuccess(TrackedUpstream *upstream, Duration elapsed);
void recordAttemptFailure(TrackedUpstream *upstream, TimePoint now);

} // namespace auburnspring

#endif
