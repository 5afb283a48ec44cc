#include "lab/members_command.h"

#include <cstdint>
#include <cstdio>
#include <exception>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "lab/members/real_members.h"
#include "lab/members/virtual_members.h"
#include "lab/shipped.h"
#include "lab/source.h"

namespace burlfall::lab {
namespace {

constexpr int kWrong = 1;
constexpr int kUnusable = 2;

struct Words {
  std::vector<std::string> files;
  std::optional<uint64_t> seed;
  uint64_t seeds = 1;
  bool virtual_clock = false;
  std::string without;
  std::optional<int> members;
  bool said = false;
  bool keep = false;
  bool json = false;
  std::string program;
  std::string out;
};

std::optional<Scenario> ReadScenario(const std::string& word) {
  const std::optional<Source> source = FindSource(word, "scenario", "members list");
  if (!source) return {};
  Loaded<Scenario> loaded = ScenarioSchema().Parse(source->name, source->text);
  for (const ConfigError& error : loaded.errors) Complain(error.Line());
  return std::move(loaded.value);
}

int List() {
  for (const Shipped& one : AllShipped()) {
    if (one.kind != Shipped::Kind::kMembers) continue;
    const std::optional<Scenario> scenario = ReadScenario(std::string(one.name));
    if (!scenario) return kWrong;
    std::printf("%-22s %3d members, %5.0f s  %s\n", std::string(one.name).c_str(), scenario->members,
                scenario->length_s, scenario->title.c_str());
  }
  return 0;
}

// A mechanism taken away, to see what it is for. False where there is none of that name.
bool TakeAway(const std::string& what, cluster::Options& rules) {
  const std::pair<const char*, bool cluster::Options::*> kAll[] = {
      {"own-pauses", &cluster::Options::detect_own_pauses},
      {"two-ears", &cluster::Options::require_second_observer},
      {"indirect", &cluster::Options::indirect_pings},
      {"refutes", &cluster::Options::refutation},
      {"exchanges", &cluster::Options::full_sync},
      {"incarnations", &cluster::Options::incarnations},
      {"suspicion", &cluster::Options::suspicion}};
  for (const auto& [name, member] : kAll) {
    if (what != name) continue;
    rules.*member = false;
    return true;
  }
  return what.empty();
}

nlohmann::ordered_json JsonOf(const MemberSpread& spread) {
  return {
      {"count", spread.count}, {"median_s", spread.median}, {"p90_s", spread.p90}, {"worst_s", spread.worst}};
}

nlohmann::ordered_json JsonOf(const MemberVerdict& verdict) {
  return {{"broken", verdict.broken_count},       {"broken_lines", verdict.broken},
          {"known", JsonOf(verdict.known)},       {"first_known", JsonOf(verdict.first_known)},
          {"joined", JsonOf(verdict.joined)},     {"cut_off_known", JsonOf(verdict.out)},
          {"false_deaths", verdict.false_deaths}, {"false_for", JsonOf(verdict.false_for)},
          {"suspicions", verdict.suspicions},     {"equal_after_s", verdict.equal_after_s}};
}

void Print(const char* what, const MemberSpread& spread) {
  if (spread.count == 0) return;
  std::printf("  %-34s %6zu times, median %6.2f s, nine of ten in %6.2f s, the last %6.2f s\n", what,
              spread.count, spread.median, spread.p90, spread.worst);
}

void Print(const MemberVerdict& verdict) {
  Print("a death, known to the first", verdict.first_known);
  Print("a death, known to each", verdict.known);
  Print("a start, known to each", verdict.joined);
  Print("cut off whole, known to each", verdict.out);
  std::printf("  %llu false deaths, %llu suspicions\n", static_cast<unsigned long long>(verdict.false_deaths),
              static_cast<unsigned long long>(verdict.suspicions));
  Print("a false death lasted", verdict.false_for);
  if (verdict.equal_after_s >= 0) {
    std::printf("  all views equal and right %.2f s after the last fault\n", verdict.equal_after_s);
  }
  for (const std::string& line : verdict.broken) std::printf("  BROKEN %s\n", line.c_str());
  if (verdict.broken_count > verdict.broken.size()) {
    std::printf("  BROKEN and %zu more\n", verdict.broken_count - verdict.broken.size());
  }
}

int RunVirtual(const Words& words, const Scenario& scenario, const std::string& name,
               nlohmann::ordered_json& all) {
  cluster::Options rules;
  if (!TakeAway(words.without, rules)) {
    Complain("--without: own-pauses, two-ears, indirect, refutes, exchanges, incarnations or suspicion");
    return kUnusable;
  }
  const uint64_t from = words.seed.value_or(scenario.seed);
  uint64_t broken = 0;
  for (uint64_t seed = from; seed < from + words.seeds; ++seed) {
    VirtualMembers members(scenario, seed, rules);
    if (words.said) {
      members.OnNotice([&](Micros at, int observer, const cluster::Notice& notice) {
        std::printf("%9.3f %s: %s %d %s\n", static_cast<double>(at) / 1e6,
                    members.plan().names[static_cast<size_t>(observer)].c_str(), notice.who.c_str(),
                    static_cast<int>(notice.what), notice.by.c_str());
      });
    }
    const MemberVerdict verdict = members.Play();
    broken += verdict.broken_count > 0 ? 1 : 0;
    const VirtualMembers::Costs costs = members.costs();
    auto json = JsonOf(verdict);
    json["scenario"] = name;
    json["seed"] = seed;
    json["datagrams_per_s"] = costs.datagrams_per_s;
    json["bytes_per_s"] = costs.bytes_per_s;
    all.push_back(std::move(json));
    if (words.json || (words.seeds > 1 && verdict.broken_count == 0)) continue;
    std::printf("%s, seed %llu, on the virtual clock: %s\n", name.c_str(),
                static_cast<unsigned long long>(seed), verdict.broken_count == 0 ? "kept" : "BROKEN");
    Print(verdict);
    std::printf("  a member sends %.1f datagrams and about %.0f bytes a second\n", costs.datagrams_per_s,
                costs.bytes_per_s);
  }
  if (words.seeds > 1 && !words.json) {
    std::printf("%s: %llu of %llu seeds broken\n", name.c_str(), static_cast<unsigned long long>(broken),
                static_cast<unsigned long long>(words.seeds));
  }
  return broken > 0 ? kWrong : 0;
}

int RunReal(const Words& words, const Scenario& scenario, const std::string& name,
            nlohmann::ordered_json& all) {
  MembersOptions options;
  options.program = words.program;
  options.keep_folder = words.keep;
  if (words.said) options.tells = [](const std::string& line) { std::cout << line << "\n"; };
  const uint64_t seed = words.seed.value_or(scenario.seed);
  const MembersPlayed played = PlayMembers(scenario, seed, options);
  auto json = JsonOf(played.verdict);
  json["scenario"] = name;
  json["seed"] = seed;
  json["members"] = scenario.members;
  json["whole"] = played.whole;
  json["why_not"] = played.why_not;
  json["late_share"] = played.late_share;
  json["datagrams_per_s"] = played.datagrams_per_s;
  json["bytes_per_s"] = played.bytes_per_s;
  json["most_bytes_per_s"] = played.most_bytes_per_s;
  json["cpu_percent"] = played.cpu_percent;
  json["rss_mb"] = played.rss_mb;
  all.push_back(std::move(json));
  const bool kept = played.whole && played.verdict.broken_count == 0;
  if (!words.json) {
    std::printf("%s, seed %llu, %d real processes: %s\n", name.c_str(), static_cast<unsigned long long>(seed),
                scenario.members,
                !played.whole ? "no verdict"
                : kept        ? "kept"
                              : "BROKEN");
    if (!played.whole) std::printf("  %s\n", played.why_not.c_str());
    Print(played.verdict);
    std::printf(
        "  a member sends %.1f datagrams and %.0f bytes a second (%.0f at most), takes %.2f%% of a core and "
        "%.1f MB; %.2f%% of the lab's timers were late\n",
        played.datagrams_per_s, played.bytes_per_s, played.most_bytes_per_s, played.cpu_percent,
        played.rss_mb, 100 * played.late_share);
    for (const std::string& note : played.notes) std::printf("  %s\n", note.c_str());
  }
  return kept ? 0 : played.whole ? kWrong : kUnusable;
}

int Run(const Words& words) {
  int code = 0;
  auto all = nlohmann::ordered_json::array();
  for (const std::string& file : words.files) {
    std::optional<Scenario> scenario = ReadScenario(file);
    if (!scenario) return kUnusable;
    if (words.members) scenario->members = *words.members;
    const std::string name = std::filesystem::path(file).stem().string();
    const int one =
        words.virtual_clock ? RunVirtual(words, *scenario, name, all) : RunReal(words, *scenario, name, all);
    code = std::max(code, one);
  }
  if (words.json) std::cout << all.dump(2) << "\n";
  if (!words.out.empty()) std::ofstream(words.out) << all.dump(2) << "\n";
  return code;
}

}  // namespace

void AddMembers(CLI::App& lab, int& code) {
  CLI::App* members = lab.add_subcommand(
      "members", "Clusters of balancers that know one another: real processes, or minds on a virtual clock.");
  members->require_subcommand(1);
  members->add_subcommand("list", "The scenarios that ship with this program.")->callback([&code] {
    code = List();
  });
  CLI::App* run =
      members->add_subcommand("run",
                              "Plays scenarios, and says whether what the members saw was true.\n"
                              "Ends with 1 where a goal was missed, with 2 where there is no verdict.");
  auto words = std::make_shared<Words>();
  run->add_option("FILE", words->files, "files, or names of `list`")->required();
  run->add_option("--seed", words->seed, "in the place of the scenario's");
  run->add_option("--seeds", words->seeds, "how many, from that one on; on the virtual clock")
      ->check(CLI::Range(1, 1000000));
  run->add_option("--members", words->members, "in the place of the scenario's")->check(CLI::Range(2, 2000));
  run->add_flag("--virtual", words->virtual_clock, "minds on a virtual clock, in the place of processes");
  run->add_option("--without", words->without, "with --virtual: a mechanism that is taken away");
  run->add_flag("--said", words->said, "prints what members say that they see");
  run->add_option("--program", words->program,
                  "a burlfall to play, in the place of the one beside this program");
  run->add_flag("--keep", words->keep, "keeps the processes' folder");
  run->add_flag("--json", words->json, "the results as JSON, and nothing else");
  run->add_option("--out", words->out, "a file for the results as JSON");
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
