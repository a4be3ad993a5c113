#include "auburnspring/upstream/attempt_runner.h"

#include "auburnspring/upstream/upstream_protocol.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/Runnable.h>
#include <Poco/ThreadPool.h>
#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>

#include <istream>
#include <map>
#include <mutex>
#include <ostream>

namespace auburnspring {

namespace {

constexpr int Ok = 200;
constexpr int MinThreads = 8;
constexpr Duration MinTimeout = std::chrono::milliseconds(1);

Duration remaining(TimePoint deadline) {
  const auto now =
      std::chrono::time_point_cast<Duration>(std::chrono::steady_clock::now());
  return std::max(MinTimeout, deadline - now);
}

Poco::Timespan toTimespan(Duration duration) { return {duration.count()}; }

// Sockets by attempt, so that a cancellation can shut them down.
class SocketRegistry {
public:
  void add(const AttemptId &id, const Poco::Net::StreamSocket &socket) {
    const std::lock_guard<std::mutex> lock(mutex_);
    Entry &entry = entries_[id];
    entry.socket = socket;
    entry.connected = true;
    if (entry.cancelled)
      shutdownSocket(&entry.socket);
  }

  void addPending(const AttemptId &id) {
    const std::lock_guard<std::mutex> lock(mutex_);
    entries_[id];
  }

  void cancel(const AttemptId &id) {
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto found = entries_.find(id);
    if (found == entries_.end())
      return;
    found->second.cancelled = true;
    if (found->second.connected)
      shutdownSocket(&found->second.socket);
  }

  /// Removes the attempt; true if it was cancelled.
  bool remove(const AttemptId &id) {
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto found = entries_.find(id);
    if (found == entries_.end())
      return false;
    const bool cancelled = found->second.cancelled;
    entries_.erase(found);
    return cancelled;
  }

private:
  struct Entry {
    Poco::Net::StreamSocket socket;
    bool connected = false;
    bool cancelled = false;
  };

  static void shutdownSocket(Poco::Net::StreamSocket *socket) {
    try {
      socket->shutdown();
    } catch (const Poco::Exception &) {
      // Already closed.
    }
  }

  std::mutex mutex_;
  std::map<AttemptId, Entry> entries_;
};

// Runs one attempt; deletes itself at the end of run().
class AttemptTask : public Poco::Runnable {
public:
  AttemptTask(StartAttempt attempt, AttemptRunner::Options options,
              SocketRegistry *sockets,
              const AttemptRunner::EventCallback *onEvent)
      : attempt_(std::move(attempt)), options_(options), sockets_(sockets),
        onEvent_(onEvent) {}

  void run() override {
    const std::unique_ptr<AttemptTask> self(this);
    Event event = runAttempt();
    if (sockets_->remove(attempt_.attempt)) {
      if (auto *failed = std::get_if<AttemptFailed>(&event))
        failed->kind = FailureKind::Cancelled;
    }
    (*onEvent_)(std::move(event));
  }

  Event failure(FailureKind kind, std::string detail) const {
    return AttemptFailed{attempt_.attempt, kind, std::move(detail), Usage()};
  }

private:
  Event runAttempt() {
    Poco::Net::StreamSocket socket;
    const Duration left = remaining(attempt_.deadline);
    try {
      socket.connect(Poco::Net::SocketAddress(attempt_.endpoint.ip,
                                              attempt_.endpoint.port),
                     toTimespan(std::min(left, options_.connectTimeout)));
      socket.setNoDelay(true);
    } catch (const Poco::Exception &error) {
      return failure(FailureKind::NotSent, error.displayText());
    }
    sockets_->add(attempt_.attempt, socket);
    try {
      socket.setSendTimeout(toTimespan(left));
      return exchange(&socket);
    } catch (const Poco::Exception &error) {
      return failure(FailureKind::ResponseLost, error.displayText());
    } catch (const std::exception &error) {
      return failure(FailureKind::ResponseLost, error.what());
    }
  }

  // The session is built from a socket and has no host, so POCO can't reconnect
  // and resend the request.
  Event exchange(Poco::Net::StreamSocket *socket) {
    Poco::Net::HTTPClientSession session(*socket);
    session.setKeepAlive(false);
    const bool isStream = attempt_.kind == StageKind::Generate;
    Poco::Net::HTTPRequest request(Poco::Net::HTTPRequest::HTTP_POST,
                                   attemptPath(attempt_.kind),
                                   Poco::Net::HTTPMessage::HTTP_1_1);
    const std::string body = attemptBody(attempt_);
    request.setHost(attempt_.endpoint.ip, attempt_.endpoint.port);
    request.setContentType("application/json");
    request.setContentLength(static_cast<std::streamsize>(body.size()));
    request.setKeepAlive(false);
    session.sendRequest(request) << body << std::flush;
    Poco::Net::HTTPResponse response;
    waitUntilDeadline(socket);
    std::istream &responseBody = session.receiveResponse(response);
    if (isStream && response.getStatus() == Ok)
      return readStream(responseBody, socket);
    return readBody(responseBody, response, socket);
  }

