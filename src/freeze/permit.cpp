#include "freeze/permit.h"

#include <algorithm>

namespace burlfall::freeze {

void Permit::Heard(Micros asked, const Effect& effect) {
  using What = Effect::What;
  if (effect.what == What::kBegun && effect.change > change_) {
    *this = Permit();
    change_ = effect.change;
    go_until_ = asked + effect.lease;
    return;
  }
  if (effect.what == What::kTaken && (effect.change != change_ || over_)) {
    // Its own time begins with the answer to a kKeep.
    *this = Permit();
    change_ = effect.change;
    return;
  }
  if (effect.change != change_ || change_ == 0) return;
  switch (effect.what) {
    case What::kBegun:
    case What::kKept:
      go_until_ = std::max(go_until_, asked + effect.lease);
      return;
    case What::kGranted:
      // One that is used is ended first; what comes late or twice gives nothing.
      if (effect.epoch <= last_epoch_ || (epoch_ != 0 && begun_)) return;
      epoch_ = last_epoch_ = effect.epoch;
      step_ = effect.step;
      begun_ = false;
      begin_until_ = asked + effect.lease;
      return;
    case What::kGrantOver:
      if (effect.epoch == epoch_ && effect.error != Error::kNone) begin_until_ = 0;
      return;
    case What::kEnded:
      over_ = true;
      return;
    default:
      return;
  }
}

Error Permit::MayBegin(Micros now) const {
  if (over_ || epoch_ == 0) return Error::kNotOwner;
  if (begun_) return Error::kWrongStep;
  return now < begin_until_ && now < go_until_ ? Error::kNone : Error::kLeaseOver;
}

Error Permit::Begun(Micros now) {
  begun_ = true;
  return now < begin_until_ && now < go_until_ ? Error::kNone : Error::kLeaseOver;
}

Error Permit::MayGoOn(Micros now) const {
  if (over_ || !begun_) return Error::kNotOwner;
  return now < go_until_ ? Error::kNone : Error::kLeaseOver;
}

void Permit::Ended() { epoch_ = 0; }

}  // namespace burlfall::freeze
