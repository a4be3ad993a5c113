#ifndef AUBURNSPRING_SOAK_CHILD_PROCESS_H
#define AUBURNSPRING_SOAK_CHILD_PROCESS_H

#include <string>
#include <sys/types.h>
#include <vector>

namespace auburnspring::soak {

/// One process that the soak has started. Signals go to its id only, and only
/// until it has been reaped.
class ChildProcess {
public:
  ChildProcess() = default;
  /// Kills and reaps what still runs.
  ~ChildProcess();
  ChildProcess(const ChildProcess &) = delete;
  ChildProcess &operator=(const ChildProcess &) = delete;

  /// Output is appended to the file. False if the process can't be started.
  bool start(const std::vector<std::string> &command,
             const std::string &outputFile);
  void signal(int number);

  /// Reaps the process if it has ended.
  bool isRunning();
  /// The exit code, or minus the signal that ended it.
  int result() const { return result_; }
  pid_t id() const { return id_; }

private:
  pid_t id_ = 0;
  int result_ = 0;
};

} // namespace auburnspring::soak

#endif
