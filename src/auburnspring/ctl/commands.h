#ifndef AUBURNSPRING_CTL_COMMANDS_H
#define AUBURNSPRING_CTL_COMMANDS_H

#include "command_line.h"

namespace auburnspring {

/// Runs one command and returns its ExitCode.
int runCommand(const CommandLine &line);

} // namespace auburnspring

#endif
