#include "lab/members/real_members.h"

#include <signal.h>
#include <unistd.h>

#include <algorithm>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <system_error>
#include <utility>

#include "io/real_machine.h"
#include "lab/paths/paths.h"
#include "lab/run/children.h"
#include "lab/run/own_share.h"
#include "lab/script/experiment.h"
#include "lab/script/platform_json.h"
#include "lab/script/script.h"

namespace burlfall::lab {
namespace {

constexpr int kPort = 7946;
constexpr int kClientPort = 8000;
constexpr Micros kSteadyAfter = 10 * kSecond;  // from the last start: costs are measured from then on
constexpr Micros kAnswersWithin = 500 * kMs;   // of counters
constexpr Micros kLookEvery = 20 * kMs, kLate = 50 * kMs;
constexpr Micros kStopWithin = 5 * kSecond;
constexpr double kAPart = 0.01;  // of timers that may be late
constexpr size_t kDescriptorsEach = 12, kOwnDescriptors = 256;
constexpr size_t kNotes = 20;

// Members stand at loopback hosts of their own, and are seen by others at further ones.
constexpr int kBlock = 128;
constexpr int kHostsABlock = 125;

std::string Block(int number) { return OwnLoopback(kBlock, number); }

std::string HostOfMember(int i, bool seen) {
  return Block(i / kHostsABlock) + std::to_string(2 + (seen ? kHostsABlock : 0) + i % kHostsABlock);
}

std::string At(const std::string& host, int port) {
  std::string text = host;
  return text.append(":").append(std::to_string(port));
}

// A site without nodes: what is looked at is between the balancers.
Experiment SiteOf(const Scenario& scenario) {
  Experiment site;
  site.title = scenario.title;
  site.site.balancers.count = scenario.members;
  NodeGroup group;
  group.kind = "std";
  group.count = 1;
  site.site.nodes.push_back(group);
  ClassSpec query;
  query.name = "stock-query";
  site.classes.push_back(query);
  return site;
}

class Player {
 public:
  Player(const Scenario& scenario, uint64_t seed, const MembersOptions& options)
      : scenario_(scenario),
        options_(options),
        plan_(DrawMembers(scenario, seed)),
        judge_(scenario, plan_),
        site_(SiteOf(scenario)),
        script_(GenerateScript(site_, seed)),
        machine_(true),
        signals_(machine_.scheduler(), {SIGINT, SIGTERM}),
        paths_(machine_, seed),
        children_(machine_.scheduler(), SettingsOf(options),
                  {.ready = [](int, const std::string&) {},
                   .ended = [this](int i, const ChildEnd& end) { Ended(i, end); },
                   .event = [this](int i, std::string_view event,
                                   const nlohmann::json& fields) { Heard(i, event, fields); }}),
        moved_(machine_.scheduler()),
        look_(machine_.scheduler()),
        counted_(plan_.names.size()) {
    for (size_t i = 0; i < plan_.names.size(); ++i) numbers_[plan_.names[i]] = static_cast<int>(i);
  }

  MembersPlayed Play() {
    Task<> playing = Whole();
    Task<> looking = Look();
    Task<> hearing = Hear();
    playing.Start();
    looking.Start();
    hearing.Start();
    machine_.scheduler().Run();
    return std::move(played_);
  }

 private:
  static Children::Settings SettingsOf(const MembersOptions& options) {
    Children::Settings settings;
    if (!options.program.empty()) settings.command = {options.program, "serve", "--log-format", "json"};
    settings.keep_folder = options.keep_folder;
    return settings;
  }

  Micros Now() { return machine_.Now() - begins_at_; }

  Task<> Whole() {
    try {
      for (size_t i = 0; i < plan_.names.size(); ++i) OpenPaths(static_cast<int>(i));
      begins_at_ = machine_.Now();
      co_await PlayActions();
    } catch (const std::system_error& e) {
      played_.why_not = e.what();
    }
    over_ = true;
    co_await children_.StopAll(kStopWithin);
    if (looks_ > 0) played_.late_share = static_cast<double>(late_) / static_cast<double>(looks_);
    if (played_.why_not.empty() && played_.late_share > kAPart) {
      played_.why_not = "this machine could not keep up: " + std::to_string(100 * played_.late_share) +
                        "% of the lab's own timers were late";
    }
    played_.whole = played_.why_not.empty();
    machine_.scheduler().Stop();
  }

  void OpenPaths(int i) {
    const Address real = *ReadAddress(At(HostOfMember(i, false), kPort));
    const Address seen = *ReadAddress(At(HostOfMember(i, true), kPort));
    paths_.Knows(HostOfMember(i, false), i);
    paths_.OpenStreams(seen, i, real);
    paths_.OpenDatagrams(seen, i, real);
  }

