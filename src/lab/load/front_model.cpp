#include "lab/load/front_model.h"

#include <algorithm>

#include "lab/script/script.h"

namespace burlfall::lab {

using meadowslip::Idempotency;

FrontModel::FrontModel(int zones, const std::vector<int>& zone_of_balancer)
    : zones_(static_cast<size_t>(zones)), beliefs_(zone_of_balancer.size()) {
  for (size_t zone = 0; zone < zones_.size(); ++zone) {
    for (size_t one = 0; one < zone_of_balancer.size(); ++one) {
      Turn& turn = zone_of_balancer[one] == static_cast<int>(zone) ? zones_[zone].own : zones_[zone].others;
      turn.balancers.push_back(static_cast<int>(one));
    }
  }
}

void FrontModel::Admitted(int balancer) { beliefs_[static_cast<size_t>(balancer)] = {true, kNever, kNever}; }

void FrontModel::Died(int balancer, Micros forget_at) {
  beliefs_[static_cast<size_t>(balancer)].forget_at = forget_at;
}

void FrontModel::Leaving(int balancer, Micros from) {
  beliefs_[static_cast<size_t>(balancer)].leaving_from = from;
}

bool FrontModel::Believed(int balancer, Micros now) const {
  const Belief& belief = beliefs_[static_cast<size_t>(balancer)];
  return belief.admitted && now < belief.forget_at;
}

RetryModel::RetryModel(const ClientSpec& clients, const std::vector<ClassSpec>& classes)
    : most_retries_(std::min(clients.most_retries, kMaxRetries)),
      most_retry_after_(static_cast<Micros>(clients.most_retry_after_ms * kMs)) {
  for (const ClassSpec& one : classes) {
    classes_.push_back(
        {one.effect, static_cast<Micros>(one.deadline_ms * kMs), static_cast<Micros>(one.window_ms * kMs)});
  }
}

std::optional<Micros> RetryModel::At(const Failure& failure) const {
  if (failure.how == End::kServed || failure.number >= most_retries_) return {};
  const Class& cls = classes_[static_cast<size_t>(failure.cls)];
  if (cls.effect == Idempotency::kUnsafe && failure.may_run_since != kNever) return {};
  Micros wait = failure.wait;
  if (failure.honours) wait = std::max(wait, std::min(failure.refused_for, most_retry_after_));
  const Micros at = failure.at + wait;
  const Micros over_at = std::min(failure.first_due + cls.deadline, WindowEnd(cls, failure.may_run_since));
  if (at >= over_at) return {};
  return at;
}

Micros RetryModel::GiveUpAt(int cls, Micros due, Micros first_due, Micros patience,
                            Micros may_run_since) const {
  const Class& one = classes_[static_cast<size_t>(cls)];
  return std::min({due + patience, first_due + one.deadline, WindowEnd(one, may_run_since)});
}

Micros RetryModel::WindowEnd(const Class& cls, Micros may_run_since) const {
  const bool drops = cls.effect == Idempotency::kKeyed && may_run_since != kNever;
  return drops ? may_run_since + cls.window : kNever;
}

}  // namespace burlfall::lab
