#include "auburnspring/http/message_reader.h"

#include "auburnspring/http/head_validator.h"
#include "chunk_validator.h"

#include <absl/strings/str_cat.h>
#include <http_parser.h>

#include <cstdint>
#include <limits>

namespace auburnspring::http {

namespace {

/// Tells http_parser that no body follows the head.
constexpr int SkipBody = 1;
/// More header fields than this are an error, however short they are.
constexpr std::size_t MaxFields = 1000;

} // namespace

struct MessageReader::Impl {
  explicit Impl(MessageKind kind) : headValidator(kind) {}

  http_parser parser{};
  http_parser_settings settings{};
  Callbacks callbacks;
  // The parser tolerates what these refuse.
  HeadValidator headValidator;
  ChunkValidator chunkValidator;
  absl::Status framing;
  std::size_t maxHeadBytes = 0;
  std::size_t headBytes = 0;
  bool headTooLarge = false;
  bool inMessage = false;
  bool headComplete = false;
  bool keepAlive = false;
  bool messageEnded = false;
  bool lastWasValue = false;
  std::string target;
  HeaderList headers;

  static Impl &fromParser(http_parser *parser) {
    return *static_cast<Impl *>(parser->data);
  }

  bool countHeadBytes(std::size_t bytes) {
    headBytes += bytes;
    headTooLarge = headTooLarge || headBytes > maxHeadBytes ||
                   headers.all().size() > MaxFields;
    return !headTooLarge;
  }

  bool isInBody() const { return inMessage && headComplete; }
  absl::StatusOr<std::size_t> feedHead(std::string_view bytes);
  absl::StatusOr<std::size_t> feedBody(std::string_view bytes);
  absl::StatusOr<std::size_t> parse(std::string_view bytes);

