#include "auburnspring/decision/store_replica.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <optional>

using namespace auburnspring;

namespace {

using Content = std::map<std::string, std::string>;

Content contentOf(const StoreReplica &replica) {
  Content content;
  for (const StoreChange &item : replica.snapshot())
    content[item.key] = item.value;
  return content;
}

/// Plain model of the store. It remembers every state that it was ever in.
class ModelStore {
public:
  struct Item {
    std::string value;
    std::int64_t revision = 0;
  };
  /// A response of the store or of a peer that has not been delivered yet.
  struct Response {
    bool isSnapshot = false;
    std::vector<StoreChange> changes;
    StoreVersion version;
  };

  ModelStore() { record(); }

  void write(const std::string &key, const std::string &value) {
    items_[key] = {value, ++version_.revision};
    log_.push_back({key, value, version_.revision, false});
    record();
  }

  void remove(const std::string &key) {
    if (items_.erase(key) == 0)
      return;
    log_.push_back({key, "", ++version_.revision, true});
    record();
  }

  /// Returns to the state `revisions` ago, in a new era.
  void restore(std::int64_t revisions) {
    const std::int64_t to =
        std::max<std::int64_t>(0, version_.revision - revisions);
    items_ = itemsAt_.at({version_.era, to});
    while (!log_.empty() && log_.back().revision > to)
      log_.pop_back();
    version_ = {version_.era + 1, to};
    record();
    // The history before the copy belongs to the new era as well.
    for (std::int64_t revision = 0; revision < to; ++revision)
      itemsAt_[{version_.era, revision}] =
          itemsAt_.at({version_.era - 1, revision});
  }

  Response readAll() const {
    Response response{true, {}, version_};
    for (const auto &[key, item] : items_)
      response.changes.push_back({key, item.value, item.revision, false});
    return response;
  }

  /// The response to a watch, or nothing if the store lacks that revision.
  std::optional<Response> watch(const StoreVersion &after) const {
    if (after.revision > version_.revision)
      return std::nullopt;
    Response response{false, {}, version_};
    for (const StoreChange &change : log_)
      if (change.revision > after.revision)
        response.changes.push_back(change);
    return response;
  }

  Content contentAt(const StoreVersion &version) const {
    Content content;
    for (const auto &[key, item] : itemsAt_.at({version.era, version.revision}))
      content[key] = item.value;
    return content;
  }

  const StoreVersion &version() const { return version_; }

private:
  void record() { itemsAt_[{version_.era, version_.revision}] = items_; }

  std::map<std::string, Item> items_;
  std::vector<StoreChange> log_;
  StoreVersion version_;
  std::map<std::pair<std::int64_t, std::int64_t>, std::map<std::string, Item>>
      itemsAt_;
};

void deliver(const ModelStore::Response &response, StoreReplica *replica) {
  // As StoreFollower and its peers do: a peer's response is used only if it is
  // newer, and changes only continue the replica's own era.
  if (response.isSnapshot)
    replica->replace(response.changes, response.version);
  else
    replica->apply(response.changes, response.version);
}

} // namespace

TEST_CASE("replica: older changes that arrive late are ignored") {
  StoreReplica replica;
  CHECK(replica.replace({{"a", "1", 3, false}, {"b", "1", 4, false}}, {0, 5})
            .changes.size() == 2);
  CHECK(replica.apply({{"a", "2", 8, false}}, {0, 8}).changes.size() == 1);
  CHECK(replica.apply({{"a", "1", 3, false}}, {0, 8}).changes.empty());
  CHECK(replica.apply({{"a", "", 9, true}}, {0, 9}).changes.size() == 1);
  CHECK(replica.apply({{"a", "2", 8, false}}, {0, 9}).changes.empty());
  CHECK(replica.version() == StoreVersion{0, 9});
  CHECK(replica.snapshot().size() == 1);
}

TEST_CASE("replica: a full read removes missing items unless they are newer") {
  StoreReplica replica;
  replica.replace({{"a", "1", 3, false}, {"b", "1", 4, false}}, {0, 5});
  replica.apply({{"c", "1", 12, false}}, {0, 12});
  const auto applied = replica.replace({{"b", "1", 4, false}}, {0, 10}).changes;
  REQUIRE(applied.size() == 1);
  CHECK(applied[0].key == "a");
  CHECK(applied[0].removed);
  CHECK(replica.snapshot().size() == 2);
}

TEST_CASE("replica: changes are available as far back as the last full read") {
  StoreReplica replica;
  replica.replace({{"a", "1", 3, false}}, {0, 5});
  replica.apply({{"a", "2", 6, false}}, {0, 6});
  std::vector<StoreChange> changes;
  REQUIRE(replica.changesAfter({0, 5}, &changes));
  CHECK(changes.size() == 1);
  CHECK_FALSE(replica.changesAfter({0, 4}, &changes));
}

