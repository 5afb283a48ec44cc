#include "lab/council/real_council.h"

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
constexpr int kBlock = 190;
constexpr int kHosts = 125;                 // of each kind in the block
constexpr Micros kPatience = 90 * kSecond;  // only there for a program that is broken
constexpr Micros kLookEvery = 20 * kMs;
constexpr Micros kStopWithin = 5 * kSecond;
constexpr Micros kBrief = 200 * kMs;
constexpr size_t kLines = 20;
constexpr size_t kDescriptorsEach = 40, kOwnDescriptors = 256;
constexpr const char* kWork = "freeze";
constexpr double kLease = 1;
constexpr int kStep = 150;  // ms that an owner stands between check and act

std::string HostOf(int i, bool seen) {
  return OwnLoopback(kBlock) + std::to_string(2 + (seen ? kHosts : 0) + i);
}

std::string At(const std::string& host, int port) {
  return std::string(host).append(":").append(std::to_string(port));
}

// A site without nodes: what is looked at is between the balancers.
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

class Player {
 public:
  explicit Player(const CouncilOptions& options)
      : options_(options),
        site_(SiteOf(options.members)),
        script_(GenerateScript(site_, options.seed)),
        machine_(true),
        signals_(machine_.scheduler(), {SIGINT, SIGTERM}),
        paths_(machine_, options.seed),
        children_(machine_.scheduler(), SettingsOf(options),
                  {.ready = [](int, const std::string&) {},
                   .ended = [this](int i, const ChildEnd& end) { Ended(i, end); },
                   .event = [this](int i, std::string_view event,
                                   const nlohmann::json& fields) { Heard(i, event, fields); }}),
        moved_(machine_.scheduler()),
        draws_(kit::Mix(options.seed)),
        ones_(static_cast<size_t>(options.members)) {}

  CouncilPlayed Play() {
    Task<> playing = Whole();
    Task<> hearing = Hear();
    playing.Start();
    hearing.Start();
    machine_.scheduler().Run();
    return std::move(played_);
  }

 private:
  struct One {
    bool runs = false, paused = false, again = false;
    uint64_t obeyed_ever = 0;  // over its restarts
    uint64_t obeyed = 0;       // in this life
    uint64_t led = 0;          // the last term that it led
    uint64_t lost = 0;         // the last epoch that it said to have lost
    uint64_t stepped = 0;      // how often it stood at its step
    std::string disk;
    size_t voters = 0;
    bool serving = false;
  };

  static Children::Settings SettingsOf(const CouncilOptions& options) {
    Children::Settings settings;
    if (!options.program.empty()) settings.command = {options.program, "serve", "--log-format", "json"};
    settings.keep_folder = options.keep_folder;
    return settings;
  }

  uint64_t Draw64() { return draws_ = kit::Mix(draws_); }
  static std::string Name(int i) { return std::string("b").append(std::to_string(i)); }
  One& Of(int i) { return ones_.at(static_cast<size_t>(i)); }
  void Fail(const std::string& why) {
    if (played_.why_not.empty()) played_.why_not = why;
    moved_.Notify();
  }
  void Break(const std::string& line) {
    ++played_.broken_count;
    if (played_.broken.size() < kLines) played_.broken.push_back(line);
    options_.tells("BROKEN " + line);
  }

  // Until it holds; false, and the run is over, where that takes too long.
  template <typename Holds>
  Task<bool> Until(std::string what, Holds holds) {
    const Micros until = machine_.Now() + kPatience;
    while (!holds() && played_.why_not.empty()) {
      if (machine_.Now() >= until) Fail("never came: " + what);
      co_await moved_.Wait(std::min(until, machine_.Now() + kLookEvery));
    }
    co_return played_.why_not.empty();
  }

  Task<> Whole() {
    try {
      for (int i = 0; i < options_.members; ++i) {
        paths_.Knows(HostOf(i, false), i);
        paths_.OpenStreams(*ReadAddress(At(HostOf(i, true), kPort)), i,
                           *ReadAddress(At(HostOf(i, false), kPort)));
      }
      co_await Rounds();
    } catch (const std::system_error& e) {
      Fail(e.what());
    }
    over_ = true;
    for (int i = 0; i < options_.members; ++i) Pause(i, false);
    co_await children_.StopAll(kStopWithin);
    played_.whole = played_.why_not.empty();
    machine_.scheduler().Stop();
  }

