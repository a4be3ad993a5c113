#ifndef AUBURNSPRING_DECISION_STREAM_ORIGIN_HOLDERS_H
#define AUBURNSPRING_DECISION_STREAM_ORIGIN_HOLDERS_H

#include "auburnspring/decision/batching_host.h"

#include <absl/types/span.h>

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace auburnspring {

/// Chooses which hosts of a large fleet hold the origins of streams, or what is
/// known of a prompt part, where heartbeats don't reach every host. The `id`
/// below is that of a stream, or the name of a part.
class StreamOriginHolders {
public:
  /// Hosts among which origins are spread. Few, so that what a host sends at a
  /// time goes to few, over connections that last.
  static constexpr std::size_t DirectoryHosts = 12;
  /// Hosts that an origin is sent to.
  static constexpr std::size_t HolderCount = 3;
  /// Hosts that are asked for an origin: some may rank differently at the host
  /// that recorded it.
  static constexpr std::size_t AskedCount = 5;

  /// Chooses the directory among the hosts by rendezvous hashing. Hosts with at
  /// least half the processor of the largest come first.
  explicit StreamOriginHolders(absl::Span<const BatchingCandidate> hosts);

  /// The first `count` hosts of the directory for a stream's id, by rendezvous
  /// hashing.
  std::vector<std::string> holders(std::string_view id,
                                   std::size_t count) const;

  /// Best-ranked host first.
  const std::vector<std::string> &directory() const { return directory_; }

private:
  std::vector<std::string> directory_;
};

} // namespace auburnspring

#endif
