#include "lab/site/mark.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <system_error>

namespace burlfall::lab {
namespace {

constexpr std::string_view kTrace = "burl trace=";
constexpr std::string_view kNode = " node=";
constexpr std::string_view kAttempt = " attempt=";
constexpr size_t kDigits = 16;
constexpr char kPadding = '.';

template <typename Number>
void AppendNumber(std::string& to, Number number) {
  std::array<char, 24> digits;
  to.append(digits.data(), std::to_chars(digits.data(), digits.data() + digits.size(), number).ptr);
}

bool Skip(std::string_view& text, std::string_view what) {
  if (!text.starts_with(what)) return false;
  text.remove_prefix(what.size());
  return true;
}

template <typename Number>
bool Take(std::string_view& text, Number& number) {
  auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
  text.remove_prefix(static_cast<size_t>(end - text.data()));
  return error == std::errc();
}

}  // namespace

void AppendMark(std::string& body, const Mark& mark, size_t size) {
  const size_t full = body.size() + size;
  body += kTrace;
  AppendTrace(body, mark.trace);
  body += kNode;
  AppendNumber(body, mark.node);
  body += kAttempt;
  AppendNumber(body, mark.attempt);
  body += '\n';
  if (body.size() < full) body.append(full - body.size(), kPadding);
}

Mark ReadMark(std::string_view body) {
  Mark mark;
  const bool whole = Skip(body, kTrace) && (mark.trace = ReadTrace(body.substr(0, kDigits))) != 0 &&
                     Skip(body, body.substr(0, kDigits)) && Skip(body, kNode) && Take(body, mark.node) &&
                     Skip(body, kAttempt) && Take(body, mark.attempt) && Skip(body, "\n") &&
                     body.find_first_not_of(kPadding) == std::string_view::npos;
  return whole ? mark : Mark();
}

TraceId ReadTrace(std::string_view text) {
  TraceId trace = 0;
  auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), trace, 16);
  const bool whole = error == std::errc() && end == text.data() + text.size() && text.size() == kDigits;
  return whole ? trace : 0;
}

void AppendTrace(std::string& to, TraceId trace) {
  constexpr char kHex[] = "0123456789abcdef";
  for (size_t shift = kDigits * 4; shift > 0; shift -= 4) to += kHex[(trace >> (shift - 4)) & 15];
}

std::string TraceText(TraceId trace) {
  std::string text;
  AppendTrace(text, trace);
  return text;
}

}  // namespace burlfall::lab
