// The run of a coordinator group of real processes: faults, operator requests and the checks of the events.
#include "lab/council/coordinator_run.h"

#include <signal.h>

#include <algorithm>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <system_error>
#include <utility>

#include "io/real_machine.h"
#include "kit/mix.h"
#include "lab/paths/paths.h"
#include "lab/run/children.h"
#include "lab/run/own_share.h"
#include "lab/script/experiment.h"
#include "lab/script/platform_json.h"
#include "lab/script/script.h"

namespace burlfall::lab {
namespace {

constexpr int kPort = 7950;
constexpr int kClientPort = 8000;
constexpr int kAdminPort = 8100;
constexpr int kLoopbackBlock = 190;
constexpr int kHostsPerKind = 125;         // listening and advertised addresses in the block
constexpr Micros kTimeout = 90 * kSecond;  // only reached if the program is broken
constexpr Micros kPollInterval = 20 * kMs;
constexpr Micros kStopTimeout = 5 * kSecond;
constexpr Micros kBriefPause = 200 * kMs;
constexpr size_t kMaxReportedViolations = 20;
constexpr size_t kDescriptorsPerMember = 40, kOwnDescriptors = 256;
constexpr const char* kTask = "freeze";
constexpr double kLeaseSeconds = 1;
constexpr int kStepMs = 150;  // the owner's pause between check and act

std::string HostOf(int i, bool advertised) {
  return OwnLoopback(kLoopbackBlock) + std::to_string(2 + (advertised ? kHostsPerKind : 0) + i);
}

std::string At(const std::string& host, int port) {
  return std::string(host).append(":").append(std::to_string(port));
}

// A site whose nodes are never used: only the traffic between the balancers is tested.
Experiment SiteOf(int members) {
  Experiment site;
  site.title = "council";
  site.site.balancers.count = members;
  NodeGroup group;
  group.kind = "std";
  group.count = 1;
  site.site.nodes.push_back(group);
  ClassSpec query;
  query.name = "stock-query";
  site.classes.push_back(query);
  return site;
}

// One run. All members are numbered from 0; the first ones are the voters.
class CoordinatorRun {
 public:
  explicit CoordinatorRun(const CoordinatorRunOptions& options)
      : options_(options),
        site_(SiteOf(options.members)),
        script_(GenerateScript(site_, options.seed)),
        machine_(true),
        signals_(machine_.scheduler(), {SIGINT, SIGTERM}),
        paths_(machine_, options.seed),
        children_(machine_.scheduler(), SettingsOf(options),
                  {.ready = [](int, const std::string&) {},
                   .ended = [this](int i, const ChildEnd& end) { OnProcessEnded(i, end); },
                   .event = [this](int i, std::string_view event,
                                   const nlohmann::json& fields) { OnEvent(i, event, fields); }}),
        changed_(machine_.scheduler()),
        random_state_(kit::Mix(options.seed)),
        members_(static_cast<size_t>(options.members)) {}

  CoordinatorRunResult Run() {
    Task<> running = RunAll();
    Task<> handling_signals = HandleSignals();
    running.Start();
    handling_signals.Start();
    machine_.scheduler().Run();
    return std::move(result_);
  }

 private:
  struct Member {
    bool running = false, paused = false, restart_when_ended = false;
    uint64_t highest_accepted = 0;  // over all restarts
    uint64_t accepted_epoch = 0;    // since its start
    uint64_t last_term_led = 0;     // 0: none
    uint64_t lost_epoch = 0;        // the highest epoch whose lease it lost
    uint64_t steps = 0;             // how often it reached its step
    std::string disk;
    size_t voters = 0;
    bool serving = false;
  };

  static Children::Settings SettingsOf(const CoordinatorRunOptions& options) {
    Children::Settings settings;
    if (!options.program.empty()) settings.command = {options.program, "serve", "--log-format", "json"};
    settings.keep_folder = options.keep_folder;
    return settings;
  }

