#ifndef AUBURNSPRING_REVIEW_DEPLOYMENT_H
#define AUBURNSPRING_REVIEW_DEPLOYMENT_H

#include "wire.h"

#include <nlohmann/json.hpp>

#include <condition_variable>
#include <cstdint>
#include <fstream>
#include <memory>

namespace review {

/// Writes record.txt: one line for what was sent, answered and run.
class Record {
public:
  explicit Record(const std::string &file) : out_(file) {}
  void line(const std::string &text);

private:
  std::mutex mutex_;
  std::ofstream out_;
};

/// Stand-in of the platform's metadata store.
class Store {
public:
  Store();
  ~Store();

  int port() const { return listener_.port(); }
  /// Changes what a host reads, by key and value: where its way to a peer or a
  /// worker leads through a proxy, the entry names that.
  using View =
      std::function<std::string(const std::string &, const std::string &)>;
  /// Another address of the store, for such a host.
  int addView(View view);
  /// A write of the operator or of a worker. Returns false, and does nothing,
  /// while the store is silent.
  bool put(const std::string &key, const std::string &value);
  bool remove(const std::string &key);
  /// While it is silent, calls get no answer and watches that wait are lost.
  void setSilent(bool silent);
  bool isSilent() const { return silent_; }
  /// The next transaction on each of these keys is done this much later, and
  /// not answered.
  void loseNextWrite(const std::string &key, Millis delay);
  bool has(const std::string &key);

private:
  struct Item {
    std::string value;
    std::int64_t revision = 0;
    std::int64_t created = 0;
    std::int64_t lease = 0;
  };
  struct Event {
    std::string key;
    std::int64_t revision = 0;
    bool removed = false;
  };
  struct Lease {
    Millis ttl{0};
    Clock::time_point endsAt;
  };

  void serve(Connection *connection, const View &view);
  std::string answer(const Head &head, const std::string &body,
                     const View &view);
  std::string watch(const std::map<std::string, std::string> &query,
                    const View &view);
  std::string transact(const nlohmann::json &body);
  /// Takes the delay of a transaction that is to be lost; 0 for any other.
  Millis takeLostWrite(const Head &head, const std::string &body);
  void write(const std::string &key, const std::string &value,
             std::int64_t lease);
  void erase(const std::string &key);
  static nlohmann::json itemJson(const std::string &key, const Item &item,
                                 const View &view);
  void expireLeases();

  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, Item> items_;
  std::vector<Event> events_;
  std::map<std::int64_t, Lease> leases_;
  std::int64_t revision_ = 100;
  std::int64_t nextLease_ = 1;
  std::atomic<bool> silent_{false};
  std::atomic<int> silences_{0};
  std::atomic<bool> isRunning_{true};
  std::map<std::string, Millis> lostWrites_;
  std::thread expiry_;
  Listener listener_;
  std::vector<std::unique_ptr<Listener>> views_;
};

/// A way to an address. Channels on it may fall silent.
class Proxy {
public:
  Proxy(std::string ip, int port);

  int port() const { return listener_.port(); }
  /// Nothing passes any more on the channels that are open, which end after
  /// `timeout`, as by the sender's TCP_USER_TIMEOUT. New ones work.
  void silenceOpenChannels(Millis timeout);

private:
  void forward(Connection *connection);

  std::string ip_;
  int targetPort_;
  std::mutex mutex_;
  Clock::time_point silentSince_;
  Millis timeout_{0};
  Listener listener_;
};

/// Process of the system under test, started with the command of the deploy
/// file.
class Host {
public:
  /// `bounds` holds further fields of the settings.
  Host(std::string name, std::string ip, int storePort, std::string folder,
       nlohmann::json bounds = nlohmann::json::object());
  ~Host() { kill(); }

  void setStorePort(int port) { storePort_ = port; }
  void start();
  void kill();
  /// Waits until the host answers readiness probes with 200.
  bool waitUntilReady(Millis timeout);
  const std::string &ip() const { return ip_; }
  int callerPort() const { return callerPort_; }
  int peerPort() const { return peerPort_; }
  const std::string &name() const { return name_; }
  pid_t pid() const { return pid_; }
  /// Resident memory in megabytes.
  double residentMb() const;

private:
  std::string name_;
  std::string ip_;
  int storePort_;
  std::string folder_;
  nlohmann::json bounds_;
  int callerPort_ = 0;
  int readinessPort_ = 0;
  int peerPort_ = 0;
  int handOverPort_ = 0;
  int metricsPort_ = 0;
  pid_t pid_ = -1;
};

/// True unless the environment holds TROUBLE=0.
bool hasTrouble();
std::int64_t unixMillis();

} // namespace review

#endif
