#include "lab/commands.h"

#include <unistd.h>

#include <algorithm>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

#include "config/start_settings.h"
#include "io/process.h"
#include "io/real_files.h"
#include "lab/council_command.h"
#include "lab/judge/compare.h"
#include "lab/judge/history_file.h"
#include "lab/members_command.h"
#include "lab/report/report.h"
#include "lab/report/table.h"
#include "lab/run/play.h"
#include "lab/script/experiment_file.h"
#include "lab/script/script.h"
#include "lab/shipped.h"
#include "lab/source.h"
#include "lab/store.h"
#include "lab/summary.h"

namespace burlfall::lab {
namespace {

namespace fs = std::filesystem;

constexpr int kWrong = 1;
constexpr int kUnusable = 2;

std::optional<Experiment> Read(const Source& source) {
  Loaded<Experiment> loaded = ParseExperiment(source.name, source.text);
  for (const auto& error : loaded.errors) Complain(error.Line());
  return loaded.errors.empty() ? std::move(loaded.value) : std::nullopt;
}

// ---- list, check -----------------------------------------------------------------------------------------

int List(bool json, bool fleets) {
  auto all = nlohmann::ordered_json::array();
  for (const Shipped& one : AllShipped()) {
    if (one.kind != (fleets ? Shipped::Kind::kFleet : Shipped::Kind::kExperiment)) continue;
    const std::optional<Experiment> e = Read({std::string(one.name) + ".toml", std::string(one.text)});
    if (!e) return kWrong;
    int nodes = 0;
    for (const NodeGroup& group : e->site.nodes) nodes += group.count;
    if (json) {
      all.push_back({{"name", one.name},
                     {"title", e->title},
                     {"balancers", e->site.balancers.count},
                     {"nodes", nodes},
                     {"rate_per_s", e->load.rate_per_s},
                     {"length_s", e->length_s},
                     {"faults", e->faults.size()}});
    } else {
      std::printf("%-18s %3d balancers, %3d nodes, %5.0f/s, %3.0f s  %s\n", std::string(one.name).c_str(),
                  e->site.balancers.count, nodes, e->load.rate_per_s, e->length_s, e->title.c_str());
    }
  }
  if (json) std::cout << all.dump(2) << "\n";
  return 0;
}

// What a seed draws, a line for each node, fault and query: two that are the same byte for byte ask the same.
void PrintScript(const Experiment& experiment, std::optional<uint64_t> seed) {
  std::cout << Describe(experiment, GenerateScript(experiment, seed.value_or(experiment.seed)));
}

int Check(const std::vector<std::string>& files, bool script, std::optional<uint64_t> seed) {
  int code = 0;
  for (const std::string& file : files) {
    const std::optional<Source> source = FindSource(file, "experiment", "list");
    const std::optional<Experiment> experiment = source ? Read(*source) : std::nullopt;
    if (!experiment) {
      code = kUnusable;
      continue;
    }
    if (script) {
      PrintScript(*experiment, seed);
      continue;
    }
    std::printf("%s: well formed; %.0f%% of what its nodes can do\n", source->name.c_str(),
                100 * Utilisation(*experiment));
  }
  return code;
}

// ---- run -------------------------------------------------------------------------------------------------

struct RunWords {
  std::vector<std::string> files;
  std::optional<uint64_t> seed;
  int repeat = 1;
  std::string out = "lab-results";
  std::string policy;
  std::string program;
  std::string subject;
  std::string properties;
  std::string start;
  double start_within_s = 2;
  bool keep = false;
  bool json = false;
  bool rules_only = false;
  bool history = false;
  bool fleet = false;
  bool plain = false;
};

// On a terminal one line that changes; else one now and then, so that a log shows that it goes on.
class ProgressLine {
 public:
  explicit ProgressLine(std::string what) : what_(std::move(what)), terminal_(isatty(STDERR_FILENO) != 0) {}
  ~ProgressLine() {
    if (terminal_) std::fprintf(stderr, "\r%100s\r", "");
  }
  void Tell(const Run::Progress& now) {
    if (!terminal_ && ++told_ % 10 != 1) return;
    const std::string phase(NameOf(now.phase));
    std::fprintf(stderr, "%s%s: %s %4.0f of %.0f s, %llu queries sent, %zu waiting%s%s%s%s",
                 terminal_ ? "\r" : "", what_.c_str(), phase.c_str(),
                 std::max(0.0, static_cast<double>(now.since) / kSecond),
                 static_cast<double>(now.length) / kSecond, static_cast<unsigned long long>(now.tries),
                 now.waiting, now.broken > 0 ? ", RULES BROKEN" : "",
                 now.fault.empty() ? "" : ", last fault: ", now.fault.c_str(), terminal_ ? "   " : "\n");
    std::fflush(stderr);
  }