  uint64_t NextRandom() { return random_state_ = kit::Mix(random_state_); }
  static std::string Name(int i) { return std::string("b").append(std::to_string(i)); }
  Member& MemberAt(int i) { return members_.at(static_cast<size_t>(i)); }
  void Fail(const std::string& why) {
    if (result_.failure.empty()) result_.failure = why;
    changed_.Notify();
  }
  void ReportViolation(const std::string& line) {
    ++result_.violation_count;
    if (result_.violations.size() < kMaxReportedViolations) result_.violations.push_back(line);
    options_.log("BROKEN " + line);
  }

  // Waits until `condition` holds. Returns false, and fails the run, if that exceeds the timeout.
  template <typename Condition>
  Task<bool> WaitFor(std::string what, Condition condition) {
    const Micros deadline = machine_.Now() + kTimeout;
    while (!condition() && result_.failure.empty()) {
      if (machine_.Now() >= deadline) Fail("timed out waiting for: " + what);
      co_await changed_.Wait(std::min(deadline, machine_.Now() + kPollInterval));
    }
    co_return result_.failure.empty();
  }

  Task<> RunAll() {
    try {
      for (int i = 0; i < options_.members; ++i) {
        paths_.Knows(HostOf(i, false), i);
        paths_.OpenStreams(*ReadAddress(At(HostOf(i, true), kPort)), i,
                           *ReadAddress(At(HostOf(i, false), kPort)));
      }
      co_await InjectFaults();
    } catch (const std::system_error& e) {
      Fail(e.what());
    }
    stopped_ = true;
    for (int i = 0; i < options_.members; ++i) Pause(i, false);
    co_await children_.StopAll(kStopTimeout);
    result_.complete = result_.failure.empty();
    machine_.scheduler().Stop();
  }

  Task<> InjectFaults() {
    for (int i = 0; i < options_.members; ++i) Start(i);
    const bool up = co_await WaitFor("all members serving", [this] {
      return std::ranges::all_of(members_, [](const Member& member) { return member.serving; });
    });
    if (!up) co_return;
    const std::string began = co_await Ask(0, "begin");
    if (began.empty() || began[0] == '!') co_return Fail("begin: " + began);
    const auto voters = static_cast<size_t>(options_.voters);
    // The change of voters is in the log of each voter, so that every later leader has it.
    if (!co_await WaitFor("all voters in the configuration", [&] {
          return std::all_of(members_.begin(), members_.begin() + options_.voters,
                             [&](const Member& member) { return member.voters == voters; });
        }))
      co_return;
    if (!co_await WaitUntilStable()) co_return;
    if (options_.proposals_for_s > 0) co_await Propose();
    for (const CoordinatorFault fault : options_.faults) {
      options_.log(std::string("fault: ") + NameOf(fault));
      ++result_.faults[NameOf(fault)];
      co_await Inject(fault);
      if (!co_await WaitUntilStable()) co_return;
    }
    co_await CheckFinalState();
  }

  // Starts or resumes all members, and waits until they all accept the epoch of one running owner.
  Task<bool> WaitUntilStable() {
    for (int i = 0; i < options_.members; ++i) {
      Pause(i, false);
      if (!MemberAt(i).running) Start(i);
    }
    co_return co_await WaitFor("one owner whose epoch all members accept", [this] {
      const int owner = Owner();
      if (owner < 0 || Leader() < 0) return false;
      return std::ranges::all_of(members_, [this](const Member& member) {
        return member.serving && member.accepted_epoch == epoch_;
      });
    });
  }

  // The member that was granted the last epoch, if it has run since then; else -1.
  int Owner() const {
    return owner_ >= 0 && members_[static_cast<size_t>(owner_)].running && owner_running_ ? owner_ : -1;
  }
  int Leader() const { return leader_ >= 0 && members_[static_cast<size_t>(leader_)].running ? leader_ : -1; }

