#include "command_line.h"
#include "commands.h"

#include <fmt/format.h>

int main(int argc, char **argv) {
  auburnspring::CommandLine line;
  if (auburnspring::parseCommandLine(argc, argv, &line))
    return auburnspring::runCommand(line);
  fmt::print(stderr, "{}", auburnspring::helpText(""));
  return auburnspring::ExitUsage;
}