  Task<> Rounds() {
    for (int i = 0; i < options_.members; ++i) Start(i);
    const bool up = co_await Until("all serve", [this] {
      return std::ranges::all_of(ones_, [](const One& one) { return one.serving; });
    });
    if (!up) co_return;
    const std::string began = co_await Ask(0, "begin");
    if (began.empty() || began[0] == '!') co_return Fail("begin: " + began);
    const auto voters = static_cast<size_t>(options_.voters);
    // In the log of each of them: no later leader can be without it.
    if (!co_await Until("all voters are in", [&] {
          return std::all_of(ones_.begin(), ones_.begin() + options_.voters,
                             [&](const One& one) { return one.voters == voters; });
        }))
      co_return;
    if (!co_await Calm()) co_return;
    if (options_.proposals_for_s > 0) co_await Propose();
    for (const CouncilFault fault : options_.faults) {
      options_.tells(std::string("fault: ") + NameOf(fault));
      ++played_.faults[NameOf(fault)];
      co_await Befall(fault);
      if (!co_await Calm()) co_return;
    }
    co_await Closing();
  }

  // All run, and obey one owner that runs; and what was acknowledged is there.
  Task<bool> Calm() {
    for (int i = 0; i < options_.members; ++i) {
      Pause(i, false);
      if (!Of(i).runs) Start(i);
    }
    co_return co_await Until("one owner whom all obey", [this] {
      const int owner = Owner();
      if (owner < 0 || Leader() < 0) return false;
      return std::ranges::all_of(ones_,
                                 [this](const One& one) { return one.serving && one.obeyed == epoch_; });
    });
  }

  // Whoever was granted the last epoch, if it runs on since.
  int Owner() const {
    return owner_ >= 0 && ones_[static_cast<size_t>(owner_)].runs && owner_life_ ? owner_ : -1;
  }
  int Leader() const { return leader_ >= 0 && ones_[static_cast<size_t>(leader_)].runs ? leader_ : -1; }

  Task<> Befall(CouncilFault fault) {
    const uint64_t epoch = epoch_, term = term_;
    const int owner = Owner(), leader = Leader();
    const Micros at = machine_.Now();
    auto next_owner = [this, epoch] { return epoch_ > epoch; };
    auto next_leader = [this, term] { return term_ > term; };
    switch (fault) {
      case CouncilFault::kPauseAtStep:
      case CouncilFault::kPauseOwner: {
        if (fault == CouncilFault::kPauseAtStep) {
          const uint64_t stepped = Of(owner).stepped;
          pause_at_step_ = owner;
          if (!co_await Until("a step", [&] { return Of(owner).stepped > stepped; })) co_return;
        } else {
          Pause(owner, true);
        }
        // Another has not only the epoch, but all others have obeyed it.
        if (!co_await Until("others obey another owner", [&] {
              if (epoch_ <= epoch) return false;
              for (int i = 0; i < options_.members; ++i) {
                if (i != owner && Of(i).obeyed <= epoch) return false;
              }
              return true;
            }))
          co_return;
        const size_t fenced = played_.fenced;
        Pause(owner, false);
        co_await Until("who stood still finds out",
                       [&] { return played_.fenced > fenced || Of(owner).lost >= epoch; });
        break;
      }
      case CouncilFault::kPauseBriefly: {
        Pause(owner, true);
        const Micros until = machine_.Now() + kBrief;
        while (machine_.Now() < until) co_await moved_.Wait(until);
        Pause(owner, false);
        break;
      }
      case CouncilFault::kPauseLeader:
        Pause(leader, true);
        co_await Until("another leader", next_leader);
        Pause(leader, false);
        break;
      case CouncilFault::kKillOwner:
        Kill(owner);
        if (co_await Until("another owner", next_owner)) played_.owner_after_s.push_back(Seconds(at));
        break;
      case CouncilFault::kKillLeader:
        Kill(leader);
        if (co_await Until("another leader", next_leader)) played_.leader_after_s.push_back(Seconds(at));
        break;
      case CouncilFault::kKillAll:
        for (int i = 0; i < options_.members; ++i) Kill(i);
        co_await Until("all have ended", [this] { return children_.running() == 0; });
        for (int i = 0; i < options_.members; ++i) Start(i);
        co_await Until("another owner", next_owner);
        break;
      case CouncilFault::kWipe:
        co_await Wipe(leader);
        break;
      case CouncilFault::kOlder:
        co_await Older(leader);
        break;
      case CouncilFault::kDeafLeader:
      case CouncilFault::kMuteLeader:
        for (int i = 0; i < options_.members; ++i) {
          if (i == leader) continue;
          const bool deaf = fault == CouncilFault::kDeafLeader;
          paths_.Set(deaf ? i : leader, deaf ? leader : i, {.cut = true});
        }
        co_await Until("another leader", next_leader);
        for (int i = 0; i < options_.members; ++i) {
          paths_.Set(i, leader, {});
          paths_.Set(leader, i, {});
        }
        break;
      case CouncilFault::kRestartOwner:
        children_.Terminate(owner);
        co_await Until("another owner", next_owner);
        break;
      case CouncilFault::kIncident:
        co_await Incident();
        break;
      case CouncilFault::kAlone:
        co_await Alone(leader);
        break;
    }
  }

