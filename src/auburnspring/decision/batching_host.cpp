#include "auburnspring/decision/batching_host.h"

#include "auburnspring/decision/rendezvous.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace auburnspring {

namespace {

/// Share of the largest host's processor from which a host is eligible.
constexpr double EligibleShare = 0.5;
/// A host with twice the processors owns eight times as many keys, since the
/// requests that it serves leave it more than twice the spare capacity.
constexpr double CapacityExponent = 3;

} // namespace

std::string_view
chooseBatchingHost(std::string_view pool,
                   absl::Span<const BatchingCandidate> candidates) {
  double largest = 0;
  for (const BatchingCandidate &candidate : candidates)
    largest = std::max(largest, candidate.processorShare);
  std::string_view best;
  double bestScore = -std::numeric_limits<double>::infinity();
  for (const BatchingCandidate &candidate : candidates) {
    if (candidate.processorShare < EligibleShare * largest)
      continue;
    const double score = weightedRendezvousScore(
        pool, candidate.host,
        std::pow(candidate.processorShare, CapacityExponent));
    if (score <= bestScore)
      continue;
    bestScore = score;
    best = candidate.host;
  }
  return best;
}

} // namespace auburnspring
