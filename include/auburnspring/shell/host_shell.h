#ifndef AUBURNSPRING_SHELL_HOST_SHELL_H
#define AUBURNSPRING_SHELL_HOST_SHELL_H

#include "auburnspring/config/settings.h"
#include "auburnspring/decision/entry_host.h"
#include "auburnspring/peer/peer_mesh.h"
#include "auburnspring/shell/caller_desk.h"
#include "auburnspring/store/etcd_store.h"
#include "auburnspring/store/key_value_caller.h"
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

/// Runs one EntryHost in a process: reads the clock, carries out its actions
/// and brings it the world's events.
class HostShell {
public:
  explicit HostShell(Settings settings);
  ~HostShell();
  HostShell(const HostShell &) = delete;
  HostShell &operator=(const HostShell &) = delete;

  absl::Status start();

  /// Refuses new requests, waits for those in flight up to the settings'
  /// stop_timeout, then stops every thread. True if none was cut off.
  bool stop();

  /// Opens a place at the desk and hands the request to the decisions. The
  /// request's number is filled in.
  RequestId submit(RequestArrived request);
  CallerDesk::Delivery wait(RequestId request, Duration wait);
  void finish(RequestId request, bool callerGone);

  bool isReady() const { return host_.isReady(); }
  nlohmann::json dump() const;
  std::size_t inFlightAt(const std::string &upstream) const;
  const Settings &settings() const { return settings_; }

private:
  void deliver(Event event);
  void perform(Action action);
  void performTyped(StartAttempt &&action);
  void performTyped(const CancelAttempt &action);
  void performTyped(const AnswerCaller &action);
  void performTyped(const StreamToCaller &action);
  void performTyped(CallKeyValue &&action);
  void performTyped(SendToPeer &&action);
  void performTyped(const WriteNote &action);
  void runTimer();
  void runHostList();
  void runLoadReports();
  bool pause(Duration span);
  void poke();

  Settings settings_;
  std::uint64_t incarnation_;
  EntryHost host_;
  CallerDesk desk_;
  EtcdStore store_;
  std::unique_ptr<KeyValueCaller> keyValue_;
  std::unique_ptr<AttemptRunner> attempts_;
  std::unique_ptr<PeerMesh> mesh_;
  std::atomic<RequestId> nextRequest_{1};
  std::atomic<bool> stopping_{false};
  std::mutex mutex_;
  std::condition_variable wake_;
  // Guarded by mutex_.
  bool poked_ = false;
  std::vector<std::thread> threads_;
};

} // namespace auburnspring

#endif