  Task<> Incident() {
    const int a = static_cast<int>(Draw64() % ones_.size()), b = (a + 1) % options_.members;
    const std::string opened = co_await Ask(a, "incident open site lab testing");
    if (!opened.starts_with("incident ")) co_return Fail("incident: " + opened);
    const std::string number = opened.substr(9, opened.find(' ', 9) - 9);
    const std::string refused = co_await Tell(b, "/healthcheck/fail");
    if (!refused.starts_with("HTTP/1.1 409") || refused.find("frozen") == std::string::npos)
      Break("a drain that an incident forbids was answered: " + refused);
    const std::string glass = co_await Tell(b, "/healthcheck/fail?by=lab&reason=glass");
    if (!glass.starts_with("HTTP/1.1 200")) Break("a drain by broken glass was answered: " + glass);
    const std::string back = co_await Tell(b, "/healthcheck/ok?by=lab&reason=glass");
    if (!back.starts_with("HTTP/1.1 200")) Break("its end was answered: " + back);
    const std::string closed = co_await Ask(a, "incident close " + number + " lab over");
    if (!closed.starts_with("incident ")) co_return Fail("close: " + closed);
    for (const char* path : {"/healthcheck/fail", "/healthcheck/ok"}) {
      const std::string done = co_await Tell(b, path);
      if (!done.starts_with("HTTP/1.1 200")) Break("a drain after the incident was answered: " + done);
    }
  }

  Task<> Alone(int leader) {
    const int who = (leader + 1) % options_.members;
    for (int i = 0; i < options_.members; ++i) {
      if (i == who) continue;
      paths_.Set(i, who, {.cut = true});
      paths_.Set(who, i, {.cut = true});
    }
    const std::string refused = co_await Tell(who, "/healthcheck/fail");
    if (!refused.starts_with("HTTP/1.1 409") || refused.find("no_majority") == std::string::npos)
      Break("a drain without a majority was answered: " + refused);
    for (int i = 0; i < options_.members; ++i) {
      paths_.Set(i, who, {});
      paths_.Set(who, i, {});
    }
  }

  // An operator's call at the second address; the whole answer.
  Task<std::string> Tell(int i, std::string path) {
    const Micros until = machine_.Now() + kPatience;
    NoConnection why = NoConnection::kRefused;
    std::string answer;
    const std::unique_ptr<Stream> stream =
        machine_.network().Connect(*ReadAddress(At(HostOf(i, false), kAdminPort)), why);
    if (!stream || !co_await Connected(*stream, until)) co_return answer;
    const std::string call = "POST " + path + " HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n";
    if (!co_await WriteAll(*stream, call, until)) co_return answer;
    while (true) {
      const Io io = stream->Read(answer);
      if (io == Io::kClosed || io == Io::kBroken) break;
      if (io == Io::kLater && !co_await stream->Wait(until)) break;
    }
    options_.tells(Name(i) + " " + path + ": " + answer.substr(0, 12));
    co_return answer;
  }