 private:
  const std::string what_;
  const bool terminal_;
  int told_ = 0;
};

PlayOptions OptionsOf(const RunWords& words, const Experiment& experiment) {
  PlayOptions options;
  options.subject = !words.subject.empty()  ? words.subject
                    : !words.policy.empty() ? words.policy
                                            : "burlfall";
  options.keep_folder = words.keep;
  options.properties = words.properties;
  options.start = words.start;
  if (words.start.empty() && experiment.start && !words.plain) {
    options.start_text = WriteStart(*experiment.start);
  } else if (words.fleet && words.start.empty() && !words.plain && words.policy.empty() &&
             words.program.empty()) {
    options.start_text = ShippedStart();
  }
  options.start_within = static_cast<Micros>(words.start_within_s * kSecond);
  if (!words.policy.empty()) {
    options.command = {SiblingProgramPath("burlfall-lab-serve"), "--policy", words.policy, "--log-format",
                       "json"};
  } else if (!words.program.empty()) {
    options.command = {fs::absolute(words.program).string(), "serve", "--log-format", "json"};
    if (!words.properties.empty()) {
      options.command.insert(options.command.end(), {"--config", fs::absolute(words.properties).string()});
    }
    if (!words.start.empty()) {
      options.command.insert(options.command.end(), {"--start", fs::absolute(words.start).string()});
    }
  }
  return options;
}

ReportedRun Reported(Verdict verdict, const Experiment& experiment) {
  ReportedRun run;
  run.verdict = std::move(verdict);
  run.title = experiment.title;
  run.about = experiment.about;
  run.goals = experiment.goals;
  run.zones = experiment.site.zones;
  return run;
}

int RunOne(const Source& source, const Experiment& experiment, uint64_t seed, const RunWords& words,
           std::vector<ReportedRun>& reported, std::vector<LostRun>& lost, bool& interrupted) {
  PlayOptions options = OptionsOf(words, experiment);
  const fs::path path = RunPath(words.out, experiment.name, options.subject, seed);
  ProgressLine line(experiment.name + ", seed " + std::to_string(seed) + ", " + options.subject);
  options.progress = [&](const Run::Progress& now) { line.Tell(now); };
  std::ofstream history;
  if (words.history) {
    NeedFolder(path);
    history.open(path / "history.jsonl", std::ios::binary | std::ios::trunc);
    options.history = [&](std::string_view event) { history << event; };
  }
  Played played = Play(experiment, seed, options);
  if (words.history && !history.flush()) {
    throw std::runtime_error((path / "history.jsonl").string() + ": can't be written");
  }
  interrupted = played.interrupted;
  for (const std::string& note : played.notes) Complain(note);
  if (!played.folder.empty()) std::cerr << "the balancers' files are in " << played.folder << "\n";
  if (!played.whole) Complain(experiment.name + ": " + played.why_not);
  if (!played.has_verdict || !played.began || (!played.whole && !interrupted)) {
    SaveLost(path, played.why_not);
    lost.push_back({options.subject, experiment.name, played.why_not});
    return played.began || interrupted ? kWrong : kUnusable;
  }
  if (words.json) {
    std::cout << ToJson(played.verdict).dump() << "\n";
  } else {
    std::cout << Summary(played.verdict, experiment.goals) << std::flush;
  }
  SaveRun(path, played.verdict, source.text, played.why_not);
  if (!played.whole) lost.push_back({options.subject, experiment.name, played.why_not});
  const bool on_time = words.rules_only || !played.verdict.lab.too_late;
  const bool good =
      played.whole && played.verdict.rules_kept && on_time && played.verdict.fleet.missed.empty();
  reported.push_back(Reported(std::move(played.verdict), experiment));
  return good ? 0 : kWrong;
}

int RunAll(const RunWords& words) {
  std::vector<std::pair<Source, Experiment>> experiments;
  for (const std::string& file : words.files) {
    std::optional<Source> source = FindSource(file, "experiment", "list");
    std::optional<Experiment> experiment = source ? Read(*source) : std::nullopt;
    if (!experiment) return kUnusable;
    const std::string obstacle = Obstacle(*experiment);
    if (!obstacle.empty()) {
      Complain(experiment->name + ": " + obstacle);
      return kUnusable;
    }
    for (const auto& [other, before] : experiments) {
      if (before.name != experiment->name) continue;
      Complain(source->name + ": called " + before.name + " as " + other.name +
               " is; each would take the other's results");
      return kUnusable;
    }
    experiments.emplace_back(std::move(*source), std::move(*experiment));
  }
  NeedFolder(words.out);  // before the runs, which may take long
  int code = 0;
  bool interrupted = false;
  std::vector<ReportedRun> reported;
  std::vector<LostRun> lost;
  for (int k = 0; k < words.repeat && !interrupted; ++k) {
    for (const auto& [source, experiment] : experiments) {
      const uint64_t seed = words.seed.value_or(experiment.seed) + static_cast<uint64_t>(k);
      code = std::max(code, RunOne(source, experiment, seed, words, reported, lost, interrupted));
      if (interrupted) break;
    }
  }
  ReportOptions options;
  options.lost = lost;
  const ReportPage page = Report(reported, options);
  const fs::path file = fs::path(words.out) / "report.html";
  SaveText(file, page.html);
  if (!page.trouble.empty()) Complain(page.trouble);
  std::cerr << "report: " << file.string() << "\n";
  return code;
}

// ---- judge -----------------------------------------------------------------------------------------------

int JudgeFile(const std::string& file, bool json) {
  const std::optional<std::string> text = MakeRealFiles()->Read(file);
  if (!text) throw std::runtime_error(file + ": can't be read");
  HistoryError bad;
  const std::optional<CheckedHistory> judged = CheckHistory(*text, bad);
  if (!judged) throw std::runtime_error(file + ":" + std::to_string(bad.line) + ": " + bad.why);
  if (json) {
    std::cout << ToJson(judged->verdict).dump() << "\n";
  } else {
    for (const CheckedHistory::LocatedFinding& one : judged->broken) {
      std::printf("%s:%zu: %s broken at %.3f s%s%s: %s\n", file.c_str(), one.line, one.rule.c_str(),
                  one.finding.at_s, one.finding.trace.empty() ? "" : ", query ", one.finding.trace.c_str(),
                  one.finding.why.c_str());
    }
    uint64_t broken = 0;
    for (const RuleResult& rule : judged->verdict.rules) broken += rule.broken;
    std::printf("%s: %llu queries, %zu rules, broken %llu times\n", file.c_str(),
                static_cast<unsigned long long>(judged->verdict.outcomes.asked), judged->verdict.rules.size(),
                static_cast<unsigned long long>(broken));
  }
  return judged->verdict.rules_kept ? 0 : kWrong;
}

// ---- compare, report, table ------------------------------------------------------------------------------

int CompareDirs(const std::string& before, const std::string& after, double confidence, bool json) {
  const Comparison comparison = Compare(LoadRuns(before).verdicts, LoadRuns(after).verdicts, confidence);
  std::cout << (json ? ToJson(comparison).dump(2) + "\n" : ToText(comparison));
  return 0;
}

int ReportDir(const std::string& dir, std::string out) {
  StoredRuns runs = LoadRuns(dir, Parts::kToo);
  std::vector<ReportedRun> reported;
  for (size_t i = 0; i < runs.verdicts.size(); ++i) {
    Loaded<Experiment> file = ParseExperiment(runs.verdicts[i].experiment + ".toml", runs.experiments[i]);
    reported.push_back(Reported(std::move(runs.verdicts[i]), file.value.value_or(Experiment())));
  }
  ReportOptions options;
  options.lost = runs.lost;
  const ReportPage page = Report(reported, options);
  if (out.empty())
    out = (fs::is_directory(dir) ? fs::path(dir) : fs::path(dir).parent_path()) / "report.html";
  SaveText(out, page.html);
  if (!page.trouble.empty()) Complain(page.trouble);
  std::cout << out << "\n";
  return 0;
}

int TableDir(const std::vector<std::string>& dirs, const std::string& format) {
  std::vector<StoredRuns> all;
  std::vector<const Verdict*> verdicts;
  std::vector<LostRun> lost;
  for (const std::string& dir : dirs) all.push_back(LoadRuns(dir));
  for (const StoredRuns& runs : all) {
    for (const Verdict& verdict : runs.verdicts) verdicts.push_back(&verdict);
    lost.insert(lost.end(), runs.lost.begin(), runs.lost.end());
  }
  const Table table = TableOf(verdicts, lost);
  if (format == "json") {
    std::cout << ToJson(table).dump(2) << "\n";
  } else {
    std::cout << (format == "markdown" ? ToMarkdown(table) : ToText(table));
  }
  return 0;
}

// What goes wrong with a file is one plain line and exit code 2.
template <typename Do>
void Guarded(int& code, Do what) {
  try {
    code = what();
    // Where what it was to print didn't get out, it has not done what it was asked to.
    if (!std::cout.flush() || std::fflush(stdout) != 0)
      throw std::runtime_error("standard output: can't be written");
  } catch (const std::exception& e) {
    Complain(e.what());
    code = kUnusable;
  }
}

// `run`, of experiments or of fleets.
void AddRun(CLI::App& to, const std::string& about, bool fleet, int& code) {
  CLI::App* run = to.add_subcommand("run", about);
  auto words = std::make_shared<RunWords>();
  words->fleet = fleet;
  run->add_option("FILE", words->files, "experiments, or names of shipped ones")->required();
  run->add_option("--seed", words->seed, "draws the run; else the experiment's own");
  run->add_option("--repeat", words->repeat, "runs of each, with this seed and those that follow it")
      ->check(CLI::Range(1, 1000))
      ->capture_default_str();
  run->add_option("--out", words->out, "the folder for results and report.html")->capture_default_str();
  CLI::Option* policy =
      run->add_option("--policy", words->policy, "a peer that decides instead of burlfall's module");
  run->add_option("--program", words->program, "another burlfall to try; else the one beside this program")
      ->check(CLI::ExistingFile)
      ->excludes(policy);
  run->add_option("--subject", words->subject, "what results call the balancer that was tried");
  run->add_option("--properties", words->properties, "the operators' file for the balancers")
      ->check(CLI::ExistingFile)
      ->excludes(policy);
  run->add_option("--start", words->start, "the file of the balancers' starts, as `serve --start` takes it")
      ->check(CLI::ExistingFile)
      ->excludes(policy);
  run->add_flag("--plain-start", words->plain, "no file of the starts, whatever the experiment says");
  run->add_option("--start-within", words->start_within_s,
                  "seconds for all balancers to come up, where they start before the run")
      ->check(CLI::Range(0.2, 120.0))
      ->capture_default_str();
  run->add_flag("--keep", words->keep, "keeps the balancers' configurations");
  run->add_flag("--json", words->json, "each result on one line of JSON");
  run->add_flag("--rules-only", words->rules_only,
                "the exit code tells of rules alone, were the lab late too");
  run->add_flag("--history", words->history, "writes what was seen, event by event, beside each result");
  run->callback([words, &code] { Guarded(code, [&] { return RunAll(*words); }); });
}

}  // namespace

void AddExperiments(CLI::App& lab, int& code) {
  CLI::App* list = lab.add_subcommand("list", "The experiments that ship with this program.");
  auto list_json = std::make_shared<bool>(false);
  list->add_flag("--json", *list_json, "as JSON");
  list->callback([list_json, &code] { Guarded(code, [&] { return List(*list_json, false); }); });

  CLI::App* check =
      lab.add_subcommand("check", "Checks experiments, and says how much they ask of their nodes.");
  auto check_files = std::make_shared<std::vector<std::string>>();
  check->add_option("FILE", *check_files, "experiments, or names of shipped ones")->required();
  auto script = std::make_shared<bool>(false);
  auto script_seed = std::make_shared<std::optional<uint64_t>>();
  CLI::Option* prints = check->add_flag("--script", *script, "prints what a seed draws instead");
  check->add_option("--seed", *script_seed, "that draws it; else the experiment's own")->needs(prints);
  check->callback([=, &code] { Guarded(code, [&] { return Check(*check_files, *script, *script_seed); }); });

  AddRun(lab,
         "Plays experiments with real balancers on loopback, judges what it saw, and writes a report.\n"
         "Ends with 1 where a rule broke, a run did not come to its end, or the lab itself was late; with 2\n"
         "where nothing could be played.",
         false, code);

  CLI::App* fleet = lab.add_subcommand(
      "fleet",
      "Hundreds of balancers, real processes all, that start, stand still, die and lose each other.");
  fleet->require_subcommand(1);
  CLI::App* fleets = fleet->add_subcommand("list", "The fleets that ship with this program.");
  auto fleets_json = std::make_shared<bool>(false);
  fleets->add_flag("--json", *fleets_json, "as JSON");
  fleets->callback([fleets_json, &code] { Guarded(code, [&] { return List(*fleets_json, true); }); });
  AddRun(*fleet,
         "As `lab run`, with the starts that deploy/start.toml says. Ends with 1 also where the fleet's "
         "goals were\n"
         "missed.",
         true, code);
  AddMembers(lab, code);
  AddCouncil(lab, code);
  CLI::App* judge = lab.add_subcommand(
      "judge",
      "Judges a history again: history.jsonl of `run --history`, or one written by hand.\n"
      "Ends with 0 where every rule held, with 1 where one broke, with 2 where it is no history.");
  auto judge_file = std::make_shared<std::string>();
  auto judge_json = std::make_shared<bool>(false);
  judge->add_option("FILE", *judge_file, "the history")->required();
  judge->add_flag("--json", *judge_json, "the whole result, as result.json has it");
  judge->callback([=, &code] { Guarded(code, [&] { return JudgeFile(*judge_file, *judge_json); }); });

  CLI::App* compare =
      lab.add_subcommand("compare", "What two folders of results differ in, and what is noise.");
  auto dirs = std::make_shared<std::pair<std::string, std::string>>();
  auto confidence = std::make_shared<double>(0.95);
  auto compare_json = std::make_shared<bool>(false);
  compare->add_option("BEFORE", dirs->first, "a folder of results")->required();
  compare->add_option("AFTER", dirs->second, "another")->required();
  compare->add_option("--confidence", *confidence, "of the intervals")->check(CLI::Range(0.5, 0.999));
  compare->add_flag("--json", *compare_json, "as JSON");
  compare->callback([=, &code] {
    Guarded(code, [&] { return CompareDirs(dirs->first, dirs->second, *confidence, *compare_json); });
  });

  CLI::App* report = lab.add_subcommand("report", "One HTML page of all results in a folder; opens offline.");
  auto report_words = std::make_shared<std::pair<std::string, std::string>>();
  report->add_option("DIR", report_words->first, "a folder of results, or one result.json")->required();
  report->add_option("--out", report_words->second, "the page; else DIR/report.html");
  report->callback(
      [=, &code] { Guarded(code, [&] { return ReportDir(report_words->first, report_words->second); }); });

  CLI::App* table = lab.add_subcommand("table", "Subjects against experiments, lost runs included.");
  auto table_dirs = std::make_shared<std::vector<std::string>>();
  auto format = std::make_shared<std::string>("text");
  table->add_option("DIR", *table_dirs, "folders of results")->required();
  table->add_option("--format", *format, "")->check(CLI::IsMember({"text", "markdown", "json"}));
  table->callback([=, &code] { Guarded(code, [&] { return TableDir(*table_dirs, *format); }); });
}

}  // namespace burlfall::lab
