#ifndef AUBURNSPRING_SERVING_SETTINGS_H
#define AUBURNSPRING_SERVING_SETTINGS_H

#include "auburnspring/config/fault.h"
#include "auburnspring/config/settings.h"

#include <absl/strings/string_view.h>

#include <cstdint>
#include <optional>
#include <string>

namespace auburnspring {

/// Settings of a serving host.
struct ServingSettings {
  std::string host;
  std::string dataCentre;
  Endpoint callers;
  Endpoint readiness;
  Endpoint peers;
  Endpoint metrics;
  /// Where requests of peers that reach no upstream are taken; any free port if
  /// it is 0.
  Endpoint handOver;
  std::string peerKey;
  Endpoint store;
  std::string logLevel = "info";
  /// Log lines per second for each event name.
  std::int64_t logLinesPerSecond = 50;
  /// Processors that this host may use; may be a fraction.
  double processorShare = 1;
  /// Retries that all hosts together may send to a pool in any window: a ratio
  /// of its requests plus a slack.
  double retryRatio = 0.1;
  double retrySlack = 10;
  Duration retryWindow = std::chrono::seconds(10);
  /// How far the requests of all hosts to a cold upstream may exceed its rate
  /// in any second: a factor and a number of requests.
  double coldOvershoot = 1;
  double coldSlack = 0;
  /// Time within which no request reaches an evacuated data centre any more.
  Duration evacuationTime = std::chrono::seconds(5);
  /// Time from SIGTERM until the process must have exited.
  Duration stopTimeout = std::chrono::seconds(8);
};

/// Parses a settings file in JSON with comments. All faults are added to
/// `faults`; the result is empty if there was one.
std::optional<ServingSettings> parseServingSettings(absl::string_view file,
                                                    absl::string_view text,
                                                    Faults *faults);

} // namespace auburnspring

#endif