  // A voter's folder is gone: it comes back as a new voter, and is in once the leader was told to bring it
  // in.
  Task<> Wipe(int leader, int who = -1) {
    if (who < 0) who = static_cast<int>(Draw64() % static_cast<uint64_t>(options_.voters));
    if (who == leader) who = (who + 1) % options_.voters;
    Kill(who);
    if (!co_await Until("it has ended", [&] { return !children_.Running(who); })) co_return;
    const std::string disk = Of(who).disk;
    for (const char* file : {".vote", ".snapshot", ".log", ".epochs"})
      machine_.files().Remove(Stem(who) + file);
    Start(who);
    if (!co_await Until("it serves", [&] { return Of(who).serving; })) co_return;
    if (Of(who).disk == disk) Break(Name(who) + " came back without a folder, and as the voter of before");
    const std::string in = co_await Ask(who, "status json");
    const auto status = nlohmann::json::parse(in, nullptr, false);
    if (!status.is_object() || status.value("role", "") != "outside")
      Break(Name(who) + " votes without having been brought in: " + in);
    const std::string told = co_await Ask(who, "add " + Name(who));
    if (told.empty() || told[0] == '!') co_return Fail("add: " + told);
    std::string last;
    const Micros until = machine_.Now() + kPatience;
    while (played_.why_not.empty()) {
      last = co_await Ask(who, "status json");
      const auto now = nlohmann::json::parse(last, nullptr, false);
      if (now.is_object() && now.value("role", "outside") != "outside") break;
      if (machine_.Now() > until) Fail("never came: " + Name(who) + " votes again: " + last);
    }
  }

  // Its files are those of before an entry that it has agreed to: it finds out, and votes no more as it was.
  Task<> Older(int leader) {
    int who = static_cast<int>(Draw64() % static_cast<uint64_t>(options_.voters));
    if (who == leader) who = (who + 1) % options_.voters;
    std::map<std::string, std::string> files;
    for (const char* file : {".vote", ".snapshot", ".log"})
      files[file] = machine_.files().Read(Stem(who) + file).value_or("");
    // It is sent a second entry only once the leader has its yes to the first.
    for (int n = 0; n < 2; ++n) {
      const std::string said = co_await Ask(leader, "take-away " + std::string(kWork) + " lab older");
      if (!said.starts_with("agreed")) co_return Fail("take-away: " + said);
      const Micros until = machine_.Now() + kPatience;
      while (played_.why_not.empty()) {
        const auto now = nlohmann::json::parse(co_await Ask(who, "status json"), nullptr, false);
        if (now.is_object() && now.value("applied", uint64_t{0}) >= acknowledged_) break;
        if (machine_.Now() > until) Fail("never came: " + Name(who) + " has what was agreed");
      }
    }
    Kill(who);
    if (!co_await Until("it has ended", [&] { return !children_.Running(who); })) co_return;
    for (const auto& [file, text] : files) {
      std::string why;
      if (!machine_.files().Replace(Stem(who) + file, text, why)) co_return Fail(why);
    }
    expects_older_ = who;
    Start(who);
    co_await Until("it finds its disk older", [this] { return expects_older_ < 0; });
    co_await Wipe(leader, who);
  }

  // All that run agree at the end, and have what was acknowledged.
  Task<> Closing() {
    const Micros until = machine_.Now() + kPatience;
    while (played_.why_not.empty()) {
      std::set<std::string> leaders;
      std::string behind;
      for (int i = 0; i < options_.members && behind.empty(); ++i) {
        const std::string said = co_await Ask(i, "status json");
        const auto status = nlohmann::json::parse(said, nullptr, false);
        const bool there = status.is_object() && status.value("applied", uint64_t{0}) >= acknowledged_ &&
                           status.value("standing", "") == "in";
        if (!there) behind = said;
        if (there) leaders.insert(status.value("leader", ""));
      }
      if (behind.empty() && leaders.size() == 1) co_return;
      if (machine_.Now() > until) {
        Break("entry " + std::to_string(acknowledged_) + " was acknowledged, and not all agree: " + behind);
        co_return;
      }
    }
  }

