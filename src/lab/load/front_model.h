// What the front before the balancers believes and whom it sends to, and which tries its clients make again.
// No I/O, no clock: times come in, decisions go out. The stand-in in clients.h puts both on connections.
#ifndef BURLFALL_LAB_LOAD_FRONT_MODEL_H_
#define BURLFALL_LAB_LOAD_FRONT_MODEL_H_

#include <cstddef>
#include <optional>
#include <vector>

#include "io/time.h"
#include "lab/script/experiment.h"
#include "lab/witness/observer.h"

namespace burlfall::lab {

class FrontModel {
 public:
  FrontModel(int zones, const std::vector<int>& zone_of_balancer);

  void Admitted(int balancer);  // it has said that it is up
  // Nothing new goes to it from `forget_at` on, unless it says before that it is up.
  void Died(int balancer, Micros forget_at);
  // It was asked to end: from then on it gets no new link, and what is open goes on being used.
  void Leaving(int balancer, Micros from);
  bool Believed(int balancer, Micros now) const;

  // Whom the next query of that zone goes to, in turn; -1: there is none. Those of other zones only where the
  // front believes in none of its own. `has_link(balancer)`: whether a link to it is open and free.
  template <typename HasLink>
  int Choose(int zone, Micros now, HasLink has_link) {
    Zone& here = zones_[static_cast<size_t>(zone)];
    const int own = InTurn(here.own, now, has_link);
    return own >= 0 ? own : InTurn(here.others, now, has_link);
  }

 private:
  struct Turn {
    std::vector<int> balancers;
    size_t next = 0;
  };
  struct Zone {
    Turn own;
    Turn others;
  };
  struct Belief {
    bool admitted = false;
    Micros forget_at = kNever;
    Micros leaving_from = kNever;
  };

  template <typename HasLink>
  int InTurn(Turn& turn, Micros now, HasLink has_link) const {
    for (size_t tried = 0; tried < turn.balancers.size(); ++tried) {
      const int one = turn.balancers[turn.next];
      turn.next = (turn.next + 1) % turn.balancers.size();
      const Belief& belief = beliefs_[static_cast<size_t>(one)];
      if (Believed(one, now) && (now < belief.leaving_from || has_link(one))) return one;
    }
    return -1;
  }

  std::vector<Zone> zones_;
  std::vector<Belief> beliefs_;  // by balancer
};

// A try that is over without having been served.
struct Failure {
  End how = End::kFailed;
  int number = 0;  // of the try; 0: the first
  int cls = 0;
  Micros at = 0;             // when it was over
  Micros first_due = 0;      // of its query
  Micros may_run_since = 0;  // the earliest at which any try of its query may have run; kNever: none did
  Micros refused_for = 0;    // Retry-After; 0: none
  bool honours = false;
  Micros wait = 0;  // that the client would make of its own
};

class RetryModel {
 public:
  RetryModel(const ClientSpec& clients, const std::vector<ClassSpec>& classes);

  // When the query is tried again; nothing: not at all.
  std::optional<Micros> At(const Failure& failure) const;
  // When the client stops waiting for a try: its patience is of one try, the class's deadline of all
  // together, and no repeat of what may have run goes on beyond the time in which nodes drop it.
  Micros GiveUpAt(int cls, Micros due, Micros first_due, Micros patience, Micros may_run_since) const;

  static bool MayHaveRun(End how) { return how != End::kRefused && how != End::kUnreached; }

 private:
  struct Class {
    meadowslip::Idempotency effect;
    Micros deadline;
    Micros window;
  };
  Micros WindowEnd(const Class& cls, Micros may_run_since) const;

  const int most_retries_;
  const Micros most_retry_after_;
  std::vector<Class> classes_;
};

}  // namespace burlfall::lab

#endif  // BURLFALL_LAB_LOAD_FRONT_MODEL_H_
