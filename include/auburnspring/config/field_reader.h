#ifndef AUBURNSPRING_CONFIG_FIELD_READER_H
#define AUBURNSPRING_CONFIG_FIELD_READER_H

#include "auburnspring/base/time.h"
#include "auburnspring/config/fault.h"
#include "auburnspring/config/located_json.h"

#include <absl/strings/string_view.h>
#include <absl/types/span.h>

#include <cstdint>
#include <string>
#include <vector>

namespace auburnspring {

enum class Presence { Required, Optional };

/// Reads the fields of one JSON object into a struct. Each fault is recorded
/// with its line and reading continues, so that one run reports all faults. An
/// absent optional field leaves `out` unchanged.
class FieldReader {
public:
  /// `path` locates the object in the document; "" is the root.
  FieldReader(const LocatedJson &document, const nlohmann::json &object,
              std::string path, Faults *faults);

  /// A string of 1 to `maxBytes` bytes.
  void text(const char *name, std::string *out, Presence presence,
            std::size_t maxBytes = 256);

  /// An integer within [low, high].
  void integer(const char *name, std::int64_t *out, std::int64_t low,
               std::int64_t high, Presence presence);

  /// A finite number within [low, high].
  void number(const char *name, double *out, double low, double high,
              Presence presence);

  void boolean(const char *name, bool *out, Presence presence);

  /// An integer number of milliseconds within [low, high].
  void millis(const char *name, Duration *out, std::int64_t low,
              std::int64_t high, Presence presence);

  /// One of `words`; `out` receives its index.
  void choice(const char *name, absl::Span<const char *const> words,
              std::size_t *out, Presence presence);

  /// An array of strings, appended to `out`.
  void texts(const char *name, std::vector<std::string> *out,
             Presence presence);

  /// One reader per element of an array of at most `maxCount` objects.
  std::vector<FieldReader> objects(const char *name, Presence presence,
                                   std::size_t maxCount = 20000);

  /// Adds a fault for each field that no call has read, with the known field
  /// whose name is closest. Call it after all fields have been read.
  void rejectUnknownFields();

  /// Adds a fault at the field `name` of this object, or at the object itself
  /// if `name` is empty.
  void addFault(const std::string &name, std::string text);

  const std::string &path() const { return path_; }
  int line() const { return document_->lineOf(path_); }

private:
  const nlohmann::json *find(const char *name, Presence presence);
  std::string fieldPath(const std::string &name) const;
  void addTypeFault(const char *name, const char *expected,
                    const nlohmann::json &found);

  const LocatedJson *document_;
  const nlohmann::json *object_;
  std::string path_;
  Faults *faults_;
  std::vector<std::string> knownFields_;
};

/// The word of `words` with the smallest edit distance to `text`, or "" if that
/// distance exceeds text.size() / 3 + 1.
std::string nearestWord(absl::string_view text,
                        absl::Span<const std::string> words);

} // namespace auburnspring

#endif
