#include "codec/http.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <utility>

namespace burlfall {
namespace {

constexpr size_t kMaxHeaders = 100;
constexpr std::array<std::string_view, 9> kHopByHopHeaders = {
    "connection", "keep-alive",        "proxy-connection", "te", "trailer", "upgrade",
    "expect",     "transfer-encoding", "content-length"};
constexpr std::string_view kHeadEnd = "\r\n\r\n";

char Lower(char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c; }

bool IsToken(std::string_view s) {
  return !s.empty() && std::all_of(s.begin(), s.end(), [](char c) {
    return (c >= '0' && c <= '9') || (Lower(c) >= 'a' && Lower(c) <= 'z') ||
           std::string_view("!#$%&'*+-.^_`|~").find(c) != std::string_view::npos;
  });
}

std::string_view Trim(std::string_view s) {
  while (!s.empty() && (s.front() == ' ' || s.front() == '\t')) s.remove_prefix(1);
  while (!s.empty() && (s.back() == ' ' || s.back() == '\t')) s.remove_suffix(1);
  return s;
}

bool IsText(std::string_view s) {
  return std::none_of(s.begin(), s.end(),
                      [](char c) { return (c >= 0 && c < ' ' && c != '\t') || c == 127; });
}

bool ListContains(std::string_view list, std::string_view word) {
  while (!list.empty()) {
    size_t comma = std::min(list.find(','), list.size());
    if (EqualsIgnoreCase(Trim(list.substr(0, comma)), word)) return true;
    list.remove_prefix(std::min(comma + 1, list.size()));
  }
  return false;
}

bool Digits(std::string_view s, size_t& value, int base) {
  auto [end, error] = std::from_chars(s.data(), s.data() + s.size(), value, base);
  return error == std::errc() && end == s.data() + s.size();
}

}  // namespace

bool EqualsIgnoreCase(std::string_view a, std::string_view b) {
  return a.size() == b.size() &&
         std::equal(a.begin(), a.end(), b.begin(), [](char x, char y) { return Lower(x) == Lower(y); });
}

void AppendHeader(std::string& out, std::string_view name, std::string_view value) {
  out.append(name).append(": ").append(value).append("\r\n");
}

void AppendChunkSize(std::string& out, size_t size) {
  std::array<char, 16> digits;
  out.append(digits.data(), std::to_chars(digits.data(), digits.data() + digits.size(), size, 16).ptr);
  out.append("\r\n");
}

void AppendChunk(std::string& out, std::string_view bytes) {
  AppendChunkSize(out, bytes.size());
  out.append(bytes).append(kChunkEnd);
}

void AppendEndToEnd(std::string& out, const HttpMessage& message, std::string_view except) {
  for (const Header& h : message.headers) {
    bool hop_by_hop = std::any_of(kHopByHopHeaders.begin(), kHopByHopHeaders.end(),
                                  [&](std::string_view name) { return EqualsIgnoreCase(name, h.name); });
    if (hop_by_hop || EqualsIgnoreCase(h.name, except) || message.HasConnectionOption(h.name)) continue;
    AppendHeader(out, h.name, h.value);
  }
}

std::string_view ReasonPhrase(int status) {
  switch (status) {
    case 200:
      return "OK";
    case 400:
      return "Bad Request";
    case 401:
      return "Unauthorized";
    case 403:
      return "Forbidden";
    case 404:
      return "Not Found";
    case 405:
      return "Method Not Allowed";
    case 408:
      return "Request Timeout";
    case 409:
      return "Conflict";
    case 413:
      return "Content Too Large";
    case 429:
      return "Too Many Requests";
    case 431:
      return "Request Header Fields Too Large";
    case 500:
      return "Internal Server Error";
    case 502:
      return "Bad Gateway";
    case 503:
      return "Service Unavailable";
  }
  return "Unknown";
}

size_t HttpMessage::HeldBytes() const {
  const size_t inside = std::string().capacity();  // strings up to this size are inside their object
  const auto heap = [inside](const std::string& text) {
    return text.capacity() > inside ? text.capacity() + 1 : 0;
  };
  size_t bytes = heap(method) + heap(target) + heap(body) + headers.capacity() * sizeof(Header);
  for (const Header& h : headers) bytes += heap(h.name) + heap(h.value);
  return bytes;
}

const std::string* HttpMessage::Find(std::string_view name) const {
  for (const Header& h : headers) {
    if (EqualsIgnoreCase(h.name, name)) return &h.value;
  }
  return nullptr;
}

// There may be several Connection headers (RFC 9110, 5.3). Missing a "close" among them would keep a link in
// use that its peer closes after this message: a query written to it would be reset.
bool HttpMessage::HasConnectionOption(std::string_view word) const {
  return std::any_of(headers.begin(), headers.end(), [&](const Header& h) {
    return EqualsIgnoreCase(h.name, "Connection") && ListContains(h.value, word);
  });
}

Parsed HttpParser::Feed(std::string& buffer) {
  if (state_ == State::kHead) {
    // Tolerates empty lines between requests.
    while (kind_ == Kind::kRequest && scanned_ == 0 && buffer.starts_with("\r\n")) buffer.erase(0, 2);
    size_t end = buffer.find(kHeadEnd, scanned_);
    if (interim_bytes_ + std::min(end, buffer.size()) > kMaxHead) return Parsed::kTooLarge;
    if (end == std::string::npos) {
      scanned_ = buffer.size() < kHeadEnd.size() ? 0 : buffer.size() - kHeadEnd.size() + 1;
      return Parsed::kMore;
    }
    scanned_ = 0;
    Parsed head = Head(std::string_view(buffer).substr(0, end));
    if (head != Parsed::kDone) return head;
    buffer.erase(0, end + kHeadEnd.size());
    if (kind_ == Kind::kResponse && message_.status / 100 == 1) {  // interim: the final answer follows
      interim_bytes_ += end + kHeadEnd.size();
      message_ = HttpMessage();
      return Feed(buffer);
    }
    Parsed framing = Framing();
    if (framing != Parsed::kDone) return framing;
    head_bytes_ = message_.HeldBytes();
  }
  const Parsed parsed = deferred_error_ != Parsed::kMore ? deferred_error_ : Body(buffer);
  const bool exceeds_hold_limit =
      message_.body.size() > hold_limit_ ||
      (state_ == State::kBody && !head_taken_ && length_.value_or(0) > hold_limit_);
  if (parsed == Parsed::kDone || head_taken_ || !exceeds_hold_limit) return parsed;
  deferred_error_ = parsed;  // reported after the head, as it would be if the body had arrived in pieces
  return Parsed::kHeadComplete;
}

// Parses the body as far as the buffer holds it.
Parsed HttpParser::Body(std::string& buffer) {
  if (state_ == State::kBody || state_ == State::kToEnd) {
    size_t n = state_ == State::kBody ? std::min(remaining_, buffer.size()) : buffer.size();
    if (body_bytes_ + n > max_body_) return Parsed::kTooLarge;
    body_bytes_ += n;
    message_.body.append(buffer, 0, n);
    buffer.erase(0, n);
    if (state_ == State::kToEnd) return Parsed::kMore;
    remaining_ -= n;
    if (remaining_ == 0) state_ = State::kDone;
  }
  if (state_ != State::kDone && state_ != State::kBody) return Chunks(buffer);
  return state_ == State::kDone ? Parsed::kDone : Parsed::kMore;
}

Parsed HttpParser::OnPeerClosed() {
  if (state_ != State::kToEnd) return Parsed::kBad;
  state_ = State::kDone;
  return Parsed::kDone;
}

size_t HttpParser::HeldBytes() const {
  return state_ == State::kHead ? 0 : head_bytes_ + message_.body.capacity();
}

bool HttpParser::ExpectsContinue() { return std::exchange(expects_continue_, false); }

HttpMessage HttpParser::TakeHead() {
  head_taken_ = true;
  HttpMessage head = std::exchange(message_, HttpMessage());
  message_.status = head.status;
  head_bytes_ = 0;
  return head;
}

HttpMessage HttpParser::Take() {
  state_ = State::kHead;
  scanned_ = interim_bytes_ = remaining_ = trailer_lines_ = body_bytes_ = head_bytes_ = 0;
  length_.reset();
  hold_limit_ = default_hold_limit_;
  deferred_error_ = Parsed::kMore;
  head_taken_ = no_body_ = false;
  expects_continue_ =
      false;  // the body came without a "100 Continue": sent now, that would precede the next answer
  return std::exchange(message_, HttpMessage());
}

Parsed HttpParser::Head(std::string_view head) {
  size_t eol = std::min(head.find("\r\n"), head.size());
  if (!StartLine(head.substr(0, eol))) return Parsed::kBad;
  while (eol < head.size()) {
    head.remove_prefix(eol + 2);
    eol = std::min(head.find("\r\n"), head.size());
    std::string_view line = head.substr(0, eol);
    // A line that begins with white space continues the previous one (obs-fold: RFC 9112, 5.2).
    if ((line.starts_with(' ') || line.starts_with('\t')) && !message_.headers.empty() && IsText(line)) {
      std::string& value = message_.headers.back().value;
      value.append(value.empty() ? "" : " ").append(Trim(line));
      continue;
    }
    size_t colon = line.find(':');
    if (colon == std::string_view::npos || !IsToken(line.substr(0, colon))) return Parsed::kBad;
    std::string_view value = Trim(line.substr(colon + 1));
    if (!IsText(value) || message_.headers.size() >= kMaxHeaders) return Parsed::kBad;
    message_.headers.push_back({std::string(line.substr(0, colon)), std::string(value)});
  }
  return Parsed::kDone;
}

bool HttpParser::StartLine(std::string_view line) {
  size_t first_space = line.find(' ');
  if (first_space == std::string_view::npos || !IsText(line)) return false;
  std::string_view version;
  if (kind_ == Kind::kRequest) {
    size_t last_space = line.rfind(' ');
    if (last_space == first_space) return false;
    message_.method = line.substr(0, first_space);
    message_.target = line.substr(first_space + 1, last_space - first_space - 1);
    version = line.substr(last_space + 1);
    if (!IsToken(message_.method) || !message_.target.starts_with('/')) return false;
    if (message_.target.find(' ') != std::string::npos) return false;
  } else {
    version = line.substr(0, first_space);
    size_t status = 0;
    const std::string_view reason =
        line.substr(std::min(first_space + 4, line.size()));  // with the leading space
    if (!Digits(line.substr(first_space + 1, 3), status, 10) || status < 100 || status > 599) return false;
    if (!reason.empty() && !reason.starts_with(' ')) return false;
    message_.status = static_cast<int>(status);
  }
  message_.http_1_0 = version == "HTTP/1.0";
  return message_.http_1_0 || version == "HTTP/1.1";
}

// Determines how the body is delimited. A message with contradicting framing headers is rejected: it may be
// an attempt at request smuggling.
Parsed HttpParser::Framing() {
  message_.keep_alive = !message_.HasConnectionOption("close") &&
                        (!message_.http_1_0 || message_.HasConnectionOption("keep-alive"));
  const std::string* expect = message_.Find("Expect");
  expects_continue_ =
      kind_ == Kind::kRequest && expect != nullptr && EqualsIgnoreCase(*expect, "100-continue");
  const std::string* coding = message_.Find("Transfer-Encoding");
  const std::string* length = message_.Find("Content-Length");
  bool ambiguous = std::any_of(message_.headers.begin(), message_.headers.end(), [&](const Header& h) {
    return (EqualsIgnoreCase(h.name, "Content-Length") && (coding != nullptr || h.value != *length)) ||
           (EqualsIgnoreCase(h.name, "Transfer-Encoding") && &h.value != coding);
  });
  if (ambiguous) return Parsed::kBad;
  if (no_body_ || message_.status == 204 || message_.status == 304) {
    remaining_ = 0;
    state_ = State::kBody;
    // The message has no body although its headers announce one. If the sender sends one all the same, it
    // would be parsed as the next answer.
    if (!no_body_ && (coding != nullptr || length != nullptr)) message_.keep_alive = false;
  } else if (coding != nullptr) {
    if (!EqualsIgnoreCase(*coding, "chunked")) return Parsed::kBad;
    state_ = State::kChunkSize;
  } else if (length != nullptr) {
    if (!Digits(*length, remaining_, 10)) return Parsed::kBad;
    if (remaining_ > max_body_) return Parsed::kTooLarge;
    length_ = remaining_;
    state_ = State::kBody;
  } else if (kind_ == Kind::kResponse) {
    state_ = State::kToEnd;
    message_.keep_alive = false;
  } else {
    remaining_ = 0;
    state_ = State::kBody;
  }
  return Parsed::kDone;
}

Parsed HttpParser::Chunks(std::string& buffer) {
  constexpr size_t kMaxLine = 4096;  // bytes of a chunk-size line with its extensions, or of a trailer line
  while (true) {
    if (state_ == State::kChunk) {
      size_t n = std::min(remaining_, buffer.size());
      body_bytes_ += n;
      message_.body.append(buffer, 0, n);
      buffer.erase(0, n);
      remaining_ -= n;
      if (remaining_ > 0) return Parsed::kMore;
      state_ = State::kChunkEnd;
    }
    size_t eol = buffer.find("\r\n");
    // The limit holds also for a complete line: the result must not depend on how the bytes are split up.
    if (std::min(eol, buffer.size()) > kMaxLine) return Parsed::kBad;
    if (eol == std::string::npos) return Parsed::kMore;
    std::string line = buffer.substr(0, eol);
    buffer.erase(0, eol + 2);
    if (state_ == State::kChunkEnd) {
      if (!line.empty()) return Parsed::kBad;
      state_ = State::kChunkSize;
    } else if (state_ == State::kChunkSize) {
      std::string_view size = Trim(std::string_view(line).substr(0, line.find(';')));
      if (size.size() > 8 || !Digits(size, remaining_, 16)) return Parsed::kBad;
      if (remaining_ > max_body_ || body_bytes_ + remaining_ > max_body_) return Parsed::kTooLarge;
      state_ = remaining_ > 0 ? State::kChunk : State::kTrailer;
    } else if (line.empty()) {
      state_ = State::kDone;
      return Parsed::kDone;
    } else if (++trailer_lines_ > kMaxHeaders) {
      return Parsed::kBad;
    }
  }
}

}  // namespace burlfall
