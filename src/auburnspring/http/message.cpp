#include "auburnspring/http/message.h"

#include <fmt/format.h>
#include <http_parser.h>

#include <algorithm>
#include <array>
#include <cctype>

namespace auburnspring::http {

namespace {

constexpr std::array<std::string_view, 8> HopByHopHeaders = {
    "connection",        "keep-alive", "proxy-connection", "te",
    "transfer-encoding", "trailer",    "upgrade",          "expect"};

bool isHopByHop(std::string_view name) {
  return std::any_of(
      HopByHopHeaders.begin(), HopByHopHeaders.end(),
      [&](std::string_view field) { return equalsIgnoringCase(field, name); });
}

std::vector<std::string> splitTokenList(std::string_view value) {
  std::vector<std::string> names;
  while (!value.empty()) {
    const std::size_t comma = value.find(',');
    std::string_view name = value.substr(0, comma);
    while (!name.empty() && (name.front() == ' ' || name.front() == '\t'))
      name.remove_prefix(1);
    while (!name.empty() && (name.back() == ' ' || name.back() == '\t'))
      name.remove_suffix(1);
    if (!name.empty())
      names.emplace_back(name);
    value = comma == std::string_view::npos ? "" : value.substr(comma + 1);
  }
  return names;
}

void appendFields(std::string *out, const HeaderList &headers) {
  for (const Header &field : headers.all()) {
    out->append(field.name);
    out->append(": ");
    out->append(field.value);
    out->append("\r\n");
  }
  out->append("\r\n");
}

} // namespace

bool equalsIgnoringCase(std::string_view a, std::string_view b) {
  return a.size() == b.size() &&
         std::equal(a.begin(), a.end(), b.begin(), [](char x, char y) {
           return std::tolower(static_cast<unsigned char>(x)) ==
                  std::tolower(static_cast<unsigned char>(y));
         });
}

void HeaderList::add(std::string_view name, std::string_view value) {
  fields_.push_back({std::string(name), std::string(value)});
}

void HeaderList::set(std::string_view name, std::string_view value) {
  remove(name);
  add(name, value);
}

void HeaderList::remove(std::string_view name) {
  fields_.erase(std::remove_if(fields_.begin(), fields_.end(),
                               [&](const Header &field) {
                                 return equalsIgnoringCase(field.name, name);
                               }),
                fields_.end());
}

const std::string *HeaderList::find(std::string_view name) const {
  for (const Header &field : fields_)
    if (equalsIgnoringCase(field.name, name))
      return &field.value;
  return nullptr;
}

void HeaderList::removeHopByHop() {
  std::vector<std::string> connectionOptions;
  for (const Header &field : fields_)
    if (equalsIgnoringCase(field.name, "connection"))
      for (std::string &name : splitTokenList(field.value))
        connectionOptions.push_back(std::move(name));
  fields_.erase(std::remove_if(fields_.begin(), fields_.end(),
                               [&](const Header &field) {
                                 return isHopByHop(field.name) ||
                                        std::any_of(
                                            connectionOptions.begin(),
                                            connectionOptions.end(),
                                            [&](const std::string &name) {
                                              return equalsIgnoringCase(
                                                  name, field.name);
                                            });
                               }),
                fields_.end());
}

std::string_view reasonPhrase(int status) {
  switch (status) {
#define AUBURNSPRING_STATUS(code, name, text)                                  \
  case code:                                                                   \
    return #text;
    HTTP_STATUS_MAP(AUBURNSPRING_STATUS)
#undef AUBURNSPRING_STATUS
  default:
    return "Unknown";
  }
}

std::string encodeHead(const RequestHead &head) {
  std::string out = fmt::format("{} {} HTTP/1.1\r\n", head.method, head.target);
  appendFields(&out, head.headers);
  return out;
}

std::string encodeHead(const ResponseHead &head) {
  std::string out =
      fmt::format("HTTP/1.1 {} {}\r\n", head.status, reasonPhrase(head.status));
  appendFields(&out, head.headers);
  return out;
}

std::string encodeChunk(std::string_view bytes) {
  return fmt::format("{:x}\r\n{}\r\n", bytes.size(), bytes);
}

} // namespace auburnspring::http
