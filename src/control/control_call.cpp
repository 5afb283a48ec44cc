#include "control/control_call.h"

#include <algorithm>
#include <optional>
#include <string_view>

#include "config/platform.h"

namespace burlfall {
namespace {

constexpr size_t kMaxNameLength = 256;

std::string Answer(int status, std::string_view text, std::string_view allow = {}) {
  std::string out = "HTTP/1.1 " + std::to_string(status) + " ";
  out.append(ReasonPhrase(status)).append("\r\n");
  if (!allow.empty()) AppendHeader(out, "Allow", allow);
  AppendHeader(out, "Content-Type", "text/plain");
  AppendHeader(out, "Content-Length", std::to_string(text.size() + 1));
  AppendHeader(out, "Connection", "close");
  return out.append("\r\n").append(text).append("\n");
}

std::string AnswerVerdict(Verdict verdict, std::string_view done) {
  switch (verdict) {
    case Verdict::kDone:
      return Answer(200, done);
    case Verdict::kUnknown:
      return Answer(404, "no node of this id was ever listed");
    case Verdict::kNotNow:
      return Answer(409, "this process ends");
    case Verdict::kFailed:
      return Answer(500, "not done: it could not be saved for the next start");
  }
  return Answer(500, "");
}

int Hex(char c) {
  if (c >= '0' && c <= '9') return c - '0';
  if (c >= 'a' && c <= 'f') return c - 'a' + 10;
  return c >= 'A' && c <= 'F' ? c - 'A' + 10 : -1;
}

// Decodes %XX escapes in a part of a path; nullopt if it is malformed, empty or too long.
std::optional<std::string> Decode(std::string_view part) {
  std::string out;
  for (size_t i = 0; i < part.size(); ++i) {
    if (part[i] != '%') {
      out += part[i];
      continue;
    }
    if (i + 2 >= part.size() || Hex(part[i + 1]) < 0 || Hex(part[i + 2]) < 0) return {};
    out += static_cast<char>(Hex(part[i + 1]) * 16 + Hex(part[i + 2]));
    i += 2;
  }
  if (out.empty() || out.size() > kMaxNameLength) return {};
  return out;
}

}  // namespace

std::string RefusalAnswer(const ChangePermission& permission) {
  std::string answer = Answer(409, permission.why);
  if (permission.retry <= 0) return answer;
  std::string header;
  AppendHeader(header, "Retry-After", std::to_string((permission.retry + kSecond - 1) / kSecond));
  return answer.insert(answer.find("\r\n") + 2, header);
}

std::optional<ChangeCall> ParseChange(const HttpMessage& call) {
  if (call.method != "POST") return {};
  const std::string_view target = call.target;
  const std::string_view path = target.substr(0, target.find('?'));
  ChangeCall change;
  if (path == platform::kDrainPath) {
    change.what = ChangeCall::What::kStartDrain;
  } else if (path == platform::kResumePath) {
    change.what = ChangeCall::What::kStopDrain;
  } else {
    const std::string_view nodes = platform::kNodesPath;
    if (!path.starts_with(nodes)) return {};
    const std::string_view rest = path.substr(nodes.size());
    const size_t slash = rest.find('/');
    const std::string_view what = slash == std::string_view::npos ? "" : rest.substr(slash);
    if (what != platform::kOutPath && what != platform::kBackPath) return {};
    const std::optional<std::string> name = Decode(rest.substr(0, slash));
    if (!name) return {};
    change.what = what == platform::kOutPath ? ChangeCall::What::kTakeOut : ChangeCall::What::kPutBack;
    change.server = *name;
  }
  std::string_view query = target.size() > path.size() ? target.substr(path.size() + 1) : "";
  while (!query.empty()) {
    const std::string_view parameter = query.substr(0, query.find('&'));
    query.remove_prefix(std::min(query.size(), parameter.size() + 1));
    if (parameter.starts_with("by=")) change.by = Decode(parameter.substr(3)).value_or("");
    if (parameter.starts_with("reason=")) change.reason = Decode(parameter.substr(7)).value_or("");
  }
  return change;
}

std::string ErrorAnswer(int status) { return Answer(status, ReasonPhrase(status)); }

std::string AnswerCall(const HttpMessage& call, Operations& operations) {
  const std::string_view path = std::string_view(call.target).substr(0, call.target.find('?'));
  const bool is_post = call.method == "POST";
  if (path == platform::kHealthPath) {
    if (call.method != "GET") return Answer(405, "use GET", "GET");
    return operations.Serving() ? Answer(200, "serving") : Answer(503, "not serving yet, or no more");
  }
  if (path == platform::kDrainPath || path == platform::kResumePath) {
    if (!is_post) return Answer(405, "use POST", "POST");
    return path == platform::kDrainPath ? AnswerVerdict(operations.StartManualDrain(), "draining")
                                        : AnswerVerdict(operations.StopManualDrain(), "back to work");
  }
  std::string_view rest = path;
  const std::string_view nodes = platform::kNodesPath;
  if (!rest.starts_with(nodes)) return Answer(404, "no such call");
  rest.remove_prefix(nodes.size());
  const size_t slash = rest.find('/');
  const std::string_view what = slash == std::string_view::npos ? "" : rest.substr(slash);
  const bool out = what == platform::kOutPath;
  if (!out && what != platform::kBackPath) return Answer(404, "no such call");
  if (!is_post) return Answer(405, "use POST", "POST");
  const std::optional<std::string> name = Decode(rest.substr(0, slash));
  if (!name) return Answer(400, "invalid node id");
  return out ? AnswerVerdict(operations.TakeOut(*name), "out")
             : AnswerVerdict(operations.PutBack(*name), "back");
}

}  // namespace burlfall
