#include "freeze/permit.h"

#include <algorithm>

namespace burlfall::freeze {

void StepPermit::OnEffect(Micros sent_at, const Effect& effect) {
  using What = Effect::What;
  if (effect.what == What::kBegun && effect.change > change_) {
    *this = StepPermit();
    change_ = effect.change;
    continue_until_ = sent_at + effect.lease;
    return;
  }
  if (effect.what == What::kTransferred && (effect.change != change_ || change_ended_)) {
    // The lease of a new owner begins only with the answer to its kRenew.
    *this = StepPermit();
    change_ = effect.change;
    return;
  }
  if (effect.change != change_ || change_ == 0) return;
  switch (effect.what) {
    case What::kBegun:
    case What::kRenewed:
      continue_until_ = std::max(continue_until_, sent_at + effect.lease);
      return;
    case What::kGranted:
      // A grant that is in use must end first. A late or repeated grant is ignored.
      if (effect.epoch <= last_epoch_ || (epoch_ != 0 && begun_)) return;
      epoch_ = last_epoch_ = effect.epoch;
      step_ = effect.step;
      begun_ = false;
      begin_until_ = sent_at + effect.lease;
      return;
    case What::kGrantEnded:
      if (effect.epoch == epoch_ && effect.error != Error::kNone) begin_until_ = 0;
      return;
    case What::kEnded:
      change_ended_ = true;
      return;
    default:
      return;
  }
}

Error StepPermit::MayBegin(Micros now) const {
  if (change_ended_ || epoch_ == 0) return Error::kNotOwner;
  if (begun_) return Error::kWrongStep;
  return now < begin_until_ && now < continue_until_ ? Error::kNone : Error::kLeaseOver;
}

Error StepPermit::OnBegun(Micros now) {
  begun_ = true;
  return now < begin_until_ && now < continue_until_ ? Error::kNone : Error::kLeaseOver;
}

Error StepPermit::MayContinue(Micros now) const {
  if (change_ended_ || !begun_) return Error::kNotOwner;
  return now < continue_until_ ? Error::kNone : Error::kLeaseOver;
}

void StepPermit::OnStepEnded() { epoch_ = 0; }

}  // namespace burlfall::freeze
