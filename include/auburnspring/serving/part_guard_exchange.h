#ifndef AUBURNSPRING_SERVING_PART_GUARD_EXCHANGE_H
#define AUBURNSPRING_SERVING_PART_GUARD_EXCHANGE_H

#include "auburnspring/decision/part_guard.h"
#include "auburnspring/http/timer.h"
#include "auburnspring/serving/metadata_store.h"
#include "auburnspring/serving/peer_network.h"
#include "auburnspring/serving/serving_metrics.h"

#include <asio/io_context.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace auburnspring {

/// Carries out what a PartGuard decides: sends its messages to the peers,
/// writes log lines, and keeps quarantines in the store, where they outlast the
/// hosts.
class PartGuardExchange {
public:
  PartGuardExchange(asio::io_context &io, PeerNetwork *peers,
                    MetadataStore *store, std::string keyPrefix,
                    ServingMetrics *metrics)
      : timer_(io), peers_(peers), store_(store),
        keyPrefix_(std::move(keyPrefix)), metrics_(metrics),
        guard_(peers->self()) {}

  PartQuarantines::Check check(absl::Span<const std::string> parts);
  bool hasCrashed(const std::string &part) const {
    return guard_.hasCrashed(part);
  }
  void onSound(absl::Span<const std::string> parts);
  void onBroken(absl::Span<const std::string> parts,
                const UpstreamEntry &upstream, Duration ranFor);
  void requestTrial(const std::string &part, PartGuard::TrialHandler handler);

  void onReport(const std::string &from, const PartCrashReport &report);
  void onUpdate(const std::string &from, const PartQuarantineUpdate &update);
  void onTrialRequest(const std::string &from, const PartTrialRequest &request);
  void onTrialReply(const PartTrialReply &reply);
  void onHeartbeat(const std::string &from,
                   const std::vector<PartQuarantine> &states);
  /// Applies an item of the store whose key has the prefix.
  void onStoreItem(std::string_view key, std::string_view value);

  std::vector<PartQuarantine> statesForHeartbeat();
  void tick();

  std::size_t quarantinedCount() const { return guard_.quarantinedCount(); }
  std::size_t suspectCount() const { return guard_.suspectCount(); }

private:
  /// Sends, logs and stores what the guard has put out.
  void carryOut();
  void writeLog(const PartGuard::Decision &decision) const;
  void store(const PartGuard::Decision &decision);
  void scheduleFlush();

  http::Timer timer_;
  bool isFlushScheduled_ = false;
  PeerNetwork *peers_;
  MetadataStore *store_;
  std::string keyPrefix_;
  ServingMetrics *metrics_;
  PartGuard guard_;
};

} // namespace auburnspring

#endif
