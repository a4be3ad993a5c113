#include "auburnspring/publishing/publisher.h"

#include <catch2/catch.hpp>

#include <deque>
#include <functional>
#include <map>

using namespace auburnspring;

namespace {

enum class StoreFault { None, LoseAfterEffect, LoseBeforeEffect, Refuse };

// The key-value service in memory; each write takes the next listed fault.
class FakeStore : public KeyValueStore {
public:
  KvReply call(const KvOperation &operation) override {
    ++calls;
    if (before)
      before(operation);
    if (operation.verb == KvVerb::Get)
      return present(operation.key, KvStatus::Ok);
    StoreFault fault = StoreFault::None;
    if (!faults.empty()) {
      fault = faults.front();
      faults.pop_front();
    }
    if (fault == StoreFault::Refuse)
      return {KvStatus::Unavailable, "", 0};
    if (fault == StoreFault::LoseBeforeEffect)
      return {KvStatus::Unknown, "", 0};
    const KvReply now = present(operation.key, KvStatus::Conflict);
    if (now.revision != operation.expectedRevision)
      return fault == StoreFault::LoseAfterEffect
                 ? KvReply{KvStatus::Unknown, "", 0}
                 : now;
    values[operation.key] = {operation.value, ++revision};
    if (fault == StoreFault::LoseAfterEffect)
      return {KvStatus::Unknown, "", 0};
    return {KvStatus::Ok, "", revision};
  }

  KvReply present(const std::string &key, KvStatus status) const {
    const auto found = values.find(key);
    if (found == values.end())
      return {status, "", 0};
    return {status, found->second.first, found->second.second};
  }

  std::map<std::string, std::pair<std::string, std::int64_t>> values;
  std::int64_t revision = 0;
  std::deque<StoreFault> faults;
  std::function<void(const KvOperation &)> before;
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

TEST_CASE("a publish is accepted and a second one keeps its routes") {
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

TEST_CASE("of two operators that race one wins and the other is told") {
  FakeStore store;
  Publisher first({}, &store);
  Publisher second({}, &store);
  bool raced = false;
  // The rival publishes right before the head is written.
  store.before = [&](const KvOperation &operation) {
    if (raced || operation.verb != KvVerb::PutIf ||
        operation.key != headKey("auburnspring/"))
      return;
    raced = true;
    CHECK(second.publish(request("rival", "b")).status ==
          PublishStatus::Accepted);
  };
  const PublishResult lost = first.publish(request("mine", "a"));
  CHECK(lost.status == PublishStatus::Conflict);
  REQUIRE(lost.rivals.size() == 1);
  CHECK(lost.rivals.front().publishId == "rival");
}

TEST_CASE("a lost answer is settled, whether or not the write took effect") {
  for (const StoreFault fault :
       {StoreFault::LoseAfterEffect, StoreFault::LoseBeforeEffect}) {
    FakeStore store;
    Publisher publisher({}, &store);
    // The piece's write goes well, the head's answer is lost.
    store.faults = {StoreFault::None, fault};
    const PublishResult result = publisher.publish(request("1", "a"));
    CHECK(result.status == PublishStatus::Accepted);
    CHECK(result.generation == 1);
    CHECK(publisher.readHead().head.generation == 1);
    CHECK(publisher.readHead().head.history.size() == 1);
  }
}

TEST_CASE("an outage that begins after the pieces leaves no guess") {
  FakeStore store;
  Publisher publisher({}, &store);
  store.faults = std::deque<StoreFault>(20, StoreFault::Refuse);
  store.faults.push_front(StoreFault::None);
  CHECK(publisher.publish(request("1", "a")).status ==
        PublishStatus::NotAccepted);
  store.faults = std::deque<StoreFault>(20, StoreFault::LoseBeforeEffect);
  store.faults.push_front(StoreFault::None);
  CHECK(publisher.publish(request("1", "a")).status ==
        PublishStatus::Unsettled);
  store.faults.clear();
  CHECK(publisher.publish(request("1", "a")).status == PublishStatus::Accepted);
  CHECK(publisher.publish(request("1", "a")).generation == 1);
}

TEST_CASE("a drain applies itself anew after a rival's publish") {
  FakeStore store;
  Publisher first({}, &store);
  Publisher second({}, &store);
  bool raced = false;
  store.before = [&](const KvOperation &operation) {
    if (raced || operation.verb != KvVerb::PutIf)
      return;
    raced = true;
    second.publish(request("rival", "b"));
  };
  const PublishResult drained =
      first.setDrained("engine-1", true, "d", "ann", WallTime(0));
  CHECK(drained.status == PublishStatus::Accepted);
  CHECK(drained.generation == 2);
  const ConfigurationHead head = first.readHead().head;
  CHECK(head.drained == std::vector<std::string>{"engine-1"});
  CHECK(head.pieces.size() == 1);
}

TEST_CASE("a publish with a fault or on an old base is refused") {
  FakeStore store;
  Publisher publisher({}, &store);
  publisher.publish(request("1", "a"));
  PublishRequest faulty = request("2", "b");
  faulty.files["c.json"] = "{";
  CHECK(publisher.publish(faulty).status == PublishStatus::Faulty);
  PublishRequest twin = request("3", "b");
  twin.files["other.json"] = route("a");
  CHECK(publisher.publish(twin).status == PublishStatus::Faulty);
  PublishRequest old = request("4", "b");
  old.base = 0;
  CHECK(publisher.publish(old).status == PublishStatus::Conflict);
}