// Guards against replies that hold a large item once for each of its writes,
// under which hosts on slow links stay stale (CONFIG).
TEST_CASE("replica: a peer gets the last of several writes of an item") {
  StoreReplica replica;
  replica.replace({{"a", "1", 3, false}, {"b", "1", 4, false}}, {0, 5});
  for (std::int64_t revision = 6; revision <= 12; ++revision)
    replica.apply({{"a", std::to_string(revision), revision, false}},
                  {0, revision});
  replica.apply({{"b", "2", 13, false}}, {0, 13});
  std::vector<StoreChange> changes;
  REQUIRE(replica.changesAfter({0, 7}, &changes));
  REQUIRE(changes.size() == 2);
  CHECK(changes[0].key == "a");
  CHECK(changes[0].value == "12");
  CHECK(changes[0].revision == 12);
  CHECK(changes[0].replacedWrites == std::vector<std::int64_t>{8, 9, 10, 11});
  CHECK(changes[1].key == "b");
  CHECK(changes[1].replacedWrites.empty());
}

TEST_CASE("replica: a peer gets a removal with the write before it") {
  // An upstream may say that it leaves before its entry is removed.
  StoreReplica replica;
  replica.replace({{"a", "ready", 3, false}}, {0, 5});
  replica.apply({{"a", "busy", 6, false}, {"a", "leaving", 7, false}}, {0, 7});
  replica.apply({{"a", "", 8, true}}, {0, 8});
  replica.apply({{"a", "ready", 9, false}}, {0, 9});
  std::vector<StoreChange> changes;
  REQUIRE(replica.changesAfter({0, 5}, &changes));
  REQUIRE(changes.size() == 3);
  CHECK(changes[0].value == "leaving");
  CHECK(changes[0].revision == 7);
  CHECK(changes[1].removed);
  CHECK(changes[1].revision == 8);
  CHECK(changes[2].value == "ready");
  CHECK(changes[2].revision == 9);
}

TEST_CASE("replica: a write that others have replaced before a peer saw it is "
          "recognized in a copy") {
  StoreReplica watcher;
  watcher.replace({{"a", "1", 3, false}}, {1, 5});
  watcher.apply({{"a", "2", 6, false}, {"a", "leaving", 7, false}}, {1, 7});
  StoreReplica peer;
  peer.replace({{"a", "1", 3, false}}, {1, 5});
  std::vector<StoreChange> changes;
  REQUIRE(watcher.changesAfter({1, 5}, &changes));
  peer.apply(changes, {1, 7});
  const StoreUpdate update = peer.replace({{"a", "2", 6, false}}, {2, 6});
  REQUIRE(update.changes.size() == 1);
  CHECK(update.changes[0].isFromCopy);
}

TEST_CASE(
    "replica: the final content does not depend on the order of changes") {
  CHECK(rc::check([](const std::vector<std::uint8_t> &order) {
    StoreReplica ordered;
    std::vector<StoreChange> history;
    for (std::int64_t i = 1; i <= 12; ++i)
      history.push_back(
          {i % 2 != 0 ? "x" : "y", std::to_string(i), i, i % 5 == 0});
    ordered.apply(history, {0, 12});
    StoreReplica shuffled;
    for (const std::uint8_t index : order)
      shuffled.apply({history[index % history.size()]}, {0, 0});
    shuffled.apply(history, {0, 12});
    RC_ASSERT(shuffled.snapshot().size() == ordered.snapshot().size());
    for (std::size_t i = 0; i < ordered.snapshot().size(); ++i)
      RC_ASSERT(shuffled.snapshot()[i].value == ordered.snapshot()[i].value);
  }));
}

TEST_CASE("replica: a read of a newer era replaces newer revisions") {
  StoreReplica replica;
  replica.replace({{"a", "1", 3, false}, {"b", "1", 4, false}}, {1, 5});
  replica.apply({{"a", "2", 8, false}, {"c", "1", 9, false}}, {1, 9});
  const StoreUpdate update = replica.replace(
      {{"a", "1", 3, false}, {"b", "1", 4, false}, {"d", "1", 6, false}},
      {2, 6});
  // Only b is as before. What was written after the copy is told apart from
  // what it had.
  REQUIRE(update.changes.size() == 3);
  CHECK(update.changes[0].key == "a");
  CHECK(update.changes[0].isFromCopy);
  CHECK(update.changes[1].key == "d");
  CHECK_FALSE(update.changes[1].isFromCopy);
  CHECK(update.changes[2].key == "c");
  CHECK(update.changes[2].removed);
  CHECK(contentOf(replica) == Content{{"a", "1"}, {"b", "1"}, {"d", "1"}});
  CHECK(replica.version() == StoreVersion{2, 6});
  // Revision 8 is assigned again, to another write.
  CHECK(replica.apply({{"a", "3", 8, false}}, {2, 8}).changes.size() == 1);
}