  // Sets the timeout of the next receive. It is the socket's, since POCO
  // ignores the timeouts of a session that is built from a socket.
  void waitUntilDeadline(Poco::Net::StreamSocket *socket) const {
    socket->setReceiveTimeout(toTimespan(remaining(attempt_.deadline)));
  }

  Event readBody(std::istream &stream, const Poco::Net::HTTPResponse &response,
                 Poco::Net::StreamSocket *socket) const {
    std::string body;
    char buffer[16384];
    while (stream.read(buffer, sizeof buffer) || stream.gcount() > 0) {
      waitUntilDeadline(socket);
      body.append(buffer, static_cast<std::size_t>(stream.gcount()));
      if (body.size() > options_.maxResponseBytes)
        return failure(FailureKind::ResponseLost,
                       "the response exceeds the size limit");
    }
    const std::streamsize contentLength = response.getContentLength();
    if (contentLength != static_cast<std::streamsize>(body.size()))
      return failure(FailureKind::ResponseLost, "the response was truncated");
    return parseStageResponse(attempt_.attempt,
                              static_cast<int>(response.getStatus()), body);
  }

  Event readStream(std::istream &stream,
                   Poco::Net::StreamSocket *socket) const {
    std::string text = attempt_.resumeText;
    std::string line;
    while (std::getline(stream, line)) {
      waitUntilDeadline(socket);
      if (!line.empty() && line.back() == '\r')
        line.pop_back();
      if (!absl::StartsWith(line, "data: "))
        continue;
      const auto event =
          parseCompletionEvent(absl::string_view(line).substr(6));
      if (!event || event->attempt != toString(attempt_.attempt))
        return failure(FailureKind::ResponseLost,
                       "the stream has a malformed event");
      if (event->offset != text.size())
        return failure(FailureKind::ResponseLost,
                       "the stream has a gap in its offsets");
      text += event->text;
      if (text.size() > options_.maxResponseBytes)
        return failure(FailureKind::ResponseLost,
                       "the response exceeds the size limit");
      if (event->done)
        return AttemptSucceeded{attempt_.attempt, std::move(text),
                                event->usage};
      (*onEvent_)(
          AttemptProgress{attempt_.attempt, event->offset, event->text});
    }
    return failure(FailureKind::ResponseLost,
                   "the stream ended without a final event");
  }

  StartAttempt attempt_;
  AttemptRunner::Options options_;
  SocketRegistry *sockets_;
  const AttemptRunner::EventCallback *onEvent_;
};

} // namespace

class AttemptRunner::Impl {
public:
  Impl(Options options, EventCallback onEvent)
      : options_(options), onEvent_(std::move(onEvent)),
        pool_(MinThreads, std::max(MinThreads, options.maxThreads)) {}

  void start(StartAttempt attempt) {
    sockets_.addPending(attempt.attempt);
    auto task = std::make_unique<AttemptTask>(std::move(attempt), options_,
                                              &sockets_, &onEvent_);
    AttemptTask *raw = task.release();
    try {
      pool_.start(*raw);
    } catch (const Poco::NoThreadAvailableException &) {
      const std::unique_ptr<AttemptTask> owned(raw);
      onEvent_(
          owned->failure(FailureKind::NotSent, "the thread pool is exhausted"));
    }
  }

  void cancel(const AttemptId &id) { sockets_.cancel(id); }
  void join() { pool_.joinAll(); }

private:
  Options options_;
  EventCallback onEvent_;
  SocketRegistry sockets_;
  Poco::ThreadPool pool_;
};

AttemptRunner::AttemptRunner(Options options, EventCallback onEvent)
    : impl_(std::make_unique<Impl>(options, std::move(onEvent))) {}
AttemptRunner::~AttemptRunner() = default;
void AttemptRunner::start(StartAttempt attempt) {
  impl_->start(std::move(attempt));
}
void AttemptRunner::cancel(const CancelAttempt &attempt) {
  impl_->cancel(attempt.attempt);
}
void AttemptRunner::join() { impl_->join(); }

} // namespace auburnspring