  Task<> Inject(CoordinatorFault fault) {
    const uint64_t epoch = epoch_, term = term_;
    const int owner = Owner(), leader = Leader();
    const Micros at = machine_.Now();
    auto next_owner = [this, epoch] { return epoch_ > epoch; };
    auto next_leader = [this, term] { return term_ > term; };
    switch (fault) {
      case CoordinatorFault::kPauseOwnerAtStep:
      case CoordinatorFault::kPauseOwner: {
        if (fault == CoordinatorFault::kPauseOwnerAtStep) {
          const uint64_t steps = MemberAt(owner).steps;
          pause_at_step_ = owner;
          if (!co_await WaitFor("the owner at its step", [&] { return MemberAt(owner).steps > steps; }))
            co_return;
        } else {
          Pause(owner, true);
        }
        // Another member was granted the next epoch, and all others have accepted it.
        if (!co_await WaitFor("another owner accepted by the other members", [&] {
              if (epoch_ <= epoch) return false;
              for (int i = 0; i < options_.members; ++i) {
                if (i != owner && MemberAt(i).accepted_epoch <= epoch) return false;
              }
              return true;
            }))
          co_return;
        const size_t fenced = result_.fenced;
        Pause(owner, false);
        co_await WaitFor("the resumed owner notices the loss of its lease",
                         [&] { return result_.fenced > fenced || MemberAt(owner).lost_epoch >= epoch; });
        break;
      }
      case CoordinatorFault::kPauseOwnerBriefly: {
        Pause(owner, true);
        const Micros resume_at = machine_.Now() + kBriefPause;
        while (machine_.Now() < resume_at) co_await changed_.Wait(resume_at);
        Pause(owner, false);
        break;
      }
      case CoordinatorFault::kPauseLeader:
        Pause(leader, true);
        co_await WaitFor("another leader", next_leader);
        Pause(leader, false);
        break;
      case CoordinatorFault::kKillOwner:
        Kill(owner);
        if (co_await WaitFor("another owner", next_owner)) result_.owner_after_s.push_back(Seconds(at));
        break;
      case CoordinatorFault::kKillLeader:
        Kill(leader);
        if (co_await WaitFor("another leader", next_leader)) result_.leader_after_s.push_back(Seconds(at));
        break;
      case CoordinatorFault::kKillAll:
        for (int i = 0; i < options_.members; ++i) Kill(i);
        co_await WaitFor("all processes have exited", [this] { return children_.running() == 0; });
        for (int i = 0; i < options_.members; ++i) Start(i);
        co_await WaitFor("another owner", next_owner);
        break;
      case CoordinatorFault::kWipeDisk:
        co_await WipeDisk(leader);
        break;
      case CoordinatorFault::kRestoreOlderDisk:
        co_await RestoreOlderDisk(leader);
        break;
      case CoordinatorFault::kBlockLeaderInbound:
      case CoordinatorFault::kBlockLeaderOutbound:
        for (int i = 0; i < options_.members; ++i) {
          if (i == leader) continue;
          const bool inbound = fault == CoordinatorFault::kBlockLeaderInbound;
          paths_.Set(inbound ? i : leader, inbound ? leader : i, {.cut = true});
        }
        co_await WaitFor("another leader", next_leader);
        for (int i = 0; i < options_.members; ++i) {
          paths_.Set(i, leader, {});
          paths_.Set(leader, i, {});
        }
        break;
      case CoordinatorFault::kRestartOwner:
        children_.Terminate(owner);
        co_await WaitFor("another owner", next_owner);
        break;
      case CoordinatorFault::kIncident:
        co_await Incident();
        break;
      case CoordinatorFault::kIsolateMember:
        co_await IsolateMember(leader);
        break;
    }
  }

  Task<> Incident() {
    const int a = static_cast<int>(NextRandom() % members_.size()), b = (a + 1) % options_.members;
    const std::string opened = co_await Ask(a, "incident open site lab testing");
    if (!opened.starts_with("incident ")) co_return Fail("incident: " + opened);
    const std::string number = opened.substr(9, opened.find(' ', 9) - 9);
    const std::string refused = co_await PostAdmin(b, "/healthcheck/fail");
    if (!refused.starts_with("HTTP/1.1 409") || refused.find("frozen") == std::string::npos)
      ReportViolation("a drain during an incident was answered: " + refused);
    const std::string overridden = co_await PostAdmin(b, "/healthcheck/fail?by=lab&reason=glass");
    if (!overridden.starts_with("HTTP/1.1 200"))
      ReportViolation("a drain with an emergency override was answered: " + overridden);
    const std::string back = co_await PostAdmin(b, "/healthcheck/ok?by=lab&reason=glass");
    if (!back.starts_with("HTTP/1.1 200"))
      ReportViolation("the end of an overriding drain was answered: " + back);
    const std::string closed = co_await Ask(a, "incident close " + number + " lab over");
    if (!closed.starts_with("incident ")) co_return Fail("close: " + closed);
    for (const char* path : {"/healthcheck/fail", "/healthcheck/ok"}) {
      const std::string done = co_await PostAdmin(b, path);
      if (!done.starts_with("HTTP/1.1 200"))
        ReportViolation("a drain after the incident was answered: " + done);
    }
  }

