#include "deployment.h"

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fcntl.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

using nlohmann::json;

namespace {

constexpr const char *Program = "target/platform/auburnspring-platformd";
constexpr char Alphabet[] =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

std::string toBase64(const std::string &text) {
  std::string out;
  for (std::size_t i = 0; i < text.size(); i += 3) {
    std::uint32_t bits = 0;
    for (std::size_t k = 0; k < 3; ++k)
      bits =
          bits << 8U |
          (i + k < text.size() ? static_cast<unsigned char>(text[i + k]) : 0U);
    for (std::size_t k = 0; k < 4; ++k)
      out += i + k > text.size() ? '=' : Alphabet[(bits >> (18 - 6 * k)) & 63U];
  }
  return out;
}

std::string fromBase64(const std::string &text) {
  std::string out;
  std::uint32_t bits = 0;
  int count = 0;
  for (const char c : text) {
    const char *found =
        c == '=' ? nullptr : std::char_traits<char>::find(Alphabet, 64, c);
    if (found == nullptr)
      continue;
    bits = bits << 6U | static_cast<std::uint32_t>(found - Alphabet);
    count += 6;
    if (count < 8)
      continue;
    count -= 8;
    out += static_cast<char>(bits >> static_cast<unsigned>(count) & 255U);
  }
  return out;
}

std::string unescape(const std::string &text) {
  std::string out;
  for (std::size_t i = 0; i < text.size(); ++i)
    if (text[i] == '%' && i + 2 < text.size()) {
      out += static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
      i += 2;
    } else {
      out += text[i];
    }
  return out;
}

std::map<std::string, std::string> queryOf(const std::string &target) {
  std::map<std::string, std::string> query;
  std::size_t at = target.find('?');
  while (at != std::string::npos) {
    const std::size_t next = target.find('&', at + 1);
    const std::string pair = target.substr(at + 1, next - at - 1);
    const std::size_t equals = pair.find('=');
    query[pair.substr(0, equals)] = unescape(pair.substr(equals + 1));
    at = next;
  }
  return query;
}

std::string jsonResponse(int status, const json &body) {
  return response(status,
                  {{"Content-Type", "application/json"}, {"Store-Era", "1"}},
                  body.dump());
}

bool startsWith(const std::string &text, const std::string &prefix) {
  return text.compare(0, prefix.size(), prefix) == 0;
}

} // namespace

void Record::line(const std::string &text) {
  char time[32];
  std::snprintf(time, sizeof(time), "%8.3f ", elapsedSeconds());
  const std::lock_guard<std::mutex> lock(mutex_);
  out_ << time << text << "\n";
  out_.flush();
}

Store::Store() : listener_([this](Connection *c) { serve(c, nullptr); }) {
  listener_.start("127.0.0.1", 0);
  expiry_ = std::thread([this] { expireLeases(); });
}

Store::~Store() {
  isRunning_ = false;
  changed_.notify_all();
  listener_.stop();
  for (const auto &view : views_)
    view->stop();
  expiry_.join();
}

int Store::addView(View view) {
  views_.push_back(std::make_unique<Listener>(
      [this, view = std::move(view)](Connection *connection) {
        serve(connection, view);
      }));
  views_.back()->start("127.0.0.1", 0);
  return views_.back()->port();
}

void Store::expireLeases() {
  while (isRunning_) {
    std::this_thread::sleep_for(Millis(50));
    const std::lock_guard<std::mutex> lock(mutex_);
    // Leases pause while the store is away.
    for (auto &lease : leases_)
      if (silent_)
        lease.second.endsAt += Millis(50);
    for (auto it = leases_.begin(); it != leases_.end();) {
      if (Clock::now() < it->second.endsAt) {
        ++it;
        continue;
      }
      std::vector<std::string> ended;
      for (const auto &item : items_)
        if (item.second.lease == it->first)
          ended.push_back(item.first);
      for (const std::string &key : ended)
        erase(key);
      it = leases_.erase(it);
    }
  }
}

