#include "auburnspring/publishing/publisher.h"

#include <catch2/catch.hpp>

#include <deque>
#include <functional>
#include <map>

using namespace auburnspring;

namespace {

enum class WriteFault { None, ResponseLost, RequestLost, Unavailable };

// In-memory key-value service. Each write consumes the next entry of `faults`.
class FakeStore : public KeyValueStore {
public:
  KvReply call(const KvOperation &operation) override {
    ++calls;
    if (beforeCall)
      beforeCall(operation);
    if (operation.verb == KvVerb::Get)
      return read(operation.key, KvStatus::Ok);
    WriteFault fault = WriteFault::None;
    if (!faults.empty()) {
      fault = faults.front();
      faults.pop_front();
    }
    if (fault == WriteFault::Unavailable)
      return {KvStatus::Unavailable, "", 0};
    if (fault == WriteFault::RequestLost)
      return {KvStatus::Unknown, "", 0};
    const KvReply current = read(operation.key, KvStatus::Conflict);
    if (current.revision != operation.expectedRevision)
      return fault == WriteFault::ResponseLost
                 ? KvReply{KvStatus::Unknown, "", 0}
                 : current;
    values[operation.key] = {operation.value, ++revision};
    if (fault == WriteFault::ResponseLost)
      return {KvStatus::Unknown, "", 0};
    return {KvStatus::Ok, "", revision};
  }

  KvReply read(const std::string &key, KvStatus status) const {
    const auto found = values.find(key);
    if (found == values.end())
      return {status, "", 0};
    return {status, found->second.first, found->second.second};
  }

  std::map<std::string, std::pair<std::string, std::int64_t>> values;
  std::int64_t revision = 0;
  std::deque<WriteFault> faults;
  std::function<void(const KvOperation &)> beforeCall;
  int calls = 0;
};

std::string route(const std::string &name) {
  return R"({"name":")" + name +
         R"(","owner":"o","deadline_ms":1000,"repeat":"always",)"
         R"("stages":[{"kind":"encode","pool":"p"}]})";
}

PublishRequest request(const std::string &id, const std::string &name) {
  PublishRequest result;
  result.files[name + ".json"] = route(name);
  result.publishId = id;
  result.author = "ann";
  return result;
}

} // namespace

TEST_CASE("a publish keeps the routes of earlier publishes") {
  FakeStore store;
  Publisher publisher({}, &store);
  CHECK(publisher.publish(request("1", "a")).generation == 1);
  CHECK(publisher.publish(request("2", "b")).generation == 2);
  const auto bundle = publisher.readBundle();
  REQUIRE(bundle.ok());
  CHECK(buildRoutes(*bundle)->size() == 2);
  CHECK(publisher.publish(request("3", "b")).status ==
        PublishStatus::Unchanged);
}

TEST_CASE("of two concurrent publishes one is accepted and the other gets a "
          "conflict") {
  FakeStore store;
  Publisher first({}, &store);
  Publisher second({}, &store);
  bool hasRaced = false;
  // The second publisher writes the head just before the first one does.
  store.beforeCall = [&](const KvOperation &operation) {
    if (hasRaced || operation.verb != KvVerb::PutIf ||
        operation.key != headKey("auburnspring/"))
      return;
    hasRaced = true;
    CHECK(second.publish(request("rival", "b")).status ==
          PublishStatus::Accepted);
  };
  const PublishResult refused = first.publish(request("mine", "a"));
  CHECK(refused.status == PublishStatus::Conflict);
  REQUIRE(refused.conflicts.size() == 1);
  CHECK(refused.conflicts.front().publishId == "rival");
}

TEST_CASE("a lost response is resolved, whether or not the write took effect") {
  for (const WriteFault fault :
       {WriteFault::ResponseLost, WriteFault::RequestLost}) {
    FakeStore store;
    Publisher publisher({}, &store);
    // The route file's write succeeds; the head's write has the fault.
    store.faults = {WriteFault::None, fault};
    const PublishResult result = publisher.publish(request("1", "a"));
    CHECK(result.status == PublishStatus::Accepted);
    CHECK(result.generation == 1);
    CHECK(publisher.readHead().head.generation == 1);
    CHECK(publisher.readHead().head.history.size() == 1);
  }
}

TEST_CASE("an outage during the head write gives NotAccepted or Unsettled, "
          "and a retry succeeds") {
  FakeStore store;
  Publisher publisher({}, &store);
  store.faults = std::deque<WriteFault>(20, WriteFault::Unavailable);
  store.faults.push_front(WriteFault::None);
  CHECK(publisher.publish(request("1", "a")).status ==
        PublishStatus::NotAccepted);
  store.faults = std::deque<WriteFault>(20, WriteFault::RequestLost);
  store.faults.push_front(WriteFault::None);
  CHECK(publisher.publish(request("1", "a")).status ==
        PublishStatus::Unsettled);
  store.faults.clear();
  CHECK(publisher.publish(request("1", "a")).status == PublishStatus::Accepted);
  CHECK(publisher.publish(request("1", "a")).generation == 1);
}

TEST_CASE("a drain is reapplied after a concurrent publish") {
  FakeStore store;
  Publisher first({}, &store);
  Publisher second({}, &store);
  bool hasRaced = false;
  store.beforeCall = [&](const KvOperation &operation) {
    if (hasRaced || operation.verb != KvVerb::PutIf)
      return;
    hasRaced = true;
    second.publish(request("rival", "b"));
  };
  const PublishResult drained =
      first.setDrained("engine-1", true, "d", "ann", WallTime(0));
  CHECK(drained.status == PublishStatus::Accepted);
  CHECK(drained.generation == 2);
  const ConfigurationHead head = first.readHead().head;
  CHECK(head.drained == std::vector<std::string>{"engine-1"});
  CHECK(head.fileDigests.size() == 1);
}

TEST_CASE("a publish with a fault or an outdated base is refused") {
  FakeStore store;
  Publisher publisher({}, &store);
  publisher.publish(request("1", "a"));
  PublishRequest faulty = request("2", "b");
  faulty.files["c.json"] = "{";
  CHECK(publisher.publish(faulty).status == PublishStatus::Faulty);
  PublishRequest duplicate = request("3", "b");
  duplicate.files["other.json"] = route("a");
  CHECK(publisher.publish(duplicate).status == PublishStatus::Faulty);
  PublishRequest outdated = request("4", "b");
  outdated.base = 0;
  CHECK(publisher.publish(outdated).status == PublishStatus::Conflict);
}
