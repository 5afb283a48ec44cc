#include "lab/script/script.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <concepts>
#include <map>
#include <stdexcept>

namespace burlfall::lab {
namespace {

Micros FromSeconds(double s) { return static_cast<Micros>(std::floor(s * 1e6 + 0.5)); }

int Rounded(double x) { return static_cast<int>(std::floor(x + 0.5)); }

// Each node has a random number stream that depends on its name, so that adding a group or a node does not
// change the other nodes.
NodePlan GenerateNode(const NodeGroup& group, int kind, int zone, std::string name, uint64_t seed) {
  Stream64 stream(seed, "node/" + name);
  NodePlan node;
  node.name = std::move(name);
  node.zone = zone;
  node.kind = kind;
  node.slots = group.cores * group.slots_per_core;
  node.speed = stream.Between(group.speed);
  node.queue = Rounded(stream.Between(group.queue_per_core) * group.cores);
  node.links = Rounded(stream.Between(group.links));
  node.handshake = static_cast<Micros>(Rounded(stream.Between(group.handshake_us)));
  node.cold_share = stream.Between(group.cold_share);
  node.cold_for = FromSeconds(stream.Between(group.cold_s));
  node.weight = group.cores * node.speed * stream.Between({0.85, 1.15});
  return node;
}

int ZoneOf(const SiteSpec& site, const std::string& name) {
  const auto it = std::find(site.zones.begin(), site.zones.end(), name);
  if (it == site.zones.end()) throw std::invalid_argument("no zone named " + name);
  return static_cast<int>(it - site.zones.begin());
}

// Returns the indices of the nodes or balancers that the fault may affect, or of those that it names.
template <class Plan>
std::vector<int> Candidates(const std::vector<Plan>& plans, const FaultSpec& fault, int zone) {
  std::vector<int> found;
  for (const std::string& name : fault.names) {
    const auto it = std::find_if(plans.begin(), plans.end(), [&](const Plan& p) { return p.name == name; });
    if (it == plans.end()) throw std::invalid_argument("a fault names " + name + ", and there is none");
    found.push_back(static_cast<int>(it - plans.begin()));
  }
  if (!fault.names.empty()) return found;
  for (size_t i = 0; i < plans.size(); ++i) {
    if (zone < 0 || plans[i].zone == zone) found.push_back(static_cast<int>(i));
  }
  return found;
}

std::vector<int> ChooseTargets(const Script& script, const SiteSpec& site, const FaultSpec& fault,
                               Stream64& stream) {
  const FaultHits hits = TraitsOf(fault.kind).hits;
  const int zone = fault.zone.empty() ? -1 : ZoneOf(site, fault.zone);
  if (hits == FaultHits::kNothing) return {};
  if (hits == FaultHits::kZoneOrAll) return zone < 0 ? std::vector<int>() : std::vector<int>{zone};
  if (hits == FaultHits::kZone) {
    const int drawn = stream.Below(static_cast<int>(site.zones.size()));
    return {zone < 0 ? drawn : zone};
  }
  std::vector<int> hit = hits == FaultHits::kNodes ? Candidates(script.nodes, fault, zone)
                                                   : Candidates(script.balancers, fault, zone);
  if (fault.names.empty()) {
    const int all = static_cast<int>(hit.size());
    const int some = std::min(all, std::max(1, Rounded(fault.share * all)));
    for (int i = 0; i < some; ++i) std::swap(hit[i], hit[i + stream.Below(all - i)]);
    hit.resize(some);
  }
  std::sort(hit.begin(), hit.end());
  return hit;
}

// Each replacement of a node adds a spare with a name of its own, in order of time.
void GenerateSpares(const Experiment& experiment, Script& script) {
  std::map<int, int> holders;  // number of replacements so far, by place
  for (Action& action : script.actions) {
    if (action.kind != FaultKind::kNodesReplaced) continue;
    for (int place : action.targets) {
      const NodePlan& first = script.nodes[static_cast<size_t>(place)];
      const int holder = ++holders[place] + 1;
      action.spares.push_back(static_cast<int>(script.spares.size()));
      script.spares.push_back(GenerateNode(experiment.site.nodes[static_cast<size_t>(first.kind)], first.kind,
                                           first.zone, first.name + "." + std::to_string(holder),
                                           script.seed));
    }
  }
}

// One line of Describe(). Numbers are written in the shortest form that parses to the same value.
class DescriptionLine {
 public:
  DescriptionLine(std::string& out, std::string_view what) : out_(out) { out_ += what; }
  ~DescriptionLine() { out_ += '\n'; }
  DescriptionLine(const DescriptionLine&) = delete;
  DescriptionLine& operator=(const DescriptionLine&) = delete;

  template <class T>
  DescriptionLine& Put(std::string_view name, const T& value) {
    (out_ += ' ') += name;
    out_ += '=';
    Value(value);
    return *this;
  }

