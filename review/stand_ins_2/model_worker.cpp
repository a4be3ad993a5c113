#include "model_worker.h"

#include <cstdio>

namespace review {

using nlohmann::json;

namespace {

constexpr Millis Heartbeat(1200);

} // namespace

bool writeChunk(Connection *connection, const std::string &bytes) {
  char size[16];
  std::snprintf(size, sizeof(size), "%zx\r\n", bytes.size());
  return connection->write(size + bytes + "\r\n");
}

ModelWorker::ModelWorker(std::string id, int eventsPerStream, Store *store,
                         Record *record)
    : id_(std::move(id)), eventsPerStream_(eventsPerStream), store_(store),
      record_(record), listener_([this](Connection *c) { serve(c); }) {}

void ModelWorker::start(const std::string &version) {
  version_ = version;
  born_ = unixMillis();
  listener_.start("127.0.0.1", port_);
  port_ = listener_.port();
  record_->line("worker " + id_ + " starts with version " + version_);
  isRegistered_ = true;
  heartbeat_ = std::thread([this] { registerAndBeat(); });
}

void ModelWorker::crash() {
  if (!listener_.isRunning())
    return;
  listener_.stop();
  isRegistered_ = false;
  heartbeat_.join();
  record_->line("worker " + id_ + " crashes");
}

void ModelWorker::registerAndBeat() {
  bool wasWritten = false;
  for (int sequence = 1; isRegistered_; ++sequence) {
    const json entry = {{"Service", "model"},
                        {"Address", "127.0.0.1:" + std::to_string(port_)},
                        {"Zone", "ie-a"},
                        {"Version", version_},
                        {"Slots", 64},
                        {"State", "ready"},
                        {"ColdRemainingMs", 0},
                        {"Sequence", sequence},
                        {"born", born_}};
    if (store_->put("servers/" + id_, entry.dump()) && !wasWritten) {
      record_->line("worker " + id_ + " is registered with version " +
                    version_);
      wasWritten = true;
    }
    for (Millis waited(0); waited < Heartbeat && isRegistered_;
         waited += Millis(20))
      std::this_thread::sleep_for(Millis(20));
  }
}

void ModelWorker::serve(Connection *connection) {
  Head head;
  std::string body;
  if (connection->readHead(&head, Millis(10000)) != ReadEnd::Complete ||
      connection->readBody(head, &body, Millis(5000), nullptr) !=
          ReadEnd::Complete)
    return;
  const std::string expected = head.field("Expected-Instance");
  if (!expected.empty() && expected != id_) {
    connection->write(response(421, {}, ""));
    return;
  }
  if (head.method() == "GET") {
    const json report = {
        {"Stage", "both"}, {"Waiting", 0}, {"Running", 0}, {"born", born_}};
    connection->write(response(200, {{"Instance-Id", id_}}, report.dump()));
    return;
  }
  const std::string attempt = head.field("Attempt-Id");
  const std::string last = head.field("Last-Event-Id");
  const int first = last.empty() ? 1 : std::stoi(last) + 1;
  record_->line("worker " + id_ + " (" + version_ + ") runs " + attempt +
                " from event " + std::to_string(first));
  for (Millis waited(0); waited < firstEventTime_; waited += Millis(10)) {
    if (!listener_.isRunning() || connection->hasInput(Millis(10)))
      return;
  }
  connection->write("HTTP/1.1 200 OK\r\nAttempt-Id: " + attempt +
                    "\r\nResponse-Signature: signed." + id_ +
                    "\r\nContent-Type: text/event-stream\r\n"
                    "Transfer-Encoding: chunked\r\n\r\n");
  for (int event = first; event <= eventsPerStream_; ++event) {
    std::this_thread::sleep_for(EventGap);
    const std::string number = std::to_string(event);
    if (!listener_.isRunning() ||
        !writeChunk(connection, "id: " + number + "\ndata: " + version_ +
                                    " piece " + number + "\n\n"))
      return;
  }
  connection->write("0\r\n\r\n");
  // The other side closes first.
  while (listener_.isRunning() && !connection->hasInput(Millis(50))) {
  }
}

} // namespace review
