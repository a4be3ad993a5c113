#include "channel.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cctype>

namespace review {

namespace {

using Time = std::chrono::steady_clock::time_point;

constexpr std::chrono::seconds ConnectPatience(1);

int millisUntil(Time until) {
  const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
      until - std::chrono::steady_clock::now());
  return static_cast<int>(std::max<std::int64_t>(0, left.count()));
}

std::string lowered(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(),
                 [](unsigned char c) { return std::tolower(c); });
  return text;
}

} // namespace

bool Channel::open(const std::string &ip, std::uint16_t port) {
  close();
  fd_ = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
  const int on = 1;
  setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  if (::connect(fd_, reinterpret_cast<sockaddr *>(&address), sizeof(address)) ==
      0)
    return true;
  pollfd wait{fd_, POLLOUT, 0};
  const auto until = std::chrono::steady_clock::now() + ConnectPatience;
  int error = 0;
  socklen_t length = sizeof(error);
  if (::poll(&wait, 1, millisUntil(until)) == 1 &&
      getsockopt(fd_, SOL_SOCKET, SO_ERROR, &error, &length) == 0 && error == 0)
    return true;
  close();
  return false;
}

void Channel::close() {
  if (fd_ >= 0)
    ::close(fd_);
  fd_ = -1;
  answers_ = 0;
  isClosedByPeer_ = false;
  buffer_.clear();
}

bool Channel::send(const std::string &bytes) {
  std::size_t sent = 0;
  while (sent < bytes.size()) {
    const ssize_t count =
        ::send(fd_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (count > 0) {
      sent += static_cast<std::size_t>(count);
      continue;
    }
    pollfd wait{fd_, POLLOUT, 0};
    if (errno != EAGAIN || ::poll(&wait, 1, 1000) != 1)
      return false;
  }
  return true;
}

bool Channel::fill(Time until) {
  pollfd wait{fd_, POLLIN, 0};
  if (::poll(&wait, 1, millisUntil(until)) != 1)
    return false;
  char bytes[16384];
  const ssize_t count = ::recv(fd_, bytes, sizeof(bytes), 0);
  if (count <= 0) {
    isClosedByPeer_ = true;
    return false;
  }
  buffer_.append(bytes, static_cast<std::size_t>(count));
  return true;
}

bool Channel::readLine(std::string *line, Time until) {
  std::size_t end = buffer_.find("\r\n");
  while (end == std::string::npos) {
    if (!fill(until))
      return false;
    end = buffer_.find("\r\n");
  }
  *line = buffer_.substr(0, end);
  buffer_.erase(0, end + 2);
  return true;
}

bool Channel::readBytes(std::size_t count, std::string *out, Time until) {
  while (buffer_.size() < count)
    if (!fill(until))
      return false;
  out->append(buffer_, 0, count);
  buffer_.erase(0, count);
  return true;
}

Answer Channel::receive(std::chrono::milliseconds patience) {
  const Time until = std::chrono::steady_clock::now() + patience;
  Answer answer;
  const auto giveUp = [&]() -> Answer & {
    answer.isCut = isClosedByPeer_;
    close();
    return answer;
  };
  std::string line;
  if (!readLine(&line, until))
    return giveUp();
  int status = 0;
  if (line.size() > 12 && line.compare(0, 9, "HTTP/1.1 ") == 0)
    status = std::stoi(line.substr(9, 3));
  while (readLine(&line, until) && !line.empty()) {
    const std::size_t colon = line.find(':');
    const std::size_t from = line.find_first_not_of(' ', colon + 1);
    answer.headers[lowered(line.substr(0, colon))] =
        from == std::string::npos ? "" : line.substr(from);
  }
  if (!line.empty())
    return giveUp();
  answer.status = status;
  if (answer.headers.count("content-length") > 0) {
    if (!readBytes(std::stoul(answer.headers["content-length"]), &answer.body,
                   until))
      return giveUp();
  } else {
    std::size_t size = 1;
    while (size > 0) {
      std::string end;
      if (!readLine(&line, until))
        return giveUp();
      size = std::stoul(line, nullptr, 16);
      if (!readBytes(size, &answer.body, until) || !readLine(&end, until))
        return giveUp();
    }
  }
  answer.isComplete = true;
  ++answers_;
  if (lowered(answer.headers["connection"]) == "close")
    close();
  return answer;
}

} // namespace review
