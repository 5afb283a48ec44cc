// HTTP/1.1: an incremental parser for requests and responses, and the writers. Sizes are in bytes.
#ifndef BURLFALL_CODEC_HTTP_H_
#define BURLFALL_CODEC_HTTP_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "codec/payload.h"

namespace burlfall {

constexpr size_t kMaxHeldBody = 64 * 1024;  // a body up to this size is held in memory
constexpr size_t kMaxStreamedBody = 32 * 1024 * 1024;
constexpr size_t kMaxHead = 16 * 1024;

class BodySource;  // the part of a body that has not been received: io/body_source.h

struct Header {
  std::string name;
  std::string value;
};

struct HttpMessage {
  std::string method;  // requests only
  std::string target;
  int status = 0;  // responses only
  std::vector<Header> headers;
  std::string body;
  bool keep_alive = true;
  bool http_1_0 = false;  // HTTP/1.0: the sender of such a request can't read chunked answers

  // The value of the first header of this name; nullptr if there is none.
  const std::string* Find(std::string_view name) const;
  bool HasConnectionOption(std::string_view word) const;  // whether a `Connection` header lists it
  size_t HeldBytes() const;                               // memory that its parts take beside the object
};

// An HTTP request or response as the payload of a query or an answer.
struct HttpPayload final : Payload, HttpMessage {
  explicit HttpPayload(HttpMessage message) : HttpMessage(std::move(message)) {}
  bool Consumed() const override { return consumed; }
  // Supplies what follows `body`; nullptr if `body` is complete.
  std::shared_ptr<BodySource> body_rest;
  mutable bool consumed = false;  // part of `body_rest` has been taken
};

enum class Parsed {
  kMore,  // the message is incomplete: more bytes are needed
  kDone,
  kHeadComplete,  // the body exceeds the hold limit: call TakeHead(), then Feed() and body() repeatedly
  kBad,
  kTooLarge,
};

// Parses consecutive messages. Feed() removes the bytes it has parsed from the front of the caller's buffer.
class HttpParser {
 public:
  enum class Kind { kRequest, kResponse };
  // Holds bodies of up to `hold_limit` bytes, streams longer ones of up to `max_body`, and rejects the rest.
  explicit HttpParser(Kind kind, size_t max_body = kMaxHeldBody, size_t hold_limit = kMaxHeldBody)
      : kind_(kind), max_body_(max_body), hold_limit_(hold_limit) {}

  Parsed Feed(std::string& buffer);
  // The peer has ended its sending. Returns the result for the current message.
  Parsed OnPeerClosed();
  // Returns true once if the body has not arrived and its sender waits for "100 Continue".
  bool ExpectsContinue();
  HttpMessage Take();      // after kDone; the parser then expects the next message
  HttpMessage TakeHead();  // after kHeadComplete, with the part of the body received so far
  // Whether forwarding could start: the head and at least one byte of the body have been received.
  bool HasBodyBytes() const { return state_ != State::kHead && !message_.body.empty(); }
  std::string& body() { return message_.body; }  // received so far; after TakeHead() the caller may empty it
  std::optional<size_t> length() const { return length_; }
  // Bytes of the body, or of the current chunk, that are still to come.
  size_t remaining() const { return remaining_; }
  void SetHoldLimit(size_t bytes) { hold_limit_ = bytes; }  // for the current message
  size_t hold_limit() const { return hold_limit_; }
  size_t HeldBytes() const;                                    // memory that the current message takes
  void ExpectNoBody() { no_body_ = true; }                     // the next response answers a HEAD request
  bool ReadingHead() const { return state_ == State::kHead; }  // its bytes are still in the buffer
  int Status() const { return state_ == State::kHead ? 0 : message_.status; }  // 0 until the head is complete

 private:
  enum class State { kHead, kBody, kChunkSize, kChunk, kChunkEnd, kTrailer, kToEnd, kDone };

  Parsed Body(std::string& buffer);
  Parsed Head(std::string_view head);
  bool StartLine(std::string_view line);
  Parsed Framing();
  Parsed Chunks(std::string& buffer);

  Kind kind_;
  size_t max_body_;
  State state_ = State::kHead;
  size_t scanned_ = 0;        // bytes of the head already searched for its end
  size_t interim_bytes_ = 0;  // total of the interim (1xx) responses, which count towards kMaxHead
  size_t remaining_ = 0;      // bytes of the body or chunk still to come
  size_t trailer_lines_ = 0;
  size_t body_bytes_ = 0;  // received so far
  size_t hold_limit_;
  size_t default_hold_limit_ = hold_limit_;
  size_t head_bytes_ = 0;  // memory that the message's head takes
  std::optional<size_t> length_;
  Parsed deferred_error_ = Parsed::kMore;  // an error in the body, reported after kHeadComplete
  bool head_taken_ = false;                // TakeHead() was called for the current message
  bool no_body_ = false;
  bool expects_continue_ = false;
  HttpMessage message_;
};

bool EqualsIgnoreCase(std::string_view a, std::string_view b);  // ASCII only
void AppendHeader(std::string& out, std::string_view name, std::string_view value);
void AppendChunk(std::string& out, std::string_view bytes);  // empty `bytes`: the last chunk
// The parts of a chunk before and behind its bytes, for a writer that does not copy these.
void AppendChunkSize(std::string& out, size_t size);
constexpr std::string_view kChunkEnd = "\r\n";
// Appends the message's end-to-end headers: not those of the framing or of one connection, nor `except`.
void AppendEndToEnd(std::string& out, const HttpMessage& message, std::string_view except = {});
std::string_view ReasonPhrase(int status);

}  // namespace burlfall

#endif  // BURLFALL_CODEC_HTTP_H_