void Store::write(const std::string &key, const std::string &value,
                  std::int64_t lease) {
  Item &item = items_[key];
  item.value = value;
  item.lease = lease;
  item.revision = ++revision_;
  if (item.created == 0)
    item.created = revision_;
  events_.push_back({key, revision_, false});
  changed_.notify_all();
}

void Store::erase(const std::string &key) {
  if (items_.erase(key) == 0)
    return;
  events_.push_back({key, ++revision_, true});
  changed_.notify_all();
}

bool Store::put(const std::string &key, const std::string &value) {
  if (silent_)
    return false;
  const std::lock_guard<std::mutex> lock(mutex_);
  write(key, value, 0);
  return true;
}

bool Store::remove(const std::string &key) {
  if (silent_)
    return false;
  const std::lock_guard<std::mutex> lock(mutex_);
  erase(key);
  return true;
}

bool Store::has(const std::string &key) {
  const std::lock_guard<std::mutex> lock(mutex_);
  return items_.count(key) > 0;
}

void Store::setSilent(bool silent) {
  silent_ = silent;
  if (silent)
    ++silences_;
  changed_.notify_all();
}

json Store::itemJson(const std::string &key, const Item &item,
                     const View &view) {
  return {{"Key", key},
          {"Value", toBase64(view ? view(key, item.value) : item.value)},
          {"Revision", item.revision},
          {"CreatedRev", item.created},
          {"Lease", item.lease}};
}

void Store::serve(Connection *connection, const View &view) {
  Head head;
  std::string body;
  while (isRunning_ &&
         connection->readHead(&head, Millis(60000)) == ReadEnd::Complete) {
    body.clear();
    if (connection->readBody(head, &body, Millis(5000), nullptr) !=
        ReadEnd::Complete)
      return;
    if (const Millis delay = takeLostWrite(head, body); delay > Millis(0)) {
      std::this_thread::sleep_for(delay);
      answer(head, body, view);
      while (isRunning_ && !connection->hasInput(Millis(200))) {
      }
      return;
    }
    const int silencesBefore = silences_;
    const std::string reply = silent_ ? "" : answer(head, body, view);
    // What was waiting when the silence began is lost for good.
    if (silent_ || silences_ != silencesBefore) {
      while (isRunning_ && !connection->hasInput(Millis(200))) {
      }
      return;
    }
    if (!connection->write(reply))
      return;
  }
}

void Store::loseNextWrite(const std::string &key, Millis delay) {
  const std::lock_guard<std::mutex> lock(mutex_);
  lostWrites_[key] = delay;
}

Millis Store::takeLostWrite(const Head &head, const std::string &body) {
  if (head.target() != "/api/kv-txn")
    return Millis(0);
  const json transaction = json::parse(body);
  const std::lock_guard<std::mutex> lock(mutex_);
  for (const json &row : transaction.at("Writes")) {
    const auto lost = lostWrites_.find(row.at("Key").get<std::string>());
    if (lost == lostWrites_.end())
      continue;
    const Millis delay = lost->second;
    lostWrites_.erase(lost);
    return delay;
  }
  return Millis(0);
}

