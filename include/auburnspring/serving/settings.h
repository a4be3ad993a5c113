#ifndef AUBURNSPRING_SERVING_SETTINGS_H
#define AUBURNSPRING_SERVING_SETTINGS_H

#include "auburnspring/config/fault.h"
#include "auburnspring/config/settings.h"

#include <absl/strings/string_view.h>

#include <cstdint>
#include <optional>
#include <string>

namespace auburnspring {

/// What a serving host learns from its settings file.
struct ServingSettings {
  std::string host;
  std::string dataCentre;
  Endpoint callers;
  Endpoint readiness;
  Endpoint peers;
  Endpoint metrics;
  std::string peerKey;
  Endpoint store;
  std::string logLevel = "info";
  /// Lines that one event may write in a second.
  std::int64_t logLinesPerSecond = 50;
  /// Share of a processor that this host has.
  double processorShare = 1;
  /// Repeats that all hosts together may add to a pool in any window: a ratio
  /// of its requests plus a slack.
  double retryRatio = 0.1;
  std::int64_t retrySlack = 10;
  Duration retryWindow = std::chrono::seconds(10);
  /// From SIGTERM until the process must have ended.
  Duration stopTimeout = std::chrono::seconds(8);
};

/// Parses a settings file in JSON with comments. All faults found are added to
/// `faults`; the result is empty if there was one.
std::optional<ServingSettings> parseServingSettings(absl::string_view file,
                                                    absl::string_view text,
                                                    Faults *faults);

} // namespace auburnspring

#endif
