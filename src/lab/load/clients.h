// The site's clients behind the front of each zone, on connections. Open loop: each query goes out at its due
// time, whatever becomes of the others. The front spreads them over the balancers that it believes in, and
// keeps a pool of links to each.
//
// The runner says what becomes of balancers; when the front notices is drawn here.
#ifndef BURLFALL_LAB_LOAD_CLIENTS_H_
#define BURLFALL_LAB_LOAD_CLIENTS_H_

#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <queue>
#include <string>
#include <vector>

#include "io/machine.h"
#include "lab/load/front_model.h"
#include "lab/load/http_link.h"
#include "lab/load/query_text.h"
#include "lab/load/rude.h"
#include "lab/load/work_book.h"
#include "lab/script/experiment.h"
#include "lab/script/script.h"
#include "lab/witness/observer.h"

namespace burlfall::lab {

class Clients final : private HttpLink::Owner {
 public:
  struct Balancer {
    Address at;
    int zone = 0;
  };
  // All but the copies outlive the clients.
  struct Parts {
    Machine& machine;
    Observer& witness;
    const Experiment& experiment;
    Arrivals& arrivals;
    std::vector<Balancer> balancers;
    uint64_t seed = 0;
    Micros begins_at = 0;
    // For how long a client that has given up still reads: an answer that is a little late shows as late, and
    // one that never comes shows as missing. 0: it closes the link at once. Nothing: as long as an answer is
    // in time, by the experiment's answer slack and the slack on sockets.
    std::optional<Micros> reads_on = {};
  };
  struct Counts {
    uint64_t tries = 0;
    uint64_t retries = 0;
    uint64_t resent = 0;   // on another link, as the first closed before the balancer had read them
    uint64_t links = 0;    // opened
    uint64_t no_room = 0;  // for want of a descriptor or port: the lab's own failure
    uint64_t nobody = 0;   // tries for which the front knew no balancer
  };

  explicit Clients(Parts parts);
  ~Clients();
  Clients(const Clients&) = delete;

  void Start();
  // Its process has begun: the front asks it whether it is up, and admits it once it says so.
  void BalancerStarted(int balancer);
  // It was asked to end: a little later the front opens no more links to it.
  void BalancerLeaving(int balancer);
  // Its process has ended. Call it as soon as it is known, for a kill as soon as it is sent: a link that ends
  // from then on is one that a dead balancer has lost.
  void BalancerDied(int balancer);
  bool Admitted(int balancer) const { return front_.Believed(balancer, machine_.Now()); }
  void Delay(int zone, int balancer, Micros one_way) { PoolOf(zone, balancer).one_way = one_way; }
  // So many links a second of clients that don't keep the protocol; 0: no more.
  void BeRude(int balancer, double links_per_s) { rude_.Set(balancer, links_per_s); }

  // For the nodes.
  bool WorkOf(TraceId trace, WorkInfo& work) const { return works_.WorkOf(trace, work); }

  // Every query has been sent, and every try is over.
  bool over() const { return !more_ && open_ == 0; }
  Signal& when_over() { return when_over_; }
  size_t open() const { return open_; }  // queries that wait for an answer or a retry
  const Counts& counts() const { return counts_; }
  const RudeClients::Counts& rude() const { return rude_.counts(); }

 private:
  static constexpr uint32_t kNoSlot = UINT32_MAX;
  struct Pool;
  struct ClientLink;
  struct Outcome {
    End how = End::kLeft;
    int status = 0;
    Mark mark;
    Micros refused_for = 0;
  };
  // A query on its way, in its slot from its first try until no other follows.
  struct Query {
    Arrival what;
    TraceId trace = 0;
    int number = 0;           // of the try
    uint32_t generation = 0;  // a new one with each try: plans for an earlier one are void
    int balancer = -1;
    ClientLink* link = nullptr;
    bool resent = false;  // it goes by a new link, and not once more
    Micros first_due = 0;
    Micros due = 0;
    Micros give_up_at = 0;
    Micros written_at = 0;  // 0: not yet
    Micros may_run_since = kNever;
    Outcome outcome;
  };
  enum class Do : uint8_t { kRetry, kWrite, kTell, kGiveUp, kLeave };
  struct Plan {
    Micros at;
    uint32_t slot;
    uint32_t generation;
    Do what;
    bool operator>(const Plan& other) const { return at > other.at; }
  };
  struct Pool {
    int balancer = 0;
    Micros one_way = 0;
    std::vector<std::unique_ptr<ClientLink>> links;
    std::vector<ClientLink*> idle;  // the most recently used last
    std::deque<Plan> waiting;       // tries for which there was no link
  };
  struct Life {  // of a balancer
    bool dead = true;
    Micros died_at = 0;
    Stream64 draws;
    Task<> asking;
  };

  void CameUp(HttpLink& link) override;
  void Written(HttpLink& link) override;
  void Answered(HttpLink& link, HttpMessage answer) override;
  void Ended(HttpLink& link, HttpLink::Gone how) override;

  Task<> Run();
  Task<> AskUntilUp(int balancer);
  void Carry(const Plan& plan, Micros now);
  void Later(Micros at, uint32_t slot, Do what);
  void Begin(Micros now);
  void Try(uint32_t slot, Micros now);
  void Route(uint32_t slot, Micros now);
  void Put(uint32_t slot);
  bool Give(ClientLink& link, uint32_t slot);
  void OpenLink(Pool& pool, uint32_t slot);
  void Serve(Pool& pool);
  void Bury(ClientLink& link);
  void Unreached(ClientLink& link);
  void Leave(uint32_t slot);
  void Settle(uint32_t slot, const Outcome& outcome);
  void Tell(uint32_t slot);

  Query& At(uint32_t slot) { return queries_[slot]; }
  Pool& PoolOf(int zone, int balancer) {
    return pools_[static_cast<size_t>(zone) * balancers_.size() + static_cast<size_t>(balancer)];
  }
  Pool& PoolOf(const Query& one) { return PoolOf(one.what.zone, one.balancer); }

  const Parts parts_;
  Machine& machine_;
  Observer& witness_;
  const std::vector<ClassSpec>& classes_;
  const std::vector<Balancer>& balancers_;
  const size_t most_links_;
  const Micros reads_on_;
  FrontModel front_;
  const RetryModel retries_;
  const QueryText text_;
  WorkBook works_;
  std::vector<Life> lives_;
  std::deque<Pool> pools_;  // by zone and balancer

  Arrival next_;
  bool more_ = true;
  std::deque<Query> queries_;  // by slot
  std::vector<uint32_t> free_;
  size_t open_ = 0;
  std::priority_queue<Plan, std::vector<Plan>, std::greater<>> plans_;
  std::vector<std::unique_ptr<ClientLink>> buried_;  // closed, and may still be running
  std::string out_;                                  // the query being written
  Counts counts_;

  Event wake_;
  Micros asleep_until_ = 0;
  Event when_over_;
  Task<> running_;
  RudeClients rude_;
};

}  // namespace burlfall::lab

#endif  // BURLFALL_LAB_LOAD_CLIENTS_H_