std::string Store::answer(const Head &head, const std::string &body,
                          const View &view) {
  const std::string target = head.target();
  const std::string path = target.substr(0, target.find('?'));
  auto query = queryOf(target);
  if (path == "/api/kv-watch")
    return watch(query, view);
  const std::lock_guard<std::mutex> lock(mutex_);
  if (path == "/api/kv-range") {
    json items = json::array();
    for (const auto &item : items_)
      if (startsWith(item.first, query["PathPrefix"]) &&
          item.first > query["After"])
        items.push_back(itemJson(item.first, item.second, view));
    return jsonResponse(200, {{"Items", std::move(items)},
                              {"Truncated", false},
                              {"CurrentRev", revision_}});
  }
  if (path == "/api/kv-key") {
    const auto item = items_.find(query["Key"]);
    return item == items_.end()
               ? jsonResponse(404, json::object())
               : jsonResponse(200, itemJson(item->first, item->second, view));
  }
  if (path == "/api/kv-txn")
    return transact(json::parse(body));
  if (path == "/api/kv-lease") {
    const Millis ttl(json::parse(body).at("TtlMs").get<std::int64_t>());
    leases_[nextLease_] = {ttl, Clock::now() + ttl};
    return jsonResponse(200, {{"Lease", nextLease_++}, {"TtlMs", ttl.count()}});
  }
  const std::string keep = "/api/kv-keep/";
  const std::string end = "/api/kv-lease-end/";
  if (startsWith(path, keep)) {
    const auto lease = leases_.find(std::stoll(path.substr(keep.size())));
    if (lease == leases_.end())
      return jsonResponse(404, json::object());
    lease->second.endsAt = Clock::now() + lease->second.ttl;
    return jsonResponse(200, {{"TtlMs", lease->second.ttl.count()}});
  }
  if (startsWith(path, end)) {
    const auto lease = leases_.find(std::stoll(path.substr(end.size())));
    if (lease != leases_.end())
      lease->second.endsAt = Clock::now();
    return jsonResponse(200, json::object());
  }
  return jsonResponse(404, json::object());
}

std::string Store::watch(const std::map<std::string, std::string> &query,
                         const View &view) {
  const auto until = Clock::now() + Millis(std::stoll(query.at("WaitMs")));
  const std::int64_t after = std::stoll(query.at("After"));
  const auto prefixField = query.find("PathPrefix");
  const std::string prefix =
      prefixField == query.end() ? "" : prefixField->second;
  std::unique_lock<std::mutex> lock(mutex_);
  if (after > revision_)
    return jsonResponse(410, json::object());
  while (true) {
    json events = json::array();
    for (const Event &event : events_) {
      if (event.revision <= after || !startsWith(event.key, prefix))
        continue;
      const auto item = items_.find(event.key);
      if (event.removed)
        events.push_back({{"Key", event.key},
                          {"Revision", event.revision},
                          {"Removed", true}});
      else if (item != items_.end() && item->second.revision == event.revision)
        events.push_back(itemJson(event.key, item->second, view));
    }
    if (!events.empty() || Clock::now() >= until || silent_ || !isRunning_)
      return jsonResponse(
          200, {{"events", std::move(events)}, {"CurrentRev", revision_}});
    changed_.wait_until(lock, until);
  }
}

std::string Store::transact(const json &body) {
  for (const json &row : body.at("ExpectedRevision")) {
    const auto item = items_.find(row.at("Key").get<std::string>());
    const std::int64_t current =
        item == items_.end() ? 0 : item->second.revision;
    if (current != row.at("Revision").get<std::int64_t>())
      return jsonResponse(412, {{"Items", json::array()}});
  }
  for (const json &row : body.at("Writes")) {
    const std::string key = row.at("Key").get<std::string>();
    if (startsWith(key, "op/") || startsWith(key, "servers/"))
      return jsonResponse(403, json::object());
    const auto lease = row.value<std::int64_t>("Lease", 0);
    if (lease != 0 && leases_.count(lease) == 0)
      return jsonResponse(404, json::object());
  }
  for (const json &row : body.at("Writes"))
    write(row.at("Key").get<std::string>(),
          fromBase64(row.at("Value").get<std::string>()),
          row.value<std::int64_t>("Lease", 0));
  for (const json &key : body.at("Deletes"))
    erase(key.get<std::string>());
  return jsonResponse(200, {{"Revision", revision_}});
}

Proxy::Proxy(std::string ip, int port)
    : ip_(std::move(ip)), targetPort_(port),
      listener_([this](Connection *connection) { forward(connection); }) {
  listener_.start("127.0.0.1", 0);
}

void Proxy::silenceOpenChannels(Millis timeout) {
  const std::lock_guard<std::mutex> lock(mutex_);
  silentSince_ = Clock::now();
  timeout_ = timeout;
}

