#include "lab/council_command.h"

#include <algorithm>
#include <cstdio>
#include <exception>
#include <fstream>
#include <iostream>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "lab/council/coordinator_run.h"
#include "lab/source.h"

namespace burlfall::lab {
namespace {

constexpr int kWrong = 1;
constexpr int kUnusable = 2;

struct Words {
  CoordinatorRunOptions options;
  size_t rounds = kCoordinatorFaultCount;
  std::vector<std::string> faults;
  bool said = false;
  std::string out;
};

// The words behind --fault; false where one is none.
bool ReadFaults(const std::vector<std::string>& names, std::vector<CoordinatorFault>& into) {
  for (const std::string& name : names) {
    int i = 0;
    while (i < kCoordinatorFaultCount && name != NameOf(static_cast<CoordinatorFault>(i))) ++i;
    if (i == kCoordinatorFaultCount) {
      Complain("no fault " + name);
      return false;
    }
    into.push_back(static_cast<CoordinatorFault>(i));
  }
  return true;
}

nlohmann::ordered_json Spread(std::vector<double> all) {
  std::sort(all.begin(), all.end());
  if (all.empty()) return {{"count", 0}};
  return {{"count", all.size()}, {"median", all[all.size() / 2]}, {"worst", all.back()}};
}

int Run(Words words) {
  std::vector<CoordinatorFault> one;
  if (!ReadFaults(words.faults, one)) return kUnusable;
  CoordinatorRunOptions& options = words.options;
  options.members = std::max(options.members, options.voters);
  if (one.empty()) {
    options.faults = RandomFaults(options.seed, words.rounds);
  } else {
    for (size_t i = 0; i < words.rounds; ++i) options.faults.push_back(one[i % one.size()]);
  }
  if (words.said) options.log = [](const std::string& line) { std::fprintf(stderr, "%s\n", line.c_str()); };
  const CoordinatorRunResult run = RunCoordinators(options);
  nlohmann::ordered_json result = {{"voters", options.voters},
                                   {"members", options.members},
                                   {"seed", options.seed},
                                   {"whole", run.complete},
                                   {"why_not", run.failure},
                                   {"broken", run.violation_count},
                                   {"first_broken", run.violations},
                                   {"faults", run.faults},
                                   {"epochs_obeyed", run.epochs_accepted},
                                   {"acts_refused", run.fenced},
                                   {"owners_found_out", run.leases_lost},
                                   {"owner_after_s", Spread(run.owner_after_s)},
                                   {"leader_after_s", Spread(run.leader_after_s)}};
  if (options.proposals_for_s > 0) result["proposals_per_s"] = run.proposals_per_s;
  std::cout << result.dump(2) << "\n";
  if (!words.out.empty()) std::ofstream(words.out) << result.dump(2) << "\n";
  if (!run.complete) return kUnusable;
  return run.violation_count == 0 ? 0 : kWrong;
}

}  // namespace

void AddCouncil(CLI::App& lab, int& code) {
  CLI::App* council = lab.add_subcommand(
      "council", "Councils of real processes, with faults on them and on the paths between.");
  council->require_subcommand(1);
  CLI::App* run = council->add_subcommand(
      "run",
      "Plays faults that a seed draws, and says whether what the members told holds.\n"
      "Ends with 1 where a promise was broken, with 2 where there is no verdict.");
  auto words = std::make_shared<Words>();
  run->add_option("--voters", words->options.voters, "3, 5 or 7")->check(CLI::IsMember({3, 5, 7}));
  run->add_option("--members", words->options.members, "voters among them")->check(CLI::Range(3, 120));
  run->add_option("--rounds", words->rounds, "faults, one after the other")->check(CLI::Range(0, 100000));
  run->add_option("--seed", words->options.seed, "draws their order");
  run->add_option("--fault", words->faults, "only these, in turn; several may be given");
  run->add_option("--proposals-for", words->options.proposals_for_s,
                  "seconds: how many proposals a second are agreed, one after the other");
  run->add_option("--program", words->options.program,
                  "a burlfall to play, in the place of the one beside this program");
  run->add_flag("--said", words->said, "prints what members tell");
  run->add_flag("--keep", words->options.keep_folder, "keeps the processes' folder");
  run->add_option("--out", words->out, "a file for the result as JSON");
  run->callback([words, &code] {
    try {
      code = Run(*words);
    } catch (const std::exception& e) {
      Complain(e.what());
      code = kUnusable;
    }
  });
}

}  // namespace burlfall::lab
