#include "lab/judge/facts.h"

#include <algorithm>

namespace burlfall::lab {

Facts FactsOf(const Experiment& experiment, const Script& script, const meadowslip::Settings& settings,
              Micros begins_at) {
  Facts facts;
  facts.experiment = experiment.name;
  facts.seed = script.seed;
  facts.settings = settings;
  for (const NodePlan& node : script.nodes) facts.nodes.push_back({node.name, node.zone, 0});
  for (const NodePlan& spare : script.spares) facts.nodes.push_back({spare.name, spare.zone, 0});
  for (const BalancerPlan& balancer : script.balancers) {
    facts.balancers.push_back({balancer.name, balancer.zone, 0});
  }
  for (const Action& action : script.actions) {
    facts.faults.push_back({std::string(TraitsOf(action.kind).kind_name), action.kind, action.targets});
  }
  facts.pushed = experiment.site.discovery.pushed;
  facts.begins_at = begins_at;
  facts.length = script.length;
  facts.settle = static_cast<Micros>(experiment.settle_s * kSecond);
  // A query stays open for as long as its client may retry.
  const ClientSpec& clients = experiment.clients;
  const double back_ms = clients.most_retry_after_ms + clients.retry_wait_ms.high;
  facts.check_after = std::max(facts.check_after, static_cast<Micros>(back_ms * kMs) + kSecond);
  return facts;
}

double WorthOf(const meadowslip::Settings& settings, int cls, double work_us, bool within_share) {
  const double worth = settings.classes.at(static_cast<std::size_t>(cls)).worth * work_us;
  return within_share ? worth : worth * settings.over_share_worth;
}

}  // namespace burlfall::lab