TEST_CASE("replica: what an older era returns is ignored") {
  StoreReplica replica;
  replica.replace({{"a", "1", 3, false}}, {1, 9});
  replica.replace({{"a", "0", 2, false}}, {2, 4});
  CHECK(replica.replace({{"a", "1", 3, false}}, {1, 12}).changes.empty());
  CHECK(replica.apply({{"a", "9", 20, false}}, {1, 20}).changes.empty());
  CHECK(contentOf(replica) == Content{{"a", "0"}});
  CHECK(replica.version() == StoreVersion{2, 4});
}

TEST_CASE("replica: changes of a newer era need a full read first") {
  StoreReplica replica;
  replica.replace({{"a", "1", 3, false}}, {1, 9});
  CHECK(replica.apply({{"a", "2", 11, false}}, {2, 11}).changes.empty());
  CHECK(replica.version() == StoreVersion{1, 9});
  std::vector<StoreChange> changes;
  CHECK_FALSE(replica.changesAfter({0, 9}, &changes));
  CHECK_FALSE(replica.changesAfter({2, 9}, &changes));
}

TEST_CASE("replica: the first read has no write from a copy") {
  StoreReplica replica;
  const StoreUpdate update = replica.replace({{"a", "1", 3, false}}, {7, 9});
  REQUIRE(update.changes.size() == 1);
  CHECK_FALSE(update.changes[0].isFromCopy);
}

TEST_CASE("replica: an unknown write that is older than a known one is from "
          "the copy") {
  // This replica was fetched after "a" had changed: it knows only the last
  // write.
  StoreReplica replica;
  replica.replace({{"a", "leaving", 9, false}, {"b", "1", 6, false}}, {1, 9});
  const StoreUpdate update = replica.replace(
      {{"a", "ready", 4, false}, {"b", "1", 6, false}, {"e", "1", 7, false}},
      {2, 7});
  REQUIRE(update.changes.size() == 2);
  CHECK(update.changes[0].key == "a");
  CHECK(update.changes[0].isFromCopy);
  CHECK_FALSE(update.changes[1].isFromCopy);
}

TEST_CASE("replica: every replica equals a state of the store, whatever is "
          "restored, restarted or delivered late") {
  CHECK(rc::check(
      [](const std::vector<std::pair<std::uint8_t, std::uint8_t>> &commands) {
        constexpr std::size_t Hosts = 3;
        ModelStore store;
        std::vector<StoreReplica> replicas(Hosts);
        struct Pending {
          std::size_t host;
          ModelStore::Response response;
        };
        std::vector<Pending> pending;
        const auto ask = [&](std::size_t host) {
          const StoreVersion &own = replicas[host].version();
          const auto watched =
              own.revision > 0 && own.era == store.version().era
                  ? store.watch(own)
                  : std::nullopt;
          pending.push_back({host, watched ? *watched : store.readAll()});
        };
        const auto askPeer = [&](std::size_t host, std::size_t peer) {
          ModelStore::Response response{false, {}, replicas[peer].version()};
          if (!replicas[peer].changesAfter(replicas[host].version(),
                                           &response.changes)) {
            response.isSnapshot = true;
            response.changes = replicas[peer].snapshot();
          }
          if (replicas[host].version() < response.version)
            pending.push_back({host, std::move(response)});
        };
        const auto deliverAt = [&](std::size_t index) {
          const Pending next = pending[index];
          pending.erase(pending.begin() + static_cast<std::ptrdiff_t>(index));
          const StoreVersion before = replicas[next.host].version();
          deliver(next.response, &replicas[next.host]);
          RC_ASSERT(before <= replicas[next.host].version());
        };
        for (const auto &[command, argument] : commands) {
          const std::string key(1, static_cast<char>('a' + argument % 4));
          const std::size_t host = argument % Hosts;
          switch (command % 8) {
          case 0:
          case 1:
            store.write(key, std::to_string(argument));
            break;
          case 2:
            store.remove(key);
            break;
          case 3:
            store.restore(argument % 5);
            break;
          case 4:
            ask(host);
            break;
          case 5:
            askPeer(host, (host + 1 + argument / Hosts % 2) % Hosts);
            break;
          case 6:
            if (!pending.empty())
              deliverAt(argument % pending.size());
            break;
          case 7:
            // A restarted process does not get responses to its predecessor.
            replicas[host] = StoreReplica();
            pending.erase(std::remove_if(pending.begin(), pending.end(),
                                         [&](const Pending &entry) {
                                           return entry.host == host;
                                         }),
                          pending.end());
            break;
          }
          for (const StoreReplica &replica : replicas)
            if (replica.version().revision > 0)
              RC_ASSERT(contentOf(replica) ==
                        store.contentAt(replica.version()));
        }
        while (!pending.empty())
          deliverAt(0);
        for (std::size_t host = 0; host < Hosts; ++host) {
          ask(host);
          deliverAt(0);
          RC_ASSERT(replicas[host].version() == store.version());
          RC_ASSERT(contentOf(replicas[host]) ==
                    store.contentAt(store.version()));
        }
      }));
}