  // One after the other, from one that does not lead: each is agreed before the next is asked for.
  Task<> Propose() {
    const int who = Leader() == 0 ? 1 : 0;
    const Micros began = machine_.Now(), until = began + static_cast<Micros>(options_.proposals_for_s * 1e6);
    size_t n = 0;
    while (machine_.Now() < until && played_.why_not.empty()) {
      const std::string said = co_await Ask(who, "take-away " + std::string(kWork) + " lab measuring");
      if (said.starts_with("agreed")) ++n;
      if (said.empty() || said[0] == '!') Fail("a proposal: " + said);
    }
    played_.proposals_per_s = static_cast<double>(n) / (static_cast<double>(machine_.Now() - began) / 1e6);
    co_await Calm();
  }

  Task<std::string> Ask(int i, std::string words) {
    const Micros until = machine_.Now() + kPatience;
    std::string answer;
    while (machine_.Now() < until && played_.why_not.empty()) {
      std::unique_ptr<Channel> channel = machine_.network().Meet(Stem(i) + ".council");
      if (!channel) {
        co_await moved_.Wait(machine_.Now() + kLookEvery);
        continue;
      }
      Io io = channel->Send(words);
      while (io == Io::kLater && co_await channel->Wait(until)) io = channel->Send(words);
      std::string piece;
      std::unique_ptr<Stream> along;
      while (io == Io::kSome) {
        const Io came = channel->Receive(piece, along);
        if (came == Io::kSome) {
          answer += piece;
        } else if (came != Io::kLater || !co_await channel->Wait(until)) {
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

  std::string Stem(int i) const { return children_.folder() + "/burlfall-" + Name(i); }
  double Seconds(Micros since) { return static_cast<double>(machine_.Now() - since) / 1e6; }

  void Pause(int i, bool on) {
    if (Of(i).paused == on) return;
    Of(i).paused = on;
    children_.Pause(i, on);
  }

  void Kill(int i) {
    Of(i).runs = Of(i).serving = false;
    Of(i).paused = false;
    children_.Kill(i);
    children_.Pause(i, false);
  }

  void Start(int i) {
    if (children_.Running(i)) {
      Of(i).again = true;
      return;
    }
    std::string text = "site = \"lab\"\nlisten = \"" + At(HostOf(i, false), kPort) + "\"\ntold = \"" +
                       At(HostOf(i, true), kPort) + "\"\nfolder = \"" + children_.folder() +
                       "\"\nwants = [\"freeze\"]\nheartbeat_ms = 50\nelection_ms = [300, 600]\nlease_s = " +
                       std::to_string(kLease) + "\nstep_ms = " + std::to_string(kStep) + "\nmost_log = 64\n";
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
    child.discovery = OwnLoopback(kBlock) + "1:9";  // nobody is there
    child.arguments = {"--council", path, "--start", children_.folder() + "/start.toml"};
    BalancerStart start;
    start.listen = child.listen;
    start.discovery = child.discovery;
    start.seed = static_cast<uint64_t>(i) + 1;
    auto config = nlohmann::json::parse(ConfigJson(site_, script_, i, start));
    config["admin"] = At(HostOf(i, false), kAdminPort);
    child.config = config.dump();
    Of(i).runs = true;
    Of(i).serving = Of(i).paused = Of(i).again = false;
    Of(i).obeyed = 0;
    children_.Start(i, child);
  }

  void Ended(int i, const ChildEnd& end) {
    Of(i).runs = Of(i).serving = Of(i).paused = false;
    if (owner_ == i) owner_life_ = false;
    if (over_) return;
    if (end.crashed) return Fail(end.Text());
    if (Of(i).again) Start(i);
    moved_.Notify();
  }

  void Heard(int i, std::string_view event, const nlohmann::json& fields) {
    if (over_ || !event.starts_with("council_")) return;
    options_.tells(std::to_string(machine_.Now() / kMs % 10000000) + " " + Name(i) + " " + fields.dump());
    One& one = Of(i);
    const uint64_t epoch = fields.value("epoch", uint64_t{0});
    const std::string by = fields.value("by", "");
    if (event == "council_serving") {
      one.serving = one.runs;
      one.disk = std::to_string(fields.value("disk", uint64_t{0}));
    } else if (event == "council_leads") {
      const uint64_t term = fields.value("term", uint64_t{0});
      const auto [it, first] = led_.emplace(term, i);
      if (!first && it->second != i)
        Break("term " + std::to_string(term) + " has two leaders: " + Name(it->second) + " and " + Name(i));
      one.led = term;
      if (term > term_) term_ = term, leader_ = i;
    } else if (event == "council_voters") {
      const std::string names = fields.value("voters", "");
      one.voters = static_cast<size_t>(std::ranges::count(names, ',')) + 1;
    } else if (event == "council_granted") {
      Owned(epoch, fields.value("owner", ""));
    } else if (event == "council_owns") {
      Owned(epoch, Name(i));
    } else if (event == "council_lost") {
      one.lost = std::max(one.lost, epoch);
      ++played_.found_out;
    } else if (event == "council_step") {
      ++one.stepped;
      if (pause_at_step_ == i) {
        pause_at_step_ = -1;
        Pause(i, true);
      }
    } else if (event == "council_obeys") {
      Owned(epoch, by);
      if (epoch < one.obeyed_ever)
        Break(Name(i) + " obeyed epoch " + std::to_string(epoch) + " after " +
              std::to_string(one.obeyed_ever));
      one.obeyed_ever = std::max(one.obeyed_ever, epoch);
      one.obeyed = epoch;
      ++played_.obeyed;
    } else if (event == "council_refuses") {
      if (fields.value("error", "") == "fenced") ++played_.fenced;
    } else if (event == "council_disk" && i == expects_older_ && fields.value("fault", "") == "older") {
      expects_older_ = -1;
    } else if (event == "council_disk") {
      Break(Name(i) + "'s disk: " + fields.dump());
    }
    moved_.Notify();
  }

  // Whoever tells of it.
  void Owned(uint64_t epoch, const std::string& who) {
    const auto [it, first] = owners_.emplace(epoch, who);
    if (!first && it->second != who)
      Break("epoch " + std::to_string(epoch) + " has two owners: " + it->second + " and " + who);
    if (!first || epoch <= epoch_) return;
    epoch_ = epoch;
    owner_life_ = true;
    for (int i = 0; i < options_.members; ++i) {
      if (Name(i) == who) owner_ = i;
    }
  }

  Task<> Hear() {
    while (true) {
      while (signals_.Take() != 0) Fail("interrupted");
      co_await signals_.Wait();
    }
  }

  const CouncilOptions& options_;
  const Experiment site_;
  const Script script_;
  RealMachine machine_;
  ProcessSignals signals_;
  Paths paths_;
  Children children_;
  Event moved_;
  uint64_t draws_;
  std::vector<One> ones_;
  std::map<uint64_t, std::string> owners_;  // by epoch
  std::map<uint64_t, int> led_;             // by term
  uint64_t epoch_ = 0, term_ = 0, acknowledged_ = 0;
  int owner_ = -1, leader_ = -1, pause_at_step_ = -1, expects_older_ = -1;
  bool owner_life_ = false;  // it has not ended since
  bool over_ = false;
  CouncilPlayed played_;
};

}  // namespace

const char* NameOf(CouncilFault fault) {
  constexpr const char* kNames[] = {"pause-at-step", "pause-owner", "pause-briefly", "pause-leader",
                                    "kill-owner",    "kill-leader", "kill-all",      "wipe",
                                    "older",         "deaf-leader", "mute-leader",   "restart-owner",
                                    "incident",      "alone"};
  return kNames[static_cast<size_t>(fault)];
}

std::vector<CouncilFault> DrawFaults(uint64_t seed, size_t rounds) {
  std::vector<CouncilFault> all;
  uint64_t draws = kit::Mix(seed);
  while (all.size() < rounds) {
    std::vector<CouncilFault> turn;
    for (int i = 0; i < kCouncilFaults; ++i) turn.push_back(static_cast<CouncilFault>(i));
    for (size_t i = turn.size(); i > 1; --i) std::swap(turn[i - 1], turn[(draws = kit::Mix(draws)) % i]);
    all.insert(all.end(), turn.begin(), turn.end());
  }
  all.resize(rounds);
  return all;
}

CouncilPlayed PlayCouncil(const CouncilOptions& options) {
  signal(SIGPIPE, SIG_IGN);
  const size_t need = kOwnDescriptors + kDescriptorsEach * static_cast<size_t>(options.members);
  if (const std::string why = MayHold(need); !why.empty()) {
    CouncilPlayed played;
    played.why_not = why;
    return played;
  }
  return Player(options).Play();
}

}  // namespace burlfall::lab
