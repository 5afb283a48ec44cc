#include "codec/http.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <utility>

namespace burlfall {
namespace {

constexpr size_t kMostHeaders = 100;
constexpr std::array<std::string_view, 9> kOneLink = {"connection", "keep-alive",        "proxy-connection",
                                                      "te",         "trailer",           "upgrade",
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

bool HasWord(std::string_view list, std::string_view word) {
  while (!list.empty()) {
    size_t comma = std::min(list.find(','), list.size());
    if (SameName(Trim(list.substr(0, comma)), word)) return true;
    list.remove_prefix(std::min(comma + 1, list.size()));
  }
  return false;
}

bool Digits(std::string_view s, size_t& value, int base) {
  auto [end, error] = std::from_chars(s.data(), s.data() + s.size(), value, base);
  return error == std::errc() && end == s.data() + s.size();
}

}  // namespace

bool SameName(std::string_view a, std::string_view b) {
  return a.size() == b.size() &&
         std::equal(a.begin(), a.end(), b.begin(), [](char x, char y) { return Lower(x) == Lower(y); });
}

void AppendHeader(std::string& out, std::string_view name, std::string_view value) {
  out.append(name).append(": ").append(value).append("\r\n");
}

void AppendChunk(std::string& out, std::string_view bytes) {
  std::array<char, 16> size;
  out.append(size.data(), std::to_chars(size.data(), size.data() + size.size(), bytes.size(), 16).ptr);
  out.append("\r\n").append(bytes).append("\r\n");
}

void AppendEndToEnd(std::string& out, const HttpMessage& message, std::string_view but) {
  for (const Header& h : message.headers) {
    bool one_link = std::any_of(kOneLink.begin(), kOneLink.end(),
                                [&](std::string_view name) { return SameName(name, h.name); });
    if (one_link || SameName(h.name, but) || message.OfOneLink(h.name)) continue;
    AppendHeader(out, h.name, h.value);
  }
}

std::string_view Reason(int status) {
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

const std::string* HttpMessage::Find(std::string_view name) const {
  for (const Header& h : headers) {
    if (SameName(h.name, name)) return &h.value;
  }
  return nullptr;
}

// There may be several such lines (RFC 9110, 5.3). Guards a link that ends after this message: a query
// written to it would be reset.
bool HttpMessage::OfOneLink(std::string_view word) const {
  return std::any_of(headers.begin(), headers.end(), [&](const Header& h) {
    return SameName(h.name, "Connection") && HasWord(h.value, word);
  });
}

Parsed HttpParser::Feed(std::string& buffer) {
  if (part_ == Part::kHead) {
    // A stray line break between requests is forgiven.
    while (kind_ == Kind::kRequest && scanned_ == 0 && buffer.starts_with("\r\n")) buffer.erase(0, 2);
    size_t end = buffer.find(kHeadEnd, scanned_);
    if (interim_ + std::min(end, buffer.size()) > kMostHead) return Parsed::kTooLarge;
    if (end == std::string::npos) {
      scanned_ = buffer.size() < kHeadEnd.size() ? 0 : buffer.size() - kHeadEnd.size() + 1;
      return Parsed::kMore;
    }
    scanned_ = 0;
    Parsed head = Head(std::string_view(buffer).substr(0, end));
    if (head != Parsed::kDone) return head;
    buffer.erase(0, end + kHeadEnd.size());
    if (kind_ == Kind::kResponse && message_.status / 100 == 1) {  // an interim answer: the real one follows
      interim_ += end + kHeadEnd.size();
      message_ = HttpMessage();
      return Feed(buffer);
    }
    Parsed framing = Framing();
    if (framing != Parsed::kDone) return framing;
  }
  const Parsed parsed = wrong_ != Parsed::kMore ? wrong_ : Body(buffer);
  const bool longer =
      message_.body.size() > held_ || (part_ == Part::kBody && !parted_ && length_.value_or(0) > held_);
  if (parsed == Parsed::kDone || parted_ || !longer) return parsed;
  wrong_ = parsed;  // what is wrong further on is said once the head is told, as where it comes in pieces
  return Parsed::kPart;
}

// What of it has come, up to the end of the buffer.
Parsed HttpParser::Body(std::string& buffer) {
  if (part_ == Part::kBody || part_ == Part::kToEnd) {
    size_t n = part_ == Part::kBody ? std::min(left_, buffer.size()) : buffer.size();
    if (total_ + n > most_body_) return Parsed::kTooLarge;
    total_ += n;
    message_.body.append(buffer, 0, n);
    buffer.erase(0, n);
    if (part_ == Part::kToEnd) return Parsed::kMore;
    left_ -= n;
    if (left_ == 0) part_ = Part::kDone;
  }
  if (part_ != Part::kDone && part_ != Part::kBody) return Chunks(buffer);
  return part_ == Part::kDone ? Parsed::kDone : Parsed::kMore;
}

Parsed HttpParser::Closed() {
  if (part_ != Part::kToEnd) return Parsed::kBad;
  part_ = Part::kDone;
  return Parsed::kDone;
}

bool HttpParser::ExpectsContinue() { return std::exchange(expects_, false); }

HttpMessage HttpParser::TakeHead() {
  parted_ = true;
  HttpMessage head = std::exchange(message_, HttpMessage());
  message_.status = head.status;
  return head;
}

HttpMessage HttpParser::Take() {
  part_ = Part::kHead;
  scanned_ = interim_ = left_ = trailer_ = total_ = 0;
  length_.reset();
  held_ = held_first_;
  wrong_ = Parsed::kMore;
  parted_ = no_body_ = false;
  expects_ = false;  // the body came unasked: a leave for it would stand before the next answer
  return std::exchange(message_, HttpMessage());
}

Parsed HttpParser::Head(std::string_view head) {
  size_t eol = std::min(head.find("\r\n"), head.size());
  if (!StartLine(head.substr(0, eol))) return Parsed::kBad;
  while (eol < head.size()) {
    head.remove_prefix(eol + 2);
    eol = std::min(head.find("\r\n"), head.size());
    std::string_view line = head.substr(0, eol);
    // A line that begins with a blank goes on with the one before (RFC 9112, 5.2).
    if ((line.starts_with(' ') || line.starts_with('\t')) && !message_.headers.empty() && IsText(line)) {
      std::string& value = message_.headers.back().value;
      value.append(value.empty() ? "" : " ").append(Trim(line));
      continue;
    }
    size_t colon = line.find(':');
    if (colon == std::string_view::npos || !IsToken(line.substr(0, colon))) return Parsed::kBad;
    std::string_view value = Trim(line.substr(colon + 1));
    if (!IsText(value) || message_.headers.size() >= kMostHeaders) return Parsed::kBad;
    message_.headers.push_back({std::string(line.substr(0, colon)), std::string(value)});
  }
  return Parsed::kDone;
}

bool HttpParser::StartLine(std::string_view line) {
  size_t one = line.find(' ');
  if (one == std::string_view::npos || !IsText(line)) return false;
  std::string_view version;
  if (kind_ == Kind::kRequest) {
    size_t two = line.rfind(' ');
    if (two == one) return false;
    message_.method = line.substr(0, one);
    message_.target = line.substr(one + 1, two - one - 1);
    version = line.substr(two + 1);
    if (!IsToken(message_.method) || !message_.target.starts_with('/')) return false;
    if (message_.target.find(' ') != std::string::npos) return false;
  } else {
    version = line.substr(0, one);
    size_t status = 0;
    const std::string_view reason = line.substr(std::min(one + 4, line.size()));  // with the blank before it
    if (!Digits(line.substr(one + 1, 3), status, 10) || status < 100 || status > 599) return false;
    if (!reason.empty() && !reason.starts_with(' ')) return false;
    message_.status = static_cast<int>(status);
  }
  message_.http_1_0 = version == "HTTP/1.0";
  return message_.http_1_0 || version == "HTTP/1.1";
}

// How the body ends. Two ways of saying it in one message are a smuggler's: bad.
Parsed HttpParser::Framing() {
  message_.keep_alive =
      !message_.OfOneLink("close") && (!message_.http_1_0 || message_.OfOneLink("keep-alive"));
  const std::string* expect = message_.Find("Expect");
  expects_ = kind_ == Kind::kRequest && expect != nullptr && SameName(*expect, "100-continue");
  const std::string* coding = message_.Find("Transfer-Encoding");
  const std::string* length = message_.Find("Content-Length");
  bool twice = std::any_of(message_.headers.begin(), message_.headers.end(), [&](const Header& h) {
    return (SameName(h.name, "Content-Length") && (coding != nullptr || h.value != *length)) ||
           (SameName(h.name, "Transfer-Encoding") && &h.value != coding);
  });
  if (twice) return Parsed::kBad;
  if (no_body_ || message_.status == 204 || message_.status == 304) {
    left_ = 0;
    part_ = Part::kBody;
    // It has no body, and says of which length: a sender that then sends one would be heard as the next
    // answer.
    if (!no_body_ && (coding != nullptr || length != nullptr)) message_.keep_alive = false;
  } else if (coding != nullptr) {
    if (!SameName(*coding, "chunked")) return Parsed::kBad;
    part_ = Part::kChunkSize;
  } else if (length != nullptr) {
    if (!Digits(*length, left_, 10)) return Parsed::kBad;
    if (left_ > most_body_) return Parsed::kTooLarge;
    length_ = left_;
    part_ = Part::kBody;
  } else if (kind_ == Kind::kResponse) {
    part_ = Part::kToEnd;
    message_.keep_alive = false;
  } else {
    left_ = 0;
    part_ = Part::kBody;
  }
  return Parsed::kDone;
}

Parsed HttpParser::Chunks(std::string& buffer) {
  constexpr size_t kMostLine = 4096;  // of a chunk's size with its extensions, or of a trailer
  while (true) {
    if (part_ == Part::kChunk) {
      size_t n = std::min(left_, buffer.size());
      total_ += n;
      message_.body.append(buffer, 0, n);
      buffer.erase(0, n);
      left_ -= n;
      if (left_ > 0) return Parsed::kMore;
      part_ = Part::kChunkEnd;
    }
    size_t eol = buffer.find("\r\n");
    // Also where it has come whole: what a message says must not hang on how it is cut.
    if (std::min(eol, buffer.size()) > kMostLine) return Parsed::kBad;
    if (eol == std::string::npos) return Parsed::kMore;
    std::string line = buffer.substr(0, eol);
    buffer.erase(0, eol + 2);
    if (part_ == Part::kChunkEnd) {
      if (!line.empty()) return Parsed::kBad;
      part_ = Part::kChunkSize;
    } else if (part_ == Part::kChunkSize) {
      std::string_view size = Trim(std::string_view(line).substr(0, line.find(';')));
      if (size.size() > 8 || !Digits(size, left_, 16)) return Parsed::kBad;
      if (left_ > most_body_ || total_ + left_ > most_body_) return Parsed::kTooLarge;
      part_ = left_ > 0 ? Part::kChunk : Part::kTrailer;
    } else if (line.empty()) {
      part_ = Part::kDone;
      return Parsed::kDone;
    } else if (++trailer_ > kMostHeaders) {
      return Parsed::kBad;
    }
  }
}

}  // namespace burlfall
