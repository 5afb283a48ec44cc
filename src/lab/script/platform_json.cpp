#include "lab/script/platform_json.h"

#include <algorithm>
#include <cinttypes>
#include <cmath>
#include <cstdio>
#include <nlohmann/json.hpp>

namespace burlfall::lab {
namespace {

using Json = nlohmann::ordered_json;

constexpr int kResolutionUs = 5000;     // time that decisions may be delayed to be taken in one batch
constexpr int kMaxOpenQueries = 20000;  // per balancer

int64_t Us(double ms) { return static_cast<int64_t>(std::floor(ms * 1000 + 0.5)); }

Json List(const Experiment& experiment, const Script& script, const NodeList& list) {
  Json servers = Json::array();
  for (const ListedNode& listed : list.nodes) {
    const auto number = static_cast<size_t>(listed.node);
    const bool spare = number >= script.nodes.size();
    const NodePlan& plan = spare ? script.spares.at(number - script.nodes.size()) : script.nodes.at(number);
    const bool gone = listed.state == meadowslip::BackendState::kGone;
    const bool ready = listed.state == meadowslip::BackendState::kReady;
    servers.push_back({{"id", plan.name},
                       {"addr", listed.address},
                       {"kind", experiment.site.nodes.at(static_cast<size_t>(plan.kind)).kind},
                       // A cell is a set of nodes that share a cache of keys; here it is the zone.
                       {"cell", plan.zone},
                       {"state", gone    ? "Gone"
                                 : ready ? "Ready"
                                         : "Terminating"},
                       {"weight", plan.weight},
                       {"started_ms", listed.started_at / kMs}});
    const std::vector<std::string>& zones = experiment.site.zones;
    if (!zones.empty()) servers.back()["zone"] = zones.at(static_cast<size_t>(plan.zone));
  }
  return {{"version", list.version}, {"full", list.full}, {"servers", std::move(servers)}};
}

Json Classes(const Experiment& experiment) {
  Json classes = Json::array();
  for (const ClassSpec& c : experiment.classes) {
    const char* effect = c.effect == meadowslip::Idempotency::kSafe    ? "pure"
                         : c.effect == meadowslip::Idempotency::kKeyed ? "token"
                                                                       : "side_effect";
    classes.push_back({{"Name", c.name},
                       {"Effect", effect},
                       {"Group", "all"},
                       {"DedupWindow", Us(c.window_ms)},
                       {"Slo", Us(c.aim_ms)},
                       {"HardLimit", Us(c.deadline_ms)},
                       {"Worth", c.worth},
                       {"LateShare", 0.0},
                       {"Stream", false}});
  }
  return classes;
}

Json Settings(const Experiment& experiment, const Script& script, int balancer) {
  const SiteSpec& site = experiment.site;
  Json tenants = Json::array();
  double shares = 0;
  for (const TenantSpec& t : experiment.tenants) shares += t.share;
  for (const TenantSpec& t : experiment.tenants) {
    tenants.push_back({{"Name", t.name}, {"QuotaPerS", t.quota_per_s}, {"Share", t.share / shares}});
  }
  Json kinds = Json::array();
  double coldest = 1;
  double warm_s = 0;
  bool warm_keys = false;
  for (const NodeGroup& group : site.nodes) {
    if (std::find(kinds.begin(), kinds.end(), group.kind) == kinds.end()) kinds.push_back(group.kind);
    coldest = std::min(coldest, group.cold_share.low);
    warm_s = std::max(warm_s, group.cold_s.high);
    warm_keys = warm_keys || group.warm_key_saving > 0;
  }
  return {
      {"Balancers", site.balancers.count},
      {"SlotNo", balancer},
      {"MyZone", script.balancers.at(static_cast<size_t>(balancer)).zone},
      {"Zones", site.zones},
      {"MachineTypes", kinds},
      {"Tier", 0},
      {"Tiers", Json::array({"nodes"})},
      {"Family", "proxy"},
      {"FamilyInfo", {{"WarmKeys", warm_keys}}},
      {"Categories", Classes(experiment)},
      {"WorthBy", "work"},
      {"Realms", tenants},
      {"OverShareWorth", experiment.over_share_worth},
      {"ClientHabits", {{"MarksRetry", false}}},
      {"Caps",
       {{"Cancel", true},
        {"ConnectTimeout", Us(site.connect_timeout_ms)},
        {"Keepalive", Us(site.idle_close_s * 1000)},
        {"MaxRetryAfter", Us(experiment.clients.most_retry_after_ms)},
        {"MaxStreams", 1},
        {"MayProbe", false},
        {"OpenCap", kMaxOpenQueries},
        {"Peers", false},
        {"RetryAfter", true},
        {"SecondCopies", site.second_copies},
        {"SendCap", site.most_attempts}}},
      {"Rules",
       {{"AnswerSlack", Us(site.answer_slack_ms)},
        {"DrainGrace", Us(site.drain_grace_ms)},
        {"Fall", Us(site.overload_window_ms)},
        {"MustAskIn", Us(site.must_ask_s * 1000)},
        {"OverloadFactor", site.overload_factor},
        {"StartCapacity", coldest},
        {"WarmAfter", Us(warm_s * 1000)}}},
      {"MembershipMode", site.discovery.pushed ? "automatic" : "subscribe"},
      {"Weights", "rough"},
      {"Report", {{"Columns", Json::array()}, {"How", "silent"}}},
      {"Prices", {{"CrossZone", site.cross_zone_price}, {"Probe", 0.0}}},
      {"Resolution", kResolutionUs},
  };
}

std::string Hex(uint64_t x) {
  char digits[17];
  std::snprintf(digits, sizeof digits, "%016" PRIx64, x);
  return digits;
}

}  // namespace

std::string ListJson(const Experiment& experiment, const Script& script, const NodeList& list) {
  return List(experiment, script, list).dump();
}

std::string SettingsJson(const Experiment& experiment, const Script& script, int balancer) {
  return Settings(experiment, script, balancer).dump();
}

std::string ConfigJson(const Experiment& experiment, const Script& script, int balancer,
                       const BalancerStart& start) {
  const BalancerSpec& spec = experiment.site.balancers;
  const Json config = {
      {"name", script.balancers.at(static_cast<size_t>(balancer)).name},
      {"listen", start.listen},
      {"discovery", start.discovery},
      {"seed", Hex(start.seed)},
      {"limits", {{"cores", spec.cores}, {"memory_mb", spec.memory_mb}, {"sockets", spec.descriptors}}},
      {"known", List(experiment, script, start.known)},
      {"settings", Settings(experiment, script, balancer)}};
  return config.dump(2) + "\n";
}

}  // namespace burlfall::lab
