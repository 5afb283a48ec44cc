// The platform's names: headers, paths, environment variables and values in its JSON. They are defined only
// here, so that an adapter for another platform can use the same core.
#ifndef BURLFALL_CONFIG_PLATFORM_H_
#define BURLFALL_CONFIG_PLATFORM_H_

namespace burlfall::platform {

// Headers of a query, of a server's response and of the balancer's response.
inline constexpr char kTraceId[] = "X-Trace-Id";
inline constexpr char kTenant[] = "X-Customer";
inline constexpr char kExpiresIn[] = "X-Expires-In";
inline constexpr char kSecondTry[] = "X-Second-Try";
inline constexpr char kIdempotencyKey[] = "Idempotency-Key";
inline constexpr char kSizeHint[] = "X-Size-Hint";  // estimated work in microseconds
inline constexpr char kNeverRan[] = "X-Never-Ran";
inline constexpr char kNoTenant[] = "-";  // the tenant of a query that names none
inline constexpr char kToken[] = "X-Swap-Token";
inline constexpr char kChallenge[] = "WWW-Authenticate";  // required in a response with status 401
inline constexpr char kRetryAfter[] = "Retry-After";

// Paths of the balancer and of discovery.
inline constexpr char kUpPath[] = "/up";
inline constexpr char kCountersPath[] = "/counters";
inline constexpr char kHostsPath[] = "/discovery/hosts";

// Paths of the admin address. /nodes/ID/maint and /nodes/ID/ready contain a server's id.
inline constexpr char kHealthPath[] = "/healthcheck";
inline constexpr char kDrainPath[] = "/healthcheck/fail";
inline constexpr char kResumePath[] = "/healthcheck/ok";
inline constexpr char kNodesPath[] = "/nodes/";
inline constexpr char kOutPath[] = "/maint";
inline constexpr char kBackPath[] = "/ready";

// Environment variables.
inline constexpr char kNameVariable[] = "PROXY_NAME";
inline constexpr char kListenVariable[] = "PROXY_LISTEN";
inline constexpr char kDiscoveryVariable[] = "PROXY_DISCOVERY";
inline constexpr char kConfigVariable[] = "PROXY_CONFIG";
inline constexpr char kAdminVariable[] = "PROXY_ADMIN";
inline constexpr char kPassedVariable[] =
    "PROXY_PASSED_SOCKET";  // descriptor of the clients' listening socket
inline constexpr char kFolderVariable[] = "TMPDIR";

// States of a server in discovery's list of servers.
inline constexpr char kReady[] = "Ready";
inline constexpr char kDraining[] = "Terminating";
inline constexpr char kGone[] = "Gone";

}  // namespace burlfall::platform

#endif  // BURLFALL_CONFIG_PLATFORM_H_
