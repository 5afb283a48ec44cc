// A sample kind of file with a key of every type, for the tests, the fuzzer and the sample tool.
#ifndef BURLFALL_TESTS_CONFIG_SAMPLE_H_
#define BURLFALL_TESTS_CONFIG_SAMPLE_H_

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "config/schema.h"

namespace burlfall::sample {

enum class Order { kFair, kFirstCome };

struct Fault {
  int64_t at_ms = 0;
  std::vector<Order> orders = {};
};
struct Node {
  std::string name = {};
  double speed = 1.0;
  std::vector<Fault> faults = {};
};
struct Queue {
  uint16_t limit = 100;
  bool strict = false;
};
struct Site {
  int balancers = 3;
  uint64_t seed = 1;
  Range<int64_t> delay_us = {200, 400};
  Range<double> load = {0.5, 1};
  std::vector<Range<double>> steps = {};
  Order order = Order::kFair;
  std::optional<double> loss = {};
  std::string title = "a|b";
  std::vector<int8_t> weights = {1, 2};
  std::vector<std::string> tags = {};
  Queue queue = {.limit = 50};
  std::optional<Queue> spare = {};
  std::vector<Node> nodes = {};
};

inline Schema<Queue> QueueSchema() {
  Schema<Queue> s("a queue");
  s.Key("limit", &Queue::limit, "how many may wait").AtLeast(1);
  s.Key("strict", &Queue::strict, "whether none may pass another");
  return s;
}

inline Schema<Node> NodeSchema() {
  Schema<Fault> fault("what goes wrong with a node");
  fault.Key("at_ms", &Fault::at_ms, "when").Unit("ms").Required();
  fault.Words("orders", &Fault::orders, {{"fair", Order::kFair}, {"first-come", Order::kFirstCome}},
              "whom it hits");
  Schema<Node> s("a node of the site");
  s.Key("name", &Node::name, "how reports call the node").Required().Length(1, 32);
  s.Key("speed", &Node::speed, "how fast it works; 1 is a job a second").Between(0.1, 100);
  s.Tables("faults", &Node::faults, fault, "what goes wrong");
  return s;
}

inline Schema<Site> SiteSchema() {
  Schema<Site> s("a site of the laboratory");
  s.Key("balancers", &Site::balancers, "balancers that the site starts").Between(1, 64);
  s.Key("seed", &Site::seed, "of all random draws");
  s.Key("delay_us", &Site::delay_us, "what a packet takes, drawn evenly").Unit("us").Between(0, 1'000'000);
  s.Key("load", &Site::load, "of the nodes, in shares of what they can").Above(0);
  s.Key("steps", &Site::steps, "loads that follow").Length(0, 3);
  s.Words("order", &Site::order, {{"fair", Order::kFair}, {"first-come", Order::kFirstCome}}, "who is next");
  s.Key("loss", &Site::loss, "the share of packets that is lost").Between(0, 1);
  s.Key("title", &Site::title, "of the report").Length(0, 40);
  s.Key("weights", &Site::weights, "of the balancers").Length(1, 4);
  s.Key("tags", &Site::tags, "by which reports are found");
  s.Table("queue", &Site::queue, QueueSchema(), "where queries wait");
  s.Table("spare", &Site::spare, QueueSchema(), "a second queue");
  s.Tables("nodes", &Site::nodes, NodeSchema(), "the nodes behind the balancers").Required().Length(1, 3);
  s.Check([](const Site& site, Findings& findings) {
    std::set<std::string> names;
    for (size_t i = 0; i < site.nodes.size(); i++) {
      if (names.insert(site.nodes[i].name).second) continue;
      const std::string key = "nodes[" + std::to_string(i) + "].name";
      findings.Add(key, "a name of its own", Quoted(site.nodes[i].name, 60));
    }
    if (site.queue.strict && !findings.Given("queue.limit")) {
      findings.Add("queue.limit", "a limit, for the queue is strict", "nothing");
    }
  });
  return s;
}

}  // namespace burlfall::sample

#endif  // BURLFALL_TESTS_CONFIG_SAMPLE_H_
