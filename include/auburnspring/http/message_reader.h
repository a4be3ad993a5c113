#ifndef AUBURNSPRING_HTTP_MESSAGE_READER_H
#define AUBURNSPRING_HTTP_MESSAGE_READER_H

#include "auburnspring/http/message.h"

#include <absl/status/statusor.h>

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace auburnspring::http {

/// Incremental parser for a stream of HTTP/1.1 messages. It stops after each
/// message, so that the owner decides when to parse the next one. What deviates
/// from the grammar of heads and chunks is an error, and so is a head that does
/// not tell where its body ends; none of such a head is passed on.
class MessageReader {
public:
  struct Callbacks {
    /// The head is complete. takeRequest() is valid only for requests and
    /// status() only for responses.
    std::function<void()> onHead;
    std::function<void(std::string_view)> onBody;
    std::function<void()> onMessage;
  };

  MessageReader(MessageKind kind, std::size_t maxHeadBytes,
                Callbacks callbacks);
  ~MessageReader();
  MessageReader(const MessageReader &) = delete;
  MessageReader &operator=(const MessageReader &) = delete;

  /// Applies from the next message on.
  void setMaxHeadBytes(std::size_t bytes);

  /// Consumes bytes up to the end of the current message and returns how many.
  /// After an error the reader must not be used again.
  absl::StatusOr<std::size_t> feed(std::string_view bytes);

  /// Signals the end of the stream. Returns OK if this completes the message
  /// or none was in progress.
  absl::Status finish();

  /// True if a message has been received in part.
  bool isInMessage() const;
  /// True if the head of the current message is complete.
  bool hasHead() const;
  /// True if the connection stays open after this message.
  bool shouldKeepAlive() const;
  /// True if the end of the stream delimits the body: there is neither a
  /// Content-Length nor chunked transfer coding.
  bool isCloseDelimited() const;
  /// True if the head exceeded the size limit.
  bool isHeadTooLarge() const;

  RequestHead takeRequest();
  int status() const;
  const HeaderList &headers() const;

private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

} // namespace auburnspring::http

#endif
