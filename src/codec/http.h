// HTTP/1.1: an incremental parser for requests and responses, and the writers.
#ifndef BURLFALL_CODEC_HTTP_H_
#define BURLFALL_CODEC_HTTP_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "codec/payload.h"

namespace burlfall {

constexpr size_t kMostBody = 64 * 1024;
constexpr size_t kMostHead = 16 * 1024;

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

  const std::string* Find(std::string_view name) const;  // nullptr: absent
};

struct HttpPayload final : Payload, HttpMessage {
  explicit HttpPayload(HttpMessage message) : HttpMessage(std::move(message)) {}
};

enum class Parsed { kMore, kDone, kBad, kTooLarge };

// Reads one message after the other off the front of a buffer that grows as bytes come.
class HttpParser {
 public:
  enum class Kind { kRequest, kResponse };
  explicit HttpParser(Kind kind, size_t most_body = kMostBody) : kind_(kind), most_body_(most_body) {}

  Parsed Feed(std::string& buffer);
  Parsed Closed();  // the peer has ended its sending: what it means for the message at hand
  bool
  ExpectsContinue();   // true once, where the body is outstanding and the sender waits for leave to send it
  HttpMessage Take();  // after kDone; the parser is then at the next message
  bool AtHead() const { return part_ == Part::kHead; }  // and nothing of it was taken off the buffer
  int Status() const { return part_ == Part::kHead ? 0 : message_.status; }  // once the head has come

 private:
  enum class Part { kHead, kBody, kChunkSize, kChunk, kChunkEnd, kTrailer, kToEnd, kDone };

  Parsed Head(std::string_view head);
  bool StartLine(std::string_view line);
  Parsed Framing();
  Parsed Chunks(std::string& buffer);

  Kind kind_;
  size_t most_body_;
  Part part_ = Part::kHead;
  size_t scanned_ = 0;  // of the head, without its end
  size_t left_ = 0;     // of the body or the chunk
  size_t trailer_ = 0;
  bool http_1_0_ = false;
  bool expects_ = false;
  HttpMessage message_;
};

bool SameName(std::string_view a, std::string_view b);  // header names: case does not count
void AppendHeader(std::string& out, std::string_view name, std::string_view value);
// Those headers of a message that are for the other end: not the framing, nor what concerns one connection.
void AppendEndToEnd(std::string& out, const HttpMessage& message, std::string_view but = {});
std::string_view Reason(int status);

}  // namespace burlfall

#endif  // BURLFALL_CODEC_HTTP_H_
