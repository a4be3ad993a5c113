#include "auburnspring/serving/attempt.h"

namespace auburnspring {

Attempt::Attempt(asio::io_context &io, const Dialect *dialect,
                 ServedUpstreamPtr upstream, AttemptTokens tokens)
    : dialect_(dialect), upstream_(std::move(upstream)), tokens_(tokens),
      io_(io) {}

Attempt::~Attempt() { settle(); }

void Attempt::start(const http::RequestHead &head, std::string_view body,
                    const std::string &requestId, TimePoint now) {
  startedAt_ = now;
  requestId_ = requestId;
  settled_ = false;
  ++upstream_->inFlight;
  upstream_->prefillTokens += tokens_.toRead;
  upstream_->heldTokens += tokens_.toHold;
  http::CallOptions options;
  options.endpoint = upstream_->entry.endpoint;
  options.isMine = [this](const http::ResponseHead &answer) {
    const AnswerFacts facts = dialect_->readAnswer(answer);
    return facts.id.empty() || facts.id == requestId_;
  };
  http::CallEvents events;
  events.onHead = [this](http::ResponseHead answer) {
    facts_ = dialect_->readAnswer(answer);
    head_ = std::move(answer);
  };
  events.onBody = [this](std::string_view bytes) { events_.onBody(bytes); };
  events.onEnd = [this](http::CallEnd end, std::string_view why) {
    ended_ = true;
    end_ = end;
    why_ = std::string(why);
    settle();
    events_.onEnd();
  };
  call_ = std::make_unique<http::ClientCall>(io_, std::move(options),
                                             std::move(events));
  call_->start(head, body);
}

void Attempt::cancel() {
  if (call_)
    call_->cancel();
  settle();
}

void Attempt::notePromptRead() {
  if (promptRead_ || settled_)
    return;
  promptRead_ = true;
  upstream_->prefillTokens -= tokens_.toRead;
}

void Attempt::settle() {
  if (settled_)
    return;
  notePromptRead();
  settled_ = true;
  --upstream_->inFlight;
  upstream_->heldTokens -= tokens_.toHold;
}

AttemptReport Attempt::report() const {
  AttemptReport report;
  report.mayBeSent =
      !ended_ || end_ != http::CallEnd::NotSent || head_.status != 0;
  report.isWhole = ended_ && end_ == http::CallEnd::Complete;
  report.isNotRun = head_.status != 0 && facts_.isNotRun;
  report.isSigned = facts_.isSigned && !facts_.isEncoded;
  report.status = head_.status;
  return report;
}

} // namespace auburnspring
