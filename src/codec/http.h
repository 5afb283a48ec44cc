// HTTP/1.1: an incremental parser for requests and responses, and the writers.
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

constexpr size_t kMostBody = 64 * 1024;  // that is held whole
constexpr size_t kMostStreamed = 32 * 1024 * 1024;
constexpr size_t kMostHead = 16 * 1024;

class BodySource;  // what is still to come: io/body_source.h

struct Header {
  std::string name;
  std::string value;
};

struct HttpMessage {
  std::string method;  // of a request
  std::string target;
  int status = 0;  // of a response
  std::vector<Header> headers;
  std::string body;
  bool keep_alive = true;
  bool http_1_0 = false;  // of a request: its sender can't read chunks

  const std::string* Find(std::string_view name) const;  // nullptr: absent
  bool OfOneLink(std::string_view word) const;           // some `Connection` line has it
};

struct HttpPayload final : Payload, HttpMessage {
  explicit HttpPayload(HttpMessage message) : HttpMessage(std::move(message)) {}
  bool Spent() const override { return spent; }
  // What comes behind `body`; nullptr: nothing.
  std::shared_ptr<BodySource> more;
  mutable bool spent = false;  // something was taken of that
};

enum class Parsed {
  kMore,
  kDone,
  kPart,  // the head is whole, and the body is more than is held: TakeHead(), then Feed() and body()
  kBad,
  kTooLarge,
};

// Reads one message after the other off the front of a buffer that grows as bytes come.
class HttpParser {
 public:
  enum class Kind { kRequest, kResponse };
  // Holds bodies of up to `held`, and knows of longer ones up to `most_body`.
  explicit HttpParser(Kind kind, size_t most_body = kMostBody, size_t held = kMostBody)
      : kind_(kind), most_body_(most_body), held_(held) {}

  Parsed Feed(std::string& buffer);
  Parsed Closed();  // the peer has ended its sending: what it means for the message at hand
  bool
  ExpectsContinue();   // true once, where the body is outstanding and the sender waits for leave to send it
  HttpMessage Take();  // after kDone; the parser is then at the next message
  HttpMessage TakeHead();  // after kPart, with the body so far
  // Whether the message could be begun to be passed on: its head has come, and of its body something.
  bool Begun() const { return part_ != Part::kHead && !message_.body.empty(); }
  std::string& body() { return message_.body; }  // as far as it has come, to be taken at any time after that
  std::optional<size_t> length() const { return length_; }
  void Hold(size_t bytes) { held_ = bytes; }            // of the message at hand
  void NoBody() { no_body_ = true; }                    // the next response answers HEAD
  bool AtHead() const { return part_ == Part::kHead; }  // and nothing of it was taken off the buffer
  int Status() const { return part_ == Part::kHead ? 0 : message_.status; }  // once the head has come

 private:
  enum class Part { kHead, kBody, kChunkSize, kChunk, kChunkEnd, kTrailer, kToEnd, kDone };

  Parsed Body(std::string& buffer);
  Parsed Head(std::string_view head);
  bool StartLine(std::string_view line);
  Parsed Framing();
  Parsed Chunks(std::string& buffer);

  Kind kind_;
  size_t most_body_;
  Part part_ = Part::kHead;
  size_t scanned_ = 0;  // of the head, without its end
  size_t interim_ = 0;  // answers before the head, all of them: they may be no longer than a head
  size_t left_ = 0;     // of the body or the chunk
  size_t trailer_ = 0;
  size_t total_ = 0;  // of the body, as far as it has come
  size_t held_;
  size_t held_first_ = held_;
  std::optional<size_t> length_;
  Parsed wrong_ = Parsed::kMore;  // what is wrong with the body, where its head must be told first
  bool parted_ = false;           // its head was taken
  bool no_body_ = false;
  bool expects_ = false;
  HttpMessage message_;
};

bool SameName(std::string_view a, std::string_view b);  // header names: case does not count
void AppendHeader(std::string& out, std::string_view name, std::string_view value);
void AppendChunk(std::string& out, std::string_view bytes);  // none: the last one
// Those headers of a message that are for the other end: not the framing, nor what concerns one connection.
void AppendEndToEnd(std::string& out, const HttpMessage& message, std::string_view but = {});
std::string_view Reason(int status);

}  // namespace burlfall

#endif  // BURLFALL_CODEC_HTTP_H_
