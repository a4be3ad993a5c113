#include "soak/child_process.h"

#include <csignal>
#include <fcntl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace auburnspring::soak {

namespace {

/// Exit code of a child that can't execute its program.
constexpr int ExitNotFound = 127;

} // namespace

ChildProcess::~ChildProcess() {
  if (!isRunning())
    return;
  signal(SIGKILL);
  waitpid(id_, nullptr, 0);
}

bool ChildProcess::start(const std::vector<std::string> &command,
                         const std::string &outputFile) {
  std::vector<char *> arguments;
  arguments.reserve(command.size() + 1);
  for (const std::string &argument : command)
    arguments.push_back(const_cast<char *>(argument.c_str()));
  arguments.push_back(nullptr);
  const int output =
      open(outputFile.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
  if (output < 0)
    return false;
  const pid_t id = fork();
  if (id == 0) {
    dup2(output, STDOUT_FILENO);
    dup2(output, STDERR_FILENO);
    // An inherited copy would keep a socket open after the soak closes it.
    close_range(STDERR_FILENO + 1, ~0U, 0);
    execv(arguments[0], arguments.data());
    _exit(ExitNotFound);
  }
  close(output);
  id_ = id > 0 ? id : 0;
  return id > 0;
}

void ChildProcess::signal(int number) {
  if (id_ > 0)
    kill(id_, number);
}

bool ChildProcess::isRunning() {
  if (id_ == 0)
    return false;
  int status = 0;
  if (waitpid(id_, &status, WNOHANG) != id_)
    return true;
  id_ = 0;
  exitCode_ = WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
  return false;
}

} // namespace auburnspring::soak
