#include "auburnspring/config/located_json.h"

#include <fmt/format.h>

#include <iterator>
#include <set>

namespace auburnspring {

namespace {

constexpr std::size_t MaxDepth = 64;

// Counts the lines read by the lexer. The lexer reads one character past a
// number, so a newline counts only once the character after it has been read.
struct LineCounter {
  int line = 1;
  bool newlinePending = false;

  void consume(char c) {
    if (newlinePending)
      ++line;
    newlinePending = c == '\n';
  }
};

class CountingIterator {
public:
  using iterator_category = std::input_iterator_tag;
  using value_type = char;
  using difference_type = std::ptrdiff_t;
  using pointer = const char *;
  using reference = const char &;

  CountingIterator(const char *position, LineCounter *counter)
      : position_(position), counter_(counter) {}

  reference operator*() const { return *position_; }
  CountingIterator &operator++() {
    counter_->consume(*position_);
    ++position_;
    return *this;
  }
  bool operator==(const CountingIterator &other) const {
    return position_ == other.position_;
  }
  bool operator!=(const CountingIterator &other) const {
    return position_ != other.position_;
  }

private:
  const char *position_;
  LineCounter *counter_;
};

// Builds the document and records the line on which each value begins.
class LineTrackingHandler : public nlohmann::json_sax<nlohmann::json> {
public:
  LineTrackingHandler(LocatedJson *document, LineCounter *counter,
                      Faults *faults)
      : document_(document), counter_(counter), faults_(faults) {}

  bool null() override { return add(nullptr); }
  bool boolean(bool value) override { return add(value); }
  bool number_integer(number_integer_t value) override { return add(value); }
  bool number_unsigned(number_unsigned_t value) override { return add(value); }
  bool number_float(number_float_t value, const string_t &) override {
    return add(value);
  }
  bool string(string_t &value) override { return add(value); }
  bool binary(binary_t &) override { return false; }

  bool start_object(std::size_t) override {
    return push(nlohmann::json::object());
  }
  bool start_array(std::size_t) override {
    return push(nlohmann::json::array());
  }
  bool end_object() override { return pop(); }
  bool end_array() override { return pop(); }

  bool key(string_t &name) override {
    Level &level = levels_.back();
    level.key = name;
    if (level.value->contains(name))
      faults_->push_back({document_->file, counter_->line, childPath(level),
                          "duplicate field"});
    return true;
  }

  bool parse_error(std::size_t, const std::string &token,
                   const nlohmann::json::exception &error) override {
    const std::string what = error.what();
    const std::size_t detail = what.find(" - ");
    faults_->push_back({document_->file, counter_->line, "",
                        "not valid JSON" + (detail == std::string::npos
                                                ? " near '" + token + "'"
                                                : what.substr(detail))});
    return false;
  }

private:
  struct Level {
    nlohmann::json *value;
    std::string path;
    std::string key;
  };

  static std::string childPath(const Level &level) {
    if (level.value->is_array())
      return fmt::format("{}[{}]", level.path, level.value->size());
    return level.path.empty() ? level.key : level.path + "." + level.key;
  }

  nlohmann::json *insert(nlohmann::json value, std::string *path) {
    if (levels_.empty()) {
      document_->root = std::move(value);
      document_->lines[""] = counter_->line;
      return &document_->root;
    }
    Level &level = levels_.back();
    *path = childPath(level);
    document_->lines.emplace(*path, counter_->line);
    if (level.value->is_array()) {
      level.value->push_back(std::move(value));
      return &level.value->back();
    }
    nlohmann::json &entry = (*level.value)[level.key];
    entry = std::move(value);
    return &entry;
  }

  bool add(nlohmann::json value) {
    std::string path;
    insert(std::move(value), &path);
    return true;
  }

  bool push(nlohmann::json value) {
    if (levels_.size() >= MaxDepth) {
      faults_->push_back(
          {document_->file, counter_->line, "",
           fmt::format("nested deeper than {} levels", MaxDepth)});
      return false;
    }
    std::string path;
    nlohmann::json *entry = insert(std::move(value), &path);
    levels_.push_back({entry, path, ""});
    return true;
  }

  bool pop() {
    levels_.pop_back();
    return true;
  }

  LocatedJson *document_;
  LineCounter *counter_;
  Faults *faults_;
  std::vector<Level> levels_;
};

} // namespace

std::string toString(const Fault &fault) {
  std::string text = fault.file;
  if (fault.line > 0)
    text += fmt::format(":{}", fault.line);
  text += ": ";
  if (!fault.field.empty())
    text += fault.field + ": ";
  return text + fault.text;
}

int LocatedJson::lineOf(const std::string &path) const {
  const auto found = lines.find(path);
  return found == lines.end() ? 0 : found->second;
}

LocatedJson parseLocatedJson(absl::string_view file, absl::string_view text,
                             Faults *faults) {
  LocatedJson document;
  document.file = std::string(file);
  LineCounter counter;
  LineTrackingHandler handler(&document, &counter, faults);
  const bool parsed = nlohmann::json::sax_parse(
      CountingIterator(text.data(), &counter),
      CountingIterator(text.data() + text.size(), &counter), &handler,
      nlohmann::json::input_format_t::json, true, true);
  if (!parsed)
    document.root = nullptr;
  return document;
}

} // namespace auburnspring
