// The result of a run: the run checker produces it, result.json stores it, comparisons and reports read it.
// Plain data. One list in result.cpp has the name, unit and meaning of each field; the writer, the reader and
// docs/lab-result.md are made from it. Fields here are named as in result.json.
#ifndef BURLFALL_LAB_JUDGE_RESULT_H_
#define BURLFALL_LAB_JUDGE_RESULT_H_

#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "io/time.h"

namespace burlfall::lab {

constexpr int kResultSchema = 2;

enum class Rule {
  kAnswerLost,
  kAnswerLate,
  kAnswerForeign,
  kAnsweredTwice,
  kSentAfterEnd,
  kEffectRepeated,
  kSentAgain,
  kRefusalUntrue,
  kCopies,
  kDraining,
  kColdNode,
  kTooManyAttempts,
  kCrashed,
  kUnlisted,
  kMadeUp,
};
constexpr int kRules = static_cast<int>(Rule::kMadeUp) + 1;
std::string_view NameOf(Rule rule);  // "answer_lost"
std::string_view TextOf(Rule rule);  // what the rule requires, in one sentence

// One violation of a rule.
struct Finding {
  std::string query;  // trace of the query's first try
  std::string trace;  // trace of the try concerned
  std::string balancer;
  std::string node;
  double at_s = 0;
  std::string why;
  std::vector<std::string> story;
};

struct RuleResult {
  std::string rule;
  std::string asks;
  uint64_t broken = 0;
  std::vector<Finding> findings;
};

// Numbers of queries by outcome; each query counts once.
struct Outcomes {
  uint64_t asked = 0;
  uint64_t in_time = 0;
  uint64_t late = 0;
  uint64_t refused = 0;
  uint64_t failed = 0;
  uint64_t lost = 0;
  uint64_t left = 0;
  uint64_t unreached = 0;
};

// Numbers of tries by how they ended.
struct Ends {
  uint64_t served = 0;
  uint64_t refused = 0;
  uint64_t failed = 0;
  uint64_t broken = 0;
  uint64_t lost = 0;
  uint64_t unreached = 0;
  uint64_t left = 0;
  uint64_t left_unanswered = 0;
  uint64_t untold = 0;
};

// One bin of the latency histogram.
struct Bin {
  int number = 0;
  uint64_t count = 0;
};

// Latency of the served queries, from when their first try was due.
struct Latency {
  uint64_t served = 0;
  double mean_ms = 0;
  double p50_ms = 0;
  double p90_ms = 0;
  double p95_ms = 0;
  double p99_ms = 0;
  double p999_ms = 0;
  double most_ms = 0;
  std::vector<Bin> bins;
};

// Worth served in time, as a share of the worth asked.
struct Service {
  double combined = 0;
  double whole = 0;
  double worst_ten_seconds = 0;
  double worst_ten_seconds_at_s = 0;
  double worst_class = 0;
  std::string worst_class_name;
  double worst_tenant = 0;
  std::string worst_tenant_name;
};

// Result of a class, or of a tenant within its share.
struct GroupResult {
  std::string name;
  double service = 0;
  double worth_asked = 0;
  double worth_in_time = 0;
  Outcomes outcomes;
  Latency latency;
};

// What serving the queries cost.
struct Effort {
  uint64_t attempts = 0;
  double attempts_per_query = 0;
  double tries_per_query = 0;
  uint64_t copies = 0;
  uint64_t cross_zone = 0;
  uint64_t handshakes = 0;
  double work_begun_ms = 0;
  double work_wasted_share = 0;
  double late_fail_share = 0;
  uint64_t held_back = 0;
};

struct NodeResult {
  std::string name;
  int zone = 0;
  uint64_t attempts = 0;
  uint64_t answered = 0;
  uint64_t errors = 0;
  uint64_t turned_away = 0;
  uint64_t dropped = 0;
  uint64_t handshakes = 0;
  int starts = 0;
  int fell = 0;
};

struct BalancerResult {
  std::string name;
  int zone = 0;
  uint64_t taken = 0;
  uint64_t attempts = 0;
  int planned_ends = 0;
  int kills = 0;
  int crashes = 0;
};

struct FaultResult {
  std::string name;
  int action = 0;
  double began_s = 0;
  double ended_s = 0;
  std::vector<int> targets;
};

// Accuracy of the lab itself.
struct LabResult {
  uint64_t sends = 0;
  uint64_t late_sends = 0;
  double late_share = 0;
  double late_p99_ms = 0;
  double late_most_ms = 0;
  bool too_late = false;
  uint64_t strays = 0;
  uint64_t site_repeats = 0;
};

// One value per second from the start of the run.
struct Series {
  std::vector<uint64_t> asked;
  std::vector<uint64_t> in_time;
  std::vector<uint64_t> late;
  std::vector<uint64_t> refused;
  std::vector<uint64_t> failed;
  std::vector<uint64_t> lost;
  std::vector<uint64_t> left;
  std::vector<uint64_t> unreached;
  std::vector<double> service;
  std::vector<double> p50_ms;
  std::vector<double> p99_ms;
  std::vector<uint64_t> sends;
  std::vector<std::vector<uint64_t>> attempts_by_node;
  std::vector<std::vector<uint64_t>> in_flight_by_node;
};

// One process of a balancer.
struct ProcessResult {
  std::string balancer;
  double began_s = 0;
  double served_s = -1;
  double listed_s = -1;
  uint64_t calls = 0;
};

// Load of all balancers together on the list service and on the nodes.
struct FleetResult {
  uint64_t lives = 0;
  uint64_t listed = 0;
  double listed_within_s = 0;
  double calls_each = 0;
  uint64_t most_calls_each = 0;
  uint64_t most_calls_per_s = 0;
  uint64_t most_handshakes = 0;
  uint64_t fell = 0;
  std::vector<std::string> missed;
  std::vector<ProcessResult> each;
  std::vector<uint64_t> list_calls;
  std::vector<uint64_t> watch_calls;
  std::vector<uint64_t> answers;
  std::vector<uint64_t> refusals;
  std::vector<uint64_t> without_list;
  std::vector<uint64_t> busiest_handshakes;
};

// The whole result of a run.
struct Verdict {
  int schema = kResultSchema;
  std::string experiment;
  std::string subject;
  uint64_t seed = 0;
  int64_t begins_at_us = 0;
  double length_s = 0;
  double settle_s = 0;
  std::string verdict;
  bool rules_kept = false;
  std::vector<RuleResult> rules;
  Service service;
  Outcomes outcomes;
  Ends ends;
  Latency latency;
  std::vector<GroupResult> classes;
  std::vector<GroupResult> tenants;
  Effort effort;
  std::vector<NodeResult> nodes;
  std::vector<BalancerResult> balancers;
  std::vector<FaultResult> faults;
  LabResult lab;
  Series series;
  FleetResult fleet;
};

nlohmann::ordered_json ToJson(const Verdict& verdict);
// Returns false if a field is missing or has another type, or if the schema differs; `error` then names the
// field by its path. Unknown fields are ignored.
bool FromJson(const nlohmann::ordered_json& json, Verdict& verdict, std::string& error);
std::string ResultReference();  // the text of docs/lab-result.md

}  // namespace burlfall::lab

#endif  // BURLFALL_LAB_JUDGE_RESULT_H_