  Task<> IsolateMember(int leader) {
    const int who = (leader + 1) % options_.members;
    for (int i = 0; i < options_.members; ++i) {
      if (i == who) continue;
      paths_.Set(i, who, {.cut = true});
      paths_.Set(who, i, {.cut = true});
    }
    const std::string refused = co_await PostAdmin(who, "/healthcheck/fail");
    if (!refused.starts_with("HTTP/1.1 409") || refused.find("no_majority") == std::string::npos)
      ReportViolation("a drain without a majority was answered: " + refused);
    for (int i = 0; i < options_.members; ++i) {
      paths_.Set(i, who, {});
      paths_.Set(who, i, {});
    }
  }

  // Sends a POST request to the admin address, as an operator does; returns the complete response.
  Task<std::string> PostAdmin(int i, std::string path) {
    const Micros deadline = machine_.Now() + kTimeout;
    NoConnection why = NoConnection::kRefused;
    std::string answer;
    const std::unique_ptr<Stream> stream =
        machine_.network().Connect(*ReadAddress(At(HostOf(i, false), kAdminPort)), why);
    if (!stream || !co_await Connected(*stream, deadline)) co_return answer;
    const std::string call = "POST " + path + " HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n";
    if (!co_await WriteAll(*stream, call, deadline)) co_return answer;
    while (true) {
      const Io io = stream->Read(answer);
      if (io == Io::kClosed || io == Io::kBroken) break;
      if (io == Io::kLater && !co_await stream->Wait(deadline)) break;
    }
    options_.log(Name(i) + " " + path + ": " + answer.substr(0, 12));
    co_return answer;
  }

  // Removes the data directory of a voter: it must return as a new voter, and vote only after the leader was
  // asked to add it.
  Task<> WipeDisk(int leader, int who = -1) {
    if (who < 0) who = static_cast<int>(NextRandom() % static_cast<uint64_t>(options_.voters));
    if (who == leader) who = (who + 1) % options_.voters;
    Kill(who);
    if (!co_await WaitFor("the process has exited", [&] { return !children_.Running(who); })) co_return;
    const std::string disk = MemberAt(who).disk;
    for (const char* file : {".vote", ".snapshot", ".log", ".epochs"})
      machine_.files().Remove(FileStem(who) + file);
    Start(who);
    if (!co_await WaitFor("the member serving", [&] { return MemberAt(who).serving; })) co_return;
    if (MemberAt(who).disk == disk)
      ReportViolation(Name(who) + " restarted without its data directory, but with the voter id of before");
    const std::string in = co_await Ask(who, "status json");
    const auto status = nlohmann::json::parse(in, nullptr, false);
    if (!status.is_object() || status.value("role", "") != "outside")
      ReportViolation(Name(who) + " votes without having been added: " + in);
    const std::string answered = co_await Ask(who, "add " + Name(who));
    if (answered.empty() || answered[0] == '!') co_return Fail("add: " + answered);
    std::string last;
    const Micros deadline = machine_.Now() + kTimeout;
    while (result_.failure.empty()) {
      last = co_await Ask(who, "status json");
      const auto now = nlohmann::json::parse(last, nullptr, false);
      if (now.is_object() && now.value("role", "outside") != "outside") break;
      if (machine_.Now() > deadline) Fail("timed out waiting for: " + Name(who) + " voting again: " + last);
    }
  }

