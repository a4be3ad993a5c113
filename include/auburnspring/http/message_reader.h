#ifndef AUBURNSPRING_HTTP_MESSAGE_READER_H
#define AUBURNSPRING_HTTP_MESSAGE_READER_H

#include "auburnspring/http/message.h"

#include <absl/status/statusor.h>

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace auburnspring::http {

enum class MessageKind { Request, Response };

/// Reads one HTTP/1.1 message after the other from a byte stream. It stops
/// after each message, so that the owner decides when the next one begins.
class MessageReader {
public:
  struct Callbacks {
    /// The head is whole. For a request `status` is 0, for a response the
    /// method and target are empty.
    std::function<void()> onHead;
    std::function<void(std::string_view)> onBody;
    std::function<void()> onMessage;
  };

  MessageReader(MessageKind kind, std::size_t maxHeadBytes,
                Callbacks callbacks);
  ~MessageReader();
  MessageReader(const MessageReader &) = delete;
  MessageReader &operator=(const MessageReader &) = delete;

  /// Takes bytes up to the end of the present message and returns how many.
  /// After an error the stream is of no more use.
  absl::StatusOr<std::size_t> feed(std::string_view bytes);

  /// Tells the reader that the stream has ended. OK if that completes the
  /// message, or if none had begun.
  absl::Status finish();

  /// True if at least one byte of a message has come and its end has not.
  bool isInMessage() const;
  /// True if the head of the present message is whole.
  bool hasHead() const;
  /// Whether the connection may carry another message after this one.
  bool keepsAlive() const;
  /// True if only the end of the stream ends the body.
  bool endsWithStream() const;
  /// True if the head was larger than allowed.
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
