#ifndef AUBURNSPRING_HTTP_MESSAGE_H
#define AUBURNSPRING_HTTP_MESSAGE_H

#include <string>
#include <string_view>
#include <vector>

namespace auburnspring::http {

enum class MessageKind { Request, Response };

struct Header {
  std::string name;
  std::string value;
};

/// Header fields in the order received. Names are case-insensitive.
class HeaderList {
public:
  void add(std::string_view name, std::string_view value);
  /// Replaces all fields of that name with one.
  void set(std::string_view name, std::string_view value);
  void remove(std::string_view name);
  /// Returns the first value of that name, or null.
  const std::string *find(std::string_view name) const;
  /// Removes hop-by-hop fields, including those listed in Connection fields.
  void removeHopByHop();

  const std::vector<Header> &all() const { return fields_; }
  std::vector<Header> &all() { return fields_; }

private:
  std::vector<Header> fields_;
};

struct RequestHead {
  std::string method;
  /// Path and query as received.
  std::string target;
  HeaderList headers;
};

struct ResponseHead {
  int status = 0;
  HeaderList headers;
};

bool equalsIgnoringCase(std::string_view a, std::string_view b);

/// Standard reason phrase of a status code, else "Unknown".
std::string_view reasonPhrase(int status);

/// Serializes a head, including the terminating empty line.
std::string encodeHead(const RequestHead &head);
std::string encodeHead(const ResponseHead &head);

/// Encodes one chunk of the chunked transfer coding.
std::string encodeChunk(std::string_view bytes);
constexpr std::string_view FinalChunk = "0\r\n\r\n";

} // namespace auburnspring::http

#endif
