#include "front/admission.h"

#include <algorithm>
#include <string_view>
#include <utility>

#include "config/platform.h"

namespace burlfall {

Admission::Admission(Machine& machine, const Config& config, Tokens& tokens, RateLimiter& rate_limiter,
                     ReadinessGate not_ready, Counters& counters)
    : machine_(machine),
      config_(config),
      tokens_(tokens),
      rate_limiter_(rate_limiter),
      not_ready_(std::move(not_ready)),
      counters_(counters) {}

std::optional<AdmissionRefusal> Admission::Check(const HttpMessage& request, int request_class,
                                                 const Stream& client) {
  // Tokens first: forged requests must not use up a caller's bucket.
  if (auto refusal = CheckToken(request, request_class)) return refusal;
  if (auto refusal = CheckReadiness(request_class)) return refusal;
  return CheckRate(request, client);
}

std::optional<AdmissionRefusal> Admission::CheckToken(const HttpMessage& request, int request_class) {
  if (!tokens_.enabled()) return {};
  const std::string* token = nullptr;
  bool duplicated = false;
  for (const Header& header : request.headers) {
    if (!EqualsIgnoreCase(header.name, platform::kToken)) continue;
    duplicated = duplicated || token != nullptr;
    token = &header.value;
  }
  std::string_view name;
  if (request_class >= 0) name = config_.settings.classes[static_cast<size_t>(request_class)].name;
  const Tokens::Verdict verdict =
      duplicated
          ? Tokens::Verdict::kForged  // one of them may have been added in transit
          : tokens_.Check(token != nullptr ? std::string_view(*token) : "", name, machine_.WallClock());
  if (verdict == Tokens::Verdict::kPass) return {};
  const TokenResponse answer = ResponseFor(verdict);
  AdmissionRefusal refusal{answer.status, "", std::string(answer.body), Figure::kDenied};
  AppendHeader(refusal.headers, "Content-Type", "text/plain");
  if (answer.status == 401) AppendHeader(refusal.headers, platform::kChallenge, platform::kToken);
  ++counters_.denied;
  return refusal;
}

std::optional<AdmissionRefusal> Admission::CheckReadiness(int request_class) {
  if (!not_ready_ || request_class < 0) return {};
  const meadowslip::Settings& settings = config_.settings;
  const std::optional<Micros> wait =
      not_ready_(settings.classes[static_cast<size_t>(request_class)].deadline);
  if (!wait) return {};
  AdmissionRefusal refusal{503, "", "", Figure::kThrottled};
  const Micros capped_wait = std::min(*wait, settings.max_retry_after);
  if (settings.retry_after && capped_wait > 0)
    AppendHeader(refusal.headers, platform::kRetryAfter, RateLimiter::FormatSeconds(capped_wait));
  ++counters_.not_ready;
  return refusal;
}

std::optional<AdmissionRefusal> Admission::CheckRate(const HttpMessage& request, const Stream& client) {
  if (!rate_limiter_.enabled()) return {};
  const std::string* tenant = request.Find(platform::kTenant);
  std::string key = platform::kNoTenant;
  if (rate_limiter_.by_address()) {
    const std::string host = HostOf(client.Peer());
    if (!host.empty()) key = host;
  } else if (tenant != nullptr && !tenant->empty()) {
    key = *tenant;
  }
  const std::optional<Micros> wait = rate_limiter_.CheckLimit(key, machine_.Now());
  if (!wait) return {};
  AdmissionRefusal refusal{429, "", "", Figure::kLimited};
  if (*wait != kNever)
    AppendHeader(refusal.headers, platform::kRetryAfter, RateLimiter::FormatSeconds(*wait));
  ++counters_.limited;
  return refusal;
}

}  // namespace burlfall
