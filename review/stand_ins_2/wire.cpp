#include "wire.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstdlib>
#include <stdexcept>

namespace review {

namespace {

const Clock::time_point ProgramStart = Clock::now();

sockaddr_in addressOf(const std::string &ip, int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
  return address;
}

int remainingMillis(Clock::time_point until) {
  const auto left =
      std::chrono::duration_cast<Millis>(until - Clock::now()).count();
  return static_cast<int>(std::max<long>(0, left));
}

} // namespace

double elapsedSeconds() {
  return std::chrono::duration<double>(Clock::now() - ProgramStart).count();
}

std::string Head::field(const std::string &name) const {
  for (const auto &entry : fields)
    if (strcasecmp(entry.first.c_str(), name.c_str()) == 0)
      return entry.second;
  return "";
}

bool Head::hasField(const std::string &name) const {
  return std::any_of(fields.begin(), fields.end(), [&](const auto &entry) {
    return strcasecmp(entry.first.c_str(), name.c_str()) == 0;
  });
}

std::string Head::method() const {
  return firstLine.substr(0, firstLine.find(' '));
}

std::string Head::target() const {
  const std::size_t begin = firstLine.find(' ') + 1;
  return firstLine.substr(begin, firstLine.find(' ', begin) - begin);
}

int Head::status() const {
  const std::size_t begin = firstLine.find(' ');
  return begin == std::string::npos ? 0 : std::atoi(&firstLine[begin + 1]);
}

Connection::~Connection() { ::close(fd_); }

bool Connection::write(const std::string &bytes) {
  std::size_t sent = 0;
  while (sent < bytes.size()) {
    const ssize_t n =
        ::send(fd_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (n <= 0)
      return false;
    sent += static_cast<std::size_t>(n);
  }
  return true;
}

void Connection::setReadPace(std::size_t bytes, Millis pause) {
  paceBytes_ = bytes;
  pacePause_ = pause;
}

ReadEnd Connection::fill(Clock::time_point until) {
  pollfd entry{fd_, POLLIN, 0};
  if (::poll(&entry, 1, remainingMillis(until)) <= 0)
    return ReadEnd::TimedOut;
  char bytes[16384];
  const std::size_t wanted =
      paceBytes_ == 0 ? sizeof(bytes) : std::min(paceBytes_, sizeof(bytes));
  const ssize_t n = ::recv(fd_, bytes, wanted, 0);
  if (n <= 0)
    return ReadEnd::Closed;
  buffer_.append(bytes, static_cast<std::size_t>(n));
  if (pacePause_ > Millis(0))
    std::this_thread::sleep_for(pacePause_);
  return ReadEnd::Complete;
}

bool Connection::hasInput(Millis wait) {
  pollfd entry{fd_, POLLIN | POLLRDHUP, 0};
  return ::poll(&entry, 1, static_cast<int>(wait.count())) != 0;
}

ReadEnd Connection::readHead(Head *head, Millis timeout) {
  const auto until = Clock::now() + timeout;
  std::size_t end = 0;
  while ((end = buffer_.find("\r\n\r\n")) == std::string::npos) {
    const ReadEnd read = fill(until);
    if (read != ReadEnd::Complete)
      return read;
  }
  const std::string text = buffer_.substr(0, end + 2);
  buffer_.erase(0, end + 4);
  head->fields.clear();
  std::size_t at = text.find("\r\n");
  head->firstLine = text.substr(0, at);
  at += 2;
  while (at < text.size()) {
    const std::size_t lineEnd = text.find("\r\n", at);
    const std::string line = text.substr(at, lineEnd - at);
    const std::size_t colon = line.find(':');
    std::size_t value = colon + 1;
    while (value < line.size() && line[value] == ' ')
      ++value;
    head->fields.emplace_back(line.substr(0, colon), line.substr(value));
    at = lineEnd + 2;
  }
  return ReadEnd::Complete;
}

ReadEnd
Connection::readBody(const Head &head, std::string *body, Millis timeout,
                     const std::function<void(const std::string &)> &onBytes) {
  const auto until = Clock::now() + timeout;
  const auto take = [&](std::size_t bytes) {
    const std::string part = buffer_.substr(0, bytes);
    buffer_.erase(0, part.size());
    if (body != nullptr)
      body->append(part);
    if (onBytes && !part.empty())
      onBytes(part);
    return part.size();
  };
  const auto need = [&](std::size_t bytes) {
    while (buffer_.size() < bytes) {
      const ReadEnd read = fill(until);
      if (read != ReadEnd::Complete)
        return read;
    }
    return ReadEnd::Complete;
  };
  if (strcasecmp(head.field("Transfer-Encoding").c_str(), "chunked") != 0) {
    std::size_t left =
        std::strtoul(head.field("Content-Length").c_str(), nullptr, 10);
    while (left > 0) {
      if (const ReadEnd read = need(1); read != ReadEnd::Complete)
        return read;
      left -= take(std::min(left, buffer_.size()));
    }
    return ReadEnd::Complete;
  }
  while (true) {
    std::size_t line = 0;
    while ((line = buffer_.find("\r\n")) == std::string::npos)
      if (const ReadEnd read = fill(until); read != ReadEnd::Complete)
        return read;
    std::size_t left = std::strtoul(buffer_.c_str(), nullptr, 16);
    const bool isLast = left == 0;
    buffer_.erase(0, line + 2);
    while (left > 0) {
      if (const ReadEnd read = need(1); read != ReadEnd::Complete)
        return read;
      left -= take(std::min(left, buffer_.size()));
    }
    if (const ReadEnd read = need(2); read != ReadEnd::Complete)
      return read;
    buffer_.erase(0, 2);
    if (isLast)
      return ReadEnd::Complete;
  }
}

void Listener::start(const std::string &ip, int port) {
  fd_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(fd_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  sockaddr_in address = addressOf(ip, port);
  if (::bind(fd_, reinterpret_cast<sockaddr *>(&address), sizeof(address)) !=
          0 ||
      ::listen(fd_, 512) != 0)
    throw std::runtime_error("can't listen on " + ip);
  socklen_t size = sizeof(address);
  getsockname(fd_, reinterpret_cast<sockaddr *>(&address), &size);
  port_ = ntohs(address.sin_port);
  isRunning_ = true;
  acceptor_ = std::thread([this] { acceptLoop(); });
}

void Listener::acceptLoop() {
  while (isRunning_) {
    pollfd entry{fd_, POLLIN, 0};
    if (::poll(&entry, 1, 20) <= 0)
      continue;
    const int fd = ::accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
    if (fd < 0)
      continue;
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      open_.insert(fd);
    }
    ++active_;
    std::thread([this, fd] {
      {
        Connection connection(fd);
        handler_(&connection);
        const std::lock_guard<std::mutex> lock(mutex_);
        open_.erase(fd);
      }
      --active_;
    }).detach();
  }
}

void Listener::stop() {
  if (!isRunning_.exchange(false))
    return;
  acceptor_.join();
  ::close(fd_);
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    for (const int fd : open_) {
      // Closing with this option resets the connection.
      const linger reset{1, 0};
      setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
      ::shutdown(fd, SHUT_RD);
    }
  }
  while (active_ > 0)
    std::this_thread::sleep_for(Millis(2));
}

int connectTo(const std::string &ip, int port, Millis timeout) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in address = addressOf(ip, port);
  fcntl(fd, F_SETFL, O_NONBLOCK);
  const int result = ::connect(fd, reinterpret_cast<const sockaddr *>(&address),
                               sizeof(address));
  bool isOpen = result == 0;
  if (!isOpen && errno == EINPROGRESS) {
    pollfd entry{fd, POLLOUT, 0};
    int error = 0;
    socklen_t size = sizeof(error);
    isOpen = ::poll(&entry, 1, static_cast<int>(timeout.count())) == 1 &&
             getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) == 0 &&
             error == 0;
  }
  if (!isOpen) {
    ::close(fd);
    return -1;
  }
  fcntl(fd, F_SETFL, 0);
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  return fd;
}

int freePort(const std::string &ip) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address = addressOf(ip, 0);
  socklen_t size = sizeof(address);
  ::bind(fd, reinterpret_cast<sockaddr *>(&address), sizeof(address));
  getsockname(fd, reinterpret_cast<sockaddr *>(&address), &size);
  ::close(fd);
  return ntohs(address.sin_port);
}

std::string
response(int status,
         const std::vector<std::pair<std::string, std::string>> &fields,
         const std::string &body) {
  std::string out = "HTTP/1.1 " + std::to_string(status) + " Status\r\n";
  for (const auto &entry : fields)
    out += entry.first + ": " + entry.second + "\r\n";
  return out + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
         body;
}

} // namespace review
