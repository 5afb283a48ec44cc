// Public interface of the meadowslip decision module: its settings, the events that it receives and the
// actions that it takes. The decisions are in src/policy/.
//
// A node is one balancer process of the fleet. A backend is a server that it sends requests to.
#ifndef MEADOWSLIP_BALANCER_H_
#define MEADOWSLIP_BALANCER_H_

#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace meadowslip {

using Micros = int64_t;  // a time on the caller's clock, or a duration, in microseconds
using RequestId = uint64_t;
using BackendId = uint32_t;

// Whether a request may run more than once: always; if the backends drop repeats of its key; never.
enum class Idempotency { kSafe, kKeyed, kUnsafe };
enum class DedupGroup { kAll, kZone, kCell };  // scope within which backends drop repeats of a keyed request

// Requests of the same kind: their deadlines, worth and rules for repeated attempts.
struct RequestClass {
  Idempotency idempotency = Idempotency::kUnsafe;
  DedupGroup group = DedupGroup::kAll;
  Micros dedup_window = 0;  // kKeyed: repeats are dropped for this long after the first attempt
  Micros aim = 0;           // an answer within this time earns the full worth
  Micros deadline = 0;      // after this time the client gives up
  double worth = 1;
  double late_share = 0;  // share of the worth that a late answer still earns
  bool stream = false;
  std::string name = {};

  bool operator==(const RequestClass&) const = default;
};

struct Tenant {
  double quota_per_s = 0;  // over all nodes together; 0: unlimited
  double share = 0;
  std::string name = {};

  bool operator==(const Tenant&) const = default;
};

enum class LoadField { kOther, kInFlight, kQueue, kUtilisation, kLatencyMs };
enum class ReportMode { kNone, kAnswers, kProbes };

struct Settings {
  int nodes = 1;
  int node_index = 0;
  int own_zone = 0;
  std::vector<RequestClass> classes;
  std::vector<Tenant> tenants;
  double over_share_worth = 1;  // factor on the worth of requests beyond their tenant's quota
  // What the deployment permits.
  bool may_cancel = false;
  bool may_probe = false;
  bool second_copies = false;  // a request may have two attempts in flight
  bool retry_after = false;    // Refuse() may name a time
  Micros max_retry_after = 0;
  int max_attempts = 1;
  // Operating rules.
  Micros answer_slack = 0;     // after the deadline, for the final answer to arrive
  Micros drain_grace = 0;      // after news of a drain, until sends must have stopped
  bool gone_binds = true;      // false: only a listed drain forbids sends to a backend; kGone does not
  Micros must_ask_within = 0;  // for a subscription that has ended to be renewed
  double overload_factor = 2;  // a cold backend tolerates this times its capacity within the window
  Micros overload_window = 1000000;
  double start_capacity = 0.3;  // share of a backend's capacity at its start; full after warm_after
  Micros warm_after = 10000000;
  // Discovery, load reports, prices.
  bool must_subscribe = false;
  bool advertised_sizes = false;  // BackendEntry::size can be compared between backends
  ReportMode report_mode = ReportMode::kNone;
  std::vector<LoadField> report_fields;
  double cross_zone_price = 0;
  double probe_price = 0;
  Micros resolution = 1000;  // minimum interval between events
  // Used by the network code only.
  std::vector<std::string> zones;  // names of the zones; classes and tenants carry their own
  std::vector<std::string> kinds;
  Micros keepalive = 10000000;      // a backend closes a connection after this idle time
  Micros connect_timeout = 150000;  // a connection not established in this time is treated as failed
  int open_cap = 20000;             // maximum number of requests held open

  bool operator==(const Settings&) const = default;
};

enum class BackendState { kGone, kReady, kDraining };

// One backend in a list from discovery.
struct BackendEntry {
  BackendId id = 0;
  BackendState state = BackendState::kReady;
  int zone = 0;
  int cell = 0;
  int kind = 0;
  Micros started_at = 0;  // 0: started long ago
  double size = 1;
};

