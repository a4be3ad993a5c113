#ifndef AUBURNSPRING_REVIEW_MODEL_WORKER_H
#define AUBURNSPRING_REVIEW_MODEL_WORKER_H

#include "deployment.h"

namespace review {

/// A model worker that streams events. Each start of it is a new lifetime under
/// the same id and address.
class ModelWorker {
public:
  /// Pause before each event.
  static constexpr Millis EventGap{150};

  ModelWorker(std::string id, int eventsPerStream, Store *store,
              Record *record);
  ~ModelWorker() { crash(); }

  /// Time from the begin of a request to its first event.
  void setFirstEventTime(Millis time) { firstEventTime_ = time; }
  void start(const std::string &version);
  void crash();

private:
  void registerAndBeat();
  void serve(Connection *connection);

  std::string id_;
  int eventsPerStream_;
  Millis firstEventTime_{0};
  Store *store_;
  Record *record_;
  Listener listener_;
  std::string version_;
  std::int64_t born_ = 0;
  int port_ = 0;
  std::atomic<bool> isRegistered_{false};
  std::thread heartbeat_;
};

/// Writes one chunk of a body.
bool writeChunk(Connection *connection, const std::string &bytes);

} // namespace review

#endif
