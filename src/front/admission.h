// The operators' rules that a request has to pass before it reaches the dispatcher: tokens, readiness and
// rate limits. No I/O.
#ifndef BURLFALL_FRONT_ADMISSION_H_
#define BURLFALL_FRONT_ADMISSION_H_

#include <functional>
#include <optional>
#include <string>

#include "codec/http.h"
#include "config/platform_config.h"
#include "gates/rate_limiter.h"
#include "gates/tokens.h"
#include "io/machine.h"
#include "io/network.h"
#include "observe/counters.h"
#include "observe/figures.h"

namespace burlfall {

// The answer to a request that is not admitted.
struct AdmissionRefusal {
  int status = 0;
  std::string headers;
  std::string body;
  Figure why = Figure::kDenied;
};

class Admission {
 public:
  // For a request with this timeout: nothing if it may pass, or the time after which to retry if this
  // balancer can't serve it before. Empty: all may pass.
  using ReadinessGate = std::function<std::optional<Micros>(Micros timeout)>;

  Admission(Machine& machine, const Config& config, Tokens& tokens, RateLimiter& rate_limiter,
            ReadinessGate not_ready, Counters& counters);

  // nullopt: the request is admitted. `request_class` is -1 if the settings don't name its class; `client` is
  // its connection.
  std::optional<AdmissionRefusal> Check(const HttpMessage& request, int request_class, const Stream& client);

 private:
  std::optional<AdmissionRefusal> CheckToken(const HttpMessage& request, int request_class);
  std::optional<AdmissionRefusal> CheckReadiness(int request_class);
  std::optional<AdmissionRefusal> CheckRate(const HttpMessage& request, const Stream& client);

  Machine& machine_;
  const Config& config_;
  Tokens& tokens_;
  RateLimiter& rate_limiter_;
  const ReadinessGate not_ready_;
  Counters& counters_;
};

}  // namespace burlfall

#endif  // BURLFALL_FRONT_ADMISSION_H_