void Proxy::forward(Connection *connection) {
  const auto openedAt = Clock::now();
  const int fd = connectTo(ip_, targetPort_, Millis(400));
  if (fd < 0)
    return;
  Connection target(fd);
  pollfd ends[2] = {{connection->fd(), POLLIN, 0}, {fd, POLLIN, 0}};
  char bytes[16384];
  while (listener_.isRunning()) {
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      if (openedAt < silentSince_) {
        if (Clock::now() > silentSince_ + timeout_)
          return;
        std::this_thread::sleep_for(Millis(10));
        continue;
      }
    }
    if (::poll(ends, 2, 10) <= 0)
      continue;
    for (int i = 0; i < 2; ++i) {
      if (ends[i].revents == 0)
        continue;
      const ssize_t n = ::recv(ends[i].fd, bytes, sizeof(bytes), 0);
      Connection *other = i == 0 ? &target : connection;
      if (n <= 0 ||
          !other->write(std::string(bytes, static_cast<std::size_t>(n))))
        return;
    }
  }
}

Host::Host(std::string name, std::string ip, int storePort, std::string folder,
           json bounds)
    : name_(std::move(name)), ip_(std::move(ip)), storePort_(storePort),
      folder_(std::move(folder)), bounds_(std::move(bounds)) {
  std::set<int> ports;
  while (ports.size() < 5)
    ports.insert(freePort(ip_));
  auto port = ports.begin();
  callerPort_ = *port++;
  readinessPort_ = *port++;
  peerPort_ = *port++;
  handOverPort_ = *port++;
  metricsPort_ = *port;
}

void Host::start() {
  // As deploy/settings.template.json, filled in for a small deployment.
  json settings = {{"host", name_},
                   {"data_centre", "ie-a"},
                   {"callers", ip_ + ":" + std::to_string(callerPort_)},
                   {"readiness", ip_ + ":" + std::to_string(readinessPort_)},
                   {"ip", ip_},
                   {"peer_port", peerPort_},
                   {"hand_over_port", handOverPort_},
                   {"metrics_port", metricsPort_},
                   {"peer_key", "auburnspring"},
                   {"processor_share", 0.25},
                   {"retry_ratio", 0.2},
                   {"retry_slack", 58},
                   {"retry_window_s", 10},
                   {"stop_timeout_s", 8},
                   {"store", "127.0.0.1:" + std::to_string(storePort_)}};
  settings.update(bounds_);
  const std::string file = folder_ + "/" + name_ + ".json";
  std::ofstream(file) << settings.dump(2);
  const std::string log = folder_ + "/" + name_ + ".log";
  ::setenv("AUBURNSPRING_BOOT", file.c_str(), 1);
  pid_ = ::fork();
  if (pid_ != 0)
    return;
  // An aborted run leaves no host behind.
  ::prctl(PR_SET_PDEATHSIG, SIGKILL);
  const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
  ::dup2(out, 1);
  ::dup2(out, 2);
  ::execl(Program, Program, "--settings-from", "AUBURNSPRING_BOOT", nullptr);
  ::_exit(127);
}

void Host::kill() {
  if (pid_ <= 0)
    return;
  ::kill(pid_, SIGKILL);
  ::waitpid(pid_, nullptr, 0);
  pid_ = -1;
}

bool Host::waitUntilReady(Millis timeout) {
  const auto until = Clock::now() + timeout;
  while (Clock::now() < until) {
    std::this_thread::sleep_for(Millis(50));
    const int fd = connectTo(ip_, readinessPort_, Millis(200));
    if (fd < 0)
      continue;
    Connection connection(fd);
    connection.write("GET /api/readiness HTTP/1.1\r\nHost: x\r\n\r\n");
    Head head;
    if (connection.readHead(&head, Millis(500)) == ReadEnd::Complete &&
        head.status() == 200)
      return true;
  }
  return false;
}

double Host::residentMb() const {
  std::ifstream file("/proc/" + std::to_string(pid_) + "/statm");
  double total = 0;
  double resident = 0;
  file >> total >> resident;
  return resident * static_cast<double>(sysconf(_SC_PAGESIZE)) / 1e6;
}

bool hasTrouble() {
  const char *value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

std::int64_t unixMillis() {
  return std::chrono::duration_cast<Millis>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

} // namespace review
