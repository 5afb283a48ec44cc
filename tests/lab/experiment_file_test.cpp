// Tests of experiment files, of the shipped experiments, and of the JSON given to balancers.
#include "lab/script/experiment_file.h"

#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>
#include <iterator>
#include <set>

#include "config/platform_config.h"
#include "config/settings.h"
#include "lab/script/platform_json.h"
#include "lab/script/script.h"

namespace burlfall::lab {
namespace {

std::string Read(const std::filesystem::path& path) {
  std::ifstream file(path, std::ios::binary);
  return std::string(std::istreambuf_iterator<char>(file), {});
}

std::string Errors(const Loaded<Experiment>& loaded) {
  std::string lines;
  for (const ConfigError& error : loaded.errors) lines += error.Line() + "\n";
  return lines;
}

Experiment Shipped(const std::string& name) {
  const std::string folder = name.starts_with("fleet-") ? "/fleets/" : "/";
  const std::string path = EXPERIMENTS + folder + name + ".toml";
  Loaded<Experiment> loaded = ParseExperiment(path, Read(path));
  EXPECT_TRUE(loaded.value) << Errors(loaded);
  return loaded.value.value_or(Experiment{});
}

// Valid file; the cases below replace one of its lines, by number.
const std::vector<std::string> kBase = {
    "title = \"t\"",       // 1
    "length_s = 20",       // 2
    "[site]",              // 3
    "zones = ['a', 'b']",  // 4
    "[site.balancers]",    // 5
    "count = 2",           // 6
    "[[site.nodes]]",      // 7
    "kind = 'std'",        // 8
    "count = 4",           // 9
    "[load]",              // 10
    "rate_per_s = 50",     // 11
    "[[classes]]",         // 12
    "name = 'look'",       // 13
    "worth = 2",           // 14
    "[[tenants]]",         // 15
    "name = 'one'",        // 16
};

// Parses the base file with `text` in place of a line, or at the end (line 17).
Loaded<Experiment> ParseWith(size_t line, const std::string& text) {
  std::string file;
  for (size_t i = 1; i <= kBase.size() + 1; ++i) {
    file += (i == line ? text : i <= kBase.size() ? kBase[i - 1] : "") + "\n";
  }
  return ParseExperiment("x.toml", file);
}

TEST(ExperimentFile, SchemaIsSound) {
  const Schema<Experiment> schema = ExperimentSchema();
  for (const std::string& fault : SchemaFaults(schema.Spec())) ADD_FAILURE() << fault;
}

TEST(ExperimentFile, ParsesAFile) {
  const Loaded<Experiment> loaded = ParseWith(
      17,
      "[[faults]]\nkind = 'slow-nodes'\nat_s = [1, 3]\nfor_s = [2, 4]\nshare = 0.5\nsize = [0.2, 0.4]\n"
      "[[faults]]\nkind = 'zone-cut'\nat_s = [5, 5]\nzone = 'b'\n[clients]\nmost_retries = 3");
  ASSERT_TRUE(loaded.value) << Errors(loaded);
  const Experiment& e = *loaded.value;
  EXPECT_EQ(e.name, "x");
  EXPECT_EQ(e.site.nodes[0].count, 4);
  EXPECT_EQ(e.site.nodes[0].cold_s, NodeGroup().cold_s);  // the default of the struct
  EXPECT_EQ(e.clients.most_retries, 3);
  ASSERT_EQ(e.faults.size(), 2u);
  EXPECT_EQ(e.faults[0].kind, FaultKind::kSlowNodes);
  EXPECT_EQ(e.faults[0].size, (Range{0.2, 0.4}));
  EXPECT_EQ(e.faults[1].zone, "b");
}

TEST(ExperimentFile, ReportsErrorsWithTheirLines) {
  struct Case {
    size_t line;
    std::string text;
    std::string error;  // expected beginning
  };
  const auto fault = [](const std::string& kind, const std::string& more) {
    return "[[faults]]\nkind = '" + kind + "'\nat_s = [1, 2]\n" + more;
  };
  const std::vector<Case> cases = {
      {17, fault("silent-nodes", "names = ['std-4', 'std-5']"), "x.toml:20: faults[0].names[1]:"},
      {17, fault("silent-nodes", "names = ['std-1', 'std-1']"), "x.toml:20: faults[0].names[1]:"},
      {17, fault("balancers-killed", "names = ['std-1']"), "x.toml:20: faults[0].names[0]:"},
      {17, fault("silent-nodes", "zone = 'c'"), "x.toml:20: faults[0].zone:"},
      {17, fault("silent-nodes", "zone = 'a'\nnames = ['std-1']"), "x.toml:20: faults[0].zone:"},
      {17, fault("silent-nodes", "share = 0"), "x.toml:20: faults[0].share:"},
      {17, fault("silent-nodes", "share = 0.1\nnames = ['std-1']"), "x.toml:20: faults[0].share:"},
      {17, fault("silent-nodes", "size = [1, 1]"), "x.toml:20: faults[0].size:"},
      {17, fault("fast-errors", ""), "x.toml:17: faults[0].size: expected share of their queries"},
      {17, fault("fast-errors", "size = [0.5, 1.5]"), "x.toml:20: faults[0].size:"},
      {17, fault("reload", "for_s = [1, 1]"), "x.toml:20: faults[0].for_s:"},
      {17, fault("discovery-down", "zone = 'a'"), "x.toml:20: faults[0].zone:"},
      {17, fault("zone-cut", "share = 0.5"), "x.toml:20: faults[0].share:"},
      {17, fault("no-such-thing", ""), "x.toml:18: faults[0].kind:"},
      {17, "[[faults]]\nkind = 'reload'\nat_s = [5, 20]", "x.toml:19: faults[0].at_s:"},
      {9, "count = 4\nzone = 'a'\n[[faults]]\nkind = 'nodes-gone'\nat_s = [1, 1]\nzone = 'b'",
       "x.toml:14: faults[0].zone:"},
      {9, "count = 4\n[[faults]]\nkind = 'reload'\nat_s = [1, 1]\nzone = 'c'", "x.toml:13: faults[0].zone:"},
      {4, "zones = ['a']\n[[faults]]\nkind = 'zone-cut'\nat_s = [1, 1]", "x.toml:6: faults[0].kind:"},
      {4, "zones = ['a', 'a']", "x.toml:4: site.zones[1]:"},
      {4, "zones = ['a', 'b c']", "x.toml:4: site.zones[1]:"},
      {6, "count = 1", "x.toml:6: site.balancers.count: expected a balancer in each zone"},
      {6, "count = 1001", "x.toml:6: site.balancers.count:"},
      {8, "kind = 'a/b'", "x.toml:8: site.nodes[0].kind:"},
      {9, "count = 5001", "x.toml:9: site.nodes[0].count:"},
      {9, "count = 3000\n[[site.nodes]]\ncount = 2001", "x.toml:11: site.nodes[1].count:"},
      {9, "count = 4\nzone = 'c'", "x.toml:10: site.nodes[0].zone:"},
      {11, "rate_per_s = 0", "x.toml:11: load.rate_per_s:"},
      {11, "rate_per_s = 2000000", "x.toml:11: load.rate_per_s:"},
      {11, "zone_shares = [1, 1, 1]", "x.toml:11: load.zone_shares:"},
      {11, "zone_shares = [0, 0]", "x.toml:11: load.zone_shares:"},
      {11, "shape = [\n{ at_s = 5, factor = 1 },\n{ at_s = 4, factor = 2 }]",
       "x.toml:13: load.shape[1].at_s:"},
      {11, "shape = [{ at_s = 5, factor = 0 }]", "x.toml:11: load.shape:"},
      {11, "shape = [{ at_s = 21, factor = 1 }]", "x.toml:11: load.shape[0].at_s:"},
      {14, "worth = 0", "x.toml:14: classes[0].worth:"},
      {14, "share = 0", "x.toml:12: classes:"},
      {14, "effect = 'keyed'", "x.toml:12: classes[0].window_ms:"},
      {14, "window_ms = 100", "x.toml:14: classes[0].window_ms:"},
      {14, "aim_ms = 1200", "x.toml:14: classes[0].aim_ms:"},
      {14, "[[classes]]\nname = 'look'", "x.toml:15: classes[1].name:"},
      {13, "name = 'counters'", "x.toml:13: classes[0].name:"},
      {16, "name = 'one'\nshare = 0", "x.toml:15: tenants:"},
      {16, "name = 'one'\n[[tenants]]\nname = 'one'", "x.toml:18: tenants[1].name:"},
      {2, "length_s = 20\nsettle_s = 20", "x.toml:3: settle_s:"},
      {2, "length = 20", "x.toml:2: length: expected a known key, found \"length\" (did you mean"},
      {7, "[site.nodes]", "x.toml:7: site.nodes:"},
  };
  for (const Case& c : cases) {
    const Loaded<Experiment> loaded = ParseWith(c.line, c.text);
    EXPECT_EQ(loaded.errors.size(), 1u) << c.text << "\n" << Errors(loaded);
    EXPECT_EQ(Errors(loaded).substr(0, c.error.size()), c.error) << c.text << "\n" << Errors(loaded);
  }
}

TEST(Experiments, ParseWithoutErrorsAndHaveSensibleSizes) {
  std::set<uint64_t> seeds;
  std::set<FaultKind> kinds;
  for (const auto& entry : std::filesystem::recursive_directory_iterator(EXPERIMENTS)) {
    if (entry.is_directory()) continue;
    if (entry.path().parent_path().filename() == "members") continue;  // checked in tests/cluster
    const bool fleet = entry.path().parent_path().filename() == "fleets";
    SCOPED_TRACE(entry.path().filename());
    const Experiment e = Shipped(entry.path().stem());
    EXPECT_EQ(e.name, entry.path().stem());
    EXPECT_FALSE(e.about.empty());
    EXPECT_TRUE(seeds.insert(e.seed).second);
    EXPECT_LE(e.length_s, fleet ? 120 : 60);
    if (e.name == "twenty-thousand")
      continue;  // measures the lab itself, so the nodes must not be the bottleneck
    const double low = e.name == "overload" ? 1.2 : fleet ? 0.05 : 0.3;
    const double high = e.name == "overload" ? 1.6 : 0.7;
    EXPECT_TRUE(Utilisation(e) >= low && Utilisation(e) <= high) << Utilisation(e);
    const Script script = GenerateScript(e, e.seed);
    EXPECT_EQ(script.actions.size(), e.faults.size());
    for (const Action& action : script.actions) kinds.insert(action.kind);
  }
  EXPECT_GE(seeds.size(), 9u);
  EXPECT_EQ(kinds.size(), AllFaults().size());  // each kind occurs in an experiment
}

TEST(PlatformJson, SettingsMatchTheExperiment) {
  const Experiment e = Shipped("rolling-deploy");
  const Script script = GenerateScript(e, e.seed);
  const meadowslip::Settings s = meadowslip::ParseSettings(FlattenSettings(SettingsJson(e, script, 1)));
  EXPECT_EQ(s.nodes, 3);
  EXPECT_EQ(s.node_index, 1);
  EXPECT_EQ(s.own_zone, 1);
  EXPECT_EQ(s.zones, e.site.zones);
  EXPECT_EQ(s.kinds, (std::vector<std::string>{"std", "slow"}));
  ASSERT_EQ(s.classes.size(), 3u);
  for (size_t i = 0; i < 3; ++i) {
    EXPECT_EQ(s.classes[i].name, e.classes[i].name);
    EXPECT_EQ(s.classes[i].idempotency, e.classes[i].effect);
    EXPECT_EQ(s.classes[i].worth, e.classes[i].worth);
  }
  EXPECT_EQ(s.classes[2].dedup_window, 1200 * kMs);
  EXPECT_EQ(s.classes[2].aim, 300 * kMs);
  EXPECT_EQ(s.classes[2].deadline, 600 * kMs);
  ASSERT_EQ(s.tenants.size(), 2u);
  EXPECT_EQ(s.tenants[0].name, "wagon-north");
  EXPECT_EQ(s.tenants[0].quota_per_s, e.tenants[0].quota_per_s);
  EXPECT_NEAR(s.tenants[1].share, 0.32, 1e-12);
  EXPECT_EQ(s.over_share_worth, e.over_share_worth);
  EXPECT_TRUE(s.may_cancel && s.second_copies && s.retry_after && s.must_subscribe && s.advertised_sizes);
  EXPECT_FALSE(s.may_probe);
  EXPECT_EQ(s.max_retry_after, 1000 * kMs);
  EXPECT_EQ(s.max_attempts, 5);
  EXPECT_EQ(s.answer_slack, 20 * kMs);
  EXPECT_EQ(s.drain_grace, 750 * kMs);
  EXPECT_EQ(s.must_ask_within, 10 * kSecond);
  EXPECT_EQ(s.overload_factor, 4);
  EXPECT_EQ(s.overload_window, 1500 * kMs);
  EXPECT_EQ(s.start_capacity, 0.13);
  EXPECT_EQ(s.warm_after, 23 * kSecond);
  EXPECT_EQ(s.cross_zone_price, 0.025);
  EXPECT_EQ(s.keepalive, 10 * kSecond);
  EXPECT_EQ(s.connect_timeout, 150 * kMs);
}

class OneFile : public Files {
 public:
  explicit OneFile(std::string text) : text_(std::move(text)) {}
  std::optional<std::string> Read(const std::string&) override { return text_; }
  std::unique_ptr<Writable> Write(const std::string&, Open, std::string&) override { return nullptr; }
  bool Replace(const std::string&, std::string_view, std::string&) override { return false; }
  bool MakeFolder(const std::string&) override { return false; }
  bool IsWritableFolder(const std::string&, std::string&) override { return false; }
  std::vector<std::string> List(const std::string&) override { return {}; }
  bool Remove(const std::string&) override { return false; }

