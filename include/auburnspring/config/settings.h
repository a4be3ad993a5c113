#ifndef AUBURNSPRING_CONFIG_SETTINGS_H
#define AUBURNSPRING_CONFIG_SETTINGS_H

#include "auburnspring/base/time.h"
#include "auburnspring/config/fault.h"

#include <absl/strings/string_view.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace auburnspring {

/// An address of the form IP:PORT.
struct Endpoint {
  std::string ip;
  std::uint16_t port = 0;
};

/// An organisation whose callers are served by this host.
struct Organisation {
  std::string name;
  std::string token;
  /// Relative share of a contended pool.
  double weight = 1;
};

/// A peer that a starting host contacts to join; it learns the others from it.
struct Seed {
  std::string name;
  Endpoint endpoint;
};

/// The contents of a daemon's settings file.
struct Settings {
  std::string host;
  std::string dataCentre;
  std::string region;
  /// Listen address for callers and operators.
  Endpoint listen;
  /// Listen address for other hosts.
  Endpoint peerListen;
  std::string peerKey;
  std::vector<Seed> seeds;
  /// Address of the key-value service.
  Endpoint keyValueEndpoint;
  std::string keyPrefix = "auburnspring/";
  /// Address of the host list service.
  Endpoint hostListEndpoint;
  std::string operatorToken;
  std::vector<Organisation> organisations;
  std::string logLevel = "info";
  /// Limit on concurrent requests; further ones are refused with outcome
  /// not-run.
  std::int64_t maxRequests = 512;
  std::int64_t maxBodyBytes = 1 << 20;
  /// Largest response of an at-most-once request that is stored for retries of
  /// the caller.
  std::int64_t maxStoredResponseBytes = 8192;
  /// Retention of the ledger record of a finished request.
  Duration ledgerRetention = std::chrono::hours(1);
  std::int64_t ledgerShards = 16;
  /// Ledger writes per second, summed over all hosts.
  std::int64_t ledgerWritesPerSecond = 150;
  /// Limit on this host's key-value calls per second.
  std::int64_t keyValueCallsPerSecond = 60;
  Duration headPollInterval = std::chrono::seconds(1);
  Duration hostListInterval = std::chrono::milliseconds(500);
  Duration loadReportInterval = std::chrono::milliseconds(500);
  /// Load polls per second over all upstreams together.
  std::int64_t loadPollsPerSecond = 12;
  /// Longest wait for requests in flight when the daemon stops.
  Duration stopTimeout = std::chrono::seconds(30);
};

/// Parses a settings file. All faults are added to `faults`; the result is
/// empty if there is any.
std::optional<Settings> parseSettings(absl::string_view file,
                                      absl::string_view text, Faults *faults);

/// Parses "IP:PORT" with an IPv4 address; empty if `text` has another form.
std::optional<Endpoint> parseEndpoint(absl::string_view text);

std::string toString(const Endpoint &endpoint);

} // namespace auburnspring

#endif
