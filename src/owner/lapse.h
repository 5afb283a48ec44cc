// The council's side of leases, at whoever leads: when to propose that one has run out. It counts
// `lease * (1 + drift)` on the leader's own monotonic clock from when it applied the grant; a leader that
// takes office counts all anew, in full. `drift`: the bound within which two machines' monotonic clocks run
// alike. Past that bound a lease may be called over while its holder still acts: fencing holds, promises in
// time don't.
#ifndef BURLFALL_OWNER_LAPSE_H_
#define BURLFALL_OWNER_LAPSE_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "io/time.h"

namespace burlfall::owner {

// A lease that stands in the log. `key` and `epoch` say whose, `renewed` is the index of the entry that gave
// it.
struct Lease {
  std::string key;
  uint64_t epoch = 0;
  uint64_t renewed = 0;
  Micros lease = 0;
};

class Lapse {
 public:
  // `again`: what was proposed and has not come into the log is proposed again after this span.
  explicit Lapse(double drift, Micros again = 500 * kMs) : drift_(drift), again_(again) {}

  // On taking office: all that stand in the state. On leaving it: TakeOffice(now, {}).
  void TakeOffice(Micros now, const std::vector<Lease>& standing);
  void Began(Micros now, const Lease& lease);  // granted or renewed, as this leader applied it
  void Ended(const std::string& key);          // given up, run out
  // Those whose end is to be proposed now, each as kRunOut with its `epoch` and `renewed`.
  std::vector<Lease> Due(Micros now);
  Micros next_at() const;

  static Micros Span(Micros lease, double drift);  // rounded up

 private:
  struct Counted {
    Lease lease;
    Micros at = 0;  // proposed then
  };
  const double drift_;
  const Micros again_;
  std::map<std::string, Counted> counted_;
};

}  // namespace burlfall::owner

#endif  // BURLFALL_OWNER_LAPSE_H_