 private:
  template <class T>
  void Value(const T& value) {
    if constexpr (std::same_as<T, bool>) {
      out_ += value ? '1' : '0';
    } else if constexpr (std::integral<T> || std::floating_point<T>) {
      char digits[32];
      out_.append(digits, std::to_chars(digits, digits + sizeof digits, value).ptr);
    } else if constexpr (std::convertible_to<T, std::string_view>) {
      out_ += value;
    } else {
      for (size_t i = 0; i < value.size(); ++i) {
        if (i > 0) out_ += ',';
        Value(value[i]);
      }
    }
  }

  std::string& out_;
};

void DescribeNode(std::string& out, std::string_view what, const NodePlan& node) {
  DescriptionLine(out, what)
      .Put("name", node.name)
      .Put("zone", node.zone)
      .Put("kind", node.kind)
      .Put("speed", node.speed)
      .Put("slots", node.slots)
      .Put("queue", node.queue)
      .Put("links", node.links)
      .Put("handshake", node.handshake)
      .Put("cold_share", node.cold_share)
      .Put("cold_for", node.cold_for)
      .Put("weight", node.weight);
}

}  // namespace

const std::vector<FaultTraits>& AllFaults() {
  using enum FaultHits;
  constexpr double kAny = 1e6;
  static const std::vector<FaultTraits> kAll = {
      {FaultKind::kSilentNodes, "silent-nodes", kNodes, true, "", 0, 0, "take queries and answer none"},
      {FaultKind::kFastErrors, "fast-errors", kNodes, true, "share of their queries that fail at once", 0, 1,
       "nodes answer 500 at once"},
      {FaultKind::kSlowNodes, "slow-nodes", kNodes, true, "part of their speed that is left", 0.001, 1,
       "nodes work slower"},
      {FaultKind::kTrafficJump, "traffic-jump", kZoneOrAll, true, "factor on the load", 0, 100,
       "more load, or less"},
      {FaultKind::kZoneCut, "zone-cut", kZone, true, "", 0, 0,
       "links between one zone and the others are silent"},
      {FaultKind::kBalancersKilled, "balancers-killed", kBalancers, true, "", 0, 0,
       "killed outright, and back after for_s with an old list"},
      {FaultKind::kPlannedRestart, "planned-restart", kBalancers, false, "", 0, 0,
       "asked to end, and started again"},
      {FaultKind::kReload, "reload", kBalancers, false, "", 0, 0, "told to read a new configuration"},
      {FaultKind::kNodesDrained, "nodes-drained", kNodes, true, "", 0, 0,
       "complete what they hold, end after for_s at the latest, and come back cold"},
      {FaultKind::kNodesGone, "nodes-gone", kNodes, true, "", 0, 0,
       "killed at once, and back, cold, after for_s"},
      {FaultKind::kNodesReplaced, "nodes-replaced", kNodes, true, "", 0, 0,
       "killed at once; new ones take their place after for_s"},
      {FaultKind::kNodesRestarted, "nodes-restarted", kNodes, false, "", 0, 0,
       "killed and back, cold, at once"},
      {FaultKind::kDiscoveryDown, "discovery-down", kNothing, true, "", 0, 0, "discovery answers no call"},
      {FaultKind::kDiscoveryOlder, "discovery-older", kNothing, true, "versions that it has lost", 1, kAny,
       "discovery is down, and comes back with an older list"},
      {FaultKind::kLinksReset, "links-reset", kNodes, true, "share of queries under which the link is reset",
       0, 1, "nodes reset links under queries"},
      {FaultKind::kCorruptedAnswers, "spoilt-answers", kNodes, true, "share of their answers that are spoilt",
       0, 1, "answers cut short, garbled, or another query's"},
      {FaultKind::kMisbehavingClients, "rude-clients", kBalancers, true, "links a second", 0, 10000,
       "links that say nothing, half a query, or leave under one"},
      {FaultKind::kBalancersPaused, "balancers-paused", kBalancers, true, "", 0, 0,
       "stand still, and go on after for_s"},
      {FaultKind::kDiscoveryBusy, "discovery-busy", kNothing, true, "seconds of Retry-After, 0: none", 0,
       86400, "discovery says 503 to every call at once"},
      {FaultKind::kDiscoveryBreaks, "discovery-breaks", kNothing, true, "share of its answers", 0, 1,
       "discovery's answers break in the middle"},
      {FaultKind::kDiscoveryOdd, "discovery-odd", kNothing, true, "share of its answers", 0, 1,
       "discovery answers 200 with nothing usable"},
      {FaultKind::kDiscoverySlow, "discovery-slow", kNothing, true, "part of its calls a second that is left",
       0.01, 1, "discovery handles fewer calls a second"},
      {FaultKind::kListCallsLost, "list-calls-lost", kBalancers, true, "", 0, 0,
       "cut in one direction: balancers' calls don't come to discovery"},
      {FaultKind::kListAnswersLost, "list-answers-lost", kBalancers, true, "", 0, 0,
       "cut in one direction: discovery's answers don't come to balancers"},
  };
  return kAll;
}

const FaultTraits& TraitsOf(FaultKind kind) { return AllFaults()[static_cast<size_t>(kind)]; }

Script GenerateScript(const Experiment& experiment, uint64_t seed) {
  const SiteSpec& site = experiment.site;
  Script script;
  script.seed = seed;
  script.length = FromSeconds(experiment.length_s);
  const int zones = static_cast<int>(site.Zones());
  int next_zone = 0;
  std::map<std::string, int> count_by_kind;  // groups of the same kind continue the numbering
  for (size_t g = 0; g < site.nodes.size(); ++g) {
    const NodeGroup& group = site.nodes[g];
    for (int i = 0; i < group.count; ++i) {
      const int zone = group.zone.empty() ? next_zone++ % zones : ZoneOf(site, group.zone);
      const std::string name = group.kind + "-" + std::to_string(++count_by_kind[group.kind]);
      script.nodes.push_back(GenerateNode(group, static_cast<int>(g), zone, name, seed));
    }
  }
  for (int i = 0; i < site.balancers.count; ++i) {
    BalancerPlan plan;
    plan.name = "b" + std::to_string(i + 1);
    plan.zone = i % zones;
    if (const auto& start = site.balancers.start_s) {
      plan.start_at = FromSeconds(Stream64(seed, "start/" + plan.name).Between(*start));
    }
    script.balancers.push_back(std::move(plan));
  }
  for (const ClassSpec& c : experiment.classes) {
    script.mean_work_us.push_back(Stream64(seed, "class/" + c.name).Between(c.work_ms) * 1000);
  }
  std::map<FaultKind, int> count_by_fault;
  for (size_t i = 0; i < experiment.faults.size(); ++i) {
    const FaultSpec& fault = experiment.faults[i];
    const FaultTraits& traits = TraitsOf(fault.kind);
    const std::string number = std::to_string(count_by_fault[fault.kind]++);
    Stream64 stream(seed, "fault/" + std::string(traits.kind_name) + "/" + number);
    Action action;
    action.kind = fault.kind;
    action.fault = static_cast<int>(i);
    action.at = std::min(FromSeconds(stream.Between(fault.at_s)), script.length);
    const Micros lasts = FromSeconds(stream.Between(fault.for_s));
    action.until = traits.lasts ? std::min(action.at + lasts, script.length) : action.at;
    action.size = stream.Between(fault.size);
    if (fault.kind == FaultKind::kDiscoveryOlder) action.size = Rounded(action.size);  // whole versions
    action.folder = fault.folder;
    action.targets = ChooseTargets(script, site, fault, stream);
    script.actions.push_back(std::move(action));
  }
  std::stable_sort(script.actions.begin(), script.actions.end(),
                   [](const Action& a, const Action& b) { return a.at < b.at; });
  GenerateSpares(experiment, script);
  return script;
}

std::string Describe(const Experiment& experiment, const Script& script) {
  std::string out;
  DescriptionLine(out, "script").Put("seed", script.seed).Put("length", script.length);
  for (const NodePlan& node : script.nodes) DescribeNode(out, "node", node);
  for (const NodePlan& node : script.spares) DescribeNode(out, "spare", node);
  for (const BalancerPlan& b : script.balancers) {
    DescriptionLine line(out, "balancer");
    line.Put("name", b.name).Put("zone", b.zone);
    if (experiment.site.balancers.start_s) line.Put("start", b.start_at);
  }
  for (size_t i = 0; i < script.mean_work_us.size(); ++i) {
    DescriptionLine(out, "class").Put("name", experiment.classes[i].name).Put("mean", script.mean_work_us[i]);
  }
  for (const Action& a : script.actions) {
    DescriptionLine(out, "action")
        .Put("at", a.at)
        .Put("until", a.until)
        .Put("kind", TraitsOf(a.kind).kind_name)
        .Put("fault", a.fault)
        .Put("targets", a.targets)
        .Put("spares", a.spares)
        .Put("size", a.size);
  }
  const std::unique_ptr<Arrivals> arrivals = GenerateArrivals(experiment, script);
  for (Arrival a; arrivals->Next(a);) {
    DescriptionLine(out, "arrival")
        .Put("at", a.at)
        .Put("trace", a.trace)
        .Put("class", a.cls)
        .Put("tenant", a.tenant)
        .Put("zone", a.zone)
        .Put("key", a.key)
        .Put("work", a.work_us)
        .Put("estimate", a.estimate)
        .Put("patience", a.try_timeout)
        .Put("honours", a.honours_retry_after)
        .Put("within", a.within_share);
  }
  return out;
}

}  // namespace burlfall::lab
