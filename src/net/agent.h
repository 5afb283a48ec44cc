// The agent: the program's phases, the queries on their way, and the module's actions on the sockets. What is
// sent where, and what is throttled, the module decides.
#ifndef BURLFALL_NET_AGENT_H_
#define BURLFALL_NET_AGENT_H_

#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <queue>
#include <unordered_map>
#include <utility>
#include <vector>

#include "features/capture.h"
#include "features/door.h"
#include "features/figures.h"
#include "features/properties.h"
#include "features/tokens.h"
#include "meadowslip/balancer.h"
#include "net/client_link.h"
#include "net/config.h"
#include "net/counters.h"
#include "net/host_group.h"
#include "net/outlet.h"
#include "net/query.h"
#include "net/scheduler.h"
#include "net/server_link.h"

namespace burlfall {

enum class Phase {
  kStarting,  // nothing is accepted yet
  kServing,
  kDraining,  // told to end: still accepts and answers, and asks clients to go elsewhere
  kClosing,   // accepts nothing more, answers what it owes
  kStopped,
};

class Agent : public meadowslip::ActionSink {
 public:
  // Binds the address; throws std::system_error where that can't be done.
  Agent(Scheduler& scheduler, Config config, const Properties& properties, Outlet& errors);

  void Start();
  void Drain();  // ends, in order
  // Takes up a configuration read anew: where discovery is, and the descriptors it allows. The rest holds
  // until the next start; false where it differs.
  bool Reload(Config config);
  void Reload(const Properties& properties);  // what of them may change in service
  void Dump();                                // what was captured, to standard error
  void Finish();                              // what the features still have to write
  Phase phase() const { return phase_; }
  uint16_t port() const;

  // For the client links.
  const meadowslip::Settings& settings() const { return config_.settings; }
  Counters& counters() { return counters_; }
  const Tokens& tokens() const { return tokens_; }
  Door& door() { return door_; }
  Figures* figures() { return figures_.get(); }  // nullptr: off
  bool up() const { return phase_ == Phase::kServing; }
  bool draining() const { return phase_ > Phase::kServing; }
  // Descriptors run short, or clients do: they may hold a third of them, and some keep for good what they
  // asked on once, which shuts the others out.
  bool tight() const { return links() >= most_links_ * 3 / 4 || crowded(); }
  meadowslip::RequestId Take(Query query);
  void Left(meadowslip::RequestId id);
  void Busy(ClientLink& link);
  void Free(ClientLink& link);
  void Retire(ClientLink& link);

  // The module's actions.
  void Send(meadowslip::RequestId id, meadowslip::BackendId backend, Micros timeout) override;
  void Refuse(meadowslip::RequestId id, Micros retry_after) override;
  void Fail(meadowslip::RequestId id) override;
  void Cancel(meadowslip::RequestId id, int attempt) override;
  void Schedule(Micros delay, uint64_t timer) override;
  void Probe(meadowslip::BackendId) override {}  // the deployment allows none
  void Subscribe() override;

 private:
  struct Result {
    meadowslip::RequestId id = 0;
    int attempt = 0;
    ServerAnswer answer;
  };
  struct ModuleTimer {
    Micros at = 0;
    uint64_t order = 0;
    uint64_t name = 0;
    bool operator>(const ModuleTimer& other) const {
      return std::pair(at, order) > std::pair(other.at, other.order);
    }
  };

  Task<> Turns();
  Task<> Accept();
  bool AcceptWaiting();
  Task<> Sweep();
  Task<> Try(meadowslip::RequestId id, int attempt, Host& host, Micros until);
  void Post(meadowslip::RequestId id, int attempt, ServerAnswer answer);
  void Deliver(Result result);
  void FireTimers();
  void Bury();
  void MovePhase();
  bool MakeRoom(size_t wanted = 1);
  void ShedUnasked(Micros idle_for, size_t most);
  bool crowded() const {
    return (unasked_.size() + clients_.size()) * 6 >= static_cast<size_t>(config_.sockets);
  }
  void ShedIdle(Micros idle_for);
  size_t links() const { return unasked_.size() + clients_.size() + server_links_.open(); }
  const Query* Known(meadowslip::RequestId id) const;
  Query* Open(meadowslip::RequestId id);
  ClientLink* Close(meadowslip::RequestId id, Query& query, Figure how);
  void Count(meadowslip::Outcome outcome);

  Scheduler& scheduler_;
  Config config_;
  Counters counters_;
  std::unique_ptr<Figures> figures_;
  Tokens tokens_;
  Door door_;
  Phase phase_ = Phase::kStarting;
  Micros phase_ends_ = kNever;
  size_t most_links_ = 0;  // clients' and servers' together
  ServerLinks server_links_;
  HostGroup hosts_;
  std::optional<Socket> listener_;
  Signal turn_;
  Signal sweep_;
  Micros wakes_at_ = kNever;
  uint64_t last_id_ = 0;
  uint64_t timers_set_ = 0;
  int owed_ = 0;  // client links with a query at hand
  std::priority_queue<ModuleTimer, std::vector<ModuleTimer>, std::greater<>> timers_;
  std::vector<Result> results_;
  std::vector<meadowslip::RequestId> ended_;
  std::vector<ClientLink*> retired_;
  meadowslip::Balancer balancer_;
  std::unique_ptr<Capture> capture_;
  std::unordered_map<meadowslip::RequestId, Query> queries_;
  std::list<std::unique_ptr<ClientLink>> unasked_;  // without a query so far, the oldest first
  std::list<std::unique_ptr<ClientLink>> clients_;  // the one that answered least lately first
  Task<> accept_;                                   // the tasks last: what they use must outlive them
  Task<> sweeper_;
  Task<> turns_;
};

}  // namespace burlfall

#endif  // BURLFALL_NET_AGENT_H_