  // Restores the files of a voter from before an entry that it acknowledged: it must detect that its disk is
  // older, and must not vote as before.
  Task<> RestoreOlderDisk(int leader) {
    int who = static_cast<int>(NextRandom() % static_cast<uint64_t>(options_.voters));
    if (who == leader) who = (who + 1) % options_.voters;
    std::map<std::string, std::string> files;
    for (const char* file : {".vote", ".snapshot", ".log"})
      files[file] = machine_.files().Read(FileStem(who) + file).value_or("");
    // The leader sends the second entry only after the voter has acknowledged the first.
    for (int n = 0; n < 2; ++n) {
      const std::string answer = co_await Ask(leader, "take-away " + std::string(kTask) + " lab older");
      if (!answer.starts_with("agreed")) co_return Fail("take-away: " + answer);
      const Micros deadline = machine_.Now() + kTimeout;
      while (result_.failure.empty()) {
        const auto now = nlohmann::json::parse(co_await Ask(who, "status json"), nullptr, false);
        if (now.is_object() && now.value("applied", uint64_t{0}) >= acknowledged_) break;
        if (machine_.Now() > deadline)
          Fail("timed out waiting for: " + Name(who) + " applying the committed entry");
      }
    }
    Kill(who);
    if (!co_await WaitFor("the process has exited", [&] { return !children_.Running(who); })) co_return;
    for (const auto& [file, text] : files) {
      std::string why;
      if (!machine_.files().Replace(FileStem(who) + file, text, why)) co_return Fail(why);
    }
    expects_older_ = who;
    Start(who);
    co_await WaitFor("the voter detects its older disk", [this] { return expects_older_ < 0; });
    co_await WipeDisk(leader, who);
  }

  // At the end all members follow one leader and have applied all acknowledged entries.
  Task<> CheckFinalState() {
    const Micros deadline = machine_.Now() + kTimeout;
    while (result_.failure.empty()) {
      std::set<std::string> leaders;
      std::string behind;
      for (int i = 0; i < options_.members && behind.empty(); ++i) {
        const std::string answer = co_await Ask(i, "status json");
        const auto status = nlohmann::json::parse(answer, nullptr, false);
        const bool caught_up = status.is_object() && status.value("applied", uint64_t{0}) >= acknowledged_ &&
                               status.value("standing", "") == "in";
        if (!caught_up) behind = answer;
        if (caught_up) leaders.insert(status.value("leader", ""));
      }
      if (behind.empty() && leaders.size() == 1) co_return;
      if (machine_.Now() > deadline) {
        ReportViolation("entry " + std::to_string(acknowledged_) +
                        " was acknowledged, but not applied by all under one leader: " + behind);
        co_return;
      }
    }
  }

  // Measures proposals at a member that does not lead: each is committed before the next is sent.
  Task<> Propose() {
    const int who = Leader() == 0 ? 1 : 0;
    const Micros began = machine_.Now(), end = began + static_cast<Micros>(options_.proposals_for_s * 1e6);
    size_t n = 0;
    while (machine_.Now() < end && result_.failure.empty()) {
      const std::string answer = co_await Ask(who, "take-away " + std::string(kTask) + " lab measuring");
      if (answer.starts_with("agreed")) ++n;
      if (answer.empty() || answer[0] == '!') Fail("proposal: " + answer);
    }
    result_.proposals_per_s = static_cast<double>(n) / (static_cast<double>(machine_.Now() - began) / 1e6);
    co_await WaitUntilStable();
  }

  Task<std::string> Ask(int i, std::string command) {
    const Micros deadline = machine_.Now() + kTimeout;
    std::string answer;
    while (machine_.Now() < deadline && result_.failure.empty()) {
      std::unique_ptr<Channel> channel = machine_.network().ConnectChannel(FileStem(i) + ".council");
      if (!channel) {
        co_await changed_.Wait(machine_.Now() + kPollInterval);
        continue;
      }
      Io io = channel->Send(command);
      while (io == Io::kLater && co_await channel->Wait(deadline)) io = channel->Send(command);
      std::string piece;
      std::unique_ptr<Stream> along;
      while (io == Io::kSome) {
        const Io received = channel->Receive(piece, along);
        if (received == Io::kSome) {
          answer += piece;
        } else if (received != Io::kLater || !co_await channel->Wait(deadline)) {
          break;
        }
      }
      if (!answer.empty()) break;
    }
    if (const size_t entry = answer.find("entry ");
        answer.starts_with("agreed") && entry != std::string::npos)
      acknowledged_ = std::max<uint64_t>(acknowledged_, std::stoull(answer.substr(entry + 6)));
    co_return answer;
  }

