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

/// An organisation whose callers this host serves.
struct Organisation {
  std::string name;
  std::string token;
  /// Share of a contended pool against other organisations.
  double weight = 1;
};

/// A peer that a starting host asks first. More are learned from it.
struct Seed {
  std::string name;
  Endpoint endpoint;
};

/// Everything a daemon learns from its settings file.
struct Settings {
  std::string host;
  std::string dataCentre;
  std::string region;
  /// Where callers and operators connect.
  Endpoint listen;
  /// Where other hosts connect.
  Endpoint peerListen;
  std::string peerKey;
  std::vector<Seed> seeds;
  Endpoint keyValue;
  std::string keyPrefix = "auburnspring/";
  Endpoint hostList;
  std::string operatorToken;
  std::vector<Organisation> organisations;
  std::string logLevel = "info";
  /// Requests held at once; more are refused not-run.
  std::int64_t maxRequests = 512;
  std::int64_t maxBodyBytes = 1 << 20;
  /// Longest answer of a once-only request that is kept for a repeated call.
  std::int64_t maxKeptAnswerBytes = 8192;
  /// How long a finished key is remembered.
  Duration ledgerRetention = std::chrono::hours(1);
  std::int64_t ledgerShards = 16;
  /// Ledger writes a second of all hosts together.
  std::int64_t ledgerWritesPerSecond = 150;
  /// Key-value calls a second that this host may make.
  std::int64_t keyValueCallsPerSecond = 60;
  Duration headPollInterval = std::chrono::seconds(1);
  Duration hostListInterval = std::chrono::milliseconds(500);
  Duration loadReportInterval = std::chrono::milliseconds(500);
  /// Load reports asked for in a second, whatever the number of upstreams.
  std::int64_t loadPollsPerSecond = 12;
  /// Longest wait for requests in flight when the daemon is asked to stop.
  Duration stopTimeout = std::chrono::seconds(30);
};

/// Parses a settings file. All faults found are added to `faults`; the result
/// is empty if there was one.
std::optional<Settings> parseSettings(absl::string_view file,
                                      absl::string_view text, Faults *faults);

/// Reads "IP:PORT"; empty if it is not of that form.
std::optional<Endpoint> parseEndpoint(absl::string_view text);

std::string toString(const Endpoint &endpoint);

} // namespace auburnspring

#endif
