#include "auburnspring/decision/stream_origin_holders.h"

#include "auburnspring/decision/rendezvous.h"

#include <algorithm>
#include <cstdint>
#include <tuple>

namespace auburnspring {

namespace {

constexpr std::string_view DirectoryKey = "stream-origins";
/// Share of the largest host's processor from which a host is preferred.
constexpr double PreferredShare = 0.5;

} // namespace

StreamOriginHolders::StreamOriginHolders(
    absl::Span<const BatchingCandidate> hosts) {
  double largest = 0;
  for (const BatchingCandidate &host : hosts)
    largest = std::max(largest, host.processorShare);
  std::vector<std::tuple<bool, std::uint64_t, std::string_view>> ranks;
  ranks.reserve(hosts.size());
  for (const BatchingCandidate &host : hosts)
    ranks.emplace_back(host.processorShare >= PreferredShare * largest,
                       rendezvousWeight(DirectoryKey, host.host), host.host);
  std::sort(ranks.rbegin(), ranks.rend());
  if (ranks.size() > DirectoryHosts)
    ranks.resize(DirectoryHosts);
  for (const auto &rank : ranks)
    directory_.emplace_back(std::get<2>(rank));
}

std::vector<std::string> StreamOriginHolders::holders(std::string_view id,
                                                      std::size_t count) const {
  std::vector<std::pair<std::uint64_t, std::string_view>> ranks;
  ranks.reserve(directory_.size());
  for (const std::string &host : directory_)
    ranks.emplace_back(rendezvousWeight(id, host), host);
  std::sort(ranks.rbegin(), ranks.rend());
  std::vector<std::string> chosen;
  for (std::size_t i = 0; i < std::min(count, ranks.size()); ++i)
    chosen.emplace_back(ranks[i].second);
  return chosen;
}

} // namespace auburnspring