 private:
  std::string text_;
};

TEST(PlatformJson, ConfigurationStartsABalancer) {
  const Experiment e = Shipped("rolling-deploy");
  const Script script = GenerateScript(e, e.seed);
  BalancerStart start{"127.0.0.1:8001", "127.0.0.1:8500", 0xab, {.version = 7, .nodes = {}}};
  using meadowslip::BackendState;
  start.known.nodes = {{0, "127.0.0.1:9001", BackendState::kReady, 0},
                       {11, "127.0.0.1:9002", BackendState::kDraining, 1234567 * kMs},
                       {12, "127.0.0.1:9003", BackendState::kReady, 0}};  // the first spare
  OneFile file(ConfigJson(e, script, 2, start));
  const auto environment = [](const char* variable) {
    return std::string_view(variable) == "PROXY_CONFIG" ? "config.json" : nullptr;
  };
  const Config config = LoadConfig(environment, file);
  EXPECT_EQ(config.name, "b3");
  EXPECT_EQ(config.listen.text, "127.0.0.1:8001");
  EXPECT_EQ(config.discovery.text, "127.0.0.1:8500");
  EXPECT_EQ(config.seed, 0xabu);
  EXPECT_EQ(config.sockets, 1024);
  EXPECT_EQ(config.settings.node_index, 2);
  EXPECT_EQ(config.initial_hosts.version, 7u);
  EXPECT_TRUE(config.initial_hosts.full);
  ASSERT_EQ(config.initial_hosts.hosts.size(), 3u);
  EXPECT_EQ(config.initial_hosts.hosts[0].name, "std-1");
  EXPECT_EQ(config.initial_hosts.hosts[1].name, "slow-5");
  EXPECT_EQ(config.initial_hosts.hosts[1].address.text, "127.0.0.1:9002");
  EXPECT_EQ(config.initial_hosts.hosts[1].entry.state, BackendState::kDraining);
  EXPECT_EQ(config.initial_hosts.hosts[1].entry.started_at, 1234567 * kMs);
  EXPECT_EQ(config.initial_hosts.hosts[1].entry.zone, script.nodes[11].zone);
  EXPECT_EQ(config.initial_hosts.hosts[1].entry.kind, 1);
  EXPECT_FLOAT_EQ(static_cast<float>(config.initial_hosts.hosts[1].entry.size),
                  static_cast<float>(script.nodes[11].weight));
  EXPECT_EQ(config.initial_hosts.hosts[2].name, script.spares[0].name);
}

}  // namespace
}  // namespace burlfall::lab
