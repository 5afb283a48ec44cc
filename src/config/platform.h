// The platform's names: headers, paths, variables and fields of its JSON. They stand here and nowhere else,
// so that another platform's front can go through the same core.
#ifndef BURLFALL_CONFIG_PLATFORM_H_
#define BURLFALL_CONFIG_PLATFORM_H_

namespace burlfall::platform {

// Headers of a query, of a server's answer and of ours.
inline constexpr char kTraceId[] = "X-Trace-Id";
inline constexpr char kTenant[] = "X-Customer";
inline constexpr char kExpiresIn[] = "X-Expires-In";
inline constexpr char kSecondTry[] = "X-Second-Try";
inline constexpr char kIdempotencyKey[] = "Idempotency-Key";
inline constexpr char kSizeHint[] = "X-Size-Hint";  // microseconds of work
inline constexpr char kNeverRan[] = "X-Never-Ran";
inline constexpr char kNobody[] = "-";  // stands for a tenant where a query names none
inline constexpr char kToken[] = "X-Swap-Token";
inline constexpr char kChallenge[] = "WWW-Authenticate";  // what a 401 has to name
inline constexpr char kRetryAfter[] = "Retry-After";

// Paths: ours, and discovery's.
inline constexpr char kUpPath[] = "/up";
inline constexpr char kCountersPath[] = "/counters";
inline constexpr char kHostsPath[] = "/discovery/hosts";

// Calls at the second address. A server's id stands between the last three.
inline constexpr char kHealthPath[] = "/healthcheck";
inline constexpr char kDrainPath[] = "/healthcheck/fail";
inline constexpr char kResumePath[] = "/healthcheck/ok";
inline constexpr char kNodesPath[] = "/nodes/";
inline constexpr char kOutPath[] = "/maint";
inline constexpr char kBackPath[] = "/ready";

// The environment.
inline constexpr char kNameVariable[] = "PROXY_NAME";
inline constexpr char kListenVariable[] = "PROXY_LISTEN";
inline constexpr char kDiscoveryVariable[] = "PROXY_DISCOVERY";
inline constexpr char kConfigVariable[] = "PROXY_CONFIG";
inline constexpr char kAdminVariable[] = "PROXY_ADMIN";
inline constexpr char kPassedVariable[] = "PROXY_PASSED_SOCKET";  // the descriptor of the clients' listener
inline constexpr char kFolderVariable[] = "TMPDIR";

// States of a server in discovery's list.
inline constexpr char kReady[] = "Ready";
inline constexpr char kDraining[] = "Terminating";
inline constexpr char kGone[] = "Gone";

}  // namespace burlfall::platform

#endif  // BURLFALL_CONFIG_PLATFORM_H_
