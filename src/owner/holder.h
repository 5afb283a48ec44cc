// The owner's own side of a work: when it asks, when it renews, and whether it may act now. It counts its
// lease on its own monotonic clock from before it asked, so that no delay of the answer makes it longer. The
// clock must count while the machine sleeps, or a machine that slept acts on; the executor's check holds then
// too.
#ifndef BURLFALL_OWNER_HOLDER_H_
#define BURLFALL_OWNER_HOLDER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "io/time.h"
#include "owner/errors.h"
#include "owner/owner.h"

namespace burlfall::owner {

struct HolderRules {
  double renew_at = 0.34;        // share of the lease after which it renews
  Micros ask_again = 500 * kMs;  // without an answer, and when in line
  Micros margin = 0;             // the lease ends so much earlier here: the time that an act takes
};

// Whether an act may be sent now, and under which epoch.
struct Permit {
  Error error = Error::kNotOwner;  // kNone: it may
  uint64_t epoch = 0;              // goes with the act
  Micros left = 0;                 // of the lease, on the own clock
  bool ok() const { return error == Error::kNone; }
};

class Holder {
 public:
  // `first_request`: above all that this life has used for this work; 1 in a new life.
  Holder(Who self, std::string work, HolderRules rules, uint64_t first_request = 1);

  void Want();  // from now on it asks, in Tick()
  // It has stopped; Tick() tells the council. Acts are refused from now on.
  void GiveUp();
  // Commands that are to go to the leader now. What is lost is asked again by itself.
  std::vector<Command> Tick(Micros now);
  Micros next_at() const { return next_at_; }  // Tick() has something to do then

  // What came back, or what the own replica applied: only effects for this life and work are taken.
  void Heard(Micros now, const Effect& effect);
  // Before each act, and again after anything that takes long. Too late: kLeaseOver (kNoCouncil where the
  // council was asked and has not answered). It may act again, under the same epoch, once the council has
  // renewed it.
  Permit MayAct(Micros now);
  // An executor refused this epoch: somebody else owns it.
  void Fenced(uint64_t epoch);

  bool owns() const { return epoch_ != 0; }    // as far as known; MayAct() decides
  bool stopping() const { return stopping_; }  // to be handed over or taken away: finish, then GiveUp()
  uint64_t epoch() const { return epoch_; }
  Micros until() const { return until_; }

 private:
  void Lose(Error why);

  const Who self_;
  const std::string work_;
  const HolderRules rules_;
  bool wants_ = false;
  bool stopping_ = false;
  uint64_t epoch_ = 0;
  uint64_t over_ = 0;     // no epoch up to this one is its own any more
  uint64_t give_up_ = 0;  // the epoch that the council is to be told of
  int give_up_tries_ = 0;
  bool leave_line_ = false;
  Micros until_ = 0;  // on the own clock
  Micros next_at_ = 0;
  uint64_t next_request_;
  bool asked_in_vain_ = false;        // since the last answer
  std::map<uint64_t, Micros> asked_;  // request -> when, before it left; the last few
  Error lost_ = Error::kNotOwner;     // why it does not own it
};

}  // namespace burlfall::owner

#endif  // BURLFALL_OWNER_HOLDER_H_
