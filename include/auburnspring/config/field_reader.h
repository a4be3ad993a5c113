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

/// Reads the fields of one JSON object into an aggregate. Each fault is noted
/// with its line and reading goes on, so that one run reports all of them.
class FieldReader {
public:
  /// `path` is the object's place in the document, "" for the root.
  FieldReader(const LocatedJson &document, const nlohmann::json &object,
              std::string path, Faults *faults);

  /// A text of 1 to `maxBytes` bytes.
  void text(const char *name, std::string *out, Presence presence,
            std::size_t maxBytes = 256);

  /// A whole number within [low, high].
  void integer(const char *name, std::int64_t *out, std::int64_t low,
               std::int64_t high, Presence presence);

  /// A finite number within [low, high].
  void number(const char *name, double *out, double low, double high,
              Presence presence);

  void boolean(const char *name, bool *out, Presence presence);

  /// Whole milliseconds within [low, high].
  void millis(const char *name, Duration *out, std::int64_t low,
              std::int64_t high, Presence presence);

  /// One of `words`; `out` becomes its index.
  void choice(const char *name, absl::Span<const char *const> words,
              std::size_t *out, Presence presence);

  /// A list of texts.
  void texts(const char *name, std::vector<std::string> *out,
             Presence presence);

  /// A reader for each object of a list of objects.
  std::vector<FieldReader> objects(const char *name, Presence presence,
                                   std::size_t maxCount = 20000);

  /// Refuses fields that no call has read, naming the nearest known one.
  void finish();

  /// Adds a fault at a field of this object.
  void fault(const std::string &name, std::string text);

  const std::string &path() const { return path_; }
  int line() const { return document_->lineOf(path_); }

private:
  const nlohmann::json *find(const char *name, Presence presence);
  std::string fieldPath(const std::string &name) const;
  void wrongType(const char *name, const char *wanted,
                 const nlohmann::json &found);

  const LocatedJson *document_;
  const nlohmann::json *object_;
  std::string path_;
  Faults *faults_;
  std::vector<std::string> known_;
};

/// The word of `words` nearest to `text` by edit distance, or "" if none is
/// within a third of its length.
std::string nearestWord(absl::string_view text,
                        absl::Span<const std::string> words);

} // namespace auburnspring

#endif