// The changed entries only; the complete list; a complete list without subscription; the subscription failed.
enum class ListKind { kChanges, kFull, kCached, kFailed };

struct BackendList {
  ListKind kind = ListKind::kFull;
  std::vector<BackendEntry> entries;
};

// A client's request, held by the node until its final answer.
struct Request {
  RequestId id = 0;
  int request_class = 0;
  int tenant = 0;
  Micros give_up_at = 0;
  bool client_retry = false;
  Micros estimate = 0;  // of the request's work, given by the client; 0: none
};

// kFull, kConnectFailed and kMoot: the attempt has not run. kMoot says nothing about the backend.
enum class Outcome { kOk, kError, kFull, kTimeout, kConnectFailed, kReset, kCancelled, kMoot };

// The end of one attempt.
struct AttemptResult {
  RequestId id = 0;
  int attempt = 0;
  bool closed = false;  // the request needs no further answer
  BackendId backend = 0;
  Micros elapsed = 0;
  Outcome outcome = Outcome::kOk;
  std::span<const float> load;  // values in the order of Settings::report_fields, or empty
};

struct ProbeResult {
  BackendId backend = 0;
  Micros elapsed = 0;
  bool ok = false;
  std::span<const float> load;
};

// Receives the actions of a node. The attempts of a request are numbered 0, 1, 2 ... in the order of Send().
class ActionSink {
 public:
  virtual ~ActionSink() = default;
  // Timeout 0: until the client gives up.
  virtual void Send(RequestId id, BackendId backend, Micros timeout) = 0;
  virtual void Refuse(RequestId id, Micros retry_after) = 0;  // final answer; a client retry is safe
  virtual void Fail(RequestId id) = 0;                        // final answer; the request may have run
  virtual void Cancel(RequestId id, int attempt) = 0;
  virtual void Schedule(Micros delay, uint64_t timer) = 0;  // call OnTimer(timer) after the delay
  virtual void Probe(BackendId backend) = 0;
  virtual void Subscribe() = 0;  // request the list from discovery, and its later changes
};

// Version of the format that Save() writes. It also changes when the decisions change: only a module of the
// same format can load a saved state, or replay a capture that begins with one.
constexpr int kStateFormat = 5;

// One node. Nodes share no state, and equal sequences of events give equal actions.
class Balancer {
 public:
  Balancer(const Settings& settings, uint64_t seed);
  ~Balancer();
  Balancer(Balancer&&) noexcept;
  Balancer& operator=(Balancer&&) noexcept;

  void OnList(Micros now, const BackendList& list, ActionSink& actions);
  // A request whose class the settings do not define fails at once. A request whose id is in use is ignored;
  // the earlier request continues.
  void OnRequest(Micros now, const Request& request, ActionSink& actions);
  // Called at the first bytes of a streamed answer. For a class without streaming it reports that bytes of
  // the request body were forwarded through this attempt, so that the request cannot be sent again; it is
  // called once more with the last of them, and the attempt's duration counts from there.
  void OnStreamStarted(Micros now, RequestId id, int attempt, ActionSink& actions);
  void OnResult(Micros now, const AttemptResult& result, ActionSink& actions);
  void OnClientLeft(Micros now, RequestId id, ActionSink& actions);
  void OnTimer(Micros now, uint64_t timer, ActionSink& actions);
  void OnProbe(Micros now, const ProbeResult& result, ActionSink& actions);

  // Save() serializes the complete state between two events. Load() restores it into a node with the same
  // settings, which then acts identically. Load() returns false on an invalid state; the node must not be
  // used after that.
  std::string Save() const;
  bool Load(std::string_view saved);

 private:
  class Node;
  std::unique_ptr<Node> node_;
};

}  // namespace meadowslip

#endif  // MEADOWSLIP_BALANCER_H_