  Task<> PlayActions() {
    const Micros steady =
        std::min(Length() / 2, static_cast<Micros>(scenario_.start_s.high * 1e6) + kSteadyAfter);
    bool measured = false;
    for (const MemberAction& action : plan_.actions) {
      if (action.at > Length()) break;
      if (action.at > steady && !std::exchange(measured, true)) co_await Measure(steady);
      while (Now() < action.at && played_.why_not.empty()) co_await moved_.Wait(begins_at_ + action.at);
      if (!played_.why_not.empty()) co_return;
      Do(action);
    }
    if (!measured) co_await Measure(steady);
    while (Now() < Length() && played_.why_not.empty()) co_await moved_.Wait(begins_at_ + Length());
    if (!played_.why_not.empty()) co_return;
    const std::vector<Counted> before = counted_;
    const double span = static_cast<double>(Now() - steady) / 1e6;
    co_await Measure(Length());
    Costs(before, span);
    played_.verdict = judge_.Finish(Length());
  }

  Micros Length() const { return static_cast<Micros>(scenario_.length_s * static_cast<double>(kSecond)); }

  void Do(const MemberAction& action) {
    const int i = action.who;
    switch (action.what) {
      case MemberAction::What::kStart:
        return Start(i);
      case MemberAction::What::kKill:
        judge_.Ended(Now(), i, false);
        return children_.Kill(i);
      case MemberAction::What::kLeave:
        judge_.Ended(Now(), i, true);
        return children_.Terminate(i);
      case MemberAction::What::kPause:
      case MemberAction::What::kResume: {
        const bool on = action.what == MemberAction::What::kPause;
        judge_.Paused(Now(), i, on);
        return children_.Pause(i, on);
      }
      case MemberAction::What::kPath:
        return paths_.Set(action.who, action.to, action.quality);
    }
  }

  void Start(int i) {
    if (children_.Running(i)) {  // its end has not been heard of yet
      again_.push_back(i);
      return;
    }
    const auto at = static_cast<size_t>(i);
    std::string text = "site = \"lab\"\nlisten = \"" + At(HostOfMember(i, false), kPort) + "\"\n";
    text += "told = \"" + At(HostOfMember(i, true), kPort) + "\"\nzone = \"" + plan_.zones[at] + "\"\n";
    text += "folder = \"" + children_.folder() + "\"\nseeds = [";
    for (int s = 0; s < scenario_.dead_seeds; ++s) {
      text += "\"" + Block(0) + "254:" + std::to_string(s + 1) + "\", ";
    }
    for (int s = 0; s < std::min(3, scenario_.members); ++s) {
      text += std::string(s > 0 ? ", \"" : "\"") + At(HostOfMember(s, true), kPort) + "\"";
    }
    text += "]\n";
    const std::string path = children_.folder() + "/cluster-" + plan_.names[at] + ".toml";
    std::string why;
    if (!machine_.files().Replace(path, text, why)) {
      played_.why_not = path + ": " + why;
      return;
    }
    ChildSpec child;
    child.name = plan_.names[at];
    child.listen = At(HostOfMember(i, false), kClientPort);
    child.discovery = Block(0) + "1:9";  // nobody is there
    child.arguments = {"--cluster", path, "--start", StartFile()};
    BalancerStart start;
    start.listen = child.listen;
    start.discovery = child.discovery;
    start.seed = static_cast<uint64_t>(i) + 1;
    child.config = ConfigJson(site_, script_, i, start);
    children_.Start(i, child);
  }

  // Few calls to a list service that nobody plays here.
  std::string StartFile() {
    const std::string path = children_.folder() + "/start.toml";
    std::string why;
    if (!std::exchange(start_written_, true)) {
      machine_.files().Replace(path, "[list_service]\ncalls_per_s = 5\n", why);
    }
    return path;
  }

  void Ended(int i, const ChildEnd& end) {
    if (end.crashed && played_.notes.size() < kNotes) played_.notes.push_back(end.Text());
    if (end.crashed && played_.why_not.empty() && !over_) played_.why_not = end.name + " crashed";
    if (const auto it = std::ranges::find(again_, i); it != again_.end() && !over_) {
      again_.erase(it);
      Start(i);
    }
  }

