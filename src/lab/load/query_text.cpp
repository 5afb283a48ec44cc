#include "lab/load/query_text.h"

#include <algorithm>
#include <charconv>
#include <string_view>

#include "codec/http.h"
#include "config/platform.h"
#include "lab/site/mark.h"

namespace burlfall::lab {
namespace {

using meadowslip::Idempotency;

constexpr size_t kBodyBytes = 64;  // of a query that has a body

void AppendNumberHeader(std::string& out, std::string_view name, Micros number, std::string_view unit) {
  char digits[24];
  out.append(name).append(": ");
  out.append(digits, std::to_chars(digits, digits + sizeof digits, number).ptr);
  out.append(unit).append("\r\n");
}

// A name as a part of a path: with %XX for all that has a meaning there, or can't stand there.
std::string PathPart(std::string_view name) {
  constexpr char kHex[] = "0123456789ABCDEF";
  std::string out;
  for (const char c : name) {
    const bool plain = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') ||
                       std::string_view("-._~").find(c) != std::string_view::npos;
    const auto byte = static_cast<unsigned char>(c);
    plain ? out += c : out.append(1, '%').append(1, kHex[byte >> 4]).append(1, kHex[byte & 15]);
  }
  return out;
}

}  // namespace

QueryText::QueryText(const std::vector<ClassSpec>& classes, const std::vector<TenantSpec>& tenants) {
  for (const ClassSpec& one : classes) {
    const bool safe = one.effect == Idempotency::kSafe;
    Class& here = classes_.emplace_back();
    here.keyed = one.effect == Idempotency::kKeyed;
    here.start = (safe ? "GET /" : "POST /") + PathPart(one.name);
    here.end = "\r\n";
    if (safe) continue;
    here.end.clear();
    AppendHeader(here.end, "Content-Length", std::to_string(kBodyBytes));
    here.end.append("\r\n").append(kBodyBytes, '.');
  }
  for (const TenantSpec& one : tenants) AppendHeader(tenants_.emplace_back(), platform::kTenant, one.name);
}

void QueryText::Append(std::string& out, const Arrival& query, TraceId trace, int number, Micros left) const {
  const Class& cls = classes_[static_cast<size_t>(query.cls)];
  out.append(cls.start);
  if (query.key != 0) {
    out.append("?user=");
    AppendTrace(out, query.key);
  }
  out.append(" HTTP/1.1\r\nHost: burl\r\n").append(platform::kTraceId).append(": ");
  AppendTrace(out, trace);
  out.append("\r\n");
  if (static_cast<size_t>(query.tenant) < tenants_.size()) {
    out.append(tenants_[static_cast<size_t>(query.tenant)]);
  }
  AppendNumberHeader(out, platform::kExpiresIn, std::max<Micros>(left, 0), "u");
  if (number > 0) AppendNumberHeader(out, platform::kSecondTry, 1, "");
  if (query.estimate > 0) AppendNumberHeader(out, platform::kSizeHint, query.estimate, "");
  if (cls.keyed) {
    // The same over all tries: of the query, not of the try.
    out.append(platform::kIdempotencyKey).append(": ");
    AppendTrace(out, query.trace);
    AppendTrace(out, ~query.trace);
    out.append("\r\n");
  }
  out.append(cls.end);
}

}  // namespace burlfall::lab
