#ifndef AUBURNSPRING_HTTP_MESSAGE_H
#define AUBURNSPRING_HTTP_MESSAGE_H

#include <string>
#include <string_view>
#include <vector>

namespace auburnspring::http {

struct Header {
  std::string name;
  std::string value;
};

/// Header fields in the order of arrival. Names compare without case.
class HeaderList {
public:
  void add(std::string_view name, std::string_view value);
  /// Replaces every field of that name by one.
  void set(std::string_view name, std::string_view value);
  void remove(std::string_view name);
  /// The first value of that name; null if there is none.
  const std::string *find(std::string_view name) const;
  /// Removes the fields that concern one connection only, among them those
  /// that a Connection field names.
  void removeHopByHop();

  const std::vector<Header> &all() const { return fields_; }
  std::vector<Header> &all() { return fields_; }

private:
  std::vector<Header> fields_;
};

struct RequestHead {
  std::string method;
  /// Path and query as they came.
  std::string target;
  HeaderList headers;
};

struct ResponseHead {
  int status = 0;
  HeaderList headers;
};

bool equalsIgnoringCase(std::string_view a, std::string_view b);

/// The usual phrase of a status code, "Unknown" if there is none.
std::string_view reasonPhrase(int status);

/// A head with its final empty line, ready to be written.
std::string encodeHead(const RequestHead &head);
std::string encodeHead(const ResponseHead &head);

/// One chunk of a body in chunked coding.
std::string encodeChunk(std::string_view bytes);
constexpr std::string_view FinalChunk = "0\r\n\r\n";

} // namespace auburnspring::http

#endif