  void Heard(int i, std::string_view event, const nlohmann::json& fields) {
    if (over_) return;
    if (event == "counters") {
      Count(i, fields);
      return;
    }
    if (event == "cluster_serving") {
      judge_.Started(Now(), i);
      return;
    }
    if (event == "cluster_standing") {
      const std::string standing = fields.value("standing", "");
      if (standing == "in") judge_.Saw(Now(), i, Sight::kIn, i);
      if (standing == "cut off") judge_.Saw(Now(), i, Sight::kCutOff, i);
    }
    constexpr std::pair<std::string_view, Sight> kSights[] = {
        {"member_joined", Sight::kJoined},     {"member_suspected", Sight::kSuspected},
        {"member_cleared", Sight::kCleared},   {"member_died", Sight::kDied},
        {"member_returned", Sight::kReturned}, {"member_left", Sight::kLeft}};
    for (const auto& [its, sight] : kSights) {
      if (event != its) continue;
      const auto who = numbers_.find(fields.value("who", ""));
      if (who == numbers_.end()) continue;
      judge_.Saw(Now(), i, sight, who->second, fields.value("by", "") == plan_.names[static_cast<size_t>(i)]);
    }
    if (event.starts_with("member_") || event.starts_with("cluster_")) {
      options_.tells(std::to_string(Now() / kMs) + " ms " + plan_.names[static_cast<size_t>(i)] + " " +
                     fields.dump());
    }
  }

  // ---- What it costs --------------------------------------------------------------------------------------

  struct Counted {
    uint64_t out = 0, bytes = 0, calls = 0;
    Micros cpu = 0;
    uint64_t rss_bytes = 0;
  };

  Task<> Measure(Micros at) {
    while (Now() < at) co_await moved_.Wait(begins_at_ + at);
    for (size_t i = 0; i < counted_.size(); ++i) {
      const auto usage = children_.Usage(static_cast<int>(i));
      if (!usage) continue;
      counted_[i].cpu = usage->cpu;
      counted_[i].rss_bytes = usage->rss_bytes;
      children_.TellCounters(static_cast<int>(i));
    }
    const Micros until = machine_.Now() + kAnswersWithin;
    while (machine_.Now() < until) co_await moved_.Wait(until);
  }

  void Count(int i, const nlohmann::json& event) {
    const auto all = event.find("counters");
    if (all == event.end() || !all->is_object()) return;
    Counted& counted = counted_[static_cast<size_t>(i)];
    counted.out = all->value("cluster_out", uint64_t{0});
    counted.bytes = all->value("cluster_bytes_out", uint64_t{0});
    counted.calls = all->value("cluster_calls", uint64_t{0});
  }

  // Of those that ran all the time between the two measurements.
  void Costs(const std::vector<Counted>& before, double span) {
    double n = 0;
    for (size_t i = 0; i < counted_.size(); ++i) {
      if (counted_[i].out <= before[i].out || before[i].out == 0) continue;
      n += 1;
      played_.datagrams_per_s += static_cast<double>(counted_[i].out - before[i].out) / span;
      const double bytes = static_cast<double>(counted_[i].bytes - before[i].bytes) / span;
      played_.bytes_per_s += bytes;
      played_.most_bytes_per_s = std::max(played_.most_bytes_per_s, bytes);
      played_.cpu_percent += 100 * static_cast<double>(counted_[i].cpu - before[i].cpu) / 1e6 / span;
      played_.rss_mb += static_cast<double>(counted_[i].rss_bytes) / 1e6;
      played_.calls += counted_[i].calls - before[i].calls;
    }
    if (n == 0) return;
    for (double* each :
         {&played_.datagrams_per_s, &played_.bytes_per_s, &played_.cpu_percent, &played_.rss_mb}) {
      *each /= n;
    }
  }

  // ---- The lab itself -------------------------------------------------------------------------------------

  Task<> Look() {
    while (true) {
      const Micros due = machine_.Now() + kLookEvery;
      co_await look_.Wait(due);
      ++looks_;
      late_ += machine_.Now() - due > kLate ? 1 : 0;
    }
  }

  Task<> Hear() {
    while (true) {
      while (signals_.Take() != 0) {
        played_.why_not = "interrupted";
        moved_.Notify();
      }
      co_await signals_.Wait();
    }
  }

  const Scenario& scenario_;
  const MembersOptions& options_;
  const MemberPlan plan_;
  MemberJudge judge_;
  const Experiment site_;
  const Script script_;
  RealMachine machine_;
  ProcessSignals signals_;
  Paths paths_;
  Children children_;
  Event moved_;
  Event look_;
  std::map<std::string, int> numbers_;
  std::vector<Counted> counted_;
  std::vector<int> again_;
  Micros begins_at_ = 0;
  bool start_written_ = false;
  bool over_ = false;
  uint64_t looks_ = 0, late_ = 0;
  MembersPlayed played_;
};

}  // namespace

MembersPlayed PlayMembers(const Scenario& scenario, uint64_t seed, const MembersOptions& options) {
  signal(SIGPIPE, SIG_IGN);
  const size_t need = kOwnDescriptors + kDescriptorsEach * static_cast<size_t>(scenario.members);
  if (const std::string why = MayHold(need); !why.empty()) {
    MembersPlayed played;
    played.why_not = why;
    return played;
  }
  return Player(scenario, seed, options).Play();
}

}  // namespace burlfall::lab
