#include "lab/script/experiment_file.h"

#include <algorithm>
#include <numeric>
#include <set>
#include <string>
#include <vector>

#include "lab/script/range_key.h"
#include "lab/script/script.h"

namespace burlfall::lab {
namespace {

constexpr double kMaxLengthS = 86400;  // s
constexpr double kMaxWaitMs = 600000;  // ms

std::string Item(const std::string& list, size_t i) { return list + "[" + std::to_string(i) + "]"; }

// Names are used in paths, headers, JSON and file names, so only a few characters are allowed.
bool IsName(std::string_view text) {
  return !text.empty() && std::all_of(text.begin(), text.end(), [](char c) {
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-' || c == '_';
  });
}
constexpr char kNameWanted[] = "a name of letters, digits, - and _";

void CheckName(const std::string& name, const std::string& key, std::set<std::string>& known,
               Findings& findings) {
  if (!IsName(name)) findings.Add(key, kNameWanted, Quoted(name));
  if (!known.insert(name).second) findings.Add(key, "a name of its own", Quoted(name) + " a second time");
}

Schema<NodeGroup> NodeSchema() {
  Schema<NodeGroup> s("nodes of one kind; they are named by it and a number, as std-1");
  s.Key("kind", &NodeGroup::kind, "how lists and reports call the kind").Length(1, 40);
  s.Key("count", &NodeGroup::count, "how many there are").Between(1, kMaxNodes);
  s.Key("zone", &NodeGroup::zone, "where they are; left out: in all zones in turn").Length(0, 40);
  s.Key("cores", &NodeGroup::cores, "cores of each").Between(1, 1024);
  s.Key("speed", &NodeGroup::speed, "of a core, against a standard one").Between(0.01, 100);
  s.Key("slots_per_core", &NodeGroup::slots_per_core, "queries that a core has in work at a time")
      .Between(1, 1000);
  s.Key("queue_per_core", &NodeGroup::queue_per_core,
        "queries that wait for each core; beyond that they are turned away")
      .Between(0, 100000);
  s.Key("links", &NodeGroup::links, "connections that a node accepts").Between(1, 1e6);
  s.Key("handshake_us", &NodeGroup::handshake_us, "work that a new connection costs a node")
      .Unit("us")
      .Between(0, 1e6);
  s.Key("cold_share", &NodeGroup::cold_share, "of its capacity that a node has just after its start")
      .Between(0.01, 1);
  s.Key("cold_s", &NodeGroup::cold_s, "until a node that started is warm").Unit("s").Between(0, kMaxLengthS);
  s.Key("error_share", &NodeGroup::error_share, "of the queries that fail by themselves").Between(0, 1);
  s.Words("cancel_stops", &NodeGroup::cancel_stops,
          {{"nothing", CancelStops::kNothing}, {"queued", CancelStops::kQueued}, {"all", CancelStops::kAll}},
          "what of an attempt's work stops when its connection ends");
  s.Key("warm_key_saving", &NodeGroup::warm_key_saving,
        "share of the work saved on a key that the node met lately; 0: none")
      .Between(0, 0.99);
  s.Key("warm_key_s", &NodeGroup::warm_key_s, "for how long a node remembers a key")
      .Unit("s")
      .Between(0, kMaxLengthS);
  s.Key("warm_keys", &NodeGroup::warm_keys, "how many keys a node remembers").Between(0, 1000000);
  return s;
}

Schema<BalancerSpec> BalancerSchema() {
  Schema<BalancerSpec> s("the balancers, named b1 and on, in all zones in turn");
  s.Key("count", &BalancerSpec::count, "how many there are").Between(1, kMaxBalancers);
  s.Key("know_list", &BalancerSpec::know_list,
        "they start with the list as it was at their first start, and else with none");
  s.Key("start_s", &BalancerSpec::start_s,
        "when each starts, from the start of the run; left out: before it, and the run waits for them")
      .Unit("s")
      .Between(0, kMaxLengthS);
  s.Key("folder", &BalancerSpec::folder, "each has a folder of its own, which outlives its processes");
  s.Key("memory_mb", &BalancerSpec::memory_mb, "megabytes that each may hold").Between(16, 1 << 20);
  s.Key("descriptors", &BalancerSpec::descriptors, "file descriptors that each may hold")
      .Between(64, 1 << 20);
  s.Key("cores", &BalancerSpec::cores, "share of a core that each may use").Between(0.01, 1);
  return s;
}

Schema<DiscoverySpec> DiscoverySchema() {
  Schema<DiscoverySpec> s("the service that tells balancers of nodes");
  s.Key("late_ms", &DiscoverySpec::late_ms, "until it knows of a change").Unit("ms").Between(0, kMaxWaitMs);
  s.Key("silent_late_ms", &DiscoverySpec::silent_late_ms, "until it knows of a node that died without a sign")
      .Unit("ms")
      .Between(0, kMaxWaitMs);
  s.Key("calls_per_s", &DiscoverySpec::calls_per_s, "that it can answer; further ones wait in turn")
      .Unit("per_s")
      .Between(0.1, 1e6);
  s.Key("patience_ms", &DiscoverySpec::patience_ms, "a call that has waited longer fails")
      .Unit("ms")
      .Between(1, kMaxWaitMs);
  s.Key("pushed", &DiscoverySpec::pushed,
        "lists are pushed to an agent beside each balancer: they count as told, asked for or not, and "
        "calls wait for nobody");
  return s;
}

Schema<SiteSpec> SiteSchema() {
  Schema<SiteSpec> s("zones, balancers, nodes, discovery, and the rules' figures");
  s.Key("zones", &SiteSpec::zones,
        "names of the zones, for one the data centres; none: nobody is told of any")
      .Length(0, 16);
  s.Key("same_zone_us", &SiteSpec::same_zone_us, "one way within a zone, added to loopback's own")
      .Unit("us")
      .Between(0, 1e6);
  s.Key("cross_zone_us", &SiteSpec::cross_zone_us, "one way between zones").Unit("us").Between(0, 1e6);
  s.Table("balancers", &SiteSpec::balancers, BalancerSchema(), "the balancers");
  s.Table("discovery", &SiteSpec::discovery, DiscoverySchema(), "the list of nodes");
  s.Tables("nodes", &SiteSpec::nodes, NodeSchema(), "the nodes, by kind").Required().Length(1, 100);
  s.Key("idle_close_s", &SiteSpec::idle_close_s, "a node's machine closes a link that was idle so long")
      .Unit("s")
      .Between(0.1, 3600);
  s.Key("connect_timeout_ms", &SiteSpec::connect_timeout_ms, "a link that takes longer never comes up")
      .Unit("ms")
      .Between(1, 60000);
  s.Key("drain_grace_ms", &SiteSpec::drain_grace_ms,
        "a draining node gets nothing new later than this after the balancer was told")
      .Unit("ms")
      .Between(0, 60000);
  s.Key("overload_factor", &SiteSpec::overload_factor,
        "a cold node sent more than this many times what it can do falls over")
      .Between(1, 100);
  s.Key("overload_window_ms", &SiteSpec::overload_window_ms, "if it is for so long")
      .Unit("ms")
      .Between(1, 60000);
  s.Key("answer_slack_ms", &SiteSpec::answer_slack_ms,
        "beyond a client's patience within which an answer still counts")
      .Unit("ms")
      .Between(0, 10000);
  s.Key("must_ask_s", &SiteSpec::must_ask_s,
        "a balancer that has not asked discovery for so long counts as told")
      .Unit("s")
      .Between(1, 3600);
  s.Key("most_attempts", &SiteSpec::most_attempts, "that a balancer may make for one query").Between(1, 100);
  s.Key("second_copies", &SiteSpec::second_copies, "whether a query may have two attempts out at a time");
  s.Key("cross_zone_price", &SiteSpec::cross_zone_price,
        "of a query's worth, for one attempt that crosses zones")
      .Between(0, 1);
  s.Check([](const SiteSpec& site, Findings& findings) {
    std::set<std::string> zones;
    for (size_t i = 0; i < site.zones.size(); ++i) {
      CheckName(site.zones[i], Item("zones", i), zones, findings);
    }
    int nodes = 0;
    for (size_t i = 0; i < site.nodes.size(); ++i) {
      const NodeGroup& group = site.nodes[i];
      const std::string at = Item("nodes", i);
      if (!IsName(group.kind)) findings.Add(at + ".kind", kNameWanted, Quoted(group.kind));
      if (!group.zone.empty() && !zones.contains(group.zone)) {
        findings.Add(at + ".zone", "one of the site's zones", Quoted(group.zone));
      }
      const int before = nodes;
      nodes += group.count;
      if (nodes > kMaxNodes && before <= kMaxNodes) {
        findings.Add(at + ".count", "at most " + std::to_string(kMaxNodes) + " nodes in all",
                     std::to_string(nodes));
      }
    }
  });
  return s;
}

Schema<LoadSpec> LoadSchema() {
  Schema<LoadSpec::Step> step("a point of the shape");
  step.Key("at_s", &LoadSpec::Step::at_s, "when, from the start").Unit("s").Between(0, kMaxLengthS);
  step.Key("factor", &LoadSpec::Step::factor, "on the rate").Between(0, 1000);
  Schema<LoadSpec> s("the queries that clients ask");
  s.Key("rate_per_s", &LoadSpec::rate_per_s, "queries, retries not counted")
      .Unit("per_s")
      .Above(0)
      .AtMost(1e6);
  s.Tables("shape", &LoadSpec::shape, step,
           "of the rate over time, in straight lines from point to point; none: always alike")
      .Length(0, 1000);
  s.Key("zone_shares", &LoadSpec::zone_shares,
        "of the load, one a zone, against each other; none: alike in all zones")
      .Between(0, 1e6)
      .Length(0, 16);
  s.Key("keys", &LoadSpec::keys, "things that queries concern").Between(1, 10000000);
  s.Key("key_skew", &LoadSpec::key_skew, "Zipf's exponent of their popularity; 0: all alike").Between(0, 5);
  s.Key("hints", &LoadSpec::hints, "whether queries carry an estimate of their work");
  s.Key("hint_error", &LoadSpec::hint_error, "standard deviation of the estimate, against the work")
      .Between(0, 10);
  s.Check([](const LoadSpec& load, Findings& findings) {
    double most = load.shape.empty() ? 1 : 0;
    for (size_t i = 0; i < load.shape.size(); ++i) {
      most = std::max(most, load.shape[i].factor);
      if (i > 0 && load.shape[i].at_s < load.shape[i - 1].at_s) {
        findings.Add(Item("shape", i) + ".at_s", "the points in order of time",
                     ShowToml(TomlValue::Number(load.shape[i].at_s)) + " after " +
                         ShowToml(TomlValue::Number(load.shape[i - 1].at_s)));
      }
    }
    if (most <= 0) findings.Add("shape", "a factor above 0 somewhere", "0 everywhere");
    if (!load.zone_shares.empty() &&
        std::accumulate(load.zone_shares.begin(), load.zone_shares.end(), 0.0) <= 0) {
      findings.Add("zone_shares", "a share above 0", "shares of nothing");
    }
  });
  return s;
}

Schema<ClassSpec> ClassSchema() {
  Schema<ClassSpec> s("a class of queries");
  s.Key("name", &ClassSpec::name, "first part of its queries' path").Required().Length(1, 40);
  s.Words("effect", &ClassSpec::effect,
          {{"safe", meadowslip::Idempotency::kSafe},
           {"keyed", meadowslip::Idempotency::kKeyed},
           {"unsafe", meadowslip::Idempotency::kUnsafe}},
          "whether a query may run again: always, with its key within the window, or never");
  s.Key("share", &ClassSpec::share, "of the queries, against the other classes' shares").Between(0, 1e6);
  s.Key("work_ms", &ClassSpec::work_ms, "mean work of a query on a standard core, drawn once a run")
      .Unit("ms")
      .Between(0.001, 60000);
  s.Key("work_spread", &ClassSpec::work_spread,
        "standard deviation over mean, of single queries (log-normal)")
      .Between(0, 10);
  s.Key("aim_ms", &ClassSpec::aim_ms, "an answer within this earns its worth")
      .Unit("ms")
      .Between(1, kMaxWaitMs);
  s.Key("deadline_ms", &ClassSpec::deadline_ms, "a client's patience over all tries")
      .Unit("ms")
      .Between(1, kMaxWaitMs);
  s.Key("worth", &ClassSpec::worth, "of a query, for each unit of its work").Above(0).AtMost(1e6);
  s.Key("window_ms", &ClassSpec::window_ms, "keyed: within it nodes drop a repeat")
      .Unit("ms")
      .Above(0)
      .AtMost(kMaxWaitMs);
  s.Check([](const ClassSpec& c, Findings& findings) {
    if (c.aim_ms > c.deadline_ms) {
      findings.Add("aim_ms", "at most deadline_ms, " + ShowToml(TomlValue::Number(c.deadline_ms)),
                   ShowToml(TomlValue::Number(c.aim_ms)));
    }
    const bool keyed = c.effect == meadowslip::Idempotency::kKeyed;
    if (keyed && !findings.Given("window_ms")) findings.Add("window_ms", "a window, for it is keyed", "none");
    if (!keyed && findings.Given("window_ms")) {
      findings.Add("window_ms", "no window, for it is not keyed", ShowToml(TomlValue::Number(c.window_ms)));
    }
  });
  return s;
}

Schema<TenantSpec> TenantSchema() {
  Schema<TenantSpec> s("a tenant, whose queries carry its name");
  s.Key("name", &TenantSpec::name, "as queries carry it").Required().Length(1, 40);
  s.Key("share", &TenantSpec::share, "of the queries, against the other tenants' shares").Between(0, 1e6);
  s.Key("quota_per_s", &TenantSpec::quota_per_s,
        "queries at the whole site within its share; what goes beyond is worth little; 0: no limit")
      .Unit("per_s")
      .Between(0, 1e6);
  return s;
}

Schema<ClientSpec> ClientSchema() {
  Schema<ClientSpec> s("what clients, and the front before the balancers, do");
  s.Key("most_retries", &ClientSpec::most_retries, "of a query, by the client").Between(0, kMaxRetries);
  s.Key("retry_wait_ms", &ClientSpec::retry_wait_ms, "before a retry").Unit("ms").Between(0, kMaxWaitMs);
  s.Key("honour_share", &ClientSpec::honour_share, "of the clients that heed Retry-After").Between(0, 1);
  s.Key("most_retry_after_ms", &ClientSpec::most_retry_after_ms, "up to which they heed it")
      .Unit("ms")
      .Between(0, kMaxWaitMs);
  s.Key("give_up_share", &ClientSpec::give_up_share, "of its class's deadline after which a client leaves")
      .Between(0.01, 1);
  s.Key("notice_ms", &ClientSpec::notice_ms, "until the front stops sending to a dead balancer")
      .Unit("ms")
      .Between(0, kMaxWaitMs);
  s.Key("most_links", &ClientSpec::most_links, "that a zone's front opens to one balancer")
      .Between(1, 100000);
  return s;
}

Schema<FaultSpec> FaultSchema() {
  Schema<FaultSpec> s("a fault; each may overlap with others, on the same nodes too");
  std::vector<std::pair<std::string, FaultKind>> kinds;
  for (const FaultTraits& traits : AllFaults()) kinds.emplace_back(traits.kind_name, traits.kind);
  s.Words("kind", &FaultSpec::kind, kinds, "what goes wrong").Required();
  s.Key("at_s", &FaultSpec::at_s, "when it begins, from the start of the run")
      .Unit("s")
      .Between(0, kMaxLengthS)
      .Required();
  s.Key("for_s", &FaultSpec::for_s, "how long it lasts; no longer than the run")
      .Unit("s")
      .Between(0, kMaxLengthS);
  s.Key("share", &FaultSpec::share, "of the nodes or balancers that it hits; one at least")
      .Above(0)
      .AtMost(1);
  s.Key("zone", &FaultSpec::zone,
        "hits only what is there; of zone-cut, the zone that is cut off (left out: drawn)")
      .Length(0, 40);
  s.Key("names", &FaultSpec::names, "hits exactly these nodes or balancers, instead of a share")
      .Length(0, kMaxNodes);
  s.Key("size", &FaultSpec::size, "how bad; what it counts is the kind's").Between(0, 1e6);
  s.Words("folder", &FaultSpec::folder,
          {{"kept", FolderAfter::kKept}, {"empty", FolderAfter::kEmpty}, {"old", FolderAfter::kOld}},
          "balancers-killed: what they find in their folders; old: as these were at the start before");
  s.Check([](const FaultSpec& fault, Findings& findings) {
    const FaultTraits& traits = TraitsOf(fault.kind);
    const std::string kind_name(traits.kind_name);
    const bool some = traits.hits == FaultHits::kNodes || traits.hits == FaultHits::kBalancers;
    auto refuse = [&](const char* key, const std::string& why) {
      if (findings.Given(key)) findings.Add(key, std::string("no ") + key + ", for " + why, "one");
    };
    if (!traits.lasts) refuse("for_s", kind_name + " has no length");
    if (traits.size.empty()) refuse("size", kind_name + " has none");
    if (fault.kind != FaultKind::kBalancersKilled) refuse("folder", kind_name + " leaves folders alone");
    if (traits.hits == FaultHits::kNothing) refuse("zone", kind_name + " hits the whole site");
    if (!some) refuse("share", kind_name + " hits no single nodes or balancers");
    if (!some) refuse("names", kind_name + " hits no single nodes or balancers");
    if (some && !fault.names.empty()) refuse("share", "names are given");
    if (some && !fault.names.empty()) refuse("zone", "names are given");
    if (traits.size.empty()) return;
    const std::string wanted = std::string(traits.size) + ", from " +
                               ShowToml(TomlValue::Number(traits.size_min)) + " to " +
                               ShowToml(TomlValue::Number(traits.size_max));
    if (!findings.Given("size")) {
      findings.Add("size", wanted, "nothing");
    } else if (fault.size.low < traits.size_min || fault.size.high > traits.size_max) {
      findings.Add(
          "size", wanted,
          ShowToml(TomlValue::List({TomlValue::Number(fault.size.low), TomlValue::Number(fault.size.high)})));
    }
  });
  return s;
}

Schema<Goals> GoalsSchema() {
  Schema<Goals> s("shares of the worth asked for; a run that misses one says so, and no more");
  s.Key("service", &Goals::service, "of the whole run").Between(0, 1);
  s.Key("worst_class", &Goals::worst_class, "of the class served worst").Between(0, 1);
  s.Key("worst_ten_seconds", &Goals::worst_ten_seconds, "of the worst ten seconds").Between(0, 1);
  s.Key("worst_tenant", &Goals::worst_tenant, "of the tenant served worst, within its quota").Between(0, 1);
  return s;
}

Schema<FleetGoals> FleetSchema() {
  Schema<FleetGoals> s(
      "what the balancers together may ask; 0: not looked at. A run that misses one has failed");
  s.Key("from_s", &FleetGoals::from_s, "counted from here on, or from a process's later start")
      .Unit("s")
      .Between(0, kMaxLengthS);
  s.Key("listed_within_s", &FleetGoals::listed_within_s, "all have their list")
      .Unit("s")
      .Between(0, kMaxLengthS);
  s.Key("calls_each", &FleetGoals::calls_each, "that a balancer makes until then, on average")
      .Between(0, 1e6);
  s.Key("first_second", &FleetGoals::first_second, "calls at the list service in the first second")
      .Between(0, 1e6);
  s.Key("calls_per_s", &FleetGoals::calls_per_s, "calls at the list service in any second after it")
      .Unit("per_s")
      .Between(0, 1e6);
  s.Key("handshakes_per_s", &FleetGoals::handshakes_per_s, "connections at any node in any second")
      .Unit("per_s")
      .Between(0, 1e6);
  s.Key("in_time", &FleetGoals::in_time,
        "least share of queries served in time, of the ten seconds that begin one second after from_s")
      .Between(0, 1);
  s.Key("nobody_without", &FleetGoals::nobody_without, "nobody is without a list at the run's end");
  return s;
}

// Checks that each zone with load has a balancer, since clients only use the balancers of their own zone.
void CheckLoad(const Experiment& e, Findings& findings) {
  const size_t zones = e.site.Zones();
  const std::vector<double>& shares = e.load.zone_shares;
  if (!shares.empty() && shares.size() != zones) {
    findings.Add("load.zone_shares", "one share a zone, " + std::to_string(zones),
                 std::to_string(shares.size()));
    return;
  }
  for (size_t zone = static_cast<size_t>(e.site.balancers.count); zone < zones; ++zone) {
    if (!shares.empty() && shares[zone] <= 0) continue;
    findings.Add("site.balancers.count", "a balancer in each zone that has load",
                 std::to_string(e.site.balancers.count) + ", none of them in " + Quoted(e.site.zones[zone]));
    return;
  }
  for (size_t i = 0; i < e.load.shape.size(); ++i) {
    if (e.load.shape[i].at_s <= e.length_s) continue;
    findings.Add("load." + Item("shape", i) + ".at_s", "a time within the run of length_s",
                 ShowToml(TomlValue::Number(e.load.shape[i].at_s)));
  }
}

template <class Spec>
void CheckShares(const std::vector<Spec>& specs, const std::string& list, Findings& findings) {
  std::set<std::string> names;
  double all = 0;
  for (size_t i = 0; i < specs.size(); ++i) {
    CheckName(specs[i].name, Item(list, i) + ".name", names, findings);
    all += specs[i].share;
  }
  if (!specs.empty() && all <= 0) findings.Add(list, "a share above 0", "shares of nothing");
}

void CheckClasses(const Experiment& e, Findings& findings) {
  CheckShares(e.classes, "classes", findings);
  for (size_t i = 0; i < e.classes.size(); ++i) {
    // The balancer itself serves these paths.
    const std::string& name = e.classes[i].name;
    if (name == "up" || name == "counters") {
      findings.Add(Item("classes", i) + ".name", "a name that is no path of the balancer's own",
                   Quoted(name));
    }
  }
}

template <class Plan>
void CheckNames(const FaultSpec& fault, const std::string& at, const std::vector<Plan>& plans,
                const std::string& what, Findings& findings) {
  std::set<std::string> met;
  for (size_t i = 0; i < fault.names.size(); ++i) {
    const std::string& name = fault.names[i];
    const std::string key = at + "." + Item("names", i);
    const bool known = std::any_of(plans.begin(), plans.end(), [&](const Plan& p) { return p.name == name; });
    if (!known) {
      findings.Add(key, "the name of " + what + ", such as " + Quoted(plans.front().name), Quoted(name));
    } else if (!met.insert(name).second) {
      findings.Add(key, "each name once", Quoted(name) + " a second time");
    }
  }
}

void CheckFaults(const Experiment& e, Findings& findings) {
  Experiment calm = e;
  calm.faults.clear();
  const Script script = GenerateScript(calm, e.seed);  // names and zones do not depend on the seed
  for (size_t i = 0; i < e.faults.size(); ++i) {
    const FaultSpec& fault = e.faults[i];
    const std::string at = Item("faults", i);
    const FaultHits hits = TraitsOf(fault.kind).hits;
    if (fault.at_s.high >= e.length_s) {
      findings.Add(at + ".at_s", "a time within the run of " + ShowToml(TomlValue::Number(e.length_s)) + " s",
                   ShowToml(TomlValue::Number(fault.at_s.high)));
    }
    if (hits == FaultHits::kNodes) CheckNames(fault, at, script.nodes, "a node", findings);
    if (hits == FaultHits::kBalancers) CheckNames(fault, at, script.balancers, "a balancer", findings);
    if (hits == FaultHits::kZone && e.site.zones.size() < 2) {
      findings.Add(at + ".kind", "a fault that a site of one zone can have",
                   Quoted(TraitsOf(fault.kind).kind_name));
    }
    if (fault.zone.empty()) continue;
    const auto zone = std::find(e.site.zones.begin(), e.site.zones.end(), fault.zone);
    const auto number = static_cast<int>(zone - e.site.zones.begin());
    auto there = [&](const auto& plan) { return plan.zone == number; };
    if (zone == e.site.zones.end()) {
      findings.Add(at + ".zone", "one of the site's zones", Quoted(fault.zone));
    } else if (hits == FaultHits::kNodes && std::none_of(script.nodes.begin(), script.nodes.end(), there)) {
      findings.Add(at + ".zone", "a zone with nodes", Quoted(fault.zone));
    } else if (hits == FaultHits::kBalancers &&
               std::none_of(script.balancers.begin(), script.balancers.end(), there)) {
      findings.Add(at + ".zone", "a zone with balancers", Quoted(fault.zone));
    }
  }
}

double Middle(const Range& range) { return (range.low + range.high) / 2; }

}  // namespace

Schema<Experiment> ExperimentSchema() {
  Schema<Experiment> s(
      "an experiment of the laboratory: a site, a load on it, and faults. Ranges, [low, high], are drawn "
      "from "
      "evenly, by the seed");
  s.Key("title", &Experiment::title, "one line for lists and reports").Required().Length(1, 100);
  s.Key("about", &Experiment::about, "what it is for").Length(0, 2000);
  s.Key("seed", &Experiment::seed, "of all that is drawn, unless the command line gives one");
  s.Key("length_s", &Experiment::length_s, "how long clients ask").Unit("s").Between(1, kMaxLengthS);
  s.Key("settle_s", &Experiment::settle_s, "at the start, not counted in the service")
      .Unit("s")
      .Between(0, kMaxLengthS);
  s.Table("site", &Experiment::site, SiteSchema(), "what there is").Required();
  s.Table("load", &Experiment::load, LoadSchema(), "what is asked of it");
  s.Tables("classes", &Experiment::classes, ClassSchema(), "classes of queries").Required().Length(1, 64);
  s.Tables("tenants", &Experiment::tenants, TenantSchema(), "tenants; none: queries carry none")
      .Length(0, 1000);
  s.Key("over_share_worth", &Experiment::over_share_worth,
        "worth of a query beyond its tenant's quota, as a share of its class's")
      .Between(0, 1);
  s.Table("clients", &Experiment::clients, ClientSchema(), "what clients do");
  s.Tables("faults", &Experiment::faults, FaultSchema(), "what goes wrong").Length(0, kMaxFaults);
  s.Table("goals", &Experiment::goals, GoalsSchema(), "what a run should reach");
  s.Table("start", &Experiment::start, StartSchema(),
          "how balancers start, as deploy/start.toml; left out: as the command line says");
  s.Table("fleet", &Experiment::fleet, FleetSchema(), "what the balancers together may ask");
  s.Check([](const Experiment& e, Findings& findings) {
    if (e.settle_s >= e.length_s) {
      findings.Add("settle_s", "less than length_s", ShowToml(TomlValue::Number(e.settle_s)));
    }
    CheckLoad(e, findings);
    CheckClasses(e, findings);
    CheckShares(e.tenants, "tenants", findings);
    CheckFaults(e, findings);
  });
  return s;
}

Loaded<Experiment> ParseExperiment(std::string_view file, std::string_view text) {
  static const Schema<Experiment> kSchema = ExperimentSchema();
  Loaded<Experiment> loaded = kSchema.Parse(file, text);
  if (loaded.value) {
    const size_t slash = file.rfind('/');
    if (slash != std::string_view::npos) file.remove_prefix(slash + 1);
    if (file.ends_with(".toml")) file.remove_suffix(5);
    loaded.value->name = file;
  }
  return loaded;
}

double Utilisation(const Experiment& experiment) {
  double work = 0;
  double shares = 0;
  for (const ClassSpec& c : experiment.classes) {
    work += c.share * Middle(c.work_ms) / 1000;
    shares += c.share;
  }
  double capacity = 0;
  for (const NodeGroup& g : experiment.site.nodes) capacity += g.count * g.cores * Middle(g.speed);
  return experiment.load.rate_per_s * work / shares / capacity;
}

}  // namespace burlfall::lab
