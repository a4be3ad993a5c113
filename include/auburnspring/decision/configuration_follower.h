#ifndef AUBURNSPRING_DECISION_CONFIGURATION_FOLLOWER_H
#define AUBURNSPRING_DECISION_CONFIGURATION_FOLLOWER_H

#include "auburnspring/config/configuration.h"
#include "auburnspring/decision/step.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>

namespace auburnspring {

/// Applies each valid configuration of a higher generation on this host; lower
/// generations are ignored. A watcher polls the head in the key-value service.
/// Any other host learns of a generation from a peer's announcement and
/// requests the bundle from that peer, then falls back to the service. Guarded
/// by the host's control mutex.
class ConfigurationFollower {
public:
  struct Options {
    std::string keyPrefix = "auburnspring/";
    Duration watcherInterval = std::chrono::seconds(1);
    /// Polling interval of a host that is not a watcher, for the case that no
    /// host it considers a watcher polls.
    Duration fallbackInterval = std::chrono::seconds(30);
    Duration peerTimeout = std::chrono::milliseconds(500);
    Duration callTimeout = std::chrono::seconds(5);
    std::uint64_t seed = 1;
  };

  explicit ConfigurationFollower(Options options);

  void onTick(bool watcher, Step *step);
  void onReply(KvCallId call, const KvReply &reply, Step *step);
  void onGenerationAnnounced(const GenerationAnnounced &announced, Step *step);
  void onRequest(const std::string &from, const Endpoint &endpoint,
                 const BundleRequest &request, Step *step) const;
  void onBundle(const ConfigurationBundle &bundle, Step *step);

  /// Routes of the latest generation accepted since the last call; empty if
  /// there is none.
  std::optional<RouteTable> takeAccepted();

  /// True once a generation is in force, or the service has reported that none
  /// was ever published.
  bool isReady() const { return ready_; }
  const ConfigurationHead &head() const { return current_.head; }
  TimePoint nextWake() const;

  nlohmann::json dump() const;

private:
  void readHead(Step *step);
  void onHead(const KvReply &reply, Step *step);
  void onRouteFile(const std::string &digest, const KvReply &reply, Step *step);
  void fetchRouteFiles(Step *step);
  void tryAccept(Step *step);
  bool accept(ConfigurationBundle bundle, Step *step);

  Options options_;
  ConfigurationBundle current_;
  bool ready_ = false;
  std::optional<RouteTable> acceptedRoutes_;
  std::uint64_t acceptedCount_ = 0;
  /// Head whose route files are being fetched.
  std::optional<ConfigurationHead> targetHead_;
  std::map<std::string, std::string> fileContents_;
  std::map<std::uint64_t, std::string> fileCalls_;
  std::optional<std::uint64_t> headCall_;
  TimePoint headCallAt_{};
  TimePoint nextReadAt_{};
  /// Timeout of a bundle request to a peer, after which the service is read.
  TimePoint peerReplyBy_ = TimePoint::max();
  std::uint64_t announcedGeneration_ = 0;
  std::uint64_t nextCall_ = 1;
  std::mt19937_64 random_;
};

} // namespace auburnspring

#endif
