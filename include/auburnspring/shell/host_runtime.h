#ifndef AUBURNSPRING_SHELL_HOST_RUNTIME_H
#define AUBURNSPRING_SHELL_HOST_RUNTIME_H

#include "auburnspring/config/settings.h"
#include "auburnspring/decision/entry_host.h"
#include "auburnspring/peer/peer_mesh.h"
#include "auburnspring/shell/response_dispatcher.h"
#include "auburnspring/store/etcd_store.h"
#include "auburnspring/store/key_value_executor.h"
#include "auburnspring/upstream/attempt_runner.h"

#include <absl/status/status.h>

#include <atomic>
#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

namespace auburnspring {

/// Runs one EntryHost in a process: reads the clock, executes the host's
/// actions and posts I/O events to it.
class HostRuntime {
public:
  explicit HostRuntime(Settings settings);
  ~HostRuntime();
  HostRuntime(const HostRuntime &) = delete;
  HostRuntime &operator=(const HostRuntime &) = delete;

  absl::Status start();

  /// Rejects new requests, waits up to stop_timeout_ms for those in flight,
  /// then stops all threads. Returns true if no request was aborted.
  bool stop();

  /// Starts the request under a new id, which is returned.
  RequestId submit(RequestArrived request);
  ResponseDispatcher::Delivery wait(RequestId request, Duration timeout);
  void finish(RequestId request, bool callerDisconnected);

  bool isReady() const { return host_.isReady(); }
  nlohmann::json dump() const;
  std::size_t inFlightAt(const std::string &upstream) const;
  const Settings &settings() const { return settings_; }

private:
  void deliver(Event event);
  void perform(Action action);
  void execute(StartAttempt &&action);
  void execute(const CancelAttempt &action);
  void execute(const RespondToCaller &action);
  void execute(const StreamToCaller &action);
  void execute(CallKeyValue &&action);
  void execute(SendToPeer &&action);
  void execute(const WriteLogEntry &action);
  void runTimer();
  void pollHostList();
  void pollLoadReports();
  // Returns false, without waiting further, once the runtime is stopping.
  bool sleepFor(Duration duration);
  void wakeTimer();

  Settings settings_;
  std::uint64_t incarnation_;
  EntryHost host_;
  ResponseDispatcher responses_;
  EtcdStore store_;
  std::unique_ptr<KeyValueExecutor> keyValue_;
  std::unique_ptr<AttemptRunner> attempts_;
  std::unique_ptr<PeerMesh> mesh_;
  std::atomic<RequestId> nextRequest_{1};
  std::atomic<bool> stopping_{false};
  std::mutex mutex_;
  std::condition_variable wake_;
  // Guarded by mutex_.
  bool timerWoken_ = false;
  std::vector<std::thread> threads_;
};

} // namespace auburnspring

#endif
