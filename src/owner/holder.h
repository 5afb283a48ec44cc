// The owner's side of a task lease: when to request it, when to renew it, and whether the owner may act now.
// The lease is counted on the own monotonic clock from before the request was sent, so that a delayed answer
// can't extend it. The clock must also count while the machine is suspended; otherwise a machine that was
// suspended acts on, and only the executor's check stops it.
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
  double renew_after_share = 0.34;    // share of the lease after which it renews
  Micros retry_interval = 500 * kMs;  // without an answer, and while queued
  Micros margin = 0;  // the lease ends this much earlier here, to allow for the duration of an action
};

// Whether an action may be sent now, and under which epoch.
struct Permit {
  Error error = Error::kNotOwner;  // kNone: it may
  uint64_t epoch = 0;              // sent with the action
  Micros remaining = 0;            // of the lease, on the own clock
  bool ok() const { return error == Error::kNone; }
};

// Acquires, renews and releases the lease of one task.
class LeaseHolder {
 public:
  // `first_request`: above all request numbers that this incarnation used for this task; 1 in a new
  // incarnation.
  LeaseHolder(ProcessId self, std::string task, HolderRules rules, uint64_t first_request = 1);

  void Acquire();  // from now on Tick() requests the task
  // The owner has stopped: Tick() notifies the council, and MayAct() refuses from now on.
  void Release();
  // Commands to send to the leader now. Lost commands are repeated by later calls.
  std::vector<Command> Tick(Micros now);
  Micros next_at() const { return next_at_; }  // when Tick() next has something to do

  // Handles an answer or an effect that the own replica applied. Only effects for this incarnation and task
  // count.
  void OnEffect(Micros now, const Effect& effect);
  // Call before each action, and again after anything that takes long. Returns kLeaseOver after expiry, or
  // kNoCouncil if a request is unanswered. It may act again, under the same epoch, once the council has
  // renewed the lease.
  Permit MayAct(Micros now);
  // An executor refused this epoch, so another process owns the task.
  void OnFenced(uint64_t epoch);

  bool owns() const { return epoch_ != 0; }    // as far as known; MayAct() decides
  bool stopping() const { return stopping_; }  // handed over or revoked: finish, then Release()
  uint64_t epoch() const { return epoch_; }
  Micros lease_until() const { return lease_until_; }

 private:
  void LoseOwnership(Error why);

  const ProcessId self_;
  const std::string task_;
  const HolderRules rules_;
  bool wants_ = false;
  bool stopping_ = false;
  uint64_t epoch_ = 0;
  uint64_t last_lost_epoch_ = 0;  // epochs up to this one are no longer its own
  uint64_t release_epoch_ = 0;    // the epoch of which the council is to be notified
  int release_tries_ = 0;
  bool leave_queue_ = false;
  Micros lease_until_ = 0;  // on the own clock
  Micros next_at_ = 0;
  uint64_t next_request_;
  bool unanswered_ = false;                    // since the last answer
  std::map<uint64_t, Micros> request_times_;   // request -> time before it was sent; the last few
  Error not_owner_reason_ = Error::kNotOwner;  // why it does not own the task
};

}  // namespace burlfall::owner

#endif  // BURLFALL_OWNER_HOLDER_H_
