// Simulates the platform's host list: JSON over HTTP with ETag. POST /v1/hosts
// sets the list; GET returns it once the lag has passed.
#include "common/stand_in.h"

#include <chrono>
#include <deque>
#include <mutex>

namespace {

using nlohmann::json;
using standin::jsonReply;
using standin::Reply;
using standin::Request;
using Clock = std::chrono::steady_clock;

class HostListStandIn : public standin::StandIn {
public:
  explicit HostListStandIn(std::int64_t lagMillis) : lag_(lagMillis) {}

  Reply handle(const Request &request) override {
    if (request.path != "/v1/hosts")
      return jsonReply({{"error", "not found"}}, 404);
    const std::lock_guard<std::mutex> lock(mutex_);
    if (request.method == "POST") {
      const json hosts = json::parse(request.body, nullptr, false);
      if (!hosts.is_array())
        return jsonReply({{"error", "expected a list of hosts"}}, 400);
      lists_.push_back({++version_, Clock::now(), hosts});
      return jsonReply({{"version", version_}});
    }
    const Clock::time_point visibleBefore = Clock::now() - lag_;
    while (lists_.size() > 1 && lists_[1].since <= visibleBefore)
      lists_.pop_front();
    const List visibleList =
        lists_.empty() || lists_.front().since > visibleBefore
            ? List{0, visibleBefore, json::array()}
            : lists_.front();
    const std::string etag = "\"" + std::to_string(visibleList.version) + "\"";
    const auto ifNoneMatch = request.headers.find("If-None-Match");
    Reply reply;
    if (ifNoneMatch != request.headers.end() && ifNoneMatch->second == etag)
      reply.status = 304;
    else
      reply = jsonReply(
          {{"version", visibleList.version}, {"hosts", visibleList.hosts}});
    reply.headers["ETag"] = etag;
    return reply;
  }

private:
  struct List {
    std::uint64_t version = 0;
    Clock::time_point since;
    json hosts;
  };

  std::chrono::milliseconds lag_;
  std::mutex mutex_;
  std::uint64_t version_ = 0;
  std::deque<List> lists_;
};

} // namespace

int main(int argc, char **argv) {
  const standin::StandInOptions options = standin::parseStandInOptions(
      argc, argv,
      "stand_in_host_list - the platform's host list\nvalues: lag_ms (0)");
  HostListStandIn standIn(options.number("lag_ms", 0));
  return standIn.run(options);
}
