// The interface of meadowslip: the settings a node starts with, the events it is told and the actions it
// takes. The decisions themselves are in src/policy/.
#ifndef MEADOWSLIP_BALANCER_H_
#define MEADOWSLIP_BALANCER_H_

#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace meadowslip {

using Micros = int64_t;  // a time on the caller's clock, or a span, in microseconds
using RequestId = uint64_t;
using BackendId = uint32_t;

enum class Idempotency { kSafe, kKeyed, kUnsafe };
enum class DedupGroup { kAll, kZone, kCell };  // backends that drop repeats of a keyed request

struct RequestClass {
  Idempotency idempotency = Idempotency::kUnsafe;
  DedupGroup group = DedupGroup::kAll;
  Micros dedup_window = 0;
  Micros aim = 0;       // an answer within this earns the full worth
  Micros deadline = 0;  // the client's whole patience
  double worth = 1;
  double late_share = 0;  // part of the worth that a late answer still earns
  bool stream = false;
  std::string name = {};

  bool operator==(const RequestClass&) const = default;
};

struct Tenant {
  double quota_per_s = 0;  // over all nodes; 0: unlimited
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
  double over_share_worth = 1;
  // What the deployment allows.
  bool may_cancel = false;
  bool may_probe = false;
  bool second_copies = false;
  bool retry_after = false;
  Micros max_retry_after = 0;
  int max_attempts = 1;
  // The operating rules.
  Micros answer_slack = 0;
  Micros drain_grace = 0;
  bool gone_binds = true;  // false: only a listed drain ends sends to a backend
  Micros must_ask_within = 0;
  double overload_factor = 2;
  Micros overload_window = 1000000;
  double start_capacity = 0.3;
  Micros warm_after = 10000000;
  // Discovery, reports, prices.
  bool must_subscribe = false;
  bool advertised_sizes = false;  // BackendEntry::size may be compared between backends
  ReportMode report_mode = ReportMode::kNone;
  std::vector<LoadField> report_fields;
  double cross_zone_price = 0;
  double probe_price = 0;
  Micros resolution = 1000;  // events come at most this often
  // For the network alone.
  std::vector<std::string> zones;  // names; classes and tenants have theirs
  std::vector<std::string> kinds;
  Micros keepalive = 10000000;      // a backend closes a connection that was idle this long
  Micros connect_timeout = 150000;  // a connection that does not come up in this time never will
  int open_cap = 20000;             // requests held open

  bool operator==(const Settings&) const = default;
};

enum class BackendState { kGone, kReady, kDraining };

struct BackendEntry {
  BackendId id = 0;
  BackendState state = BackendState::kReady;
  int zone = 0;
  int cell = 0;
  int kind = 0;
  Micros started_at = 0;  // 0: long ago
  double size = 1;
};

enum class ListKind { kChanges, kFull, kCached, kFailed };

struct BackendList {
  ListKind kind = ListKind::kFull;
  std::vector<BackendEntry> entries;
};

struct Request {
  RequestId id = 0;
  int request_class = 0;
  int tenant = 0;
  Micros give_up_at = 0;
  bool client_retry = false;
  Micros estimate = 0;  // of its work, by the client; 0: none
};

enum class Outcome { kOk, kError, kFull, kTimeout, kConnectFailed, kReset, kCancelled, kMoot };

struct AttemptResult {
  RequestId id = 0;
  int attempt = 0;
  bool closed = false;  // nothing more is owed for the request
  BackendId backend = 0;
  Micros elapsed = 0;
  Outcome outcome = Outcome::kOk;
  std::span<const float> load;  // values as in Settings::report_fields, or empty
};

struct ProbeResult {
  BackendId backend = 0;
  Micros elapsed = 0;
  bool ok = false;
  std::span<const float> load;
};

// Takes the actions of a node. The attempts of a request are numbered 0, 1, 2 ... as they are sent.
class ActionSink {
 public:
  virtual ~ActionSink() = default;
  virtual void Send(RequestId id, BackendId backend, Micros timeout) = 0;  // 0: until the client gives up
  virtual void Refuse(RequestId id, Micros retry_after) = 0;               // final; a retry does no harm
  virtual void Fail(RequestId id) = 0;                                     // final; promises nothing
  virtual void Cancel(RequestId id, int attempt) = 0;
  virtual void Schedule(Micros delay, uint64_t timer) = 0;
  virtual void Probe(BackendId backend) = 0;
  virtual void Subscribe() = 0;  // ask discovery for its list and its later changes
};

// Of what Save() gives. It changes with the decisions too: a state, and a capture that begins with one, can
// be taken over and replayed only by a module of the same format.
constexpr int kStateFormat = 5;

// One node. Nothing is shared between nodes; the same events give the same actions.
class Balancer {
 public:
  Balancer(const Settings& settings, uint64_t seed);
  ~Balancer();
  Balancer(Balancer&&) noexcept;
  Balancer& operator=(Balancer&&) noexcept;

  void OnList(Micros now, const BackendList& list, ActionSink& actions);
  // A class that the settings do not name: failed at once. An id that is in use: ignored, the first stands.
  void OnRequest(Micros now, const Request& request, ActionSink& actions);
  // The first bytes of a streamed answer. In a class that has none: bytes of the request itself go through
  // this attempt and can't be sent again; and once more with the last of them, from which its time counts.
  void OnStreamStarted(Micros now, RequestId id, int attempt, ActionSink& actions);
  void OnResult(Micros now, const AttemptResult& result, ActionSink& actions);
  void OnClientLeft(Micros now, RequestId id, ActionSink& actions);
  void OnTimer(Micros now, uint64_t timer, ActionSink& actions);
  void OnProbe(Micros now, const ProbeResult& result, ActionSink& actions);

  // All that the node has learned and holds, between two events; and a node of the same settings that takes
  // it over and acts alike from there on. False where it is no such state: the node is of no use then.
  std::string Save() const;
  bool Load(std::string_view saved);

 private:
  class Node;
  std::unique_ptr<Node> node_;
};

}  // namespace meadowslip

#endif  // MEADOWSLIP_BALANCER_H_
