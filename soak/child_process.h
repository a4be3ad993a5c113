#ifndef AUBURNSPRING_SOAK_CHILD_PROCESS_H
#define AUBURNSPRING_SOAK_CHILD_PROCESS_H

#include <string>
#include <sys/types.h>
#include <vector>

namespace auburnspring::soak {

/// A child process of the soak. Signals go to its process id only, and only
/// until it has been reaped.
class ChildProcess {
public:
  ChildProcess() = default;
  /// Kills and reaps the process if it still runs.
  ~ChildProcess();
  ChildProcess(const ChildProcess &) = delete;
  ChildProcess &operator=(const ChildProcess &) = delete;

  /// Appends standard output and standard error to the file. False if the
  /// process can't be started.
  bool start(const std::vector<std::string> &command,
             const std::string &outputFile);
  void signal(int number);

  /// Reaps the process if it has ended.
  bool isRunning();
  /// The exit code, or minus the number of the signal that ended the process.
  int exitCode() const { return exitCode_; }
  pid_t id() const { return id_; }

private:
  pid_t id_ = 0;
  int exitCode_ = 0;
};

} // namespace auburnspring::soak

#endif
