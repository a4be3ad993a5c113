#ifndef STAND_INS_COMMON_STAND_IN_OPTIONS_H
#define STAND_INS_COMMON_STAND_IN_OPTIONS_H

#include "auburnspring/config/settings.h"

#include <cstdint>
#include <map>
#include <string>

namespace standin {

/// Flags common to all stand-ins, and the NAME=VALUE pairs of one program.
struct StandInOptions {
  auburnspring::Endpoint listen{"127.0.0.1", 0};
  /// File that receives the bound port; not written if empty.
  std::string portFile;
  std::map<std::string, std::string> values;

  /// The value of `name`, or `fallback` if it is not set. A value that is not
  /// a number ends the process.
  std::int64_t number(const std::string &name, std::int64_t fallback) const;
  /// A share from 0 to 1; any other value ends the process.
  double share(const std::string &name, double fallback) const;
  std::string text(const std::string &name, const std::string &fallback) const;
};

/// Parses --listen, --port-file, --set NAME=VALUE and the flags of upstreams
/// (--version, --silent-ms, --silent-share), which set the values of these
/// names; prints `usage` and ends the process on any other argument.
StandInOptions parseStandInOptions(int argc, char **argv, const char *usage);

} // namespace standin

#endif