  static int onMessageBegin(http_parser *parser);
  static int onUrl(http_parser *parser, const char *at, std::size_t length);
  static int onHeaderField(http_parser *parser, const char *at,
                           std::size_t length);
  static int onHeaderValue(http_parser *parser, const char *at,
                           std::size_t length);
  static int onHeadersComplete(http_parser *parser);
  static int onBody(http_parser *parser, const char *at, std::size_t length);
  static int onMessageComplete(http_parser *parser);
};

int MessageReader::Impl::onMessageBegin(http_parser *parser) {
  Impl &self = fromParser(parser);
  self.inMessage = true;
  self.headComplete = false;
  self.headBytes = 0;
  self.lastWasValue = false;
  self.target.clear();
  self.headers = HeaderList();
  return 0;
}

int MessageReader::Impl::onUrl(http_parser *parser, const char *at,
                               std::size_t length) {
  Impl &self = fromParser(parser);
  self.target.append(at, length);
  return self.countHeadBytes(length) ? 0 : 1;
}

int MessageReader::Impl::onHeaderField(http_parser *parser, const char *at,
                                       std::size_t length) {
  Impl &self = fromParser(parser);
  // Trailer fields, which follow the body, are ignored.
  if (self.headComplete)
    return 0;
  auto &fields = self.headers.all();
  if (self.lastWasValue || fields.empty())
    fields.emplace_back();
  self.lastWasValue = false;
  fields.back().name.append(at, length);
  return self.countHeadBytes(length + 4) ? 0 : 1;
}

int MessageReader::Impl::onHeaderValue(http_parser *parser, const char *at,
                                       std::size_t length) {
  Impl &self = fromParser(parser);
  if (self.headComplete)
    return 0;
  self.lastWasValue = true;
  self.headers.all().back().value.append(at, length);
  return self.countHeadBytes(length) ? 0 : 1;
}

int MessageReader::Impl::onHeadersComplete(http_parser *parser) {
  Impl &self = fromParser(parser);
  const int status = parser->type == HTTP_RESPONSE ? parser->status_code : 0;
  self.framing = validateFraming(status, self.headers);
  if (!self.framing.ok())
    return -1;
  self.headComplete = true;
  // Upgrade requests are declined by continuing in HTTP/1.1.
  parser->upgrade = 0;
  self.keepAlive = http_should_keep_alive(parser) != 0;
  self.chunkValidator.begin();
  if (self.callbacks.onHead)
    self.callbacks.onHead();
  // A length of this status is that of another response.
  return status == HTTP_STATUS_NOT_MODIFIED ? SkipBody : 0;
}

int MessageReader::Impl::onBody(http_parser *parser, const char *at,
                                std::size_t length) {
  Impl &self = fromParser(parser);
  if (self.callbacks.onBody)
    self.callbacks.onBody(std::string_view(at, length));
  return 0;
}

int MessageReader::Impl::onMessageComplete(http_parser *parser) {
  Impl &self = fromParser(parser);
  self.inMessage = false;
  self.messageEnded = true;
  self.keepAlive = http_should_keep_alive(parser) != 0;
  http_parser_pause(parser, 1);
  return 0;
}

MessageReader::MessageReader(MessageKind kind, std::size_t maxHeadBytes,
                             Callbacks callbacks)
    : impl_(std::make_unique<Impl>(kind)) {
  http_parser_init(&impl_->parser,
                   kind == MessageKind::Request ? HTTP_REQUEST : HTTP_RESPONSE);
  impl_->parser.data = impl_.get();
  impl_->callbacks = std::move(callbacks);
  impl_->maxHeadBytes = maxHeadBytes;
  http_parser_settings &settings = impl_->settings;
  settings.on_message_begin = Impl::onMessageBegin;
  settings.on_url = Impl::onUrl;
  settings.on_header_field = Impl::onHeaderField;
  settings.on_header_value = Impl::onHeaderValue;
  settings.on_headers_complete = Impl::onHeadersComplete;
  settings.on_body = Impl::onBody;
  settings.on_message_complete = Impl::onMessageComplete;
}

MessageReader::~MessageReader() = default;

void MessageReader::setMaxHeadBytes(std::size_t bytes) {
  impl_->maxHeadBytes = bytes;
}

absl::StatusOr<std::size_t> MessageReader::feed(std::string_view bytes) {
  impl_->messageEnded = false;
  std::size_t consumed = 0;
  if (!impl_->isInBody()) {
    const absl::StatusOr<std::size_t> headBytes = impl_->feedHead(bytes);
    if (!headBytes.ok())
      return headBytes.status();
    consumed = *headBytes;
  }
  if (impl_->isInBody()) {
    const absl::StatusOr<std::size_t> bodyBytes =
        impl_->feedBody(bytes.substr(consumed));
    if (!bodyBytes.ok())
      return bodyBytes.status();
    consumed += *bodyBytes;
  }
  if (impl_->messageEnded && impl_->callbacks.onMessage)
    impl_->callbacks.onMessage();
  return consumed;
}

absl::StatusOr<std::size_t>
MessageReader::Impl::feedHead(std::string_view bytes) {
  if (headValidator.isDone())
    headValidator.beginHead();
  const absl::StatusOr<std::size_t> headEnd = headValidator.feed(bytes);
  if (!headEnd.ok())
    return headEnd.status();
  return parse(bytes.substr(0, *headEnd));
}

absl::StatusOr<std::size_t>
MessageReader::Impl::feedBody(std::string_view bytes) {
  if ((parser.flags & F_CHUNKED) != 0) {
    const absl::Status chunks = chunkValidator.feed(bytes);
    if (!chunks.ok())
      return chunks;
  }
  return parse(bytes);
}

absl::StatusOr<std::size_t> MessageReader::Impl::parse(std::string_view bytes) {
  // The parser takes an empty input for the end of the stream.
  if (bytes.empty())
    return 0;
  const std::size_t consumed =
      http_parser_execute(&parser, &settings, bytes.data(), bytes.size());
  if (messageEnded) {
    http_parser_pause(&parser, 0);
    return consumed;
  }
  if (!framing.ok())
    return framing;
  const http_errno error = HTTP_PARSER_ERRNO(&parser);
  if (error != HPE_OK)
    return absl::InvalidArgumentError(absl::StrCat(
        "malformed HTTP message: ", http_errno_description(error)));
  return consumed;
}

absl::Status MessageReader::finish() {
  if (!impl_->inMessage)
    return absl::OkStatus();
  if (!isCloseDelimited())
    return absl::DataLossError("connection closed before the message ended");
  impl_->messageEnded = false;
  http_parser_execute(&impl_->parser, &impl_->settings, nullptr, 0);
  if (!impl_->messageEnded)
    return absl::DataLossError("connection closed before the message ended");
  if (impl_->callbacks.onMessage)
    impl_->callbacks.onMessage();
  return absl::OkStatus();
}

bool MessageReader::isInMessage() const { return impl_->inMessage; }
bool MessageReader::hasHead() const { return impl_->headComplete; }
bool MessageReader::shouldKeepAlive() const { return impl_->keepAlive; }
bool MessageReader::isHeadTooLarge() const { return impl_->headTooLarge; }
int MessageReader::status() const { return impl_->parser.status_code; }
const HeaderList &MessageReader::headers() const { return impl_->headers; }

bool MessageReader::isCloseDelimited() const {
  const http_parser &parser = impl_->parser;
  const unsigned status = parser.status_code;
  const bool hasBody = parser.type == HTTP_RESPONSE && status / 100 != 1 &&
                       status != HTTP_STATUS_NO_CONTENT &&
                       status != HTTP_STATUS_NOT_MODIFIED;
  return impl_->headComplete && hasBody && (parser.flags & F_CHUNKED) == 0 &&
         parser.content_length == std::numeric_limits<std::uint64_t>::max();
}

RequestHead MessageReader::takeRequest() {
  return {http_method_str(static_cast<http_method>(impl_->parser.method)),
          std::move(impl_->target), std::move(impl_->headers)};
}

} // namespace auburnspring::http