  std::string FileStem(int i) const { return children_.folder() + "/burlfall-" + Name(i); }
  double Seconds(Micros since) { return static_cast<double>(machine_.Now() - since) / 1e6; }

  void Pause(int i, bool on) {
    if (MemberAt(i).paused == on) return;
    MemberAt(i).paused = on;
    children_.Pause(i, on);
  }

  void Kill(int i) {
    MemberAt(i).running = MemberAt(i).serving = false;
    MemberAt(i).paused = false;
    children_.Kill(i);
    children_.Pause(i, false);
  }

  void Start(int i) {
    if (children_.Running(i)) {
      MemberAt(i).restart_when_ended = true;
      return;
    }
    std::string text = "site = \"lab\"\nlisten = \"" + At(HostOf(i, false), kPort) + "\"\ntold = \"" +
                       At(HostOf(i, true), kPort) + "\"\nfolder = \"" + children_.folder() +
                       "\"\nwants = [\"freeze\"]\nheartbeat_ms = 50\nelection_ms = [300, 600]\nlease_s = " +
                       std::to_string(kLeaseSeconds) + "\nstep_ms = " + std::to_string(kStepMs) +
                       "\nmost_log = 64\n";
    for (int v = 0; v < options_.voters; ++v) {
      text += "[[voters]]\nname = \"" + Name(v) + "\"\naddress = \"" + At(HostOf(v, true), kPort) + "\"\n";
    }
    const std::string path = children_.folder() + "/council-" + Name(i) + ".toml";
    std::string why;
    if (!machine_.files().Replace(path, text, why)) return Fail(path + ": " + why);
    machine_.files().Replace(children_.folder() + "/start.toml", "[list_service]\ncalls_per_s = 5\n", why);
    ChildSpec child;
    child.name = Name(i);
    child.listen = At(HostOf(i, false), kClientPort);
    child.discovery = OwnLoopback(kLoopbackBlock) + "1:9";  // nothing listens there
    child.arguments = {"--council", path, "--start", children_.folder() + "/start.toml"};
    BalancerStart start;
    start.listen = child.listen;
    start.discovery = child.discovery;
    start.seed = static_cast<uint64_t>(i) + 1;
    auto config = nlohmann::json::parse(ConfigJson(site_, script_, i, start));
    config["admin"] = At(HostOf(i, false), kAdminPort);
    child.config = config.dump();
    MemberAt(i).running = true;
    MemberAt(i).serving = MemberAt(i).paused = MemberAt(i).restart_when_ended = false;
    MemberAt(i).accepted_epoch = 0;
    children_.Start(i, child);
  }

  void OnProcessEnded(int i, const ChildEnd& end) {
    MemberAt(i).running = MemberAt(i).serving = MemberAt(i).paused = false;
    if (owner_ == i) owner_running_ = false;
    if (stopped_) return;
    if (end.crashed) return Fail(end.Text());
    if (MemberAt(i).restart_when_ended) Start(i);
    changed_.Notify();
  }

  void OnEvent(int i, std::string_view event, const nlohmann::json& fields) {
    if (stopped_ || !event.starts_with("council_")) return;
    options_.log(std::to_string(machine_.Now() / kMs % 10000000) + " " + Name(i) + " " + fields.dump());
    Member& member = MemberAt(i);
    const uint64_t epoch = fields.value("epoch", uint64_t{0});
    const std::string by = fields.value("by", "");
    if (event == "council_serving") {
      member.serving = member.running;
      member.disk = std::to_string(fields.value("disk", uint64_t{0}));
    } else if (event == "council_leads") {
      const uint64_t term = fields.value("term", uint64_t{0});
      const auto [it, first] = leaders_by_term_.emplace(term, i);
      if (!first && it->second != i)
        ReportViolation("term " + std::to_string(term) + " has two leaders: " + Name(it->second) + " and " +
                        Name(i));
      member.last_term_led = term;
      if (term > term_) term_ = term, leader_ = i;
    } else if (event == "council_voters") {
      const std::string names = fields.value("voters", "");
      member.voters = static_cast<size_t>(std::ranges::count(names, ',')) + 1;
    } else if (event == "council_granted") {
      RecordOwner(epoch, fields.value("owner", ""));
    } else if (event == "council_owns") {
      RecordOwner(epoch, Name(i));
    } else if (event == "council_lost") {
      member.lost_epoch = std::max(member.lost_epoch, epoch);
      ++result_.leases_lost;
    } else if (event == "council_step") {
      ++member.steps;
      if (pause_at_step_ == i) {
        pause_at_step_ = -1;
        Pause(i, true);
      }
    } else if (event == "council_obeys") {
      RecordOwner(epoch, by);
      if (epoch < member.highest_accepted)
        ReportViolation(Name(i) + " accepted epoch " + std::to_string(epoch) + " after " +
                        std::to_string(member.highest_accepted));
      member.highest_accepted = std::max(member.highest_accepted, epoch);
      member.accepted_epoch = epoch;
      ++result_.epochs_accepted;
    } else if (event == "council_refuses") {
      if (fields.value("error", "") == "fenced") ++result_.fenced;
    } else if (event == "council_disk" && i == expects_older_ && fields.value("fault", "") == "older") {
      expects_older_ = -1;
    } else if (event == "council_disk") {
      ReportViolation(Name(i) + "'s disk: " + fields.dump());
    }
    changed_.Notify();
  }

