#include "auburnspring/upstream/attempt_runner.h"

#include "attempt_sockets.h"
#include "auburnspring/base/log.h"
#include "auburnspring/store/strict_response.h"
#include "auburnspring/upstream/upstream_protocol.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/Runnable.h>
#include <Poco/ThreadPool.h>
#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>

#include <istream>
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

/// Reads a line without its end of at most `maxBytes` bytes. Returns false at
/// the end of the stream; a line that is too long is returned in part.
/// False at the end of the stream, also within a line.
bool readLine(std::istream &stream, std::size_t maxBytes, std::string *line) {
  line->clear();
  char c = 0;
  while (line->size() <= maxBytes && stream.get(c)) {
    if (c == '\n')
      return true;
    line->push_back(c);
  }
  return line->size() > maxBytes;
}

Poco::Timespan toTimespan(Duration duration) { return {duration.count()}; }

// Runs one attempt; deletes itself at the end of run().
class AttemptTask : public Poco::Runnable {
public:
  AttemptTask(StartAttempt attempt, AttemptRunner::Options options,
              AttemptSockets *sockets,
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
      return exchange(socket);
    } catch (const Poco::Exception &error) {
      return failure(FailureKind::ResponseLost, error.displayText());
    } catch (const std::exception &error) {
      return failure(FailureKind::ResponseLost, error.what());
    }
  }

  // The session is built from a socket and has no host, so POCO can't reconnect
  // and resend the request.
  Event exchange(const Poco::Net::StreamSocket &socket) {
    Poco::Net::HTTPClientSession session(socket);
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
    StrictResponse response;
    std::istream &responseBody = session.receiveResponse(response);
    if (isStream && response.getStatus() == Ok)
      return readStream(responseBody);
    return readBody(responseBody, response);
  }

  Event unbounded(const char *part, std::size_t bytes) const {
    logEvent(LogLevel::Warning, "response_unbounded",
             {{"upstream", attempt_.upstream},
              {"in", part},
              {"bytes", static_cast<unsigned long>(bytes)}});
    return failure(FailureKind::ResponseLost,
                   "the response exceeds the size limit");
  }

  Event readBody(std::istream &stream,
                 const Poco::Net::HTTPResponse &response) const {
    std::string body;
    char buffer[16384];
    while (stream.read(buffer, sizeof buffer) || stream.gcount() > 0) {
      body.append(buffer, static_cast<std::size_t>(stream.gcount()));
      if (body.size() > options_.maxResponseBytes)
        return unbounded("body", body.size());
    }
    // A body without a length ends with its connection, unless that is reset.
    // That it is whole shows when it is parsed.
    const std::streamsize contentLength = response.getContentLength();
    const bool hasLength =
        contentLength != Poco::Net::HTTPMessage::UNKNOWN_CONTENT_LENGTH;
    if (stream.bad() ||
        (hasLength &&
         contentLength != static_cast<std::streamsize>(body.size())))
      return failure(FailureKind::ResponseLost, "the response was truncated");
    return parseStageResponse(attempt_.attempt,
                              static_cast<int>(response.getStatus()), body);
  }

  Event readStream(std::istream &stream) const {
    std::string text = attempt_.resumeText;
    std::string line;
    // Since the last event with text.
    std::size_t idleBytes = 0;
    // An event whose empty line has not come is not whole.
    std::optional<CompletionEvent> event;
    while (readLine(stream, options_.maxResponseBytes, &line)) {
      idleBytes += line.size() + 1;
      if (idleBytes > options_.maxResponseBytes)
        return unbounded("event", idleBytes);
      if (!line.empty() && line.back() == '\r')
        line.pop_back();
      if (absl::StartsWith(line, "data: ")) {
        event = parseCompletionEvent(absl::string_view(line).substr(6));
        if (!event)
          return failure(FailureKind::ResponseLost,
                         "the stream has a malformed event");
      }
      if (!line.empty() || !event)
        continue;
      if (event->attempt != toString(attempt_.attempt))
        return failure(FailureKind::ResponseLost,
                       "the stream has a malformed event");
      if (event->offset != text.size())
        return failure(FailureKind::ResponseLost,
                       "the stream has a gap in its offsets");
      text += event->text;
      if (!event->text.empty())
        idleBytes = 0;
      if (text.size() > options_.maxResponseBytes)
        return unbounded("body", text.size());
      if (event->done)
        return AttemptSucceeded{attempt_.attempt, std::move(text),
                                event->usage};
      (*onEvent_)(
          AttemptProgress{attempt_.attempt, event->offset, event->text});
      event.reset();
    }
    return failure(FailureKind::ResponseLost,
                   "the stream ended without a final event");
  }

  StartAttempt attempt_;
  AttemptRunner::Options options_;
  AttemptSockets *sockets_;
  const AttemptRunner::EventCallback *onEvent_;
};

} // namespace

class AttemptRunner::Impl {
public:
  Impl(Options options, EventCallback onEvent)
      : options_(options), onEvent_(std::move(onEvent)),
        pool_(MinThreads, std::max(MinThreads, options.maxThreads)) {}

  void start(StartAttempt attempt) {
    sockets_.addPending(attempt.attempt, attempt.deadline);
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
  AttemptSockets sockets_;
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
