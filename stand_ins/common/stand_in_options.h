#ifndef STAND_INS_COMMON_STAND_IN_OPTIONS_H
#define STAND_INS_COMMON_STAND_IN_OPTIONS_H

#include "auburnspring/config/settings.h"

#include <cstdint>
#include <map>
#include <string>

namespace standin {

/// Flags that every stand-in takes, and its own as NAME=VALUE pairs.
struct StandInOptions {
  auburnspring::Endpoint listen{"127.0.0.1", 0};
  /// Where to write the port that the system picked; empty for nowhere.
  std::string portFile;
  std::map<std::string, std::string> own;

  std::int64_t number(const std::string &name, std::int64_t standard) const;
  std::string text(const std::string &name, const std::string &standard) const;
};

/// Parses --listen, --port-file and --set NAME=VALUE; ends the process with
/// `usage` on anything else.
StandInOptions parseStandInOptions(int argc, char **argv, const char *usage);

} // namespace standin

#endif
