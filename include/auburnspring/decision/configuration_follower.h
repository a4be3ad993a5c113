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

/// Brings each accepted configuration into force on this host and never goes
/// back. A watcher reads the head itself; any other host hears of a generation
/// from a peer and asks that peer for the bundle, then falls back to the
/// service. Called by the control side only, under its lock.
class ConfigurationFollower {
public:
  struct Options {
    std::string keyPrefix = "auburnspring/";
    Duration watcherInterval = std::chrono::seconds(1);
    /// A host that is no watcher reads the head this seldom, in case every
    /// watcher it knows of is wrong.
    Duration otherInterval = std::chrono::seconds(30);
    Duration peerTimeout = std::chrono::milliseconds(500);
    Duration callTimeout = std::chrono::seconds(5);
    std::uint64_t seed = 1;
  };

  explicit ConfigurationFollower(Options options);

  void onTick(bool watcher, Step *step);
  void onReply(KvCallId call, const KvReply &reply, Step *step);
  void onHeard(const GenerationHeard &heard, Step *step);
  void onRequest(const std::string &from, const Endpoint &endpoint,
                 const BundleRequest &request, Step *step) const;
  void onBundle(const ConfigurationBundle &bundle, Step *step);

  /// Routes of a generation that has just been accepted; empty if there is
  /// none since the last call.
  std::optional<RouteTable> takeAccepted();

  /// True once a generation is in force, or the service has said that none
  /// was ever published.
  bool isReady() const { return ready_; }
  const ConfigurationHead &head() const { return current_.head; }
  TimePoint nextWake() const;

  nlohmann::json dump() const;

private:
  void readHead(Step *step);
  void onHead(const KvReply &reply, Step *step);
  void onPiece(const std::string &digest, const KvReply &reply, Step *step);
  void fetchPieces(Step *step);
  void tryAccept(Step *step);
  bool accept(ConfigurationBundle bundle, Step *step);

  Options options_;
  ConfigurationBundle current_;
  bool ready_ = false;
  std::optional<RouteTable> accepted_;
  std::uint64_t accepts_ = 0;
  /// A head that is being assembled.
  std::optional<ConfigurationHead> wanted_;
  std::map<std::string, std::string> texts_;
  std::map<std::uint64_t, std::string> pieceCalls_;
  std::optional<std::uint64_t> headCall_;
  TimePoint headCallAt_{};
  TimePoint nextReadAt_{};
  /// A peer was asked for a bundle; the service is read if it stays silent.
  TimePoint peerAnswerBy_ = TimePoint::max();
  std::uint64_t heardGeneration_ = 0;
  std::uint64_t nextCall_ = 1;
  std::mt19937_64 random_;
};

} // namespace auburnspring

#endif
