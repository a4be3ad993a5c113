#include "caller.h"

#include <asio/post.hpp>
#include <fmt/format.h>

namespace auburnspring::review {

void Caller::send(const Request &request) {
  const auto call = std::make_shared<Call>(io_);
  call->request = request;
  http::CallOptions options;
  options.endpoint = request.host;
  options.connectTimeout = std::chrono::seconds(1);
  http::ClientCallbacks callbacks;
  callbacks.onHead = [raw = call.get()](const http::ResponseHead &head) {
    raw->result.status = head.status;
  };
  callbacks.onBody = [raw = call.get()](std::string_view bytes) {
    raw->result.body.append(bytes);
  };
  callbacks.onEnd = [this, id = request.id, raw = call.get()](
                        http::CallStatus status, std::string_view why) {
    raw->result.isComplete = status == http::CallStatus::Complete;
    finish(id, std::string(why));
  };
  call->http =
      std::make_unique<http::ClientCall>(io_, options, std::move(callbacks));
  call->timer.startAfter(request.patience,
                         [this, id = request.id] { finish(id, "gave up"); });
  calls_[request.id] = call;
  http::RequestHead head{request.method, request.path, request.headers};
  head.headers.add("Host", "review.example");
  head.headers.add("Attempt-Id", request.id);
  head.headers.add("Time-Remaining-Ms", std::to_string(static_cast<long>(
                                            toMillis(request.patience))));
  if (!request.body.empty())
    head.headers.add("Content-Length", std::to_string(request.body.size()));
  record_->add(fmt::format("request={} sent to={} path={}", request.id,
                           toString(request.host), request.path));
  call->http->start(head, request.body);
}

void Caller::finish(const std::string &id, const std::string &why) {
  const auto found = calls_.find(id);
  if (found == calls_.end())
    return;
  const std::shared_ptr<Call> call = found->second;
  calls_.erase(found);
  call->timer.cancel();
  call->http->cancel();
  record_->add(fmt::format("request={} answered status={} complete={} why={}",
                           id, call->result.status, call->result.isComplete,
                           why.empty() ? "-" : why));
  handler_(call->request, call->result);
  // The call may be in one of its own callbacks.
  asio::post(io_, [call] {});
}

} // namespace auburnspring::review
