#include "lab/node_command.h"

#include <signal.h>

#include <cstdio>
#include <limits>
#include <memory>
#include <string>
#include <system_error>
#include <vector>

#include "io/real_machine.h"
#include "lab/site/node.h"
#include "lab/witness/null_observer.h"

namespace burlfall::lab {
namespace {

constexpr int kUnusable = 2;  // an address that can't be had

struct Words {
  std::string address = "127.0.0.1:0";
  int cores = 1000;
  double speed = 1;
  size_t body_bytes = 0;
};

int Serve(const Words& words) {
  const std::optional<Address> at = ReadAddress(words.address);
  if (!at) throw CLI::ValidationError("ADDRESS", "an IP address and a port, such as 127.0.0.1:9000");
  RealMachine machine(true);
  ProcessSignals signals(machine.scheduler(), {SIGINT, SIGTERM});
  NullObserver witness;
  const std::vector<ClassSpec> classes;
  Deduplicator repeats(classes);
  NodeSite site{.machine = machine, .witness = witness, .repeats = repeats, .classes = classes};
  site.body_bytes = words.body_bytes;
  NodeGroup group;
  group.cores = words.cores;
  NodePlan plan;
  plan.name = "bare";
  plan.speed = words.speed;
  plan.slots = group.cores;
  plan.queue = plan.links = std::numeric_limits<int>::max() / 2;
  plan.handshake = 0;
  Node node(site, 0, plan, group, {*at}, machine.Entropy());
  node.Start(false);
  const auto ends = [&]() -> Task<> {
    while (signals.Take() == 0) co_await signals.Wait();
    machine.scheduler().Stop();
  };
  Task<> ending = ends();
  ending.Start();
  std::printf("serves at %s\n", node.At(0).text.c_str());
  std::fflush(stdout);
  machine.scheduler().Run();
  return 0;
}

}  // namespace

void AddNode(CLI::App& lab, int& code) {
  CLI::App* node = lab.add_subcommand(
      "node",
      "A stand-in node alone, until a signal ends it. Each query does as much work as its X-Size-Hint\n"
      "says, in microseconds; without one, none.");
  auto words = std::make_shared<Words>();
  node->add_option("ADDRESS", words->address, "where it listens")->capture_default_str();
  node->add_option("--cores", words->cores, "of the model: queries in work at a time")
      ->check(CLI::Range(1, 1000000))
      ->capture_default_str();
  node->add_option("--speed", words->speed, "of a core, against a standard one")
      ->check(CLI::Range(0.001, 1000.0))
      ->capture_default_str();
  node->add_option("--body-bytes", words->body_bytes, "that answers are padded to")
      ->check(CLI::Range(0, 65536));
  node->callback([words, &code] {
    try {
      code = Serve(*words);
    } catch (const std::system_error& e) {
      std::fprintf(stderr, "burlfall lab: %s: %s\n", words->address.c_str(), e.what());
      code = kUnusable;
    }
  });
}

}  // namespace burlfall::lab
