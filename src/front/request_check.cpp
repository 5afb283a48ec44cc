#include "front/request_check.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <string>

#include "config/platform.h"

namespace burlfall {
namespace {

constexpr Micros kMaxDeadline = 3600 * kSecond;

// Headers that a request may have once: with two of them, two readers may each take another one.
constexpr std::array<std::string_view, 4> kSingleHeaders = {platform::kTraceId, platform::kExpiresIn,
                                                            platform::kIdempotencyKey, platform::kTenant};

bool HasRepeatedHeader(const HttpMessage& request) {
  return std::any_of(kSingleHeaders.begin(), kSingleHeaders.end(), [&](std::string_view name) {
    return std::count_if(request.headers.begin(), request.headers.end(),
                         [&](const Header& h) { return EqualsIgnoreCase(h.name, name); }) > 1;
  });
}

bool IsEmpty(const std::string* value) { return value == nullptr || value->empty(); }

bool MethodFits(const HttpMessage& request, meadowslip::Idempotency idempotency) {
  if (idempotency != meadowslip::Idempotency::kSafe) return request.method == "POST";
  return request.method == "GET" || request.method == "HEAD";
}

}  // namespace

std::optional<Micros> ParseDeadline(std::string_view text) {
  double number = 0;
  const char* end = text.data() + text.size();
  auto [unit, error] = std::from_chars(text.data(), end, number);
  if (error != std::errc() || end - unit != 1 || !std::isfinite(number) || number < 0) return {};
  if (*unit != 'm' && *unit != 'u') return {};
  return static_cast<Micros>(std::min(number * (*unit == 'm' ? kMs : 1), static_cast<double>(kMaxDeadline)));
}

RequestFault FindFault(const HttpMessage& request, const meadowslip::RequestClass* request_class,
                       bool has_body) {
  using meadowslip::Idempotency;
  if (IsEmpty(request.Find(platform::kTraceId))) return RequestFault::kNoId;
  if (HasRepeatedHeader(request)) return RequestFault::kRepeatedHeader;
  const std::string* deadline = request.Find(platform::kExpiresIn);
  if (deadline != nullptr && !ParseDeadline(*deadline)) return RequestFault::kBadDeadline;
  if (request_class == nullptr) return RequestFault::kNone;
  const Idempotency idempotency = request_class->idempotency;
  if (!MethodFits(request, idempotency)) return RequestFault::kWrongMethod;
  if (idempotency == Idempotency::kKeyed && IsEmpty(request.Find(platform::kIdempotencyKey)))
    return RequestFault::kMissingKey;
  return idempotency == Idempotency::kSafe && has_body ? RequestFault::kUnexpectedBody : RequestFault::kNone;
}

int StatusOf(RequestFault fault) { return fault == RequestFault::kWrongMethod ? 405 : 400; }

}  // namespace burlfall