  // Records the owner of an epoch, from the event of any member.
  void RecordOwner(uint64_t epoch, const std::string& who) {
    const auto [it, first] = owners_by_epoch_.emplace(epoch, who);
    if (!first && it->second != who)
      ReportViolation("epoch " + std::to_string(epoch) + " has two owners: " + it->second + " and " + who);
    if (!first || epoch <= epoch_) return;
    epoch_ = epoch;
    owner_running_ = true;
    for (int i = 0; i < options_.members; ++i) {
      if (Name(i) == who) owner_ = i;
    }
  }

  Task<> HandleSignals() {
    while (true) {
      while (signals_.Take() != 0) Fail("interrupted");
      co_await signals_.Wait();
    }
  }

  const CoordinatorRunOptions& options_;
  const Experiment site_;
  const Script script_;
  RealMachine machine_;
  ProcessSignals signals_;
  Paths paths_;
  Children children_;
  Event changed_;
  uint64_t random_state_;
  std::vector<Member> members_;
  std::map<uint64_t, std::string> owners_by_epoch_;
  std::map<uint64_t, int> leaders_by_term_;
  uint64_t epoch_ = 0, term_ = 0, acknowledged_ = 0;
  int owner_ = -1, leader_ = -1, pause_at_step_ = -1, expects_older_ = -1;
  bool owner_running_ = false;  // it has not exited since its grant
  bool stopped_ = false;
  CoordinatorRunResult result_;
};

}  // namespace

const char* NameOf(CoordinatorFault fault) {
  constexpr const char* kNames[] = {"pause-at-step", "pause-owner", "pause-briefly", "pause-leader",
                                    "kill-owner",    "kill-leader", "kill-all",      "wipe",
                                    "older",         "deaf-leader", "mute-leader",   "restart-owner",
                                    "incident",      "alone"};
  return kNames[static_cast<size_t>(fault)];
}

std::vector<CoordinatorFault> RandomFaults(uint64_t seed, size_t rounds) {
  std::vector<CoordinatorFault> all;
  uint64_t state = kit::Mix(seed);
  while (all.size() < rounds) {
    std::vector<CoordinatorFault> round;
    for (int i = 0; i < kCoordinatorFaultCount; ++i) round.push_back(static_cast<CoordinatorFault>(i));
    for (size_t i = round.size(); i > 1; --i) std::swap(round[i - 1], round[(state = kit::Mix(state)) % i]);
    all.insert(all.end(), round.begin(), round.end());
  }
  all.resize(rounds);
  return all;
}

CoordinatorRunResult RunCoordinators(const CoordinatorRunOptions& options) {
  signal(SIGPIPE, SIG_IGN);
  const size_t need = kOwnDescriptors + kDescriptorsPerMember * static_cast<size_t>(options.members);
  if (const std::string why = MayHold(need); !why.empty()) {
    CoordinatorRunResult result;
    result.failure = why;
    return result;
  }
  return CoordinatorRun(options).Run();
}

}  // namespace burlfall::lab
